"""Simulated network whose links can be delayed, silenced, broken or refused."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import Endpoint, HeartbeatTiming
from ibishead.messages import Hello, Message, Ping, Pong
from ibishead.session import LinkAction, LinkMonitor

__all__ = ["FakeLink", "FakeNetwork"]

LATENCY_SECONDS = 0.001

#: Time after which an attempt to dial an unreachable host fails.
DIAL_TIMEOUT_SECONDS = 2.0


class FakeLink:
    """One end of a simulated link.

    As with TCP, messages arrive in order, and none is lost without all later ones.

    :ivar silent: whether messages in both directions are discarded.
    :ivar delayed_until: loop time before which no sent message arrives.
    """

    def __init__(self, local_host: HostId, peer: Hello, pace: HeartbeatTiming) -> None:
        self.local_host = local_host
        self.peer = peer
        self.peer_end: FakeLink | None = None
        self.silent = False
        self.delayed_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._last_arrival = 0.0
        self._inbox: asyncio.Queue[Message | None] = asyncio.Queue()
        self._closed = asyncio.Event()
        self._monitor = LinkMonitor(self._loop.time(), pace.interval, pace.timeout)
        self._watch = asyncio.create_task(self._watch_silence())

    @property
    def closed(self) -> bool:
        return self._closed.is_set()

    def send(self, message: Message) -> None:
        if not self.closed:
            self._transmit(message)

    async def receive(self):
        while (message := await self._inbox.get()) is not None:
            self._monitor.note_received(self._loop.time())
            if isinstance(message, Ping):
                self.send(Pong(message.number))
            elif not isinstance(message, Pong):
                yield message
            if self.closed:
                return

    async def close(self) -> None:
        await asyncio.sleep(0)
        self.abort()

    def abort(self) -> None:
        if self.closed:
            return
        self._closed.set()
        self._inbox.put_nowait(None)
        self._watch.cancel()
        self._transmit(None)

    def _transmit(self, message: Message | None) -> None:
        if self.silent:
            return
        earliest = max(
            self._loop.time() + LATENCY_SECONDS, self.delayed_until, self._last_arrival
        )
        self._last_arrival = earliest
        self._loop.call_at(earliest, self.peer_end._deliver, message)

    def _deliver(self, message: Message | None) -> None:
        if self.silent or self.closed:
            return
        if message is None:
            self.abort()
        else:
            self._inbox.put_nowait(message)

    async def _watch_silence(self) -> None:
        while True:
            await asyncio.sleep(self._monitor.interval / 4)
            match self._monitor.tick(self._loop.time()):
                case LinkAction.GIVE_UP:
                    self.abort()
                    return
                case LinkAction.PING:
                    self.send(Ping(0))


@dataclass
class _Listener:
    host: HostId
    make_hello: Callable[[], Hello]
    serve: Callable[[FakeLink], Awaitable[None]]


class FakeNetwork:
    """Hosts and the links between them, with fault injection."""

    def __init__(self) -> None:
        self._listeners: dict[Endpoint, _Listener] = {}
        self._partitions: set[frozenset[HostId]] = set()
        self._links: list[FakeLink] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, endpoint: Endpoint, host: HostId, make_hello, serve) -> None:
        """Start accepting links for a host."""
        self._listeners[endpoint] = _Listener(host, make_hello, serve)

    def remove(self, endpoint: Endpoint) -> None:
        """Stop accepting links at an endpoint."""
        self._listeners.pop(endpoint, None)

    async def dial(self, endpoint, hello, clock, pace=None, tls=None) -> FakeLink:
        """Open a link; replaces `links.dial`."""
        await asyncio.sleep(LATENCY_SECONDS)
        listener = self._listeners.get(endpoint)
        if listener is None:
            raise LinkLost("refused", "none")
        if frozenset((hello.host, listener.host)) in self._partitions:
            await asyncio.sleep(DIAL_TIMEOUT_SECONDS)
            raise LinkLost("timed out", "none")
        pace = pace or HeartbeatTiming()
        client_end = FakeLink(hello.host, listener.make_hello(), pace)
        server_end = FakeLink(listener.host, hello, pace)
        client_end.peer_end, server_end.peer_end = server_end, client_end
        self._links += [client_end, server_end]
        task = asyncio.create_task(self._serve(listener, server_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client_end

    def list_ends(self, a: HostId, b: HostId) -> list[FakeLink]:
        """Return the ends at ``a`` of the open links between ``a`` and ``b``."""
        return [
            link
            for link in self._links
            if not link.closed
            and link.local_host == a
            and link.peer_end.local_host == b
        ]

    def delay(self, a: HostId, b: HostId, seconds: float) -> None:
        """Delay the messages from ``a`` to ``b`` on the existing links."""
        until = asyncio.get_running_loop().time() + seconds
        for link in self.list_ends(a, b):
            link.delayed_until = until

    def silence(self, a: HostId, b: HostId) -> None:
        """Discard all messages on the existing links; new links work."""
        for link in self.list_ends(a, b):
            link.silent = link.peer_end.silent = True

    def partition(self, a: HostId, b: HostId) -> None:
        """Silence the existing links and fail new ones, until `heal` is called."""
        self._partitions.add(frozenset((a, b)))
        self.silence(a, b)

    def heal(self) -> None:
        """Allow new links between all hosts again."""
        self._partitions.clear()

    def drop_host(self, host: HostId) -> None:
        """Close all links of a host, as when it dies."""
        for link in self._links:
            if link.local_host == host:
                link.abort()

    async def _serve(self, listener: _Listener, link: FakeLink) -> None:
        try:
            await listener.serve(link)
        finally:
            link.abort()
