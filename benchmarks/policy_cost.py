"""Compares choices of an engine, and orders at its door, by the cost of requests.

Runs in virtual time with the decisions and the tracker of the gateway; engines are
simulated as continuous batching with chunked prompts. Adapters are resident on every
engine, and gateways and stewards exchange messages without delay, but for the engines'
reports. Usage: ``python -m benchmarks.policy_cost``.
"""

import heapq
import math
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import click

from benchmarks.policy.model import Calendar
from ibishead.decisions.answerlength import AnswerContext, AnswerLengths
from ibishead.decisions.choice import Need, choose_target
from ibishead.decisions.enginework import EngineWork
from ibishead.decisions.keptparts import KeptParts, PartChain, chain_parts
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import FailureDomain, ModelName, PartKey, ServiceName, TargetId
from ibishead.routing.messages import EngineReport
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    TargetState,
    WeightKey,
)
from ibishead.routing.work import RequestWork

__all__ = ["main"]

#: The archive of docs/design/hard-load.md.
ENGINES, GATEWAYS, SLOTS, MEMORY = 24, 8, 64, 129_520
SPEEDS = (0.6, 1.0, 1.6)
STEP_SECONDS, REQUEST_STEP_SECONDS = 0.0105, 0.00005
READ_RATE, CHUNK_TOKENS, EVENT_TOKENS = 19_200.0, 512, 3
REPORT_SECONDS, REPORT_DELAY = 0.5, 0.2
OBJECTIVE_SECONDS = 1.01
WARM_UP_SECONDS, RUN_SECONDS = 10.0, 40.0
ADAPTERS = tuple(f"a{number}" for number in range(300))
MODEL, HOME = ModelName("m"), FailureDomain("a")
HOLDINGS = (Holding(MODEL, 1, tuple(AdapterRef(name, 1) for name in ADAPTERS)),)


@dataclass(eq=False)
class Request:
    """One request; times are virtual seconds.

    :param hint: the caller's estimate of its answer.
    :ivar left: answer tokens that are not written yet.
    :ivar unread: prompt tokens that the engine has still to read.
    """

    number: int
    arrived: float
    gateway: int
    prompt: int
    answer: int
    hint: int
    weights: WeightKey
    chain: PartChain
    parts: tuple[int, int]
    subject: str
    work: RequestWork = RequestWork()
    left: int = 0
    unread: int = 0
    started_step: int = 0
    run: int = 0
    first_at: float | None = None
    preempted: int = 0

    @property
    def context(self) -> AnswerContext:
        """What its answer's length is estimated from."""
        return AnswerContext("r", "", self.subject, self.weights.adapter, self.hint)


@dataclass(frozen=True)
class Policy:
    """What is compared.

    :param choice: name of the choice.
    :param admission: ``none``, ``means``, ``margin`` (the steward's) or ``uppers``.
    :param shortest_first: order at the engine's door; otherwise in order of arrival.
    """

    name: str
    choice: str = "new"
    admission: str = "margin"
    known_rates: bool = True
    shortest_first: bool = False
    use_hints: bool = True
    use_histories: bool = True


