"""Policies that the benchmark compares; `Decisions` is the one of the programs."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from typing import Protocol

from benchmarks.policy.model import Engine
from benchmarks.policy.workloads import Request
from ibishead.decisions.admission import AdmissionQuery, Refused, admit
from ibishead.decisions.eviction import SlotView, choose_victim
from ibishead.decisions.loading import urgency
from ibishead.decisions.placement import Placed, PlacementQuery, TargetView, place
from ibishead.decisions.queueing import QueuedRequest, choose_next
from ibishead.decisions.views import EntryView
from ibishead.ids import TargetId

__all__ = [
    "Affinity",
    "Baseline",
    "Decisions",
    "Features",
    "LeastLoaded",
    "Policy",
    "Random",
]


class Policy(Protocol):
    """Interface between a simulation and a policy."""

    name: str
    #: Whether loads need permits, and whether queued requests that cannot end in time
    #: are dropped before their deadline.
    permits: bool
    drops_late: bool
    #: Whether entry hosts add their recent dispatches to the reported load.
    counts_own_dispatches: bool

    def route(
        self, request: Request, view: EntryView, now: float
    ) -> TargetId | Refused | None:
        """Return a target, a refusal, or ``None`` if no target is available."""

    def choose_next(self, engine: Engine, ready: list[QueuedRequest], now: float):
        """Return the request to run next."""

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the slot to evict."""

    def rank_next_load(self, engine: Engine, now: float) -> tuple[float, int] | None:
        """Return urgency and adapter digest of an engine's next load."""

    def prefetch(self, engines: list[Engine], now: float) -> tuple[Engine, int] | None:
        """Return engine and digest of a load for which no request waits yet."""

    def count_admitted(self, request: Request, change: int) -> None:
        """Update the number of unfinished requests that an entry host has admitted."""


class Baseline:
    """Common baseline: FIFO queue, LRU eviction, no load permits and no refusals."""

    name = ""
    permits = False
    drops_late = False
    counts_own_dispatches = False

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

    def route(self, request: Request, view: EntryView, now: float):
        """Choose among the reachable targets that have not been tried."""
        usable = [
            item
            for item in view.all()
            if item.reachable and item.target not in request.avoid
        ]
        return self.choose(request, usable).target if usable else None

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Choose one target."""
        raise NotImplementedError

    def choose_next(self, engine: Engine, ready: list[QueuedRequest], now: float):
        """Return the request that arrived first."""
        return min(ready, key=lambda item: item.arrived, default=None)

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the least recently used slot that is not pinned."""
        free = [slot for slot in engine.slot_views() if not slot.pins]
        return min(free, key=lambda slot: slot.last_used, default=None)

    def rank_next_load(self, engine: Engine, now: float):
        """Return the needed adapter whose oldest request has waited longest."""
        ready = [load for load in engine.list_needed_loads() if load.not_before <= now]
        best = max(ready, key=lambda load: load.oldest, default=None)
        return None if best is None else (best.oldest, best.digest)

    def prefetch(self, engines: list[Engine], now: float):
        """Return ``None``; this policy does not prefetch."""

    def count_admitted(self, request: Request, change: int) -> None:
        """Do nothing."""


class Random(Baseline):
    """Chooses a random target."""

    name = "random"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Return a random target."""
        return self.rng.choice(usable)


class LeastLoaded(Baseline):
    """Chooses the target with the fewest requests."""

    name = "least loaded"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Return the target with the least load by its last report."""
        return min(usable, key=lambda item: (_relative_load(item), self.rng.random()))


