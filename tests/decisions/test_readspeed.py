"""How fast engines of any make read, learned from answers as they come."""

import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.readspeed import FIRST_RATE, MAX_RATE, ReadSpeed
from ibishead.decisions.turns import PromptWindow


def play(rng, rate, answers, kept=0.15, speed=None):
    """Return an estimate after answers of an engine that reads at a rate.

    :param kept: share of prompts of which half had been read before.
    """
    speed = speed or ReadSpeed()
    for _ in range(answers):
        tokens = max(50, int(rng.lognormvariate(6.6, 0.8)))
        read = tokens / 2 if rng.random() < kept else tokens
        noise = rng.uniform(0.0, 0.004) + 0.03 * (rng.random() < 0.05)
        speed.note(tokens, 0.035 + read / rate + noise)
    return speed


@given(st.floats(4_000, 100_000), st.integers(0, 10**6))
def test_an_engine_that_nobody_has_seen_is_known_after_some_answers(rate, seed):
    found = play(random.Random(seed), rate, 64).rate
    assert 0.6 * rate < found < 2.0 * rate


@pytest.mark.parametrize("rate", [4_000, 10_000, 20_400, 38_100, 100_000])
def test_the_estimate_is_closer_than_any_one_figure_for_all_engines(rate):
    """Prompts wait for turns that an idle engine could give, or answers pause."""
    found = [play(random.Random(n), rate, 64).rate for n in range(20)]
    assert 0.8 * rate < statistics.median(found) < 1.25 * rate


def test_an_engine_that_slows_down_is_noticed_within_its_next_answers():
    rng = random.Random(3)
    speed = play(rng, 40_000, 64)
    assert play(rng, 8_000, 32, speed=speed).rate < 12_000


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([], FIRST_RATE),
        # equal lengths tell nothing of the speed
        ([(700, 0.05)] * 40, FIRST_RATE),
        # length makes no difference
        ([(100 * n, 0.05) for n in range(1, 33)], MAX_RATE),
    ],
)
def test_answers_that_tell_little(samples, expected):
    speed = ReadSpeed()
    for tokens, seconds in samples:
        speed.note(tokens, seconds)
    assert speed.rate == expected


def test_turns_follow_the_speed_of_the_engine():
    """A quick engine stands idle while prompts wait for turns in its steward."""
    window = PromptWindow(0.3)
    before = window.limit
    play(random.Random(1), 80_000, 64, speed=window.speed)
    assert window.limit > 2 * before
