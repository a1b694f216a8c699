"""Targets and callers that break off or overlap their messages.

A request that may run once reaches a second target, or is answered as not run, only if
a whole head names it and states that it has not run.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from tests.gateway.test_pipeline import (
    ONCE,
    SAFE,
    STREAM,
    Fixture,
    respond,
)

from ibishead.gateway import sending
from ibishead.ids import TargetId
from ibishead.sockets import reset_on_close

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

#: Longer than the buffers of a loopback connection.
LONG_BODY = b"x" * 6_000_000


def move_target(fixture: Fixture, server: asyncio.Server) -> str:
    """Let a server be the target ``t0``, and return its address."""
    address = "{}:{}".format(*server.sockets[0].getsockname())
    target = fixture.feed.view.get(TargetId("t0"))
    moved = msgspec.structs.replace(target, address=address, sequence=2)
    fixture.feed.view.merge(moved, 0.0)
    return address


class RawFixture(Fixture):
    """A gateway with a target ``t0`` that handles its connections by a script.

    The other target responds.

    :ivar heads: heads of the requests that ``t0`` received.
    """

    def __init__(self, script: Script, **changes) -> None:
        super().__init__(ONCE, respond, software=("v1", "v1"), **changes)
        self._script = script
        self.heads: list[bytes] = []

    async def __aenter__(self) -> "RawFixture":
        await super().__aenter__()
        self._raw = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.raw_address = move_target(self, self._raw)
        return self

    async def __aexit__(self, *_) -> None:
        self._raw.close()
        await super().__aexit__()

    async def _handle(self, reader, writer) -> None:
        try:
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            await self._script(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def send(self, *parts: bytes, end: bool = False) -> bytes:
        """Send bytes to the gateway in parts, and return all that it answers.

        :param end: the caller sends nothing more, which the gateway notices.
        """
        reader, writer = await asyncio.open_connection(
            self.endpoint.address, self.endpoint.port
        )
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        if end:
            writer.write_eof()
        received = await reader.read()
        writer.close()
        return received


def encode_request(*headers: str, request: str = "r1", body: bytes = b"") -> bytes:
    lines = ("POST /p/x HTTP/1.1", "Host: nets.example", f"Request-Id: {request}")
    head = "\r\n".join((*lines, "Deadline-Ms: 500", *headers, "", ""))
    return head.encode() + body


def encode_last(body: bytes, request: str = "r1") -> bytes:
    """Return a request after whose answer the connection is closed."""
    headers = (f"Content-Length: {len(body)}", "Connection: close")
    return encode_request(*headers, request=request, body=body)


def answer(status: int, *lines: str, end: bytes = b"\r\n") -> bytes:
    head = (f"HTTP/1.1 {status} X", "Request-Id: r1", *lines, "")
    return "\r\n".join(head).encode() + end


def respond_and(data: bytes, then: str = "close", wait: float = 0.05) -> Script:
    """Return a target that sends bytes, and then closes, resets or keeps silent."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(wait)
        match then:
            case "reset":
                reset_on_close(writer.transport)
                writer.transport.abort()
            case "keep":
                await reader.read()

    return run


PROOF = "Not-Executed: 1"
STAMP = "Response-Stamp: s"
EMPTY = "Content-Length: 0"


@pytest.mark.parametrize("then", ["close", "reset", "keep"])
@pytest.mark.parametrize(
    ("data", "proof"),
    [
        pytest.param(answer(503, PROOF, EMPTY), True, id="refusal"),
        pytest.param(answer(503, PROOF, "Content-Length: 9"), True, id="no body"),
        pytest.param(
            answer(503, PROOF, "Content-Length: 9", end=b"\r\nabc"), True, id="cut body"
        ),
        pytest.param(
            answer(503, PROOF, "Transfer-Encoding: chunked", end=b"\r\n9\r\nab"),
            True,
            id="cut chunk",
        ),
        pytest.param(answer(500, PROOF, EMPTY), True, id="500 with proof"),
        pytest.param(answer(504, PROOF, EMPTY), True, id="504 with proof"),
        pytest.param(answer(421, EMPTY), True, id="421"),
        pytest.param(answer(503, PROOF, EMPTY, end=b""), False, id="cut head"),
        pytest.param(answer(421, end=b""), False, id="cut head of 421"),
        pytest.param(b"HTTP/1.1 503 X\r\n", False, id="status line"),
        pytest.param(b"", False, id="nothing"),
        pytest.param(answer(100, PROOF), False, id="100"),
        pytest.param(answer(103, PROOF) * 2, False, id="103"),
        pytest.param(answer(101, PROOF), False, id="101"),
        pytest.param(answer(503, EMPTY), False, id="no proof"),
        pytest.param(answer(503, STAMP, EMPTY), False, id="stamp"),
        pytest.param(answer(408, STAMP, EMPTY), False, id="408"),
        pytest.param(answer(429, STAMP, EMPTY), False, id="429"),
        pytest.param(
            b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 1"
            + answer(200, STAMP, EMPTY),
            False,
            id="cut head and answer",
        ),
        pytest.param(
            b"HTTP/1.1 421 Misdirected" + answer(200, STAMP, EMPTY),
            False,
            id="cut status line and answer",
        ),
        pytest.param(answer(503, f"X: y\r\n {PROOF}", EMPTY), False, id="folded"),
        pytest.param(
            answer(503, "Transfer-Encoding: chunked", end=b"\r\n0\r\n")
            + PROOF.encode()
            + b"\r\n\r\n",
            False,
            id="trailer",
        ),
        pytest.param(
            b"HTTP/1.1 503 X\r\nRequest-Id: r0\r\nRequest-Id: r1\r\n"
            b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            False,
            id="two ids",
        ),
        pytest.param(
            b"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nRequest-Id: r0\r\n"
            b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            False,
            id="two ids, own first",
        ),
    ],
)
async def test_only_a_whole_head_proves_that_a_request_has_not_run(data, proof, then):
    """A response that was broken off counted as a refusal."""
    async with RawFixture(respond_and(data, then)) as fixture:
        received = await fixture.ask(**{"deadline-ms": "500"})
        assert len(fixture.heads) == 1
        assert fixture.arrivals == ["r1"] * proof
        if proof:
            assert received == (200, b"done")
        else:
            assert received[0] in (502, 504)


