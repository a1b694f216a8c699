"""Tests that log lines are JSON with all fields, and never contain an API key."""

import io
import json
import logging

import pytest

from ibishead.ids import HostId
from ibishead.logs import set_up_logging
from ibishead.settingsfile import LogLevel


@pytest.fixture
def stream():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    set_up_logging(LogLevel.INFO, "ibishead-entry", HostId("e1"), stream)
    yield stream
    root.handlers[:] = handlers
    root.setLevel(level)


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_has_all_fields(stream):
    logging.getLogger("ibishead.entry").info(
        "refused", extra={"request": "r1", "stage": "admit", "reason": "a\nb"}
    )
    logging.getLogger("ibishead.entry").debug("not written")
    (line,) = read_lines(stream)
    assert line["level"] == "info"
    assert line["message"] == "refused"
    assert (line["program"], line["host"]) == ("ibishead-entry", "e1")
    assert (line["request"], line["stage"], line["reason"]) == ("r1", "admit", "a\nb")
    assert line["time"].endswith("+00:00")


def test_exception_is_logged_on_one_line(stream):
    try:
        raise ValueError("broken")
    except ValueError:
        logging.getLogger("x").exception("failed", extra={"level": "kept"})
    (line,) = read_lines(stream)
    assert "ValueError: broken" in line["exception"]
    assert line["level"] == "error"


@pytest.mark.parametrize(
    "extra",
    [
        {"key": "sk-1"},
        {"Authorization": "Bearer sk-1"},
        {"headers": (("accept", "*/*"), ("authorization", "Bearer sk-1"))},
        {"headers": {"X-Api-Key": "sk-1"}},
        {"request_headers": [["cookie", "sk-1"]]},
        {"nested": {"headers": [("proxy-authorization", "sk-1")]}},
    ],
)
def test_keys_are_redacted(stream, extra):
    logging.getLogger("x").warning("wrong key", extra=extra)
    assert "sk-1" not in stream.getvalue()
    assert "(redacted)" in stream.getvalue()


@pytest.mark.parametrize("value", ["\ud800", float("nan"), {1: 2}, object(), b"\xff"])
def test_any_field_value_can_be_logged(stream, value):
    logging.getLogger("x").warning("odd", extra={"value": value})
    assert len(read_lines(stream)) == 1
