"""Decides, turn by turn, what the target runs and which adapters it holds.

The choices themselves are in `ibishead.decisions`; here they meet the attempts, the
slots, the permits of the weight store and the target.
"""

import asyncio
import contextlib
import logging
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from ibishead.agent.attempts import Attempt, AttemptState, AttemptTable
from ibishead.agent.gate import Gate
from ibishead.agent.runner import RunEnd, run_attempt
from ibishead.agent.slots import AdapterKey, Pin, SlotState, SlotTable
from ibishead.agent.target import TargetClient, TargetRestarted
from ibishead.clock import Clock
from ibishead.decisions.loading import LoadWish, choose_load, urgency
from ibishead.decisions.queueing import Waiting, choose_next
from ibishead.errors import ErrorCode, IbisheadError, LinkLost
from ibishead.ids import BootId, Incarnation, TargetId
from ibishead.messages import LoadReport, Outcome
from ibishead.metrics import Measure, Metrics

__all__ = ["Registrar", "Scheduler", "TargetShape"]

logger = logging.getLogger(__name__)

#: Seconds between checks of deadlines, boots and lingering pins.
TICK = 0.1

#: Seconds between samples of a healthy, quiet engine.
SAMPLE_INTERVAL = 0.5

#: Seconds that a target may be unreachable before what waits for it is handed back.
UNHEALTHY_PATIENCE = 1.0

#: Loads in flight at one engine; the store serves eight for the whole fleet.
MAX_LOADS = 2

#: Seconds before a failed load is tried again, doubled with each failure.
LOAD_BACKOFF = 0.5
MAX_LOAD_BACKOFF = 10.0

#: Failed loads of one adapter after which its waiters are handed back, so that
#: another target gets a chance while their deadlines still allow it.
MAX_LOAD_FAILURES = 2

#: How often one attempt may find the engine without its adapter.
MAX_REQUEUES = 3

#: Weight of the newest run in the mean time of one run.
SMOOTHING = 0.1

REFUSED_RETRY_AFTER = 1.0


@dataclass(frozen=True)
class TargetShape:
    """What a target can do at once.

    :param is_engine: it holds adapters; otherwise it is a plain service.
    :param batch: requests that it runs at once.
    """

    target: TargetId
    is_engine: bool
    batch: int
    slots: int


