"""Shows a program's metrics over HTTP."""

from collections.abc import Callable

from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.web import Exchange, Limits, WebServer

__all__ = ["MetricsServer"]

#: Connections at once; a scraper needs one.
MAX_SCRAPERS = 8


class MetricsServer:
    """Answers whoever scrapes.

    :param gauges: returns present values by name, read at each scrape.
    """

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._web = WebServer(self._answer, Limits(connections=MAX_SCRAPERS))

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Listen, and return the endpoint with the port that was taken."""
        return await self._web.start(endpoint)

    async def stop(self) -> None:
        """Stop listening."""
        await self._web.stop(0.0)

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.request.path != "/metrics":
            await exchange.respond(404, ())
            return
        for name, value in self._gauges().items():
            self._metrics.set_gauge(name, value)
        headers, body = self._metrics.render()
        await exchange.respond(200, headers, body)
