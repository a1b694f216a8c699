"""Simulation of one workload under one policy."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from benchmarks.policy.clairvoyant import Clairvoyant
from benchmarks.policy.model import BATCH_SIZE, Calendar, Engine, FutureArrivals, Store
from benchmarks.policy.policies import Policy
from benchmarks.policy.workloads import (
    DURATION_SECONDS,
    WARM_UP_SECONDS,
    Fault,
    FaultKind,
    Request,
    Workload,
    make_requests,
    resubmit,
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
HOP_SECONDS = 0.001
HEARTBEAT_SECONDS = 0.5
REPORT_DELAY_SECONDS = 0.1
#: Seconds until an entry host detects that a target is unresponsive.
DETECTION_SECONDS = 3.0
RESTART_SECONDS = 10.0
#: Maximum resubmissions of a request that was refused or not served.
MAX_RESUBMISSIONS = 1
DRAIN_SECONDS = 90.0
#: Maximum queue length of an agent, under every policy.
MAX_QUEUED = 64


@dataclass
class Result:
    """Requests and totals of one run.

    :ivar duration: virtual seconds in which requests arrive.
    :ivar steps: steps of all engines after the warm-up.
    :ivar step_tokens: sum of running requests over these steps.
    :ivar step_adapters: sum of different adapters in the batch over these steps.
    """

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
    """Simulates a workload.

    :param make_policy: creates the policy from engines and arrivals, which only the
        clairvoyant policy uses.
    :param duration: virtual seconds in which requests arrive.
    """

    def __init__(
        self,
        workload: Workload,
        seed: int,
        make_policy: Callable[[list[Engine], list[Request]], Policy],
        duration: float = DURATION_SECONDS,
    ) -> None:
        self.workload = workload
        self.calendar = Calendar()
        self.arrivals = make_requests(workload, seed, duration)
        self.store = Store(self.calendar, random.Random(seed + 1000))
        self.store.failures = workload.load_failures
        self.permits = LoadPermits()
        self.engines = list(self._make_engines())
        self.engines_by_target = {engine.target: engine for engine in self.engines}
        self.policy = make_policy(self.engines, self.arrivals)
        self.entries = [self._make_views() for _ in range(ENTRIES)]
        self.budgets = [RetryBudget() for _ in range(ENTRIES)]
        self.result = Result(duration)
        self.next_number = len(self.arrivals)
        self._next_grant_at = -1.0

    def run(self) -> Result:
        """Run the simulation and return its result."""
        for request in self.arrivals:
            self.calendar.call_at(request.arrival, self._arrive, request)
        for engine in self.engines:
            self._send_heartbeat(engine)
        for fault in self.workload.faults:
            self.calendar.call_at(fault.at, self._apply_fault, fault)
        self.calendar.run(self.result.duration)
        for engine in self.engines:
            engine.set_slowdown(engine.slowdown)
            self.result.steps += engine.fill.steps
            self.result.step_tokens += engine.fill.tokens
            self.result.step_adapters += engine.fill.adapters
        self.result.loads = self.store.loads
        self.calendar.run(self.result.duration + DRAIN_SECONDS)
        return self.result

    # The entry hosts

    def _arrive(self, request: Request) -> None:
        self.result.requests.append(request)
        if not request.resubmissions:
            self.result.callers += 1
        request.deadline = self.calendar.now + request.timeout
        self._route(request)

    def _route(self, request: Request) -> None:
        now = self.calendar.now
        view = self.entries[request.entry][request.service]
        target = self.policy.route(request, view, now)
        if target is None:
            self._finish_request(request, "refused", 2.0)
            return
        if isinstance(target, Refused):
            self._finish_request(request, "refused", target.retry_after)
            return
        if request.attempt == 1:
            self.result.admitted += 1
            self.policy.count_admitted(request, 1)
            self.budgets[request.entry].record_attempt()
        self.result.attempts += 1
        if self.policy.counts_own_dispatches:
            view.record_dispatch(target, request.adapter, now)
        engine = self.engines_by_target[target]
        request.target = engine.number
        self.calendar.call_at(now + HOP_SECONDS, self._receive, engine, request)

    def _fail(self, request: Request, outcome: Outcome, retry_after: float) -> None:
        now = self.calendar.now
        end = AttemptEnd(outcome, request.attempt, True, request.deadline - now)
        verdict = decide_retry(end, self.budgets[request.entry], retry_after)
        if isinstance(verdict, RetryElsewhere):
            request.attempt += 1
            request.avoid.add(self.engines[request.target].target)
            self._route(request)
        else:
            self._finish_request(request, "failed", verdict.retry_after)

    def _finish_request(
        self, request: Request, outcome: str, retry_after: float
    ) -> None:
        now = self.calendar.now
        if request.target >= 0:
            self.policy.count_admitted(request, -1)
        request.outcome = outcome
        request.ended = now
        if outcome != "done" and request.resubmissions < MAX_RESUBMISSIONS:
            resubmitted = resubmit(request, now + retry_after, self.next_number)
            self.next_number += 1
            self.calendar.call_at(resubmitted.arrival, self._arrive, resubmitted)

    # The agents

    def _receive(self, engine: Engine, request: Request) -> None:
        if engine.crashed:
            self.calendar.call_at(
                self.calendar.now + DETECTION_SECONDS,
                self._fail_unknown,
                engine,
                request,
            )
            return
        if not engine.up:
            self._fail(request, Outcome.NOT_RUN, 2.0)
            return
        if engine.queued >= MAX_QUEUED:
            self._finish_request(request, "refused", 1.0)
            return
        engine.enqueue(request)
        if not self.policy.drops_late:
            self.calendar.call_at(request.deadline, self._expire, engine, request)
        self._run_queue(engine)

    def _run_queue(self, engine: Engine) -> None:
        now = self.calendar.now
        if self.policy.drops_late and engine.queued:
            late = list_late(engine.list_waiting(), now, engine.seconds_per_request)
            for item in late:
                request = engine.dequeue(item)
                self._finish_request(request, "expired", engine.seconds_per_request)
        while engine.running_count < BATCH_SIZE and engine.queued:
            ready = engine.list_ready()
            item = self.policy.choose_next(engine, ready, now) if ready else None
            if item is None:
                break
            engine.fair_queue.observe_run(item.team, now)
            engine.start(item)
        self._start_loads(engine)

    def _expire(self, engine: Engine, request: Request) -> None:
        for item in engine.waiting.get(request.adapter, ()):
            if engine.requests[item.request] is request:
                engine.dequeue(item)
                self._finish_request(request, "expired", 1.0)
                return

    def _handle_completion(self, engine: Engine, request: Request) -> None:
        now = self.calendar.now
        late = now > request.deadline
        self._finish_request(request, "late" if late else "done", 1.0)
        self._send_report(engine, (request.entry,))
        self._run_queue(engine)

    def _start_loads(self, engine: Engine) -> None:
        if self.policy.permits:
            self._grant_permits()
            return
        while engine.up and engine.can_load() and self._start_best_load(engine):
            pass

    def _start_best_load(self, engine: Engine) -> bool:
        best = self.policy.rank_next_load(engine, self.calendar.now)
        return best is not None and self._start_load(engine, best[1])

    def _grant_permits(self) -> None:
        now = self.calendar.now
        while True:
            at = self.permits.next_at(now)
            if at > now + 1e-6:
                self._schedule_grant(at)
                return
            candidates = [
                (best[0], engine.number, best[1])
                for engine in self.engines
                if engine.up
                and engine.queued
                and engine.can_load()
                and (best := self.policy.rank_next_load(engine, now)) is not None
            ]
            prefetched = None
            if not candidates:
                prefetched = self.policy.prefetch(self.engines, now)
                if prefetched is None:
                    return
            # All permits are in use; the end of the next load calls this again.
            if not self.permits.take(now):
                return
            if prefetched is not None:
                started = self._start_load(*prefetched)
            else:
                candidates.sort(reverse=True)
                started = any(
                    self._start_load(self.engines[number], digest)
                    for _, number, digest in candidates
                )
            if not started:
                self.permits.give_back()
                return

    def _schedule_grant(self, at: float) -> None:
        if self._next_grant_at > self.calendar.now:
            return
        self._next_grant_at = max(at, self.calendar.now + 0.001)
        self.calendar.call_at(self._next_grant_at, self._grant_permits)

    def _start_load(self, engine: Engine, digest: int) -> bool:
        now = self.calendar.now
        if not engine.has_empty_slot():
            victim = self.policy.choose_victim(engine, now)
            if victim is None:
                return False
            engine.evict(victim.digest)
        engine.loading.add(digest)
        boot = engine.boot
        self.store.start_load(
            lambda succeeded: self._finish_load(engine, digest, boot, succeeded)
        )
        return True

    def _finish_load(
        self, engine: Engine, digest: int, boot: int, succeeded: bool
    ) -> None:
        now = self.calendar.now
        if self.policy.permits:
            self.permits.release()
        if boot != engine.boot or not engine.up:
            self._start_loads(engine)
            return
        if succeeded:
            engine.backoff.observe_success(digest)
            engine.add_adapter(digest)
        else:
            engine.loading.discard(digest)
            move_requests = engine.backoff.observe_failure(digest, now)
            until = engine.backoff.read(digest)
            self.calendar.call_at(until, self._run_queue, engine)
            if move_requests:
                for item in list(engine.waiting.get(digest, ())):
                    request = engine.dequeue(item)
                    self._fail(request, Outcome.NOT_RUN, until - now)
        self._run_queue(engine)

    # Reports and faults

    def _send_heartbeat(self, engine: Engine) -> None:
        if engine.crashed:
            return
        self._send_report(engine, range(ENTRIES))
        self.calendar.call_at(
            self.calendar.now + HEARTBEAT_SECONDS, self._send_heartbeat, engine
        )
        # Queued requests become late and backed-off loads ready without an event.
        self._run_queue(engine)

    def _send_report(self, engine: Engine, entries: Iterable[int]) -> None:
        report = engine.make_report(
            self.policy.choose_victim(engine, self.calendar.now)
        )
        at = self.calendar.now + REPORT_DELAY_SECONDS
        for entry in entries:
            view = self.entries[entry][engine.service]
            self.calendar.call_at(at, view.observe, report, at)

    def _apply_fault(self, fault: Fault) -> None:
        engine = self.engines_by_target[fault.target]
        match fault.kind:
            case FaultKind.SLOW:
                engine.set_slowdown(fault.factor)
            case FaultKind.RESTART:
                for request in engine.stop():
                    self._fail(request, Outcome.NOT_RUN, 1.0)
                self._set_reachable(engine, False)
                self.calendar.call_at(
                    self.calendar.now + RESTART_SECONDS, self._restart, engine
                )
            case FaultKind.GONE:
                engine.crashed = True
                for request in engine.stop():
                    self.calendar.call_at(
                        self.calendar.now + DETECTION_SECONDS,
                        self._fail_unknown,
                        engine,
                        request,
                    )
                self.calendar.call_at(
                    self.calendar.now + DETECTION_SECONDS,
                    self._set_reachable,
                    engine,
                    False,
                )

    def _restart(self, engine: Engine) -> None:
        engine.up = True
        self._set_reachable(engine, True)

    def _set_reachable(self, engine: Engine, reachable: bool) -> None:
        for entry in self.entries:
            entry[engine.service].set_reachable(engine.target, reachable)

    def _fail_unknown(self, engine: Engine, request: Request) -> None:
        self._fail(request, Outcome.UNKNOWN, 2.0)

    # Setup

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
                    self._handle_completion,
                )
                engine.measured_from = WARM_UP_SECONDS
                number += 1
                yield engine

    def _make_views(self) -> list[EntryView]:
        views = []
        for service in range(len(ENGINES)):
            view = EntryView(REPORT_DELAY_SECONDS + HOP_SECONDS)
            for engine in self.engines:
                if engine.service == service:
                    view.add(engine.target, engine.failure_domain)
            views.append(view)
        return views


def make_clairvoyant(lookahead: int) -> Callable[[list[Engine], list[Request]], Policy]:
    """Return a factory of the clairvoyant policy.

    :param lookahead: number of arrivals for which it prefetches, 0 for none.
    """

    def make_policy(engines: list[Engine], arrivals: list[Request]) -> Policy:
        return Clairvoyant(1, engines, FutureArrivals(arrivals), lookahead)

    return make_policy
