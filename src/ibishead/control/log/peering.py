"""Links from one replica to the others, one for each direction.

A replica dials every other known host and only sends on these links. It receives
messages on the links that the others have dialled to its link server.
"""

import asyncio
import logging
import ssl
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from ibishead.clock import Clock
from ibishead.control.agreement.peers import (
    Append,
    AppendAnswer,
    Install,
    RequestVote,
    TakeOver,
    VoteAnswer,
)
from ibishead.control.log.identity import Identity, replica_host
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

#: Maximum size of one frame in bytes, so that heartbeats don't queue behind a whole
#: snapshot.
PART_BYTES = 1024 * 1024

#: Seconds between attempts to connect to a replica.
REDIAL_INTERVAL_SECONDS = 0.2

#: Maximum size in bytes of a message that arrives in parts.
MAX_MESSAGE_BYTES = 1024 * 1024 * 1024


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages that the consensus itself doesn't process."""


class Introduce(_Message, frozen=True):
    """Announces this replica to another host; `PeerFrame` holds name and cluster."""

    founders: tuple[ReplicaId, ...] = ()


class Forward(_Message, frozen=True):
    """Asks the leader to propose a command.

    :param number: identifies the request and is repeated in its answer, as in all
        requests to the leader.
    """

    number: int
    command: bytes


class Forwarded(_Message, frozen=True):
    """Answer to `Forward`: the command was committed at ``index``."""

    number: int
    index: LogIndex
    result: bytes


class AskRead(_Message, frozen=True):
    """Asks the leader for the index that a linearizable read must have applied."""

    number: int


class ReadAnswer(_Message, frozen=True):
    """Answer to `AskRead`: everything accepted before it is at ``index`` or below."""

    number: int
    index: LogIndex


class AskReplace(_Message, frozen=True):
    """Asks the leader to replace a replica."""

    number: int
    lost: ReplicaId
    host: HostId


class Replaced(_Message, frozen=True):
    """Answer to `AskReplace`: the lost replica was replaced by this one."""

    number: int
    replica: ReplicaId


class Refuse(_Message, frozen=True):
    """The request of that number was refused or has failed."""

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
    """Maintains a link to every other known host.

    :param hosts: addresses of the other hosts' link servers.
    :param hello: sent when a link is opened.
    :param pace: heartbeat timing of the links; None for the default of `dial`.
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
        """All other hosts, connected or not."""
        return list(self._hosts)

    def start(self) -> None:
        """Start to connect to all other hosts."""
        self._started = True
        for host in self._hosts:
            self._dial(host)

    def add_host(self, host: HostId, endpoint: Endpoint) -> None:
        """Connect to another host, or to a known one at a new address."""
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
        if (previous := self._tasks.get(host)) is not None:
            previous.cancel()
        self._tasks[host] = asyncio.create_task(self._maintain_link(host))

    def reaches(self, host: HostId) -> bool:
        """Return whether a link to the host is open."""
        link = self._links.get(host)
        return link is not None and not link.closed

    def send(self, identity: Identity, to: ReplicaId, message: ReplicaMessage) -> bool:
        """Send to a replica, and return whether there is an open link to its host."""
        return self._send(identity, replica_host(to), to, message)

    def introduce(self, identity: Identity, host: HostId) -> None:
        """Send this replica's identity to the replica on a host, whichever it is."""
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
            chunk = data[start : start + PART_BYTES]
            last = start == starts[-1]
            sender = identity.replica
            link.send(PeerFrame(identity.cluster, sender, to, chunk, part, last))
        return True

    async def _maintain_link(self, host: HostId) -> None:
        while True:
            try:
                link = await dial(
                    self._hosts[host], self._hello, self._clock, self._pace, self._tls
                )
            except LinkLost as error:
                logger.debug(
                    "can't connect to replica", extra={"reason": error.message}
                )
            else:
                await self._use_link(host, link)
            await asyncio.sleep(REDIAL_INTERVAL_SECONDS)

    async def _use_link(self, host: HostId, link: Link) -> None:
        self._links[host] = link
        try:
            # the peer sends only heartbeats here; reading detects the end of the link
            async for _ in link.receive():
                pass
        finally:
            # a link to a new address of the host may have replaced this one already
            if self._links.get(host) is link:
                del self._links[host]
            link.abort()


class FrameReader:
    """Assembles messages from their parts."""

    def __init__(self) -> None:
        self._parts: dict[ReplicaId, list[bytes]] = {}

    def read(self, frame: PeerFrame) -> ReplicaMessage | None:
        """Return the message that a frame completes, None if it completes none.

        Parts of a message that was interrupted by the loss of its link are discarded
        with the start of the next message.
        """
        if frame.part == 0:
            self._parts[frame.sender] = []
        parts = self._parts.get(frame.sender)
        if parts is None or len(parts) != frame.part:
            return None
        parts.append(frame.data)
        if not frame.last or len(parts) * PART_BYTES > MAX_MESSAGE_BYTES:
            return None
        del self._parts[frame.sender]
        try:
            return msgspec.msgpack.decode(b"".join(parts), type=ReplicaMessage)
        except msgspec.DecodeError as error:
            logger.warning(
                "can't decode message from replica", extra={"reason": str(error)}
            )
            return None
