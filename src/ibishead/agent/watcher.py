"""Watches the target: whether it answers, in which boot, and what it holds."""

import asyncio
import logging
from collections.abc import Callable

from ibishead.agent.loader import Loader
from ibishead.agent.slots import AdapterKey, SlotTable
from ibishead.agent.target import TargetClient
from ibishead.clock import Clock
from ibishead.errors import LinkLost

__all__ = ["TargetWatcher"]

logger = logging.getLogger(__name__)

#: Seconds between looks at a healthy target with nothing in doubt.
HEALTHY_PROBE_INTERVAL_SECONDS = 0.5

#: Seconds between looks while something is in doubt.
FAST_PROBE_INTERVAL_SECONDS = 0.1


class TargetWatcher:
    """Looks at the target again and again.

    :param is_engine: it shows its boot and its adapters.
    :param changed: called when the target's health has changed.
    :param review_runs: called at each look with the adapters that are at work, none of
        a plain service.
    :ivar healthy: it answered the last look.
    """

    def __init__(
        self,
        client: TargetClient,
        slots: SlotTable,
        loader: Loader,
        is_engine: bool,
        clock: Clock,
        changed: Callable[[], None],
        check_runs: Callable[[frozenset[AdapterKey]], None],
    ) -> None:
        self.healthy = False
        self._client = client
        self._slots = slots
        self._loader = loader
        self._is_engine = is_engine
        self._clock = clock
        self._changed = changed
        self._check_runs = check_runs
        self._last_seen = clock.monotonic()

    async def watch(self) -> None:
        """Keep `healthy` and the slot table true to what the target shows."""
        while True:
            try:
                await self._probe()
                self._last_seen = self._clock.monotonic()
                self._set_health(True)
            except LinkLost as error:
                logger.debug("target not seen", extra={"reason": error.message})
                self._set_health(False)
            uncertain = (
                self._slots.has_orphaned_pins
                or self._loader.needs_reconciling
                or not self.healthy
            )
            await asyncio.sleep(
                FAST_PROBE_INTERVAL_SECONDS
                if uncertain
                else HEALTHY_PROBE_INTERVAL_SECONDS
            )

    def mark_unhealthy(self) -> None:
        """Take the target for unhealthy until it is seen again."""
        self._set_health(False)

    def measure_downtime(self) -> float:
        """Return the seconds since the target was last seen, 0 while it is healthy."""
        return 0.0 if self.healthy else self._clock.monotonic() - self._last_seen

    async def _probe(self) -> None:
        if not self._is_engine:
            await self._client.check_reachable()
            self._check_runs(frozenset())
            return
        sample = await self._client.sample()
        if sample.boot != self._slots.boot:
            resident = await self._client.list_adapters(sample.boot)
            extra = {"boot": sample.boot, "resident": len(resident)}
            logger.info("engine booted", extra=extra)
            self._slots.begin_boot(sample.boot, resident, self._clock.monotonic())
            return
        self._slots.observe_running(sample.busy)
        self._check_runs(sample.busy)
        if self._loader.needs_reconciling:
            self._loader.needs_reconciling = False
            resident = await self._client.list_adapters(sample.boot)
            self._slots.reconcile(resident, self._clock.monotonic())

    def _set_health(self, healthy: bool) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self._changed()
