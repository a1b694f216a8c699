"""Answers that are long or whose callers read slowly, through a gateway's pipeline."""

import asyncio
import gc
import weakref

import pytest
from tests.gateway.test_pipeline import (
    ONCE,
    SAFE,
    STREAM,
    Behaviour,
    Fixture,
    reset,
    respond,
    stream_completely,
)

from ibishead.decisions.heldbytes import AnswerBudget
from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.headers import find_header
from ibishead.web import Exchange, Limits

BUDGET = 400_000
BODY = bytes(range(250)) * 8000

#: Events of a stream that is longer than the kernel's buffers of both connections.
EVENTS, EVENT_BYTES = 1600, 16_000

HEAD = (("host", "nets.example"), ("request-id", "r1"), ("deadline-ms", "15000"))


def make_own_headers(request: str):
    return (("request-id", request), ("response-stamp", "s"))


async def respond_long(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, make_own_headers(request), BODY)


async def respond_long_and_reset(exchange: Exchange, request: str) -> None:
    await exchange.start(200, make_own_headers(request))
    await exchange.send(BODY)
    await reset(exchange, request)


async def stream_large_event(exchange: Exchange, request: str) -> None:
    await exchange.start(200, make_own_headers(request))
    await exchange.send(b"id: 1\ndata: %b" % (b"x" * BUDGET))
    await exchange.disconnected.wait()


def stream_events(patience: float) -> Behaviour:
    """Return a target that aborts a stream that remains unread for some seconds."""

    async def stream(exchange: Exchange, request: str) -> None:
        first = int(find_header(exchange.request.headers, "last-event-id") or 0) + 1
        await exchange.start(200, make_own_headers(request))
        for number in range(first, EVENTS + 1):
            try:
                async with asyncio.timeout(patience):
                    await exchange.send(make_event(number))
            except TimeoutError:
                await reset(exchange, request)
                return
        await exchange.finish()

    return stream


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)


async def read_to_end(connection: TargetConnection) -> bytes:
    parts = []
    while (part := await connection.read()) is not None:
        parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("limit", [None, BUDGET])
async def test_a_long_answer_reaches_its_caller_whole(limit):
    """An answer for which there is no room must be passed on, not refused or cut."""
    answers = AnswerBudget(limit)
    async with Fixture(ONCE, respond_long, answers=answers, timeout=9.0) as fixture:
        assert await fixture.ask(**{"deadline-ms": "8000"}) == (200, BODY)
        assert answers.held == 0


@pytest.mark.parametrize(("limit", "sends"), [(None, 2), (BUDGET, 1)])
async def test_a_long_answer_that_was_passed_on_in_part_is_not_resent(limit, sends):
    """The caller would get the start of one run and the end of another."""
    answers = AnswerBudget(limit)
    async with Fixture(
        SAFE, respond_long_and_reset, respond, answers=answers, attempts=2
    ) as fixture:
        if limit is None:
            assert await fixture.ask() == (200, b"done")
        else:
            with pytest.raises(LinkLost):
                await fixture.ask()
        assert len(fixture.arrivals) == sends
        assert answers.held == 0


async def test_an_event_for_which_there_is_no_room_ends_its_stream():
    """A target that never ends an event would fill the memory."""
    answers = AnswerBudget(BUDGET)
    async with Fixture(
        STREAM,
        stream_large_event,
        stream_completely,
        answers=answers,
        attempts=2,
        resumable=True,
    ) as fixture:
        assert (await fixture.ask())[0] == 502
        assert len(fixture.arrivals) == 1
        assert answers.held == 0


async def test_a_caller_that_stays_stalled_is_reset_and_its_target_stopped():
    """An engine would go on for nobody, and the answer could look complete."""
    answers = AnswerBudget(BUDGET)
    async with Fixture(
        STREAM, stream_events(60.0), answers=answers, timeout=60.0
    ) as fixture:
        fixture._web.limits = Limits(write_seconds=0.3)
        connection = await TargetConnection.open(fixture.endpoint)
        status, _ = await connection.request("POST", "/p/x", HEAD, b"")
        assert status == 200
        connection._transport.pause_reading()
        async with asyncio.timeout(30.0):
            while any(target.connection_count for target in fixture._targets):
                assert answers.held <= BUDGET
                await asyncio.sleep(0.02)
        connection._transport.resume_reading()
        with pytest.raises(LinkLost, match="reset"):
            await read_to_end(connection)
        assert (answers.held, answers.paused) == (0, 0)


async def test_what_a_caller_left_unread_is_freed_without_garbage_collection():
    """Full collections are rare, so unread answers would pile up until the next one."""
    left: list[weakref.ref] = []
    async with Fixture(STREAM, stream_events(60.0), timeout=60.0) as fixture:

        async def serve(exchange: Exchange) -> None:
            left.append(weakref.ref(exchange))
            await fixture.pipeline.serve(exchange)

        fixture._web.handler = serve
        connection = await TargetConnection.open(fixture.endpoint)
        await connection.request("POST", "/p/x", HEAD, b"")
        connection._transport.pause_reading()
        gc.disable()
        try:
            # the gateway has to wait for the caller as it leaves
            await asyncio.sleep(0.3)
            connection.close()
            async with asyncio.timeout(30.0):
                while fixture._web.connection_count:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)
            assert [reference() for reference in left] == [None]
        finally:
            gc.enable()


@pytest.mark.parametrize("resumable", [False, True])
async def test_a_stream_that_its_target_aborts_unread(resumable):
    """It continues elsewhere where the route allows it, and is aborted otherwise."""
    async with Fixture(
        STREAM,
        stream_events(0.3),
        stream_events(60.0),
        answers=AnswerBudget(BUDGET),
        attempts=2,
        resumable=resumable,
        timeout=60.0,
    ) as fixture:
        connection = await TargetConnection.open(fixture.endpoint)
        status, _ = await connection.request("POST", "/p/x", HEAD, b"")
        assert status == 200
        connection._transport.pause_reading()
        async with asyncio.timeout(30.0):
            while any(target.connection_count for target in fixture._targets):
                await asyncio.sleep(0.02)
        connection._transport.resume_reading()
        if resumable:
            events = b"".join(make_event(n + 1) for n in range(EVENTS))
            assert await read_to_end(connection) == events
        else:
            with pytest.raises(LinkLost):
                await read_to_end(connection)
        assert len(fixture.arrivals) == 1 + resumable
