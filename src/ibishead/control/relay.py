"""Links among the control replicas for questions that don't go through the log.

Each replica dials every other one that has announced itself. Over these links it
asks who still holds old documents, and forwards permits to the leader.
"""

import asyncio
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from ibishead.clock import Clock
from ibishead.control.state import ControlState
from ibishead.errors import LinkLost
from ibishead.ids import LogIndex, ReplicaId
from ibishead.links import Endpoint, Link, dial
from ibishead.messages import AskHolders, Hello, Holders, Message, PermitAnswer

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

#: Seconds between tries to reach a replica.
REDIAL_INTERVAL = 0.5

#: Seconds in which a live replica answers.
ANSWER_LIMIT = 1.0


@dataclass(eq=False)
class _Neighbour:
    endpoint: Endpoint
    task: asyncio.Task[None] | None = None
    link: Link | None = None
    asked: dict[int, list[asyncio.Future[Holders]]] = field(default_factory=dict)


class Relay:
    """This replica's links to the others.

    :param take_permit: called with each permit that the leader grants.
    """

    def __init__(
        self,
        name: ReplicaId,
        state: ControlState,
        hello: Hello,
        clock: Clock,
        take_permit: Callable[[PermitAnswer], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._name = name
        self._state = state
        self._hello = hello
        self._clock = clock
        self._take_permit = take_permit
        self._tls = tls
        self._neighbours: dict[ReplicaId, _Neighbour] = {}

    def review(self) -> None:
        """Dial replicas that have announced themselves, drop those that are gone."""
        wanted = {
            known.replica: Endpoint(known.address, known.port)
            for known in self._state.replicas.values()
            if known.replica != self._name
        }
        for name, neighbour in list(self._neighbours.items()):
            if wanted.get(name) != neighbour.endpoint:
                self._drop(name)
        for name, endpoint in wanted.items():
            if name not in self._neighbours:
                neighbour = _Neighbour(endpoint)
                neighbour.task = asyncio.create_task(self._keep(neighbour))
                self._neighbours[name] = neighbour

    def reaches(self, replica: ReplicaId) -> bool:
        """Return whether a live link leads to the replica."""
        neighbour = self._neighbours.get(replica)
        return neighbour is not None and neighbour.link is not None

    def send(self, replica: ReplicaId, message: Message) -> bool:
        """Send a message, and return whether a link leads there."""
        neighbour = self._neighbours.get(replica)
        if neighbour is None or neighbour.link is None:
            return False
        neighbour.link.send(message)
        return True

    async def ask_holders(self, replica: ReplicaId, index: LogIndex) -> Holders | None:
        """Return what a replica says of its holders, none if it can't be asked."""
        if not self.send(replica, AskHolders(index)):
            return None
        asked = self._neighbours[replica].asked.setdefault(index, [])
        future: asyncio.Future[Holders] = asyncio.get_running_loop().create_future()
        asked.append(future)
        try:
            async with asyncio.timeout(ANSWER_LIMIT):
                return await future
        except (TimeoutError, LinkLost):
            return None
        finally:
            if future in asked:
                asked.remove(future)

    async def stop(self) -> None:
        """Close all links."""
        tasks = [n.task for n in self._neighbours.values() if n.task is not None]
        for name in list(self._neighbours):
            self._drop(name)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _drop(self, name: ReplicaId) -> None:
        task = self._neighbours.pop(name).task
        if task is not None:
            task.cancel()

    async def _keep(self, neighbour: _Neighbour) -> None:
        while True:
            try:
                link = await dial(
                    neighbour.endpoint, self._hello, self._clock, tls=self._tls
                )
            except LinkLost as error:
                logger.debug("replica not reached", extra={"reason": error.message})
            else:
                await self._follow(neighbour, link)
            await asyncio.sleep(REDIAL_INTERVAL)

    async def _follow(self, neighbour: _Neighbour, link: Link) -> None:
        neighbour.link = link
        try:
            async for message in link.receive():
                self._take(neighbour, message)
        finally:
            neighbour.link = None
            for futures in neighbour.asked.values():
                for future in futures:
                    if not future.done():
                        future.set_exception(_describe_lost())
            neighbour.asked.clear()
            await link.close()

    def _take(self, neighbour: _Neighbour, message: Message) -> None:
        match message:
            case Holders(index):
                for future in neighbour.asked.pop(index, ()):
                    if not future.done():
                        future.set_result(message)
            case PermitAnswer():
                self._take_permit(message)


def _describe_lost() -> LinkLost:
    return LinkLost("the link to a replica broke", "ask again")
