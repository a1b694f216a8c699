"""Choice of the target for a request, by expected delay."""

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

#: Number of targets that may load an adapter that no usable target holds. Entry hosts
#: with different reports load it at most this many times. With fewer candidates, an
#: adapter would be tied to targets whose slots may all be in use.
HASH_CANDIDATES = 2
#: Multiple of the mean load above which a target takes no further adapters.
LOAD_BOUND = 1.25
#: Multiple of the fastest run time above which a target counts as slow. Normal
#: variation by batch and answer length stays below it.
SLOW_FACTOR = 2.0
#: Maximum bonus or penalty for a full batch; the stall weight scales it.
PACKING_SECONDS = 1.0
#: Probability of reloading the evicted adapter, per decayed use.
RELOAD_PROBABILITY_PER_USE = 0.25
#: Weight of the cost of loads at a stall weight of 0. If they had no weight, copies of
#: frequently used adapters would keep the store permanently overloaded.
MIN_LOAD_WEIGHT = 0.2
#: Increase of that weight up to a stall weight of 1.
LOAD_WEIGHT_RANGE = 1.6
#: Weight store time of one load, at 4 loads per second.
STORE_SECONDS_PER_LOAD = 0.25


@dataclass(frozen=True, slots=True)
class TargetView:
    """What an entry host knows of one target.

    Reports arrive late and are corrected by the host's own dispatches.

    :param running: requests in the target's batch, as last reported.
    :param queued: requests waiting at its agent, as last reported.
    :param recent_dispatches: own dispatches since that report.
    :param batch: requests that the target runs concurrently.
    :param slots: adapters that it holds at the same time.
    :param resident: digests of the adapters in its slots.
    :param loading: digests of the adapters being loaded, own dispatches included.
    :param seconds_per_request: measured mean run time.
    :param reachable: the link to its agent is up.
    :param seconds_per_load: measured mean time from request to resident adapter.
    :param pending_loads: adapters that wait to be loaded.
    :param free_slots: slots that are empty or may be emptied.
    :param coldest: decayed use count of the adapter that would be evicted next.
    :param stalled: queued requests that wait for their adapter.
    """

    target: TargetId
    failure_domain: FailureDomain
    running: int = 0
    queued: int = 0
    recent_dispatches: int = 0
    batch: int = 8
    slots: int = 4
    resident: frozenset[int] = field(default_factory=frozenset)
    loading: frozenset[int] = field(default_factory=frozenset)
    seconds_per_request: float = 1.0
    reachable: bool = True
    draining: bool = False
    seconds_per_load: float = 0.25
    pending_loads: int = 0
    free_slots: int = 1
    coldest: float = 0.0
    stalled: int = 0


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """One request to place.

    :param adapter: digest of adapter and version, 0 for a plain service.
    :param stall_weight: 0 optimizes batch efficiency only, 1 load stalls only.
    :param avoid: targets that rejected or failed this request.
    """

    adapter: int
    stall_weight: float = 0.5
    failure_domain: FailureDomain = FailureDomain("")
    avoid: frozenset[TargetId] = frozenset()


@dataclass(frozen=True, slots=True)
class Placed:
    """A target and the reason for its choice, which ``explain`` reports.

    :param expected_wait: seconds until the run begins, including the load.
    :param needs_load: the adapter is neither resident nor being loaded there.
    """

    target: TargetId
    reason: str
    expected_wait: float = 0.0
    needs_load: bool = False


def adapter_digest(adapter: AdapterName, version: Version) -> int:
    """Return the 32-bit digest by which load reports identify an adapter.

    :returns: 0 for no adapter, otherwise a positive number.
    """
    if not adapter:
        return 0
    return xxhash.xxh32_intdigest(f"{adapter}@{version}".encode()) or 1


def rank_targets(adapter: int, targets: Sequence[TargetView]) -> list[TargetView]:
    """Return the targets in the adapter's rendezvous hash order.

    All hosts compute the same order. A target that joins or leaves moves only the
    adapters for which it ranks first.
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
    """Choose a target, or return ``None`` if no target can accept the request.

    Options are compared by expected delay in seconds: the delay of this request plus
    the delay that it causes for others. This makes queue length, slow targets and loads
    comparable.

    :param targets: all targets of a small fleet, or `EntryView.candidates` of a large
        one.
    :param draw: returns a random number in [0, 1), to break ties.
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
    # All requests queued at the least loaded holder benefit from another holder.
    beneficiaries = max(
        1, min((_count_active(view) - view.batch for view in holders), default=1)
    )
    # Ties between holders are broken randomly, since all entry hosts would otherwise
    # choose the same one. Ties between new holders are broken by rank, so that all
    # entry hosts do choose the same one.
    choices = [
        (_estimate_holder_cost(query, view, fleet), draw(), view, "resident")
        for view in holders
    ] + [
        (
            _estimate_load_cost(query, view, fleet, beneficiaries),
            float(rank),
            view,
            "load",
        )
        for rank, view in enumerate(others)
    ]
    _, _, best, reason = min(choices, key=lambda choice: choice[:2])
    return Placed(
        best.target, reason, _estimate_wait(query.adapter, best), reason == "load"
    )


