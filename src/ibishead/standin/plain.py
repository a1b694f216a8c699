"""Stand-in for a plain service that echoes requests and counts executions."""

import asyncio

import msgspec

from ibishead.headers import find_header
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange, WebRequest

__all__ = ["Echo", "PlainService"]


class Echo(msgspec.Struct):
    """Response body of the service.

    :param execution: number of executions with the idempotency key of the request, or
        with its request id if it has no key; 1 for the first.
    """

    service: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: str
    execution: int


class PlainService:
    """Executes requests of any method and path, and echoes them.

    :param delay: seconds between the start of an execution and its response.
    :param ledger: records the executions.
    :param started: POSIX time of the process start, in seconds.
    """

    def __init__(self, name: str, delay: float, ledger: Ledger, started: float) -> None:
        self._name = name
        self._delay = delay
        self._ledger = ledger
        self._started = started

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
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
        request_id = find_header(request.headers, "x-request-id") or ""
        key = find_header(request.headers, "idempotency-key") or ""
        asked = f"{request.method} {request.target}"
        # An execution counts from its start: a response that is lost later does not
        # undo its effect
        self._ledger.add(RecordKind.STARTED, request=request_id, key=key, asked=asked)
        execution = self._ledger.count_executions(request=request_id, key=key)
        await asyncio.sleep(self._delay)
        self._ledger.add(RecordKind.FINISHED, request=request_id, key=key, asked=asked)
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
