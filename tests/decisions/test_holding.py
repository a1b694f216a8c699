"""What callers get while a host that has just started knows no routes."""

import random

import pytest

from ibishead.decisions.holding import (
    HOLD_LEAST,
    HOLD_MOST,
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    expect_routes,
    find_hold,
)

#: Seconds that callers have, and in which they leave a stream without an event.
DEADLINE, LEAVE = 15.0, 3.2


def is_served(arrival, known_at, hold, come_back):
    """Return whether a caller who tries twice is there when routes are known."""
    now = arrival
    for _ in range(2):
        if now + hold >= known_at:
            return True
        now += hold + come_back(now + hold)
    return False


@pytest.mark.parametrize("outage", [2.0, 3.5, 5.0])
def test_callers_of_an_outage_are_served_once_it_is_over(outage):
    """Guards against callers who are refused twice before routes are known."""
    draw = random.Random(1)

    def come_back(now):
        return expect_routes(now) * (0.5 + draw.random())

    arrivals = [draw.uniform(0.0, outage) for _ in range(500)]
    held = [is_served(a, outage, find_hold(DEADLINE), come_back) for a in arrivals]
    short = [
        is_served(a, outage, HOLD_LEAST, lambda _: MIN_RETRY_AFTER_SECONDS)
        for a in arrivals
    ]
    assert held.count(False) < 0.1 * len(held)
    assert held.count(False) <= short.count(False)


def test_nobody_is_held_until_he_leaves():
    assert find_hold(1000.0) < LEAVE


@pytest.mark.parametrize(
    ("patience", "hold"), [(None, HOLD_LEAST), (1.5, HOLD_LEAST), (60.0, HOLD_MOST)]
)
def test_routes_are_waited_for_by_what_the_caller_can_wait(patience, hold):
    assert find_hold(patience) == hold


@pytest.mark.parametrize(
    ("waited", "wait"),
    [(0.1, MIN_RETRY_AFTER_SECONDS), (2.0, 2.0), (99.0, MAX_RETRY_AFTER_SECONDS)],
)
def test_the_time_to_come_back_follows_the_outage(waited, wait):
    assert expect_routes(waited) == wait
