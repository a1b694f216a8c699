"""Links from one replica to the others, each way its own.

A replica dials every other host that it knows and only sends on these links; what
it receives comes over the links that the others have dialled to its link server.
"""

import asyncio
import logging
import ssl
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from ibishead.clock import Clock
from ibishead.control.identity import Identity, replica_host
from ibishead.control.peers import (
    Append,
    AppendAnswer,
    Install,
    RequestVote,
    TakeOver,
    VoteAnswer,
)
from ibishead.errors import ErrorCode, LinkLost
from ibishead.ids import HostId, LogIndex, ReplicaId
from ibishead.links import Endpoint, HeartbeatTiming, Link, dial
from ibishead.messages import Hello, PeerFrame

__all__ = [
    "AskRead",
    "AskReplace",
    "Forward",
    "Forwarded",
    "FrameReader",
    "Introduce",
    "PeerLinks",
    "ReadAnswer",
    "Refuse",
    "Replaced",
    "ReplicaMessage",
]

logger = logging.getLogger(__name__)

#: Most bytes in one frame, so that heartbeats don't wait behind a whole snapshot.
PART_BYTES = 1024 * 1024

#: Seconds between tries to reach a replica.
REDIAL_INTERVAL = 0.2

#: Most bytes of a message that arrives in parts.
MAX_MESSAGE = 1024 * 1024 * 1024


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the messages that the consensus itself doesn't know."""


class Introduce(_Message, frozen=True):
    """Tells another host who runs here; `PeerFrame` carries name and cluster."""

    founders: tuple[ReplicaId, ...] = ()


class Forward(_Message, frozen=True):
    """Asks the leader to propose a command."""

    number: int
    command: bytes


class Forwarded(_Message, frozen=True):
    """The command was committed at ``index``, with this result."""

    number: int
    index: LogIndex
    result: bytes


class AskRead(_Message, frozen=True):
    """Asks the leader how far a linearizable read must see."""

    number: int


class ReadAnswer(_Message, frozen=True):
    """All that was accepted before the ask stands at ``index`` or before."""

    number: int
    index: LogIndex


class AskReplace(_Message, frozen=True):
    """Asks the leader to replace a replica."""

    number: int
    lost: ReplicaId
    host: HostId


class Replaced(_Message, frozen=True):
    """The replica was replaced by this one."""

    number: int
    replica: ReplicaId


class Refuse(_Message, frozen=True):
    """The ask of that number was not served."""

    number: int
    code: ErrorCode
    reason: str
    remedy: str


ReplicaMessage: TypeAlias = (
    RequestVote
    | VoteAnswer
    | Append
    | AppendAnswer
    | Install
    | TakeOver
    | Introduce
    | Forward
    | Forwarded
    | AskRead
    | ReadAnswer
    | AskReplace
    | Replaced
    | Refuse
)


class PeerLinks:
    """Keeps a link to every other host that it is told of.

    :param hosts: where each host's link server listens, this one's left out.
    :param pace: heartbeats of the links; the links' own where left out.
    """

    def __init__(
        self,
        hosts: Mapping[HostId, Endpoint],
        hello: Hello,
        clock: Clock,
        tls: ssl.SSLContext | None = None,
        pace: HeartbeatTiming | None = None,
    ) -> None:
        self._pace = pace
        self._hosts = dict(hosts)
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._links: dict[HostId, Link] = {}
        self._tasks: dict[HostId, asyncio.Task[None]] = {}
        self._started = False

    @property
    def hosts(self) -> list[HostId]:
        """All other hosts, linked or not."""
        return list(self._hosts)

    def start(self) -> None:
        """Begin to dial."""
        self._started = True
        for host in self._hosts:
            self._dial(host)

    def add_host(self, host: HostId, endpoint: Endpoint) -> None:
        """Dial a further host, or a known one at another address."""
        if self._hosts.get(host) == endpoint:
            return
        self._hosts[host] = endpoint
        if self._started:
            self._dial(host)

    async def stop(self) -> None:
        """Close all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _dial(self, host: HostId) -> None:
        if (former := self._tasks.get(host)) is not None:
            former.cancel()
        self._tasks[host] = asyncio.create_task(self._keep(host))

    def reaches(self, host: HostId) -> bool:
        """Return whether a link to the host is up."""
        link = self._links.get(host)
        return link is not None and not link.closed

    def send(self, identity: Identity, to: ReplicaId, message: ReplicaMessage) -> bool:
        """Send to a replica, and return whether a link leads to its host."""
        return self._send(identity, replica_host(to), to, message)

    def introduce(self, identity: Identity, host: HostId) -> None:
        """Tell whoever runs on a host who runs here."""
        message = Introduce(identity.founders)
        self._send(identity, host, ReplicaId(""), message)

    def _send(
        self,
        identity: Identity,
        host: HostId,
        to: ReplicaId,
        message: ReplicaMessage,
    ) -> bool:
        link = self._links.get(host)
        if link is None or link.closed:
            return False
        data = msgspec.msgpack.encode(message)
        starts = range(0, max(1, len(data)), PART_BYTES)
        for part, start in enumerate(starts):
            piece = data[start : start + PART_BYTES]
            last = start == starts[-1]
            sender = identity.replica
            link.send(PeerFrame(identity.cluster, sender, to, piece, part, last))
        return True

    async def _keep(self, host: HostId) -> None:
        while True:
            try:
                link = await dial(
                    self._hosts[host], self._hello, self._clock, self._pace, self._tls
                )
            except LinkLost as error:
                logger.debug("replica not reached", extra={"reason": error.message})
            else:
                await self._hold(host, link)
            await asyncio.sleep(REDIAL_INTERVAL)

    async def _hold(self, host: HostId, link: Link) -> None:
        self._links[host] = link
        try:
            # the other side answers only heartbeats here; reading sees the link end
            async for _ in link.receive():
                pass
        finally:
            # a link to the host's next address may stand here already
            if self._links.get(host) is link:
                del self._links[host]
            link.abort()


class FrameReader:
    """Puts messages together from their parts."""

    def __init__(self) -> None:
        self._parts: dict[ReplicaId, list[bytes]] = {}

    def read(self, frame: PeerFrame) -> ReplicaMessage | None:
        """Return the message that a frame completes, if it does.

        Parts of a message whose link broke are dropped with the next message.
        """
        if frame.part == 0:
            self._parts[frame.sender] = []
        parts = self._parts.get(frame.sender)
        if parts is None or len(parts) != frame.part:
            return None
        parts.append(frame.data)
        if not frame.last or len(parts) * PART_BYTES > MAX_MESSAGE:
            return None
        del self._parts[frame.sender]
        try:
            return msgspec.msgpack.decode(b"".join(parts), type=ReplicaMessage)
        except msgspec.DecodeError as error:
            logger.warning("bad message of a replica", extra={"reason": str(error)})
            return None
