"""Registers an engine by its own target ID until the engine has announced itself.

Targets announce themselves about once a second. After all hosts have started together,
until that first announcement no order can name the engine's running instance and no
gateway sends requests to it. An announcement of the engine itself always supersedes the
steward's registration, whichever arrives first.
"""

import logging

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import Statements
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import (
    PROVISIONAL_SEQUENCE,
    Registration,
    TargetState,
)
from ibishead.steward.engine import Engine, EngineState

__all__ = ["EngineNamer"]

logger = logging.getLogger(__name__)

#: Seconds between two requests for the target ID of an unregistered engine.
NAME_RETRY_SECONDS = 0.3


class EngineNamer:
    """Reads the target ID of the engine at one address and sends it to the registries.

    :param domain: failure domain of the engine's host.
    :param service: service that the engine belongs to.
    :param address: ``ADDRESS:PORT`` of the engine.
    """

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
        self._asked_at = -NAME_RETRY_SECONDS

    async def register_if_unknown(self, state: EngineState | None) -> None:
        """Register the engine if it is healthy and not registered yet.

        :param state: the engine's last report, None while it can't be reached.
        """
        service, now = self._feed.find_service(self._service), self._clock.monotonic()
        if state is None or service is None or service.engine is None:
            return
        if now - self._asked_at < NAME_RETRY_SECONDS or not self._is_unknown():
            return
        if not _serves(state, service.engine):
            return
        self._asked_at = now
        try:
            target = await self._engine.read_target_id(service.health_path)
        except LinkLost as error:
            logger.info("engine ID not available", extra={"reason": error.message})
            return
        if target is not None and self._is_unknown():
            self._register(target, state.born, service.engine.slots)

    def _register(self, target: TargetId, born: int, slots: int) -> None:
        registration = Registration(
            target,
            self._service,
            self._address,
            self._domain,
            slots,
            TargetState.READY,
            born,
            PROVISIONAL_SEQUENCE,
        )
        if self._feed.view.merge(registration, self._clock.monotonic()):
            logger.info("engine registered by its steward", extra={"target": target})
            self._feed.broadcast(Statements((registration,)))

    def _is_unknown(self) -> bool:
        return self._feed.view.find_by_address(self._address) is None


def _serves(state: EngineState, spec: EngineSpec) -> bool:
    """Return whether an engine accepts requests and belongs to the service.

    The address may have been given to an engine of another service, which must not get
    this service's requests. Such an engine has none of this service's models, neither
    loaded nor as a copy in memory or on disk.
    """
    held = {holding.model for holding in state.holdings}
    known = held | state.in_memory | state.on_disk
    return not state.draining and not known.isdisjoint(m.name for m in spec.models)
