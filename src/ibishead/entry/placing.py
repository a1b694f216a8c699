"""Placement and admission of requests by this host's view of the targets.

The decisions are made in `ibishead.decisions`; this module maintains their inputs.
"""

import asyncio
import random
from collections import Counter
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.decisions.admission import AdmissionQuery, Admitted, Refused, admit
from ibishead.decisions.placement import (
    Placed,
    PlacementQuery,
    TargetView,
    adapter_digest,
)
from ibishead.decisions.views import EntryView
from ibishead.entry.resolution import ResolvedCall
from ibishead.errors import ErrorCode, Unavailable
from ibishead.errors import Refused as RefusedRequest
from ibishead.ids import FailureDomain, ServiceName, TargetId, TeamId
from ibishead.messages import LoadReport, TargetRecord

__all__ = ["Placer"]

#: Factor by which a team may exceed its share of the queue under contention. Shares
#: refer to the load of several hosts, which each host sees only in part and late, so a
#: strict limit would waste capacity.
TEAM_SHARE_FACTOR = 1.5

#: Seconds without a load report after which an agent gets no new attempts.
REPORT_TIMEOUT_SECONDS = 1.2
#: Seconds between checks for agents whose reports are overdue.
SWEEP_INTERVAL_SECONDS = 0.25


