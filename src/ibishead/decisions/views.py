"""What an entry host knows of its targets, and which of them an adapter concerns."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import xxhash

from ibishead.decisions.placement import Placed, PlacementQuery, TargetView, place
from ibishead.ids import FailureDomain, TargetId
from ibishead.messages import LoadReport

__all__ = ["EntryView", "TargetIndex"]

#: Points of each target on the hash ring; more make the shares more even.
RING_POINTS = 32
#: Targets that the ring proposes for an adapter. Above the placement's own number
#: of candidates, so that some may be down, full or slow.
NEIGHBOURS = 4
#: Holders looked at for one adapter: a service's hottest may be on every target.
MAX_HOLDERS = 6
#: Targets up to which all are looked at.
SMALL_FLEET = 16
#: Seconds for which an own dispatch counts when no report comes. An agent that is
#: silent for longer isn't reachable; the count must not grow without end.
MAX_UNREPORTED = 5.0
#: Seconds by which a report may be older than its arrival.
REPORT_LAG = 0.1


class TargetIndex:
    """Finds the targets that an adapter concerns without looking at all of them.

    A lookup costs the logarithm of the ring and the few targets that it returns.
    """

    def __init__(self) -> None:
        self._ring: list[tuple[int, TargetId]] = []
        self._held: dict[TargetId, frozenset[int]] = {}
        self._holders: dict[int, list[TargetId]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def add(self, target: TargetId) -> None:
        """Take a target in; again without effect."""
        if target in self._held:
            return
        self._held[target] = frozenset()
        for point in _points(target):
            insort(self._ring, (point, target))

    def remove(self, target: TargetId) -> None:
        """Forget a target and what it holds."""
        if target not in self._held:
            return
        self.set_held(target, frozenset())
        del self._held[target]
        self._ring = [entry for entry in self._ring if entry[1] != target]

    def set_held(self, target: TargetId, digests: frozenset[int]) -> None:
        """Record all adapters that a known target has in slots or on their way."""
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
        """Return holders and ring neighbours of an adapter, each once.

        Of many holders only some are proposed, from a place drawn by chance on, so that
        all copies are used.

        :param draw: from 0 up to 1.
        """
        if len(self._held) <= SMALL_FLEET:
            return list(self._held)
        holders = self._holders.get(digest, [])
        first = int(draw * len(holders))
        found: dict[TargetId, None] = {}
        for step in range(min(len(holders), MAX_HOLDERS)):
            found[holders[(first + step) % len(holders)]] = None
        self._add_neighbours(digest, found)
        return list(found)

    def _add_neighbours(self, digest: int, found: dict[TargetId, None]) -> None:
        size, limit = len(self._ring), len(found) + NEIGHBOURS
        start = bisect_left(self._ring, (digest, ""))
        for step in range(min(size, limit * RING_POINTS)):
            found[self._ring[(start + step) % size][1]] = None
            if len(found) >= limit:
                return


def _points(target: TargetId) -> Iterable[int]:
    for number in range(RING_POINTS):
        yield xxhash.xxh32_intdigest(target.encode(), number)


@dataclass
class _Known:
    view: TargetView
    report: LoadReport
    recent: deque[tuple[float, int]] = field(default_factory=deque)


class EntryView:
    """One entry host's view of a service's targets.

    Own dispatches count until a report can include them, and their adapters count as on
    their way, so that a burst between two reports is spread.

    :param lag: seconds by which a report may be older than its arrival.
    """

    def __init__(self, lag: float = REPORT_LAG) -> None:
        self._lag = lag
        self._known: dict[TargetId, _Known] = {}
        self._index = TargetIndex()

    def __len__(self) -> int:
        return len(self._known)

    def add(self, target: TargetId, failure_domain: FailureDomain) -> None:
        """Take in a registered target that hasn't reported yet."""
        if target not in self._known:
            report = LoadReport(target, 0, 0, 1, 8, (), (), 1.0)
            self._known[target] = _Known(TargetView(target, failure_domain), report)
            self._index.add(target)

    def remove(self, target: TargetId) -> None:
        """Forget a target whose registration has ended."""
        self._known.pop(target, None)
        self._index.remove(target)

    def observe(self, report: LoadReport, now: float) -> None:
        """Take in a report; one of an unknown target is ignored.

        :param now: monotonic seconds of its arrival.
        """
        known = self._known.get(report.target)
        if known is None:
            return
        while known.recent and known.recent[0][0] <= now - self._lag:
            known.recent.popleft()
        known.report = report
        self._correct(known)

    def record_dispatch(self, target: TargetId, adapter: int, now: float) -> None:
        """Count an own dispatch until a report can include it."""
        known = self._known[target]
        while known.recent and known.recent[0][0] <= now - MAX_UNREPORTED:
            known.recent.popleft()
        known.recent.append((now, adapter))
        self._correct(known)

    def set_reachable(self, target: TargetId, reachable: bool) -> None:
        """Record that the link to the target's agent came up or went down."""
        known = self._known.get(target)
        if known is not None and known.view.reachable != reachable:
            known.view = replace(known.view, reachable=reachable)

    def candidates(self, adapter: int, draw: float = 0.0) -> list[TargetView]:
        """Return the views among which `place` chooses for this adapter.

        :param draw: from 0 up to 1, see `TargetIndex.find`.
        """
        if not adapter:
            return [known.view for known in self._known.values()]
        return [self._known[target].view for target in self._index.find(adapter, draw)]

    def place(self, query: PlacementQuery, draw: Callable[[], float]) -> Placed | None:
        """Choose a target among the candidates, or among all when none can take it.

        :param draw: returns a number from 0 up to 1, to break ties.
        """
        if len(self._known) <= SMALL_FLEET:
            return place(query, self.all(), draw)
        placed = place(query, self.candidates(query.adapter, draw()), draw)
        return placed or place(query, self.all(), draw)

    def all(self) -> list[TargetView]:
        """Return the views of all targets."""
        return [known.view for known in self._known.values()]

    def _correct(self, known: _Known) -> None:
        report, view = known.report, known.view
        resident = frozenset(report.resident)
        own = [adapter for _, adapter in known.recent if adapter]
        loading = frozenset(report.loading).union(own) - resident
        known.view = TargetView(
            target=view.target,
            failure_domain=view.failure_domain,
            running=report.running,
            queued=report.queued,
            recent=len(known.recent),
            batch=report.batch,
            slots=report.slots,
            resident=resident,
            loading=loading,
            seconds_per_request=report.seconds_per_request,
            reachable=view.reachable,
            draining=report.draining,
            seconds_per_load=report.seconds_per_load,
            wishes=report.pending_loads + len(loading.difference(report.loading)),
            free_slots=report.free_slots,
            coldest=report.coldest_reuse,
            stalled=report.stalled + sum(adapter not in resident for adapter in own),
        )
        self._index.set_held(view.target, resident | loading)
