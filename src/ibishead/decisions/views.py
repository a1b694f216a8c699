"""An entry host's view of its targets, and the lookup of targets for an adapter."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import xxhash

from ibishead.decisions.placement import Placed, PlacementQuery, TargetView, place
from ibishead.ids import FailureDomain, TargetId
from ibishead.messages import LoadReport

__all__ = ["EntryView", "TargetIndex"]

#: Points of each target on the hash ring. More points make the shares more even.
RING_POINTS = 32
#: Targets that the ring proposes for an adapter. More than `HASH_CANDIDATES` of the
#: placement, so that some of them may be down, full or slow.
MAX_NEIGHBOURS = 4
#: Maximum holders considered for one adapter. A service's most used adapter may be on
#: every target.
MAX_HOLDERS = 6
#: Number of targets up to which all of them are considered.
SMALL_FLEET_SIZE = 16
#: Time for which an own dispatch counts if no report arrives. An agent that is silent
#: for longer is not reachable, and the count must not grow without bound.
MAX_UNREPORTED_SECONDS = 5.0
#: Assumed age of a report on arrival.
REPORT_LAG_SECONDS = 0.1


class TargetIndex:
    """Finds the targets relevant to an adapter without considering all of them.

    A lookup takes time logarithmic in the ring size, plus the number of results.
    """

    def __init__(self) -> None:
        self._ring: list[tuple[int, TargetId]] = []
        self._held: dict[TargetId, frozenset[int]] = {}
        self._holders: dict[int, list[TargetId]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def add(self, target: TargetId) -> None:
        """Add a target; no effect if it is already known."""
        if target in self._held:
            return
        self._held[target] = frozenset()
        for point in _list_ring_points(target):
            insort(self._ring, (point, target))

    def remove(self, target: TargetId) -> None:
        """Remove a target and the adapters that it holds."""
        if target not in self._held:
            return
        self.set_held(target, frozenset())
        del self._held[target]
        self._ring = [entry for entry in self._ring if entry[1] != target]

    def set_held(self, target: TargetId, digests: frozenset[int]) -> None:
        """Record all adapters resident or being loaded on a known target."""
        before = self._held[target]
        if before == digests:
            return
        self._held[target] = digests
        for digest in before - digests:
            holders = self._holders[digest]
            holders.remove(target)
            if not holders:
                del self._holders[digest]
        for digest in digests - before:
            self._holders.setdefault(digest, []).append(target)

    def find(self, digest: int, draw: float = 0.0) -> list[TargetId]:
        """Return the holders and ring neighbours of an adapter, without duplicates.

        If there are many holders, only some are returned, starting at a random
        position, so that all copies are used.

        :param draw: random number in [0, 1).
        """
        if len(self._held) <= SMALL_FLEET_SIZE:
            return list(self._held)
        holders = self._holders.get(digest, [])
        first = int(draw * len(holders))
        found: dict[TargetId, None] = {}
        for step in range(min(len(holders), MAX_HOLDERS)):
            found[holders[(first + step) % len(holders)]] = None
        self._add_neighbours(digest, found)
        return list(found)

    def _add_neighbours(self, digest: int, found: dict[TargetId, None]) -> None:
        size, limit = len(self._ring), len(found) + MAX_NEIGHBOURS
        start = bisect_left(self._ring, (digest, ""))
        for step in range(min(size, limit * RING_POINTS)):
            found[self._ring[(start + step) % size][1]] = None
            if len(found) >= limit:
                return


def _list_ring_points(target: TargetId) -> Iterable[int]:
    for number in range(RING_POINTS):
        yield xxhash.xxh32_intdigest(target.encode(), number)


@dataclass
class _TargetState:
    view: TargetView
    report: LoadReport
    recent: deque[tuple[float, int]] = field(default_factory=deque)


class EntryView:
    """One entry host's view of a service's targets.

    The host's own dispatches count until a report can include them, and their adapters
    count as being loaded, so that a burst between two reports is spread over targets.

    :param lag: maximum age in seconds of a report on arrival.
    """

    def __init__(self, lag: float = REPORT_LAG_SECONDS) -> None:
        self._lag = lag
        self._states: dict[TargetId, _TargetState] = {}
        self._index = TargetIndex()

    def __len__(self) -> int:
        return len(self._states)

    def add(self, target: TargetId, failure_domain: FailureDomain) -> None:
        """Add a registered target that has not reported yet."""
        if target not in self._states:
            report = LoadReport(target, 0, 0, 1, 8, (), (), 1.0)
            self._states[target] = _TargetState(
                TargetView(target, failure_domain), report
            )
            self._index.add(target)

    def remove(self, target: TargetId) -> None:
        """Remove a target whose registration has ended."""
        self._states.pop(target, None)
        self._index.remove(target)

    def observe(self, report: LoadReport, now: float) -> None:
        """Record a report; reports of unknown targets are ignored.

        :param now: monotonic time of its arrival in seconds.
        """
        state = self._states.get(report.target)
        if state is None:
            return
        while state.recent and state.recent[0][0] <= now - self._lag:
            state.recent.popleft()
        state.report = report
        self._update_view(state)

    def record_dispatch(self, target: TargetId, adapter: int, now: float) -> None:
        """Count an own dispatch until a report can include it."""
        state = self._states[target]
        while state.recent and state.recent[0][0] <= now - MAX_UNREPORTED_SECONDS:
            state.recent.popleft()
        state.recent.append((now, adapter))
        self._update_view(state)

    def set_reachable(self, target: TargetId, reachable: bool) -> None:
        """Record whether the link to the target's agent is up."""
        state = self._states.get(target)
        if state is not None and state.view.reachable != reachable:
            state.view = replace(state.view, reachable=reachable)

    def candidates(self, adapter: int, draw: float = 0.0) -> list[TargetView]:
        """Return the views from which `place` chooses for this adapter.

        :param draw: random number in [0, 1), see `TargetIndex.find`.
        """
        if not adapter:
            return [state.view for state in self._states.values()]
        return [self._states[target].view for target in self._index.find(adapter, draw)]

    def place(self, query: PlacementQuery, draw: Callable[[], float]) -> Placed | None:
        """Choose a target among the candidates, or among all if no candidate is usable.

        :param draw: returns a random number in [0, 1), to break ties.
        """
        if len(self._states) <= SMALL_FLEET_SIZE:
            return place(query, self.all(), draw)
        placed = place(query, self.candidates(query.adapter, draw()), draw)
        return placed or place(query, self.all(), draw)

    def all(self) -> list[TargetView]:
        """Return the views of all targets."""
        return [state.view for state in self._states.values()]

    def _update_view(self, state: _TargetState) -> None:
        report, view = state.report, state.view
        resident = frozenset(report.resident)
        own = [adapter for _, adapter in state.recent if adapter]
        loading = frozenset(report.loading).union(own) - resident
        state.view = TargetView(
            target=view.target,
            failure_domain=view.failure_domain,
            running=report.running,
            queued=report.queued,
            recent_dispatches=len(state.recent),
            batch=report.batch,
            slots=report.slots,
            resident=resident,
            loading=loading,
            seconds_per_request=report.seconds_per_request,
            reachable=view.reachable,
            draining=report.draining,
            seconds_per_load=report.seconds_per_load,
            pending_loads=report.pending_loads
            + len(loading.difference(report.loading)),
            free_slots=report.free_slots,
            coldest=report.coldest_reuse,
            stalled=report.stalled + sum(adapter not in resident for adapter in own),
        )
        self._index.set_held(view.target, resident | loading)
