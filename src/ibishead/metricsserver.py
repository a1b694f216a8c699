"""HTTP server for the metrics of a program."""

from collections.abc import Callable

from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.web import Exchange, Limits, WebServer

__all__ = ["MetricsServer"]

#: Maximum number of concurrent connections; a scraper needs one.
MAX_CONNECTIONS = 8


class MetricsServer:
    """Serves the metrics of a program at ``/metrics``.

    :param metrics: the metrics to serve.
    :param gauges: a function that returns the current values of all gauges by name;
        called for each scrape.
    """

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._web = WebServer(self._handle, Limits(connections=MAX_CONNECTIONS))

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Start listening, and return the endpoint with the actual port."""
        return await self._web.start(endpoint)

    async def stop(self) -> None:
        """Stop listening."""
        await self._web.stop(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.request.path != "/metrics":
            await exchange.respond(404, ())
            return
        for name, value in self._gauges().items():
            self._metrics.set_gauge(name, value)
        headers, body = self._metrics.render()
        await exchange.respond(200, headers, body)
