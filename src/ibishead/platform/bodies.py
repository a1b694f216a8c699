"""Decodes and encodes the JSON bodies of the platform's calls.

The same field name has different meanings in different bodies; comments give each one.
"""

from ipaddress import ip_address

import msgspec

from ibishead.errors import InvalidInput
from ibishead.ids import (
    CustomerId,
    FailureDomain,
    ModelName,
    ServiceName,
    SoftwareVersion,
    TargetId,
)
from ibishead.keys import hash_key
from ibishead.routing.customers import Customer, Quota, QuotaUnit
from ibishead.routing.routes import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Repeatability,
    Route,
    RouteSet,
    ServiceSpec,
    Share,
)
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    TargetState,
    WeightKey,
)
from ibishead.steward.engine import EngineState, WeightOrder

__all__ = [
    "decode_deregistration",
    "decode_heartbeat",
    "decode_report",
    "decode_routes",
    "decode_version",
    "encode_order",
]

_KINDS = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}
_UNITS = {unit.value: unit for unit in QuotaUnit}
_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _Holding(msgspec.Struct):
    name: str
    version: int = 1
    # NAME@VERSION each, or NAME alone until a new version has been announced
    adapters: list[str] = []


class _Heartbeat(msgspec.Struct):
    # the service, not the target
    backend: str
    address: str
    zone: str
    slots: int
    state: str
    # number of this heartbeat; unrelated to the count of orders
    seq: int
    # start of the target in milliseconds since 1970
    born: int = 0
    # time for which the target is still slow after its start
    cold_ms: float = 0
    # time until the target is gone, whatever it runs then
    remaining_ms: float | None = None
    # of the target's software, not of its weights
    version: str = ""
    models: list[_Holding] = []


class _Deregistration(msgspec.Struct):
    born: int = 0


class _CachedModels(msgspec.Struct):
    # names of models
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Report(msgspec.Struct):
    models: list[_Holding]
    busy: bool
    # number of orders that the engine has accepted
    seq: int
    queued: int = 0
    running: int = 0
    # key-value cache in tokens; used is only what can't be evicted
    kv_used: int = 0
    kv_total: int = 0
    born: int = 0
    # anything but ready: the engine will soon accept no new requests
    state: str = "ready"
    # copies of models, whether loaded or not
    at_hand: _CachedModels = msgspec.field(default_factory=_CachedModels)
    # adapters being loaded, MODEL/NAME@VERSION each
    pending: list[str] = []


class _SplitPart(msgspec.Struct):
    backend: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    # the service; None where the traffic is split
    backend: str | None = None
    traffic_split: list[_SplitPart] | None = None
    max_attempts: int = 1
    resumable: bool = False
    target_gap_ms: float = 0
    # requests need no key
    public: bool = False


class _Model(msgspec.Struct):
    name: str
    # size of the weights
    weights_mb: float
    # load time from the weight store
    load_s: float = 0
    # load times from the engine's local disk and from its host memory
    disk_s: float = 0
    warm_s: float = 0
    adapter_size_mb: float = 0


class _Engine(msgspec.Struct):
    slots: int
    # key-value cache of one engine in tokens
    kv_capacity: int = 0
    # memory of one engine for models and adapters together
    weights_mb: float = 0
    adapter_slots: int = 0
    # tokens per event of a stream
    stride: int = 1
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # replaces the priority of the route
    priority: int | None = None
    # of rate_per_s and burst
    unit: str = "requests"
    # tokens of a request that doesn't say how many it needs
    plain_tokens: int = 0
    # zero for no limit, whatever the burst
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _RouteConfig(msgspec.Struct):
    # of the whole route set
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _NewVersion(msgspec.Struct):
    model: str
    # of the adapter, or of the model itself if no adapter is named
    version: int
    adapter: str = ""


class _Order(msgspec.Struct, omit_defaults=True):
    op: str
    model: str
    # number of accepted orders; the engine refuses the order if its own differs
    expected: int
    holder: str
    fence: int
    adapter: str | None = None
    version: int | None = None


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_DEREGISTRATION = msgspec.json.Decoder(_Deregistration)
_REPORT = msgspec.json.Decoder(_Report)
_CONFIG = msgspec.json.Decoder(_RouteConfig)
_VERSION = msgspec.json.Decoder(_NewVersion)


def decode_heartbeat(target: str, body: bytes) -> Registration:
    """Decode a heartbeat.

    :param target: ID of the target, from the path of the call.
    :raises InvalidInput: the body is malformed, or a value is invalid.
    """
    heartbeat = _decode(_HEARTBEAT, body)
    state = _STATES.get(heartbeat.state)
    if state is None:
        raise InvalidInput(
            f"unknown target state {heartbeat.state!r}", "send ready or draining"
        )
    if not target or not heartbeat.backend or heartbeat.slots < 1 or heartbeat.seq < 0:
        raise InvalidInput(
            "target ID or backend is empty, or slots or seq is out of range",
            "send names, at least one slot and a seq that isn't negative",
        )
    _check_address(heartbeat.address)
    remaining = (
        None if heartbeat.remaining_ms is None else heartbeat.remaining_ms / 1000
    )
    return Registration(
        TargetId(target),
        ServiceName(heartbeat.backend),
        heartbeat.address,
        FailureDomain(heartbeat.zone),
        heartbeat.slots,
        state,
        heartbeat.born,
        heartbeat.seq,
        heartbeat.cold_ms / 1000,
        remaining,
        _read_holdings(heartbeat.models),
        SoftwareVersion(heartbeat.version),
    )