class Engine:
    """An engine with continuous batching, and its steward's door."""

    def __init__(
        self, calendar: Calendar, index: int, memory: int, policy: Policy
    ) -> None:
        self.speed = SPEEDS[index % len(SPEEDS)]
        self.index, self.memory = index, memory
        self.rate = READ_RATE * self.speed
        self.work, self.kept = EngineWork(), KeptParts()
        self.on_first: Callable[[Request], None] = print
        self.on_end: Callable[[Request], None] = print
        self.running: dict[Request, None] = {}
        self.door: list[Request] = []
        self._calendar, self._policy = calendar, policy
        self._prompts: deque[Request] = deque()
        self._ends: list[tuple[int, int, int, Request]] = []
        self._steps = self._held = 0
        self._active = False
        self.preemptions = 0

    @property
    def count(self) -> int:
        """Number of requests at the engine and at its door."""
        return len(self.running) + len(self._prompts) + len(self.door)

    @property
    def queued(self) -> int:
        """Number of requests whose prompts are not read, or were preempted."""
        return len(self._prompts)

    @property
    def held(self) -> int:
        """Tokens in memory of running requests."""
        return self._held

    def estimate_first(self, request: Request) -> float:
        """Return the seconds to a request's first event, knowing all lengths."""
        waiting = [*self._prompts, *self.door]
        tokens = sum(r.unread for r in waiting) + self._count_unread(request)
        step = (STEP_SECONDS + REQUEST_STEP_SECONDS * len(self.running)) / self.speed
        seconds = tokens / self.rate + step * (tokens / CHUNK_TOKENS + EVENT_TOKENS)
        excess = self._held + sum(r.prompt + r.answer for r in waiting) - self.memory
        excess += request.prompt + request.answer
        lacking = len(self.running) + len(waiting) + 1 - SLOTS
        for left in sorted(r.left - self._steps + r.started_step for r in self.running):
            if excess <= 0 and lacking <= 0:
                break
            seconds, lacking = max(seconds, left * step), lacking - 1
            excess -= self._held / max(1, len(self.running))
        return seconds

    def send(self, request: Request) -> None:
        """Accept a request at the door."""
        request.unread, request.left = self._count_unread(request), request.answer
        self.door.append(request)
        self._admit()

    def _count_unread(self, request: Request) -> int:
        self.kept.trim(self.memory - self.work.count_outside_parts(self._calendar.now))
        kept = self.kept.count_kept(request.chain, 0.0)
        return max(1, request.prompt - kept)

    def _fits(self, request: Request) -> bool:
        now, work = self._calendar.now, request.work
        if self.count - len(self.door) >= SLOTS:
            return False
        match self._policy.admission:
            case "margin":
                return self.work.admits(request.prompt, work, self.memory, now)
            case "means" | "uppers":
                known = self.work.count_memory(now) + request.prompt
                return known + work.answer_tokens <= self.memory or not self.running
        return True

    def _admit(self) -> None:
        while self.door:
            request = self.door[0]
            if self._policy.shortest_first:
                request = min(self.door, key=lambda r: r.prompt + r.work.answer_tokens)
            if not self._fits(request):
                break
            self.door.remove(request)
            request.unread = self._count_unread(request)
            work, now = request.work, self._calendar.now
            if self._policy.admission == "uppers":
                work = RequestWork(work.upper_tokens, work.part_tokens)
            self.work.begin(
                0, request.number, request.prompt, request.unread, work, now
            )
            self.kept.record_read(request.weights, request.chain, 0.0)
            self._prompts.append(request)
        if not self._active and (self._prompts or self.running):
            self._active = True
            self._calendar.call_at(self._calendar.now, self._step)

    def _step(self) -> None:
        read, started = 0, []
        while self._prompts and read < CHUNK_TOKENS:
            request = self._prompts[0]
            tokens = min(request.unread, CHUNK_TOKENS - read)
            request.unread, read = request.unread - tokens, read + tokens
            if not request.unread:
                started.append(self._prompts.popleft())
        seconds = STEP_SECONDS + REQUEST_STEP_SECONDS * len(self.running)
        seconds = seconds / self.speed + read / self.rate
        self._calendar.call_at(self._calendar.now + seconds, self._end_step, started)

    def _end_step(self, started: list[Request]) -> None:
        self._steps += 1
        self._held += len(self.running)
        for request in started:
            self._start(request)
        while self._ends and self._ends[0][0] <= self._steps:
            _, _, run, request = heapq.heappop(self._ends)
            if request.run != run or request not in self.running:
                continue
            if request.first_at is None:
                self._record_first(request)
            if self._steps < request.started_step + request.left:
                continue
            del self.running[request]
            self._held -= request.prompt + request.answer
            seconds = self._calendar.now - (request.first_at or 0.0)
            self.work.end(
                0, request.number, self._calendar.now, request.answer, seconds
            )
            self.on_end(request)
        while self._held > self.memory and len(self.running) > 1:
            self._preempt()
        self._admit()
        if self._prompts or self.running:
            self._step()
        else:
            self._active = False

    def _start(self, request: Request) -> None:
        request.started_step, request.run = self._steps, request.run + 1
        self.running[request] = None
        self._held += request.prompt + request.answer - request.left
        self.work.record_read(0, request.number, self._calendar.now)
        first = min(request.left, EVENT_TOKENS)
        for tokens in {first, request.left}:
            entry = (self._steps + tokens, request.number, request.run, request)
            heapq.heappush(self._ends, entry)

    def _record_first(self, request: Request) -> None:
        request.first_at = self._calendar.now
        self.on_first(request)

    def _preempt(self) -> None:
        request, _ = self.running.popitem()
        written = self._steps - request.started_step
        request.left = max(1, request.left - written)
        self._held -= request.prompt + request.answer - request.left
        request.unread = request.prompt + request.answer - request.left
        request.run += 1
        request.preempted += 1
        self.preemptions += 1
        self._prompts.append(request)


