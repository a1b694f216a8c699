"""Loading of adapters into the engine's slots, and their eviction.

The choice of the next load and of the adapter to evict is made in `ibishead.decisions`.
This module obtains permits for the weight store and sends the load and unload commands
to the engine.
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
from ibishead.decisions.eviction import estimate_reuse as expect_slot_reuse
from ibishead.decisions.loading import LoadBackoff, PendingLoad, choose_load, urgency
from ibishead.errors import ErrorCode, IbisheadError, LinkLost
from ibishead.ids import Incarnation

__all__ = ["LoadAuthority", "Loader"]

logger = logging.getLogger(__name__)

#: Concurrent loads at one engine; the weight store serves eight at once for all engines
#: together.
MAX_CONCURRENT_LOADS = 2

#: Weight of the latest load in the moving average of load times.
SMOOTHING_FACTOR = 0.1

#: Seconds assumed for a load until one has been measured.
INITIAL_LOAD_SECONDS = 0.25


class LoadAuthority(Protocol):
    """Interface to the control quorum that a loader needs."""

    @property
    def incarnation(self) -> Incarnation:
        """Fencing number sent with this agent's commands."""

    def has_authority(self) -> bool:
        """Whether this agent may still send commands to its target."""

    async def obtain_permit(self, urgency: float) -> int:
        """Wait for a load permit and return its number.

        :raises Unavailable: no permit was granted in time.
        """

    def release_permit(self, number: int) -> None:
        """Release a load permit."""


class Loader:
    """Loads the adapters that queued requests need.

    The number of concurrent loads is limited to one engine's share of the loads of all
    engines.

    :param changed: called whenever a load begins or ends.
    :ivar needs_reconciling: a command failed, so the engine may hold other adapters
        than the slot table shows until they are listed again.
    :ivar seconds_per_load: moving average of the seconds from the first request for an
        adapter until it is resident.
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
        """Cancel the loads in progress."""
        for task in self._loads.values():
            task.cancel()

    def observe_use(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        self._reuse_counter.observe_use(key.digest, self._clock.monotonic())

    def should_redirect(self, key: AdapterKey) -> bool:
        """Whether loads of the adapter fail here, so requests should go elsewhere."""
        now = self._clock.monotonic()
        return key in self._redirected and now < self._backoff.read(key.digest)

    def start_loads(self, queued: list[Attempt]) -> None:
        """Start the most urgent loads for the queued attempts."""
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
        """Return how many loads could start now, in empty or evictable slots."""
        held = sum(len(self._slots.list_keys(state)) for state in SlotState)
        pending = sum(not self._slots.has_slot(key) for key in self._loads)
        return self._slots.count - held + self._slots.count_unpinned() - pending

    def count_pending_loads(self) -> int:
        """Return how many adapters queued requests need that no load has begun for."""
        return self._candidate_count

    def estimate_coldest_reuse(self) -> float:
        """Return the aged use count of the next victim, 0 for an empty slot."""
        if self._slots.has_free_slot():
            return 0.0
        now = self._clock.monotonic()
        victim = choose_victim(self._list_views(now), now)
        return 0.0 if victim is None else expect_slot_reuse(victim, now)

    def _list_candidates(
        self, queued: list[Attempt], now: float
    ) -> dict[AdapterKey, PendingLoad]:
        waiters: dict[AdapterKey, list[Attempt]] = {}
        for attempt in queued:
            key = attempt.adapter
            if key is None or self._slots.has_slot(key) or key in self._loads:
                continue
            waiters.setdefault(key, []).append(attempt)
        return {
            key: PendingLoad(
                digest=key.digest,
                waiting=len(attempts),
                oldest=now - min(a.arrived for a in attempts),
                priority=max(a.dispatch.priority for a in attempts),
                not_before=self._backoff.read(key.digest),
            )
            for key, attempts in waiters.items()
        }

    async def _load(self, key: AdapterKey, source: str, candidate: PendingLoad) -> None:
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
                "adapter not loaded",
                extra={"adapter": key.adapter, "reason": error.message},
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
        # Between the decision and the command this process may have been frozen, and
        # another agent may serve the target by now. There must be no await between this
        # check and the command.
        if not self._authority.has_authority():
            raise LinkLost(
                "this agent is not registered for its target or was superseded",
                "none is needed, the registration is checked with the control quorum",
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
