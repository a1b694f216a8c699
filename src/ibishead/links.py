"""Links between programs: websocket connections that multiplex typed messages.

All messages sent in one iteration of the event loop leave in one frame. A link is
closed when its peer's event loop has sent nothing for too long, even if the kernel
still reports the connection as open.
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

__all__ = ["Dialer", "Endpoint", "HeartbeatTiming", "Link", "LinkServer", "dial"]

logger = logging.getLogger(__name__)

#: Seconds for connecting and exchanging hellos.
OPEN_TIMEOUT = 2.0

#: Seconds that a closing link waits for unsent messages, and for its peer's close.
CLOSE_TIMEOUT = 0.5


#: Checks of the link monitor in one heartbeat interval.
TICKS_PER_INTERVAL = 2


#: Raised by CPython 3.11 when a transport is aborted after it has lost its connection,
#: as websockets does in send and close. It happens when a peer closes its side while
#: bytes wait to be sent, and then reads them. Uncaught, the error would end the task
#: that reconnects, and the host would stay disconnected.
_LOST_TRANSPORT_ERRORS = (AttributeError,)


@dataclass(frozen=True)
class Endpoint:
    """Address and port on which a program listens.

    :param address: IP address.
    """

    address: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"{host}:{self.port}"


@dataclass(frozen=True)
class HeartbeatTiming:
    """Heartbeat settings of one end of a link.

    :param interval: seconds between heartbeats.
    :param timeout: seconds without a message after which the link is closed.
    :param mutual: both ends send heartbeats at this interval, so that pings need no
        pong; that halves the messages on an idle link.
    """

    interval: float = HEARTBEAT_INTERVAL
    timeout: float = SILENCE_LIMIT
    mutual: bool = False


class Link:
    """An open connection to a peer program.

    :param peer: hello that the peer has sent.
    :param heartbeat: heartbeat settings of this end.
    :ivar sent_bytes: bytes of all frames sent.
    :ivar received_bytes: bytes of all frames received.
    :ivar timed_out: whether the link was closed because the peer sent nothing.
    """

    def __init__(
        self,
        socket: ClientConnection | ServerConnection,
        peer: Hello,
        clock: Clock,
        heartbeat: HeartbeatTiming,
    ) -> None:
        self.peer = peer
        self.sent_bytes = 0
        self.received_bytes = 0
        self.timed_out = False
        self._socket = socket
        self._clock = clock
        self._heartbeat = heartbeat
        self._monitor = LinkMonitor(
            clock.monotonic(), heartbeat.interval, heartbeat.timeout
        )
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
        """Whether the link is closed."""
        return self._closed.is_set()

    @property
    def overdue(self) -> bool:
        """Whether the peer's heartbeat is late."""
        return self._monitor.is_overdue(self._clock.monotonic())

    async def wait_closed(self) -> None:
        """Wait until the link is closed."""
        await self._closed.wait()

    def send(self, message: Message) -> None:
        """Queue a message for the next frame; a closed link drops it."""
        if self.closed:
            return
        self._outbox.append(message)
        self._backlog.set()
        if self._heartbeat.mutual:
            self._monitor.note_sent(self._clock.monotonic())

    async def receive(self) -> AsyncIterator[Message]:
        """Yield the peer's messages until the link is closed."""
        try:
            async for frame in self._socket:
                if isinstance(frame, str):
                    frame = frame.encode()
                self.received_bytes += len(frame)
                for message in decode_batch(frame):
                    self._monitor.note_received(self._clock.monotonic())
                    if isinstance(message, Ping):
                        if not self._heartbeat.mutual:
                            self.send(Pong(message.number))
                    elif not isinstance(message, Pong):
                        yield message
        except WebSocketException:
            pass
        except IbisheadError as error:
            logger.warning(
                "link closed after an invalid frame",
                extra={"peer": self.peer.host, "reason": error.message},
            )
        finally:
            self._abort()

    async def flush(self) -> None:
        """Wait until all queued messages are passed on to the websocket."""
        while self._outbox and not self.closed:
            await asyncio.sleep(0)

    def abort(self) -> None:
        """Close the link at once and drop the queued messages; `receive` then ends."""
        self._abort()

    async def close(self) -> None:
        """Send the queued messages, then close the link."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self.flush()
        with contextlib.suppress(
            TimeoutError, WebSocketException, *_LOST_TRANSPORT_ERRORS
        ):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self._socket.close()
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
        except (WebSocketException, OSError, *_LOST_TRANSPORT_ERRORS):
            self._abort()

    async def _watch_silence(self) -> None:
        step = self._monitor.interval / TICKS_PER_INTERVAL
        loop = asyncio.get_running_loop()
        while True:
            # Aligned to multiples of the step, so that a process with dozens of idle
            # links wakes up once a step instead of once for each link.
            await asyncio.sleep(step - loop.time() % step)
            match self._monitor.tick(self._clock.monotonic()):
                case LinkAction.GIVE_UP:
                    logger.warning(
                        "link closed: no message from the peer within the time-out",
                        extra={"peer": self.peer.host},
                    )
                    self.timed_out = True
                    self._abort()
                    return
                case LinkAction.PING:
                    self._pings += 1
                    self.send(Ping(self._pings))
                case LinkAction.WAIT:
                    pass

    def _abort(self) -> None:
        # A close handshake would wait for a peer that no longer answers. Aborting the
        # transport makes the reader of this link return at once.
        if self._closed.is_set():
            return
        self._closed.set()
        self._outbox.clear()
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        _abort_transport(self._socket.transport)


def _abort_transport(transport: asyncio.Transport) -> None:
    # A closing transport that has sent its last byte may have lost its connection;
    # abort() would then raise, see _LOST_TRANSPORT_ERRORS.
    if not transport.is_closing() or transport.get_write_buffer_size():
        transport.abort()


async def dial(
    endpoint: Endpoint,
    hello: Hello,
    clock: Clock,
    heartbeat: HeartbeatTiming | None = None,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Connect to a peer and exchange hellos with it.

    :param heartbeat: heartbeat settings, the defaults if not given.
    :raises LinkLost: the peer cannot be reached or sends no hello in time.
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
            return await _exchange_hello(
                socket, hello, clock, heartbeat or HeartbeatTiming()
            )
    except (OSError, TimeoutError, WebSocketException, IbisheadError) as error:
        raise LinkLost(
            f"cannot open a link to {endpoint}: {error or type(error).__name__}",
            "check that the program runs there and that no firewall blocks the port",
        ) from error


#: Type of `dial`; tests pass a function that connects to a simulated network.
Dialer: TypeAlias = Callable[
    [Endpoint, Hello, Clock, HeartbeatTiming | None, ssl.SSLContext | None],
    Awaitable[Link],
]


class LinkServer:
    """Listens for links and runs a handler for each.

    :param handler: called with each new link, which is closed when it returns.
    :param greet: returns the hello to send to a new peer.
    :param heartbeat: heartbeat settings, the defaults if not given.
    :ivar links: links whose handler is running.
    """

    def __init__(
        self,
        handler: Callable[[Link], Awaitable[None]],
        greet: Callable[[], Hello],
        clock: Clock,
        heartbeat: HeartbeatTiming | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler = handler
        self._greet = greet
        self._clock = clock
        self._heartbeat = heartbeat or HeartbeatTiming()
        self._tls = tls
        self._server: Server | None = None
        self._stopping = False
        self.links: set[Link] = set()

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Start listening.

        :param endpoint: where to listen; with port 0 the system chooses a free port.
        :returns: the endpoint with the actual port.
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
                link = await _exchange_hello(
                    socket, self._greet(), self._clock, self._heartbeat
                )
        except (TimeoutError, WebSocketException, IbisheadError) as error:
            logger.warning(
                "connection closed: no valid hello from the peer",
                extra={"reason": str(error)},
            )
            socket.transport.abort()
            return
        # A peer whose hello arrives while stop() closes the other links must not keep
        # its own: the planned stop would wait for it indefinitely.
        if self._stopping:
            await link.close()
            return
        self.links.add(link)
        try:
            await self._handler(link)
        finally:
            self.links.discard(link)
            await link.close()


async def _exchange_hello(
    socket: ClientConnection | ServerConnection,
    hello: Hello,
    clock: Clock,
    heartbeat: HeartbeatTiming,
) -> Link:
    await socket.send(encode_batch([hello]))
    frame = await socket.recv(decode=False)
    match decode_batch(frame):
        case [Hello() as peer]:
            return Link(socket, peer, clock, heartbeat)
    raise LinkLost(
        "the peer sent no hello",
        "check that an ibishead program listens at this address",
    )
