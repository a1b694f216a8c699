"""Where requests go and whether they are taken, by what this host knows of targets.

The decisions are in `ibishead.decisions`; this stage keeps their inputs.
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
from ibishead.entry.resolution import Resolved
from ibishead.errors import ErrorCode, Unavailable
from ibishead.errors import Refused as RefusedRequest
from ibishead.ids import FailureDomain, ServiceName, TargetId, TeamId
from ibishead.messages import LoadReport, TargetRecord

__all__ = ["Placer"]

#: How far a team may exceed its part of the queue under contention. Shares are of
#: what several hosts see together, each late, so a strict part would waste capacity.
TEAM_SLACK = 1.5

#: Seconds without a report after which an agent gets no new work.
SUSPECT_AFTER = 1.2
SWEEP_INTERVAL = 0.25


class Placer:
    """This host's views of all targets, by service.

    :param chance: source of ties and spreads.
    """

    def __init__(
        self, clock: Clock, failure_domain: FailureDomain, chance: random.Random
    ) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._chance = chance
        self._views: dict[ServiceName, EntryView] = {}
        self._services: dict[TargetId, ServiceName] = {}
        self._open: dict[ServiceName, Counter[tuple[TeamId, int]]] = {}
        self._changed = asyncio.Event()
        self._heard: dict[TargetId, float] = {}
        self._swept = 0.0

    def add(self, record: TargetRecord) -> None:
        """Take in a target that control has announced, or announced again."""
        if record.target in self._services:
            return
        self._services[record.target] = record.service
        view = self._views.setdefault(record.service, EntryView())
        view.add(record.target, record.failure_domain)
        view.set_reachable(record.target, False)

    def remove(self, target: TargetId) -> None:
        """Forget a target; nothing more is placed on it."""
        service = self._services.pop(target, None)
        self._heard.pop(target, None)
        if service is not None:
            self._views[service].remove(target)

    def observe(self, report: LoadReport) -> None:
        """Take in an agent's report; an unhealthy target is out of reach."""
        view = self._find_view(report.target)
        if view is not None:
            now = self._clock.monotonic()
            self._heard[report.target] = now
            view.observe(report, now)
            view.set_reachable(report.target, report.healthy)
            self._changed.set()

    def lose(self, target: TargetId) -> None:
        """Note that the link to a target's agent is down."""
        view = self._find_view(target)
        if view is not None:
            view.set_reachable(target, False)

    def record_dispatch(self, target: TargetId, adapter: int) -> None:
        """Count an own dispatch until a report can include it."""
        view = self._find_view(target)
        if view is not None:
            view.record_dispatch(target, adapter, self._clock.monotonic())

    def takes_work(self, target: TargetId) -> bool:
        """Whether a target is in reach and not leaving, by the last that was heard."""
        view = self._find_view(target)
        return view is not None and any(
            item.target == target and _is_up(item) for item in view.all()
        )

    def expects_targets(self, resolved: Resolved, avoid: frozenset[TargetId]) -> bool:
        """Whether control knows a target that might be reached again soon."""
        view = self._views.get(resolved.call.service)
        return view is not None and any(
            not item.reachable and not item.draining and item.target not in avoid
            for item in view.all()
        )

    async def wait_for_change(self) -> None:
        """Return once an agent has reported."""
        self._changed.clear()
        await self._changed.wait()

    def begin(self, resolved: Resolved) -> None:
        """Count a request that was taken."""
        self._count(resolved, 1)

    def end(self, resolved: Resolved) -> None:
        """Count it no more."""
        self._count(resolved, -1)

    def place(self, resolved: Resolved, avoid: frozenset[TargetId]) -> Placed | None:
        """Choose a target, or none when no target can take the request."""
        view = self._views.get(resolved.call.service)
        if view is None:
            return None
        self._suspect_quiet_agents()
        adapter = adapter_digest(resolved.call.adapter, resolved.version)
        query = PlacementQuery(
            adapter=adapter,
            stall_weight=resolved.document.stall_weight,
            failure_domain=self._failure_domain,
            avoid=avoid,
        )
        return view.place(query, self._chance.random)

    def admit(self, resolved: Resolved, placed: Placed | None) -> Admitted:
        """Take a request, by the load that it meets at the target chosen.

        :raises IbisheadError: it was not run, and may come back later.
        """
        verdict = admit(self._ask(resolved, placed))
        match verdict:
            case Refused(code=code, reason=reason, retry_after=retry_after):
                kind = Unavailable if code is ErrorCode.NO_TARGET else RefusedRequest
                raise kind(
                    f"the request was not run: {reason}",
                    "send it again after the given time",
                    code=code,
                    retry_after=timedelta(seconds=retry_after),
                )
        return verdict

    def _ask(self, resolved: Resolved, placed: Placed | None) -> AdmissionQuery:
        service = resolved.call.service
        view = self._views.get(service)
        up = [v for v in view.all() if _is_up(v)] if view is not None else []
        waiting = sum(_count_waiting(item) for item in up)
        open_here = self._open.get(service, Counter())
        total = max(sum(open_here.values()), 1)
        level = resolved.request_class.priority
        of_team = sum(n for (team, _), n in open_here.items() if team == resolved.team)
        of_class = sum(n for (_, other), n in open_here.items() if other == level)
        return AdmissionQuery(
            priority=level,
            deadline=resolved.request_class.deadline.total_seconds(),
            waiting=waiting,
            capacity=sum(item.batch for item in up),
            seconds_per_request=sum(item.seconds_per_request for item in up)
            / max(len(up), 1),
            team_share=_find_share(resolved) * TEAM_SLACK,
            team_waiting=waiting * of_team // total,
            class_waiting=waiting * of_class // total,
            draw=self._chance.random(),
            expected_wait=placed.expected_wait if placed else 0.0,
            needs_load=placed.needs_load if placed else False,
            pending_loads=sum(item.pending_loads for item in up),
            report_age=self._find_age(up),
        )

    def _find_age(self, up: list[TargetView]) -> float:
        """Return the seconds since the report that came first, 0 without any."""
        now = self._clock.monotonic()
        heard = (self._heard.get(view.target, now) for view in up)
        return now - min(heard, default=now)

    def _suspect_quiet_agents(self) -> None:
        # Agents report all the time, so one that has missed some reports gets nothing
        # more until it is heard. Its link is given up later.
        now = self._clock.monotonic()
        if now - self._swept < SWEEP_INTERVAL:
            return
        self._swept = now
        for target, heard in self._heard.items():
            if now - heard > SUSPECT_AFTER:
                self.lose(target)

    def _count(self, resolved: Resolved, change: int) -> None:
        counter = self._open.setdefault(resolved.call.service, Counter())
        name = (resolved.team, resolved.request_class.priority)
        counter[name] += change
        if not counter[name]:
            del counter[name]

    def _find_view(self, target: TargetId) -> EntryView | None:
        service = self._services.get(target)
        return None if service is None else self._views.get(service)


def _is_up(view: TargetView) -> bool:
    return view.reachable and not view.draining


def _count_waiting(view: TargetView) -> int:
    # What waits for its adapter doesn't wait for its turn, and a turn comes at once
    # while the batch has room
    ready = view.running + view.queued + view.recent_dispatches - view.stalled
    return max(ready - view.batch, 0)


def _find_share(resolved: Resolved) -> float:
    shares = {caller.team: caller.share for caller in resolved.document.callers}
    total = sum(shares.values())
    return resolved.share / total if total else 1.0
