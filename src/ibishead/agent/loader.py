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
from ibishead.decisions.eviction import estimate_reuse as expect_slot_reuse
from ibishead.decisions.loading import LoadBackoff, PendingLoad, choose_load, urgency
from ibishead.errors import ErrorCode, IbisheadError, LinkLost
from ibishead.ids import Incarnation

__all__ = ["LoadAuthority", "Loader"]

logger = logging.getLogger(__name__)

#: Loads in flight at one engine; the store serves eight for the whole fleet.
MAX_LOADS = 2

#: Weight of the newest load in the mean time of one.
SMOOTHING = 0.1

#: Seconds that a load takes while none has been measured.
FIRST_GUESS = 0.25


class LoadAuthority(Protocol):
    """What a loader asks of the control quorum."""

    @property
    def incarnation(self) -> Incarnation:
        """The fencing number of this agent's orders."""

    def may_order(self) -> bool:
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
        self.doubtful = False
        self.seconds_per_load = FIRST_GUESS
        self._slots = slots
        self._client = client
        self._authority = authority
        self._clock = clock
        self._changed = changed
        self._reuse = ReuseCounter()
        self._backoff = backoff
        self._moved: set[AdapterKey] = set()
        self._loads: dict[AdapterKey, asyncio.Task[None]] = {}
        self._wishes = 0
        self._waiting: Counter[AdapterKey] = Counter()

    def stop(self) -> None:
        """Abandon the loads in progress."""
        for task in self._loads.values():
            task.cancel()

    def observe_use(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        self._reuse.observe_use(key.digest, self._clock.monotonic())

    def is_hopeless(self, key: AdapterKey) -> bool:
        """Whether loads fail here, so that its requests belong at another target."""
        now = self._clock.monotonic()
        return key in self._moved and now < self._backoff.read(key.digest)

    def start_loads(self, queued: list[Attempt]) -> None:
        """Begin the most urgent loads for what waits."""
        now = self._clock.monotonic()
        self._waiting = Counter(a.adapter for a in queued if a.adapter is not None)
        wishes = self._list_wishes(queued, now)
        self._wishes = len(wishes)
        if not self._authority.may_order():
            return
        while len(self._loads) < min(MAX_LOADS, self.count_room() + len(self._loads)):
            wish = choose_load(list(wishes.values()), now)
            if wish is None:
                return
            key = next(key for key in wishes if wish.digest == key.digest)
            del wishes[key]
            source = next(a.dispatch.source for a in queued if a.adapter == key)
            self._loads[key] = asyncio.create_task(self._load(key, source, wish))

    def count_room(self) -> int:
        """Return how many loads could begin, as slots are empty or unpinned."""
        held = sum(len(self._slots.list_keys(state)) for state in SlotState)
        pending = sum(not self._slots.is_held(key) for key in self._loads)
        return self._slots.count - held + self._slots.count_unpinned() - pending

    def count_wishes(self) -> int:
        """Return how many adapters are waited for and not on their way."""
        return self._wishes

    def find_coldest(self) -> float:
        """Return the aged uses of what would leave next, 0 for an empty slot."""
        if self._slots.has_free_slot():
            return 0.0
        now = self._clock.monotonic()
        victim = choose_victim(self._list_views(now), now)
        return 0.0 if victim is None else expect_slot_reuse(victim, now)

    def _list_wishes(
        self, queued: list[Attempt], now: float
    ) -> dict[AdapterKey, PendingLoad]:
        waiters: dict[AdapterKey, list[Attempt]] = {}
        for attempt in queued:
            key = attempt.adapter
            if key is None or self._slots.is_held(key) or key in self._loads:
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

    async def _load(self, key: AdapterKey, source: str, wish: PendingLoad) -> None:
        permit = None
        began = self._clock.monotonic() - wish.oldest
        try:
            permit = await self._authority.obtain_permit(urgency(wish))
            if await self._make_room():
                await self._order_load(key, source)
                took = self._clock.monotonic() - began
                self.seconds_per_load += SMOOTHING * (took - self.seconds_per_load)
        except IbisheadError as error:
            logger.info(
                "no load", extra={"adapter": key.adapter, "reason": error.message}
            )
        finally:
            if permit is not None:
                self._authority.release_permit(permit)
            self._loads.pop(key, None)
            self._changed()

    async def _make_room(self) -> bool:
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
            self.doubtful = True
            raise
        finally:
            self._slots.end_unload(key, boot, unloaded)
        return self._slots.has_free_slot()

    async def _order_load(self, key: AdapterKey, source: str) -> None:
        boot = self._slots.boot
        self._slots.begin_load(key, self._clock.monotonic())
        self._changed()
        loaded = False
        try:
            self._check_authority()
            await self._client.load(key, source, boot, self._authority.incarnation)
            loaded = True
            self._backoff.observe_success(key.digest)
            self._moved.discard(key)
        except IbisheadError as error:
            self.doubtful = True
            self._note_failure(key, error)
            raise
        finally:
            self._slots.end_load(key, boot, loaded)

    def _check_authority(self) -> None:
        # Between the decision and the order this process may have been frozen, and
        # another agent may serve the target now; checked with no await in between.
        if not self._authority.may_order():
            raise LinkLost(
                "this agent's authority over its target is in doubt",
                "none is needed, it is confirmed with the control quorum",
                code=ErrorCode.STALE_INCARNATION,
            )

    def _note_failure(self, key: AdapterKey, error: IbisheadError) -> None:
        if self._backoff.observe_failure(key.digest, self._clock.monotonic()):
            self._moved.add(key)
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
                digest=occupied.key.digest,
                pins=occupied.pins,
                last_used=occupied.last_used,
                reuse=self._reuse.read(occupied.key.digest, now),
                waiting=self._waiting[occupied.key],
            )
            for occupied in self._slots.list_resident()
        ]
