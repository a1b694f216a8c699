"""The HTTP server answers, streams, and rejects invalid input with an error code."""

import asyncio
import contextlib
import json
import socket

import pytest

from ibishead.errors import LinkLost, Refused
from ibishead.links import Endpoint
from ibishead.web import Exchange, Limits, WebServer
from ibishead.webclient import ClientConnection

LOOPBACK = Endpoint("127.0.0.1", 0)
SMALL = Limits(
    header_bytes=1024,
    body_bytes=100,
    header_seconds=0.1,
    body_seconds=0.1,
    idle_seconds=5.0,
)


async def answer(exchange: Exchange) -> None:
    match exchange.request.path:
        case "/echo":
            await exchange.respond(200, (), exchange.request.body)
        case "/stream":
            await exchange.start(200, (("content-type", "text/plain"),))
            for n in range(3):
                await exchange.send(f"{n}\n".encode())
            await exchange.finish()
        case "/cut":
            await exchange.start(200, ())
            await exchange.send(b"half")
            raise ConnectionError("upstream")
        case "/refuse":
            raise Refused("full", "come back later")
        case _:
            raise ValueError("internal error")


@pytest.fixture
async def server():
    server = WebServer(answer, SMALL)
    endpoint = await server.start(LOOPBACK)
    yield endpoint
    await server.stop(grace=1.0)


@pytest.mark.parametrize(
    ("path", "status", "body"),
    [
        ("/echo", 200, b"hello"),
        ("/stream", 200, b"0\n1\n2\n"),
        ("/refuse", 429, None),
        ("/fault", 500, None),
    ],
)
async def test_answers(server, path, status, body):
    connection = await ClientConnection.open(server)
    for _ in range(2):
        response = await connection.ask("POST", path, (), b"hello")
        assert response.status == status
        data = await response.read()
        if body is None:
            assert json.loads(data)["error"]["remedy"]
        else:
            assert data == body
        assert connection.idle
    connection.close()


async def _send_raw(endpoint: Endpoint, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    writer.write(data)
    await writer.drain()
    received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nBad Header: y\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 4000 + b"\r\n\r\n", b"431"),
        (b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n", b"413"),
        (
            b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"C8\r\n" + b"a" * 200 + b"\r\n0\r\n\r\n",
            b"413",
        ),
        (b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", b"408"),
        (b"GET /echo HTTP/1.1\r\nHost: x\r\n", b"408"),
        (b"GET /echo HTTP/1.1\r\nHost: x\r\nA: \xff\r\n\r\n", b"400"),
    ],
    ids=lambda value: value[:24].decode("latin-1") if len(value) > 3 else "",
)
async def test_invalid_request_gets_an_error_answer_and_is_closed(server, data, status):
    received = await _send_raw(server, data)
    assert received.split(b" ", 2)[1] == status
    assert b"remedy" in received


@pytest.mark.parametrize(
    "line", [b"Authorization Token secret", b"Authorization: Token secret\x00"]
)
async def test_error_answer_does_not_quote_a_key(server, line):
    """A key with a typing error next to it would appear in logs of callers."""
    data = b"GET /echo HTTP/1.1\r\nHost: x\r\n" + line + b"\r\n\r\n"
    received = await _send_raw(server, data)
    assert b"illegal header line" in received
    assert b"secret" not in received


async def test_pipelined_requests_are_answered_in_order(server):
    first = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
    last = (
        b"POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Content-Length: 1\r\n\r\n2"
    )
    received = await _send_raw(server, first + first + last)
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.endswith(b"2")


