"""Clients of engines, whose bytes that are no answer come without end."""

import asyncio

import pytest
from tests.endless.senders import CHUNKED, EndlessServer, TurnCounter, count_events

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.framing import MAX_EVENTS_PER_TURN
from ibishead.gateway.connection import TargetConnection
from ibishead.gateway.events import EventSplitter
from ibishead.ids import HostId, ModelName, TargetId
from ibishead.platform import engines
from ibishead.platform.engines import PlatformEngine
from ibishead.routing.targets import WeightKey
from ibishead.steward.engine import OrderOutcome, WeightOrder
from ibishead.webclient import ClientConnection

OK = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
#: What sockets, stream readers and parsers may hold besides what is kept.
BUFFERED = 12 * 1024 * 1024

HEADS = [
    pytest.param(OK, b"X-More: y\r\n", id="headers"),
    pytest.param(b"", b"x", id="no line end"),
    pytest.param(b"", INTERIM, id="interim"),
    pytest.param(b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", id="hints"),
    pytest.param(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", b"x", id="upgrade"),
]
BODIES = [
    pytest.param(OK + b"\r\n", b"{", id="unframed"),
    pytest.param(OK + CHUNKED, b"1\r\nx\r\n", id="one-byte chunks"),
    pytest.param(OK + CHUNKED, b"8000\r\n" + b" " * 32768 + b"\r\n", id="chunks"),
    pytest.param(OK + b"Content-Length: 99999999999\r\n\r\n", b"\n", id="lines"),
]


@pytest.mark.parametrize(("head", "piece"), HEADS)
async def test_a_gateway_gives_up_a_head_without_end(head, piece):
    """The request waited until its deadline, and the event loop was held."""
    async with EndlessServer(head, piece) as server, TurnCounter() as turns:
        connection = await TargetConnection.open(server.endpoint)
        count_events(connection._state, turns)
        with pytest.raises(LinkLost):
            await connection.request("GET", "/", (("host", "x"),), b"")
        assert connection.closed
    assert turns.longest <= MAX_EVENTS_PER_TURN


@pytest.mark.parametrize(("head", "piece"), BODIES)
async def test_a_gateway_parses_a_body_without_end_in_short_turns(head, piece):
    """One-byte chunks held the event loop for 0.4 to 1.2 s at a time."""
    async with EndlessServer(head, piece) as server, TurnCounter() as turns:
        connection = await TargetConnection.open(server.endpoint)
        count_events(connection._state, turns)
        await connection.request("GET", "/", (("host", "x"),), b"")
        size = 0
        while size < 100_000:
            size += len(await connection.read() or b"")
        connection.close()
    assert turns.longest <= MAX_EVENTS_PER_TURN


async def test_a_gateway_keeps_nothing_that_follows_a_response():
    """They were kept until the response was read, as long as its caller takes."""
    whole = OK + b"Content-Length: 2\r\n\r\nok"
    async with EndlessServer(whole, b"x") as server:
        connection = await TargetConnection.open(server.endpoint)
        await connection.request("GET", "/", (("host", "x"),), b"")
        while not connection.closed:
            await asyncio.sleep(0.01)
        assert await connection.read() == b"ok"
        assert await connection.read() is None
    assert server.sent <= BUFFERED


@pytest.mark.parametrize(
    ("stream", "events"),
    [
        (b"id: 1\ndata: a\n\n" + b"x\n" * 40_000, 1),
        (b"\r" * 80_000, 0),
        (b"x" * 80_000, 0),
    ],
    ids=["lines", "line ends", "no line end"],
)
def test_an_event_without_end_is_held_and_scanned_once(stream, events):
    """All that was received was copied and scanned again with each further byte."""
    splitter, scanned = EventSplitter(), 0

    class Partial(bytearray):
        def rfind(self, sub, start=0, *more):
            nonlocal scanned
            scanned += len(self) - start
            return super().rfind(sub, start, *more)

    splitter._partial = Partial()
    for position in range(0, len(stream), 8):
        splitter.feed(stream[position : position + 8])
    assert splitter.count == events
    assert splitter.buffered_bytes >= 80_000
    assert scanned <= 4 * len(stream)


def make_order() -> WeightOrder:
    key = WeightKey(ModelName("m"), "a")
    return WeightOrder(True, key, 0, 0, HostId("s"), 1, TargetId("t"))


@pytest.mark.parametrize(("head", "piece"), [*HEADS, *BODIES])
@pytest.mark.parametrize("call", ["report", "health", "order"])
async def test_a_steward_gives_up_an_answer_without_end(head, piece, call, monkeypatch):
    """A report without end grew a steward from 35 to 137 MB within its time-out."""
    monkeypatch.setattr(engines, "ANSWER_TIMEOUT_SECONDS", 30.0)
    async with EndlessServer(head, piece) as server:
        engine = PlatformEngine(server.endpoint, SystemClock())
        match call:
            case "report":
                with pytest.raises(LinkLost):
                    await engine.read_state()
            case "health":
                with pytest.raises(LinkLost):
                    await engine.read_target_id("/healthz")
            case "order":
                assert (
                    await engine.send_order(make_order(), 30.0) is OrderOutcome.UNKNOWN
                )
    assert server.sent <= BUFFERED


@pytest.mark.parametrize(("head", "piece"), BODIES)
async def test_others_get_turns_while_a_client_reads_a_body_without_end(head, piece):
    async with EndlessServer(head, piece) as server, TurnCounter() as turns:
        connection = await ClientConnection.open(server.endpoint)
        count_events(connection._state, turns)
        answer = await connection.ask("GET", "/")
        with pytest.raises(LinkLost):
            await answer.read(1024 * 1024)
        connection.close()
    # an event may take a read besides
    assert turns.longest <= 3 * MAX_EVENTS_PER_TURN
