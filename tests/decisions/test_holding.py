"""Tests of how requests are held while a restarted host has no routes."""

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

#: Deadline of callers, and the time after which they abandon a stream without events.
DEADLINE, ABANDON_AFTER = 15.0, 3.2


def is_served(arrival, known_at, hold, choose_retry_delay):
    """Return whether a caller that tries twice is waiting once routes are known."""
    now = arrival
    for _ in range(2):
        if now + hold >= known_at:
            return True
        now += hold + choose_retry_delay(now + hold)
    return False


@pytest.mark.parametrize("outage", [2.0, 3.5, 5.0])
def test_callers_are_served_after_an_outage(outage):
    """Guards against callers that are rejected twice before routes are known."""
    draw = random.Random(1)

    def choose_retry_delay(now):
        return expect_routes(now) * (0.5 + draw.random())

    arrivals = [draw.uniform(0.0, outage) for _ in range(500)]
    held = [
        is_served(a, outage, find_hold(DEADLINE), choose_retry_delay) for a in arrivals
    ]
    short = [
        is_served(a, outage, HOLD_LEAST, lambda _: MIN_RETRY_AFTER_SECONDS)
        for a in arrivals
    ]
    assert held.count(False) < 0.1 * len(held)
    assert held.count(False) <= short.count(False)


def test_hold_ends_before_callers_leave():
    assert find_hold(1000.0) < ABANDON_AFTER


@pytest.mark.parametrize(
    ("patience", "hold"), [(None, HOLD_LEAST), (1.5, HOLD_LEAST), (60.0, HOLD_MOST)]
)
def test_hold_follows_remaining_time_of_caller(patience, hold):
    assert find_hold(patience) == hold


@pytest.mark.parametrize(
    ("waited", "wait"),
    [(0.1, MIN_RETRY_AFTER_SECONDS), (2.0, 2.0), (99.0, MAX_RETRY_AFTER_SECONDS)],
)
def test_retry_delay_follows_outage(waited, wait):
    assert expect_routes(waited) == wait
