"""Per-target state of a gateway: reports, requests in flight and statistics."""

import logging
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ibishead.decisions.choice import AdapterState, Candidate
from ibishead.decisions.health import FailureShare
from ibishead.decisions.keptparts import KeptParts, PartChain
from ibishead.decisions.modelwait import estimate_start_wait
from ibishead.decisions.readspeed import INITIAL_RATE, MAX_RATE
from ibishead.decisions.resting import RestTable, is_valid_rest
from ibishead.decisions.sendrate import SendRate
from ibishead.decisions.slowdown import SlowdownReadings
from ibishead.decisions.steptime import is_valid_step_time
from ibishead.gateway.calls import TargetLoad
from ibishead.gateway.stewards import ACK_TIMEOUT_SECONDS
from ibishead.ids import TargetId
from ibishead.routing.messages import (
    EngineReport,
    FailuresTold,
    PromptDelay,
    RefusalsTold,
)
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Registration, WeightKey, list_adapters

__all__ = ["TargetStats", "TargetTracker"]

logger = logging.getLogger(__name__)

#: Seconds for which a reported load is valid. Requests from other gateways change the
#: load continuously.
LOAD_VALID_SECONDS = 0.6

#: Seconds after which a part of a prompt that this gateway sent counts as evicted. The
#: requests of other gateways, which this one doesn't see, evict it as well.
KEPT_PART_SECONDS = 10.0

#: Reported backlogs beyond this are clamped to it.
MAX_BACKLOG_TOKENS = 10_000_000

#: Weight of the newest duration in the moving average.
DURATION_WEIGHT = 0.1

#: Seconds for which a target is not selected after a failed connection attempt.
UNREACHABLE_SECONDS = 1.5

#: Seconds since an engine last sent data within which it counts as responsive although
#: its steward is unresponsive. Streams send several events in this time. Data received
#: before the request that the steward failed to acknowledge proves nothing, so the time
#: equals the steward's acknowledgement time-out.
RESPONSIVE_SECONDS = ACK_TIMEOUT_SECONDS

#: Minimum seconds to expect until a model is loaded while its engine has not reported
#: it.
MIN_MODEL_WAIT_SECONDS = 0.05

#: Seconds without a statement from a target at any registry after which it counts as
#: silent. Three consecutive statements are lost by then.
SILENT_AFTER_SECONDS = 4.5


@dataclass
class TargetStats:
    """Statistics on one incarnation of a target.

    :param incarnation: milliseconds since 1970 at which the target started.
    :param in_flight: requests of this gateway that are in progress there.
    :param unread_tokens: prompt tokens of the requests of this gateway whose responses
        have not begun.
    :param sent_since_load: requests sent since the load was last reported.
    :param sent_tokens: prompt tokens sent since the steward's last report.
    :param kept: parts of this gateway's prompts that the engine probably keeps.
    :param load: running and queued requests, as last reported.
    :param load_at: monotonic seconds at which the load was last reported.
    :param failures: share of failures in the responses to this gateway.
    :param reported_failures: share of failures in the responses to all gateways, as
        reported by the steward.
    :param refusing_until: monotonic seconds until which the target rests for another
        gateway.
    :param unreachable_until: monotonic seconds until which the target is not selected.
    :param mean_duration: moving average of the seconds that a request takes.
    :param held: newest version of each adapter that this incarnation has held.
    :param awaited: number of this gateway's requests that wait for each adapter there.
    :param prompt_wait: seconds that a new prompt waits for its turn, as last reported
        by the steward; it decreases as time passes.
    :param prompt_wait_at: monotonic seconds at which `prompt_wait` was reported.
    :param last_data_at: monotonic seconds at which a response last brought data.
    :param missing: weights that the target has rejected as not present; cleared when a
        report shows other holdings.
    :param rate_limit: requests per second that the target accepts from all callers
        together, by its newest response, or ``None`` if it names no limit.
    :param send_rate: limiter for this gateway's share of that limit.
    :param slowdown: readings of the slowdown of the target's host, by responses and
        reports.
    :param slowdown_told: the steward has told a slowdown of this incarnation, so that
        its reports say when there is none.
    """

    incarnation: int
    in_flight: int = 0
    unread_tokens: int = 0
    sent_since_load: int = 0
    load: int = 0
    load_at: float = -LOAD_VALID_SECONDS
    failures: FailureShare = field(default_factory=FailureShare)
    reported_failures: FailureShare = field(default_factory=FailureShare)
    refusing_until: float = 0.0
    unreachable_until: float = 0.0
    mean_duration: float = 0.0
    report: EngineReport | None = None
    report_at: float = 0.0
    held: dict[WeightKey, int] = field(default_factory=dict)
    awaited: Counter[WeightKey] = field(default_factory=Counter)
    prompt_wait: float = 0.0
    prompt_wait_at: float = 0.0
    last_data_at: float = -RESPONSIVE_SECONDS
    missing: set[WeightKey] = field(default_factory=set)
    rate_limit: float | None = None
    send_rate: SendRate = field(default_factory=SendRate)
    slowdown: SlowdownReadings = field(default_factory=SlowdownReadings)
    slowdown_told: bool = False
    sent_tokens: int = 0
    kept: KeptParts = field(default_factory=lambda: KeptParts(KEPT_PART_SECONDS))


