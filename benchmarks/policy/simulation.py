"""One run of one workload under one policy."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from benchmarks.policy.clairvoyant import Clairvoyant
from benchmarks.policy.model import BATCH, Calendar, Engine, Future, Store
from benchmarks.policy.policies import Policy
from benchmarks.policy.workloads import (
    DURATION,
    WARM_UP,
    Fault,
    FaultKind,
    Request,
    Workload,
    come_back,
    make_requests,
)
from ibishead.decisions.admission import Refused
from ibishead.decisions.loading import LoadPermits
from ibishead.decisions.queueing import list_late
from ibishead.decisions.retry import (
    AttemptEnd,
    RetryBudget,
    RetryElsewhere,
    decide_retry,
)
from ibishead.decisions.views import EntryView
from ibishead.ids import FailureDomain, TargetId
from ibishead.messages import Outcome

__all__ = ["Result", "Simulation", "make_clairvoyant"]

ENTRIES = 3
ENGINES = (("mester", 9), ("raktar", 4))
DOMAINS = ("szeged-a", "szolnok-b", "kecskemet-c", "baja-d")
HOP = 0.001
HEARTBEAT = 0.5
REPORT_DELAY = 0.1
#: Seconds until an entry host notices that a target fell silent.
DETECTION = 3.0
RESTART_SECONDS = 10.0
#: How often a caller that was refused or left unserved comes back.
RETURNS = 1
DRAIN = 90.0
#: Requests that an agent queues at the most, under every policy.
MAX_QUEUED = 64


@dataclass
class Result:
    """What callers met in one run."""

    duration: float
    requests: list[Request] = field(default_factory=list)
    callers: int = 0
    admitted: int = 0
    attempts: int = 0
    loads: int = 0
    steps: float = 0.0
    step_tokens: float = 0.0
    step_adapters: float = 0.0


class Simulation:
    """Plays a workload.

    :param make_policy: makes the policy from the engines, which a clairvoyant sees.
    """

    def __init__(
        self,
        workload: Workload,
        seed: int,
        make_policy: Callable[[list[Engine], list[Request]], Policy],
        duration: float = DURATION,
    ) -> None:
        self.workload = workload
        self.calendar = Calendar()
        self.arrivals = make_requests(workload, seed, duration)
        self.store = Store(self.calendar, random.Random(seed + 1000))
        self.store.failures = workload.load_failures
        self.permits = LoadPermits()
        self.engines = list(self._make_engines())
        self.by_target = {engine.target: engine for engine in self.engines}
        self.policy = make_policy(self.engines, self.arrivals)
        self.entries = [self._make_views() for _ in range(ENTRIES)]
        self.budgets = [RetryBudget() for _ in range(ENTRIES)]
        self.result = Result(duration)
        self.number = len(self.arrivals)
        self._grant_at = -1.0

    def run(self) -> Result:
        """Play the whole run and return what callers met."""
        for request in self.arrivals:
            self.calendar.call_at(request.arrival, self._arrive, request)
        for engine in self.engines:
            self._beat(engine)
        for fault in self.workload.faults:
            self.calendar.call_at(fault.at, self._apply, fault)
        self.calendar.run(self.result.duration)
        for engine in self.engines:
            engine.set_slow(engine.slow)
            self.result.steps += engine.fill.steps
            self.result.step_tokens += engine.fill.tokens
            self.result.step_adapters += engine.fill.adapters
        self.result.loads = self.store.loads
        self.calendar.run(self.result.duration + DRAIN)
        return self.result

    # The entry hosts

    def _arrive(self, request: Request) -> None:
        self.result.requests.append(request)
        if not request.returns:
            self.result.callers += 1
        request.deadline = self.calendar.now + request.patience
        self._route(request)

    def _route(self, request: Request) -> None:
        now = self.calendar.now
        view = self.entries[request.entry][request.service]
        target = self.policy.route(request, view, now)
        if target is None:
            self._end(request, "refused", 2.0)
            return
        if isinstance(target, Refused):
            self._end(request, "refused", target.retry_after)
            return
        if request.attempt == 1:
            self.result.admitted += 1
            self.policy.count(request, 1)
            self.budgets[request.entry].record_attempt()
        self.result.attempts += 1
        if self.policy.corrects:
            view.record_dispatch(target, request.adapter, now)
        engine = self.by_target[target]
        request.target = engine.number
        self.calendar.call_at(now + HOP, self._receive, engine, request)

    def _fail(self, request: Request, outcome: Outcome, retry_after: float) -> None:
        now = self.calendar.now
        end = AttemptEnd(outcome, request.attempt, True, request.deadline - now)
        verdict = decide_retry(end, self.budgets[request.entry], retry_after)
        if isinstance(verdict, RetryElsewhere):
            request.attempt += 1
            request.avoid.add(self.engines[request.target].target)
            self._route(request)
        else:
            self._end(request, "failed", verdict.retry_after)

    def _end(self, request: Request, outcome: str, retry_after: float) -> None:
        now = self.calendar.now
        if request.target >= 0:
            self.policy.count(request, -1)
        request.outcome = outcome
        request.ended = now
        if outcome != "done" and request.returns < RETURNS:
            again = come_back(request, now + retry_after, self.number)
            self.number += 1
            self.calendar.call_at(again.arrival, self._arrive, again)

    # The agents

    def _receive(self, engine: Engine, request: Request) -> None:
        if engine.gone:
            self.calendar.call_at(
                self.calendar.now + DETECTION, self._lose, engine, request
            )
            return
        if not engine.up:
            self._fail(request, Outcome.NOT_RUN, 2.0)
            return
        if engine.queued >= MAX_QUEUED:
            self._end(request, "refused", 1.0)
            return
        engine.enqueue(request)
        if not self.policy.drops_late:
            self.calendar.call_at(request.deadline, self._leave, engine, request)
        self._advance(engine)

    def _advance(self, engine: Engine) -> None:
        now = self.calendar.now
        if self.policy.drops_late and engine.queued:
            late = list_late(engine.all_waiting(), now, engine.seconds_per_request)
            for item in late:
                request = engine.dequeue(item)
                self._end(request, "expired", engine.seconds_per_request)
        while engine.size < BATCH and engine.queued:
            ready = engine.ready()
            item = self.policy.choose_next(engine, ready, now) if ready else None
            if item is None:
                break
            engine.fair.observe_run(item.team, now)
            engine.start(item)
        self._grant(engine)

    def _leave(self, engine: Engine, request: Request) -> None:
        for item in engine.waiting.get(request.adapter, ()):
            if engine.requests[item.request] is request:
                engine.dequeue(item)
                self._end(request, "expired", 1.0)
                return

    def _finish(self, engine: Engine, request: Request) -> None:
        now = self.calendar.now
        late = now > request.deadline
        self._end(request, "late" if late else "done", 1.0)
        self._send_report(engine, (request.entry,))
        self._advance(engine)

    def _grant(self, engine: Engine) -> None:
        if self.policy.permits:
            self._grant_permits()
            return
        while engine.up and engine.can_load() and self._load_best(engine):
            pass

    def _load_best(self, engine: Engine) -> bool:
        best = self.policy.rate_load(engine, self.calendar.now)
        return best is not None and self._load(engine, best[1])

    def _grant_permits(self) -> None:
        now = self.calendar.now
        while True:
            at = self.permits.next_at(now)
            if at > now + 1e-6:
                self._grant_later(at)
                return
            wishing = [
                (best[0], engine.number, best[1])
                for engine in self.engines
                if engine.up
                and engine.queued
                and engine.can_load()
                and (best := self.policy.rate_load(engine, now)) is not None
            ]
            ahead = None
            if not wishing:
                ahead = self.policy.prefetch(self.engines, now)
                if ahead is None:
                    return
            # All places in flight are taken; the next load that ends asks again.
            if not self.permits.take(now):
                return
            if ahead is not None:
                begun = self._load(*ahead)
            else:
                wishing.sort(reverse=True)
                begun = any(
                    self._load(self.engines[number], digest)
                    for _, number, digest in wishing
                )
            if not begun:
                self.permits.give_back()
                return

    def _grant_later(self, at: float) -> None:
        if self._grant_at > self.calendar.now:
            return
        self._grant_at = max(at, self.calendar.now + 0.001)
        self.calendar.call_at(self._grant_at, self._grant_permits)

    def _load(self, engine: Engine, digest: int) -> bool:
        now = self.calendar.now
        if not engine.has_empty_slot():
            victim = self.policy.choose_victim(engine, now)
            if victim is None:
                return False
            engine.evict(victim.digest)
        engine.loading.add(digest)
        boot = engine.boot
        self.store.order(lambda good: self._end_load(engine, digest, boot, good))
        return True

    def _end_load(
        self, engine: Engine, digest: int, boot: int, succeeded: bool
    ) -> None:
        now = self.calendar.now
        if self.policy.permits:
            self.permits.release()
        if boot != engine.boot or not engine.up:
            self._grant(engine)
            return
        if succeeded:
            engine.backoff.observe_success(digest)
            engine.admit_adapter(digest)
        else:
            engine.loading.discard(digest)
            move = engine.backoff.observe_failure(digest, now)
            until = engine.backoff.read(digest)
            self.calendar.call_at(until, self._advance, engine)
            if move:
                for item in list(engine.waiting.get(digest, ())):
                    request = engine.dequeue(item)
                    self._fail(request, Outcome.NOT_RUN, until - now)
        self._advance(engine)

    # Reports and faults

    def _beat(self, engine: Engine) -> None:
        if engine.gone:
            return
        self._send_report(engine, range(ENTRIES))
        self.calendar.call_at(self.calendar.now + HEARTBEAT, self._beat, engine)
        # Time alone makes queued requests late and backed off loads ready.
        self._advance(engine)

    def _send_report(self, engine: Engine, entries: Iterable[int]) -> None:
        report = engine.report(self.policy.choose_victim(engine, self.calendar.now))
        at = self.calendar.now + REPORT_DELAY
        for entry in entries:
            view = self.entries[entry][engine.service]
            self.calendar.call_at(at, view.observe, report, at)

    def _apply(self, fault: Fault) -> None:
        engine = self.by_target[fault.target]
        match fault.kind:
            case FaultKind.SLOW:
                engine.set_slow(fault.factor)
            case FaultKind.RESTART:
                for request in engine.stop():
                    self._fail(request, Outcome.NOT_RUN, 1.0)
                self._reach(engine, False)
                self.calendar.call_at(
                    self.calendar.now + RESTART_SECONDS, self._restart, engine
                )
            case FaultKind.GONE:
                engine.gone = True
                for request in engine.stop():
                    self.calendar.call_at(
                        self.calendar.now + DETECTION, self._lose, engine, request
                    )
                self.calendar.call_at(
                    self.calendar.now + DETECTION, self._reach, engine, False
                )

    def _restart(self, engine: Engine) -> None:
        engine.up = True
        self._reach(engine, True)

    def _reach(self, engine: Engine, reachable: bool) -> None:
        for entry in self.entries:
            entry[engine.service].set_reachable(engine.target, reachable)

    def _lose(self, engine: Engine, request: Request) -> None:
        self._fail(request, Outcome.UNKNOWN, 2.0)

    # Making the fleet

    def _make_engines(self) -> Iterable[Engine]:
        number = 0
        for service, (name, count) in enumerate(ENGINES):
            for index in range(count):
                engine = Engine(
                    number,
                    service,
                    TargetId(f"{name}-{index}"),
                    FailureDomain(DOMAINS[index % len(DOMAINS)]),
                    self.calendar,
                    self._finish,
                )
                engine.counted_from = WARM_UP
                number += 1
                yield engine

    def _make_views(self) -> list[EntryView]:
        views = []
        for service in range(len(ENGINES)):
            view = EntryView(REPORT_DELAY + HOP)
            for engine in self.engines:
                if engine.service == service:
                    view.add(engine.target, engine.failure_domain)
            views.append(view)
        return views


def make_clairvoyant(ahead: int) -> Callable[[list[Engine], list[Request]], Policy]:
    """Return a maker of the clairvoyant policy.

    :param ahead: arrivals for which it prefetches, 0 for none.
    """

    def make(engines: list[Engine], arrivals: list[Request]) -> Policy:
        return Clairvoyant(1, engines, Future(arrivals), ahead)

    return make
