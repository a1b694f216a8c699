"""The policies that the bench compares; only `Decisions` is what the programs do."""

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
    """What a run asks of a policy."""

    name: str
    #: Whether loads wait for permits, and whether late requests are answered early.
    permits: bool
    drops_late: bool
    #: Whether entry hosts count own dispatches.
    corrects: bool

    def route(
        self, request: Request, view: EntryView, now: float
    ) -> TargetId | Refused | None:
        """Return a target, a refusal, or none when no target is up."""

    def choose_next(self, engine: Engine, ready: list[QueuedRequest], now: float):
        """Return the request to run next."""

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the slot to empty."""

    def rate_load(self, engine: Engine, now: float) -> tuple[float, int] | None:
        """Return urgency and digest of an engine's next load."""

    def prefetch(self, engines: list[Engine], now: float) -> tuple[Engine, int] | None:
        """Return a load that nobody waits for yet."""

    def count(self, request: Request, change: int) -> None:
        """Count what an entry host has let in and not answered."""


class Baseline:
    """First come, first served, least recently used; no permits, no refusals."""

    name = ""
    permits = False
    drops_late = False
    corrects = False

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)

    def route(self, request: Request, view: EntryView, now: float):
        """Choose among all that can be reached."""
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
        """Return the oldest."""
        return min(ready, key=lambda item: item.arrived, default=None)

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the least recently used that isn't pinned."""
        free = [slot for slot in engine.slot_views() if not slot.pins]
        return min(free, key=lambda slot: slot.last_used, default=None)

    def rate_load(self, engine: Engine, now: float):
        """Return the wish that has waited longest."""
        ready = [wish for wish in engine.wishes() if wish.not_before <= now]
        best = max(ready, key=lambda wish: wish.oldest, default=None)
        return None if best is None else (best.oldest, best.digest)

    def prefetch(self, engines: list[Engine], now: float):
        """Return nothing."""

    def count(self, request: Request, change: int) -> None:
        """Count nothing."""


class Random(Baseline):
    """Any target."""

    name = "random"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Return any."""
        return self.chance.choice(usable)


class LeastLoaded(Baseline):
    """The target with the fewest requests."""

    name = "least loaded"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Return the least loaded as last reported."""
        return min(usable, key=lambda item: (_load(item), self.chance.random()))


class Affinity(Baseline):
    """A target that holds the adapter, while its queue is short; else least loaded."""

    name = "affinity, LRU"

    def choose(self, request: Request, usable: list[TargetView]) -> TargetView:
        """Prefer holders whose queue is below one batch."""
        holders = [
            item
            for item in usable
            if (request.adapter in item.resident or request.adapter in item.loading)
            and item.queued < item.batch
        ]
        return min(
            holders or usable, key=lambda item: (_load(item), self.chance.random())
        )


#: A team's share of the queue may be exceeded by so much before it is held to it.
TEAM_SLACK = 1.5


@dataclass(frozen=True)
class Features:
    """Ideas that can be taken out one by one.

    An idea is taken out by hiding from the real decision what it goes by.
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
    """The decisions of the programs, from what the programs know."""

    def __init__(
        self,
        seed: int,
        features: Features | None = None,
        stall_weight: float = 0.5,
        name: str = "ibishead",
    ) -> None:
        self.name = name
        self.chance = random.Random(seed)
        self.features = features or Features()
        self.stall_weight = stall_weight
        self.permits = self.features.permits
        self.drops_late = self.features.drops_late
        self.corrects = self.features.own_dispatches
        self._open: defaultdict[tuple[int, int], Counter] = defaultdict(Counter)

    def route(self, request: Request, view: EntryView, now: float):
        """Place the request, then admit it by the wait that it meets there."""
        query = PlacementQuery(
            request.adapter, self.stall_weight, avoid=frozenset(request.avoid)
        )
        targets = self._hide(request, view.candidates(request.adapter))
        placed = place(query, targets, self.chance.random)
        if placed is None:
            return None
        if self.features.admission:
            verdict = admit(self._ask(request, view, placed, now))
            if isinstance(verdict, Refused):
                return verdict
        return placed.target

    def _ask(
        self, request: Request, view: EntryView, placed: Placed, now: float
    ) -> AdmissionQuery:
        up = [item for item in view.all() if item.reachable]
        capacity = sum(item.batch for item in up)
        waiting = sum(max(0, _ready(item) - item.batch) for item in up)
        open_here = self._open[request.entry, request.service]
        total = max(1, sum(open_here.values()))
        team = sum(n for (name, _), n in open_here.items() if name == request.team)
        level = sum(n for (_, p), n in open_here.items() if p == request.priority)
        return AdmissionQuery(
            priority=request.priority,
            deadline=request.deadline - now,
            waiting=waiting,
            capacity=capacity,
            seconds_per_request=sum(item.seconds_per_request for item in up)
            / max(len(up), 1),
            draw=self.chance.random(),
            team_share=0.25 * TEAM_SLACK,
            team_waiting=waiting * team // total,
            class_waiting=waiting * level // total,
            expected_wait=placed.expected_wait,
            needs_load=placed.needs_load,
            pending_loads=sum(item.pending_loads for item in up),
        )

    def count(self, request: Request, change: int) -> None:
        """Count the requests that an entry host has let in and not answered."""
        counter = self._open[request.entry, request.service]
        counter[request.team, request.priority] += change

    def _hide(self, request: Request, targets: list[TargetView]) -> list[TargetView]:
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
        """Ask the queueing decision."""
        used = engine.fair.read(now) if self.features.fairness else None
        weight = self.stall_weight if self.features.grouping else 1.0
        return choose_next(ready, engine.running, now, used=used, stall_weight=weight)

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Ask the eviction decision."""
        slots = engine.slot_views()
        if not self.features.reuse:
            slots = [replace(slot, reuse=0.0) for slot in slots]
        return choose_victim(slots, now, spare_waiting=self.features.spare_waiting)

    def rate_load(self, engine: Engine, now: float):
        """Ask the loading decision."""
        ready = [wish for wish in engine.wishes() if wish.not_before <= now]
        key = urgency if self.features.harm else (lambda wish: wish.oldest)
        best = max(ready, key=key, default=None)
        return None if best is None else (key(best), best.digest)

    def prefetch(self, engines: list[Engine], now: float):
        """Return nothing."""


def _ready(view: TargetView) -> int:
    return view.running + view.queued + view.recent_dispatches - view.stalled


def _load(view: TargetView) -> float:
    return (view.running + view.queued) / view.batch
