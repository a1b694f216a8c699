"""Brings adapters into the engine's slots and takes them out again.

Which load goes first and which adapter leaves is decided in `ibishead.decisions`;
here the decisions meet the permits of the weight store and the engine's answers.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from ibishead.agent.attempts import Attempt
from ibishead.agent.slots import AdapterKey, SlotState, SlotTable
from ibishead.agent.target import TargetClient
from ibishead.clock import Clock
from ibishead.decisions.eviction import ReuseCounter, SlotView, choose_victim
from ibishead.decisions.eviction import expect_reuse as expect_slot_reuse
from ibishead.decisions.loading import LoadBackoff, LoadWish, choose_load, urgency
from ibishead.errors import ErrorCode, IbisheadError, LinkLost
from ibishead.ids import Incarnation

__all__ = ["LoadAuthority", "Loader"]

logger = logging.getLogger(__name__)

#: Loads in flight at one engine; the store serves eight for the whole fleet.
MAX_CONCURRENT_LOADS = 2

#: Weight of the newest load in the mean time of one.
SMOOTHING_FACTOR = 0.1

#: Seconds that a load takes while none has been measured.
INITIAL_LOAD_SECONDS = 0.25


class LoadAuthority(Protocol):
    """What a loader asks of the control quorum."""

    @property
    def incarnation(self) -> Incarnation:
        """The fencing number of this agent's orders."""

    def has_authority(self) -> bool:
        """Whether this agent may still order its target about."""

    async def obtain_permit(self, urgency: float) -> int:
        """Return the number of a granted load, or raise `Unavailable`."""

    def release_permit(self, number: int) -> None:
        """Give a load permit back."""


