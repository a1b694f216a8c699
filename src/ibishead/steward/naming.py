"""Tells who an engine is, where nobody has heard of it yet.

Targets announce themselves once a second or so. After a start of all hosts no order
can name an engine's present life until then, and no gateway sends to it. What the
engine says of itself counts as newer than this, whenever it comes.
"""

import logging

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import Statements
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Registration, TargetState
from ibishead.steward.engine import Engine, EngineState

__all__ = ["EngineNamer"]

logger = logging.getLogger(__name__)

#: Seconds until an engine that nobody has heard of is asked for its name again.
NAME_WAIT = 0.3

#: Sequence of what a steward says for its engine: before all that the engine says.
STATED = -1


class EngineNamer:
    """Asks the engine at one address for its name, and tells the registries."""

    def __init__(
        self,
        domain: FailureDomain,
        service: ServiceName,
        address: str,
        engine: Engine,
        feed: RegistryFeed,
        clock: Clock,
    ) -> None:
        self._domain = domain
        self._service = service
        self._address = address
        self._engine = engine
        self._feed = feed
        self._clock = clock
        self._asked_at = -NAME_WAIT

    async def name(self, state: EngineState | None) -> None:
        """Find the engine's name, if it is there and unknown.

        :param state: its last report, none while it can't be reached.
        """
        service, now = self._feed.find_service(self._service), self._clock.monotonic()
        if state is None or service is None or service.engine is None:
            return
        if now - self._asked_at < NAME_WAIT or not self._is_unknown():
            return
        if not _serves(state, service.engine):
            return
        self._asked_at = now
        try:
            name = await self._engine.read_name(service.health_path)
        except LinkLost as error:
            logger.info("engine not named", extra={"reason": error.message})
            return
        if name is not None and self._is_unknown():
            self._state(name, state.born, service.engine.slots)

    def _state(self, name: TargetId, born: int, slots: int) -> None:
        statement = Registration(
            name,
            self._service,
            self._address,
            self._domain,
            slots,
            TargetState.READY,
            born,
            STATED,
        )
        if self._feed.view.merge(statement, self._clock.monotonic()):
            logger.info("engine named", extra={"target": name})
            self._feed.broadcast(Statements((statement,)))

    def _is_unknown(self) -> bool:
        return self._feed.view.find_by_address(self._address) is None


def _serves(state: EngineState, spec: EngineSpec) -> bool:
    """Return whether an engine takes requests, and is of the service.

    Failure: an address is given to an engine of another service, and requests go there.
    It holds none of this service's models, in place or at hand.
    """
    held = {holding.model for holding in state.holdings}
    known = held | state.in_memory | state.on_disk
    return not state.leaving and not known.isdisjoint(m.name for m in spec.models)
