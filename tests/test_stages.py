"""Tests of the summary of a test day's logs."""

import json

import pytest
from benchmarks.stages import Line, find_recovery, main, read_lines
from click.testing import CliRunner

ENDED = {
    "message": "request ended",
    "placed": "absent",
    "outcome": "answered",
    "sends": 1,
}
LINES = [
    (1.0, {**ENDED, "reason": "", "turn_wait": 0.3, "first": 0.4}),
    (2.0, {**ENDED, "reason": "", "turn_wait": 0.7, "first": 0.9}),
    (3.0, {"message": "order given", "adapter": "a", "load": True, "outcome": "x"}),
    (4.0, {"message": "started", "program": "gateway"}),
    (
        5.0,
        {
            **ENDED,
            "outcome": "target_failed",
            "reason": "the answer was lost",
            "turn_wait": 0.1,
            "first": 0.2,
        },
    ),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "log"
    texts = [f"{at:10.4f} edge-1/gateway {json.dumps(fields)}" for at, fields in LINES]
    path.write_text("\n".join(["built in 1.0 s", *texts, "worth 0.5 {"]))
    return path


def test_read_lines_returns_program_lines_within_the_range(log):
    assert [line.at for line in read_lines(log, 2.0, 4.0)] == [2.0, 3.0]


def test_tables_contain_placements_and_events(log):
    result = CliRunner().invoke(main, [str(log), "--late", "0.5"])
    assert result.exit_code == 0, result.output
    assert "absent         3      1" in result.output
    assert "    1  engine  begun     request: target_failed the answer" in result.output
    for event in ("order: load adapter, x", "started: gateway", "request: answered"):
        assert event in result.output


def _end(arrival: float, took: float, outcome: str = "answered") -> Line:
    fields = {"message": "request ended", "outcome": outcome, "seconds": took}
    return Line(arrival + took, "edge-1", {**fields, "first": took})


@pytest.mark.parametrize(
    ("bad", "expected"),
    [
        # all answers are late until 36 s, then one in eleven
        (lambda n: n < 100 or n % 11 == 0, (35.0, 36.01)),
        # one late answer in nine is too many
        (lambda n: n < 100 or n % 9 == 0, None),
        (lambda _: False, (35.0, 35.0)),
    ],
)
def test_service_has_recovered_once_nine_in_ten_are_in_time(bad, expected):
    lines = [
        Line(3.0, "edge-1", {"message": "started", "program": "gateway"}),
        *(_end(30 + n / 100, 0.2) for n in range(300)),
        Line(35.0, "edge-1", {"message": "started", "program": "gateway"}),
        *(_end(35 + n / 100, 0.7 if bad(n) else 0.2) for n in range(400)),
    ]
    found = find_recovery(lines, 34.0, 0.5)
    assert found == (None if expected is None else pytest.approx(expected, abs=0.02))
