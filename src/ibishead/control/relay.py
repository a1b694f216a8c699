"""Links among the control replicas for messages outside the replicated log.

Each replica dials every other one that has announced itself. Over these links it
asks which holders lag behind a change, and forwards permit requests to the leader.
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

#: Pause between two attempts to dial a replica.
REDIAL_SECONDS = 0.5

#: Time in which a live replica answers.
ANSWER_TIMEOUT_SECONDS = 1.0


@dataclass(eq=False)
class _Peer:
    endpoint: Endpoint
    task: asyncio.Task[None] | None = None
    link: Link | None = None
    pending: dict[int, list[asyncio.Future[Holders]]] = field(default_factory=dict)


class Relay:
    """This replica's links to the other replicas.

    :param on_permit: called with each permit that the leader grants.
    """

    def __init__(
        self,
        name: ReplicaId,
        state: ControlState,
        hello: Hello,
        clock: Clock,
        on_permit: Callable[[PermitAnswer], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._name = name
        self._state = state
        self._hello = hello
        self._clock = clock
        self._on_permit = on_permit
        self._tls = tls
        self._peers: dict[ReplicaId, _Peer] = {}

    def update_links(self) -> None:
        """Dial replicas that were announced, and disconnect those that were removed."""
        endpoints = {
            known.replica: Endpoint(known.address, known.port)
            for known in self._state.replicas.values()
            if known.replica != self._name
        }
        for name, peer in list(self._peers.items()):
            if endpoints.get(name) != peer.endpoint:
                self._disconnect(name)
        for name, endpoint in endpoints.items():
            if name not in self._peers:
                peer = _Peer(endpoint)
                peer.task = asyncio.create_task(self._maintain(peer))
                self._peers[name] = peer

    def is_connected(self, replica: ReplicaId) -> bool:
        """Return whether there is an open link to the replica."""
        peer = self._peers.get(replica)
        return peer is not None and peer.link is not None

    def send(self, replica: ReplicaId, message: Message) -> bool:
        """Send a message over an open link, and return whether there is one."""
        peer = self._peers.get(replica)
        if peer is None or peer.link is None:
            return False
        peer.link.send(message)
        return True

    async def ask_holders(self, replica: ReplicaId, index: LogIndex) -> Holders | None:
        """Ask a replica which of its holders lag behind ``index``.

        :returns: the answer, or None if the replica can't be reached in time.
        """
        if not self.send(replica, AskHolders(index)):
            return None
        pending = self._peers[replica].pending.setdefault(index, [])
        future: asyncio.Future[Holders] = asyncio.get_running_loop().create_future()
        pending.append(future)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await future
        except (TimeoutError, LinkLost):
            return None
        finally:
            if future in pending:
                pending.remove(future)

    async def stop(self) -> None:
        """Close all links and wait until they are closed."""
        tasks = [p.task for p in self._peers.values() if p.task is not None]
        for name in list(self._peers):
            self._disconnect(name)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _disconnect(self, name: ReplicaId) -> None:
        task = self._peers.pop(name).task
        if task is not None:
            task.cancel()

    async def _maintain(self, peer: _Peer) -> None:
        while True:
            try:
                link = await dial(
                    peer.endpoint, self._hello, self._clock, tls=self._tls
                )
            except LinkLost as error:
                logger.debug(
                    "could not connect to a control replica",
                    extra={"reason": error.message},
                )
            else:
                await self._receive(peer, link)
            await asyncio.sleep(REDIAL_SECONDS)

    async def _receive(self, peer: _Peer, link: Link) -> None:
        peer.link = link
        try:
            async for message in link.receive():
                self._handle(peer, message)
        finally:
            peer.link = None
            for futures in peer.pending.values():
                for future in futures:
                    if not future.done():
                        future.set_exception(_make_link_lost())
            peer.pending.clear()
            await link.close()

    def _handle(self, peer: _Peer, message: Message) -> None:
        match message:
            case Holders(index):
                for future in peer.pending.pop(index, ()):
                    if not future.done():
                        future.set_result(message)
            case PermitAnswer():
                self._on_permit(message)


def _make_link_lost() -> LinkLost:
    return LinkLost("the link to a control replica closed", "send the request again")
