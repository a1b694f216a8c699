"""Notices that a target may have started again under its ID.

Until the first registration of the new start arrives, the known one names software that
no longer runs there. A process can't restart without losing its connections, so a lost
connection puts the registration in doubt, an idle one too, unless its keep-alive
timeout has passed. It is certain again once the same start has
registered several times more, its steward reports it, or a connection opened before the
loss brings data.
"""

import logging
from dataclasses import dataclass

from ibishead.clock import Clock
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import TargetId
from ibishead.routing.targets import Registration, TargetView

__all__ = ["RestartWatch"]

logger = logging.getLogger(__name__)

#: Statements of a start after a lost connection that show that it still runs. One may
#: be on its way from the target, and one may wait at a registry for the next batch.
CONFIRMING_STATEMENTS = 3

#: Seconds after a loss for which data on other connections may have been sent before.
SETTLE_SECONDS = 0.1

#: Seconds after a loss for which a steward's report may have been read before. Reports
#: are some tenths of a second old.
REPORT_SETTLE_SECONDS = 0.5


@dataclass(frozen=True)
class _Loss:
    """Lost connections to one start of a target.

    :param sequence: newest registration known at the last of them.
    :param at: monotonic seconds of the first of them.
    """

    born: int
    sequence: int
    at: float


class RestartWatch:
    """Tells whether the registrations of targets are certain to be current."""

    def __init__(
        self,
        view: TargetView,
        tracker: TargetTracker,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._pool = pool
        self._clock = clock
        self._losses: dict[TargetId, _Loss] = {}
        pool.on_early_end = self._record_early_end

    def __len__(self) -> int:
        """Return the number of targets that may have started again."""
        return len(self._losses)

    def record_loss(self, target: Registration) -> None:
        """Record that a connection to a target was lost or refused."""
        known = self._view.get(target.target)
        if known is None or known.born != target.born:
            return
        first_at = self._clock.monotonic()
        if self._is_in_doubt(known):
            first_at = self._losses[known.target].at
        else:
            logger.info(
                "target may have started again",
                extra={"target": known.target, "service": known.service},
            )
        self._losses[known.target] = _Loss(known.born, known.sequence, first_at)

    def _record_early_end(self, address: str) -> None:
        target = self._view.find_by_address(address)
        if target is not None:
            self.record_loss(target)

    def is_certain(self, target: Registration) -> bool:
        """Return whether a registration is of the process that runs there now."""
        return not self._tracker.is_outdated(target) and not self._is_in_doubt(target)

    def retain_known(self) -> None:
        """Discard the losses of targets that are unknown or have registered anew."""
        for name, loss in list(self._losses.items()):
            known = self._view.get(name)
            if known is None or known.born != loss.born or not self._is_in_doubt(known):
                self._losses.pop(name, None)

    def _is_in_doubt(self, target: Registration) -> bool:
        loss = self._losses.get(target.target)
        if loss is None or loss.born != target.born:
            return False
        if (
            target.sequence >= loss.sequence + CONFIRMING_STATEMENTS
            or self._pool.has_survivor(target.address, loss.at, SETTLE_SECONDS)
            or self._tracker.has_reported(target, loss.at + REPORT_SETTLE_SECONDS)
        ):
            del self._losses[target.target]
            return False
        return True
