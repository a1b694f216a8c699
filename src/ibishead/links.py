"""Links between programs: one websocket, many interleaved exchanges.

All messages sent in one turn of the loop leave in one frame. A link is closed when
its peer's loop has been silent too long, whatever the kernel thinks of it.
"""

import asyncio
import contextlib
import logging
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from ibishead.clock import Clock
from ibishead.codec import MAX_FRAME, decode_batch, encode_batch
from ibishead.errors import IbisheadError, LinkLost
from ibishead.messages import Hello, Message, Ping, Pong
from ibishead.session import (
    HEARTBEAT_INTERVAL,
    SILENCE_LIMIT,
    LinkAction,
    LinkMonitor,
)
from ibishead.sockets import connect_socket

__all__ = ["Dialer", "Endpoint", "Link", "LinkServer", "Pace", "dial"]

logger = logging.getLogger(__name__)

#: Seconds in which a link must be open and greeted.
OPEN_TIMEOUT = 2.0

#: Seconds that a closing link waits for its peer.
CLOSE_TIMEOUT = 0.5


#: Ticks of the monitor in one heartbeat interval.
TICKS_PER_INTERVAL = 2


#: Failure: a peer closes its side while bytes wait to be sent, and then takes them.
#: The transport is lost by itself, and CPython 3.11 raises AttributeError when it is
#: aborted after that, as websockets does in send and close. Let through, it ended the
#: task that dials anew, and the host stayed cut off.
_LOST_TRANSPORT = (AttributeError,)


@dataclass(frozen=True)
class Endpoint:
    """Where a program listens.

    :param address: an IP number.
    """

    address: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"{host}:{self.port}"


@dataclass(frozen=True)
class Pace:
    """Seconds between heartbeats, and of silence until a link is given up.

    :param mutual: both ends keep this pace, so that each hears the other's heartbeats
        and none of them needs an answer; that halves the messages of a quiet link.
    """

    interval: float = HEARTBEAT_INTERVAL
    silence: float = SILENCE_LIMIT
    mutual: bool = False


class Link:
    """One live connection to a peer program.

    :param peer: what the peer said of itself.
    """

    def __init__(
        self,
        socket: ClientConnection | ServerConnection,
        peer: Hello,
        clock: Clock,
        pace: Pace,
    ) -> None:
        self.peer = peer
        self.sent_bytes = 0
        self.received_bytes = 0
        #: The link was given up since its peer was silent.
        self.silenced = False
        self._socket = socket
        self._clock = clock
        self._pace = pace
        self._monitor = LinkMonitor(clock.monotonic(), pace.interval, pace.silence)
        self._outbox: list[Message] = []
        self._backlog = asyncio.Event()
        self._closed = asyncio.Event()
        self._pings = 0
        self._tasks = [
            asyncio.create_task(self._write_batches()),
            asyncio.create_task(self._watch_silence()),
        ]

    @property
    def closed(self) -> bool:
        """Whether the link is over."""
        return self._closed.is_set()

    @property
    def overdue(self) -> bool:
        """Whether the peer has not been heard of for longer than it should."""
        return self._monitor.is_overdue(self._clock.monotonic())

    async def wait_closed(self) -> None:
        """Return once the link is over."""
        await self._closed.wait()

    def send(self, message: Message) -> None:
        """Queue a message for this turn's frame; on a closed link it is dropped."""
        if self.closed:
            return
        self._outbox.append(message)
        self._backlog.set()
        if self._pace.mutual:
            self._monitor.note_sent(self._clock.monotonic())

    async def receive(self) -> AsyncIterator[Message]:
        """Yield the peer's messages until the link is over."""
        try:
            async for frame in self._socket:
                if isinstance(frame, str):
                    frame = frame.encode()
                self.received_bytes += len(frame)
                for message in decode_batch(frame):
                    self._monitor.hear(self._clock.monotonic())
                    if isinstance(message, Ping):
                        if not self._pace.mutual:
                            self.send(Pong(message.number))
                    elif not isinstance(message, Pong):
                        yield message
        except WebSocketException:
            pass
        except IbisheadError as error:
            logger.warning(
                "link closed on a bad frame",
                extra={"peer": self.peer.host, "reason": error.message},
            )
        finally:
            self._abort()

    async def flush(self) -> None:
        """Return once the messages queued so far are with the kernel."""
        while self._outbox and not self.closed:
            await asyncio.sleep(0)

    def end(self) -> None:
        """Drop the link at once; whoever reads it is told that it is over."""
        self._abort()

    async def close(self) -> None:
        """Send what is queued, then end the link."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.flush(), CLOSE_TIMEOUT)
        with contextlib.suppress(TimeoutError, WebSocketException, *_LOST_TRANSPORT):
            await asyncio.wait_for(self._socket.close(), CLOSE_TIMEOUT)
        self._abort()

    async def _write_batches(self) -> None:
        try:
            while True:
                await self._backlog.wait()
                self._backlog.clear()
                batch, self._outbox = self._outbox, []
                frame = encode_batch(batch)
                self.sent_bytes += len(frame)
                await self._socket.send(frame)
        except (WebSocketException, OSError, *_LOST_TRANSPORT):
            self._abort()

    async def _watch_silence(self) -> None:
        step = self._monitor.interval / TICKS_PER_INTERVAL
        loop = asyncio.get_running_loop()
        while True:
            # All links of a process wake at the same moments: a host with dozens of
            # quiet links then has one wake-up a step instead of one for each link.
            await asyncio.sleep(step - loop.time() % step)
            match self._monitor.tick(self._clock.monotonic()):
                case LinkAction.GIVE_UP:
                    logger.warning("peer is silent", extra={"peer": self.peer.host})
                    self.silenced = True
                    self._abort()
                    return
                case LinkAction.PING:
                    self._pings += 1
                    self.send(Ping(self._pings))
                case LinkAction.WAIT:
                    pass

    def _abort(self) -> None:
        # A close handshake would wait for a peer that no longer answers; the
        # transport is dropped so that whoever reads this link moves on at once.
        if self._closed.is_set():
            return
        self._closed.set()
        self._outbox.clear()
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        _drop(self._socket.transport)


def _drop(transport: asyncio.Transport) -> None:
    # Nothing is left to drop once a closing transport has sent its last byte, and
    # abort() would raise; see _LOST_TRANSPORT
    if not transport.is_closing() or transport.get_write_buffer_size():
        transport.abort()


async def dial(
    endpoint: Endpoint,
    hello: Hello,
    clock: Clock,
    pace: Pace | None = None,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Open a link and greet the peer.

    :raises LinkLost: the peer can't be reached or doesn't greet in time.
    """
    scheme = "ws" if tls is None else "wss"
    try:
        async with asyncio.timeout(OPEN_TIMEOUT):
            socket = await connect(
                f"{scheme}://{endpoint}/",
                sock=await connect_socket(endpoint.address, endpoint.port),
                ssl=tls,
                server_hostname=endpoint.address if tls else None,
                compression=None,
                proxy=None,
                max_size=MAX_FRAME,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT,
            )
            return await _greet(socket, hello, clock, pace or Pace())
    except (OSError, TimeoutError, WebSocketException, IbisheadError) as error:
        raise LinkLost(
            f"no link to {endpoint}: {error or type(error).__name__}",
            "check that the program runs there and that the network lets it through",
        ) from error


