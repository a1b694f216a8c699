"""Requests whose targets send bytes without end, at a gateway and at an agent."""

import functools

import pytest
from tests.endless.senders import CHUNKED, EndlessServer, repeat
from tests.gateway.test_pipeline import (
    ONCE,
    SAFE,
    STREAM,
    WHOLE_STREAM,
    Fixture,
    respond,
    stream_completely,
)

from ibishead.agent.target import TargetClient
from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.ids import BootId

STAMP = b"Request-Id: %s\r\nResponse-Stamp: s\r\n"
REFUSED = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + STAMP
FAILED = b"HTTP/1.1 500 Broken\r\n" + STAMP
OTHER = b"HTTP/1.1 200 OK\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + STAMP
CHUNK = b"1\r\nx\r\n"
ONE_CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"


def send_endlessly(head: bytes, piece: bytes):
    """Return a target that sends a head, and bytes until its caller closes."""

    async def send(exchange, request: str) -> None:
        writer = exchange._connection._writer
        writer.write(head.replace(b"%s", request.encode()))
        for block in repeat(piece):
            if exchange.disconnected.is_set() or writer.is_closing():
                return
            writer.write(block)
            try:
                await writer.drain()
            except ConnectionError:
                return

    return send


@pytest.mark.parametrize(
    ("kind", "head", "piece"),
    [
        (ONCE, REFUSED + b"\r\n", b"x"),
        (ONCE, REFUSED + CHUNKED, CHUNK),
        (ONCE, REFUSED + CHUNKED, ONE_CHUNK),
        (STREAM, REFUSED + CHUNKED, CHUNK),
        (SAFE, FAILED + CHUNKED, CHUNK),
        (SAFE, OTHER + CHUNKED, CHUNK),
        (SAFE, b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (SAFE, OK, b"X-More: y\r\n"),
        (STREAM, FAILED + CHUNKED, CHUNK),
        (STREAM, OK + CHUNKED, CHUNK),
    ],
    ids=[
        "refusal unframed",
        "refusal in one-byte chunks",
        "refusal in chunks",
        "refusal of a stream",
        "failure",
        "no answer of the target",
        "interim",
        "head",
        "failure of a stream",
        "stream without an event",
    ],
)
async def test_a_request_goes_to_another_target_after_bytes_without_end(
    kind, head, piece
):
    """A refusal was read until the deadline though another target was free."""
    answer = stream_completely if kind is STREAM else respond
    body = WHOLE_STREAM if kind is STREAM else b"done"
    changes = {"attempts": 2, "timeout": 20.0}
    if kind is STREAM:
        changes["resumable"] = True
    async with Fixture(kind, send_endlessly(head, piece), answer, **changes) as fixture:
        assert await fixture.ask(**{"deadline-ms": "20000"}) == (200, body)
        assert len(fixture.arrivals) == 2


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"{"),
        (b"HTTP/1.1 200 OK\r\n" + CHUNKED, CHUNK),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
    ids=["head", "unframed", "one-byte chunks", "interim"],
)
@pytest.mark.parametrize("call", ["sample", "adapters"])
async def test_an_agent_gives_up_a_probe_without_end(head, piece, call, monkeypatch):
    """Its memory would grow until the time-out of the probe."""
    monkeypatch.setattr("ibishead.agent.target.PROBE_TIMEOUT_SECONDS", 60.0)
    async with EndlessServer(head, piece) as server:
        client = TargetClient(server.endpoint, False, SystemClock())
        list_adapters = functools.partial(client.list_adapters, BootId(""))
        probe = client.sample if call == "sample" else list_adapters
        with pytest.raises(LinkLost):
            await probe()
    assert server.sent <= 24 * 1024 * 1024
