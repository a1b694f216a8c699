"""Scheduling of queued attempts: which of them the target runs, and when.

The choice itself is made in `ibishead.decisions`; this module applies it to attempts
and adapter slots.
"""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import xxhash

from ibishead.agent.attempts import Attempt, AttemptState, AttemptTable
from ibishead.agent.gate import Gate
from ibishead.agent.loader import LoadAuthority, Loader
from ibishead.agent.runner import RunEnd, run_attempt
from ibishead.agent.slots import AdapterKey, Pin, SlotState, SlotTable
from ibishead.agent.target import TargetClient, TargetRestarted
from ibishead.agent.watcher import TargetWatcher
from ibishead.clock import Clock
from ibishead.decisions.loading import INITIAL_BACKOFF_SECONDS, LoadBackoff
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.queueing import FairQueue, QueuedRequest, choose_next, list_late
from ibishead.decisions.resting import (
    OVERLOADED_STATUS,
    RestPeriod,
    is_valid_rest,
)
from ibishead.decisions.runs import RunTable
from ibishead.errors import ErrorCode, IbisheadError
from ibishead.headers import Headers, read_retry_after
from ibishead.ids import BootId, TargetId
from ibishead.messages import LoadReport, Outcome
from ibishead.metrics import Measure, Metrics
from ibishead.routing.crashreports import CrashReports
from ibishead.routing.messages import EngineEnded

__all__ = ["Registrar", "Scheduler", "TargetConfig"]

logger = logging.getLogger(__name__)

#: Maximum seconds between scheduling iterations, so that deadlines are checked when no
#: event occurs.
TICK_SECONDS = 0.1

#: Seconds for which a target may be unreachable before its queued attempts are refused.
UNHEALTHY_GRACE_SECONDS = 1.0

#: Number of times that one attempt is queued again after the engine lacked its adapter
#: or the target had restarted.
MAX_REQUEUES = 3

#: Weight of the latest run in the moving average of run times.
SMOOTHING_FACTOR = 0.1

#: Seconds assumed for a run until one has been measured.
INITIAL_RUN_SECONDS = 0.5

#: Minimum seconds after which a refused caller may retry.
RETRY_AFTER_SECONDS = 1.0

#: Consecutive samples in which an engine must not show a run before it counts as
#: unresponsive. Engines report with a delay, and a request may still be unread in the
#: engine's socket at the first sample.
MAX_ABSENT_SAMPLES = 4

#: Seconds without data after which a stream that has begun counts as unresponsive.
#: Tokens are due every few hundredths of a second, so such a target has stopped.
STREAM_IDLE_SECONDS = 10.0

#: Seconds after its deadline within which an answer may still begin. The caller has
#: been answered by then, but a retry with the same idempotency key gets the recorded
#: outcome.
LATE_ANSWER_SECONDS = 10.0


@dataclass(frozen=True)
class TargetConfig:
    """Configuration of a target, as the scheduler needs it.

    :param is_engine: the target holds adapters; otherwise it is a plain service.
    :param batch: maximum number of requests that it runs concurrently.
    :param slots: number of its adapter slots.
    :param failure_backoff: seconds before a load that failed once is retried.
    """

    target: TargetId
    is_engine: bool
    batch: int
    slots: int
    failure_backoff: float = INITIAL_BACKOFF_SECONDS


