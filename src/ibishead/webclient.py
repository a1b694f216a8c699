"""An HTTP/1.1 client connection, built on h11 and asyncio streams.

Bytes that follow a complete answer belong to no request and close the connection.
"""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import h11

from ibishead.errors import InvalidInput, LinkLost
from ibishead.framing import (
    MAX_EVENTS_PER_TURN,
    MAX_INTERIM_RESPONSES,
    check_response_head,
)
from ibishead.headers import Headers
from ibishead.links import Endpoint

__all__ = ["ClientAnswer", "ClientConnection"]

_READ_SIZE = 64 * 1024

#: Memory of a received chunk besides its bytes.
CHUNK_OVERHEAD_BYTES = 64

#: Seconds and bytes for which a body is read that nobody needs.
DISCARD_SECONDS = 0.1
MAX_DISCARDED_BYTES = 64 * 1024


@dataclass
class ClientAnswer:
    """Status, headers and streamed body of an answer.

    :param chunks: chunks of the body as they arrive.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]

    async def read(self, limit: int | None = None) -> bytes:
        """Return the complete body.

        :param limit: bytes of memory that it may take, ``None`` for any number.
        :raises LinkLost: the connection was closed before the end of the body, or the
            body is larger. The connection can't be used again then.
        """
        chunks, size = [], 0
        async for chunk in self.chunks:
            chunks.append(chunk)
            size += len(chunk) + CHUNK_OVERHEAD_BYTES
            if limit is not None and size > limit:
                raise LinkLost(
                    f"the body of the answer takes more than {limit} bytes of memory",
                    "see the server's log",
                )
        return b"".join(chunks)

    async def discard(self) -> None:
        """Read the body if it is short, so that the connection can be used again."""
        with contextlib.suppress(LinkLost, TimeoutError):
            async with asyncio.timeout(DISCARD_SECONDS):
                await self.read(MAX_DISCARDED_BYTES)


class _Protocol(asyncio.StreamReaderProtocol):
    """The protocol of a stream reader, which tells when bytes arrive.

    :ivar received: number of bytes received.
    :ivar on_data: called after bytes were received.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader)
        self.received = 0
        self.on_data: Callable[[], None] = lambda: None

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self.received += len(data)
        self.on_data()


class ClientConnection:
    """A connection to a server that carries one request at a time.

    :param host: value of the host header.
    :ivar idle: whether the last exchange is complete and a request can be sent.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: _Protocol,
        host: str,
    ) -> None:
        self._reader = reader
        self._protocol = protocol
        protocol.on_data = self._check_expected
        self._taken = 0
        self._writer = writer
        self._host = host
        self._state = h11.Connection(h11.CLIENT)
        self._parsed = 0
        self.idle = True

    @classmethod
    async def open(
        cls, endpoint: Endpoint, tls: ssl.SSLContext | None = None, timeout: float = 2.0
    ) -> "ClientConnection":
        """Connect to a server.

        :param timeout: seconds for connecting, TLS handshake included.
        :raises LinkLost: the connection is not established in time; no request was
            sent.
        """
        try:
            async with asyncio.timeout(timeout):
                loop = asyncio.get_running_loop()
                reader = asyncio.StreamReader()
                protocol = _Protocol(reader)
                transport, _ = await loop.create_connection(
                    lambda: protocol,
                    endpoint.address,
                    endpoint.port,
                    ssl=tls,
                    server_hostname=endpoint.address if tls else None,
                )
        except (OSError, TimeoutError) as error:
            raise LinkLost(
                f"no connection to {endpoint}: {error or type(error).__name__}",
                "check that the server is running",
            ) from error
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return cls(reader, writer, protocol, str(endpoint))

    @property
    def closed(self) -> bool:
        """Whether the connection can carry no further request."""
        return self._writer.is_closing() or self._reader.at_eof()

    async def ask(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> ClientAnswer:
        """Send a request and return the answer once its headers have arrived.

        :param target: path with query.
        :param headers: further headers; ``host`` and ``content-length`` are set here.
        :raises InvalidInput: method, target or headers are not valid HTTP.
        :raises LinkLost: the connection was closed first; the server may have run the
            request.
        """
        self.idle = False
        own_headers = [("host", self._host), ("content-length", str(len(body)))]
        other_headers = [
            (k, v) for k, v in headers if k not in ("host", "content-length")
        ]
        try:
            request = h11.Request(
                method=method.encode("ascii"),
                target=target.encode("ascii"),
                headers=[
                    (k.encode(), v.encode()) for k, v in own_headers + other_headers
                ],
            )
            data = self._state.send(request) or b""
            if body:
                data += self._state.send(h11.Data(data=body)) or b""
            data += self._state.send(h11.EndOfMessage()) or b""
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.close()
            raise InvalidInput(
                f"cannot send the request: {error}", "correct method, path or headers"
            ) from error
        try:
            self._writer.write(data)
            await self._writer.drain()
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                head = await self._next_event()
                if isinstance(head, h11.Response | h11.InformationalResponse):
                    check_response_head(head)
                if not isinstance(head, h11.InformationalResponse):
                    break
            else:
                raise self._close_as_lost("too many interim responses")
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._close_as_lost(error) from error
        if not isinstance(head, h11.Response):
            raise self._close_as_lost("closed before the answer")
        answer_headers = tuple(
            (k.decode("ascii"), v.decode("utf-8", "replace")) for k, v in head.headers
        )
        return ClientAnswer(head.status_code, answer_headers, self._read_chunks())

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    async def _read_chunks(self) -> AsyncIterator[bytes]:
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                    continue
                if isinstance(event, h11.EndOfMessage):
                    break
                raise self._close_as_lost("closed before the end of the body")
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._close_as_lost(error) from error
        complete = (
            self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        )
        unasked = self._state.trailing_data[0] or self._protocol.received > self._taken
        if complete and not unasked:
            self._state.start_next_cycle()
            self.idle = True
        else:
            self.close()

    async def _next_event(self) -> h11.Event:
        self._parsed += 1
        if self._parsed % MAX_EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        while (event := self._state.next_event()) is h11.NEED_DATA:
            data = await self._reader.read(_READ_SIZE)
            self._taken += len(data)
            self._state.receive_data(data)
        if not isinstance(event, h11.Event):
            raise h11.RemoteProtocolError(
                "the server switched protocols or paused the connection"
            )
        return event

    def _check_expected(self) -> None:
        if self.idle:
            self.close()

    def _close_as_lost(self, cause: object) -> LinkLost:
        self.close()
        return LinkLost(
            f"the connection to {self._host} was lost: {cause}",
            "see the server's log",
        )
