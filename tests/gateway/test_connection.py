"""Client connections to targets with invalid, late, duplicate or missing responses."""

import asyncio
import contextlib
import socket

import pytest

from ibishead.decisions.heldbytes import ANSWER_RESERVE_BYTES, AnswerBudget
from ibishead.errors import LinkLost
from ibishead.gateway.connection import MAX_UNTAKEN_BYTES, TargetConnection
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


#: Writes of 64 KB of a long response, more than the kernel's buffers hold.
WRITES = 400


class LongTarget(RawTarget):
    """Sends a long response.

    :ivar sent: number of writes that the kernel has taken.
    :ivar ended: set when a connection was lost.
    """

    def __init__(self, frame: int = 64_000) -> None:
        super().__init__()
        self._frame = b"%x\r\n%b\r\n" % (frame, b"x" * frame)
        self.sent = 0
        self.ended = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def _serve(self, reader, writer) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            for _ in range(WRITES):
                writer.write(self._frame * (64_000 // len(self._frame) or 1))
                await writer.drain()
                self.sent += 1
            writer.write(b"0\r\n\r\n")
            return
        self.ended.set()


async def read_to_none(connection: TargetConnection) -> None:
    while await connection.read() is not None:
        pass


async def wait_stalled(target: LongTarget) -> None:
    """Wait until a target has not been able to send for a while."""
    before = -1
    while before != target.sent:
        before = target.sent
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("frame", [64_000, 500])
async def test_a_response_that_is_not_taken_is_not_read_on(frame):
    """A caller that reads nothing would fill the gateway's memory with its answer."""
    target = LongTarget(frame)
    async with target as endpoint:
        connection = await TargetConnection.open(endpoint)
        await connection.request("GET", "/", (("host", "x"),), b"")
        await wait_stalled(target)
        assert target.sent < WRITES
        assert connection.hold.paused
        assert MAX_UNTAKEN_BYTES / 2 < connection.hold.held <= MAX_UNTAKEN_BYTES
        size = 0
        while (part := await connection.read()) is not None:
            size += len(part)
            assert connection.hold.held <= MAX_UNTAKEN_BYTES
        frames = 64_000 // len(target._frame) or 1
        assert size == WRITES * frames * frame
        assert connection.hold.held == 0
        assert not connection.closed


async def test_stalled_responses_share_a_budget():
    """Each of many callers that read nothing stays below its own bound."""
    budget, target = AnswerBudget(1_000_000), LongTarget()
    async with target as endpoint:
        connections = []
        for number in range(20):
            connection = await TargetConnection.open(endpoint)
            connection.hold = budget.open(str(number), MAX_UNTAKEN_BYTES)
            await connection.request("GET", "/", (("host", "x"),), b"")
            connections.append(connection)
        await wait_stalled(target)
        assert budget.paused == 20
        assert 500_000 < budget.shared <= 1_000_000
        assert budget.held <= 1_000_000 + 20 * ANSWER_RESERVE_BYTES
        for connection in connections:
            assert await connection.read()
            connection.close()
            connection.hold.close()
        assert (budget.held, budget.paused) == (0, 0)


async def test_a_target_that_aborts_an_unread_response_is_lost():
    """The rest of the response must not look complete, and the wait must end."""
    target = LongTarget()
    async with target as endpoint:
        connection = await TargetConnection.open(endpoint)
        await connection.request("GET", "/", (("host", "x"),), b"")
        await wait_stalled(target)
        target.writers[0].transport.abort()
        with pytest.raises(LinkLost):
            await read_to_none(connection)


async def test_closing_a_paused_connection_resets_it_at_once():
    """The target must stop its work although nothing is read from it."""
    target = LongTarget()
    async with target as endpoint:
        connection = await TargetConnection.open(endpoint)
        await connection.request("GET", "/", (("host", "x"),), b"")
        await wait_stalled(target)
        connection.close()
        async with asyncio.timeout(5.0):
            await target.ended.wait()