class Fleet:
    """Engines with the gateways that send to them."""

    def __init__(self, policy: Policy, memory: int, seed: int) -> None:
        self.calendar = Calendar()
        self.policy, self._draw = policy, random.Random(seed)
        self.engines = [
            Engine(self.calendar, index, memory, policy) for index in range(ENGINES)
        ]
        self._spec = EngineSpec(SLOTS, memory, 1.0, len(ADAPTERS))
        self._targets = [
            Registration(
                TargetId(f"t{index}"),
                ServiceName("s"),
                f"10.0.0.{index}:80",
                HOME,
                SLOTS,
                TargetState.READY,
                1,
                1,
            )
            for index in range(ENGINES)
        ]
        self._trackers = [TargetTracker() for _ in range(GATEWAYS)]
        self._lengths = [
            AnswerLengths(
                use_hints=policy.use_hints, use_histories=policy.use_histories
            )
            for _ in range(GATEWAYS)
        ]
        self._places: dict[Request, int] = {}
        self.log_errors: list[float] = []
        self.covered = 0
        for index, engine in enumerate(self.engines):
            engine.on_first, engine.on_end = self._record_first, self._record_end
            offset = index * REPORT_SECONDS / ENGINES
            self.calendar.call_at(offset, self._report, index)

    def send(self, request: Request) -> None:
        """Choose an engine for a request and send it there."""
        estimate = self._lengths[request.gateway].estimate(request.context)
        request.work = RequestWork(
            estimate.mean, request.parts, upper_tokens=estimate.upper
        )
        index = self._choose(request)
        tracker, target = self._trackers[request.gateway], self._targets[index]
        stats = tracker.stats(target)
        tracker.begin_request(stats, request.prompt)
        tracker.record_parts(stats, request.weights, request.chain, self.calendar.now)
        self._places[request] = index
        self.engines[index].send(request)

    def _choose(self, request: Request) -> int:
        choice, draw = self.policy.choice, self._draw.random
        if choice == "random":
            return self._draw.randrange(ENGINES)
        if choice == "clairvoyant":
            found = [engine.estimate_first(request) for engine in self.engines]
            return found.index(min(found))
        now, tracker = self.calendar.now, self._trackers[request.gateway]
        candidates = [
            tracker.make_candidate(
                target,
                now,
                now,
                request.weights,
                0,
                True,
                self._spec,
                chain=request.chain if choice == "new" else (),
            )
            for target in self._targets
        ]
        if choice == "least":
            found = [(c.busy, draw()) for c in candidates]
            return found.index(min(found))
        prompt = request.prompt if choice == "new" else 0
        need = Need(HOME, request.weights, prompt_tokens=prompt)
        chosen = choose_target(need, candidates, draw)
        assert chosen is not None
        return int(chosen.candidate.target[1:])

    def _report(self, index: int) -> None:
        engine, now = self.engines[index], self.calendar.now
        engine.work.record_report(
            len(engine.running), engine.queued, engine.held, engine.memory, now
        )
        counts_work = self.policy.choice == "new"
        report = EngineReport(
            self._targets[index].target,
            1,
            HOLDINGS,
            running=engine.count,
            cache_used=engine.held,
            free_slots=4,
            read_rate=engine.rate if self.policy.known_rates else 0.0,
            prompt_backlog=engine.work.prompt_backlog if counts_work else 0,
        )
        self.calendar.call_at(now + REPORT_DELAY, self._receive, report)
        self.calendar.call_at(now + REPORT_SECONDS, self._report, index)

    def _receive(self, report: EngineReport) -> None:
        for tracker in self._trackers:
            tracker.record_report(report, self.calendar.now)

    def _record_first(self, request: Request) -> None:
        target = self._targets[self._places[request]]
        tracker = self._trackers[request.gateway]
        tracker.begin_response(tracker.stats(target), request.prompt)

    def _record_end(self, request: Request) -> None:
        target = self._targets[self._places.pop(request)]
        tracker = self._trackers[request.gateway]
        tracker.end_request(tracker.stats(target))
        lengths = self._lengths[request.gateway]
        if request.arrived >= WARM_UP_SECONDS and request.work.answer_tokens:
            error = math.log(request.work.answer_tokens / request.answer)
            self.log_errors.append(abs(error))
            self.covered += request.answer <= request.work.upper_tokens
        lengths.record(request.context, request.answer, complete=True)


