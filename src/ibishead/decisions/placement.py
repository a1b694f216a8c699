"""Where a request goes: which target, given what is known of all of them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import xxhash

from ibishead.ids import AdapterName, FailureDomain, TargetId, Version

__all__ = [
    "Placed",
    "PlacementQuery",
    "TargetView",
    "adapter_digest",
    "place",
    "rank_targets",
]

#: Targets that may take an adapter which none of the usable ones holds. Two entry
#: hosts with different reports load it at most this many times; with fewer, an
#: adapter is tied to targets whose slots may all be in use.
HASH_CANDIDATES = 2
#: Multiple of the mean load up to which a target takes further adapters.
LOAD_BOUND = 1.25
#: Multiple of the fastest run time from which a target counts as slow. Ordinary
#: differences of batch and length stay below it.
SLOW_FACTOR = 2.0
#: Seconds for which a full batch is preferred or avoided, by the stall weight.
PACKING_SECONDS = 1.0
#: Chance of having to load the evicted adapter again, for each of its aged uses.
REUSE_CERTAIN = 0.25
#: What loads count for at a stall weight of 0; with nothing, copies of hot adapters
#: would keep the store overloaded for good.
LEAST_LOAD_WEIGHT = 0.2
#: How much more they count for at a stall weight of 1.
LOAD_WEIGHT_RANGE = 1.6
#: Seconds of store time that one load takes from others: 4 loads a second.
STORE_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class TargetView:
    """What an entry host knows of one target, late and corrected by itself.

    :param running: requests in the target's batch, as last reported.
    :param queued: requests waiting at its agent, as last reported.
    :param recent: own dispatches since that report.
    :param batch: requests that the target runs at once.
    :param slots: adapters that it holds at once.
    :param resident: digests of the adapters in its slots.
    :param loading: digests of the adapters on their way, own dispatches included.
    :param seconds_per_request: measured mean time of one run.
    :param reachable: the link to its agent is alive.
    :param seconds_per_load: measured mean time from wish to resident adapter.
    :param wishes: adapters whose load is waited for and hasn't begun.
    :param free_slots: slots that are empty or may be emptied.
    :param coldest: aged uses of the adapter that would leave next.
    :param stalled: requests among the queued that wait for their adapter.
    """

    target: TargetId
    failure_domain: FailureDomain
    running: int = 0
    queued: int = 0
    recent: int = 0
    batch: int = 8
    slots: int = 4
    resident: frozenset[int] = field(default_factory=frozenset)
    loading: frozenset[int] = field(default_factory=frozenset)
    seconds_per_request: float = 1.0
    reachable: bool = True
    draining: bool = False
    seconds_per_load: float = 0.25
    wishes: int = 0
    free_slots: int = 1
    coldest: float = 0.0
    stalled: int = 0


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """One request to place.

    :param adapter: digest of adapter and version, 0 for a plain service.
    :param stall_weight: 0 weighs batch efficiency only, 1 load stalls only.
    :param avoid: targets that have refused or failed this request.
    """

    adapter: int
    stall_weight: float = 0.5
    failure_domain: FailureDomain = FailureDomain("")
    avoid: frozenset[TargetId] = frozenset()


@dataclass(frozen=True, slots=True)
class Placed:
    """A target and the reason it was chosen, for `explain`.

    :param expected_wait: seconds until the run begins, the load included.
    :param needs_load: the target neither holds nor awaits the adapter.
    """

    target: TargetId
    reason: str
    expected_wait: float = 0.0
    needs_load: bool = False


def adapter_digest(adapter: AdapterName, version: Version) -> int:
    """Return the 32-bit name under which load reports list an adapter.

    :returns: 0 for no adapter, otherwise a value from 1 on.
    """
    if not adapter:
        return 0
    return xxhash.xxh32_intdigest(f"{adapter}@{version}".encode()) or 1


def rank_targets(adapter: int, targets: Sequence[TargetView]) -> list[TargetView]:
    """Return the targets in the adapter's rendezvous order, the same everywhere.

    A target that joins or leaves moves only the adapters that it comes before.
    """
    return sorted(
        targets,
        key=lambda view: xxhash.xxh32_intdigest(view.target.encode(), adapter),
        reverse=True,
    )


def place(
    query: PlacementQuery,
    targets: Sequence[TargetView],
    draw: Callable[[], float],
) -> Placed | None:
    """Choose a target, or none when no target can take the request.

    Every choice is an expected delay in seconds, the one that this request meets
    and the one that it brings to others, so that queue, slowness and load compare.

    :param targets: all of a small fleet, or `EntryView.candidates` of a large one.
    :param draw: returns a number from 0 up to 1, to break ties.
    """
    usable = [
        view
        for view in targets
        if view.reachable and not view.draining and view.target not in query.avoid
    ]
    if not usable:
        return None
    fleet = _measure_fleet(usable)
    holders = usable
    others: list[TargetView] = []
    if query.adapter:
        holders = [
            view
            for view in usable
            if query.adapter in view.resident or query.adapter in view.loading
        ]
        others = _choose_new_holders(query.adapter, usable, holders)
    # All that queue at the shortest of the holders gain by another holder.
    gainers = max(1, min((_held(view) - view.batch for view in holders), default=1))
    # Ties of holders are broken by chance, or all entry hosts would take the same
    # one; ties of new holders by rank, so that they do take the same one.
    choices = [
        (_cost_of_holder(query, view, fleet), draw(), view, "resident")
        for view in holders
    ] + [
        (_cost_of_load(query, view, fleet, gainers), float(rank), view, "load")
        for rank, view in enumerate(others)
    ]
    _, _, best, reason = min(choices, key=lambda choice: choice[:2])
    return Placed(
        best.target, reason, _expect_wait(query.adapter, best), reason == "load"
    )


@dataclass(slots=True)
class _Fleet:
    fastest: float
    wishes: int
    harm: float


def _measure_fleet(usable: list[TargetView]) -> _Fleet:
    fastest = min([view.seconds_per_request for view in usable])
    wishes = sum([view.wishes for view in usable])
    load = sum([view.seconds_per_load for view in usable]) / len(usable)
    return _Fleet(fastest, wishes, _cost_to_others(load, wishes))


def _choose_new_holders(
    adapter: int, usable: list[TargetView], holders: list[TargetView]
) -> list[TargetView]:
    # Rendezvous hashing with bounded loads: entry hosts choose alike without talking,
    # and a target with many hot adapters is passed over.
    held = {view.target for view in holders}
    loads = [(_load(view), view) for view in usable]
    bound = max(1.0, LOAD_BOUND * sum([load for load, _ in loads]) / len(loads))
    free = [(load, view) for load, view in loads if view.target not in held]
    below = [view for load, view in free if load <= bound]
    return rank_targets(adapter, below or [view for _, view in free])[:HASH_CANDIDATES]


def _cost_of_holder(query: PlacementQuery, view: TargetView, fleet: _Fleet) -> float:
    arriving = query.adapter and query.adapter not in view.resident
    load = view.seconds_per_load / 2 if arriving else 0.0
    return load + _cost_of_turn(query, view, fleet)


def _cost_of_load(
    query: PlacementQuery, view: TargetView, fleet: _Fleet, gainers: int
) -> float:
    # A replica is worth its load only when the holder's queue exceeds the load itself,
    # the wait that it adds to other loads and the worth of what it evicts.
    blocked = view.free_slots <= view.wishes
    delay = view.seconds_per_request / 2 if blocked else 0.0
    wait = max(view.seconds_per_load, STORE_SECONDS * (1 + fleet.wishes))
    reloaded = min(1.0, REUSE_CERTAIN * view.coldest)
    harm = (wait + fleet.harm) * (1.0 + reloaded) / gainers
    weight = LEAST_LOAD_WEIGHT + LOAD_WEIGHT_RANGE * query.stall_weight
    turn = _cost_of_turn(query, view, fleet)
    return delay + weight * (wait + harm) + turn


def _cost_to_others(seconds_per_load: float, wishes: int) -> float:
    # One more load delays those that come before the store next idles: few while it
    # has time to spare, very many near its rate. For arrivals by chance and loads of
    # one length S that wait w on average, that delay is w * (1 + 2 * w / S) in sum.
    queue = max(0.0, seconds_per_load - STORE_SECONDS)
    queue = max(queue, STORE_SECONDS * wishes)
    return STORE_SECONDS / 2 + queue * (1.0 + 2.0 * queue / STORE_SECONDS)


def _cost_of_turn(query: PlacementQuery, view: TargetView, fleet: _Fleet) -> float:
    # A slow target's queue looks as short as the rest's. Its excess time is charged in
    # full, so that work shifts as soon as another target ends it earlier.
    slowness = max(0.0, view.seconds_per_request - SLOW_FACTOR * fleet.fastest)
    packing = (2.0 * query.stall_weight - 1.0) * PACKING_SECONDS
    return _wait(view) + slowness + packing * min(_load(view), 1.0)


def _expect_wait(adapter: int, view: TargetView) -> float:
    wait = _wait(view)
    if adapter and adapter not in view.resident:
        return max(wait, view.seconds_per_load)
    return wait


def _wait(view: TargetView) -> float:
    over = _held(view) + 1 - view.batch
    if over <= 0:
        return 0.0
    return over * view.seconds_per_request / max(view.batch, 1)


def _load(view: TargetView) -> float:
    return _held(view) / max(view.batch, 1)


def _held(view: TargetView) -> int:
    # What waits for its adapter doesn't occupy the batch. Counted as load, it would
    # cause replicas, whose loads delay the very adapters that it waits for.
    return view.running + view.queued + view.recent - view.stalled
