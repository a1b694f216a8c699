"""Estimates of the speed of simulated engines under load, and choices by them."""

import random
import statistics

import pytest
from benchmarks.bench_enginespeed import BEFORE, STEP, WAYS, load_engine, play
from hypothesis import given
from hypothesis import strategies as st

from ibishead.clock import ManualClock
from ibishead.decisions.readchains import ReadChains
from ibishead.decisions.readspeed import INITIAL_RATE, MAX_RATE, MIN_RATE, ReadSpeed
from ibishead.decisions.slowdown import SlowdownReadings
from ibishead.decisions.steptime import StepTime
from ibishead.steward.turns import TurnQueue


@pytest.mark.parametrize("speed", [0.6, 1.0, 1.6])
def test_speed_of_a_loaded_engine_is_learned(speed):
    """Guards against a slow engine that keeps the initial rate under load."""
    engines = [load_engine(speed, seed) for seed in range(6)]
    rates = [r for e in engines for at, r in e.estimates if at > 10]
    assert sum(0.75 < rate < 1.25 for rate in rates) > 0.9 * len(rates)
    for engine in engines:
        assert STEP / speed < engine.steps.seconds < 8 * STEP / speed


def test_too_low_an_estimate_is_corrected_without_long_prompts():
    """Guards against an engine that is passed over for a wrong estimate for good."""
    speed = ReadSpeed()
    for number in range(8):
        speed.record(1000 + 300 * number, 2.0 + 0.9 * number, number)
    assert speed.rate < 500
    for second in range(8, 120):
        speed.record(100, 0.04, second)
        speed.relax(second)
    assert 0.7 * INITIAL_RATE < speed.rate <= INITIAL_RATE


@pytest.mark.parametrize("rate", [6_000, 22_000])
def test_too_high_an_estimate_is_corrected_by_prompts_of_equal_length(rate):
    """Guards against a limit on prompts that is without effect for good.

    An engine that has become slow reads prompts of similar length, each alone.
    """
    for seed in range(6):
        rng, speed, now = random.Random(seed), ReadSpeed(), 0.0
        chains = ReadChains(speed)
        for number in range(500):
            slow = number >= 60
            tokens = rng.randint(600, 700) if slow else rng.randint(200, 3000)
            seconds = 0.03 + tokens / (rate if slow else 22_000)
            now += rng.expovariate(5) + seconds
            chains.record(tokens, seconds, True, now)
            speed.relax(now)
        assert speed.rate < 1.5 * INITIAL_RATE


@pytest.mark.parametrize(("quiet", "known"), [(1.0, True), (22.0, False)])
def test_step_time_that_no_answer_confirms_is_discarded(quiet, known):
    """Guards against an engine that is passed over for a slow period for good."""
    clock = ManualClock()
    queue = TurnQueue(clock, print, print, print)
    for _ in range(8):
        clock.step(5.0)
        queue.record_answer(100, 1, 4.95)
    assert queue.step_time.seconds == pytest.approx(0.05)
    clock.step(quiet)
    queue.record_report(0)
    assert (queue.step_time.seconds > 0) == known


NUMBERS = st.one_of(st.floats(), st.integers(-(10**30), 10**30).map(float))


@given(st.lists(st.tuples(NUMBERS, NUMBERS, st.booleans()), max_size=60))
def test_values_from_links_leave_estimates_valid(values):
    speed, steps, host = ReadSpeed(), StepTime(), SlowdownReadings()
    chains = ReadChains(speed)
    for number, (tokens, seconds, idle) in enumerate(values):
        host.record(seconds, number)
        chains.record(tokens, seconds, idle, number, host.mean(number - 1, number))
        speed.record(tokens, seconds, number, idle)
        steps.record(tokens, 1, seconds, host.read(number))
        speed.relax(number)
        assert MIN_RATE <= speed.rate <= MAX_RATE
        assert 0 <= speed.constant <= 1
        assert 0 <= steps.seconds <= 10
        assert 0.1 <= host.mean(0, number) <= 100


INVALID = [(5, float("nan")), (5, float("inf")), (-5, 0.1), (5, -1.0), (10**9, 0.1)]


@given(st.lists(st.sampled_from(INVALID), min_size=1), st.integers(0, 9))
def test_invalid_values_change_no_estimate(invalid, seed):
    rng, found = random.Random(seed), []
    values = [(t, 0.05 + t / 9000) for t in rng.sample(range(100, 4000), 40)]
    for extra in ([], invalid):
        speed, steps, host = ReadSpeed(), StepTime(), SlowdownReadings()
        chains = ReadChains(speed)
        for number, (tokens, seconds) in enumerate(values):
            host.record(2.0, number)
            for pair in [(tokens, seconds), *extra]:
                chains.record(*pair, True, number)
                steps.record(pair[0], 1, pair[1] if pair[1] != 0.1 else -1.0)
                host.record(pair[1] if pair in extra else None, number)
        found.append((speed.rate, speed.constant, steps.seconds, host.read(40)))
    assert found[0] == found[1]


@pytest.mark.parametrize("speed", [1.0, 1.6])
def test_a_slow_period_is_followed_and_ends(speed):
    """Guards against pauses while an engine is slow, and against starving it after."""
    for seed in range(6):
        slow = lambda now: 3.5 if 20 <= now < 26.5 else 1.0  # noqa: E731
        engine = load_engine(speed, seed, slow, per_second=6)
        slow_rates = [rate for at, rate in engine.estimates if 25 < at < 26.5]
        rates = [rate for at, rate in engine.estimates if at > 32]
        assert 0.1 < min(slow_rates) <= statistics.median(slow_rates) < 0.45
        assert sum(0.75 < rate < 1.33 for rate in rates) > 0.9 * len(rates)


@pytest.mark.parametrize("seed", [0, 1])
def test_callers_of_uneven_engines_see_fewer_pauses(seed):
    """Guards against slow engines that are sent as many prompts as fast ones."""
    old_late, old_paused = play(BEFORE, seed, 72, False)
    late, paused = play(WAYS[-1], seed, 72, False)
    assert paused < 0.6 * old_paused
    assert late + paused < 0.7 * (old_late + old_paused)


@pytest.mark.parametrize(
    ("usual", "moment"), [(1.0, 2.5), (1.6, 4.0), (0.6, 1.5), (1.0, 1.0)]
)
def test_a_reading_fades_to_what_is_usual_at_its_host(usual, moment):
    """Slow hosts looked as fast as the others whenever no reading was recent."""
    readings, draw = SlowdownReadings(), random.Random(5)
    now = 0.0
    for period in range(20):
        value = moment if draw.random() < 0.15 else usual
        for step in range(4):
            now = 0.6 * period + 0.15 * step
            readings.record(value, now)
    assert readings.usual == usual
    readings.record(moment, now)
    assert readings.read(now) == readings.expect(now) == moment
    assert readings.read(now + 1.0) == readings.expect(now + 1.0) == usual
    assert readings.mean(now + 2.0, now + 3.0) == usual
