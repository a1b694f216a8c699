"""Which weights an engine is ordered to load or to drop next.

Several gateways ask one engine for far more adapters than it has slots. An order beyond
the slots ends the engine, and one that drops an adapter in use stalls it. So every
adapter on its way holds a slot, and only idle ones leave.
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
    "EngineWeights",
    "Idle",
    "Load",
    "Unload",
    "Wish",
    "choose_order",
    "count_helped",
    "digest",
]

#: Worth of an answer that begins late, against one in time. Only the order matters: one
#: caller who can be in time goes before a few who can't.
LATE_SHARE = 0.3

#: Seconds since its last use after which an adapter may leave. A request that was sent
#: to it a moment ago by a gateway that has just been linked may not be known yet.
SETTLED_AFTER = 0.05

#: Seconds over which engines spread the replacement of an adapter by its new version,
#: so that some copy serves at any time. With a load it ends before the time from which
#: no request may begin on the old one.
REPLACE_FIRST = 0.2
REPLACE_SPREAD = 2.0


@dataclass(frozen=True)
class Wish:
    """An adapter that requests wait for.

    :param helped: how many callers a load would help that is ordered now; one who can
        only be late counts for a part.
    :param asked: monotonic seconds at which the last of them should be answered.
    """

    key: WeightKey
    version: int
    helped: float = 1.0
    asked: float = 0.0


@dataclass(frozen=True)
class EngineWeights:
    """What an engine holds and has on its way, by the best knowledge at hand.

    :param coming: adapters on their way, orders of unknown end included.
    :param leaving: adapters whose unloading waits for their runs.
    :param used: when each adapter was last used, monotonic seconds.
    :param pinned: adapters that requests use now. An engine that is ordered to drop one
        waits for its runs, and takes no other order for as long.
    """

    holdings: tuple[Holding, ...] = ()
    coming: frozenset[WeightKey] = frozenset()
    leaving: frozenset[WeightKey] = frozenset()
    used: Mapping[WeightKey, float] = field(default_factory=dict)
    pinned: frozenset[WeightKey] = frozenset()

    def adapters(self) -> dict[WeightKey, int]:
        """Return all adapters in slots, with their versions."""
        return list_adapters(self.holdings)


@dataclass(frozen=True)
class Load:
    """Order the engine to load a model or an adapter.

    :param version: 0 for the newest.
    """

    key: WeightKey
    version: int = 0


@dataclass(frozen=True)
class Unload:
    """Order the engine to drop an adapter."""

    key: WeightKey


@dataclass(frozen=True)
class Idle:
    """Nothing is to be ordered now."""

    reason: str


Order: TypeAlias = Load | Unload | Idle


def digest(key: WeightKey) -> int:
    """Return the number under which uses of an adapter are counted."""
    return xxhash.xxh32_intdigest(f"{key.model}/{key.adapter}".encode()) or 1


def count_helped(waiters: Iterable[tuple[float, float]], ready: float) -> float:
    """Return how many callers a load helps, where one who is late counts for a part.

    :param waiters: of each, when the adapter should be in place and when he gives up,
        monotonic seconds.
    :param ready: when the load would end.
    """
    return sum(
        1.0 if due >= ready else LATE_SHARE if until >= ready else 0.0
        for due, until in waiters
    )


def choose_order(
    spec: EngineSpec,
    weights: EngineWeights,
    wishes: Sequence[Wish],
    floors: Mapping[WeightKey, AdapterFloor],
    floor_heard: Mapping[WeightKey, float],
    reuse: ReuseCounter,
    now: float,
    place: float,
    pace: LoadPace,
) -> Order:
    """Return the next order for one engine.

    :param place: this engine's place, from 0 up to 1, in the spread of replacements.
    :param now: monotonic seconds.
    """
    if (missing := _find_missing_model(spec, weights)) is not None:
        return Load(missing)
    if len(weights.coming) >= pace.most:
        return Idle("enough on the way")
    held = weights.adapters()
    wish = _choose_wish(weights, held, wishes)
    if wish is None:
        return _replace_old(weights, held, floors, floor_heard, now, place)
    if wish.key in held:
        return Load(wish.key, wish.version)
    if len(held.keys() | weights.coming) < spec.adapter_slots:
        return Load(wish.key, wish.version)
    return _make_room(weights, held, wishes, reuse, now)


def _find_missing_model(spec: EngineSpec, weights: EngineWeights) -> WeightKey | None:
    # an engine that has restarted holds nothing; without a model it serves nobody
    if weights.holdings or any(not key.adapter for key in weights.coming):
        return None
    fitting = spec.list_fitting()
    return WeightKey(fitting[0].name) if fitting else None


def _choose_wish(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    wishes: Sequence[Wish],
) -> Wish | None:
    models = {holding.model for holding in weights.holdings}
    open_wishes = [
        wish
        for wish in wishes
        if wish.key.adapter
        and wish.key.model in models
        and wish.key not in weights.coming
        and wish.key not in weights.leaving
        and held.get(wish.key, -1) < max(wish.version, 1)
        # a replacement waits for its runs, and no other order is taken meanwhile
        and not (wish.key in held and wish.key in weights.pinned)
    ]
    # When more adapters are asked for than the store brings in time, the order of
    # asking makes each one late. Those go first that help most callers, and among these
    # the last asked for, which have most time left.
    return max(open_wishes, key=lambda w: (w.helped, w.asked), default=None)


def _make_room(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    wishes: Sequence[Wish],
    reuse: ReuseCounter,
    now: float,
) -> Order:
    waited_for = {wish.key for wish in wishes}
    keys = {digest(key): key for key in held if key not in weights.leaving}
    slots = [
        SlotView(
            number,
            pins=int(
                key in weights.pinned
                or now - weights.used.get(key, 0.0) < SETTLED_AFTER
            ),
            last_used=weights.used.get(key, 0.0),
            reuse=reuse.read(number, now),
            waiting=int(key in waited_for),
        )
        for number, key in keys.items()
    ]
    victim = choose_victim(slots, now, spare_waiting=True)
    if victim is None:
        return Idle("all adapters are in use")
    return Unload(keys[victim.digest])


def _replace_old(
    weights: EngineWeights,
    held: Mapping[WeightKey, int],
    floors: Mapping[WeightKey, AdapterFloor],
    floor_heard: Mapping[WeightKey, float],
    now: float,
    place: float,
) -> Order:
    wait = REPLACE_FIRST + REPLACE_SPREAD * place
    for key, version in held.items():
        floor = floors.get(key)
        if floor is None or version >= floor.version:
            continue
        if key in weights.coming or key in weights.leaving or key in weights.pinned:
            continue
        if now - floor_heard.get(key, now) >= wait:
            return Load(key, floor.version)
    return Idle("nothing is asked for")
