"""Routes from host names and path prefixes to services.

Routes, services and customers are versioned together as a `RouteSet`, which replaces
the previous one atomically; parts of two sets are never combined.
"""

from enum import Enum

import msgspec

from ibishead.errors import InvalidInput
from ibishead.ids import ModelName, ServiceName
from ibishead.routing.customers import Customer, check_customers

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "ModelSpec",
    "Repeatability",
    "Route",
    "RouteSet",
    "ServiceSpec",
    "Share",
    "check_routes",
    "find_gap_objective",
    "find_moved_services",
    "find_route",
    "list_services",
    "pick_service",
]


class Repeatability(Enum):
    """Whether a request may run more than once, and whether its answer is streamed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True, array_like=True):
    """The share of a route's requests that goes to one service.

    :param weight: relative to the sum of all weights of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Routes requests for a host name and a path prefix to services.

    :param prefix: path prefix; begins and ends with a slash.
    :param timeout: maximum seconds from a request's arrival to its deadline.
    :param objective: latency objective: seconds within which the answer, or its first
        event, has its full value.
    :param attempts: maximum number of targets that one request is sent to.
    :param rank: priority; 0 is the most urgent.
    :param resumable: whether a stream may be resumed at another target after the last
        event received.
    :param gap_objective: objective for the seconds between two events, 0 for none.
    :param public: whether requests need no API key.
    """

    name: str
    hostname: str
    prefix: str
    kind: Repeatability
    timeout: float
    objective: float
    shares: tuple[Share, ...]
    attempts: int = 1
    rank: int = 0
    resumable: bool = False
    gap_objective: float = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again if the outcome of a run is unknown."""
        match self.kind:
            case Repeatability.IDEMPOTENT:
                return True
            case Repeatability.STREAM:
                return self.resumable
            case Repeatability.ONCE:
                return False


class ModelSpec(msgspec.Struct, frozen=True, array_like=True):
    """A base model that the engines of a service may load.

    :param megabytes: size of the weights.
    :param load_time: seconds to load it from the weight store.
    :param adapter_megabytes: size of one adapter.
    :param disk_time: seconds to load it from the engine's own disk, 0 if unknown.
    :param warm_time: seconds to load it from the engine's memory, 0 if unknown.
    """

    name: ModelName
    megabytes: float
    load_time: float
    adapter_megabytes: float = 0.0
    disk_time: float = 0.0
    warm_time: float = 0.0


class EngineSpec(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of one engine of a service.

    :param slots: maximum number of requests in a batch.
    :param cache_tokens: capacity of the key-value cache, in tokens of running requests
        and cached prompt prefixes.
    :param megabytes: memory for the weights of models and adapters together.
    :param adapter_slots: maximum number of adapters, including those being loaded.
    :param models: the base models that the engine may load.
    :param event_tokens: tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    megabytes: float
    adapter_slots: int
    models: tuple[ModelSpec, ...] = ()
    event_tokens: int = 1

    def list_fitting(self) -> list[ModelSpec]:
        """Return the models whose weights fit into one engine's memory."""
        return [model for model in self.models if model.megabytes <= self.megabytes]


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """A service that routes may refer to.

    :param health_path: path of the health check.
    :param connections: maximum number of connections that one target accepts from all
        callers together.
    :param engine: capacity of an engine; none for a service without engines.
    """

    name: ServiceName
    health_path: str
    connections: int
    engine: EngineSpec | None = None


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on callers.

    :param header_bytes: maximum size of a request's headers.
    :param body_bytes: maximum size of a request's body.
    :param header_time: maximum seconds for the headers to arrive, from the first byte.
    :param idle_time: maximum seconds for which an open connection waits for a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


class RouteSet(msgspec.Struct, frozen=True, array_like=True):
    """All routes, services and customers that are in force together.

    :param version: version number; the highest accepted one is in force.
    :param customers: ``None`` if the deployment has no customers, and requests need no
        API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] | None = None

    def service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service by its name, or none."""
        return next((spec for spec in self.services if spec.name == name), None)


def check_routes(routes: RouteSet) -> None:
    """Check that a set routes requests unambiguously and that its parts are valid.

    :raises InvalidInput: the set is inconsistent; the message names the first fault.
    """
    services = {service.name for service in routes.services}
    locations: set[tuple[str, str]] = set()
    for route in routes.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise _reject(route, "its prefix does not begin and end with a slash")
        if any(share.service not in services for share in route.shares):
            raise _reject(route, "it refers to a service that is not defined")
        if any(share.weight < 0 for share in route.shares):
            raise _reject(route, "a weight is negative")
        if sum(share.weight for share in route.shares) <= 0:
            raise _reject(route, "its weights add up to zero")
        if route.timeout <= 0:
            raise _reject(route, "its timeout is not above zero")
        if (location := (route.hostname, route.prefix)) in locations:
            raise _reject(route, "another route has the same host name and prefix")
        locations.add(location)
    check_customers(routes.customers or ())


def find_gap_objective(routes: RouteSet, service: ServiceName) -> float:
    """Return the strictest gap objective of all routes to a service.

    :returns: seconds between two events, 0 if no route sets an objective.
    """
    gaps = [
        route.gap_objective
        for route in routes.routes
        if route.gap_objective > 0
        and any(share.service == service for share in route.shares)
    ]
    return min(gaps, default=0.0)


def find_route(routes: RouteSet, hostname: str, path: str) -> Route | None:
    """Return the route of a host name with the longest matching prefix, or none."""
    best: Route | None = None
    for route in routes.routes:
        if route.hostname != hostname or not path.startswith(route.prefix):
            continue
        if best is None or len(route.prefix) > len(best.prefix):
            best = route
    return best


def list_services(route: Route) -> frozenset[ServiceName]:
    """Return the services that a route leads to."""
    return frozenset(share.service for share in route.shares if share.weight > 0)


def find_moved_services(before: RouteSet, after: RouteSet) -> set[ServiceName]:
    """Return the services to which paths lead that led to other services before."""
    old, new = _index_services(before), _index_services(after)
    moved: set[ServiceName] = set()
    for location in old.keys() | new.keys():
        former, present = _match(old, *location), _match(new, *location)
        if former and former != present:
            moved |= present
    return moved


def _index_services(routes: RouteSet) -> dict[tuple[str, str], frozenset[ServiceName]]:
    return {(r.hostname, r.prefix): list_services(r) for r in routes.routes}


def _match(
    index: dict[tuple[str, str], frozenset[ServiceName]], hostname: str, prefix: str
) -> frozenset[ServiceName]:
    """Return the services of the longest prefix that begins a prefix."""
    while prefix:
        if (found := index.get((hostname, prefix))) is not None:
            return found
        # Every prefix ends with a slash
        prefix = prefix[: prefix.rstrip("/").rfind("/") + 1]
    return frozenset()


def pick_service(route: Route, point: float) -> ServiceName:
    """Choose a service of a route in proportion to the weights.

    :param point: random number, uniform between 0 (inclusive) and 1 (exclusive).
    """
    remaining = point * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return max(route.shares, key=lambda share: share.weight).service


def _reject(route: Route, reason: str) -> InvalidInput:
    return InvalidInput(
        f"route {route.name}: {reason}", "correct the route and resend the whole set"
    )
