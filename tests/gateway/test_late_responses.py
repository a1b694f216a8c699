"""Late second copies of responses, sent where the next response is expected."""

import logging

from tests.gateway.test_pipeline import (
    ONCE,
    Behaviour,
    Fixture,
    respond,
)

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
    answer = await fixture.ask(**{"request-id": "r2"})
    assert fixture.pool.opened == 1
    assert fixture.arrivals == ["r1", "r2"]
    return answer


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
