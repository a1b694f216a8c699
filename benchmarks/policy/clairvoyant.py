"""Reference policy with knowledge of the future and of the true engine states."""

from benchmarks.policy.model import ADAPTER_SLOTS, BATCH_SIZE, Engine, FutureArrivals
from benchmarks.policy.policies import Baseline
from benchmarks.policy.workloads import Request
from ibishead.decisions.admission import Refused
from ibishead.decisions.eviction import REUSE_HALF_LIFE_SECONDS, SlotView
from ibishead.decisions.placement import PlacementQuery, TargetView, place
from ibishead.decisions.views import EntryView
from ibishead.errors import ErrorCode

__all__ = ["Clairvoyant"]


class Clairvoyant(Baseline):
    """Policy that knows all arrivals and the true state of every engine.

    It evicts the adapter whose next use is farthest in the future (Belady's rule over
    all engines of a service). With prefetching, it uses each load permit for which no
    request waits to load the adapter of the next arrival that would stall. No policy
    without knowledge of the future can do that.

    :param engines: all engines of the simulation.
    :param future: all arrivals.
    :param lookahead: number of arrivals for which it prefetches, 0 for none.
    """

    permits = True
    drops_late = True

    def __init__(
        self, seed: int, engines: list[Engine], future: FutureArrivals, lookahead: int
    ):
        super().__init__(seed)
        self.name = "clairvoyant" if lookahead else "clairvoyant, on demand"
        self.engines = engines
        self.future = future
        self.lookahead = lookahead
        self._position = 0

    def route(self, request: Request, view: EntryView, now: float):
        """Choose by the true state; a load goes to the engine with the best victim."""
        group = [
            engine
            for engine in self.engines
            if engine.service == request.service and engine.up
        ]
        if not group:
            return None
        views = [self._make_view(engine, now) for engine in group]
        query = PlacementQuery(request.adapter, avoid=frozenset(request.avoid))
        placed = place(query, views, self.rng.random)
        if placed is None:
            return None
        wait = placed.expected_wait
        if now + wait + request.tokens * 0.03 > request.deadline:
            return Refused(
                ErrorCode.DEADLINE_UNREACHABLE,
                "deadline cannot be met",
                max(1.0, wait) * (1 + self.rng.random()),
            )
        if placed.reason != "load":
            return placed.target
        free = [
            engine
            for engine in group
            if request.adapter not in engine.slots
            and request.adapter not in engine.loading
        ]
        return min(free, key=lambda engine: self._rank_for_load(engine, now)).target

    def _make_view(self, engine: Engine, now: float) -> TargetView:
        report = engine.make_report(None)
        victim = None if engine.has_empty_slot() else self.choose_victim(engine, now)
        coldest = 0.0
        if victim is not None:
            seconds_to_use = max(1.0, self._find_next_use(engine, victim, now) - now)
            coldest = REUSE_HALF_LIFE_SECONDS / seconds_to_use
        return TargetView(
            engine.target,
            engine.failure_domain,
            report.running,
            report.queued,
            batch=BATCH_SIZE,
            resident=frozenset(engine.slots),
            loading=frozenset(engine.loading),
            seconds_per_request=report.seconds_per_request,
            seconds_per_load=report.seconds_per_load,
            pending_loads=report.pending_loads,
            free_slots=report.free_slots,
            coldest=coldest,
            stalled=report.stalled,
        )

    def _rank_for_load(self, engine: Engine, now: float) -> tuple[float, float]:
        # Pending loads take the first victims.
        pending = len(engine.list_needed_loads())
        empty = ADAPTER_SLOTS - len(engine.slots) - len(engine.loading)
        if pending < empty:
            return (_queue_delay(engine), -1e9)
        next_uses = sorted(
            (
                self._find_next_use(engine, slot, now)
                for slot in self._list_evictable(engine)
            ),
            reverse=True,
        )
        if pending - empty >= len(next_uses):
            return (_queue_delay(engine) + engine.seconds_per_request, 0.0)
        return (_queue_delay(engine), -next_uses[pending - empty])

    def _list_evictable(self, engine: Engine) -> list[SlotView]:
        return [
            slot for slot in engine.slot_views() if not slot.pins and not slot.waiting
        ]

    def choose_victim(self, engine: Engine, now: float) -> SlotView | None:
        """Return the adapter whose next use is farthest in the future."""
        return max(
            self._list_evictable(engine),
            key=lambda slot: self._find_next_use(engine, slot, now),
            default=None,
        )

    def _find_next_use(self, engine: Engine, slot: SlotView, now: float) -> float:
        for other in self.engines:
            if (
                other is not engine
                and other.service == engine.service
                and slot.digest in other.slots
            ):
                return 1e9
        return self.future.next_use(engine.service, slot.digest, now)

    def prefetch(self, engines: list[Engine], now: float):
        """Return the engine and adapter for the next arrival that would stall.

        :returns: ``None`` if none of the arrivals ahead needs a load that fits.
        """
        if not self.lookahead:
            return None
        arrivals = self.future.arrivals
        while (
            self._position < len(arrivals) and arrivals[self._position].arrival <= now
        ):
            self._position += 1
        for request in arrivals[self._position : self._position + self.lookahead]:
            engine = self._find_engine_for(request, engines, now)
            if engine is not None:
                return engine, request.adapter
        return None

    def _find_engine_for(self, request: Request, engines: list[Engine], now: float):
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
            use = self._find_next_use(engine, victim, now)
            if use > best_use:
                best, best_use = engine, use
        return best


def _queue_delay(engine: Engine) -> float:
    excess = (
        engine.running_count + engine.queued - engine.count_stalled() + 1 - BATCH_SIZE
    )
    return max(0, excess) * engine.seconds_per_request / BATCH_SIZE
