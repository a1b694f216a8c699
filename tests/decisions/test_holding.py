"""Tests of how requests are held while a restarted host has no routes."""

import random

import pytest

from ibishead.decisions.holding import (
    MAX_HOLD_SECONDS,
    MAX_RETRY_AFTER_SECONDS,
    MIN_HOLD_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    compute_hold,
    estimate_route_wait,
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
        return estimate_route_wait(now) * (0.5 + draw.random())

    arrivals = [draw.uniform(0.0, outage) for _ in range(500)]
    held = [
        is_served(a, outage, compute_hold(DEADLINE), choose_retry_delay)
        for a in arrivals
    ]
    short = [
        is_served(a, outage, MIN_HOLD_SECONDS, lambda _: MIN_RETRY_AFTER_SECONDS)
        for a in arrivals
    ]
    assert held.count(False) < 0.1 * len(held)
    assert held.count(False) <= short.count(False)


def test_hold_ends_before_callers_leave():
    assert compute_hold(1000.0) < ABANDON_AFTER


@pytest.mark.parametrize(
    ("remaining", "hold"),
    [(None, MIN_HOLD_SECONDS), (1.5, MIN_HOLD_SECONDS), (60.0, MAX_HOLD_SECONDS)],
)
def test_hold_follows_remaining_time_of_caller(remaining, hold):
    assert compute_hold(remaining) == hold


@pytest.mark.parametrize(
    ("waited", "wait"),
    [(0.1, MIN_RETRY_AFTER_SECONDS), (2.0, 2.0), (99.0, MAX_RETRY_AFTER_SECONDS)],
)
def test_retry_delay_follows_outage(waited, wait):
    assert estimate_route_wait(waited) == wait
