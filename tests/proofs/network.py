"""A fake network: links that are held up, fall silent, break, or can't be opened."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import Endpoint, HeartbeatTiming
from ibishead.messages import Hello, Message, Ping, Pong
from ibishead.session import LinkAction, LinkMonitor

__all__ = ["FakeLink", "FakeNetwork"]

LATENCY = 0.001
DIAL_TIMEOUT = 2.0


class FakeLink:
    """One end of a link; it keeps order, as TCP does, and loses all or nothing."""

    def __init__(self, own: HostId, peer: Hello, pace: HeartbeatTiming) -> None:
        self.own = own
        self.peer = peer
        self.other: FakeLink | None = None
        self.silent = False
        self.held_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._arrival = 0.0
        self._inbox: asyncio.Queue[Message | None] = asyncio.Queue()
        self._closed = asyncio.Event()
        self._monitor = LinkMonitor(self._loop.time(), pace.interval, pace.timeout)
        self._watch = asyncio.create_task(self._watch_silence())

    @property
    def closed(self) -> bool:
        return self._closed.is_set()

    def send(self, message: Message) -> None:
        if not self.closed:
            self._carry(message)

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
        self._carry(None)

    def _carry(self, message: Message | None) -> None:
        if self.silent:
            return
        earliest = max(self._loop.time() + LATENCY, self.held_until, self._arrival)
        self._arrival = earliest
        self._loop.call_at(earliest, self.other._deliver, message)

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
    greet: Callable[[], Hello]
    serve: Callable[[FakeLink], Awaitable[None]]


class FakeNetwork:
    """Hosts, the links between them, and what goes wrong with these."""

    def __init__(self) -> None:
        self._listeners: dict[Endpoint, _Listener] = {}
        self._cut: set[frozenset[HostId]] = set()
        self._links: list[FakeLink] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, endpoint: Endpoint, host: HostId, greet, serve) -> None:
        """Let a host accept links."""
        self._listeners[endpoint] = _Listener(host, greet, serve)

    def remove(self, endpoint: Endpoint) -> None:
        """Refuse links there from now on."""
        self._listeners.pop(endpoint, None)

    async def dial(self, endpoint, hello, clock, pace=None, tls=None) -> FakeLink:
        """Open a link, as `links.dial` does."""
        await asyncio.sleep(LATENCY)
        listener = self._listeners.get(endpoint)
        if listener is None:
            raise LinkLost("refused", "none")
        if frozenset((hello.host, listener.host)) in self._cut:
            await asyncio.sleep(DIAL_TIMEOUT)
            raise LinkLost("timed out", "none")
        pace = pace or HeartbeatTiming()
        near = FakeLink(hello.host, listener.greet(), pace)
        far = FakeLink(listener.host, hello, pace)
        near.other, far.other = far, near
        self._links += [near, far]
        task = asyncio.create_task(self._serve(listener, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    def list_ends(self, a: HostId, b: HostId) -> list[FakeLink]:
        """Return the open ends on ``a`` of links with ``b``."""
        return [
            link
            for link in self._links
            if not link.closed and link.own == a and link.other.own == b
        ]

    def hold(self, a: HostId, b: HostId, seconds: float) -> None:
        """Hold up what goes from ``a`` to ``b`` on the links that exist."""
        until = asyncio.get_running_loop().time() + seconds
        for link in self.list_ends(a, b):
            link.held_until = until

    def silence(self, a: HostId, b: HostId) -> None:
        """Lose track of the links that exist; new ones work."""
        for link in self.list_ends(a, b):
            link.silent = link.other.silent = True

    def cut(self, a: HostId, b: HostId) -> None:
        """Let nothing through, on old links or new, until healed."""
        self._cut.add(frozenset((a, b)))
        self.silence(a, b)

    def heal(self) -> None:
        """Let new links through again."""
        self._cut.clear()

    def drop_host(self, host: HostId) -> None:
        """Break all links of a host that has died."""
        for link in self._links:
            if link.own == host:
                link.abort()

    async def _serve(self, listener: _Listener, link: FakeLink) -> None:
        try:
            await listener.serve(link)
        finally:
            link.abort()
