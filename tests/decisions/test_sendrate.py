"""Tests of request pacing for targets with a rate limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.sendrate import MIN_RATE, SendRate

WINDOW = 4.0


def send_all(rate: SendRate, arrivals: list[float]) -> list[float]:
    """Return the times at which requests that arrive at given times are sent."""
    return [now + rate.take(now) for now in arrivals]


def count_most(sent: list[float]) -> int:
    return max((sum(a <= b < a + WINDOW for b in sent) for a in sent), default=0)


@given(
    st.floats(MIN_RATE, 50.0),
    st.sampled_from([0.0, 1.0]),
    st.lists(st.floats(0.0, 20.0), max_size=80).map(sorted),
)
def test_no_window_exceeds_limit_and_saved_capacity(limit, saved, arrivals):
    rate = SendRate(saved)
    rate.limit(limit, 0.0)
    assert count_most(send_all(rate, arrivals)) <= limit * (WINDOW + saved) + 1 + 1e-6


@pytest.mark.parametrize(("saved", "last"), [(0.0, 11.5), (1.0, 10.5)])
def test_unused_capacity_is_used_later(saved, last):
    rate = SendRate(saved)
    rate.limit(2.0, 0.0)
    assert send_all(rate, [10.0] * 4)[-1] == last


@given(
    st.integers(1, 12),
    st.floats(1.0, 10.0),
    st.lists(st.floats(0.0, 1.0), min_size=12, max_size=12),
)
def test_senders_respect_shared_limit(senders, limit, offsets):
    """Guards against several senders that together exceed a limit.

    Each of them receives more requests than it may send.
    """
    sent = []
    for offset in offsets[:senders]:
        share = SendRate()
        share.limit(limit / senders, 0.0, offset)
        sent += send_all(share, [0.1 * n for n in range(200)])
    assert count_most(sent) <= limit * WINDOW + senders


def test_no_wait_without_limit():
    rate = SendRate()
    assert send_all(rate, [1.0] * 9) == [1.0] * 9
    rate.limit(2.0, 1.0)
    rate.limit(None, 1.0)
    assert rate.delay(7, 1.0) == 0.0


def test_target_with_zero_limit_still_gets_requests():
    """Guards against never noticing that a target accepts requests again.

    Only its own answers show that.
    """
    rate = SendRate()
    rate.limit(0.0, 0.0)
    assert rate.wait(0.0) == pytest.approx(1 / MIN_RATE)


@pytest.mark.parametrize(("new", "wait"), [(4.0, 0.5), (1.0, 2.0), (2.0, 1.0)])
def test_wait_is_rescaled_when_limit_changes(new, wait):
    rate = SendRate()
    rate.limit(2.0, 0.0)
    assert send_all(rate, [0.0]) == [0.5]
    rate.limit(new, 0.0)
    assert rate.wait(0.0) == pytest.approx(wait)


def test_delay_includes_requests_ahead():
    rate = SendRate()
    rate.limit(2.0, 0.0)
    assert rate.delay(3, 0.0) == pytest.approx(2.0)
