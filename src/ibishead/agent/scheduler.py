"""Decides, turn by turn, which of the waiting attempts the target runs.

The choice itself is in `ibishead.decisions`; here it meets the attempts and slots.
"""

import asyncio
import contextlib
import logging
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from ibishead.agent.attempts import Attempt, AttemptState, AttemptTable
from ibishead.agent.gate import Gate
from ibishead.agent.loader import LoadAuthority, Loader
from ibishead.agent.runner import RunEnd, run_attempt
from ibishead.agent.slots import AdapterKey, Pin, SlotState, SlotTable
from ibishead.agent.target import TargetClient, TargetRestarted
from ibishead.agent.watcher import TargetWatcher
from ibishead.clock import Clock
from ibishead.decisions.loading import FIRST_BACKOFF, LoadBackoff
from ibishead.decisions.queueing import FairQueue, Waiting, choose_late, choose_next
from ibishead.errors import ErrorCode, IbisheadError
from ibishead.ids import BootId, TargetId
from ibishead.messages import LoadReport, Outcome
from ibishead.metrics import Measure, Metrics

__all__ = ["Registrar", "Scheduler", "TargetShape"]

logger = logging.getLogger(__name__)

#: Seconds between turns while nothing happens, for deadlines to be seen.
TICK = 0.1

#: Seconds that a target may be unreachable before what waits for it is handed back.
UNHEALTHY_PATIENCE = 1.0

#: How often one attempt may find the engine without its adapter.
MAX_REQUEUES = 3

#: Weight of the newest run in the mean time of one run.
SMOOTHING = 0.1

#: Seconds that a run takes while none has been measured.
FIRST_GUESS = 0.5

REFUSED_RETRY_AFTER = 1.0

#: Looks in a row at which an engine must not show a run. Engines report late, and
#: a request may lie unread in their socket at the first.
MAX_ABSENCES = 4

#: Seconds without a piece of a stream that has begun. Tokens are to come every few
#: hundredths of a second, so this is a target that has stopped.
STREAM_SILENCE = 10.0

#: Seconds after its deadline in which an answer may still begin. Its caller has been
#: told, but who asks again with the same key gets what is recorded.
LATE_ANSWER_TIME = 10.0


@dataclass(frozen=True)
class TargetShape:
    """What a target can do at once.

    :param is_engine: it holds adapters; otherwise it is a plain service.
    :param batch: requests that it runs at once.
    :param failure_backoff: seconds before a load that failed once is tried again.
    """

    target: TargetId
    is_engine: bool
    batch: int
    slots: int
    failure_backoff: float = FIRST_BACKOFF