class Placer:
    """Holds this host's view of all targets, by service.

    :param rng: random numbers that break ties and spread load.
    """

    def __init__(
        self, clock: Clock, failure_domain: FailureDomain, rng: random.Random
    ) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._rng = rng
        self._views: dict[ServiceName, EntryView] = {}
        self._services: dict[TargetId, ServiceName] = {}
        self._open_requests: dict[ServiceName, Counter[tuple[TeamId, int]]] = {}
        self._changed = asyncio.Event()
        self._reported_at: dict[TargetId, float] = {}
        self._swept_at = 0.0

    def add(self, record: TargetRecord) -> None:
        """Add a target that control has announced; a known target is unchanged."""
        if record.target in self._services:
            return
        self._services[record.target] = record.service
        view = self._views.setdefault(record.service, EntryView())
        view.add(record.target, record.failure_domain)
        view.set_reachable(record.target, False)

    def remove(self, target: TargetId) -> None:
        """Remove a target, so that nothing more is placed on it."""
        service = self._services.pop(target, None)
        self._reported_at.pop(target, None)
        if service is not None:
            self._views[service].remove(target)

    def observe(self, report: LoadReport) -> None:
        """Apply an agent's load report; an unhealthy target counts as unreachable."""
        view = self._find_view(report.target)
        if view is not None:
            now = self._clock.monotonic()
            self._reported_at[report.target] = now
            view.observe(report, now)
            view.set_reachable(report.target, report.healthy)
            self._changed.set()

    def mark_unreachable(self, target: TargetId) -> None:
        """Mark a target unreachable until its agent's next report."""
        view = self._find_view(target)
        if view is not None:
            view.set_reachable(target, False)

    def record_dispatch(self, target: TargetId, adapter: int) -> None:
        """Count a dispatch of this host until a load report can include it."""
        view = self._find_view(target)
        if view is not None:
            view.record_dispatch(target, adapter, self._clock.monotonic())

    def accepts_attempts(self, target: TargetId) -> bool:
        """Whether a target is reachable and not draining, by its latest report."""
        view = self._find_view(target)
        return view is not None and any(
            item.target == target and _is_available(item) for item in view.all()
        )

    def has_unreachable_target(
        self, resolved: ResolvedCall, avoid: frozenset[TargetId]
    ) -> bool:
        """Whether a known target not in ``avoid`` may become reachable again soon."""
        view = self._views.get(resolved.call.service)
        return view is not None and any(
            not item.reachable and not item.draining and item.target not in avoid
            for item in view.all()
        )

    async def wait_for_change(self) -> None:
        """Wait until an agent has reported."""
        self._changed.clear()
        await self._changed.wait()

    def begin(self, resolved: ResolvedCall) -> None:
        """Count a request as open."""
        self._count(resolved, 1)

    def end(self, resolved: ResolvedCall) -> None:
        """Stop counting a request as open."""
        self._count(resolved, -1)

    def place(
        self, resolved: ResolvedCall, avoid: frozenset[TargetId]
    ) -> Placed | None:
        """Choose a target, or return ``None`` when no target is available."""
        view = self._views.get(resolved.call.service)
        if view is None:
            return None
        self._mark_silent_agents()
        adapter = adapter_digest(resolved.call.adapter, resolved.version)
        query = PlacementQuery(
            adapter=adapter,
            stall_weight=resolved.document.stall_weight,
            failure_domain=self._failure_domain,
            avoid=avoid,
        )
        return view.place(query, self._rng.random)

    def admit(self, resolved: ResolvedCall, placed: Placed | None) -> Admitted:
        """Admit a request by the load at the chosen target.

        :raises IbisheadError: the request is refused and was not run; the caller may
            retry later.
        """
        decision = admit(self._make_admission_query(resolved, placed))
        match decision:
            case Refused(code=code, reason=reason, retry_after=retry_after):
                kind = Unavailable if code is ErrorCode.NO_TARGET else RefusedRequest
                raise kind(
                    f"the request was not run: {reason}",
                    "retry after the given time",
                    code=code,
                    retry_after=timedelta(seconds=retry_after),
                )
        return decision

    def _make_admission_query(
        self, resolved: ResolvedCall, placed: Placed | None
    ) -> AdmissionQuery:
        service = resolved.call.service
        view = self._views.get(service)
        available = (
            [v for v in view.all() if _is_available(v)] if view is not None else []
        )
        waiting = sum(_count_waiting(item) for item in available)
        open_here = self._open_requests.get(service, Counter())
        total = max(sum(open_here.values()), 1)
        priority = resolved.request_class.priority
        open_of_team = sum(
            number for (team, _), number in open_here.items() if team == resolved.team
        )
        open_of_class = sum(
            number for (_, other), number in open_here.items() if other == priority
        )
        return AdmissionQuery(
            priority=priority,
            deadline=resolved.request_class.deadline.total_seconds(),
            waiting=waiting,
            capacity=sum(item.batch for item in available),
            seconds_per_request=sum(item.seconds_per_request for item in available)
            / max(len(available), 1),
            team_share=_find_team_share(resolved) * TEAM_SHARE_FACTOR,
            team_waiting=waiting * open_of_team // total,
            class_waiting=waiting * open_of_class // total,
            draw=self._rng.random(),
            expected_wait=placed.expected_wait if placed else 0.0,
            needs_load=placed.needs_load if placed else False,
            pending_loads=sum(item.pending_loads for item in available),
            report_age=self._find_report_age(available),
        )

    def _find_report_age(self, available: list[TargetView]) -> float:
        """Return the age of the oldest report in seconds, 0 without any report."""
        now = self._clock.monotonic()
        reported_at = (self._reported_at.get(view.target, now) for view in available)
        return now - min(reported_at, default=now)

    def _mark_silent_agents(self) -> None:
        # Agents report continuously, so an agent with several reports overdue gets no
        # more attempts until its next report. Its link is closed only later.
        now = self._clock.monotonic()
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        for target, reported_at in self._reported_at.items():
            if now - reported_at > REPORT_TIMEOUT_SECONDS:
                self.mark_unreachable(target)

    def _count(self, resolved: ResolvedCall, change: int) -> None:
        counter = self._open_requests.setdefault(resolved.call.service, Counter())
        key = (resolved.team, resolved.request_class.priority)
        counter[key] += change
        if not counter[key]:
            del counter[key]

    def _find_view(self, target: TargetId) -> EntryView | None:
        service = self._services.get(target)
        return None if service is None else self._views.get(service)


def _is_available(view: TargetView) -> bool:
    return view.reachable and not view.draining


def _count_waiting(view: TargetView) -> int:
    # Requests that wait for an adapter load do not wait for a slot in the batch, and a
    # request gets a slot at once while the batch has room
    ready = view.running + view.queued + view.recent_dispatches - view.stalled
    return max(ready - view.batch, 0)


def _find_team_share(resolved: ResolvedCall) -> float:
    shares = {caller.team: caller.share for caller in resolved.document.callers}
    total = sum(shares.values())
    return resolved.share / total if total else 1.0
