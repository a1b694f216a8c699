"""What a gateway knows of each target: reports, own sends, and how answers went."""

import logging
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ibishead.decisions.choice import AdapterPlace, Candidate
from ibishead.decisions.health import FailureShare
from ibishead.decisions.modelwait import expect_start
from ibishead.decisions.readspeed import FIRST_RATE
from ibishead.decisions.sendrate import SendRate
from ibishead.gateway.calls import TargetLoadTold
from ibishead.gateway.stewards import HEARD_TIME
from ibishead.ids import TargetId
from ibishead.routing.messages import EngineReport, FailuresTold, PromptDelay
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Registration, WeightKey, list_adapters

__all__ = ["TargetBook", "TargetNotes"]

logger = logging.getLogger(__name__)

#: Seconds for which a told load counts; other gateways' sends change it all the time.
TOLD_KEPT = 0.6

#: Weight of the newest answer in the mean duration.
PACE_WEIGHT = 0.1

#: Seconds for which a target that refused a connection is passed over.
UNREACHED_KEPT = 1.5

#: Seconds since an engine's last word in which it counts as well although its steward
#: is mute. Streams bring an event several times as often, and whatever came before the
#: question that was left unanswered shows nothing.
ALIVE_TIME = HEARD_TIME

#: Seconds that a model still needs, at least, while its engine doesn't report it.
LEAST_MODEL_WAIT = 0.05

#: Seconds without a word of a target at any registry until it counts as silent. Three
#: of its statements are lost by then.
SILENT_AFTER = 4.5


@dataclass
class TargetNotes:
    """Notes on one life of a target.

    :param sent: requests of this gateway that are there now.
    :param prompts: prompt tokens of those that have not answered yet.
    :param held: the newest version of each adapter that it has had in this life.
    :param failures: by the answers to this gateway, and by those to all of them.
    :param asked: adapters that requests of this gateway wait for there.
    :param heard_at: when an answer of it last brought something, monotonic seconds.
    :param prompt_wait: seconds that a new prompt had to wait for its turn there, when
        its steward last told; it falls with time.
    :param rate_limit: requests a second that it takes from all callers together, by
        its newest answer; none where it names no limit.
    :param share: this gateway's part of that limit.
    """

    born: int
    sent: int = 0
    prompts: int = 0
    sent_since_told: int = 0
    told: int = 0
    told_at: float = -TOLD_KEPT
    failures: FailureShare = field(default_factory=FailureShare)
    told_failures: FailureShare = field(default_factory=FailureShare)
    unreached_until: float = 0.0
    mean_time: float = 0.0
    report: EngineReport | None = None
    report_at: float = 0.0
    held: dict[WeightKey, int] = field(default_factory=dict)
    asked: Counter[WeightKey] = field(default_factory=Counter)
    prompt_wait: float = 0.0
    prompt_wait_at: float = 0.0
    heard_at: float = -ALIVE_TIME
    lacking: set[WeightKey] = field(default_factory=set)
    rate_limit: float | None = None
    share: SendRate = field(default_factory=SendRate)