@pytest.mark.parametrize(
    ("data", "proof"),
    [
        (answer(503, PROOF, EMPTY), True),
        (answer(413, PROOF, EMPTY), True),
        (answer(421, EMPTY), True),
        (answer(503, STAMP, EMPTY), False),
        (b"", False),
    ],
)
@pytest.mark.parametrize("then", ["close", "reset", "keep"])
async def test_an_answer_before_the_end_of_a_long_body(data, proof, then):
    """The send counted as not run, or the rest of the body went to the next one."""
    async with RawFixture(respond_and(data, then)) as fixture:
        request = encode_last(LONG_BODY)
        received = await fixture.send(request)
        assert len(fixture.heads) == 1
        assert fixture.arrivals == ["r1"] * proof
        status = received.split(b" ", 2)[1]
        assert status == b"200" if proof else status in (b"502", b"504")
        if data:
            assert fixture.raw_address not in fixture.pool._idle


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param((encode_request("Content-Length: 9"), b"abc"), id="length"),
        pytest.param(
            (encode_request("Transfer-Encoding: chunked"), b"3\r\nabc\r\n"), id="chunks"
        ),
        pytest.param(
            (encode_request("Transfer-Encoding: chunked"), b"9\r\nabc"), id="chunk"
        ),
        pytest.param((encode_request()[:-2],), id="head"),
    ],
)
async def test_a_request_that_its_caller_breaks_off_is_not_sent(parts):
    """A target would run a part of it."""
    async with RawFixture(respond_and(answer(200, STAMP, EMPTY))) as fixture:
        received = await fixture.send(*parts, end=True)
        assert received.split(b" ", 2)[1:2] in ([], [b"400"])
        assert fixture.heads == fixture.arrivals == []


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize(
    "first",
    [answer(503, PROOF, EMPTY, "Connection: close"), answer(503, EMPTY), b""],
    ids=["refused", "no proof", "nothing"],
)
async def test_requests_sent_ahead_get_their_own_answers(first, together):
    """The second request was answered with what became of the first."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(2)
        if b"r1" not in fixture.heads[-1]:
            writer.write(answer(200, STAMP, EMPTY).replace(b"r1", b"r2"))
        else:
            await respond_and(first, wait=0.1)(reader, writer)

    ahead = encode_request("Content-Length: 2", body=b"hi")
    last = encode_last(b"ho", request="r2")
    parts = (ahead + last,) if together else (ahead, last)
    async with RawFixture(run) as fixture:
        fixture._behaviours = [respond, respond]
        received = await fixture.send(*parts)
        statuses = [part.split(b" ", 2)[1] for part in received.split(b"HTTP/1.1")[1:]]
        proof = PROOF.encode() in first
        assert statuses == [b"200" if proof else b"502", b"200"]
        assert fixture.arrivals.count("r1") == proof
        assert fixture.arrivals.count("r2") + len(fixture.heads) == 2


class StoppedTarget(asyncio.Protocol):
    """A target that stands still from its first connection or its first answer on.

    :param answers: number of requests that it answers before.
    :ivar received: what it reads after it goes on.
    """

    def __init__(self, answers: int) -> None:
        self._answers = answers
        self._transports: list[asyncio.Transport] = []
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transports.append(transport)
        if not self._answers:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        if self._answers and data.endswith(b"body"):
            self._answers -= 1
            self._transports[-1].write(answer(200, STAMP, EMPTY))
            self._transports[-1].pause_reading()
        else:
            self.received += data

    def go_on(self) -> None:
        for transport in self._transports:
            transport.resume_reading()


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(
    ("kind", "patience", "status", "others"),
    [
        pytest.param(ONCE, 5.0, 504, 0, id="deadline"),
        pytest.param(STREAM, 5.0, 504, 0, id="deadline of a stream"),
        pytest.param(ONCE, 0.2, None, 0, id="caller leaves"),
        pytest.param(SAFE, 5.0, 200, 1, id="sent again"),
    ],
)
async def test_a_request_at_a_target_that_stands_still_is_not_refused(
    kind, patience, status, others, kept, monkeypatch
):
    """It may run when the target goes on, after its caller was told that it won't."""
    monkeypatch.setattr(sending, "MIN_SILENCE_SECONDS", 0.2)
    stopped = StoppedTarget(int(kept))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: stopped, "127.0.0.1", 0)
    async with Fixture(
        kind, respond, software=("v1", "v1"), attempts=2, objective=0.1
    ) as fixture:
        move_target(fixture, server)
        if kept:
            await fixture.ask()
        found = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience):
                found, _ = await fixture.ask(**{"request-id": "r2"})
        assert found == status
        await asyncio.sleep(0.1)
        stopped.go_on()
        await asyncio.sleep(0.1)
        assert fixture.arrivals == ["r2"] * others
    server.close()
