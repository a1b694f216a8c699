"""Late second copies of responses, sent where the next response is expected."""

import asyncio
import logging

import pytest
from tests.gateway.test_pipeline import (
    ONCE,
    SAFE,
    STREAM,
    WHOLE_STREAM,
    Behaviour,
    Fixture,
    fail_stamped,
    never_respond,
    refuse,
    refuse_with_status,
    reset,
    respond,
    respond_with_limit,
    stream_completely,
    stream_unframed,
)

from ibishead.gateway.connection import MAX_SKIPPED_BYTES
from ibishead.gateway.responses import MAX_SKIPPED_RESPONSES
from ibishead.web import Exchange

NOT_EXECUTED = "Not-Executed: 1"
LENGTH = "Content-Length: 4"


def encode_late(status: int, *headers: str, body: bytes = b"late") -> bytes:
    """Return a second response to the request ``r1``."""
    lines = (f"HTTP/1.1 {status} X", "Request-Id: r1", "Response-Stamp: s", *headers)
    return "\r\n".join((*lines, "", "")).encode() + body


def send_first(data: bytes, behaviour: Behaviour) -> Behaviour:
    """Return a target that sends bytes before it handles the request."""

    async def send(exchange: Exchange, request: str) -> None:
        exchange._connection._writer.write(data)
        await behaviour(exchange, request)

    return send


async def ask_twice(fixture: Fixture) -> tuple[int, bytes]:
    """Send two requests over one connection to the target; return the last answer."""
    await fixture.ask()
    assert [len(idle) for idle in fixture.pool._idle.values()] == [1]
    answer = await fixture.ask(**{"request-id": "r2"})
    assert fixture.arrivals == ["r1", "r2"]
    return answer


class LateRefuser:
    """A target that refuses the previous request of a connection before it responds."""

    def __init__(self) -> None:
        self._previous: dict[object, str] = {}

    async def __call__(self, exchange: Exchange, request: str) -> None:
        connection = exchange._connection
        if connection in self._previous:
            previous = self._previous[connection].encode()
            connection._writer.write(LATE_REFUSAL.replace(b"r1", previous))
        self._previous[connection] = request
        await respond(exchange, request)


async def wait_and_reset(exchange: Exchange, request: str) -> None:
    await asyncio.sleep(0.1)
    exchange._connection._writer.transport.abort()


LATE = encode_late(200, LENGTH)
LATE_REFUSAL = encode_late(503, NOT_EXECUTED, LENGTH)
LONG = "x" * MAX_SKIPPED_BYTES
INTERIM = b"HTTP/1.1 102 X\r\n\r\n"


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_a_late_refusal_says_nothing_of_the_next_request(status):
    """A caller was told that a request had not run, or it was sent elsewhere too."""
    late = send_first(encode_late(status, NOT_EXECUTED, LENGTH), respond)
    async with Fixture(ONCE, respond, late, software=("v1",)) as fixture:
        assert await ask_twice(fixture) == (200, b"done")


async def test_a_late_refusal_leads_to_no_second_run():
    """The request reached a second target while the first one ran it."""
    behaviours = (LateRefuser(),) * 8
    async with Fixture(ONCE, *behaviours, software=("v1", "v1")) as fixture:
        requests = [f"r{number}" for number in range(8)]
        for request in requests:
            assert await fixture.ask(**{"request-id": request}) == (200, b"done")
        assert fixture.arrivals == requests


async def test_a_late_refusal_names_no_rest_of_its_target():
    """Its request for rest was made for an earlier refusal and may have ended."""
    late = encode_late(503, NOT_EXECUTED, "Retry-After: 2", LENGTH)
    behaviours = (respond, send_first(late, respond), respond)
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        await ask_twice(fixture)
        assert await fixture.ask() == (200, b"done")


async def test_a_refusal_without_a_request_ends_no_rate_limit():
    """Its target got more requests than it takes, as the refusal names no limit."""
    unnamed = encode_late(503, NOT_EXECUTED, LENGTH).replace(b"Request-Id: r1\r\n", b"")
    behaviours = (respond_with_limit, send_first(unnamed, respond_with_limit), respond)
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        assert [(await fixture.ask())[0] for _ in range(3)] == [200, 502, 429]


