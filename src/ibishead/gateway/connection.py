"""One connection to a target, for one exchange at a time, by h11.

An answer may come while nothing is asked: too late, twice, or from another life of the
target. Such bytes belong to no request, and the connection that brought them is over.
"""

import asyncio
from collections import deque

import h11

from ibishead.errors import InvalidInput, LinkLost
from ibishead.headers import Headers
from ibishead.links import Endpoint
from ibishead.sockets import connect_socket, enable_keepalive, reset_on_close

__all__ = ["TargetConnection"]


class TargetConnection(asyncio.Protocol):
    """A client connection.

    :ivar used: when its last exchange ended, monotonic seconds, set by its owner.
    :ivar idle_time: seconds for which the target keeps it, set by its owner.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._state = h11.Connection(h11.CLIENT)
        self._events: deque[h11.Event] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._asking = False
        self._early = False
        self._loss: str | None = None
        self.used = 0.0
        self.idle_time: float | None = None

    @classmethod
    async def open(cls, endpoint: Endpoint) -> "TargetConnection":
        """Connect.

        :raises LinkLost: nobody answers there in time; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        try:
            opened = await connect_socket(endpoint.address, endpoint.port)
            _, connection = await loop.create_connection(
                lambda: cls(str(endpoint)), sock=opened
            )
        except (OSError, TimeoutError) as error:
            raise LinkLost(
                f"no connection to {endpoint}: {error or type(error).__name__}",
                "check that the target runs there",
            ) from error
        return connection

    # Of asyncio.Protocol -----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes in; those that nobody asked for end the connection."""
        if not self._asking:
            self._lose("bytes that belong to no request")
            return
        self._state.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Take in that the target has closed its side in order."""
        if self._asking and self._loss is None:
            self._state.receive_data(b"")
            self._parse()
        if self._asking and self._loss is None:
            return False
        self._lose("closed by the target")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection is over."""
        self._lose(f"lost: {exc}" if exc else "closed")

    # Exchanges ---------------------------------------------------------------

    @property
    def closed(self) -> bool:
        """Whether no further exchange is possible."""
        return (
            self._loss is not None
            or self._transport is None
            or self._transport.is_closing()
        )

    async def ask(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[int, Headers]:
        """Send a request, and return status and headers of its answer.

        :raises InvalidInput: it can't be sent; nothing was.
        :raises LinkLost: the connection ended first; the request may have run.
        """
        data = self._encode(method, target, headers, body)
        if self.closed or self._transport is None:
            raise self._describe_loss()
        self._asking = True
        self._transport.write(data)
        head = await self._next()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next()
        if not isinstance(head, h11.Response):
            raise self._break("no answer came before the end")
        # Failure: a target answers before it has read a long body and reads on later;
        # whatever is sent next would be taken for the rest of that body.
        self._early = self._transport.get_write_buffer_size() > 0
        return head.status_code, tuple(
            (k.decode("ascii"), v.decode("latin-1")) for k, v in head.headers
        )

    async def read(self) -> bytes | None:
        """Return what has come of the body, none at its end.

        :raises LinkLost: the connection ended before the body was whole.
        """
        pieces: list[bytes] = []
        while True:
            if pieces and not self._events:
                return b"".join(pieces)
            event = await self._next(bool(pieces))
            match event:
                case h11.Data():
                    pieces.append(bytes(event.data))
                case h11.EndOfMessage():
                    if pieces:
                        self._events.appendleft(event)
                        return b"".join(pieces)
                    self._end_exchange()
                    return None
                case _:
                    raise self._break("closed before the body was whole")

    def close(self) -> None:
        """Drop the connection at once."""
        self._lose("dropped")

    def _encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        framing: Headers = ()
        if body or method not in ("GET", "HEAD", "DELETE"):
            framing = (("content-length", str(len(body))),)
        try:
            request = h11.Request(
                method=method.encode("ascii"),
                target=target.encode("ascii"),
                headers=[
                    (k.encode("ascii"), v.encode("utf-8"))
                    for k, v in (*headers, *framing)
                ],
            )
            data = self._state.send(request) or b""
            if body:
                data += self._state.send(h11.Data(data=body)) or b""
            return data + (self._state.send(h11.EndOfMessage()) or b"")
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.close()
            raise InvalidInput(
                f"the request can't be sent: {error}", "mend method, path or headers"
            ) from error

    def _parse(self) -> None:
        try:
            while True:
                event = self._state.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                assert isinstance(event, h11.Event)
                self._events.append(event)
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    break
        except h11.RemoteProtocolError as error:
            self._lose(f"no valid answer: {error}")
            return
        if self._events:
            self._wake()

    async def _next(self, ready: bool = False) -> h11.Event:
        if not self._events and not ready:
            if self._loss is not None:
                raise self._describe_loss()
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._events:
            raise self._describe_loss()
        return self._events.popleft()

    def _end_exchange(self) -> None:
        self._asking = False
        reusable = (
            self._loss is None
            and not self._early
            and self._state.our_state is h11.DONE
            and self._state.their_state is h11.DONE
            and not self._state.trailing_data[0]
        )
        if reusable:
            self._state.start_next_cycle()
        else:
            self._lose("not kept")

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _lose(self, reason: str) -> None:
        if self._loss is None:
            self._loss = reason
        if self._transport is not None:
            if self._asking:
                reset_on_close(self._transport)
            self._transport.abort()
        self._wake()

    def _break(self, reason: str) -> LinkLost:
        self._lose(reason)
        return self._describe_loss()

    def _describe_loss(self) -> LinkLost:
        return LinkLost(
            f"the connection to {self._host} was lost: {self._loss or 'closed'}",
            "check the target's own log",
        )
