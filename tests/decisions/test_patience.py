"""Tests of the order timeout on fast and on overloaded hosts."""

import random

import pytest

from ibishead.decisions.patience import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    OrderTimeout,
)


@pytest.mark.parametrize(
    ("answers", "least", "most"),
    [
        ([], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        ([0.002] * 3, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
        # An overloaded host answers slowly.
        ([0.02] * 3, 0.07, 0.09),
        ([0.002, 0.002, 0.02], 0.07, 0.09),
        # The host answers fast again.
        ([0.02] + [0.002] * 20, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
        ([1.0], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
    ],
)
def test_timeout_follows_answer_times(answers, least, most):
    timeout = OrderTimeout()
    for seconds in answers:
        timeout.record_answer(seconds)
    assert least <= timeout.seconds <= most


def test_timeout_grows_until_an_answer_arrives():
    """Guards against a timeout that stays below the answer time of a slow host.

    Every answer would then arrive after its timeout.
    """
    timeout = OrderTimeout()
    timeout.record_answer(0.001)
    waits = []
    for _ in range(4):
        waits.append(timeout.seconds)
        timeout.record_timeout()
    assert waits == sorted(waits)
    assert timeout.seconds == MAX_TIMEOUT_SECONDS
    timeout.record_answer(0.001)
    assert timeout.seconds == MIN_TIMEOUT_SECONDS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_unanswered_orders_delay_others_little(seed):
    """Guards against unanswered orders that block the others.

    Callers then wait one second for adapters that load in 0.25 s.
    """
    rng, timeout, timeouts = random.Random(seed), OrderTimeout(), []
    for _ in range(200):
        if rng.random() < 1 / 3:
            timeouts.append(timeout.seconds)
            timeout.record_timeout()
        else:
            timeout.record_answer(rng.uniform(0.001, 0.004))
    assert sum(timeouts) < len(timeouts) * MAX_TIMEOUT_SECONDS / 2
