"""Notices the unplanned end of an engine, and tells the registries what ran there."""

import logging
from collections import deque

from ibishead.clock import Clock
from ibishead.links import Link
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import EngineEnded, SuspectRun
from ibishead.routing.targets import Registration, TargetState
from ibishead.steward.engine import EngineState
from ibishead.steward.runs import Run, RunTable

__all__ = ["EngineEnds"]

logger = logging.getLogger(__name__)

#: Number of ends that are repeated to a registry that is linked later, and seconds for
#: which they are.
MAX_KEPT_ENDS = 8
KEPT_SECONDS = 120.0

#: Maximum number of suspected runs that are told, and that are logged. Those sent last
#: come first.
MAX_SUSPECTS = 256
MAX_LOGGED_SUSPECTS = 20


class EngineEnds:
    """Watches one engine address for the end of the engine there.

    :ivar runs: the requests at the engine.
    :ivar count: number of unplanned ends.
    """

    def __init__(self, feed: RegistryFeed, clock: Clock) -> None:
        self._feed = feed
        self._clock = clock
        self.runs = RunTable()
        self.count = 0
        self._engine: Registration | None = None
        self._born = 0
        self._draining = False
        self._kept: deque[tuple[float, EngineEnded]] = deque(maxlen=MAX_KEPT_ENDS)

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
            self.count += 1
            self._tell(engine, runs)

    def greet_registry(self, link: Link) -> None:
        """Repeat the recent ends to a registry that has just been linked."""
        now = self._clock.monotonic()
        for ended_at, message in self._kept:
            if now - ended_at < KEPT_SECONDS:
                link.send(_make_older(message, now - ended_at))

    def _is_leaving(self, engine: Registration) -> bool:
        known = self._feed.view.get(engine.target)
        left = known is not None and known.state is not TargetState.READY
        return self._draining or left

    def _tell(self, engine: Registration, runs: list[Run]) -> None:
        now = self._clock.monotonic()
        suspects = [run for run in runs if not run.is_settled(now)]
        suspects.sort(key=lambda run: run.sent_at, reverse=True)
        lost_at = [run.lost_at for run in suspects if run.lost_at is not None]
        ended_at = min(lost_at, default=now)
        message = EngineEnded(
            engine.target,
            engine.born,
            round(now - ended_at, 3),
            tuple(
                SuspectRun(run.keys, round(now - run.sent_at, 3))
                for run in suspects[:MAX_SUSPECTS]
            ),
        )
        logger.info(
            "engine ended",
            extra={
                "target": engine.target,
                "runs": len(runs),
                "suspects": [
                    _describe_run(run, now) for run in suspects[:MAX_LOGGED_SUSPECTS]
                ],
            },
        )
        if suspects:
            self._kept.append((now, message))
            self._feed.broadcast(message)


def _make_older(message: EngineEnded, seconds: float) -> EngineEnded:
    suspects = tuple(
        SuspectRun(run.keys, round(run.age + seconds, 3)) for run in message.suspects
    )
    return EngineEnded(
        message.target, message.born, round(message.age + seconds, 3), suspects
    )


def _describe_run(run: Run, now: float) -> dict[str, object]:
    return {
        "parts": run.keys.shared,
        "own": run.keys.own,
        "sent": round(now - run.sent_at, 3),
        "begun": None if run.begun_at is None else round(now - run.begun_at, 3),
    }
