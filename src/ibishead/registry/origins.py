"""Records in the replicated log which software versions have served each service.

Registrations are soft state, which is lost when all gateways and registries end
together. The streams that a version began outlive it, so the log keeps each version
until no stream of it can be resumed any more.
"""

from collections.abc import Iterable

from ibishead.clock import Clock
from ibishead.control.log.machine import Replica
from ibishead.decisions.origins import compute_lifetime
from ibishead.registry.commands import AddOrigins, RemoveOrigins
from ibishead.registry.state import RouteState, sort_origins
from ibishead.registry.watch import StateWatch
from ibishead.routing.targets import Registration, StreamOrigin

__all__ = ["OriginWatch"]


class OriginWatch(StateWatch):
    """Proposes the changes of the origins in the log while this registry leads.

    :param view: the targets that this registry knows.
    """

    def __init__(
        self,
        state: RouteState,
        replica: Replica,
        view: Iterable[Registration],
        clock: Clock,
    ) -> None:
        super().__init__(replica, "origins of streams")
        self._state = state
        self._view = view
        self._clock = clock
        #: Monotonic seconds at which each origin was last served, no earlier than the
        #: time from which this registry leads.
        self._served_at: dict[StreamOrigin, float] = {}

    def notice(self, registrations: tuple[Registration, ...]) -> None:
        """Record the versions of new or changed targets as soon as possible."""
        if any(self._is_new(registration) for registration in registrations):
            self._wake.set()

    async def _update(self) -> None:
        now = self._clock.monotonic()
        recorded = set(self._state.origins)
        serving = {r.origin for r in self._view if r.names_software}
        self._served_at = {
            origin: now if origin in serving else self._served_at.get(origin, now)
            for origin in recorded | serving
        }
        if serving - recorded:
            added = sort_origins(recorded | serving)
            await self._propose(AddOrigins(added), _describe(added))
        lifetime = self._find_lifetime()
        expired = {o for o in recorded if now - self._served_at[o] >= lifetime}
        if expired:
            removed = sort_origins(expired)
            await self._propose(RemoveOrigins(removed), _describe(removed))

    def _reset(self) -> None:
        self._served_at.clear()

    def _is_new(self, registration: Registration) -> bool:
        recorded = self._state.origins
        return registration.names_software and registration.origin not in recorded

    def _find_lifetime(self) -> float:
        """Return the seconds for which any stream may be resumed after its begin."""
        routes = self._state.routes.routes if self._state.routes is not None else ()
        timeouts = (None, *(route.timeout for route in routes))
        return max(map(compute_lifetime, timeouts))


def _describe(origins: Iterable[StreamOrigin]) -> dict[str, object]:
    return {"origins": [f"{o.service} {o.software}" for o in origins]}