class TargetBook:
    """Notes on all targets of this gateway."""

    def __init__(self) -> None:
        self._notes: dict[TargetId, TargetNotes] = {}
        self._mean: dict[str, float] = {}

    def notes(self, target: Registration) -> TargetNotes:
        """Return the notes on a target's present life."""
        return self._find_notes(target.target, target.born)

    def take_report(self, report: EngineReport, now: float) -> None:
        """Take in what a steward has read from its engine."""
        notes = self._find_notes(report.target, report.born)
        if notes.report is None or notes.report.holdings != report.holdings:
            notes.lacking.clear()
            notes.held.update(list_adapters(report.holdings))
        notes.report, notes.report_at = report, now
        notes.told = report.running + report.queued
        notes.told_at = now
        notes.sent_since_told = 0

    def take_delay(self, delay: PromptDelay, now: float) -> None:
        """Take in how long prompts wait for their turn at an engine."""
        notes = self._notes.get(delay.target)
        if notes is not None:
            notes.prompt_wait, notes.prompt_wait_at = delay.seconds, now

    def begin(self, notes: TargetNotes, prompt_tokens: int) -> None:
        """Count a request that is sent."""
        notes.sent += 1
        notes.sent_since_told += 1
        notes.prompts += prompt_tokens

    def begin_answer(self, notes: TargetNotes, prompt_tokens: int) -> None:
        """Note that the answer has begun, so the prompt has been read."""
        notes.prompts -= prompt_tokens

    def end(self, notes: TargetNotes) -> None:
        """Count a request as over."""
        notes.sent -= 1

    def note_told(self, notes: TargetNotes, told: TargetLoadTold, now: float) -> None:
        """Take in the load that an answer told."""
        notes.told = told.running + told.waiting
        notes.told_at = now
        notes.sent_since_told = 0

    def note_limit(
        self,
        target: Registration,
        rate: float | None,
        gateways: int,
        now: float,
        offset: float,
    ) -> None:
        """Take in the limit that an answer names, none where it names none.

        :param gateways: how many share it.
        :param offset: part of a period until this gateway's first request. Gateways
            that learn of a limit together are out of step by it.
        """
        notes = self.notes(target)
        notes.share.limit(None if rate is None else rate / gateways, now, offset)
        if rate == notes.rate_limit:
            return
        notes.rate_limit = rate
        logger.info(
            "target names a limit" if rate is not None else "target names no limit",
            extra={
                "target": target.target,
                "service": target.service,
                "requests_a_second": rate,
            },
        )

    def count_limited(self) -> int:
        """Return how many targets name a limit."""
        return sum(1 for n in self._notes.values() if n.rate_limit is not None)

    def begin_ask(self, notes: TargetNotes, key: WeightKey) -> None:
        """Count a request that waits for an adapter there."""
        notes.asked[key] += 1

    def end_ask(self, notes: TargetNotes, key: WeightKey) -> None:
        """Count such a wait as over."""
        notes.asked[key] -= 1
        if not notes.asked[key]:
            del notes.asked[key]

    def note_outcome(self, notes: TargetNotes, failed: bool, now: float) -> None:
        """Count an answer as good or as a failure."""
        notes.failures.note(failed, now)

    def take_failures(self, told: FailuresTold, now: float) -> None:
        """Take in how often an engine fails, by the answers to all gateways."""
        notes = self._notes.get(told.target)
        if notes is not None:
            notes.told_failures.set(told.share, now)

    def note_time(self, service: str, notes: TargetNotes, seconds: float) -> None:
        """Count how long a whole request took."""
        notes.mean_time = _blend(notes.mean_time, seconds)
        self._mean[service] = _blend(self._mean.get(service, 0.0), seconds)

    def note_unreached(self, notes: TargetNotes, now: float) -> None:
        """Pass a target over for a while, as nobody answers there."""
        notes.unreached_until = now + UNREACHED_KEPT

    def is_alive(self, notes: TargetNotes, now: float) -> bool:
        """Return whether a target has brought something a moment ago."""
        return now - notes.heard_at < ALIVE_TIME

    def mean_time(self, service: str) -> float:
        """Return the mean seconds of a request of a service."""
        return self._mean.get(service, 0.0)

    def describe(
        self,
        target: Registration,
        heard: float,
        now: float,
        weights: WeightKey | None,
        least_version: int,
        manageable: bool,
        spec: EngineSpec | None = None,
        mute: bool = False,
    ) -> Candidate:
        """Return what the choice among targets has to know of one.

        :param heard: when any registry last heard of it.
        :param least_version: of the adapter, that the request may begin on.
        :param manageable: the target's steward is linked.
        :param spec: what an engine of the service has room for.
        :param mute: the target's steward leaves questions unanswered.
        """
        notes = self.notes(target)
        busy = notes.sent
        if now - notes.told_at < TOLD_KEPT:
            busy = max(busy, notes.told + notes.sent_since_told)
        mean = self._mean.get(target.service, 0.0)
        pace = notes.mean_time / mean if mean > 0 and notes.mean_time > 0 else 1.0
        read_rate = notes.report.read_rate if notes.report is not None else 0.0
        place = self._place(target, notes, weights, least_version, manageable)
        if not place.serving:
            place = replace(place, model_wait=_expect_model(notes, spec, now))
        return Candidate(
            target.target,
            target.domain,
            busy,
            max(1, target.slots),
            max(0, notes.prompts),
            min(4.0, max(0.25, pace)),
            max(notes.failures.read(now), notes.told_failures.read(now)),
            silent=now - heard > SILENT_AFTER,
            unreached=now < notes.unreached_until
            or (mute and not self.is_alive(notes, now)),
            prompt_wait=max(0.0, notes.prompt_wait - (now - notes.prompt_wait_at)),
            read_rate=read_rate or FIRST_RATE,
            # a steward that is linked keeps the limit, and its delays tell of it
            share_wait=0.0
            if weights is not None and manageable
            else notes.share.wait(now),
            adapter=place,
        )

    def keep(self, known: Collection[TargetId]) -> None:
        """Drop the notes on all other targets.

        Failure: targets come and go all day, each with the adapters that it has had,
        and a gateway grows until it is ended for its memory.
        """
        for target in self._notes.keys() - known:
            del self._notes[target]

    def _find_notes(self, target: TargetId, born: int) -> TargetNotes:
        found = self._notes.get(target)
        if found is None or found.born != born:
            found = self._notes[target] = TargetNotes(born)
        return found

    def _place(
        self,
        target: Registration,
        notes: TargetNotes,
        weights: WeightKey | None,
        least_version: int,
        manageable: bool,
    ) -> AdapterPlace:
        if weights is None:
            return AdapterPlace(resident=True)
        report = notes.report
        holdings = report.holdings if report is not None else target.holdings
        version, serving = None, False
        for holding in holdings:
            if holding.model == weights.model:
                serving = True
                for ref in holding.adapters:
                    if ref.name == weights.adapter:
                        version = ref.version
        resident = version is not None and version >= least_version
        if not weights.adapter:
            resident = serving
        wished = set(notes.asked)
        if report is not None:
            wished.update(report.awaited)
            wished.difference_update(key for key, _ in report.loading)
        coming = report is not None and any(key == weights for key, _ in report.loading)
        return AdapterPlace(
            resident=resident and weights not in notes.lacking,
            coming=coming and manageable,
            recent=notes.held.get(weights, -1) >= least_version,
            outdated=version is not None and not resident,
            room=report.free_slots if report is not None else 1,
            wished=weights in wished,
            wishes=len(wished),
            serving=serving,
            manageable=manageable,
        )


def _expect_model(notes: TargetNotes, spec: EngineSpec | None, now: float) -> float:
    report = notes.report
    if report is None or not report.model_wait:
        return expect_start(spec)
    # one that is late by its steward's word may come at any moment
    return max(LEAST_MODEL_WAIT, report.model_wait - (now - notes.report_at))


def _blend(mean: float, seconds: float) -> float:
    return seconds if mean <= 0 else mean + PACE_WEIGHT * (seconds - mean)
