"""Compares estimates of engines' speeds, and choices by them, in simulated engines.

Run with ``python -m benchmarks.bench_enginespeed``; it prints Markdown tables. Engines
differ in speed, read prompts in chunks between the tokens of their running answers, and
share their hosts with other work. The estimates and the choice are the product's own.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ibishead.decisions.choice import AdapterState, Candidate, Need, choose_target
from ibishead.decisions.readchains import ReadChains
from ibishead.decisions.slowdown import fade_slowdown
from ibishead.decisions.steptime import StepTime
from ibishead.decisions.turns import PromptWindow, Turn, choose_turn
from ibishead.ids import FailureDomain, ModelName, TargetId
from ibishead.routing.targets import WeightKey

#: Prompt tokens per second, seconds of a step, tokens in one event and prompt tokens
#: per step of an engine of mean speed.
RATE, STEP, EVENT = 19_200, 0.0105, 3
CHUNK = 2_048
GAP, OBJECTIVE, SECONDS = 0.3, 1.01, 25.0
SPEEDS = (0.6, 1.0, 1.6)
READING_SECONDS = 0.25
HERE, KEY = FailureDomain("a"), WeightKey(ModelName("m"), "a")


def find_read_rate(chunk: int = CHUNK) -> float:
    """Return the rate at which an engine reads beside 20 running answers."""
    return chunk / (chunk / RATE + STEP * (1 + 20 / 128))


def never(now: float) -> float:
    """Return the slowdown of a host that works as usual."""
    return 1.0


def make_flicker(seed: int) -> Callable[[float], float]:
    """Return the slowdown of a host that is slow for 15% of the time."""
    rng = random.Random(seed)
    offset = 0.6 * rng.random()
    states = [2.5 if rng.random() < 0.15 else 1.0 for _ in range(100)]
    return lambda now: states[int((now + offset) / 0.6) % 100]


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


@dataclass(frozen=True)
class Way:
    """What a choice knows.

    :param alone: the read rate is learned from prompts that were alone at an engine.
    :param own: the request's own prompt and expected pauses count.
    :param slowdown: the slowdown of the moment counts.
    """

    name: str
    alone: bool = False
    own: bool = True
    slowdown: bool = True


BEFORE = Way("before", alone=True, own=False, slowdown=False)
WAYS = (
    BEFORE,
    Way("learned rate", own=False, slowdown=False),
    Way("and own prompt, pauses", slowdown=False),
    Way("and slowdown"),
)


class SimulatedEngine:
    """An engine and what its steward learns of it."""

    def __init__(
        self,
        speed: float,
        rng: random.Random,
        slowdown: Callable[[float], float] = never,
        alone: bool = False,
        chunk: int = CHUNK,
        normalised: bool = False,
    ) -> None:
        self.speed, self.rng, self.slowdown, self.alone = speed, rng, slowdown, alone
        self.normalised, self.chunk = normalised, chunk
        self.window = PromptWindow(GAP)
        self.chains, self.steps = ReadChains(self.window.speed), StepTime()
        self.now, self.single = 0.0, False
        self.estimates: list[tuple[float, float]] = []
        self.waiting: dict[Turn, Request] = {}
        self.unread: list[Request] = []
        self.running: list[Request] = []
        self.unseen: list[Request] = []

    def send(self, request: Request, now: float) -> None:
        """Begin a request; parts of 15 of 100 prompts are cached."""
        request.sent = now
        request.unread = request.tokens * (0.5 if self.rng.random() < 0.15 else 1.0)
        if not (self.unread or self.running):
            self.now = max(self.now, now)
        self.single = not (self.unread or self.unseen)
        self.window.take(request.tokens, now)
        self.unread.append(request)

    def run(self, until: float) -> None:
        """Run steps until a time."""
        while self.now < until and (self.unread or self.running):
            room, read = float(self.chunk), []
            while self.unread and room > 0:
                part = min(room, self.unread[0].unread)
                self.unread[0].unread -= part
                room -= part
                if not self.unread[0].unread:
                    read.append(self.unread.pop(0))
            seconds = STEP * (1 + len(self.running) / 128) + (self.chunk - room) / RATE
            self.now += seconds * self.slowdown(self.now) / self.speed
            for request in list(self.running):
                self._write(request)
            self.running += read
            self.unseen += read

    def _write(self, request: Request) -> None:
        request.written += 1
        if request.written % EVENT == 0:
            if request.first:
                request.pause = max(request.pause, self.now - request.last)
            else:
                request.first = self.now
                self.unseen.remove(request)
                self._record(request)
            request.last = self.now
        if request.written >= request.answer:
            self.running.remove(request)
            written = request.written - request.written % EVENT
            self.steps.record(written, EVENT, request.last - request.first)
            self.window.record_pause(request.pause)

    def _record(self, request: Request) -> None:
        late = 0.003 + 0.03 * (self.rng.random() < 0.05)
        idle, seconds = not (self.unread or self.unseen), self.now - request.sent + late
        if not self.alone:
            slowdown = self.slowdown(self.now) if self.normalised else 1.0
            self.chains.record(request.tokens, seconds, idle, self.now + late, slowdown)
        elif idle and self.single:
            self.window.speed.record(request.tokens, seconds, self.now)
        share = self.window.speed.rate / find_read_rate(self.chunk) / self.speed
        self.estimates.append((self.now, share))

    def describe(self, name: int, now: float, way: Way) -> Candidate:
        """Return what a gateway knows, with readings that are up to 0.25 s old."""
        age = now % READING_SECONDS
        reading = self.slowdown(now - age) if way.slowdown else 1.0
        self.window.slowdown = reading
        queued = sum(request.tokens for request in self.waiting.values())
        return Candidate(
            TargetId(str(name)),
            HERE,
            len(self.running) + len(self.unread) + len(self.waiting),
            64,
            sum(request.tokens for request in self.unread),
            prompt_wait=self.window.delay(queued, now),
            read_rate=self.window.speed.rate,
            step_time=self.steps.seconds if way.own else 0.0,
            slowdown=fade_slowdown(reading, age),
            adapter=AdapterState(resident=True),
        )


def make_requests(
    rng: random.Random, per_second: float, seconds: float
) -> Iterator[Request]:
    """Yield requests of a long and a short kind."""
    now = 0.0
    while (now := now + rng.expovariate(per_second)) < seconds:
        tokens = rng.lognormvariate(6.9 if rng.random() < 0.6 else 6.1, 0.7)
        answer = max(2 * EVENT, int(rng.lognormvariate(4.6, 0.6)))
        yield Request(now, min(6_000, max(50, int(tokens))), answer)


def load_engine(
    speed: float,
    seed: int,
    slowdown: Callable[[float], float] = never,
    per_second: float = 8,
    alone: bool = False,
    chunk: int = CHUNK,
) -> SimulatedEngine:
    """Return an engine that has been sent prompts for 40 s, without a window."""
    rng = random.Random(seed)
    engine = SimulatedEngine(speed, rng, slowdown, alone, chunk)
    for request in make_requests(rng, per_second, 40):
        engine.run(request.came)
        engine.send(request, request.came)
    return engine


def play(
    way: Way, seed: int, per_second: float, flicker: bool, chunk: int = CHUNK
) -> tuple[float, float]:
    """Return the shares of late and of paused answers of six uneven engines."""
    rng = random.Random(seed)
    engines = [
        SimulatedEngine(
            speed,
            rng,
            make_flicker(100 * seed + n) if flicker else never,
            way.alone,
            chunk,
            way.slowdown,
        )
        for n, speed in enumerate(SPEEDS * 2)
    ]
    requests = list(make_requests(rng, per_second, SECONDS))
    coming, now, count = iter(requests), 0.0, 0
    request = next(coming, None)
    while now < SECONDS + 3:
        now += 0.005
        while request is not None and request.came <= now:
            known = [engine.describe(n, now, way) for n, engine in enumerate(engines)]
            need = Need(HERE, KEY)
            if way.own:
                need = Need(
                    HERE,
                    KEY,
                    prompt_tokens=request.tokens,
                    gap_objective=GAP,
                    event_tokens=EVENT,
                )
            chosen = choose_target(need, known, rng.random)
            assert chosen is not None
            turn = Turn(count := count + 1, request.tokens, request.came + OBJECTIVE)
            engines[int(chosen.candidate.target)].waiting[turn] = request
            request = next(coming, None)
        for engine in engines:
            engine.run(now)
            while (best := choose_turn(engine.waiting, now)) is not None:
                if engine.window.wait(best.tokens, now) > 0:
                    break
                engine.send(engine.waiting.pop(best), now)
    late = sum(not r.first or r.first - r.came > OBJECTIVE for r in requests)
    return late / count, sum(r.pause > GAP for r in requests) / count


def main() -> None:
    """Print the tables."""
    print("| chunk | speed | prompts/s | before | learned |\n" + "| ---: " * 5 + "|")
    for chunk in (512, CHUNK):
        for speed, load in ((0.6, 3), (0.6, 8), (1.0, 5), (1.0, 12), (1.6, 14)):
            row = []
            for alone in (True, False):
                engines = [
                    load_engine(speed, seed, never, load, alone, chunk)
                    for seed in range(6)
                ]
                shares = [s for e in engines for at, s in e.estimates if at > 10]
                close = sum(0.75 < s < 1.25 for s in shares) / len(shares)
                row.append(f"{close:.2f}")
            print(f"| {chunk} | {speed} | {load} | {row[0]} | {row[1]} |")
    print("\n| chunk | requests/s | hosts | way | late | paused |")
    print("| ---: | ---: | --- | --- | ---: | ---: |")
    for chunk, load, flicker in (
        (512, 72, False),
        (CHUNK, 72, False),
        (512, 60, True),
        (CHUNK, 60, True),
    ):
        for way in WAYS:
            if way.slowdown and not flicker:
                continue
            found = [play(way, seed, load, flicker, chunk) for seed in range(6)]
            late, paused = (sum(x) / len(found) for x in zip(*found, strict=True))
            hosts = "slow at times" if flicker else "as usual"
            print(
                f"| {chunk} | {load} | {hosts} | {way.name} | {late:.3f} "
                f"| {paused:.3f} |"
            )


if __name__ == "__main__":
    main()
