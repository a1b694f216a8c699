"""Records in the replicated log which software versions have served each service.

Registrations are soft state, which is lost when all gateways and registries end
together. The streams that a version began outlive it, so the log keeps each version
until no stream of it can be resumed any more.
"""

import asyncio
import logging
from collections.abc import Iterable

from ibishead.clock import Clock
from ibishead.control.log.machine import Replica
from ibishead.decisions.origins import compute_lifetime
from ibishead.errors import IbisheadError
from ibishead.registry.state import (
    AddOrigins,
    Rejected,
    RemoveOrigins,
    RouteState,
    decode_result,
    encode_command,
    sort_origins,
)
from ibishead.routing.targets import Registration, StreamOrigin
from ibishead.waiting import wait_for_event

__all__ = ["OriginWatch"]

logger = logging.getLogger(__name__)

#: Seconds between two checks without a new registration. They take over what an earlier
#: leader left, and repeat what found no quorum.
CHECK_INTERVAL_SECONDS = 0.25

#: Time within which a change has to be committed.
COMMIT_TIMEOUT_SECONDS = 1.0


class OriginWatch:
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
        self._state = state
        self._replica = replica
        self._view = view
        self._clock = clock
        self._wake = asyncio.Event()
        #: Monotonic seconds at which each origin was last served, no earlier than the
        #: time from which this registry leads.
        self._served_at: dict[StreamOrigin, float] = {}

    def notice(self, registrations: tuple[Registration, ...]) -> None:
        """Record the versions of new or changed targets as soon as possible."""
        if any(self._is_new(registration) for registration in registrations):
            self._wake.set()

    async def run(self) -> None:
        """Propose what is missing and what has expired, until cancelled."""
        while True:
            self._wake.clear()
            if self._replica.is_leader():
                await self._update()
            else:
                self._served_at.clear()
            await wait_for_event(self._wake, CHECK_INTERVAL_SECONDS)

    async def _update(self) -> None:
        now = self._clock.monotonic()
        recorded = set(self._state.origins)
        # A steward's registration doesn't know the version
        serving = {r.origin for r in self._view if not r.is_provisional}
        self._served_at = {
            origin: now if origin in serving else self._served_at.get(origin, now)
            for origin in recorded | serving
        }
        if serving - recorded:
            await self._propose(AddOrigins(sort_origins(recorded | serving)))
        lifetime = self._find_lifetime()
        expired = {o for o in recorded if now - self._served_at[o] >= lifetime}
        if expired:
            await self._propose(RemoveOrigins(sort_origins(expired)))

    def _is_new(self, registration: Registration) -> bool:
        recorded = self._state.origins
        return not registration.is_provisional and registration.origin not in recorded

    def _find_lifetime(self) -> float:
        """Return the seconds for which any stream may be resumed after its begin."""
        routes = self._state.routes.routes if self._state.routes is not None else ()
        timeouts = (None, *(route.timeout for route in routes))
        return max(map(compute_lifetime, timeouts))

    async def _propose(self, command: AddOrigins | RemoveOrigins) -> None:
        """Propose a command; the next check repeats it if it isn't committed."""
        fields = {
            "command": type(command).__name__,
            "origins": [f"{o.service} {o.software}" for o in command.origins],
        }
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                result = await self._replica.propose(encode_command(command))
        except (IbisheadError, TimeoutError) as error:
            reason = str(error)
        else:
            match decode_result(result):
                case Rejected(reason):
                    pass
                case _:
                    logger.info("origins of streams committed", extra=fields)
                    return
        logger.warning(
            "origins of streams not committed", extra=fields | {"reason": reason}
        )