@pytest.mark.parametrize(
    ("kind", "data", "behaviour", "status", "body"),
    [
        (ONCE, LATE, respond, 200, b"done"),
        (ONCE, LATE * MAX_SKIPPED_RESPONSES, respond, 200, b"done"),
        (ONCE, INTERIM + LATE + INTERIM, respond, 200, b"done"),
        (
            ONCE,
            encode_late(200, "Transfer-Encoding: chunked", body=b"1\r\nx\r\n0\r\n\r\n"),
            respond,
            200,
            b"done",
        ),
        (STREAM, LATE, stream_completely, 200, WHOLE_STREAM),
        (STREAM, LATE, stream_unframed(4), 200, WHOLE_STREAM),
        (ONCE, LATE, refuse, 429, None),
        (ONCE, LATE_REFUSAL, refuse, 429, None),
        (ONCE, LATE, wait_and_reset, 502, None),
        # it is not certain where these end, or whose they are
        (ONCE, LATE * (MAX_SKIPPED_RESPONSES + 1), respond, 502, None),
        (ONCE, LATE.replace(b"r1", b"r0"), respond, 502, None),
        (ONCE, LATE.replace(b"Request-Id: r1\r\n", b""), respond, 502, None),
        (ONCE, LATE_REFUSAL.replace(b"Request-Id: r1\r\n", b""), respond, 502, None),
        (ONCE, encode_late(200), respond, 502, None),
        (ONCE, encode_late(200, LENGTH, "Connection: close"), respond, 502, None),
        (ONCE, encode_late(200, "Content-Length: 9999"), respond, 502, None),
        (
            ONCE,
            encode_late(
                200, f"Content-Length: {len(LONG) + 1}", body=LONG.encode() + b"x"
            ),
            respond,
            502,
            None,
        ),
    ],
    ids=[
        "length",
        "several",
        "interim",
        "chunks",
        "stream",
        "stream without length",
        "refused",
        "refused twice",
        "reset",
        "too many",
        "unknown request",
        "no request",
        "refusal without request",
        "no length",
        "last of its connection",
        "cut",
        "too long",
    ],
)
async def test_the_response_after_a_late_one(kind, data, behaviour, status, body):
    """The caller's own response followed a late one and was thrown away."""
    first = stream_completely if kind is STREAM else respond
    behaviours = (first, send_first(data, behaviour))
    async with Fixture(kind, *behaviours, software=("v1",)) as fixture:
        found = await ask_twice(fixture)
        assert found[0] == status
        assert body is None or found[1] == body


async def test_a_connection_with_a_late_response_is_not_used_again():
    """Its target sends more responses than requests, and may send a further one."""
    behaviours = (respond, send_first(LATE, respond), respond)
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        await ask_twice(fixture)
        await fixture.ask(**{"request-id": "r3"})
        assert fixture.pool.opened == 2


async def test_a_late_response_to_a_request_without_body_is_not_skipped():
    """Its length describes no bytes, so the next response would be taken for them."""
    late = encode_late(200, LENGTH, body=b"")
    behaviours = (respond, send_first(late, respond))
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        await fixture.ask(method="HEAD")
        status, _ = await fixture.ask(**{"request-id": "r2"})
        assert (status, fixture.pool.opened) == (502, 1)


async def test_a_repeatable_request_is_resent_if_no_response_can_be_told():
    late = send_first(encode_late(200), respond)
    async with Fixture(SAFE, respond, late, respond, attempts=2) as fixture:
        await fixture.ask()
        assert await fixture.ask(**{"request-id": "r2"}) == (200, b"done")


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_a_refusal_of_the_request_itself_is_believed(status):
    """Sound targets refuse with these, and the request is sent to another one."""
    behaviours = (refuse_with_status(status), respond)
    async with Fixture(ONCE, *behaviours) as fixture:
        assert await fixture.ask() == (200, b"done")
        assert len(fixture.arrivals) == 2


async def test_a_response_of_another_request_is_logged_with_both_ids(caplog):
    """An operator finds the fault from the id of either request."""
    late = send_first(encode_late(200, LENGTH), respond)
    async with Fixture(ONCE, respond, late, software=("v1",)) as fixture:
        with caplog.at_level(logging.WARNING):
            await ask_twice(fixture)
    (line,) = (r for r in caplog.records if "does not name" in r.message)
    assert (line.request, line.named, line.target, line.status) == (
        "r2",
        "r1",
        "t0",
        200,
    )


@pytest.mark.parametrize(
    ("behaviour", "sent_to"),
    [
        (refuse_with_status(503), "t0 503 not_run"),
        (reset, "t0 - failed"),
        (fail_stamped(503), "t0 503 failed"),
        (never_respond, "t0 - pending"),
    ],
)
async def test_the_line_of_a_failed_request_names_its_sends(caplog, behaviour, sent_to):
    """Refusals, failures and time limits of a target looked alike in the log."""
    async with Fixture(ONCE, behaviour, software=("v1",)) as fixture:
        with caplog.at_level(logging.INFO):
            await fixture.ask(**{"deadline-ms": "300"})
    (line,) = (r for r in caplog.records if r.message == "request ended")
    assert line.sent_to == sent_to


async def test_a_late_refusal_says_nothing_of_a_later_request_with_its_id():
    """Callers that send a request again under its id had it run at two targets."""
    behaviours = (LateRefuser(),) * 3
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        for _ in behaviours:
            assert await fixture.ask() == (200, b"done")


async def test_a_late_refusal_says_nothing_of_a_later_head_request_with_its_id():
    """Connections don't remember such requests, so its refusal was believed."""
    behaviours = (LateRefuser(),) * 3
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        for _ in behaviours:
            assert await fixture.ask(method="HEAD") == (200, b"")