def make_requests(rate: float, seed: int) -> Iterator[Request]:
    """Yield requests with heavy-tailed prompts and answers, in order of arrival."""
    draw = random.Random(seed)
    subjects = [(f"s{n}", draw.gauss(0.0, 0.4)) for n in range(40)]
    shares = [1.0 / (n + 1) for n in range(len(ADAPTERS))]
    lengths = {name: draw.gauss(0.0, 0.3) for name in ADAPTERS}
    now, number = 0.0, 0
    while (now := now + draw.expovariate(rate)) < RUN_SECONDS:
        number += 1
        long = draw.random() < 0.65
        adapter = draw.choices(ADAPTERS, shares)[0]
        subject, factor = draw.choice(subjects)
        shared = 350 if long else 155
        own = max(1, round(draw.lognormvariate(math.log(740 if long else 330), 0.9)))
        median = math.log(95 if long else 38) + factor + lengths[adapter]
        answer = max(1, min(4000, round(draw.lognormvariate(median, 0.7))))
        spread = 0.3 if draw.random() < 0.6 else 1.5
        hint = max(1, round(answer * draw.lognormvariate(0.0, spread)))
        keys = PromptKeys(PartKey(f"o{number}"), (PartKey(subject),))
        weights = WeightKey(MODEL, adapter)
        yield Request(
            number,
            now,
            draw.randrange(GATEWAYS),
            shared + own,
            answer,
            hint,
            weights,
            chain_parts(weights, keys, (shared, own)),
            (shared, own),
            subject,
        )


@dataclass
class Result:
    """Figures of one run, by size class."""

    rows: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    preemptions: int = 0
    log_error: float = 0.0
    covered: float = 0.0


def run_policy(policy: Policy, rate: float, memory: int, seeds: range) -> Result:
    """Return the figures of a policy over some seeds."""
    result, found, errors, covered = Result(), [], [], 0
    for seed in seeds:
        fleet, requests = Fleet(policy, memory, seed), []
        for request in make_requests(rate, seed):
            requests.append(request)
            fleet.calendar.call_at(request.arrived, fleet.send, request)
        fleet.calendar.run(RUN_SECONDS + 10.0)
        found += [r for r in requests if r.arrived >= WARM_UP_SECONDS]
        result.preemptions += sum(engine.preemptions for engine in fleet.engines)
        errors += fleet.log_errors
        covered += fleet.covered
    found.sort(key=lambda r: r.prompt + r.answer)
    tenth = len(found) // 10
    classes = {
        "all": found,
        "largest tenth": found[-tenth:],
        "fifth below": found[-3 * tenth : -tenth],
    }
    for name, members in classes.items():
        waits = sorted((r.first_at or math.inf) - r.arrived for r in members)
        begun = [wait for wait in waits if wait < math.inf]
        mean = sum(begun) / max(1, len(begun))
        late = sum(wait > OBJECTIVE_SECONDS for wait in waits) / len(waits)
        result.rows[name] = mean, waits[int(0.95 * len(waits))], late
    if errors:
        result.log_error = sum(errors) / len(errors)
        result.covered = covered / len(errors)
    return result


