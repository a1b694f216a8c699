"""Notices the unplanned end of targets without a steward, and tells the registries.

A steward knows all that runs at its engine. What runs at a target without one, such as
a plain service, is known by the gateways only, each of them knowing its own requests.
"""

import asyncio
import itertools

from ibishead.clock import Clock
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.runs import RunTable
from ibishead.errors import LinkLost
from ibishead.gateway.pool import ConnectionPool
from ibishead.ids import TargetId
from ibishead.links import Link
from ibishead.routing.crashreports import CrashReports
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import Registration, TargetState

__all__ = ["TargetEnds"]

#: Owner of all runs in the table of one target.
_OWNER = ""


class TargetEnds:
    """Records what this gateway runs at targets without a steward.

    :param part_uses: how the requests of this gateway have fared.
    """

    def __init__(
        self,
        feed: RegistryFeed,
        pool: ConnectionPool,
        part_uses: PartUses,
        clock: Clock,
    ) -> None:
        self._feed = feed
        self._pool = pool
        self._part_uses = part_uses
        self._clock = clock
        self._numbers = itertools.count(1)
        #: Runs by target and its start. A table without any is removed.
        self._runs: dict[tuple[TargetId, int], RunTable] = {}
        self._checks: dict[tuple[TargetId, int], asyncio.Task[None]] = {}
        self._reports = CrashReports()

    @property
    def count(self) -> int:
        """Number of unplanned ends."""
        return self._reports.count

    def begin_run(self, target: Registration, keys: PromptKeys | None) -> int:
        """Record that a request is sent, and return its number."""
        number, now = next(self._numbers), self._clock.monotonic()
        key = target.target, target.born
        self._runs.setdefault(key, RunTable()).begin(_OWNER, number, keys, now)
        return number

    def end_run(self, target: Registration, number: int, lost: bool) -> None:
        """Record that a request has ended.

        :param lost: its connection was lost; the target is checked then.
        """
        key = target.target, target.born
        runs = self._runs.get(key)
        if runs is None:
            return
        runs.end(_OWNER, number, lost, self._clock.monotonic())
        if lost and key not in self._checks:
            task = asyncio.create_task(self._check(target))
            self._checks[key] = task
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        elif not runs and key not in self._checks:
            del self._runs[key]

    def greet_registry(self, link: Link) -> None:
        """Repeat the recent ends to a registry that has just been linked."""
        for report in self._reports.list_recent(self._clock.monotonic()):
            link.send(report)

    async def stop(self) -> None:
        """End the checks in progress."""
        checks = list(self._checks.values())
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    async def _check(self, target: Registration) -> None:
        """Report the end of a target unless it still takes connections."""
        try:
            connection = await self._pool.open(target.address)
        except LinkLost as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._report(target)
        else:
            self._pool.release(target.address, connection)
            key = target.target, target.born
            if not self._runs.get(key):
                self._runs.pop(key, None)

    def _report(self, target: Registration) -> None:
        runs = self._runs.pop((target.target, target.born), None)
        known = self._feed.view.get(target.target)
        if runs is None or known is None or known.state is not TargetState.READY:
            return
        now = self._clock.monotonic()
        report = self._reports.make_report(
            target.target, target.born, runs.take_all(now), now, self._part_uses
        )
        if report.suspects:
            self._feed.broadcast(report)
