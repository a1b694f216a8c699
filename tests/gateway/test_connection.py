"""Client connections to targets with invalid, late, duplicate or missing responses."""

import asyncio
import socket

import pytest

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.links import Endpoint

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"
SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"


class RawTarget:
    """A server that sends the next of the given byte strings for each request."""

    def __init__(self, *responses: bytes, then: str = "keep") -> None:
        self._responses = list(responses)
        self._then = then
        self.accepted = 0

    async def __aenter__(self) -> Endpoint:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Endpoint("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def __aexit__(self, *_) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.accepted += 1
        for response in self._responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
        if self._then == "close":
            writer.close()
        elif self._then == "reset":
            writer.transport.abort()
        else:
            await reader.read()


async def exchange(connection: TargetConnection) -> tuple[int, bytes]:
    status, _ = await connection.request("GET", "/", (("host", "x"),), b"")
    body = b""
    while (part := await connection.read()) is not None:
        body += part
    return status, body


@pytest.mark.parametrize(
    ("answer", "then", "body", "reusable"),
    [
        (WHOLE, "keep", b"ok", True),
        (WHOLE + b"extra", "keep", b"ok", False),
        (WHOLE + WHOLE, "keep", b"ok", False),
        (UNFRAMED, "close", b"ok", False),
    ],
)
async def test_complete_responses_and_reuse_of_the_connection(
    answer, then, body, reusable
):
    async with RawTarget(answer, then=then) as endpoint:
        connection = await TargetConnection.open(endpoint)
        assert await exchange(connection) == (200, body)
        assert connection.closed is not reusable


@pytest.mark.parametrize(
    ("answer", "then"),
    [
        (SHORT, "close"),
        (SHORT, "reset"),
        (b"junk that is no answer\r\n\r\n", "keep"),
        (b"", "close"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "close"),
    ],
)
async def test_an_incomplete_response_raises_link_lost(answer, then):
    async with RawTarget(answer, then=then) as endpoint:
        connection = await TargetConnection.open(endpoint)
        with pytest.raises(LinkLost):
            await exchange(connection)
        assert connection.closed


async def test_a_reset_during_a_response_without_length_raises_link_lost():
    async with RawTarget(UNFRAMED, then="wait") as endpoint:
        connection = await TargetConnection.open(endpoint)
        await connection.request("GET", "/", (("host", "x"),), b"")
        assert await connection.read() == b"ok"
        connection.connection_lost(ConnectionResetError())
        with pytest.raises(LinkLost):
            await connection.read()


async def test_bytes_outside_an_exchange_close_an_idle_connection():
    """A late or duplicate response must close an idle connection.

    Otherwise, the next caller would receive a response to another request.
    """
    async with RawTarget(WHOLE, then="keep") as endpoint:
        connection = await TargetConnection.open(endpoint)
        await exchange(connection)
        assert not connection.closed
        connection.data_received(WHOLE)
        assert connection.closed
        with pytest.raises(LinkLost):
            await exchange(connection)


async def test_an_idle_connection_is_reused():
    target = RawTarget(WHOLE, WHOLE)
    async with target as endpoint:
        connection = await TargetConnection.open(endpoint)
        assert await exchange(connection) == (200, b"ok")
        assert await exchange(connection) == (200, b"ok")
        assert target.accepted == 1


async def test_a_refused_connection_raises_link_lost():
    async with RawTarget() as endpoint:
        pass
    with pytest.raises(LinkLost):
        await TargetConnection.open(endpoint)


def read_to_end(accepted: socket.socket) -> None:
    while accepted.recv(1000):
        pass


async def test_an_abandoned_request_resets_the_connection():
    """The connection must be reset when a request is abandoned.

    Otherwise, a target runs requests seconds after their callers have disconnected.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    connection = await TargetConnection.open(Endpoint(*listener.getsockname()))
    exchange_task = asyncio.create_task(exchange(connection))
    accepted, _ = listener.accept()
    with accepted, listener:
        await asyncio.sleep(0.05)
        connection.close()
        with pytest.raises(LinkLost):
            await exchange_task
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectionResetError):
            read_to_end(accepted)


async def test_an_idle_connection_is_closed_without_a_reset():
    listener = socket.create_server(("127.0.0.1", 0))
    connection = await TargetConnection.open(Endpoint(*listener.getsockname()))
    accepted, _ = listener.accept()
    with accepted, listener:
        connection.close()
        await asyncio.sleep(0.05)
        assert accepted.recv(1000) == b""
