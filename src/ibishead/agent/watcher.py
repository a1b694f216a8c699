"""Probes of the target: whether it responds, its boot and its resident adapters."""

import asyncio
import logging
from collections.abc import Callable

from ibishead.agent.loader import Loader
from ibishead.agent.slots import AdapterKey, SlotTable
from ibishead.agent.target import TargetClient
from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import BootId

__all__ = ["TargetWatcher"]

logger = logging.getLogger(__name__)

#: Seconds between probes while the target is healthy and its state is known.
HEALTHY_PROBE_INTERVAL_SECONDS = 0.5

#: Seconds between probes while the target is unhealthy or its state uncertain.
FAST_PROBE_INTERVAL_SECONDS = 0.1


class TargetWatcher:
    """Probes the target periodically.

    :param is_engine: the target reports its boot and its adapters.
    :param changed: called when the target's health has changed.
    :param check_runs: called after each probe with the adapters that have requests in
        the engine, an empty set for a plain service.
    :param on_end: called with a boot of the engine that has ended.
    :ivar healthy: the target responded to the last probe.
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
        on_end: Callable[[BootId], None],
    ) -> None:
        self.healthy = False
        self._client = client
        self._slots = slots
        self._loader = loader
        self._is_engine = is_engine
        self._clock = clock
        self._changed = changed
        self._check_runs = check_runs
        self._on_end = on_end
        #: Boot of the last sample, empty once its end has been noticed.
        self._boot = BootId("")
        self._last_seen = clock.monotonic()

    async def watch(self) -> None:
        """Update `healthy` and the slot table from periodic probes, until cancelled."""
        while True:
            try:
                await self._probe()
                self._last_seen = self._clock.monotonic()
                self._set_health(True)
            except LinkLost as error:
                logger.debug("target probe failed", extra={"reason": error.message})
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._end_boot()
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
        """Treat the target as unhealthy until a probe succeeds."""
        self._set_health(False)

    def measure_downtime(self) -> float:
        """Return the seconds since the last successful probe, 0 while healthy."""
        return 0.0 if self.healthy else self._clock.monotonic() - self._last_seen

    async def _probe(self) -> None:
        if not self._is_engine:
            await self._client.check_reachable()
            self._check_runs(frozenset())
            return
        sample = await self._client.sample()
        if sample.boot != self._boot:
            self._end_boot()
            self._boot = sample.boot
        if sample.boot != self._slots.boot:
            resident = await self._client.list_adapters(sample.boot)
            extra = {"boot": sample.boot, "resident": len(resident)}
            logger.info("new engine boot detected", extra=extra)
            self._slots.begin_boot(sample.boot, resident, self._clock.monotonic())
            return
        self._slots.observe_running(sample.busy)
        self._check_runs(sample.busy)
        if self._loader.needs_reconciling:
            self._loader.needs_reconciling = False
            resident = await self._client.list_adapters(sample.boot)
            self._slots.reconcile(resident, self._clock.monotonic())

    def _end_boot(self) -> None:
        ended, self._boot = self._boot, BootId("")
        if ended:
            self._on_end(ended)

    def _set_health(self, healthy: bool) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self._changed()