class Registrar(LoadAuthority, Protocol):
    """Interface to the control quorum that a scheduler needs."""

    async def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of a claimed request."""


class Scheduler:
    """Queues attempts and runs them at one target.

    :ivar gate: admission control for dispatches.
    :ivar attempts: attempts whose frames may still be requested.
    :ivar draining: no new attempts are admitted.
    :ivar changed: set when the load has changed since it was last reported.
    :ivar crashes: reports of the crashes of the engine.
    :ivar on_crash: called with each report of a crash.
    """

    def __init__(
        self,
        config: TargetConfig,
        client: TargetClient,
        registrar: Registrar,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        self.gate = Gate()
        self.attempts = AttemptTable()
        self.draining = False
        self.changed = asyncio.Event()
        self.crashes = CrashReports()
        self.on_crash: Callable[[EngineEnded], None] = lambda _: None
        self._slots = SlotTable(config.slots)
        self._loader = Loader(
            self._slots,
            client,
            registrar,
            clock,
            self._notify_change,
            LoadBackoff(config.failure_backoff),
        )
        self._watcher = TargetWatcher(
            client,
            self._slots,
            self._loader,
            config.is_engine,
            clock,
            self._notify_change,
            self._check_runs,
            self._report_end,
        )
        self._runs = RunTable()
        self._rest = RestPeriod()
        self._resting = False
        self._part_uses = PartUses()
        self._config = config
        self._client = client
        self._registrar = registrar
        self._clock = clock
        self._metrics = metrics or Metrics("agent")
        self._wake = asyncio.Event()
        self._fair_queue = FairQueue()
        self._seconds_per_request = INITIAL_RUN_SECONDS
        self._shortest_seconds = float("inf")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def healthy(self) -> bool:
        """Whether the target responds to probes."""
        return self._watcher.healthy

    def start(self) -> None:
        """Start scheduling attempts and probing the target."""
        self._tasks = [
            asyncio.create_task(self._run_scheduler()),
            asyncio.create_task(self._watcher.watch()),
        ]

    async def stop(self) -> None:
        """Stop at once; call `drain` first for a planned stop."""
        self._loader.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    def begin_drain(self) -> None:
        """Admit no new attempts from now on, and announce it in all load reports."""
        if not self.draining:
            self.draining = True
            self.changed.set()

    async def drain(self) -> None:
        """Admit no new attempts; return once all have ended and are delivered."""
        self.begin_drain()
        while self._list_unfinished() or self._has_undelivered_frames():
            await asyncio.sleep(TICK_SECONDS)

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt that the gate has admitted."""
        self.attempts.add(attempt)
        if attempt.adapter is not None:
            self._loader.observe_use(attempt.adapter)
        self._wake.set()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose caller has disconnected.

        A running attempt is cancelled only if its request is idempotent.
        """
        now = self._clock.monotonic()
        if attempt.state is AttemptState.QUEUED:
            attempt.refuse(ErrorCode.CANCELLED, "the caller disconnected", now, 0.0)
        elif attempt.dispatch.idempotent and attempt.task is not None:
            # A non-idempotent run continues, since its outcome must be recorded
            attempt.task.cancel()
        self._wake.set()

    def report(self) -> LoadReport:
        """Return the current load."""
        running = self.attempts.list_in(AttemptState.RUNNING)
        queued = self.attempts.list_in(AttemptState.QUEUED)
        return LoadReport(
            target=self._config.target,
            running=len(running),
            queued=len(queued),
            slots=self._config.slots,
            batch=self._config.batch,
            resident=self._list_digests(SlotState.RESIDENT),
            loading=self._list_digests(SlotState.LOADING),
            seconds_per_request=self._seconds_per_request,
            draining=self.draining,
            healthy=self.healthy and not self._resting,
            seconds_per_load=self._loader.seconds_per_load,
            pending_loads=self._loader.count_pending_loads(),
            free_slots=max(self._loader.count_available_slots(), 0),
            coldest_reuse=self._loader.estimate_coldest_reuse(),
            stalled=sum(not self._is_ready(attempt) for attempt in queued),
        )

    # Scheduling -------------------------------------------------------------

    async def _run_scheduler(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            self._schedule(self._clock.monotonic())

    def _schedule(self, now: float) -> None:
        self._update_rest(now)
        self._refuse_unservable(now)
        if self.healthy:
            self._start_runs(now)
            if self._config.is_engine and not self._resting:
                self._loader.start_loads(self.attempts.list_in(AttemptState.QUEUED))
        for attempt in self.attempts.remove_expired(now):
            if attempt.refusal is not None:
                self.gate.revoke_admission(attempt.key)

    def _update_rest(self, now: float) -> None:
        resting = self._rest.left(now) > 0
        if resting != self._resting:
            self._resting = resting
            self.changed.set()

    def _refuse_unservable(self, now: float) -> None:
        # Attempts that can't run here in time are refused at once, so that they can run
        # at another target or be retried, rather than held until their deadline.
        queued = {a.key: a for a in self.attempts.list_in(AttemptState.QUEUED)}
        unreachable = self._watcher.measure_downtime() > UNHEALTHY_GRACE_SECONDS
        views = [self._make_view(attempt, now) for attempt in queued.values()]
        rest = self._rest.left(now)
        late = list_late(views, now + rest, self._estimate_shortest_run())
        late_keys = {(item.request, item.attempt) for item in late}
        for key, attempt in queued.items():
            if (key.request, key.attempt) in late_keys:
                code, reason = (
                    ErrorCode.DEADLINE_EXCEEDED,
                    "too late to complete before the deadline at this target",
                )
            elif unreachable:
                code, reason = ErrorCode.TARGET_FAILED, "the target doesn't respond"
            elif rest > UNHEALTHY_GRACE_SECONDS:
                code, reason = ErrorCode.OVERLOADED, "the target has asked for rest"
            elif attempt.adapter and self._loader.should_redirect(attempt.adapter):
                code, reason = (
                    ErrorCode.LOAD_FAILED,
                    "the adapter fails to load at this target",
                )
            else:
                continue
            attempt.refuse(code, reason, now, max(rest, self._estimate_wait()))

    def _start_runs(self, now: float) -> None:
        running = self.attempts.list_in(AttemptState.RUNNING)
        batch = Counter(_find_digest(attempt) for attempt in running)
        queued = {
            (a.dispatch.request, a.dispatch.attempt): a
            for a in self.attempts.list_in(AttemptState.QUEUED)
        }
        views = [self._make_view(attempt, now) for attempt in queued.values()]
        while views and sum(batch.values()) < self._config.batch:
            if self._rest.wait(now):
                return
            chosen = choose_next(
                views,
                dict(batch),
                now,
                used=self._fair_queue.read(now),
                stall_weight=queued[
                    views[0].request, views[0].attempt
                ].dispatch.stall_weight,
            )
            if chosen is None:
                return
            views.remove(chosen)
            attempt = queued[chosen.request, chosen.attempt]
            pin = None
            if attempt.adapter is not None:
                pin = self._slots.pin(attempt.adapter, now)
                if pin is None:
                    continue
            batch[chosen.adapter] += 1
            self._start_run(attempt, pin, sum(batch.values()), now)

    def _start_run(
        self, attempt: Attempt, pin: Pin | None, size: int, now: float
    ) -> None:
        self._observe(attempt, Measure.BATCH_FILL, size / self._config.batch)
        self._fair_queue.observe_run(attempt.dispatch.team, now)
        attempt.state = AttemptState.RUNNING
        self._rest.take(now)
        self._record_run(attempt, now)
        attempt.task = asyncio.create_task(self._run(attempt, pin, now))
        self.changed.set()

    def _make_view(self, attempt: Attempt, now: float) -> QueuedRequest:
        ready = self._is_ready(attempt)
        if ready and attempt.ready_at is None:
            attempt.ready_at = now
        return QueuedRequest(
            request=attempt.dispatch.request,
            attempt=attempt.dispatch.attempt,
            team=attempt.dispatch.team,
            adapter=_find_digest(attempt),
            priority=attempt.dispatch.priority,
            arrived=attempt.arrived,
            deadline=attempt.deadline,
            ready=ready,
            share=attempt.dispatch.share,
        )

    def _is_ready(self, attempt: Attempt) -> bool:
        return attempt.adapter is None or self._slots.is_resident(attempt.adapter)

    # Runs -------------------------------------------------------------------

    async def _run(self, attempt: Attempt, pin: Pin | None, now: float) -> None:
        ready_at = attempt.ready_at if attempt.ready_at is not None else now
        attempt.started = attempt.last_progress = now
        waited = (now - ready_at, ready_at - attempt.arrived)
        self._observe(attempt, Measure.WAIT, waited[0])
        self._observe(attempt, Measure.LOAD_STALL, waited[1])
        boot = self._slots.boot if self._config.is_engine else None
        ended, failed = False, None
        try:
            end = await run_attempt(
                attempt, self._client, boot, waited, self._config.target
            )
            ended, failed = True, end is not RunEnd.COMPLETED
            await self._handle_run_end(attempt, end)
        except TargetRestarted:
            ended = True
            self._watcher.mark_unhealthy()
            self._requeue(attempt, "the target restarted")
        except asyncio.CancelledError:
            if attempt.unresponsive:
                await self._end_unconfirmed(
                    attempt, "the connection to the target stopped responding"
                )
            else:
                reason = "the caller disconnected"
                self._end(attempt, Outcome.UNKNOWN, ErrorCode.CANCELLED, reason)
        except IbisheadError as error:
            ended, failed = not attempt.sent, attempt.sent
            await self._handle_error(attempt, error)
        finally:
            self._end_run(attempt, failed)
            if pin is not None:
                self._slots.unpin(pin, ended)
            self._notify_change()

    def _record_run(self, attempt: Attempt, now: float) -> None:
        key = attempt.key
        self._runs.begin(key.request, key.attempt, attempt.dispatch.keys, now)
        attempt.on_begin = lambda: self._runs.begin_answer(
            key.request, key.attempt, self._clock.monotonic()
        )
        attempt.on_head = self._record_head

    def _record_head(self, status: int, headers: Headers) -> None:
        """Record the rest that an answer of the target asks for."""
        seconds = read_retry_after(headers)
        if status == OVERLOADED_STATUS and is_valid_rest(seconds):
            logger.info(
                "target asked for rest",
                extra={"target": self._config.target, "seconds": seconds},
            )
            self._rest.begin(seconds, self._clock.monotonic())
            self._notify_change()

    def _end_run(self, attempt: Attempt, failed: bool | None) -> None:
        key, now = attempt.key, self._clock.monotonic()
        run = self._runs.end(key.request, key.attempt, failed, now)
        if run is not None and run.begun_at is not None:
            complete = failed is False
            self._part_uses.record_answer(run.keys, run.begun_at, complete, now)

    def _report_end(self, boot: BootId) -> None:
        """Report what ran at the engine when it ended, unless its end was planned."""
        now = self._clock.monotonic()
        runs = self._runs.take_all(now)
        self._rest = RestPeriod()
        if self.draining:
            return
        born = xxhash.xxh64_intdigest(boot.encode())
        report = self.crashes.make_report(
            self._config.target, born, runs, now, self._part_uses
        )
        if report.suspects:
            self.on_crash(report)

    def _observe(self, attempt: Attempt, measure: Measure, value: float) -> None:
        dispatch = attempt.dispatch
        self._metrics.observe(measure, dispatch.team, dispatch.request_class, value)

    async def _handle_run_end(self, attempt: Attempt, end: RunEnd) -> None:
        match end:
            case RunEnd.COMPLETED:
                self._record_duration(attempt)
                await self._registrar.record_outcome(attempt, Outcome.COMPLETED)
                self._end(attempt, Outcome.COMPLETED)
            case RunEnd.ADAPTER_MISSING:
                # The engine has run nothing
                if attempt.adapter is not None:
                    self._slots.drop(attempt.adapter)
                self._requeue(attempt, "the engine has not loaded the adapter")
            case RunEnd.UNCONFIRMED:
                await self._end_unconfirmed(
                    attempt, "the engine's list doesn't confirm that it ran nothing"
                )
            case RunEnd.WRONG_MODEL:
                self._watcher.mark_unhealthy()
                self._slots.begin_boot(BootId(""), (), self._clock.monotonic())
                await self._end_unconfirmed(
                    attempt, "the answer names another model than the one requested"
                )
            case RunEnd.FAILED:
                await self._end_unconfirmed(
                    attempt, "the engine returned a server error"
                )

    async def _handle_error(self, attempt: Attempt, error: IbisheadError) -> None:
        if attempt.sent:
            await self._end_unconfirmed(attempt, error.message)
        else:
            now = self._clock.monotonic()
            attempt.refuse(
                ErrorCode.TARGET_FAILED, error.message, now, RETRY_AFTER_SECONDS
            )

    async def _end_unconfirmed(self, attempt: Attempt, reason: str) -> None:
        if attempt.finish_stream():
            logger.info(
                "stream completed after its connection was lost",
                extra={"request": attempt.dispatch.request, "reason": reason},
            )
            await self._handle_run_end(attempt, RunEnd.COMPLETED)
            return
        await self._registrar.record_outcome(attempt, Outcome.UNKNOWN)
        self._end(attempt, Outcome.UNKNOWN, ErrorCode.TARGET_FAILED, reason)

    def _end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        code: ErrorCode | None = None,
        reason: str = "",
    ) -> None:
        attempt.emit_end(outcome, self._clock.monotonic(), code, reason)

    def _requeue(self, attempt: Attempt, reason: str) -> None:
        attempt.requeue_count += 1
        attempt.sent = False
        attempt.ready_at = None
        if attempt.requeue_count > MAX_REQUEUES:
            now = self._clock.monotonic()
            attempt.refuse(ErrorCode.LOAD_FAILED, reason, now, RETRY_AFTER_SECONDS)
        else:
            attempt.state = AttemptState.QUEUED

    def _record_duration(self, attempt: Attempt) -> None:
        elapsed = self._clock.monotonic() - attempt.started
        self._shortest_seconds = min(self._shortest_seconds, elapsed)
        self._seconds_per_request += SMOOTHING_FACTOR * (
            elapsed - self._seconds_per_request
        )

    def _check_runs(self, busy: frozenset[AdapterKey]) -> None:
        now = self._clock.monotonic()
        for attempt in self.attempts.list_in(AttemptState.RUNNING):
            if attempt.sent and attempt.task is not None and not attempt.unresponsive:
                attempt.unresponsive = _is_unresponsive(attempt, busy, now)
                if attempt.unresponsive:
                    attempt.task.cancel()
                    # Idle connections opened before may be unresponsive as well
                    self._client.close()

    def _estimate_shortest_run(self) -> float:
        # The shortest measured run is used, not the mean: a short request among long
        # ones may well end in time, and refusing it would lose its answer.
        return 0.0 if self._shortest_seconds == float("inf") else self._shortest_seconds

    def _list_unfinished(self) -> list[Attempt]:
        return self.attempts.list_in(AttemptState.QUEUED, AttemptState.RUNNING)

    def _list_digests(self, state: SlotState) -> tuple[int, ...]:
        return tuple(key.digest for key in self._slots.list_keys(state))

    def _has_undelivered_frames(self) -> bool:
        return any(
            attempt.watchers and not attempt.is_acknowledged
            for attempt in self.attempts.list_in(AttemptState.ENDED)
        )

    def _estimate_wait(self) -> float:
        queued = len(self.attempts.list_in(AttemptState.QUEUED))
        return max(
            RETRY_AFTER_SECONDS,
            queued * self._seconds_per_request / self._config.batch,
        )

    def _notify_change(self) -> None:
        self.changed.set()
        self._wake.set()


def _is_unresponsive(attempt: Attempt, busy: frozenset[AdapterKey], now: float) -> bool:
    # Failure: a device on the network path loses the state of an open connection. No
    # data arrives and the connection is not closed, so the run would occupy its slot
    # and block its caller until the deadline. Two signs show it: samples taken over new
    # connections show no run with the adapter, or a stream that had begun has stopped.
    frames = attempt.buffer.next_sequence
    if frames != attempt.frames_seen or attempt.buffer.full:
        attempt.frames_seen = frames
        attempt.last_progress = now
        attempt.absent_samples = 0
    elif attempt.adapter is None or attempt.adapter in busy:
        attempt.absent_samples = 0
    else:
        attempt.absent_samples += 1
    stream_idle = frames > 0 and now - attempt.last_progress > STREAM_IDLE_SECONDS
    # A plain service does not list its runs, so a run without an answer would occupy
    # its place in the batch forever. It is cancelled some time after its deadline.
    overdue = frames == 0 and now - attempt.deadline > LATE_ANSWER_SECONDS
    return stream_idle or overdue or attempt.absent_samples >= MAX_ABSENT_SAMPLES


def _find_digest(attempt: Attempt) -> int:
    return 0 if attempt.adapter is None else attempt.adapter.digest