async def test_truncated_answer_has_no_final_chunk(server):
    """A target fails in the middle of an answer without a content-length.

    With a final chunk, the caller would take the truncated answer for complete.
    """
    received = await _send_raw(server, b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n")
    assert b"half" in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_truncated_answer_to_an_http_1_0_caller_is_reset(server):
    """The end of the connection is all that shows such a caller the answer's end."""
    reader, writer = await asyncio.open_connection(server.address, server.port)
    writer.write(b"GET /cut HTTP/1.0\r\nHost: x\r\n\r\n")
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()


async def test_disconnect_of_the_caller_is_detected():
    detected = asyncio.Event()

    async def wait_for_disconnect(exchange: Exchange) -> None:
        await exchange.disconnected.wait()
        detected.set()
        await exchange.respond(200, ())

    server = WebServer(wait_for_disconnect, SMALL)
    endpoint = await server.start(LOOPBACK)
    _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await writer.drain()
    writer.close()
    await detected.wait()
    await server.stop(grace=1.0)


async def test_stop_finishes_answers_in_progress():
    """A planned stop that begins during a request must not truncate its answer."""
    started, proceed = asyncio.Event(), asyncio.Event()

    async def answer_slowly(exchange: Exchange) -> None:
        started.set()
        await proceed.wait()
        await exchange.respond(200, (), b"whole")

    server = WebServer(answer_slowly, SMALL)
    endpoint = await server.start(LOOPBACK)
    connection = await ClientConnection.open(endpoint)
    request = asyncio.create_task(connection.ask("GET", "/"))
    await started.wait()
    stopping = asyncio.create_task(server.stop(grace=5.0))
    await asyncio.sleep(0)
    proceed.set()
    response = await request
    assert await response.read() == b"whole"
    await stopping


@pytest.mark.parametrize("accepted", [False, True])
async def test_a_request_that_came_before_a_stop_is_answered(accepted):
    """A planned stop must not reset a connection whose request was already sent."""
    server = WebServer(answer)
    endpoint = await server.start(LOOPBACK)
    with socket.create_connection((endpoint.address, endpoint.port)) as caller:
        if accepted:
            await asyncio.sleep(0.05)
        caller.sendall(b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi")
        stopping = asyncio.create_task(server.stop(grace=5.0))
        caller.setblocking(False)
        response = b""
        while not response.endswith(b"hi"):
            data = await asyncio.get_running_loop().sock_recv(caller, 1000)
            assert data, response
            response += data
        assert b"connection: close" in response.lower()
        await stopping


async def test_a_stop_closes_idle_connections():
    server = WebServer(answer, Limits(idle_seconds=60.0))
    endpoint = await server.start(LOOPBACK)
    with socket.create_connection((endpoint.address, endpoint.port)):
        await asyncio.sleep(0.05)
        async with asyncio.timeout(5.0):
            await server.stop(grace=60.0)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((endpoint.address, endpoint.port))


async def test_a_long_last_answer_is_not_truncated_for_a_slow_reader():
    """Closing a connection with unsent data in its buffer would truncate the answer."""
    body = b"x" * 60_000

    async def answer(exchange):
        sock = exchange._connection._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await exchange.respond(200, (), body)

    server = WebServer(answer)
    endpoint = await server.start(Endpoint("127.0.0.1", 0))
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (endpoint.address, endpoint.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    await asyncio.sleep(0.3)
    received = await reader.read()
    assert received.endswith(body)
    writer.close()
    await server.stop(0.0)


async def test_unwanted_connections_are_closed_unread():
    """Their callers would wait here, instead of going elsewhere at once."""
    wanted, read = iter([True, False, True]), []
    server = WebServer(
        answer, SMALL, None, lambda: next(wanted), lambda: read.append(1)
    )
    endpoint = await server.start(LOOPBACK)
    request = b"POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    assert b"200" in await _send_raw(endpoint, request)
    with contextlib.suppress(ConnectionError):
        assert not await _send_raw(endpoint, request)
    assert b"200" in await _send_raw(endpoint, request)
    assert len(read) == 2
    await server.stop(grace=1.0)


@pytest.mark.parametrize(
    "data", [b"POST /echo HTTP/1.1\r\nhost: x\r\n\r\n", b"POST /", b"\0\r\n", b""]
)
async def test_each_accepted_connection_is_counted_until_its_answer(data):
    """A count that isn't returned would make the gateway refuse all callers."""
    begun, ended, answered = [], [], asyncio.Event()

    def end(work):
        ended.append(work)
        answered.set()

    def begin():
        begun.append(object())
        return begun[-1]

    server = WebServer(answer, SMALL, on_read=begin, on_answer=end)
    endpoint = await server.start(LOOPBACK)
    _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    writer.write(data)
    # Also the count of a silent caller is returned before its connection ends
    if data != b"POST /":
        await asyncio.wait_for(answered.wait(), 5.0)
    writer.close()
    await server.stop(grace=1.0)
    assert begun
    assert ended == begun


async def test_a_planned_stop_answers_all_queued_connections():
    """Callers whose requests may not be repeated would lose them in a planned stop."""
    accepting = [True]
    server = WebServer(answer, SMALL, accept=lambda: accepting[0])
    endpoint = await server.start(LOOPBACK)
    request = b"POST /echo HTTP/1.1\r\nhost: x\r\n\r\n"
    callers = []
    for _ in range(20):
        # blocking, so that the event loop accepts none before the stop
        callers.append(socket.create_connection((endpoint.address, endpoint.port)))
        callers[-1].sendall(request)
    accepting[0] = False
    await server.stop(grace=2.0)
    for caller in callers:
        with caller:
            assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")


async def test_events_in_quick_succession_share_packets():
    """A packet for each event took a third more processor time on small hosts."""
    options = []

    async def read_option(exchange: Exchange) -> None:
        accepted = exchange._connection._writer.get_extra_info("socket")
        options.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await exchange.respond(200, ())

    server = WebServer(read_option, SMALL)
    endpoint = await server.start(LOOPBACK)
    await _send_raw(endpoint, b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    await server.stop(grace=1.0)
    assert options == [0]


async def test_a_client_rejects_a_head_that_was_cut_before_another_one():
    """The status of the first answer was taken for that of the second."""

    async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 404 X\r\nDate: Mon")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(cut, "127.0.0.1", 0)
    endpoint = Endpoint(*server.sockets[0].getsockname())
    connection = await ClientConnection.open(endpoint)
    with pytest.raises(LinkLost):
        await connection.ask("GET", "/")
    assert connection.closed
    server.close()


async def test_a_request_read_while_its_connection_closes_is_not_handled():
    """It ran although its caller could get no answer."""
    handled = []

    async def record(exchange: Exchange) -> None:
        handled.append(exchange.request)
        await exchange.respond(200, ())

    server = WebServer(record)
    endpoint = await server.start(LOOPBACK)
    with socket.create_connection((endpoint.address, endpoint.port)) as caller:
        await asyncio.sleep(0.05)
        caller.sendall(b"POST /echo HTTP/1.1\r\nhost: x\r\n\r\n")
        await asyncio.sleep(0)
        await server.stop(grace=0.0)
        await asyncio.sleep(0.05)
        caller.setblocking(False)
        answered = bool(await asyncio.get_running_loop().sock_recv(caller, 1000))
    assert answered == bool(handled)
