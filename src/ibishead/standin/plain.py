"""Stand-in for a plain service: it echoes, and its ledger counts executions."""

import asyncio

import msgspec

from ibishead.headers import find_header
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange, WebRequest

__all__ = ["Echo", "PlainService"]


class Echo(msgspec.Struct):
    """What the service answers with.

    :param execution: 1 for the first execution under this request's key, or under
        its id if it has no key.
    """

    service: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: str
    execution: int


class PlainService:
    """Answers any method and path; each answer stands for one execution.

    :param delay: seconds between the execution's start and its answer.
    """

    def __init__(self, name: str, delay: float, ledger: Ledger, started: float) -> None:
        self._name = name
        self._delay = delay
        self._ledger = ledger
        self._started = started

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        match exchange.request.path:
            case "/standin/ledger":
                await respond_json(exchange, 200, self._ledger.encode())
            case "/health":
                await respond_text(exchange, 200, "")
            case "/metrics":
                text = f"process_start_time_seconds {self._started:.6f}\n"
                await respond_text(exchange, 200, text)
            case _:
                await self._execute(exchange)

    async def _execute(self, exchange: Exchange) -> None:
        request = exchange.request
        number = find_header(request.headers, "x-request-id") or ""
        key = find_header(request.headers, "idempotency-key") or ""
        asked = f"{request.method} {request.target}"
        # The effect counts from its start: an answer that is lost later doesn't
        # take it back
        self._ledger.add(RecordKind.STARTED, request=number, key=key, asked=asked)
        execution = self._ledger.count_executions(request=number, key=key)
        await asyncio.sleep(self._delay)
        self._ledger.add(RecordKind.FINISHED, request=number, key=key, asked=asked)
        echo = _render(self._name, request, execution)
        await respond_json(exchange, 200, msgspec.json.encode(echo))


def _render(name: str, request: WebRequest, execution: int) -> Echo:
    return Echo(
        name,
        request.method,
        request.path,
        request.query,
        list(request.headers),
        request.body.decode("utf-8", "replace"),
        execution,
    )
