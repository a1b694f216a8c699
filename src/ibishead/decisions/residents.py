"""Choice of the next load or unload order for an engine.

Several gateways request far more adapters of one engine than it has slots. A load
beyond the slots terminates the engine, and unloading an adapter in use stalls it. Every
adapter being loaded therefore occupies a slot, and only idle adapters are unloaded.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

import xxhash

from ibishead.decisions.eviction import ReuseCounter, SlotView, choose_victim
from ibishead.decisions.loadpace import LoadPace
from ibishead.routing.messages import AdapterFloor
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Holding, WeightKey, list_adapters

__all__ = [
    "AdapterDemand",
    "EngineWeights",
    "Idle",
    "Load",
    "Unload",
    "choose_order",
    "count_served",
    "digest",
]

#: Value of an answer that starts late, relative to one in time. Only the order matters:
#: one caller that can be served in time goes before a few that cannot.
LATE_VALUE = 0.3

#: Idle time after which an adapter may be unloaded. Requests sent a moment ago by a
#: gateway that was just linked may not be known yet.
MIN_IDLE_SECONDS = 0.05

#: Delay and spread of the replacement of an adapter by its new version. Engines replace
#: it at different times, so that some copy is available at any time. Including the
#: load, it is complete before requests must no longer start on the old version.
REPLACE_DELAY_SECONDS = 0.2
REPLACE_SPREAD_SECONDS = 2.0


@dataclass(frozen=True)
class AdapterDemand:
    """An adapter that requests wait for.

    :param served: number of callers that a load ordered now would serve; those that it
        can only serve late count partially.
    :param due: latest monotonic time at which one of them should be answered.
    :param rank: rank of the most urgent of them, see `fairshare.Claim`.
    :param granted: least work granted to the customers of that rank among them.
    """

    key: WeightKey
    version: int
    served: float = 1.0
    due: float = 0.0
    rank: int = 0
    granted: float = 0.0


@dataclass(frozen=True)
class EngineWeights:
    """What an engine holds and loads, as far as is known.

    :param loading: adapters being loaded, including orders with unknown outcome.
    :param unloading: adapters whose unloading waits for their runs to end.
    :param used: time of the last use of each adapter, monotonic seconds.
    :param pinned: adapters that requests use now. An engine that is ordered to unload
        one waits for its runs and accepts no other order in the meantime.
    """

    holdings: tuple[Holding, ...] = ()
    loading: frozenset[WeightKey] = frozenset()
    unloading: frozenset[WeightKey] = frozenset()
    used: Mapping[WeightKey, float] = field(default_factory=dict)
    pinned: frozenset[WeightKey] = frozenset()

    def adapters(self) -> dict[WeightKey, int]:
        """Return the adapters in slots, with their versions."""
        return list_adapters(self.holdings)


@dataclass(frozen=True)
class Load:
    """Order to load a model or an adapter.

    :param version: version to load, 0 for the newest.
    """

    key: WeightKey
    version: int = 0


@dataclass(frozen=True)
class Unload:
    """Order to unload an adapter."""

    key: WeightKey


@dataclass(frozen=True)
class Idle:
    """No order is needed or possible now.

    :param reason: why no order is given.
    """

    reason: str


Order: TypeAlias = Load | Unload | Idle


def digest(key: WeightKey) -> int:
    """Return the number by which uses of an adapter are counted."""
    return xxhash.xxh32_intdigest(f"{key.model}/{key.adapter}".encode()) or 1


def count_served(waiters: Iterable[tuple[float, float]], ready: float) -> float:
    """Return how many callers a load serves; those served late count partially.

    :param waiters: for each caller, the monotonic times at which the adapter should be
        loaded and at which the caller gives up.
    :param ready: monotonic time at which the load would complete.
    """
    return sum(
        1.0 if due >= ready else LATE_VALUE if until >= ready else 0.0
        for due, until in waiters
    )


def choose_order(
    spec: EngineSpec,
    weights: EngineWeights,
    demands: Sequence[AdapterDemand],
    floors: Mapping[WeightKey, AdapterFloor],
    floor_received_at: Mapping[WeightKey, float],
    reuse: ReuseCounter,
    now: float,
    spread_position: float,
    pace: LoadPace,
    fair_first: bool = False,
) -> Order:
    """Return the next order for one engine.

    :param floors: minimum version of each adapter for new requests.
    :param floor_received_at: monotonic time at which each of them was received.
    :param now: monotonic seconds.
    :param spread_position: position of this engine, in [0, 1), in the spread of
        replacements.
    :param pace: limit on concurrent loads.
    :param fair_first: whether urgency and fair shares count before callers served.
    """
    if (missing := _find_missing_model(spec, weights)) is not None:
        return Load(missing)
    if len(weights.loading) >= pace.limit:
        return Idle("limit of concurrent loads reached")
    held = weights.adapters()
    demand = _choose_demand(weights, held, demands, fair_first)
    if demand is None:
        return _replace_outdated(
            weights, held, floors, floor_received_at, now, spread_position
        )
    if demand.key in held:
        return Load(demand.key, demand.version)
    if len(held.keys() | weights.loading) < spec.adapter_slots:
        return Load(demand.key, demand.version)
    return _free_slot(weights, held, demands, reuse, now)


def _find_missing_model(spec: EngineSpec, weights: EngineWeights) -> WeightKey | None:
    # A restarted engine holds nothing, and without a model it serves no request.
    if weights.holdings or any(not key.adapter for key in weights.loading):
        return None
    fitting = spec.list_fitting()
    return WeightKey(fitting[0].name) if fitting else None


def _choose_demand(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    demands: Sequence[AdapterDemand],
    fair_first: bool,
) -> AdapterDemand | None:
    models = {holding.model for holding in weights.holdings}
    open_demands = [
        demand
        for demand in demands
        if demand.key.adapter
        and demand.key.model in models
        and demand.key not in weights.loading
        and demand.key not in weights.unloading
        and held.get(demand.key, -1) < max(demand.version, 1)
        # The engine waits for the adapter's runs before it replaces it, and accepts no
        # other order in the meantime.
        and not (demand.key in held and demand.key in weights.pinned)
    ]
    # When more adapters are requested than the store delivers in time, serving them in
    # order of arrival makes every one late. Adapters that serve the most callers go
    # first, and among these the one requested last, which has the most time left.
    if fair_first:
        return max(
            open_demands,
            key=lambda d: (d.served >= 1.0, -d.rank, -d.granted, d.served, d.due),
            default=None,
        )
    return max(
        open_demands,
        key=lambda d: (d.served, -d.rank, -d.granted, d.due),
        default=None,
    )


def _free_slot(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    demands: Sequence[AdapterDemand],
    reuse: ReuseCounter,
    now: float,
) -> Order:
    requested = {demand.key for demand in demands}
    keys = {digest(key): key for key in held if key not in weights.unloading}
    slots = [
        SlotView(
            key_digest,
            pins=int(
                key in weights.pinned
                or now - weights.used.get(key, 0.0) < MIN_IDLE_SECONDS
            ),
            last_used=weights.used.get(key, 0.0),
            reuse=reuse.read(key_digest, now),
            waiting=int(key in requested),
        )
        for key_digest, key in keys.items()
    ]
    victim = choose_victim(slots, now, spare_waiting=True)
    if victim is None:
        return Idle("all adapters are in use or requested")
    return Unload(keys[victim.digest])


def _replace_outdated(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    floors: Mapping[WeightKey, AdapterFloor],
    floor_received_at: Mapping[WeightKey, float],
    now: float,
    spread_position: float,
) -> Order:
    wait = REPLACE_DELAY_SECONDS + REPLACE_SPREAD_SECONDS * spread_position
    for key, version in held.items():
        floor = floors.get(key)
        if floor is None or version >= floor.version:
            continue
        if key in weights.loading or key in weights.unloading or key in weights.pinned:
            continue
        if now - floor_received_at.get(key, now) >= wait:
            return Load(key, floor.version)
    return Idle("no adapter is requested")
