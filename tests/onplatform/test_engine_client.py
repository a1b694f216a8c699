"""The steward's client of an engine: what the engine's answers say of the engine."""

import asyncio
import contextlib
import itertools
import json
import re

import pytest
from tests.processes.programs import wait_until

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.headers import Headers
from ibishead.links import Endpoint
from ibishead.platform.engines import PlatformEngine
from ibishead.web import Exchange, WebServer

REPORT = {"models": [], "busy": False, "seq": 3, "born": 7}


class Fixture:
    """An engine whose answers are set by the test, and its client.

    :ivar paths: paths of the requests that the engine has received.
    """

    def __init__(self) -> None:
        self.status, self.headers, self.body = 200, (), json.dumps(REPORT).encode()
        self.paths: list[str] = []
        self._server = WebServer(self._serve)

    async def __aenter__(self) -> "Fixture":
        endpoint = await self._server.start(Endpoint("127.0.0.1", 0))
        self.client = PlatformEngine(endpoint, SystemClock())
        return self

    async def __aexit__(self, *_) -> None:
        await self._server.stop(0.0)

    async def _serve(self, exchange: Exchange) -> None:
        self.paths.append(exchange.request.path)
        await exchange.respond(self.status, self.headers, self.body)


@pytest.mark.parametrize(
    ("headers", "state", "leaving"),
    [
        ((), "ready", False),
        ((("server-leaving", "1"),), "ready", True),
        ((("server-leaving", "0"),), "ready", False),
        ((), "draining", True),
        ((), "warming", False),
    ],
)
async def test_a_report_says_that_its_engine_leaves(
    headers: Headers, state: str, leaving: bool
):
    """Only its statements were read, and these can be lost or late."""
    async with Fixture() as fixture:
        fixture.headers = headers
        fixture.body = json.dumps({**REPORT, "state": state}).encode()
        assert (await fixture.client.read_state()).leaving is leaving


@pytest.mark.parametrize(
    ("text", "slowdown"), [("1,0,8,250", 2.5), ("1,0,8", None), ("1,0,8,x", None)]
)
async def test_a_report_tells_the_slowdown_of_its_host(text, slowdown):
    async with Fixture() as fixture:
        fixture.headers = (("server-load", text),)
        assert (await fixture.client.read_state()).slowdown == slowdown


@pytest.mark.parametrize(
    ("status", "text", "requests"),
    [
        (503, "0.4", 1),
        (503, "0", 3),
        (503, "-3", 3),
        (503, "nan", 3),
        (503, "1e12", 3),
        (503, "soon", 3),
        (200, "0.4", 3),
    ],
)
async def test_the_steward_sends_nothing_to_its_engine_in_a_rest(
    status: int, text: str, requests: int
):
    """A report was read again at once, and a health check three times a second."""
    async with Fixture() as fixture:
        fixture.status, fixture.headers = status, (("retry-after", text),)
        await ask(fixture.client.read_state())
        await ask(fixture.client.read_state())
        await ask(fixture.client.read_target_id("/healthz"))
        assert len(fixture.paths) == requests
        await asyncio.sleep(fixture.client.find_rest())
        fixture.status = 200
        assert (await fixture.client.read_state()).born == REPORT["born"]


def encode(status: int, request: str | None, body: bytes) -> bytes:
    named = f"Request-Id: {request}\r\n" if request is not None else ""
    head = f"HTTP/1.1 {status} X\r\n{named}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class DoublingEngine:
    """Sends each answer a second time, before or after the next request arrives.

    :ivar connections: number of connections that were opened.
    """

    def __init__(self, early: bool, named: bool) -> None:
        self._early = early
        self._named = named
        self._orders = itertools.count(1)
        self.connections = 0

    async def __aenter__(self) -> PlatformEngine:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return PlatformEngine(Endpoint("127.0.0.1", port), SystemClock())

    async def __aexit__(self, *_) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        late = b""
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                writer.write(late)
                found = re.search(r"request-id: (\S+)", head)
                request = found.group(1) if found and self._named else None
                body = json.dumps({**REPORT, "seq": next(self._orders)}).encode()
                answer = encode(200, request, body)
                writer.write(answer)
                late = b"" if self._early else answer
                if self._early:
                    await asyncio.sleep(0.02)
                    writer.write(answer)


@pytest.mark.parametrize(("early", "named"), [(True, False), (True, True)])
async def test_a_second_answer_before_the_next_request_closes_the_connection(
    early, named
):
    """Each later answer was read in place of the next one."""
    engine = DoublingEngine(early, named)
    async with engine as client:
        for number in (1, 2, 3):
            assert (await client.read_state()).sequence == number
            await wait_until("the connection closes", lambda: client._connection.closed)
        assert engine.connections == 3


async def test_a_second_answer_after_the_next_request_is_not_taken_for_its_own():
    """An engine's state was known one report late."""
    engine = DoublingEngine(early=False, named=True)
    async with engine as client:
        assert (await client.read_state()).sequence == 1
        with pytest.raises(LinkLost, match="names another request"):
            await client.read_state()
        assert (await client.read_state()).sequence == 3


async def ask(answer) -> None:
    with contextlib.suppress(LinkLost):
        await answer
