"""One control replica: its replicated state, its link server and its HTTP server."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from ibishead.clock import Clock
from ibishead.control.commands import AnnounceReplica
from ibishead.control.granting import PermitService
from ibishead.control.log.force import InForceTracker
from ibishead.control.log.machine import Replica
from ibishead.control.operators import OperatorApi
from ibishead.control.publish import Publisher
from ibishead.control.relay import Relay
from ibishead.control.service import ControlService
from ibishead.control.state import ControlState
from ibishead.control.upkeep import Upkeep
from ibishead.errors import IbisheadError
from ibishead.ids import ReplicaId
from ibishead.links import Endpoint, LinkServer
from ibishead.messages import Hello, Message, PermitAnswer, Role
from ibishead.settings import ControlSettings, write_port_file
from ibishead.tls import make_client_context, make_server_context
from ibishead.web import WebServer

__all__ = ["ControlServer", "Endpoints"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Endpoints:
    """Endpoints at which a control replica listens."""

    links: Endpoint
    operators: Endpoint


class ControlServer:
    """Serves entry hosts, agents and operators from one replica.

    :param name: identity of the replica in the replicated log.
    :param state: the state machine that ``replica`` drives.
    """

    def __init__(
        self,
        settings: ControlSettings,
        name: ReplicaId,
        state: ControlState,
        replica: Replica,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._name = name
        self._replica = replica
        self._endpoints = Endpoints(
            settings.links.endpoint, settings.operators.endpoint
        )
        self._publisher = Publisher(state, replica.lease, clock)
        self._permits = PermitService(state, replica, self._forward, clock)
        self._service = ControlService(
            name, state, replica, self._publisher, self._permits, clock
        )
        hello = Hello(Role.CONTROL, settings.host)
        peer = settings.peer_tls
        self._relay = Relay(
            name,
            state,
            hello,
            clock,
            self._deliver,
            make_client_context(peer) if peer is not None else None,
        )
        self._force = InForceTracker(
            name, state, replica, self._publisher, self._relay, clock
        )
        self._api = OperatorApi(
            name,
            state,
            replica,
            self._publisher,
            self._force.find_waiting,
            clock,
            frozenset(settings.admin_keys),
        )
        self._upkeep = Upkeep(
            self._announce,
            state,
            replica,
            self._service,
            self._permits,
            self._relay,
            self._force,
            clock,
        )
        self._links = LinkServer(
            self._service.serve,
            lambda: hello,
            clock,
            tls=make_server_context(peer.pair, peer.ca) if peer is not None else None,
        )
        pair = settings.http_tls
        self._web = WebServer(
            self._api.answer, tls=make_server_context(pair) if pair else None
        )
        self._upkeep_task: asyncio.Task[None] | None = None
        self._publish_scheduled = False
        state.on_change = self._schedule_publish

    async def start(self) -> Endpoints:
        """Start listening, join the replica set, and return the endpoints."""
        links = await self._links.start(self._settings.links.endpoint)
        operators = await self._web.start(self._settings.operators.endpoint)
        self._endpoints = Endpoints(links, operators)
        await self._replica.start()
        self._upkeep_task = asyncio.create_task(self._upkeep.run())
        write_port_file(self._settings.links, links.port)
        write_port_file(self._settings.operators, operators.port)
        return self._endpoints

    def begin_stop(self) -> None:
        """Report to the platform, by ``/readyz``, that this replica is stopping."""
        self._api.stopping = True

    async def stop(self) -> None:
        """Transfer the leadership, finish responses, close the links, and stop."""
        self.begin_stop()
        if self._replica.is_leader():
            try:
                await self._replica.transfer()
            except IbisheadError as error:
                logger.info("leadership not transferred", extra={"reason": str(error)})
        if self._upkeep_task is not None:
            self._upkeep_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._upkeep_task
        self._permits.stop()
        await self._relay.stop()
        await self._web.stop()
        await self._links.stop()
        await self._service.stop()
        await self._replica.stop()

    def _announce(self) -> AnnounceReplica:
        links = self._endpoints.links
        return AnnounceReplica(
            self._name, self._settings.host, links.address, links.port
        )

    def _forward(self, replica: ReplicaId, message: Message) -> bool:
        return self._relay.send(replica, message)

    def _deliver(self, answer: PermitAnswer) -> None:
        self._permits.deliver(answer)

    def _schedule_publish(self) -> None:
        # All changes committed in one iteration of the event loop go out as one delta
        self._force.record_change()
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._publish_scheduled = False
        self._publisher.publish()
