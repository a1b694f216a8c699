"""A reference that knows all arrivals and the true state of every engine."""

from benchmarks.policy.model import BATCH, SLOTS, Engine, Future
from benchmarks.policy.policies import Baseline
from benchmarks.policy.workloads import Request
from ibishead.decisions.admission import Refused
from ibishead.decisions.eviction import REUSE_HALF_LIFE_SECONDS, SlotView
from ibishead.decisions.placement import PlacementQuery, TargetView, place
from ibishead.decisions.views import EntryView
from ibishead.errors import ErrorCode

__all__ = ["Clairvoyant"]


class Clairvoyant(Baseline):
    """Knows all arrivals and the true state of every engine.

    It evicts what is asked for last (Belady's rule over a service's engines) and,
    when it prefetches, spends every load that nobody waits for on the next arrival
    that would stall. No policy without knowledge of the future can do that.
    """

    permits = True
    drops_late = True

    def __init__(self, seed: int, engines: list[Engine], future: Future, ahead: int):
        super().__init__(seed)
        self.name = "clairvoyant" if ahead else "clairvoyant, on demand"
        self.engines = engines
        self.future = future
        self.ahead = ahead
        self._position = 0

    def route(self, request: Request, view: EntryView, now: float):
        """Choose by the true state; a load goes where the best victim is."""
        group = [
            engine
            for engine in self.engines
            if engine.service == request.service and engine.up
        ]
        if not group:
            return None
        views = [self._see(engine, now) for engine in group]
        query = PlacementQuery(request.adapter, avoid=frozenset(request.avoid))
        placed = place(query, views, self.chance.random)
        if placed is None:
            return None
        wait = placed.expected_wait
        if now + wait + request.tokens * 0.03 > request.deadline:
            return Refused(
                ErrorCode.DEADLINE_UNREACHABLE,
                "too late",
                max(1.0, wait) * (1 + self.chance.random()),
            )
        if placed.reason != "load":
            return placed.target
        free = [
            engine
            for engine in group
            if request.adapter not in engine.slots
            and request.adapter not in engine.loading
        ]
        return min(free, key=lambda engine: self._rate(engine, now)).target

    def _see(self, engine: Engine, now: float) -> TargetView:
        report = engine.report(None)
        victim = None if engine.has_empty_slot() else self.choose_victim(engine, now)
        coldest = 0.0
        if victim is not None:
            ahead = max(1.0, self._next(engine, victim, now) - now)
            coldest = REUSE_HALF_LIFE_SECONDS / ahead
        return TargetView(
            engine.target,
            engine.failure_domain,
            report.running,
            report.queued,
            batch=BATCH,
            resident=frozenset(engine.slots),
            loading=frozenset(engine.loading),
            seconds_per_request=report.seconds_per_request,
            seconds_per_load=report.seconds_per_load,
            pending_loads=report.wishes,
            free_slots=report.free_slots,
            coldest=coldest,
            stalled=report.stalled,
        )

    def _rate(self, engine: Engine, now: float) -> tuple[float, float]:
        # Loads that are ordered already take the first victims.
        ahead = len(engine.wishes())
        empty = SLOTS - len(engine.slots) - len(engine.loading)
        if ahead < empty:
            return (_true_wait(engine), -1e9)
        uses = sorted(
            (self._next(engine, slot, now) for slot in self._free(engine)), reverse=True
        )
        if ahead - empty >= len(uses):
            return (_true_wait(engine) + engine.seconds_per_request, 0.0)
        return (_true_wait(engine), -uses[ahead - empty])

    def _free(self, engine: Engine) -> list[SlotView]:
        return [
            slot for slot in engine.slot_views() if not slot.pins and not slot.waiting
        ]

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the adapter that is asked for last."""
        return max(
            self._free(engine),
            key=lambda slot: self._next(engine, slot, now),
            default=None,
        )

    def _next(self, engine: Engine, slot: SlotView, now: float) -> float:
        for other in self.engines:
            if (
                other is not engine
                and other.service == engine.service
                and slot.digest in other.slots
            ):
                return 1e9
        return self.future.next_use(engine.service, slot.digest, now)

    def prefetch(self, engines: list[Engine], now: float):
        """Return the next arrival that would stall, if it has room."""
        if not self.ahead:
            return None
        arrivals = self.future.arrivals
        while (
            self._position < len(arrivals) and arrivals[self._position].arrival <= now
        ):
            self._position += 1
        for request in arrivals[self._position : self._position + self.ahead]:
            found = self._find_room(request, engines, now)
            if found is not None:
                return found, request.adapter
        return None

    def _find_room(self, request: Request, engines: list[Engine], now: float):
        group = [item for item in engines if item.service == request.service]
        if any(
            request.adapter in item.slots or request.adapter in item.loading
            for item in group
        ):
            return None
        best, best_use = None, request.arrival
        for engine in group:
            if not engine.up:
                continue
            if engine.has_empty_slot():
                return engine
            victim = self.choose_victim(engine, now)
            if victim is None:
                continue
            use = self._next(engine, victim, now)
            if use > best_use:
                best, best_use = engine, use
        return best


def _true_wait(engine: Engine) -> float:
    over = engine.size + engine.queued - engine.stalled() + 1 - BATCH
    return max(0, over) * engine.seconds_per_request / BATCH