class Registrar(LoadAuthority, Protocol):
    """What a scheduler asks of the control quorum."""

    async def record_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record how a claimed request ended."""


class Scheduler:
    """Runs attempts at one target."""

    def __init__(
        self,
        shape: TargetShape,
        client: TargetClient,
        registrar: Registrar,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        self.gate = Gate()
        self.attempts = AttemptTable()
        self.draining = False
        self.changed = asyncio.Event()
        self._slots = SlotTable(shape.slots)
        self._loader = Loader(
            self._slots,
            client,
            registrar,
            clock,
            self._note_change,
            LoadBackoff(shape.failure_backoff),
        )
        self._watcher = TargetWatcher(
            client,
            self._slots,
            self._loader,
            shape.is_engine,
            clock,
            self._note_change,
            self._review_runs,
        )
        self._shape = shape
        self._client = client
        self._registrar = registrar
        self._clock = clock
        self._metrics = metrics or Metrics("agent")
        self._wake = asyncio.Event()
        self._fair = FairQueue()
        self._seconds_per_request = FIRST_GUESS
        self._shortest = float("inf")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def healthy(self) -> bool:
        """Whether the target answers."""
        return self._watcher.healthy

    def start(self) -> None:
        """Begin to run what is submitted."""
        self._tasks = [
            asyncio.create_task(self._schedule_for_ever()),
            asyncio.create_task(self._watcher.watch_for_ever()),
        ]

    async def stop(self) -> None:
        """Stop at once; call `finish` first for a planned stop."""
        self._loader.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    def begin_drain(self) -> None:
        """Take nothing new from now on, and say so in every report."""
        if not self.draining:
            self.draining = True
            self.changed.set()

    async def finish(self) -> None:
        """Return once every attempt has ended and its frames are delivered."""
        self.begin_drain()
        while self._list_open() or self._owes_frames():
            await asyncio.sleep(TICK)

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt that the gate has taken in."""
        self.attempts.add(attempt)
        if attempt.adapter is not None:
            self._loader.observe_use(attempt.adapter)
        self._wake.set()

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt whose caller has left, where that does no harm."""
        now = self._clock.monotonic()
        if attempt.state is AttemptState.QUEUED:
            attempt.refuse(ErrorCode.CANCELLED, "the caller left", now, 0.0)
        elif attempt.dispatch.idempotent and attempt.task is not None:
            # A non-idempotent run goes on: its outcome must be on record
            attempt.task.cancel()
        self._wake.set()

    def report(self) -> LoadReport:
        """Return the load as it is now."""
        running = self.attempts.list_in(AttemptState.RUNNING)
        queued = self.attempts.list_in(AttemptState.QUEUED)
        return LoadReport(
            target=self._shape.target,
            running=len(running),
            queued=len(queued),
            slots=self._shape.slots,
            batch=self._shape.batch,
            resident=self._list_digests(SlotState.RESIDENT),
            loading=self._list_digests(SlotState.LOADING),
            seconds_per_request=self._seconds_per_request,
            draining=self.draining,
            healthy=self.healthy,
            seconds_per_load=self._loader.seconds_per_load,
            pending_loads=self._loader.count_wishes(),
            free_slots=max(self._loader.count_room(), 0),
            coldest_uses=self._loader.find_coldest(),
            stalled=sum(not self._is_ready(attempt) for attempt in queued),
        )

    # Turns ------------------------------------------------------------------

    async def _schedule_for_ever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK):
                    await self._wake.wait()
            self._wake.clear()
            self._take_turn(self._clock.monotonic())

    def _take_turn(self, now: float) -> None:
        self._hand_back(now)
        if self.healthy:
            self._start_runs(now)
            if self._shape.is_engine:
                self._loader.start_loads(self.attempts.list_in(AttemptState.QUEUED))
        for attempt in self.attempts.forget(now):
            if attempt.refusal is not None:
                self.gate.give_up(attempt.key)

    def _hand_back(self, now: float) -> None:
        # What can't be run here in time is worth more elsewhere, or refused at
        # once, than held until its deadline.
        queued = {a.key: a for a in self.attempts.list_in(AttemptState.QUEUED)}
        lost = self._watcher.measure_absence() > UNHEALTHY_PATIENCE
        views = [self._view(attempt, now) for attempt in queued.values()]
        late = choose_late(views, now, self._shortest_run())
        names = {(item.request, item.attempt) for item in late}
        for key, attempt in queued.items():
            if (key.request, key.attempt) in names:
                code, reason = (
                    ErrorCode.DEADLINE_EXCEEDED,
                    "it can no longer end before its deadline here",
                )
            elif lost:
                code, reason = ErrorCode.TARGET_FAILED, "the target doesn't answer"
            elif attempt.adapter and self._loader.is_hopeless(attempt.adapter):
                code, reason = ErrorCode.LOAD_FAILED, "the adapter fails to load here"
            else:
                continue
            attempt.refuse(code, reason, now, self._estimate_wait())

    def _start_runs(self, now: float) -> None:
        running = self.attempts.list_in(AttemptState.RUNNING)
        batch = Counter(_find_digest(attempt) for attempt in running)
        queued = {
            (a.dispatch.request, a.dispatch.attempt): a
            for a in self.attempts.list_in(AttemptState.QUEUED)
        }
        views = [self._view(attempt, now) for attempt in queued.values()]
        while views and sum(batch.values()) < self._shape.batch:
            chosen = choose_next(
                views,
                dict(batch),
                now,
                used=self._fair.read(now),
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
        self._observe(attempt, Measure.BATCH_FILL, size / self._shape.batch)
        self._fair.observe_run(attempt.dispatch.team, now)
        attempt.state = AttemptState.RUNNING
        attempt.task = asyncio.create_task(self._run(attempt, pin, now))
        self.changed.set()

    def _view(self, attempt: Attempt, now: float) -> Waiting:
        ready = self._is_ready(attempt)
        if ready and attempt.ready_at is None:
            attempt.ready_at = now
        return Waiting(
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
        attempt.started = attempt.quiet_since = now
        waited = (now - ready_at, ready_at - attempt.arrived)
        self._observe(attempt, Measure.WAIT, waited[0])
        self._observe(attempt, Measure.LOAD_STALL, waited[1])
        boot = self._slots.boot if self._shape.is_engine else None
        ended = False
        try:
            end = await run_attempt(
                attempt, self._client, boot, waited, self._shape.target
            )
            ended = True
            await self._settle(attempt, end)
        except TargetRestarted:
            ended = True
            self._watcher.suspect()
            self._requeue(attempt, "the target restarted")
        except asyncio.CancelledError:
            if attempt.silent:
                await self._doubt(attempt, "the connection to the target went silent")
            else:
                reason = "the caller left"
                self._end(attempt, Outcome.UNKNOWN, ErrorCode.CANCELLED, reason)
        except IbisheadError as error:
            ended = not attempt.sent
            await self._fail(attempt, error)
        finally:
            if pin is not None:
                self._slots.unpin(pin, ended)
            self._note_change()

    def _observe(self, attempt: Attempt, measure: Measure, value: float) -> None:
        dispatch = attempt.dispatch
        self._metrics.observe(measure, dispatch.team, dispatch.request_class, value)

    async def _settle(self, attempt: Attempt, end: RunEnd) -> None:
        match end:
            case RunEnd.COMPLETED:
                self._learn_duration(attempt)
                await self._registrar.record_end(attempt, Outcome.COMPLETED)
                self._end(attempt, Outcome.COMPLETED)
            case RunEnd.ADAPTER_MISSING:
                # The engine said itself that it ran nothing
                if attempt.adapter is not None:
                    self._slots.drop(attempt.adapter)
                self._requeue(attempt, "the engine doesn't hold the adapter")
            case RunEnd.WRONG_MODEL:
                self._watcher.suspect()
                self._slots.begin_boot(BootId(""), (), self._clock.monotonic())
                await self._doubt(attempt, "the engine answered by another model")
            case RunEnd.FAILED:
                await self._doubt(attempt, "the engine failed on the request")

    async def _fail(self, attempt: Attempt, error: IbisheadError) -> None:
        if attempt.sent:
            await self._doubt(attempt, error.message)
        else:
            now = self._clock.monotonic()
            attempt.refuse(
                ErrorCode.TARGET_FAILED, error.message, now, REFUSED_RETRY_AFTER
            )

    async def _doubt(self, attempt: Attempt, reason: str) -> None:
        if attempt.finish_stream():
            logger.info(
                "stream completed without its connection",
                extra={"request": attempt.dispatch.request, "reason": reason},
            )
            await self._settle(attempt, RunEnd.COMPLETED)
            return
        await self._registrar.record_end(attempt, Outcome.UNKNOWN)
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
        attempt.requeued += 1
        attempt.sent = False
        attempt.ready_at = None
        if attempt.requeued > MAX_REQUEUES:
            now = self._clock.monotonic()
            attempt.refuse(ErrorCode.LOAD_FAILED, reason, now, REFUSED_RETRY_AFTER)
        else:
            attempt.state = AttemptState.QUEUED

    def _learn_duration(self, attempt: Attempt) -> None:
        took = self._clock.monotonic() - attempt.started
        self._shortest = min(self._shortest, took)
        self._seconds_per_request += SMOOTHING * (took - self._seconds_per_request)

    def _review_runs(self, busy: frozenset[AdapterKey]) -> None:
        now = self._clock.monotonic()
        for attempt in self.attempts.list_in(AttemptState.RUNNING):
            if attempt.sent and attempt.task is not None and not attempt.silent:
                attempt.silent = _is_silent(attempt, busy, now)
                if attempt.silent:
                    attempt.task.cancel()
                    # What was opened before may have gone silent as well
                    self._client.close()

    def _shortest_run(self) -> float:
        # The shortest run seen, not the mean: a short request among long ones may
        # well end in time, and refusing it would cost its caller an answer.
        return 0.0 if self._shortest == float("inf") else self._shortest

    def _list_open(self) -> list[Attempt]:
        return self.attempts.list_in(AttemptState.QUEUED, AttemptState.RUNNING)

    def _list_digests(self, state: SlotState) -> tuple[int, ...]:
        return tuple(key.digest for key in self._slots.list_keys(state))

    def _owes_frames(self) -> bool:
        return any(
            attempt.watchers and not attempt.is_acknowledged
            for attempt in self.attempts.list_in(AttemptState.ENDED)
        )

    def _estimate_wait(self) -> float:
        queued = len(self.attempts.list_in(AttemptState.QUEUED))
        return max(
            REFUSED_RETRY_AFTER,
            queued * self._seconds_per_request / self._shape.batch,
        )

    def _note_change(self) -> None:
        self.changed.set()
        self._wake.set()


def _is_silent(attempt: Attempt, busy: frozenset[AdapterKey], now: float) -> bool:
    # Failure: something between agent and target loses track of an open connection.
    # Nothing comes and nothing is closed, so the run would hold its slot and its
    # caller until the deadline. The engine, asked over a new connection, shows that
    # it runs nothing with the adapter; or a stream that had begun has stopped.
    shown = attempt.buffer.next_sequence
    if shown != attempt.shown or attempt.buffer.full:
        attempt.shown = shown
        attempt.quiet_since = now
        attempt.absences = 0
    elif attempt.adapter is None or attempt.adapter in busy:
        attempt.absences = 0
    else:
        attempt.absences += 1
    stopped = shown > 0 and now - attempt.quiet_since > STREAM_SILENCE
    # A service without a list of its runs shows nothing; a run without an answer would
    # hold its place in the batch for ever.
    overdue = shown == 0 and now - attempt.deadline > LATE_ANSWER_TIME
    return stopped or overdue or attempt.absences >= MAX_ABSENCES


def _find_digest(attempt: Attempt) -> int:
    return 0 if attempt.adapter is None else attempt.adapter.digest
