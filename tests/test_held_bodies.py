"""Request bodies for which a server has no room, and callers that stop reading."""

import asyncio
import json
import socket

import pytest

from ibishead.decisions.heldbytes import SMALL_BODY_BYTES, BodyBudget
from ibishead.links import Endpoint
from ibishead.web import Exchange, Limits, WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)
LARGE = 300_000

#: Room for one large body at a time.
BUDGET = 1_000_000


class Server:
    """A server that answers once it is told to, and counts the handled requests."""

    def __init__(self, **limits) -> None:
        self.budget = BodyBudget(BUDGET)
        self.proceed = asyncio.Event()
        self.handled = 0
        self._limits = Limits(body_bytes=LARGE, **limits)

    async def __aenter__(self) -> "Server":
        self._server = WebServer(self._answer, self._limits, bodies=self.budget)
        self.endpoint = await self._server.start(LOOPBACK)
        return self

    async def __aexit__(self, *_) -> None:
        await self._server.stop(0.0)

    async def _answer(self, exchange: Exchange) -> None:
        self.handled += 1
        await self.proceed.wait()
        await exchange.respond(200, (), exchange.request.body)

    async def connect(self, data: bytes):
        reader, writer = await asyncio.open_connection(
            self.endpoint.address, self.endpoint.port
        )
        writer.write(data)
        return reader, writer

    async def wait_held(self, held: bool) -> None:
        async with asyncio.timeout(10.0):
            while bool(self.budget.held) != held:
                await asyncio.sleep(0.01)


def make_head(length: int, *lines: str) -> bytes:
    sent = (f"Content-Length: {length}", *lines) if length else lines
    return "\r\n".join(("POST / HTTP/1.1", "Host: x", *sent, "", "")).encode()


CHUNKED = make_head(0, "Transfer-Encoding: chunked")
CHUNK = b"%x\r\n%b\r\n" % (SMALL_BODY_BYTES, b"x" * SMALL_BODY_BYTES)


@pytest.mark.parametrize(
    "data",
    [
        make_head(LARGE),
        make_head(LARGE) + b"x" * (LARGE - 1),
        make_head(LARGE, "Expect: 100-continue"),
        CHUNKED + CHUNK * 2,
        make_head(LARGE, "Bad: \xff"),
    ],
    ids=["unsent", "sent", "expecting", "chunked", "not-utf-8"],
)
async def test_a_body_without_room_is_refused_before_it_is_read(data):
    """Bodies that arrive slowly would fill the memory; the others still get through."""
    async with Server() as server:
        _, first = await server.connect(make_head(LARGE) + b"x")
        await server.wait_held(True)
        before = server.budget.held
        reader, writer = await server.connect(data)
        answer = b""
        async with asyncio.timeout(10.0):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: 1\r\n" in answer.lower()
        assert b"connection: close" in answer.lower()
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["remedy"]
        assert (server.budget.refused, server.budget.held) == (1, before)
        server.proceed.set()
        body = b"x" * SMALL_BODY_BYTES
        small = make_head(len(body), "Connection: close")
        reader, other = await server.connect(small + body)
        assert (await reader.read()).endswith(body)
        assert server.handled == 1
        for connection in (first, writer, other):
            connection.close()
        await server.wait_held(False)


@pytest.mark.parametrize("head", [make_head(LARGE), CHUNKED])
@pytest.mark.parametrize("end", ["late", "lost"])
async def test_a_body_that_does_not_end_releases_its_room(head, end):
    """A slow or vanished caller would keep its room for good."""
    seconds = 0.1 if end == "late" else 60.0
    async with Server(body_seconds=seconds) as server:
        reader, writer = await server.connect(head + CHUNK)
        await server.wait_held(True)
        if end == "late":
            assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
        writer.close()
        await server.wait_held(False)
        assert server.handled == 0


async def test_room_is_held_until_the_request_ends():
    async with Server() as server:
        expecting = make_head(LARGE, "Expect: 100-continue")
        reader, writer = await server.connect(expecting)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(b"x" * LARGE)
        while not server.handled:
            await asyncio.sleep(0.01)
        assert server.budget.held == 2 * LARGE
        server.proceed.set()
        await server.wait_held(False)
        # the connection remains usable
        writer.write(make_head(1, "Connection: close") + b"y")
        assert (await reader.read()).endswith(b"y")
        writer.close()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("whole", [False, True])
async def test_a_caller_that_stops_reading_is_reset(version, whole):
    """An orderly close would make the part that was sent look like a whole answer."""
    ended = asyncio.Event()

    async def answer(exchange: Exchange) -> None:
        exchange._connection._writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        try:
            if whole:
                await exchange.start(200, ())
                await exchange.send(b"x" * 60_000)
                await exchange.finish()
            else:
                await exchange.start(200, ())
                while True:
                    await exchange.send(b"x" * 20_000)
        finally:
            ended.set()

    server = WebServer(answer, Limits(write_seconds=0.2))
    endpoint = await server.start(LOOPBACK)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (endpoint.address, endpoint.port))
    close = "Connection: close\r\n"
    request = f"GET / HTTP/{version}\r\nHost: x\r\n{close}\r\n"
    await loop.sock_sendall(caller, request.encode())
    async with asyncio.timeout(10.0):
        await ended.wait()
        while server.connection_count:
            await asyncio.sleep(0.01)
    received = b""
    try:
        while data := await loop.sock_recv(caller, 65536):
            received += data
        reset = False
    except ConnectionResetError:
        reset = True
    caller.close()
    assert reset or (version == "1.1" and not received.endswith(b"0\r\n\r\n"))
    await server.stop(0.0)