#: How programs open links; tests put a fake network in its place.
Dialer: TypeAlias = Callable[
    [Endpoint, Hello, Clock, Pace | None, ssl.SSLContext | None], Awaitable[Link]
]


class LinkServer:
    """Accepts links and hands each to a handler, which owns it until it returns.

    :param greet: returns the hello that each peer is answered with.
    """

    def __init__(
        self,
        handler: Callable[[Link], Awaitable[None]],
        greet: Callable[[], Hello],
        clock: Clock,
        pace: Pace | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler = handler
        self._greet = greet
        self._clock = clock
        self._pace = pace or Pace()
        self._tls = tls
        self._server: Server | None = None
        self._stopping = False
        self.links: set[Link] = set()

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Listen, and return the endpoint with the port that was taken.

        :param endpoint: port 0 lets the system choose.
        """
        self._server = await serve(
            self._accept,
            endpoint.address,
            endpoint.port,
            ssl=self._tls,
            compression=None,
            max_size=MAX_FRAME,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT,
            open_timeout=OPEN_TIMEOUT,
        )
        port = next(iter(self._server.sockets)).getsockname()[1]
        return Endpoint(endpoint.address, port)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        self._stopping = True
        if self._server is not None:
            self._server.close(close_connections=False)
        for link in list(self.links):
            await link.close()
        if self._server is not None:
            await self._server.wait_closed()

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                link = await _greet(socket, self._greet(), self._clock, self._pace)
        except (TimeoutError, WebSocketException, IbisheadError) as error:
            logger.warning("peer didn't greet", extra={"reason": str(error)})
            socket.transport.abort()
            return
        # Failure: a peer that was greeted while the others were closed would keep its
        # link, and the planned stop would wait for it without end.
        if self._stopping:
            await link.close()
            return
        self.links.add(link)
        try:
            await self._handler(link)
        finally:
            self.links.discard(link)
            await link.close()


async def _greet(
    socket: ClientConnection | ServerConnection, hello: Hello, clock: Clock, pace: Pace
) -> Link:
    await socket.send(encode_batch([hello]))
    frame = await socket.recv(decode=False)
    match decode_batch(frame):
        case [Hello() as peer]:
            return Link(socket, peer, clock, pace)
    raise LinkLost("the peer didn't greet", "check that ibishead listens there")
