"""Records in the replicated log which targets have left.

Registrations are soft state, which is lost when all registries end together. A delayed
registration of a target that has left would then make it ready again, so the log keeps
its departure for as long as such a registration may arrive.
"""

from collections.abc import Iterable

from ibishead.control.log.machine import Replica
from ibishead.ids import TargetId
from ibishead.registry.commands import RecordDepartures, RemoveDepartures
from ibishead.registry.state import RouteState
from ibishead.registry.watch import StateWatch
from ibishead.routing.targets import Registration

__all__ = ["DepartureWatch"]

#: Maximum number of targets that one command names.
MAX_TARGETS_PER_COMMAND = 200


class DepartureWatch(StateWatch):
    """Proposes the changes of the recorded departures while this registry leads.

    It records departures that no registry had to acknowledge, such as those that
    targets announce in their answers, and removes those that the view has dropped.

    :param view: the targets that this registry knows.
    """

    def __init__(
        self, state: RouteState, replica: Replica, view: Iterable[Registration]
    ) -> None:
        super().__init__(replica, "departures of targets")
        self._state = state
        self._view = view

    async def _update(self) -> None:
        leaving = {r.target: r for r in self._view if r.is_leaving}
        missing = [r for r in leaving.values() if not self._state.has_departed(r)]
        if missing:
            chosen = tuple(r.as_departure() for r in missing[:MAX_TARGETS_PER_COMMAND])
            await self._propose(
                RecordDepartures(chosen), _describe(r.target for r in chosen)
            )
        expired = tuple(
            (target, recorded.born)
            for target, recorded in self._state.departures.items()
            if target not in leaving or leaving[target].born != recorded.born
        )[:MAX_TARGETS_PER_COMMAND]
        if expired:
            await self._propose(
                RemoveDepartures(expired), _describe(target for target, _ in expired)
            )


def _describe(targets: Iterable[TargetId]) -> dict[str, object]:
    return {"targets": list(targets)}
