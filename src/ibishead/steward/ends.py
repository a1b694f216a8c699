"""Notices the unplanned end of an engine, and tells the registries what ran there."""

from ibishead.clock import Clock
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.runs import Run, RunTable
from ibishead.links import Link
from ibishead.routing.crashreports import CrashReports
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.targets import Registration, TargetState
from ibishead.steward.engine import EngineState

__all__ = ["EngineEnds"]


class EngineEnds:
    """Watches one engine address for the end of the engine there.

    :ivar runs: the requests at the engine; `end_run` ends one.
    """

    def __init__(self, feed: RegistryFeed, clock: Clock) -> None:
        self._feed = feed
        self._clock = clock
        self.runs = RunTable()
        self._part_uses = PartUses()
        self._reports = CrashReports()
        self._engine: Registration | None = None
        self._born = 0
        self._draining = False

    @property
    def count(self) -> int:
        """Number of unplanned ends."""
        return self._reports.count

    def end_run(self, link: Link, number: int, failed: bool | None, now: float) -> None:
        """Record that a request has ended.

        :param number: number that the gateway at the link gave it.
        :param failed: whether the engine failed.
        :param now: monotonic seconds.
        """
        run = self.runs.end(link, number, failed, now)
        if run is not None and run.begun_at is not None:
            self._part_uses.record_answer(run.keys, run.begun_at, failed is False, now)

    def record_state(self, state: EngineState, engine: Registration | None) -> None:
        """Record a report of the engine.

        :param engine: its registration, or none if it is not known yet.
        """
        if self._born and state.born != self._born:
            self.record_gone()
        self._born, self._draining = state.born, state.draining
        if engine is not None and state.born in (0, engine.born):
            self._engine = engine

    def record_gone(self) -> None:
        """Record that the engine of the last report has ended."""
        engine, self._engine = self._engine, None
        runs = self.runs.take_all(self._clock.monotonic())
        if engine is not None and not self._is_leaving(engine):
            self._tell(engine, runs)

    def greet_registry(self, link: Link) -> None:
        """Repeat the recent ends to a registry that has just been linked."""
        for report in self._reports.list_recent(self._clock.monotonic()):
            link.send(report)

    def _is_leaving(self, engine: Registration) -> bool:
        known = self._feed.view.get(engine.target)
        left = known is not None and known.state is not TargetState.READY
        return self._draining or left

    def _tell(self, engine: Registration, runs: list[Run]) -> None:
        now = self._clock.monotonic()
        report = self._reports.make_report(
            engine.target, engine.born, runs, now, self._part_uses
        )
        if report.suspects:
            self._feed.broadcast(report)
