"""Tests of read rate estimates for engines of any speed."""

import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.readspeed import INITIAL_RATE, MAX_RATE, ReadSpeed
from ibishead.decisions.turns import PromptWindow


def simulate(rng, rate, answers, cached=0.15, speed=None):
    """Return the estimator after answers of an engine with a given read rate.

    :param rate: prompt tokens per second.
    :param answers: number of answers.
    :param cached: share of prompts of which half is cached.
    :param speed: estimator to use, a new one by default.
    """
    speed = speed or ReadSpeed()
    for _ in range(answers):
        tokens = max(50, int(rng.lognormvariate(6.6, 0.8)))
        read = tokens / 2 if rng.random() < cached else tokens
        noise = rng.uniform(0.0, 0.004) + 0.03 * (rng.random() < 0.05)
        speed.record(tokens, 0.035 + read / rate + noise)
    return speed


@given(st.floats(4_000, 100_000), st.integers(0, 10**6))
def test_new_engine_is_estimated_after_some_answers(rate, seed):
    found = simulate(random.Random(seed), rate, 64).rate
    assert 0.6 * rate < found < 2.0 * rate


@pytest.mark.parametrize("rate", [4_000, 10_000, 20_400, 38_100, 100_000])
def test_estimate_is_close_for_engines_of_different_speed(rate):
    """Guards against a wrong estimate.

    If it is too low, prompts wait at an idle engine; if too high, answers pause.
    """
    found = [simulate(random.Random(n), rate, 64).rate for n in range(20)]
    assert 0.8 * rate < statistics.median(found) < 1.25 * rate


def test_slowdown_is_detected_within_next_answers():
    rng = random.Random(3)
    speed = simulate(rng, 40_000, 64)
    assert simulate(rng, 8_000, 32, speed=speed).rate < 12_000


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([], INITIAL_RATE),
        # Prompts of equal length show no rate.
        ([(700, 0.05)] * 40, INITIAL_RATE),
        # The time does not depend on the length.
        ([(100 * n, 0.05) for n in range(1, 33)], MAX_RATE),
    ],
)
def test_uninformative_answers(samples, expected):
    speed = ReadSpeed()
    for tokens, seconds in samples:
        speed.record(tokens, seconds)
    assert speed.rate == expected


def test_prompt_window_follows_read_rate():
    """Guards against a fast engine that is idle while prompts wait at its steward."""
    window = PromptWindow(0.3)
    before = window.limit
    simulate(random.Random(1), 80_000, 64, speed=window.speed)
    assert window.limit > 2 * before
