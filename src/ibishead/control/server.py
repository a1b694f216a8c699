"""One control replica: its state, its link server and its HTTP server."""

import asyncio
import logging
from dataclasses import dataclass

from ibishead.clock import Clock
from ibishead.control.machine import Replica
from ibishead.control.operators import OperatorApi
from ibishead.control.publish import Publisher
from ibishead.control.service import ControlService
from ibishead.control.state import ControlState
from ibishead.errors import IbisheadError
from ibishead.ids import HostId, LogIndex
from ibishead.links import Endpoint, LinkServer
from ibishead.messages import Hello, Role
from ibishead.settings import ControlSettings, write_port_file
from ibishead.web import WebServer

__all__ = ["ControlServer", "Endpoints"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Endpoints:
    """Where a control replica listens."""

    links: Endpoint
    operators: Endpoint


class ControlServer:
    """Serves entries, agents and operators from one replica.

    :param state: the state machine that ``replica`` drives.
    """

    def __init__(
        self,
        settings: ControlSettings,
        state: ControlState,
        replica: Replica,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._publisher = Publisher(state, replica.lease, clock)
        self._service = ControlService(
            settings.replica, state, replica, self._publisher, clock
        )
        self._api = OperatorApi(
            settings.replica,
            state,
            replica,
            self._publisher,
            self._find_waiting,
            clock,
            frozenset(settings.admin_keys),
        )
        hello = Hello(Role.CONTROL, settings.host)
        self._links = LinkServer(self._service.serve, lambda: hello, clock)
        self._web = WebServer(self._api.answer)
        self._scheduled = False
        state.on_change = self._schedule_publish

    async def start(self) -> Endpoints:
        """Listen, and return where."""
        links = await self._links.start(self._settings.links.endpoint)
        operators = await self._web.start(self._settings.operators.endpoint)
        write_port_file(self._settings.links, links.port)
        write_port_file(self._settings.operators, operators.port)
        return Endpoints(links, operators)

    def begin_stop(self) -> None:
        """Show the platform that this replica is leaving."""
        self._api.stopping = True

    async def stop(self) -> None:
        """Hand over the leadership, close links, finish answers."""
        self.begin_stop()
        if self._replica.is_leader():
            try:
                await self._replica.transfer()
            except IbisheadError as error:
                logger.info("leadership not handed over", extra={"reason": str(error)})
        await self._links.stop()
        await self._web.stop()
        await self._service.stop()
        await self._replica.stop()

    async def _find_waiting(self, index: LogIndex) -> list[HostId]:
        return self._publisher.list_waiting(index)

    def _schedule_publish(self) -> None:
        # All that is committed in one turn of the loop goes out as one delta
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._scheduled = False
        self._publisher.publish()