class Loader:
    """Loads what waits, one engine's share of the fleet's loads.

    :param changed: called whenever a load begins or ends.
    :ivar doubtful: an order failed, so the engine may hold other adapters than the
        slot table says, until they are listed again.
    """

    def __init__(
        self,
        slots: SlotTable,
        client: TargetClient,
        authority: LoadAuthority,
        clock: Clock,
        changed: Callable[[], None],
        backoff: LoadBackoff,
    ) -> None:
        self.needs_reconciling = False
        self.seconds_per_load = INITIAL_LOAD_SECONDS
        self._slots = slots
        self._client = client
        self._authority = authority
        self._clock = clock
        self._changed = changed
        self._reuse_counter = ReuseCounter()
        self._backoff = backoff
        self._redirected: set[AdapterKey] = set()
        self._loads: dict[AdapterKey, asyncio.Task[None]] = {}
        self._candidate_count = 0
        self._queued_counts: Counter[AdapterKey] = Counter()

    def stop(self) -> None:
        """Abandon the loads in progress."""
        for task in self._loads.values():
            task.cancel()

    def observe_use(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        self._reuse_counter.observe_use(key.digest, self._clock.monotonic())

    def should_redirect(self, key: AdapterKey) -> bool:
        """Whether loads fail here, so that its requests belong at another target."""
        now = self._clock.monotonic()
        return key in self._redirected and now < self._backoff.read(key.digest)

    def start_loads(self, queued: list[Attempt]) -> None:
        """Begin the most urgent loads for what waits."""
        now = self._clock.monotonic()
        self._queued_counts = Counter(
            a.adapter for a in queued if a.adapter is not None
        )
        candidates = self._list_candidates(queued, now)
        self._candidate_count = len(candidates)
        if not self._authority.has_authority():
            return
        while len(self._loads) < min(
            MAX_CONCURRENT_LOADS, self.count_available_slots() + len(self._loads)
        ):
            candidate = choose_load(list(candidates.values()), now)
            if candidate is None:
                return
            key = next(key for key in candidates if candidate.digest == key.digest)
            del candidates[key]
            source = next(a.dispatch.source for a in queued if a.adapter == key)
            self._loads[key] = asyncio.create_task(self._load(key, source, candidate))

    def count_available_slots(self) -> int:
        """Return how many loads could begin, as slots are empty or unpinned."""
        held = sum(len(self._slots.list_keys(state)) for state in SlotState)
        pending = sum(not self._slots.has_slot(key) for key in self._loads)
        return self._slots.count - held + self._slots.count_unpinned() - pending

    def count_pending_loads(self) -> int:
        """Return how many adapters are waited for and not on their way."""
        return self._candidate_count

    def estimate_coldest_reuse(self) -> float:
        """Return the aged uses of what would leave next, 0 for an empty slot."""
        if self._slots.has_free_slot():
            return 0.0
        now = self._clock.monotonic()
        victim = choose_victim(self._list_views(now), now)
        return 0.0 if victim is None else expect_slot_reuse(victim, now)

    def _list_candidates(
        self, queued: list[Attempt], now: float
    ) -> dict[AdapterKey, LoadWish]:
        waiters: dict[AdapterKey, list[Attempt]] = {}
        for attempt in queued:
            key = attempt.adapter
            if key is None or self._slots.has_slot(key) or key in self._loads:
                continue
            waiters.setdefault(key, []).append(attempt)
        return {
            key: LoadWish(
                digest=key.digest,
                waiting=len(attempts),
                oldest=now - min(a.arrived for a in attempts),
                priority=max(a.dispatch.priority for a in attempts),
                not_before=self._backoff.read(key.digest),
            )
            for key, attempts in waiters.items()
        }

    async def _load(self, key: AdapterKey, source: str, candidate: LoadWish) -> None:
        permit = None
        started = self._clock.monotonic() - candidate.oldest
        try:
            permit = await self._authority.obtain_permit(urgency(candidate))
            if await self._free_slot():
                await self._load_into_slot(key, source)
                elapsed = self._clock.monotonic() - started
                self.seconds_per_load += SMOOTHING_FACTOR * (
                    elapsed - self.seconds_per_load
                )
        except IbisheadError as error:
            logger.info(
                "no load", extra={"adapter": key.adapter, "reason": error.message}
            )
        finally:
            if permit is not None:
                self._authority.release_permit(permit)
            self._loads.pop(key, None)
            self._changed()

    async def _free_slot(self) -> bool:
        if self._slots.has_free_slot():
            return True
        now = self._clock.monotonic()
        victim = choose_victim(self._list_views(now), now, spare_waiting=True)
        if victim is None:
            return False
        key = next(
            key
            for key in self._slots.list_keys(SlotState.RESIDENT)
            if key.digest == victim.digest
        )
        if not self._slots.begin_unload(key):
            return False
        boot = self._slots.boot
        unloaded = False
        try:
            self._check_authority()
            await self._client.unload(key, boot, self._authority.incarnation)
            unloaded = True
        except IbisheadError:
            self.needs_reconciling = True
            raise
        finally:
            self._slots.end_unload(key, boot, unloaded)
        return self._slots.has_free_slot()

    async def _load_into_slot(self, key: AdapterKey, source: str) -> None:
        boot = self._slots.boot
        self._slots.begin_load(key, self._clock.monotonic())
        self._changed()
        loaded = False
        try:
            self._check_authority()
            await self._client.load(key, source, boot, self._authority.incarnation)
            loaded = True
            self._backoff.observe_success(key.digest)
            self._redirected.discard(key)
        except IbisheadError as error:
            self.needs_reconciling = True
            self._record_failure(key, error)
            raise
        finally:
            self._slots.end_load(key, boot, loaded)

    def _check_authority(self) -> None:
        # Between the decision and the order this process may have been frozen, and
        # another agent may serve the target now; checked with no await in between.
        if not self._authority.has_authority():
            raise LinkLost(
                "this agent's authority over its target is in doubt",
                "none is needed, it is confirmed with the control quorum",
                code=ErrorCode.STALE_INCARNATION,
            )

    def _record_failure(self, key: AdapterKey, error: IbisheadError) -> None:
        if self._backoff.observe_failure(key.digest, self._clock.monotonic()):
            self._redirected.add(key)
        logger.warning(
            "load failed",
            extra={
                "adapter": key.adapter,
                "version": key.version,
                "reason": error.message,
            },
        )

    def _list_views(self, now: float) -> list[SlotView]:
        return [
            SlotView(
                digest=resident.key.digest,
                pins=resident.pins,
                last_used=resident.last_used,
                reuse=self._reuse_counter.read(resident.key.digest, now),
                waiting=self._queued_counts[resident.key],
            )
            for resident in self._slots.list_resident()
        ]