@dataclass(slots=True)
class _Fleet:
    fastest: float
    pending_loads: int
    cost_to_others: float


def _measure_fleet(usable: list[TargetView]) -> _Fleet:
    fastest = min([view.seconds_per_request for view in usable])
    pending_loads = sum([view.pending_loads for view in usable])
    load = sum([view.seconds_per_load for view in usable]) / len(usable)
    return _Fleet(fastest, pending_loads, _estimate_cost_to_others(load, pending_loads))


def _choose_new_holders(
    adapter: int, usable: list[TargetView], holders: list[TargetView]
) -> list[TargetView]:
    # Rendezvous hashing with bounded loads: entry hosts choose the same target without
    # communication, and a target with many frequently used adapters is skipped.
    held = {view.target for view in holders}
    loads = [(_relative_load(view), view) for view in usable]
    bound = max(1.0, LOAD_BOUND * sum([load for load, _ in loads]) / len(loads))
    free = [(load, view) for load, view in loads if view.target not in held]
    below_bound = [view for load, view in free if load <= bound]
    return rank_targets(adapter, below_bound or [view for _, view in free])[
        :HASH_CANDIDATES
    ]


def _estimate_holder_cost(
    query: PlacementQuery, view: TargetView, fleet: _Fleet
) -> float:
    loading = query.adapter and query.adapter not in view.resident
    load = view.seconds_per_load / 2 if loading else 0.0
    return load + _estimate_run_cost(query, view, fleet)


def _estimate_load_cost(
    query: PlacementQuery, view: TargetView, fleet: _Fleet, beneficiaries: int
) -> float:
    # A replica pays off only if the holder's queue costs more than the load itself, the
    # delay that it adds to other loads and the value of the adapter that it evicts.
    slots_full = view.free_slots <= view.pending_loads
    delay = view.seconds_per_request / 2 if slots_full else 0.0
    wait = max(
        view.seconds_per_load, STORE_SECONDS_PER_LOAD * (1 + fleet.pending_loads)
    )
    reload_probability = min(1.0, RELOAD_PROBABILITY_PER_USE * view.coldest)
    cost_to_others = (
        (wait + fleet.cost_to_others) * (1.0 + reload_probability) / beneficiaries
    )
    weight = MIN_LOAD_WEIGHT + LOAD_WEIGHT_RANGE * query.stall_weight
    run_cost = _estimate_run_cost(query, view, fleet)
    return delay + weight * (wait + cost_to_others) + run_cost


def _estimate_cost_to_others(seconds_per_load: float, pending_loads: int) -> float:
    # One more load delays all loads that arrive before the store is next idle: few when
    # utilization is low, many near saturation. For random arrivals, loads of equal
    # length S and a mean wait w, the total delay is w * (1 + 2 * w / S).
    queue = max(0.0, seconds_per_load - STORE_SECONDS_PER_LOAD)
    queue = max(queue, STORE_SECONDS_PER_LOAD * pending_loads)
    return STORE_SECONDS_PER_LOAD / 2 + queue * (
        1.0 + 2.0 * queue / STORE_SECONDS_PER_LOAD
    )


def _estimate_run_cost(query: PlacementQuery, view: TargetView, fleet: _Fleet) -> float:
    # The queue of a slow target looks as short as the others'. Its excess run time is
    # charged in full, so that work moves as soon as another target finishes earlier.
    slowness = max(0.0, view.seconds_per_request - SLOW_FACTOR * fleet.fastest)
    packing_cost = (2.0 * query.stall_weight - 1.0) * PACKING_SECONDS
    return (
        _estimate_queue_wait(view)
        + slowness
        + packing_cost * min(_relative_load(view), 1.0)
    )


def _estimate_wait(adapter: int, view: TargetView) -> float:
    wait = _estimate_queue_wait(view)
    if adapter and adapter not in view.resident:
        return max(wait, view.seconds_per_load)
    return wait


def _estimate_queue_wait(view: TargetView) -> float:
    excess = _count_active(view) + 1 - view.batch
    if excess <= 0:
        return 0.0
    return excess * view.seconds_per_request / max(view.batch, 1)


def _relative_load(view: TargetView) -> float:
    return _count_active(view) / max(view.batch, 1)


def _count_active(view: TargetView) -> int:
    # Requests that wait for their adapter do not occupy the batch. If they counted as
    # load, they would cause replicas whose loads delay the very adapters they need.
    return view.running + view.queued + view.recent_dispatches - view.stalled