class Registrar(Protocol):
    """What the scheduler asks of the control quorum."""

    @property
    def incarnation(self) -> Incarnation:
        """The fencing number of this agent's orders."""

    def may_order(self) -> bool:
        """Whether this agent may still order its target about."""

    async def obtain_permit(self, urgency: float) -> int:
        """Return the number of a granted load, or raise `Unavailable`."""

    def release_permit(self, number: int) -> None:
        """Give a load permit back."""

    async def record_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record how a claimed request ended."""


@dataclass
class _Failures:
    count: int = 0
    not_before: float = 0.0


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
        self.slots = SlotTable(shape.slots)
        self.healthy = False
        self.draining = False
        self.changed = asyncio.Event()
        self._shape = shape
        self._client = client
        self._registrar = registrar
        self._clock = clock
        self._metrics = metrics or Metrics("agent")
        self._wake = asyncio.Event()
        self._failures: dict[AdapterKey, _Failures] = {}
        self._loads: dict[AdapterKey, asyncio.Task[None]] = {}
        self._seconds_per_request = 0.5
        self._last_seen = clock.monotonic()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to run what is submitted."""
        self._tasks = [
            asyncio.create_task(self._schedule_for_ever()),
            asyncio.create_task(self._watch_target()),
        ]

    async def stop(self) -> None:
        """Stop at once; call `finish` first for a planned stop."""
        for task in [*self._tasks, *self._loads.values()]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def finish(self) -> None:
        """Return once every attempt has ended and its frames are delivered."""
        self.draining = True
        self.changed.set()
        while self._list_open() or self._owes_frames():
            await asyncio.sleep(TICK)

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt that the gate has taken in."""
        self.attempts.add(attempt)
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
        open_attempts = self._list_open()
        running = sum(a.state is AttemptState.RUNNING for a in open_attempts)
        return LoadReport(
            self._shape.target,
            running,
            len(open_attempts) - running,
            self._shape.slots,
            self._shape.batch,
            tuple(k.digest for k in self.slots.list_keys(SlotState.RESIDENT)),
            tuple(k.digest for k in self.slots.list_keys(SlotState.LOADING)),
            self._seconds_per_request,
            self.draining,
            self.healthy,
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
        queued = self.attempts.list_in(AttemptState.QUEUED)
        queued = self._hand_back(queued, now)
        self._start_runs(queued, now)
        if self._shape.is_engine:
            waiting = [a for a in queued if a.state is AttemptState.QUEUED]
            self._start_loads(waiting, now)
        for attempt in self.attempts.forget(now):
            if attempt.refusal is not None:
                self.gate.give_up(attempt.key)

    def _hand_back(self, queued: list[Attempt], now: float) -> list[Attempt]:
        # What can't be run here in time is worth more elsewhere, or refused at
        # once, than held until its deadline
        kept = []
        patience = UNHEALTHY_PATIENCE if self._last_seen else 0.0
        lost = not self.healthy and now - self._last_seen > patience
        for attempt in queued:
            failures = self._count_failures(attempt)
            if now >= attempt.deadline:
                attempt.refuse(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "the deadline passed in the queue",
                    now,
                    self._estimate_wait(),
                )
            elif lost:
                attempt.refuse(
                    ErrorCode.TARGET_FAILED,
                    "the target doesn't answer",
                    now,
                    REFUSED_RETRY_AFTER,
                )
            elif failures >= MAX_LOAD_FAILURES:
                attempt.refuse(
                    ErrorCode.LOAD_FAILED,
                    f"the adapter failed to load {failures} times here",
                    now,
                    REFUSED_RETRY_AFTER,
                )
            else:
                kept.append(attempt)
        return kept

    def _start_runs(self, queued: list[Attempt], now: float) -> None:
        if not self.healthy:
            return
        running = self.attempts.list_in(AttemptState.RUNNING)
        batch = Counter(_find_digest(attempt) for attempt in running)
        by_key = {(a.dispatch.request, a.dispatch.attempt): a for a in queued}
        while by_key and sum(batch.values()) < self._shape.batch:
            views = [self._view(attempt, now) for attempt in by_key.values()]
            chosen = choose_next(views, dict(batch), now)
            if chosen is None:
                return
            attempt = by_key.pop((chosen.request, chosen.attempt))
            pin = None
            if attempt.adapter is not None:
                pin = self.slots.pin(attempt.adapter, now)
                if pin is None:
                    continue
            batch[chosen.adapter] += 1
            self._observe(
                attempt, Measure.BATCH_FILL, sum(batch.values()) / self._shape.batch
            )
            attempt.state = AttemptState.RUNNING
            attempt.task = asyncio.create_task(self._run(attempt, pin, now))
            self.changed.set()

    def _view(self, attempt: Attempt, now: float) -> Waiting:
        ready = attempt.adapter is None or self.slots.is_resident(attempt.adapter)
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

    # Loads ------------------------------------------------------------------

    def _start_loads(self, queued: list[Attempt], now: float) -> None:
        if not self.healthy or not self._registrar.may_order():
            return
        wishes = self._list_wishes(queued, now)
        room = self._count_room()
        while wishes and len(self._loads) < min(MAX_LOADS, room):
            wish = choose_load(list(wishes.values()), now)
            if wish is None:
                return
            key = next(key for key in wishes if key.digest == wish.digest)
            del wishes[key]
            source = next(a.dispatch.source for a in queued if a.adapter == key)
            self._loads[key] = asyncio.create_task(self._load(key, source, wish))

    def _list_wishes(
        self, queued: list[Attempt], now: float
    ) -> dict[AdapterKey, LoadWish]:
        waiters: dict[AdapterKey, list[Attempt]] = {}
        for attempt in queued:
            key = attempt.adapter
            if key is None or self.slots.is_held(key) or key in self._loads:
                continue
            waiters.setdefault(key, []).append(attempt)
        return {
            key: LoadWish(
                digest=key.digest,
                waiting=len(attempts),
                oldest=now - min(a.arrived for a in attempts),
                priority=max(a.dispatch.priority for a in attempts),
                not_before=self._failures.get(key, _Failures()).not_before,
            )
            for key, attempts in waiters.items()
        }

    async def _load(self, key: AdapterKey, source: str, wish: LoadWish) -> None:
        permit = None
        try:
            permit = await self._registrar.obtain_permit(urgency(wish))
            if await self._make_room():
                await self._order_load(key, source)
        except IbisheadError as error:
            logger.info(
                "no load", extra={"adapter": key.adapter, "reason": error.message}
            )
        finally:
            if permit is not None:
                self._registrar.release_permit(permit)
            self._loads.pop(key, None)
            self.changed.set()
            self._wake.set()

    def _count_room(self) -> int:
        # A permit asked for while all slots are pinned would be wasted on a wait
        free = self.slots.count - sum(len(self.slots.list_keys(s)) for s in SlotState)
        return (
            free
            + self.slots.count_unpinned()
            + len(self.slots.list_keys(SlotState.LOADING))
        )

    def _choose_victim(self) -> AdapterKey | None:
        queued = self.attempts.list_in(AttemptState.QUEUED)
        waiting = Counter(a.adapter for a in queued if a.adapter)
        return self.slots.choose_victim(self._clock.monotonic(), dict(waiting), {})

    async def _make_room(self) -> bool:
        if self.slots.has_free_slot():
            return True
        victim = self._choose_victim()
        boot = self.slots.boot
        if victim is None or not self.slots.begin_unload(victim):
            return False
        unloaded = False
        try:
            self._check_authority()
            await self._client.unload(victim, boot, self._registrar.incarnation)
            unloaded = True
        finally:
            self.slots.end_unload(victim, boot, unloaded)
        return self.slots.has_free_slot()

    async def _order_load(self, key: AdapterKey, source: str) -> None:
        boot = self.slots.boot
        self.slots.begin_load(key, self._clock.monotonic())
        self.changed.set()
        loaded = False
        try:
            self._check_authority()
            await self._client.load(key, source, boot, self._registrar.incarnation)
            loaded = True
            self._failures.pop(key, None)
        except IbisheadError as error:
            self._back_off(key, error)
            raise
        finally:
            self.slots.end_load(key, boot, loaded)

    def _check_authority(self) -> None:
        # Between the decision and the order this process may have been frozen, and
        # another agent may serve the target now; checked with no await in between.
        if not self._registrar.may_order():
            raise LinkLost(
                "this agent's authority over its target is in doubt",
                "none is needed, it is confirmed with the control quorum",
                code=ErrorCode.STALE_INCARNATION,
            )

    def _back_off(self, key: AdapterKey, error: IbisheadError) -> None:
        failures = self._failures.setdefault(key, _Failures())
        failures.count += 1
        wait = min(LOAD_BACKOFF * 2 ** (failures.count - 1), MAX_LOAD_BACKOFF)
        failures.not_before = self._clock.monotonic() + wait
        logger.warning(
            "load failed",
            extra={
                "adapter": key.adapter,
                "version": key.version,
                "reason": error.message,
                "retry_in": timedelta(seconds=wait).total_seconds(),
            },
        )

    def _count_failures(self, attempt: Attempt) -> int:
        if attempt.adapter is None:
            return 0
        failures = self._failures.get(attempt.adapter)
        if failures is None or failures.not_before < attempt.arrived:
            return 0
        return failures.count

    # Runs -------------------------------------------------------------------

    async def _run(self, attempt: Attempt, pin: Pin | None, now: float) -> None:
        ready_at = attempt.ready_at if attempt.ready_at is not None else now
        attempt.started = now
        waited = (now - ready_at, ready_at - attempt.arrived)
        self._observe(attempt, Measure.WAIT, waited[0])
        self._observe(attempt, Measure.LOAD_STALL, waited[1])
        boot = self.slots.boot if self._shape.is_engine else None
        ended = False
        try:
            end = await run_attempt(
                attempt, self._client, boot, waited, self._shape.target
            )
            ended = True
            await self._settle(attempt, end)
        except TargetRestarted:
            ended = True
            self.healthy = False
            self._requeue(attempt, "the target restarted")
        except asyncio.CancelledError:
            self._end(attempt, Outcome.UNKNOWN, ErrorCode.CANCELLED, "the caller left")
        except IbisheadError as error:
            ended = not attempt.sent
            await self._fail(attempt, error)
        finally:
            if pin is not None:
                self.slots.unpin(pin, ended)
            self.changed.set()
            self._wake.set()

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
                    self.slots.drop(attempt.adapter)
                self._requeue(attempt, "the engine doesn't hold the adapter")
            case RunEnd.WRONG_MODEL:
                self.healthy = False
                self.slots.begin_boot(BootId(""), (), self._clock.monotonic())
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
        self._seconds_per_request += SMOOTHING * (took - self._seconds_per_request)

    # The target -------------------------------------------------------------

    async def _watch_target(self) -> None:
        while True:
            try:
                if self._shape.is_engine:
                    await self._sample_engine()
                else:
                    await self._client.check_reachable()
                self._last_seen = self._clock.monotonic()
                self._set_health(True)
            except LinkLost as error:
                logger.debug("target not seen", extra={"reason": error.message})
                self._set_health(False)
            wait = TICK if self.slots.lingers or not self.healthy else SAMPLE_INTERVAL
            await asyncio.sleep(wait)

    async def _sample_engine(self) -> None:
        sample = await self._client.sample()
        if sample.boot != self.slots.boot:
            resident = await self._client.list_adapters(sample.boot)
            logger.info(
                "engine booted",
                extra={"boot": sample.boot, "resident": len(resident)},
            )
            now = self._clock.monotonic()
            self.slots.begin_boot(sample.boot, resident, now)
        else:
            self.slots.observe_running(sample.busy)

    def _set_health(self, healthy: bool) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self.changed.set()
            self._wake.set()

    def _list_open(self) -> list[Attempt]:
        return self.attempts.list_in(AttemptState.QUEUED, AttemptState.RUNNING)

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


def _find_digest(attempt: Attempt) -> int:
    return 0 if attempt.adapter is None else attempt.adapter.digest
