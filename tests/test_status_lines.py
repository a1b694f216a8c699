"""Responses whose status line isn't valid HTTP/1.1, on all connections to targets."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator

import pytest
from tests.gateway.test_broken_exchanges import (
    EMPTY,
    STAMP,
    RawFixture,
    respond_and,
)

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.ids import HostId, ModelName, TargetId
from ibishead.links import Endpoint
from ibishead.platform.engines import PlatformEngine
from ibishead.routing.targets import WeightKey
from ibishead.steward.engine import OrderOutcome, WeightOrder
from ibishead.webclient import ClientConnection

INVALID = (
    b"HTTP/1.1 000",
    b"HTTP/1.1 001",
    b"HTTP/1.1 099",
    b"HTTP/1.1 101",
    b"HTTP/1.1 600",
    b"HTTP/1.1 999",
    b"HTTP/1.1 1000",
    b"HTTP/1.1 20",
    b"HTTP/2.0 200",
    b"HTTP/0.9 200",
    b"HTTP/3.1 200",
)
VALID = (
    (b"HTTP/1.1 200", 200),
    (b"HTTP/1.0 200", 200),
    (b"HTTP/1.2 200", 200),
    (b"HTTP/1.1 299", 299),
    (b"HTTP/1.1 404", 404),
    (b"HTTP/1.1 599", 599),
)


def encode_response(status_line: bytes, request: str = "r1") -> bytes:
    head = (" X", f"Request-Id: {request}", STAMP, "Instance-Id: i1", EMPTY, "", "")
    return status_line + "\r\n".join(head).encode()


@contextlib.asynccontextmanager
async def serve(status_line: bytes) -> AsyncIterator[Endpoint]:
    """Run a server that answers each connection's first request, by its id."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        found = re.search(rb"request-id: (\w+)", head)
        request = found[1].decode() if found else "r1"
        writer.write(encode_response(status_line, request))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield Endpoint(*server.sockets[0].getsockname())
    finally:
        server.close()


@pytest.mark.parametrize("status_line", INVALID)
async def test_gateway_passes_no_invalid_status_on(status_line):
    """Guards against bytes that are no answer and reach the caller as one."""
    script = respond_and(encode_response(status_line), "keep")
    async with RawFixture(script) as fixture:
        status, body = await fixture.ask(**{"deadline-ms": "500"})
    assert (status in (502, 504), len(fixture.heads)) == (True, 1)
    assert fixture.arrivals == []


@pytest.mark.parametrize(("status_line", "status"), VALID)
async def test_gateway_passes_valid_statuses_on(status_line, status):
    script = respond_and(encode_response(status_line), "keep")
    async with RawFixture(script) as fixture:
        assert await fixture.ask(**{"deadline-ms": "500"}) == (status, b"")


@pytest.mark.parametrize("status_line", INVALID)
async def test_own_wire_takes_no_invalid_status(status_line):
    """Guards against an agent that takes such bytes for its target's answer."""
    async with serve(status_line) as endpoint:
        connection = await ClientConnection.open(endpoint)
        with pytest.raises(LinkLost):
            await connection.ask("POST", "/v1/run")
        assert connection.closed


@pytest.mark.parametrize(("status_line", "status"), VALID)
async def test_own_wire_takes_valid_statuses(status_line, status):
    async with serve(status_line) as endpoint:
        connection = await ClientConnection.open(endpoint)
        assert (await connection.ask("POST", "/v1/run")).status == status
        connection.close()


@pytest.mark.parametrize("status_line", INVALID)
async def test_steward_takes_no_invalid_status(status_line):
    """Guards against orders, reports and health checks that seem to be answered."""
    async with serve(status_line) as endpoint:
        engine = PlatformEngine(endpoint, SystemClock())
        with pytest.raises(LinkLost, match="was lost"):
            await engine.read_state()
        with pytest.raises(LinkLost, match="was lost"):
            await engine.read_target_id("/healthz")
        key = WeightKey(ModelName("m"), "a1")
        order = WeightOrder(True, key, 0, 0, HostId("s"), 1, TargetId("t"))
        assert await engine.send_order(order, 0.5) is OrderOutcome.UNKNOWN
