"""How long answers to orders are waited for, on quick and on slowed hosts."""

import random

import pytest

from ibishead.decisions.patience import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    OrderPatience,
)


@pytest.mark.parametrize(
    ("answers", "least", "most"),
    [
        ([], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        ([0.002] * 3, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
        # a slowed host
        ([0.02] * 3, 0.07, 0.09),
        ([0.002, 0.002, 0.02], 0.07, 0.09),
        # quick again
        ([0.02] + [0.002] * 20, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
        ([1.0], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
    ],
)
def test_patience_follows_the_answers(answers, least, most):
    patience = OrderPatience()
    for seconds in answers:
        patience.note_answer(seconds)
    assert least <= patience.seconds <= most


def test_silence_in_a_row_is_waited_for_longer_until_an_answer_comes():
    """A host turns slow: an answer that takes longer would never be heard."""
    patience = OrderPatience()
    patience.note_answer(0.001)
    waits = []
    for _ in range(4):
        waits.append(patience.seconds)
        patience.note_silence()
    assert waits == sorted(waits)
    assert patience.seconds == MAX_TIMEOUT_SECONDS
    patience.note_answer(0.001)
    assert patience.seconds == MIN_TIMEOUT_SECONDS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_orders_left_unanswered_hold_the_others_up_little(seed):
    """Callers wait a second for adapters that take a quarter of one."""
    rng, patience, silences = random.Random(seed), OrderPatience(), []
    for _ in range(200):
        if rng.random() < 1 / 3:
            silences.append(patience.seconds)
            patience.note_silence()
        else:
            patience.note_answer(rng.uniform(0.001, 0.004))
    assert sum(silences) < len(silences) * MAX_TIMEOUT_SECONDS / 2
