"""Tests of the call plan and the classification of responses in the load generator."""

from collections import Counter

import pytest

from ibishead.standin.calls import (
    CallKind,
    Mix,
    Verdict,
    classify_failure,
    classify_text,
    plan_calls,
    split_events,
)

ADAPTERS = tuple(f"loft-{n}@v1" for n in range(20))


def test_plan_is_deterministic_and_skewed():
    mix = Mix("mester", ADAPTERS, 500, rate=100.0, plain_share=0.2)
    calls = list(plan_calls(mix))
    assert calls == list(plan_calls(mix))
    counts = Counter(call.adapter for call in calls if call.adapter)
    assert counts["loft-0@v1"] > 3 * counts["loft-9@v1"]
    keys = [call.key for call in calls if call.kind is CallKind.PLAIN]
    assert 50 < len(set(keys)) == len(keys) < 150


@pytest.mark.parametrize(
    ("text", "verdict"),
    [
        ("a@v1:w1x0:0 a@v1:w1x0:1 ", Verdict.WHOLE),
        ("a@v1:w1x0:0 ", Verdict.CUT),
        ("a@v1:w1x0:0 a@v2:w1x0:1 ", Verdict.WRONG),
        ("a@v1:w1x7:0 a@v1:w1x7:1 ", Verdict.WRONG),
        ("base:w1x0:0 base:w1x0:1 ", Verdict.WRONG),
    ],
)
def test_classify_text(text, verdict):
    [call] = plan_calls(Mix("mester", ("a@v1",), 1, max_tokens=2))
    assert classify_text(call, text) is verdict


@pytest.mark.parametrize(
    ("headers", "verdict"),
    [
        ((("x-ibishead-outcome", "not_run"),), Verdict.NOT_RUN),
        ((("x-ibishead-outcome", "unknown"), ("retry-after", "1")), Verdict.UNKNOWN),
        ((), Verdict.FAILED),
    ],
)
def test_classify_failure(headers, verdict):
    assert classify_failure(headers) is verdict


def test_split_events():
    assert split_events(b"data: a\n\ndata: b\n\nda") == (["a", "b"], b"da")