def decode_deregistration(body: bytes) -> int:
    """Decode a deregistration.

    :returns: start of the instance that ends, in milliseconds since 1970; 0 if the body
        doesn't say.
    :raises InvalidInput: the body is malformed.
    """
    return _decode(_DEREGISTRATION, body).born if body.strip() else 0


def decode_report(body: bytes) -> EngineState:
    """Decode an engine's report.

    :raises InvalidInput: the body is malformed.
    """
    report = _decode(_REPORT, body)
    return EngineState(
        report.born,
        report.seq,
        report.busy,
        _read_holdings(report.models),
        tuple(_read_pending(entry) for entry in report.pending),
        report.running,
        report.queued,
        report.kv_used,
        report.kv_total,
        _STATES.get(report.state) is not TargetState.READY,
        _STATES.get(report.state) is TargetState.DRAINING,
        frozenset(map(ModelName, report.at_hand.in_memory)),
        frozenset(map(ModelName, report.at_hand.on_disk)),
    )


def decode_routes(body: bytes) -> RouteSet:
    """Decode a route set.

    :raises InvalidInput: the body is malformed, or a value is invalid.
    """
    config = _decode(_CONFIG, body)
    if config.version < 1:
        raise InvalidInput(
            f"invalid version {config.version}", "send a version above zero"
        )
    limits = config.limits
    return RouteSet(
        config.version,
        tuple(_read_route(route) for route in config.routes),
        tuple(_read_service(service) for service in config.services),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        None
        if config.tenants is None
        else tuple(_read_customer(tenant) for tenant in config.tenants),
    )


def decode_version(body: bytes) -> tuple[WeightKey, int]:
    """Decode the announcement of a new version of weights.

    :returns: the weights and the number of their new version.
    :raises InvalidInput: the body is malformed or names no model.
    """
    announced = _decode(_VERSION, body)
    if not announced.model:
        raise InvalidInput("the field model is empty", "send the model's name")
    return WeightKey(ModelName(announced.model), announced.adapter), announced.version


def encode_order(order: WeightOrder) -> bytes:
    """Encode an order."""
    return msgspec.json.encode(
        _Order(
            "load" if order.load else "unload",
            order.key.model,
            order.sequence,
            order.holder,
            order.fence,
            order.key.adapter or None,
            order.version or None,
        )
    )


def _decode(decoder, body: bytes):  # type: ignore[no-untyped-def]
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidInput(
            f"the body can't be decoded: {error}", "send JSON with all fields"
        ) from error


def _read_holdings(models: list[_Holding]) -> tuple[Holding, ...]:
    return tuple(
        Holding(
            ModelName(model.name),
            model.version,
            tuple(_read_adapter(entry) for entry in model.adapters),
        )
        for model in models
    )


def _read_adapter(entry: str) -> AdapterRef:
    name, _, version = entry.partition("@")
    try:
        return AdapterRef(name, int(version) if version else 1)
    except ValueError as error:
        raise InvalidInput(f"invalid adapter {entry!r}", "send NAME@VERSION") from error


def _read_pending(entry: str) -> tuple[WeightKey, AdapterRef]:
    model, _, adapter = entry.partition("/")
    ref = _read_adapter(adapter)
    return WeightKey(ModelName(model), ref.name), ref


def _read_route(route: _Route) -> Route:
    kind = _KINDS.get(route.kind)
    if kind is None:
        raise InvalidInput(
            f"unknown route kind {route.kind!r}",
            "send idempotent, non_idempotent or streaming",
        )
    if route.traffic_split is not None:
        shares = tuple(
            Share(ServiceName(part.backend), part.weight)
            for part in route.traffic_split
        )
    elif route.backend is not None:
        shares = (Share(ServiceName(route.backend), 1.0),)
    else:
        raise InvalidInput(
            f"route {route.name} names no service", "send backend or traffic_split"
        )
    return Route(
        route.name,
        route.hostname.lower(),
        route.path_prefix,
        kind,
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        shares,
        max(1, route.max_attempts),
        route.priority,
        route.resumable,
        route.target_gap_ms / 1000,
        route.public,
    )


def _read_customer(tenant: _Tenant) -> Customer:
    unit = _UNITS.get(tenant.unit)
    if unit is None:
        raise InvalidInput(
            f"unknown quota unit {tenant.unit!r}", "send requests or tokens"
        )
    if not all(tenant.api_keys):
        raise InvalidInput(
            f"customer {tenant.name!r} has an empty key", "send keys or no key"
        )
    limited = tenant.rate_per_s != 0
    return Customer(
        CustomerId(tenant.name),
        tuple(dict.fromkeys(map(hash_key, tenant.api_keys))),
        tenant.priority,
        Quota(unit, tenant.rate_per_s, tenant.burst, tenant.plain_tokens)
        if limited
        else None,
    )


def _read_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    spec = None
    if engine is not None:
        models = tuple(
            ModelSpec(
                ModelName(m.name),
                m.weights_mb,
                m.load_s,
                m.adapter_size_mb,
                m.disk_s,
                m.warm_s,
            )
            for m in engine.models
        )
        spec = EngineSpec(
            engine.slots,
            engine.kv_capacity,
            engine.weights_mb,
            engine.adapter_slots,
            models,
            max(1, engine.stride),
        )
    return ServiceSpec(
        ServiceName(service.name), service.health_path, service.max_conns, spec
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ip_address(host)
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise InvalidInput(f"invalid address {address!r}", "send IP:PORT")
