"""Pages that an entry host answers itself: models, requests, explanations, health."""

import msgspec

from ibishead.entry.resolution import list_models
from ibishead.entry.trace import Trace, TraceStore
from ibishead.errors import ErrorCode, NotFound, Unavailable
from ibishead.headers import Headers
from ibishead.ids import RequestId
from ibishead.keys import read_bearer
from ibishead.metrics import Metrics
from ibishead.subscription import Subscription
from ibishead.web import Exchange

__all__ = ["OperatorPages", "Pages"]

JSON: Headers = (("content-type", "application/json"),)
REQUESTS_PREFIX = "/v1/requests/"
EXPLAIN_PREFIX = "/v1/explain/"


class _Model(msgspec.Struct):
    id: str
    owned_by: str
    object: str = "model"


class _ModelList(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


class _RequestPage(msgspec.Struct):
    request: str
    outcome: str


class _Explanation(msgspec.Struct):
    request: str
    outcome: str
    steps: list


class Pages:
    """Pages for callers: the model list and the outcomes of requests."""

    def __init__(self, subscription: Subscription, traces: TraceStore) -> None:
        self._subscription = subscription
        self._traces = traces

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the requested page.

        :raises NotFound: there is no such page or request.
        """
        path = exchange.request.path
        if path == "/v1/models":
            await self._list_models(exchange)
        elif path.startswith(REQUESTS_PREFIX):
            await self._show_request(exchange, path[len(REQUESTS_PREFIX) :])
        else:
            raise NotFound(
                f"no such path: {path}",
                "use /v1/chat/completions, /v1/completions, /v1/models, "
                "/v1/requests/ID or /services/NAME/",
            )

    async def _list_models(self, exchange: Exchange) -> None:
        credential = read_bearer(exchange.request.headers)
        models = list_models(self._subscription.catalog, credential)
        page = _ModelList([_Model(name, service) for service, name in models])
        await exchange.respond(200, JSON, msgspec.json.encode(page))

    async def _show_request(self, exchange: Exchange, name: str) -> None:
        trace = find_trace(self._traces, name)
        page = _RequestPage(trace.request, trace.outcome)
        await exchange.respond(200, JSON, msgspec.json.encode(page))


class OperatorPages:
    """Pages for operators and the platform.

    :ivar ready: whether ``/readyz`` may report that the host accepts new requests.
    """

    def __init__(
        self, subscription: Subscription, traces: TraceStore, metrics: Metrics
    ) -> None:
        self.ready = True
        self._subscription = subscription
        self._traces = traces
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the requested page.

        :raises NotFound: there is no such page or request.
        :raises Unavailable: by ``/readyz``, when this host should get no requests.
        """
        path = exchange.request.path
        if path == "/livez":
            await exchange.respond(200, (), b"live\n")
        elif path == "/readyz":
            self._check_ready()
            await exchange.respond(200, (), b"ready\n")
        elif path == "/metrics":
            headers, body = self._metrics.render()
            await exchange.respond(200, headers, body)
        elif path.startswith(EXPLAIN_PREFIX):
            trace = find_trace(self._traces, path[len(EXPLAIN_PREFIX) :])
            page = _Explanation(trace.request, trace.outcome, trace.steps)
            await exchange.respond(200, JSON, msgspec.json.encode(page))
        else:
            raise NotFound(
                f"no such path: {path}",
                "use /livez, /readyz, /metrics or /v1/explain/REQUEST",
            )

    def _check_ready(self) -> None:
        if not self.ready:
            raise Unavailable(
                "this entry host is stopping",
                "send requests to another entry host",
                code=ErrorCode.DRAINING,
            )
        # A host that is cut off from control cannot confirm that its documents are in
        # force, while other hosts behind the load balancer may. Without a quorum all
        # hosts report that they are not ready.
        if not self._subscription.is_current():
            raise Unavailable(
                "no control quorum confirms this host's documents",
                "send requests to another entry host; see `ibishead status`",
                code=ErrorCode.NO_QUORUM,
            )


def find_trace(traces: TraceStore, name: str) -> Trace:
    """Return the trace of a request.

    :raises NotFound: this host has no trace of it.
    """
    trace = traces.find(RequestId(name))
    if trace is None:
        raise NotFound(
            f"this entry host has no trace of the request {name!r}",
            "query the other entry hosts, or retry with the same Idempotency-Key",
            code=ErrorCode.UNKNOWN_REQUEST,
        )
    return trace