class TargetTracker:
    """Tracks the state of all targets of this gateway.

    :ivar rests: the rests that targets have asked this gateway for.
    :ivar refused_in_rest: number of requests that targets have refused in a rest.
    :ivar invalid_slowdowns: number of responses with a slowdown out of range.
    """

    def __init__(self) -> None:
        self.rests = RestTable()
        self.refused_in_rest = 0
        self.invalid_slowdowns = 0
        self._stats: dict[TargetId, TargetStats] = {}
        self._mean_durations: dict[str, float] = {}
        self._route_durations: dict[tuple[str, str], float] = {}

    def stats(self, target: Registration) -> TargetStats:
        """Return the statistics on a target's current incarnation.

        They are of a later incarnation than the registration if one is known.
        """
        return self._find_stats(target.target, target.born)

    def is_outdated(self, target: Registration) -> bool:
        """Return whether a later incarnation than that of a registration is known.

        A steward's report may show it before its first registration arrives.
        """
        return self.stats(target).incarnation > target.born

    def has_reported(self, target: Registration, since: float) -> bool:
        """Return whether a steward has reported a start of its engine since a time."""
        stats = self.stats(target)
        return stats.incarnation == target.born and stats.report_at > since

    def record_report(self, report: EngineReport, now: float) -> None:
        """Record a report that a steward has read from its engine."""
        stats = self._find_stats(report.target, report.born)
        if stats.incarnation > report.born:
            return
        if stats.report is None or stats.report.holdings != report.holdings:
            stats.missing.clear()
            stats.held.update(list_adapters(report.holdings))
        stats.report, stats.report_at = report, now
        stats.sent_tokens = 0
        stats.load = report.running + report.queued
        stats.load_at = now
        stats.sent_since_load = 0
        # A steward that knows no slowdown reports 1 as well, which must not replace
        # what a response has told.
        stats.slowdown_told = stats.slowdown_told or report.slowdown != 1.0
        if stats.slowdown_told:
            stats.slowdown.record(report.slowdown, now)
            stats.slowdown.set_usual(report.usual_slowdown)

    def record_delay(self, delay: PromptDelay, now: float) -> None:
        """Record how long prompts wait for their turn at an engine."""
        stats = self._stats.get(delay.target)
        if stats is not None:
            stats.prompt_wait, stats.prompt_wait_at = delay.seconds, now

    def begin_request(self, stats: TargetStats, prompt_tokens: int) -> None:
        """Count a request that is being sent."""
        stats.in_flight += 1
        stats.sent_since_load += 1
        stats.unread_tokens += prompt_tokens
        stats.sent_tokens += prompt_tokens

    def record_parts(
        self,
        stats: TargetStats,
        weights: WeightKey,
        chain: PartChain,
        now: float,
    ) -> None:
        """Record the parts of a prompt that is being sent to an engine."""
        stats.kept.record_read(weights, chain, now)

    def begin_response(self, stats: TargetStats, prompt_tokens: int) -> None:
        """Count a prompt as read, as its response has begun or its send has ended."""
        stats.unread_tokens -= prompt_tokens

    def end_request(self, stats: TargetStats) -> None:
        """Count a request as finished."""
        stats.in_flight -= 1

    def record_load(self, stats: TargetStats, load: TargetLoad, now: float) -> None:
        """Record the load that a response reports."""
        stats.load = load.running + load.waiting
        stats.load_at = now
        stats.sent_since_load = 0
        self.invalid_slowdowns += load.invalid_slowdown
        stats.slowdown.record(load.slowdown, now)

    def record_limit(
        self,
        target: Registration,
        rate: float | None,
        gateways: int,
        now: float,
        offset: float,
    ) -> None:
        """Record the rate limit that a response names, or that it names none.

        :param rate: requests per second, or ``None`` for no limit.
        :param gateways: number of gateways that share the limit.
        :param offset: fraction of a period until this gateway's first request. It
            spreads the requests of gateways that learn of the limit simultaneously.
        """
        stats = self.stats(target)
        stats.send_rate.limit(None if rate is None else rate / gateways, now, offset)
        if rate == stats.rate_limit:
            return
        stats.rate_limit = rate
        logger.info(
            "target set a rate limit"
            if rate is not None
            else "target removed its rate limit",
            extra={
                "target": target.target,
                "service": target.service,
                "requests_a_second": rate,
            },
        )

    def record_refusal(
        self,
        target: Registration,
        seconds: float | None,
        selected_at: float,
        now: float,
        offset: float = 0.0,
    ) -> None:
        """Record a refusal, and begin the rest that it asks for if it is a valid one.

        :param seconds: length of the rest, or ``None`` if the refusal asks for none.
        :param selected_at: monotonic seconds at which the target was selected for the
            refused request.
        :param offset: random number in [0, 1) that spreads the ends of rests.
        """
        rest = self.rests.find(target.target, target.born)
        left = rest.left(now) if rest is not None else 0.0
        self.refused_in_rest += left > 0
        selected_in_rest = rest is not None and left > 0 and selected_at > rest.began
        if is_valid_rest(seconds):
            self.rests.begin(target.target, target.born, seconds, now, offset)
        if seconds is not None or left:
            logger.info(
                "target asked for rest"
                if is_valid_rest(seconds)
                else "target refused without a valid request for rest",
                extra={
                    "target": target.target,
                    "service": target.service,
                    "seconds": seconds,
                    "rest_left": round(left, 3),
                    "selected_in_rest": selected_in_rest,
                    "since_selection": round(now - selected_at, 4),
                },
            )

    def record_refusals(self, told: RefusalsTold, now: float) -> None:
        """Record that an engine has asked another gateway for rest."""
        stats = self._stats.get(told.target)
        if stats is not None and is_valid_rest(told.seconds):
            stats.refusing_until = max(stats.refusing_until, now + told.seconds)

    def find_rest(self, target: Registration, now: float) -> float:
        """Return the seconds for which a target rests, 0 if it doesn't."""
        rest = self.rests.find(target.target, target.born)
        return rest.left(now) if rest is not None else 0.0

    def take_return(self, target: Registration, now: float) -> float:
        """Count a request to a target that may have rested.

        :returns: seconds until the request may be sent.
        """
        rest = self.rests.find(target.target, target.born)
        return rest.take(now) if rest is not None else 0.0

    def count_limited(self) -> int:
        """Return the number of targets that name a rate limit."""
        return sum(1 for s in self._stats.values() if s.rate_limit is not None)

    def begin_wait(self, stats: TargetStats, key: WeightKey) -> None:
        """Count a request that waits for an adapter at a target."""
        stats.awaited[key] += 1

    def end_wait(self, stats: TargetStats, key: WeightKey) -> None:
        """Count such a wait as finished."""
        stats.awaited[key] -= 1
        if not stats.awaited[key]:
            del stats.awaited[key]

    def record_outcome(self, stats: TargetStats, failed: bool, now: float) -> None:
        """Count a response as a success or a failure."""
        stats.failures.record(failed, now)

    def record_failures(self, report: FailuresTold, now: float) -> None:
        """Record the share of failures in an engine's responses to all gateways."""
        stats = self._stats.get(report.target)
        if stats is not None:
            stats.reported_failures.set(report.share, now)

    def record_duration(
        self, service: str, stats: TargetStats, seconds: float, route: str = ""
    ) -> None:
        """Record how long a complete request took."""
        self._route_durations[service, route] = _update_mean(
            self._route_durations.get((service, route), 0.0), seconds
        )
        stats.mean_duration = _update_mean(stats.mean_duration, seconds)
        self._mean_durations[service] = _update_mean(
            self._mean_durations.get(service, 0.0), seconds
        )

    def mark_unreachable(self, stats: TargetStats, now: float) -> None:
        """Exclude a target from selection for a while after a failed connection."""
        stats.unreachable_until = now + UNREACHABLE_SECONDS

    def is_responsive(self, stats: TargetStats, now: float) -> bool:
        """Return whether a target has sent data recently."""
        return now - stats.last_data_at < RESPONSIVE_SECONDS

    def mean_duration(self, service: str, route: str | None = None) -> float:
        """Return the average seconds that a request of a service takes.

        :param route: route of the request; its own average is returned if there is one.
        """
        mean = self._mean_durations.get(service, 0.0)
        return (
            mean if route is None else self._route_durations.get((service, route), mean)
        )

    def make_candidate(
        self,
        target: Registration,
        last_heard: float,
        now: float,
        weights: WeightKey | None,
        min_version: int,
        manageable: bool,
        spec: EngineSpec | None = None,
        steward_unresponsive: bool = False,
        chain: PartChain = (),
    ) -> Candidate:
        """Return the data on a target that the selection compares.

        :param last_heard: monotonic seconds at which any registry last received a
            statement from the target.
        :param weights: weights that the request needs, or ``None`` if it needs none.
        :param min_version: lowest adapter version that the request may begin on.
        :param manageable: the target's steward is linked and takes requests for turns.
        :param spec: capacity of an engine of the service.
        :param steward_unresponsive: the target's steward leaves requests for turns
            unacknowledged.
        :param chain: the parts of the request's prompt.
        """
        stats = self.stats(target)
        busy = stats.in_flight
        if now - stats.load_at < LOAD_VALID_SECONDS:
            busy = max(busy, stats.load + stats.sent_since_load)
        mean = self._mean_durations.get(target.service, 0.0)
        pace = (
            stats.mean_duration / mean if mean > 0 and stats.mean_duration > 0 else 1.0
        )
        read_rate = stats.report.read_rate if stats.report is not None else 0.0
        step_time = stats.report.step_time if stats.report is not None else 0.0
        rest = self.rests.find(target.target, target.born)
        place = self._find_place(target, stats, weights, min_version, manageable)
        if not place.serving:
            place = replace(place, model_wait=_find_model_wait(stats, spec, now))
        return Candidate(
            target.target,
            target.domain,
            busy,
            max(1, target.slots),
            _find_backlog(stats, now),
            min(4.0, max(0.25, pace)),
            max(stats.failures.read(now), stats.reported_failures.read(now)),
            silent=now - last_heard > SILENT_AFTER_SECONDS,
            unreachable=now < stats.unreachable_until
            or (steward_unresponsive and not self.is_responsive(stats, now)),
            prompt_wait=max(0.0, stats.prompt_wait - (now - stats.prompt_wait_at)),
            read_rate=read_rate if 0 < read_rate <= MAX_RATE else INITIAL_RATE,
            # A linked steward enforces the limit itself and includes it in the delays
            # that it reports.
            rate_limit_wait=0.0
            if weights is not None and manageable
            else stats.send_rate.wait(now),
            resting=rest is not None and rest.left(now) > 0,
            refusing=now < stats.refusing_until,
            return_wait=rest.wait(now) if rest is not None else 0.0,
            step_time=step_time if is_valid_step_time(step_time) else 0.0,
            slowdown=stats.slowdown.expect(now),
            usual_slowdown=stats.slowdown.usual,
            kept_tokens=_count_kept(stats, spec, chain, now),
            adapter=place,
        )

    def retain(self, known: Collection[TargetId]) -> None:
        """Discard the statistics on all other targets.

        Targets come and go continuously, and the statistics include every adapter that
        each one has held. Without this, the gateway's memory grows until the process is
        killed.
        """
        for target in self._stats.keys() - known:
            del self._stats[target]

    def _find_stats(self, target: TargetId, incarnation: int) -> TargetStats:
        found = self._stats.get(target)
        if found is None or found.incarnation < incarnation:
            found = self._stats[target] = TargetStats(incarnation)
        return found

    def _find_place(
        self,
        target: Registration,
        stats: TargetStats,
        weights: WeightKey | None,
        min_version: int,
        manageable: bool,
    ) -> AdapterState:
        if weights is None:
            return AdapterState(resident=True)
        report = stats.report
        holdings = report.holdings if report is not None else target.holdings
        version, serving = None, False
        for holding in holdings:
            if holding.model == weights.model:
                serving = True
                for ref in holding.adapters:
                    if ref.name == weights.adapter:
                        version = ref.version
        resident = version is not None and version >= min_version
        if not weights.adapter:
            resident = serving
        awaited = set(stats.awaited)
        if report is not None:
            awaited.update(report.awaited)
            awaited.difference_update(key for key, _ in report.loading)
        loading = report is not None and any(
            key == weights for key, _ in report.loading
        )
        return AdapterState(
            resident=resident and weights not in stats.missing,
            loading=loading and manageable,
            recent=stats.held.get(weights, -1) >= min_version,
            outdated=version is not None and not resident,
            free_slots=report.free_slots if report is not None else 1,
            requested=weights in awaited,
            pending_loads=len(awaited),
            serving=serving,
            manageable=manageable,
        )


