"""A client connection of HTTP by h11 over asyncio streams."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

from ibishead.errors import InvalidInput, LinkLost
from ibishead.headers import Headers
from ibishead.links import Endpoint

__all__ = ["ClientAnswer", "ClientConnection"]

_READ_SIZE = 64 * 1024


@dataclass
class ClientAnswer:
    """Status and headers of an answer, and its body as it arrives."""

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]

    async def read(self) -> bytes:
        """Return the whole body.

        :raises LinkLost: the connection ended before the body was whole.
        """
        return b"".join([chunk async for chunk in self.chunks])


class ClientConnection:
    """One connection to one server, for one exchange at a time.

    :ivar idle: the last exchange is over and another may follow.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._state = h11.Connection(h11.CLIENT)
        self.idle = True

    @classmethod
    async def open(
        cls, endpoint: Endpoint, tls: ssl.SSLContext | None = None, timeout: float = 2.0
    ) -> "ClientConnection":
        """Connect.

        :raises LinkLost: nobody answers there in time; nothing was sent.
        """
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    endpoint.address,
                    endpoint.port,
                    ssl=tls,
                    server_hostname=endpoint.address if tls else None,
                )
        except (OSError, TimeoutError) as error:
            raise LinkLost(
                f"no connection to {endpoint}: {error or type(error).__name__}",
                "check that the server runs there",
            ) from error
        return cls(reader, writer, str(endpoint))

    @property
    def closed(self) -> bool:
        """Whether no further exchange is possible."""
        return self._writer.is_closing() or self._reader.at_eof()

    async def ask(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> ClientAnswer:
        """Send a request and return the answer once its headers are there.

        :raises LinkLost: the connection ended first; the request may have run.
        """
        self.idle = False
        own = [("host", self._host), ("content-length", str(len(body)))]
        given = [(k, v) for k, v in headers if k not in ("host", "content-length")]
        try:
            request = h11.Request(
                method=method.encode("ascii"),
                target=target.encode("ascii"),
                headers=[(k.encode(), v.encode()) for k, v in own + given],
            )
            data = self._state.send(request) or b""
            if body:
                data += self._state.send(h11.Data(data=body)) or b""
            data += self._state.send(h11.EndOfMessage()) or b""
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.close()
            raise InvalidInput(
                f"the request can't be sent: {error}", "mend method, path or headers"
            ) from error
        try:
            self._writer.write(data)
            await self._writer.drain()
            head = await self._next_event()
            while isinstance(head, h11.InformationalResponse):
                head = await self._next_event()
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._lose(error) from error
        if not isinstance(head, h11.Response):
            raise self._lose("closed before it answered")
        answer_headers = tuple(
            (k.decode("ascii"), v.decode("utf-8", "replace")) for k, v in head.headers
        )
        return ClientAnswer(head.status_code, answer_headers, self._read_chunks())

    def close(self) -> None:
        """Drop the connection."""
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
                raise self._lose("closed before the body was whole")
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._lose(error) from error
        if self._state.our_state is h11.DONE and self._state.their_state is h11.DONE:
            self._state.start_next_cycle()
            self.idle = True
        else:
            self.close()

    async def _next_event(self) -> h11.Event:
        while (event := self._state.next_event()) is h11.NEED_DATA:
            self._state.receive_data(await self._reader.read(_READ_SIZE))
        if not isinstance(event, h11.Event):
            raise h11.RemoteProtocolError("the server paused")
        return event

    def _lose(self, cause: object) -> LinkLost:
        self.close()
        return LinkLost(
            f"the connection to {self._host} was lost: {cause}",
            "check the server's own log",
        )
