"""Finds the route and the customer of a call in the route set in force."""

from ibishead.errors import NotFound, Unauthorized
from ibishead.gateway.calls import Call
from ibishead.gateway.quotas import QuotaClient
from ibishead.routing.customers import Customer, CustomerKeys
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import Route, RouteSet, find_route

__all__ = ["RouteDirectory"]


class RouteDirectory:
    """Looks up calls in the newest route set that a feed has received.

    :param quotas: knows the leader of the log.
    """

    def __init__(self, feed: RegistryFeed, quotas: QuotaClient) -> None:
        self._feed = feed
        self._quotas = quotas
        self._indexed: RouteSet | None = None
        self._keys = CustomerKeys(())

    async def find(self, call: Call) -> tuple[Route, Customer | None]:
        """Return the route of a call and the customer that it is for.

        A route or key that this gateway doesn't know may be newer than its route set,
        and callers don't repeat a request that was rejected as unknown. So the
        registries are asked for a newer set before it is.

        :returns: ``None`` as the customer of an anonymous call.
        :raises NotFound: no route matches.
        :raises Unauthorized: the API key is missing or unknown.
        """
        try:
            return self._look_up(call)
        except (NotFound, Unauthorized):
            if not await self._feed.refresh_routes(self._quotas.keeper):
                raise
        return self._look_up(call)

    def _look_up(self, call: Call) -> tuple[Route, Customer | None]:
        routes = self._feed.routes
        route = find_route(routes, call.hostname, call.path) if routes else None
        if routes is None or route is None:
            raise NotFound(
                f"no route matches {call.hostname} {call.path}",
                "check the host name and the path against the current routes",
            )
        if routes.customers is None:
            return route, None
        if self._indexed is not routes:
            self._indexed, self._keys = routes, CustomerKeys(routes.customers)
        if route.public:
            return route, self._keys.find(call.api_key)
        return route, self._keys.require(call.api_key)