def _find_model_wait(stats: TargetStats, spec: EngineSpec | None, now: float) -> float:
    report = stats.report
    if report is None or not report.model_wait:
        return estimate_start_wait(spec)
    # A load that exceeds the steward's estimate may finish at any moment.
    return max(MIN_MODEL_WAIT_SECONDS, report.model_wait - (now - stats.report_at))


def _find_backlog(stats: TargetStats, now: float) -> int:
    """Return the prompt tokens that a target has to read, from all gateways.

    A report is some tenths of a second old, so the prompts sent since are added, and
    what the engine has probably read since is not counted. In `benchmarks.policy_cost`
    the latter reduces the requests that are late from 1.5 in 100 to none. A report
    without a backlog may be from a steward that doesn't count it.
    """
    unread, report = max(0, stats.unread_tokens), stats.report
    if report is None or now - stats.report_at >= LOAD_VALID_SECONDS:
        return unread
    if report.prompt_backlog <= 0:
        return unread
    reported = min(MAX_BACKLOG_TOKENS, report.prompt_backlog)
    rate = report.read_rate if report.read_rate > 0 else INITIAL_RATE
    left = max(0, reported - round(rate * max(0.0, now - stats.report_at)))
    return max(unread, left + stats.sent_tokens)


def _count_kept(
    stats: TargetStats, spec: EngineSpec | None, chain: PartChain, now: float
) -> int:
    if not chain or spec is None or spec.cache_tokens <= 0:
        return 0
    used = stats.report.cache_used if stats.report is not None else 0
    stats.kept.trim(spec.cache_tokens - max(0, used))
    return stats.kept.count_kept(chain, now)


def _update_mean(mean: float, seconds: float) -> float:
    return seconds if mean <= 0 else mean + DURATION_WEIGHT * (seconds - mean)
