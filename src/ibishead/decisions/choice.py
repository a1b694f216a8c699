"""Which target gets a request, by one figure: the delay that the caller would see.

Load, adapter and health are weighed in seconds, so that a resident adapter on a busy
engine and a load on an idle one compare.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from ibishead.decisions.readspeed import FIRST_RATE
from ibishead.ids import FailureDomain, TargetId
from ibishead.routing.targets import WeightKey

__all__ = [
    "AdapterPlace",
    "Candidate",
    "Chosen",
    "Need",
    "choose_target",
    "estimate_delay",
    "estimate_wait",
]

#: Seconds until an adapter that is on its way is there, on average half of a load.
COMING_DELAY = 0.15

#: Seconds to load an adapter at full speed of the store, with the order before it, and
#: where the engine has held it before and still has a copy at hand.
LOAD_DELAY = 0.28
RELOAD_DELAY = 0.05

#: Seconds that count for one more copy from the store of an adapter that another engine
#: has. All loads share the store, so a copy that isn't needed delays those that are.
COPY_DELAY = 0.2

#: Seconds for each adapter that is loaded before, and the share of them that comes
#: before one that is waited for already. The share leads gateways that know nothing of
#: each other to the engine where an adapter is waited for.
TURN_DELAY = 0.2
WISHED_SHARE = 0.5

#: Seconds until an old version has been replaced where it is in use. Longer than a
#: load, so that a new version is loaded beside the old one and no caller waits for
#: others' answers to end.
OUTDATED_DELAY = 1.0

#: Seconds until a slot is free where all hold adapters in use, for each who waits.
SLOT_DELAY = 0.5

#: Seconds by which an adapter's next places in the order of its hash count for worse.
#: Gateways that know nothing of each other's loads so choose the same engine.
HASH_STEP = 0.03
HASH_MOST = 0.12

#: Seconds that each running request of a batch costs another one, in slower steps and
#: in prompts read between them.
BATCH_STEP = 0.012

#: Seconds that a waiting request costs where a whole batch is in use.
QUEUE_STEP = 0.06

#: Seconds that count for a target all of whose last answers were failures. One failure
#: among the last answers counts for more than the load of an adapter elsewhere: waiting
#: costs a caller little, and a failure all.
FAILURE_DELAY = 3.0

#: Seconds that count for a target that registries have lost sight of, and for one that
#: couldn't be reached a moment ago.
SILENT_DELAY = 0.5
UNREACHED_DELAY = 5.0

#: Seconds by which another failure domain is farther away.
DOMAIN_DELAY = 0.003


@dataclass(frozen=True)
class AdapterPlace:
    """Where an adapter stands on one engine.

    :param resident: in place, at a version that the request may begin on.
    :param coming: on its way there.
    :param wished: others wait for it there, and it isn't on its way yet.
    :param recent: held there before, at a version that the request may begin on.
    :param outdated: in place at a version that the request may not begin on. Its
        replacement waits for the requests that use it.
    :param room: slots that are empty or hold what nobody uses.
    :param wishes: adapters that wait for their turn to be loaded there.
    :param serving: the engine holds the model itself.
    :param model_wait: seconds until it does, where it doesn't.
    :param manageable: somebody can order the engine to load it.
    """

    resident: bool = False
    coming: bool = False
    wished: bool = False
    recent: bool = False
    outdated: bool = False
    room: int = 1
    wishes: int = 0
    serving: bool = True
    model_wait: float = 0.0
    manageable: bool = True

    def describe(self) -> str:
        """Return in a word where the adapter stands."""
        if not self.serving:
            return "no model"
        if self.resident:
            return "resident"
        if self.coming:
            return "coming"
        if self.wished:
            return "wished"
        if self.recent:
            return "recent"
        return "outdated" if self.outdated else "absent"

    @property
    def held(self) -> bool:
        """Whether the engine needs no copy from the store."""
        return self.resident or self.coming or self.wished or self.recent


@dataclass(frozen=True)
class Candidate:
    """What is known of one target.

    :param busy: requests there, by its last word and by own sends since.
    :param slots: requests that it runs at once.
    :param prompt_backlog: prompt tokens sent to it that it may not have read yet.
    :param pace: seconds of a request at this target against the service's mean.
    :param failures: share of failures among its last answers, recent ones for more.
    :param prompt_wait: seconds that a prompt waits there for its turn.
    :param read_rate: prompt tokens that it reads in a second.
    :param share_wait: seconds until this gateway's part of the target's limit lets a
        request through.
    """

    target: TargetId
    domain: FailureDomain
    busy: int
    slots: int
    prompt_backlog: int = 0
    pace: float = 1.0
    failures: float = 0.0
    silent: bool = False
    unreached: bool = False
    prompt_wait: float = 0.0
    read_rate: float = FIRST_RATE
    share_wait: float = 0.0
    adapter: AdapterPlace = AdapterPlace(resident=True)


@dataclass(frozen=True)
class Need:
    """What a request asks of a target.

    :param run_time: seconds that a request takes on a target of ordinary pace.
    """

    domain: FailureDomain
    weights: WeightKey | None = None
    run_time: float = 0.0
    avoid: frozenset[TargetId] = frozenset()


@dataclass(frozen=True)
class Chosen:
    """A target.

    :param delay: the figure by which it was chosen.
    :param wait: the part of it, in seconds, until the request can be sent.
    """

    candidate: Candidate
    delay: float
    wait: float = 0.0


def choose_target(
    need: Need, candidates: Sequence[Candidate], draw: Callable[[], float]
) -> Chosen | None:
    """Return the target with the least expected delay, or none where there is none.

    Gateways that see the same reports at the same time would all choose the target
    that was idle a moment ago, so differences below a batch step are broken by chance.
    """
    ranks = _rank(need.weights, candidates)
    usable = [c for c in candidates if c.target not in need.avoid]
    copy = any(c.adapter.held for c in usable)
    best: Chosen | None = None
    for candidate in usable:
        adapter = candidate.adapter
        if not (adapter.resident or adapter.coming or adapter.manageable):
            continue
        delay = estimate_delay(need, candidate, ranks.get(candidate.target, 0))
        delay += BATCH_STEP * draw() + COPY_DELAY * (copy and not adapter.held)
        if best is None or delay < best.delay:
            best = Chosen(candidate, delay, estimate_wait(candidate))
    return best


def estimate_delay(need: Need, candidate: Candidate, rank: int = 0) -> float:
    """Return the seconds that a caller would wait for the first of an answer.

    :param rank: the target's place in the order of the adapter's hash.
    """
    share = candidate.busy / max(1, candidate.slots)
    delay = candidate.prompt_wait + candidate.prompt_backlog / candidate.read_rate
    delay += BATCH_STEP * share * 10 + candidate.share_wait
    if need.weights is None:
        # An engine runs its batch side by side, and nobody waits for a run to end
        # there. So run time counts only where there is no batch.
        delay += candidate.pace * need.run_time * share
    waiting = candidate.busy + 1 - candidate.slots
    if waiting > 0:
        delay += max(QUEUE_STEP, need.run_time / candidate.slots) * waiting
    delay += FAILURE_DELAY * candidate.failures
    delay += SILENT_DELAY * candidate.silent + UNREACHED_DELAY * candidate.unreached
    delay += DOMAIN_DELAY * (candidate.domain != need.domain)
    return delay + _estimate_adapter(candidate.adapter, rank)


def estimate_wait(candidate: Candidate) -> float:
    """Return the seconds until a request could be sent to a target, at least.

    Only what is known well counts, as requests are refused for it. How long a load or
    a slot takes is a guess that only helps to compare targets.
    """
    adapter = candidate.adapter
    model_wait = adapter.model_wait * (not adapter.serving)
    return candidate.prompt_wait + candidate.share_wait + model_wait


def _estimate_adapter(adapter: AdapterPlace, rank: int) -> float:
    if not adapter.serving:
        # An idle engine that waits for its model seems free to all gateways; loads that
        # will follow the model count there as elsewhere.
        return adapter.model_wait + _estimate_load(adapter, rank)
    if adapter.resident:
        return 0.0
    if adapter.coming:
        return COMING_DELAY
    return _estimate_load(adapter, rank)


def _estimate_load(adapter: AdapterPlace, rank: int) -> float:
    turns = TURN_DELAY * adapter.wishes
    slots = SLOT_DELAY * max(0, adapter.wishes + 1 - adapter.room)
    old = OUTDATED_DELAY * adapter.outdated
    if adapter.wished:
        fetch = RELOAD_DELAY if adapter.recent else LOAD_DELAY
        return fetch + old + WISHED_SHARE * turns + SLOT_DELAY * (not adapter.room)
    if adapter.recent:
        return RELOAD_DELAY + old + turns + slots
    return LOAD_DELAY + old + turns + slots + min(HASH_MOST, HASH_STEP * rank)


def _rank(
    weights: WeightKey | None, candidates: Sequence[Candidate]
) -> dict[TargetId, int]:
    if weights is None:
        return {}
    name = f"{weights.model}/{weights.adapter}/"
    order = sorted(
        candidates, key=lambda c: xxhash.xxh32_intdigest((name + c.target).encode())
    )
    return {candidate.target: rank for rank, candidate in enumerate(order)}
