"""Requests to targets that name a limit: evenly spaced, whoever shares it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.sendrate import MIN_RATE, SendRate

WINDOW = 4.0


def send_all(rate: SendRate, asked: list[float]) -> list[float]:
    """Return when requests go that are asked for at these seconds."""
    return [now + rate.take(now) for now in asked]


def count_most(sent: list[float]) -> int:
    return max((sum(a <= b < a + WINDOW for b in sent) for a in sent), default=0)


@given(
    st.floats(MIN_RATE, 50.0),
    st.sampled_from([0.0, 1.0]),
    st.lists(st.floats(0.0, 20.0), max_size=80).map(sorted),
)
def test_no_window_holds_more_than_the_limit_and_what_was_saved(limit, saved, asked):
    rate = SendRate(saved)
    rate.limit(limit, 0.0)
    assert count_most(send_all(rate, asked)) <= limit * (WINDOW + saved) + 1 + 1e-6


@pytest.mark.parametrize(("saved", "last"), [(0.0, 11.5), (1.0, 10.5)])
def test_a_moment_without_requests_is_made_up_for(saved, last):
    rate = SendRate(saved)
    rate.limit(2.0, 0.0)
    assert send_all(rate, [10.0] * 4)[-1] == last


@given(
    st.integers(1, 12),
    st.floats(1.0, 10.0),
    st.lists(st.floats(0.0, 1.0), min_size=12, max_size=12),
)
def test_senders_that_share_a_limit_keep_it_together(senders, limit, offsets):
    """Each of them is asked more often than it may send."""
    sent = []
    for offset in offsets[:senders]:
        share = SendRate()
        share.limit(limit / senders, 0.0, offset)
        sent += send_all(share, [0.1 * n for n in range(200)])
    assert count_most(sent) <= limit * WINDOW + senders


def test_without_a_limit_nothing_waits():
    rate = SendRate()
    assert send_all(rate, [1.0] * 9) == [1.0] * 9
    rate.limit(2.0, 1.0)
    rate.limit(None, 1.0)
    assert rate.delay(7, 1.0) == 0.0


def test_a_target_that_takes_nothing_is_asked_now_and_then():
    """Only its own answer tells that it takes requests again."""
    rate = SendRate()
    rate.limit(0.0, 0.0)
    assert rate.wait(0.0) == pytest.approx(1 / MIN_RATE)


@pytest.mark.parametrize(("new", "wait"), [(4.0, 0.5), (1.0, 2.0), (2.0, 1.0)])
def test_what_waits_moves_with_a_changed_limit(new, wait):
    rate = SendRate()
    rate.limit(2.0, 0.0)
    assert send_all(rate, [0.0]) == [0.5]
    rate.limit(new, 0.0)
    assert rate.wait(0.0) == pytest.approx(wait)


def test_the_delay_counts_those_before():
    rate = SendRate()
    rate.limit(2.0, 0.0)
    assert rate.delay(3, 0.0) == pytest.approx(2.0)