CHOICES = (
    Policy("random", "random", "none"),
    Policy("least requests", "least", "none"),
    Policy("present choice", "present", "none", known_rates=False),
    Policy("present, read rates known", "present", "none"),
    Policy("new, read rates unknown", known_rates=False),
    Policy("new, read rates known"),
    Policy("clairvoyant", "clairvoyant"),
)
ORDERS = (
    Policy("first come"),
    Policy("shortest first", shortest_first=True),
    Policy("shortest first, hints alone", shortest_first=True, use_histories=False),
    Policy("shortest first, learning alone", shortest_first=True, use_hints=False),
)
ADMISSIONS = (
    Policy("no limit", admission="none"),
    Policy("sum of means", admission="means"),
    Policy("sum of means with margin"),
    Policy("the same, hints alone", use_histories=False),
    Policy("the same, learning alone", use_hints=False),
    Policy("sum of upper quantiles", admission="uppers"),
)
TABLES = {"choices": CHOICES, "orders": ORDERS, "admissions": ADMISSIONS}


def measure_choice(calls: int = 2000) -> tuple[float, float]:
    """Return the seconds of one `choose_target`, and of making its candidates."""
    fleet = Fleet(CHOICES[5], MEMORY, 1)
    for request in make_requests(150.0, 1):
        if request.arrived > 1.0:
            break
        fleet.calendar.call_at(request.arrived, fleet.send, request)
    fleet.calendar.run(1.0)
    tracker = fleet._trackers[0]
    need = Need(HOME, request.weights, prompt_tokens=request.prompt)

    def make() -> list:
        return [
            tracker.make_candidate(
                target,
                1.0,
                1.0,
                request.weights,
                0,
                True,
                fleet._spec,
                chain=request.chain,
            )
            for target in fleet._targets
        ]

    candidates = make()
    began = time.process_time()
    for _ in range(calls):
        choose_target(need, candidates, random.random)
    chosen = time.process_time()
    for _ in range(calls // 10):
        make()
    return (chosen - began) / calls, (time.process_time() - chosen) / (calls // 10)


@click.command()
@click.option("--seeds", default=2, show_default=True)
@click.option("--rate", default=150.0, show_default=True, help="requests a second")
@click.option("--memory", default=MEMORY, show_default=True, help="tokens an engine")
@click.argument("tables", nargs=-1, type=click.Choice(list(TABLES)))
def main(seeds: int, rate: float, memory: int, tables: tuple[str, ...]) -> None:
    """Print comparisons as Markdown tables."""
    for table in tables or TABLES:
        click.echo(f"\n{table} at {rate:g} requests/s, memory {memory}\n")
        _print_table(TABLES[table], rate, memory, range(seeds))
    chosen, made = measure_choice()
    click.echo(f"\nchoose_target, {ENGINES} candidates: {chosen * 1e6:.0f} us")
    click.echo(f"make_candidate, {ENGINES} targets: {made * 1e6:.0f} us")


def _print_table(
    policies: tuple[Policy, ...], rate: float, memory: int, seeds: range
) -> None:
    names = ("all", "largest tenth", "fifth below")
    heads = [f"{name}: mean / 95th / late" for name in names]
    click.echo(f"| policy | {' | '.join(heads)} | preempted | log error | covered |")
    click.echo("| --- " * 7 + "|")
    for policy in policies:
        result = run_policy(policy, rate, memory, seeds)
        rows = [
            f"{mean:.3f} / {high:.3f} / {late:.4f}"
            for mean, high, late in (result.rows[name] for name in names)
        ]
        click.echo(
            f"| {policy.name} | {' | '.join(rows)} | {result.preemptions} | "
            f"{result.log_error:.2f} | {result.covered:.2f} |"
        )


if __name__ == "__main__":
    main()