class Affinity(Baseline):
    """Prefers targets that hold the adapter and have a short queue, then least load."""

    name = "affinity, LRU"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Return the least loaded target that holds the adapter.

        Targets whose queue has reached one batch are left out; if none is left, the
        least loaded of all is returned.
        """
        holders = [
            item
            for item in usable
            if (request.adapter in item.resident or request.adapter in item.loading)
            and item.queued < item.batch
        ]
        return min(
            holders or usable,
            key=lambda item: (_relative_load(item), self.rng.random()),
        )


#: Factor by which a team may exceed its share of the queue before it is limited.
TEAM_SHARE_FACTOR = 1.5


@dataclass(frozen=True)
class Features:
    """Features of the decisions that can be disabled one at a time.

    A feature is disabled by withholding from the decision the input that it depends on.
    """

    own_dispatches: bool = True
    reuse: bool = True
    coldest: bool = True
    stalled: bool = True
    replicas: bool = True
    slow: bool = True
    grouping: bool = True
    fairness: bool = True
    harm: bool = True
    permits: bool = True
    admission: bool = True
    drops_late: bool = True
    spare_waiting: bool = True


class Decisions:
    """The decisions of the programs, with the information that the programs have."""

    def __init__(
        self,
        seed: int,
        features: Features | None = None,
        stall_weight: float = 0.5,
        name: str = "ibishead",
    ) -> None:
        self.name = name
        self.rng = random.Random(seed)
        self.features = features or Features()
        self.stall_weight = stall_weight
        self.permits = self.features.permits
        self.drops_late = self.features.drops_late
        self.counts_own_dispatches = self.features.own_dispatches
        self._unfinished: defaultdict[tuple[int, int], Counter] = defaultdict(Counter)

    def route(self, request: Request, view: EntryView, now: float):
        """Place the request, then admit or refuse it by the wait expected there."""
        query = PlacementQuery(
            request.adapter, self.stall_weight, avoid=frozenset(request.avoid)
        )
        targets = self._apply_features(request, view.candidates(request.adapter))
        placed = place(query, targets, self.rng.random)
        if placed is None:
            return None
        if self.features.admission:
            decision = admit(self._make_admission_query(request, view, placed, now))
            if isinstance(decision, Refused):
                return decision
        return placed.target

    def _make_admission_query(
        self, request: Request, view: EntryView, placed: Placed, now: float
    ) -> AdmissionQuery:
        reachable_targets = [item for item in view.all() if item.reachable]
        capacity = sum(item.batch for item in reachable_targets)
        waiting = sum(
            max(0, _count_ready(item) - item.batch) for item in reachable_targets
        )
        unfinished = self._unfinished[request.entry, request.service]
        unfinished_total = max(1, sum(unfinished.values()))
        team = sum(n for (name, _), n in unfinished.items() if name == request.team)
        class_count = sum(
            n for (_, p), n in unfinished.items() if p == request.priority
        )
        return AdmissionQuery(
            priority=request.priority,
            deadline=request.deadline - now,
            waiting=waiting,
            capacity=capacity,
            seconds_per_request=sum(
                item.seconds_per_request for item in reachable_targets
            )
            / max(len(reachable_targets), 1),
            draw=self.rng.random(),
            team_share=0.25 * TEAM_SHARE_FACTOR,
            team_waiting=waiting * team // unfinished_total,
            class_waiting=waiting * class_count // unfinished_total,
            expected_wait=placed.expected_wait,
            needs_load=placed.needs_load,
            pending_loads=sum(item.pending_loads for item in reachable_targets),
        )

    def count_admitted(self, request: Request, change: int) -> None:
        """Update the number of unfinished requests that an entry host has admitted."""
        counter = self._unfinished[request.entry, request.service]
        counter[request.team, request.priority] += change

    def _apply_features(
        self, request: Request, targets: list[TargetView]
    ) -> list[TargetView]:
        features = self.features
        if not features.coldest:
            targets = [replace(item, coldest=0.0) for item in targets]
        if not features.stalled:
            targets = [replace(item, stalled=0) for item in targets]
        if not features.slow and targets:
            mean = sum(item.seconds_per_request for item in targets) / len(targets)
            targets = [replace(item, seconds_per_request=mean) for item in targets]
        if not features.replicas:
            holders = [
                item
                for item in targets
                if item.reachable and request.adapter in (item.resident | item.loading)
            ]
            targets = holders or targets
        return targets

    def choose_next(self, engine: Engine, ready: list[QueuedRequest], now: float):
        """Return the result of the queueing decision."""
        used = engine.fair_queue.read(now) if self.features.fairness else None
        weight = self.stall_weight if self.features.grouping else 1.0
        return choose_next(ready, engine.running, now, used=used, stall_weight=weight)

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the result of the eviction decision."""
        slots = engine.slot_views()
        if not self.features.reuse:
            slots = [replace(slot, reuse=0.0) for slot in slots]
        return choose_victim(slots, now, spare_waiting=self.features.spare_waiting)

    def rank_next_load(self, engine: Engine, now: float):
        """Return the result of the loading decision."""
        ready = [load for load in engine.list_needed_loads() if load.not_before <= now]
        key = urgency if self.features.harm else (lambda load: load.oldest)
        best = max(ready, key=key, default=None)
        return None if best is None else (key(best), best.digest)

    def prefetch(self, engines: list[Engine], now: float):
        """Return ``None``; this policy does not prefetch."""


def _count_ready(view: TargetView) -> int:
    return view.running + view.queued + view.recent_dispatches - view.stalled


def _relative_load(view: TargetView) -> float:
    return (view.running + view.queued) / view.batch
