"""Estimates of the speed of simulated engines under load, and choices by them."""

import random
import statistics
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.choice import AdapterState, Candidate, Need, choose_target
from ibishead.decisions.readchains import ReadChains
from ibishead.decisions.readspeed import INITIAL_RATE, MAX_RATE, MIN_RATE, ReadSpeed
from ibishead.decisions.slowdown import SlowdownReadings
from ibishead.decisions.steptime import StepTime
from ibishead.decisions.turns import PromptWindow, Turn, choose_turn
from ibishead.ids import FailureDomain, ModelName, TargetId
from ibishead.routing.targets import WeightKey

RATE, STEP, CHUNK, EVENT = 19_200, 0.0105, 2048, 3
#: Tokens per second that an engine of mean speed reads beside 20 running answers.
READ_RATE = CHUNK / (CHUNK / RATE + STEP * (1 + 20 / 128))
GAP, OBJECTIVE, HERE = 0.3, 1.01, FailureDomain("a")


@dataclass(eq=False)
class Request:
    """A request with the times that its caller sees."""

    came: float
    tokens: int
    answer: int
    sent: float = 0.0
    unread: float = 0.0
    written: int = 0
    first: float = 0.0
    last: float = 0.0
    pause: float = 0.0


class SimulatedEngine:
    """Reads prompts in chunks, one for each token of its running answers.

    The estimates are fed as a steward feeds them; `alone`, only with prompts that were
    alone at the engine.
    """

    def __init__(self, speed, rng, slowdown=lambda now: 1.0, alone=False) -> None:
        self.speed, self.rng, self.slowdown, self.alone = speed, rng, slowdown, alone
        self.window = PromptWindow(GAP)
        self.chains, self.steps = ReadChains(self.window.speed), StepTime()
        self.now, self.single, self.estimates = 0.0, False, []
        self.waiting: dict[Turn, Request] = {}
        self.unread, self.running, self.unseen = [], [], []

    def send(self, request: Request, now: float) -> None:
        request.sent = now
        request.unread = request.tokens * (0.5 if self.rng.random() < 0.15 else 1.0)
        if not (self.unread or self.running):
            self.now = max(self.now, now)
        self.single = not (self.unread or self.unseen)
        self.window.take(request.tokens, now)
        self.unread.append(request)

    def run(self, until: float) -> None:
        while self.now < until and (self.unread or self.running):
            room, read = CHUNK, []
            while self.unread and room > 0:
                part = min(room, self.unread[0].unread)
                self.unread[0].unread -= part
                room -= part
                if not self.unread[0].unread:
                    read.append(self.unread.pop(0))
            seconds = STEP * (1 + len(self.running) / 128) + (CHUNK - room) / RATE
            self.now += seconds * self.slowdown(self.now) / self.speed
            for request in list(self.running):
                self.write(request)
            self.running += read
            self.unseen += read

    def write(self, request: Request) -> None:
        request.written += 1
        if request.written % EVENT == 0:
            if request.first:
                request.pause = max(request.pause, self.now - request.last)
            else:
                request.first = self.now
                self.unseen.remove(request)
                self.record(request)
            request.last = self.now
        if request.written >= request.answer:
            self.running.remove(request)
            seconds = request.last - request.first
            written = request.written - request.written % EVENT
            self.steps.record(written, EVENT, seconds)
            self.window.record_pause(request.pause)

    def record(self, request: Request) -> None:
        late = 0.003 + 0.03 * (self.rng.random() < 0.05)
        idle, seconds = not (self.unread or self.unseen), self.now - request.sent + late
        if not self.alone:
            self.chains.record(request.tokens, seconds, idle, self.now + late)
        elif idle and self.single:
            self.window.speed.record(request.tokens, seconds, self.now)
        self.estimates.append((self.now, self.window.speed.rate / READ_RATE))


def make_requests(rng, per_second, seconds):
    now = 0.0
    while (now := now + rng.expovariate(per_second)) < seconds:
        tokens = rng.lognormvariate(6.9 if rng.random() < 0.6 else 6.1, 0.7)
        answer = max(2 * EVENT, int(rng.lognormvariate(4.6, 0.6)))
        yield Request(now, min(6_000, max(50, int(tokens))), answer)


def load_engine(speed, seed, slowdown=lambda now: 1.0, per_second=8, seconds=40):
    rng = random.Random(seed)
    engine = SimulatedEngine(speed, rng, slowdown)
    for request in make_requests(rng, per_second, seconds):
        engine.run(request.came)
        engine.send(request, request.came)
    return engine


@pytest.mark.parametrize("speed", [0.6, 1.0, 1.6])
def test_speed_of_a_loaded_engine_is_learned(speed):
    """Guards against a slow engine that keeps the initial rate under load."""
    engines = [load_engine(speed, seed) for seed in range(6)]
    rates = [r / speed for e in engines for at, r in e.estimates if at > 10]
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
        slow_rates = [rate / speed for at, rate in engine.estimates if 25 < at < 26.5]
        rates = [rate / speed for at, rate in engine.estimates if at > 32]
        assert 0.1 < min(slow_rates) <= statistics.median(slow_rates) < 0.45
        assert sum(0.75 < rate < 1.33 for rate in rates) > 0.9 * len(rates)


def play(alone: bool, seed: int) -> tuple[float, float]:
    """Return the shares of late and of paused answers of six uneven engines."""
    rng = random.Random(seed)
    engines = [SimulatedEngine(s, rng, alone=alone) for s in (0.6, 1.0, 1.6) * 2]
    requests = list(make_requests(rng, 72, 25))
    coming, now, count = iter(requests), 0.0, 0
    request = next(coming)
    while now < 28:
        now += 0.005
        while request is not None and request.came <= now:
            known = [make_candidate(n, e, now, alone) for n, e in enumerate(engines)]
            need = Need(HERE, WeightKey(ModelName("m"), "a"))
            if not alone:
                need = Need(need.domain, need.weights, 0.0, frozenset(), request.tokens)
            chosen = choose_target(need, known, rng.random)
            turn = Turn(count := count + 1, request.tokens, request.came + OBJECTIVE)
            engines[int(chosen.candidate.target)].waiting[turn] = request
            request = next(coming, None)
        for engine in engines:
            engine.run(now)
            while turn := choose_turn(engine.waiting, now):
                if engine.window.wait(turn.tokens, now) > 0:
                    break
                engine.send(engine.waiting.pop(turn), now)
    late = sum(not r.first or r.first - r.came > OBJECTIVE for r in requests)
    return late / count, sum(r.pause > GAP for r in requests) / count


def make_candidate(number, engine, now, alone):
    unread = sum(r.tokens for r in engine.unread)
    queued = sum(r.tokens for r in engine.waiting.values())
    return Candidate(
        TargetId(str(number)),
        HERE,
        len(engine.running) + len(engine.unread) + len(engine.waiting),
        64,
        unread,
        prompt_wait=engine.window.delay(queued, now),
        read_rate=engine.window.speed.rate,
        step_time=0.0 if alone else engine.steps.seconds,
        adapter=AdapterState(resident=True),
    )


@pytest.mark.parametrize("seed", [0, 1])
def test_callers_of_uneven_engines_see_fewer_pauses(seed):
    """Guards against slow engines that are sent as many prompts as fast ones."""
    old_late, old_paused = play(True, seed)
    late, paused = play(False, seed)
    assert paused < 0.6 * old_paused
    assert late + paused < 0.7 * (old_late + old_paused)
