"""Target selection by the delay that the caller is expected to see.

Load, adapter state and failures are all expressed in seconds, so that a busy engine
with the adapter resident can be compared with an idle one that has to load it.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from ibishead.decisions.readspeed import INITIAL_RATE
from ibishead.decisions.slowdown import fade_slowdown
from ibishead.ids import FailureDomain, TargetId
from ibishead.routing.targets import WeightKey

__all__ = [
    "AdapterState",
    "Candidate",
    "Chosen",
    "Need",
    "choose_target",
    "estimate_delay",
    "estimate_wait",
]

#: Mean remaining time of a load in progress: about half of a load.
LOADING_DELAY = 0.15

#: Time to load an adapter at full speed of the store, including the order before it,
#: and the time where the engine held it before and still has a local copy.
LOAD_DELAY = 0.28
RELOAD_DELAY = 0.05

#: Cost of fetching an adapter from the store that another engine already has. All loads
#: share the store, so an unnecessary copy delays the necessary ones.
COPY_DELAY = 0.2

#: Delay for each adapter queued to be loaded there, and the share of those delays that
#: applies to an adapter that other requests already wait for there. The share makes
#: gateways that do not know of each other choose the engine that will load the adapter
#: anyway.
QUEUED_LOAD_DELAY = 0.2
REQUESTED_LOAD_SHARE = 0.5

#: Time until an old version that is in use has been replaced. It is longer than a load,
#: so that the new version is loaded on another engine and no caller waits until the
#: answers of others end.
OUTDATED_DELAY = 1.0

#: Time until a slot becomes free where all slots hold adapters in use, for each adapter
#: that waits for one.
SLOT_DELAY = 0.5

#: Penalty for each rank in the adapter's hash order, and its maximum. It makes gateways
#: that do not know of each other's loads choose the same engine.
HASH_RANK_DELAY = 0.03
MAX_HASH_DELAY = 0.12

#: Delay that each running request of a batch adds to another one, by slower steps and
#: by prompts read between them.
BATCHED_REQUEST_DELAY = 0.012

#: Penalty for an engine whose answers are expected to pause for longer than the route
#: accepts. It outweighs a full batch, but not an adapter load on another engine: loads
#: share the store, and answers that pause are few.
LONG_PAUSE_DELAY = 0.15

#: Delay that a queued request adds where the whole batch is in use.
QUEUED_REQUEST_DELAY = 0.06

#: Penalty for a target whose recent answers were all failures. A single failure among
#: them outweighs loading the adapter elsewhere: waiting costs a caller little, while a
#: failure costs it the answer.
FAILURE_DELAY = 3.0

#: Penalty for a target that the registries no longer hear from, and for one that could
#: not be reached recently.
SILENT_TARGET_DELAY = 0.5
UNREACHABLE_DELAY = 5.0

#: Penalty for a target that has asked another gateway for rest. It may take requests
#: of this one, so it is used where the others are slower.
REFUSING_DELAY = 0.5

#: Additional latency of a target in another failure domain.
OTHER_DOMAIN_DELAY = 0.003


@dataclass(frozen=True)
class AdapterState:
    """State of an adapter on one engine.

    :param resident: loaded, at a version that the request may use.
    :param loading: being loaded.
    :param requested: requested there by others, and its load has not started.
    :param recent: held there before, at a version that the request may use.
    :param outdated: loaded at a version that the request may not use. Its replacement
        waits for the requests that use it.
    :param free_slots: slots that are empty or hold an unused adapter.
    :param pending_loads: adapters that wait to be loaded there.
    :param serving: the engine has its model loaded.
    :param model_wait: seconds until the model is loaded, if it is not.
    :param manageable: the engine can be ordered to load the adapter.
    """

    resident: bool = False
    loading: bool = False
    requested: bool = False
    recent: bool = False
    outdated: bool = False
    free_slots: int = 1
    pending_loads: int = 0
    serving: bool = True
    model_wait: float = 0.0
    manageable: bool = True

    def describe(self) -> str:
        """Return the state as a single term."""
        if not self.serving:
            return "no model"
        if self.resident:
            return "resident"
        if self.loading:
            return "coming"
        if self.requested:
            return "wished"
        if self.recent:
            return "recent"
        return "outdated" if self.outdated else "absent"

    @property
    def held(self) -> bool:
        """Whether the engine needs no further copy from the store."""
        return self.resident or self.loading or self.requested or self.recent


@dataclass(frozen=True)
class Candidate:
    """What is known of one target.

    :param busy: requests at the target, by its last report and by own requests since.
    :param slots: requests that it runs concurrently.
    :param prompt_backlog: prompt tokens sent to it that it may not have read yet.
    :param relative_run_time: run time of a request at this target relative to the
        service's mean.
    :param failures: share of failures among its recent answers, weighted by recency.
    :param silent: the registries no longer hear from the target.
    :param unreachable: the target could not be reached recently.
    :param prompt_wait: seconds that a prompt waits there until it is sent.
    :param read_rate: prompt tokens per second that it reads.
    :param rate_limit_wait: seconds until this gateway's share of the target's rate
        limit admits a request.
    :param resting: the target has asked this gateway for no requests.
    :param refusing: the target has asked another gateway for no requests.
    :param return_wait: seconds until a request may be sent after such a rest.
    :param step_time: seconds for one token of each running answer, 0 if unknown.
    :param slowdown: how much longer work takes on the target's host at this moment, 1
        as usual.
    :param usual_slowdown: that value as it usually is there.
    :param kept_tokens: leading tokens of the request's prompt that the target keeps and
        does not read again.
    """

    target: TargetId
    domain: FailureDomain
    busy: int
    slots: int
    prompt_backlog: int = 0
    relative_run_time: float = 1.0
    failures: float = 0.0
    silent: bool = False
    unreachable: bool = False
    prompt_wait: float = 0.0
    read_rate: float = INITIAL_RATE
    rate_limit_wait: float = 0.0
    resting: bool = False
    refusing: bool = False
    return_wait: float = 0.0
    step_time: float = 0.0
    slowdown: float = 1.0
    usual_slowdown: float = 1.0
    kept_tokens: int = 0
    adapter: AdapterState = AdapterState(resident=True)


@dataclass(frozen=True)
class Need:
    """Requirements of a request.

    :param domain: failure domain of the gateway.
    :param weights: model and adapter, or ``None`` for a plain service.
    :param run_time: seconds that the request takes on a target of mean speed.
    :param avoid: targets that must not be chosen.
    :param prompt_tokens: length of its prompt.
    :param gap_objective: longest accepted pause between events in seconds, 0 for none.
    :param event_tokens: tokens in one event of its answer.
    """

    domain: FailureDomain
    weights: WeightKey | None = None
    run_time: float = 0.0
    avoid: frozenset[TargetId] = frozenset()
    prompt_tokens: int = 0
    gap_objective: float = 0.0
    event_tokens: int = 1


@dataclass(frozen=True)
class Chosen:
    """The chosen target.

    :param delay: expected delay in seconds by which it was chosen.
    :param wait: part of the delay until the request can be sent.
    """

    candidate: Candidate
    delay: float
    wait: float = 0.0


def choose_target(
    need: Need, candidates: Sequence[Candidate], draw: Callable[[], float]
) -> Chosen | None:
    """Return the target with the least expected delay, or ``None`` if there is none.

    Gateways that see the same reports at the same time would all choose the target that
    was idle last. Differences below `BATCHED_REQUEST_DELAY` are decided randomly.

    :param draw: returns a random number in [0, 1).
    """
    ranks = _rank_by_hash(need.weights, candidates)
    usable = [c for c in candidates if not c.resting and c.target not in need.avoid]
    copy_exists = any(c.adapter.held for c in usable)
    best: Chosen | None = None
    for candidate in usable:
        adapter = candidate.adapter
        if not (adapter.resident or adapter.loading or adapter.manageable):
            continue
        delay = estimate_delay(need, candidate, ranks.get(candidate.target, 0))
        delay += BATCHED_REQUEST_DELAY * draw() + COPY_DELAY * (
            copy_exists and not adapter.held
        )
        if best is None or delay < best.delay:
            best = Chosen(candidate, delay, estimate_wait(candidate))
    return best


def estimate_delay(need: Need, candidate: Candidate, rank: int = 0) -> float:
    """Return the expected seconds until the first token of the answer.

    :param rank: position of the target in the adapter's hash order.
    """
    fill = candidate.busy / max(1, candidate.slots)
    wait = candidate.prompt_wait + candidate.rate_limit_wait + candidate.return_wait
    slowdown = fade_slowdown(candidate.slowdown, wait, candidate.usual_slowdown)
    read_time = slowdown * _count_unread(need, candidate) / candidate.read_rate
    delay = wait + read_time + slowdown * BATCHED_REQUEST_DELAY * fill * 10
    if need.weights is None:
        # An engine runs the requests of a batch concurrently, so none waits for another
        # run to end. Run time counts only where requests are not batched.
        run_time = candidate.relative_run_time * need.run_time
        delay += run_time * (slowdown * fill + slowdown - 1.0)
    elif 0 < need.gap_objective < _expect_pause(need, candidate, slowdown, read_time):
        delay += LONG_PAUSE_DELAY
    waiting = candidate.busy + 1 - candidate.slots
    if waiting > 0:
        queued_delay = max(QUEUED_REQUEST_DELAY, need.run_time / candidate.slots)
        delay += slowdown * queued_delay * waiting
    delay += FAILURE_DELAY * candidate.failures
    delay += (
        SILENT_TARGET_DELAY * candidate.silent
        + REFUSING_DELAY * candidate.refusing
        + UNREACHABLE_DELAY * candidate.unreachable
    )
    delay += OTHER_DOMAIN_DELAY * (candidate.domain != need.domain)
    return delay + _estimate_adapter_delay(candidate.adapter, rank)


def estimate_wait(candidate: Candidate) -> float:
    """Return the minimum seconds until a request could be sent to a target.

    Only delays that are known reliably are included, because requests are rejected on
    their account. The time that a load or a slot takes is a rough estimate that serves
    only to compare targets.
    """
    adapter = candidate.adapter
    model_wait = adapter.model_wait * (not adapter.serving)
    pace_wait = max(candidate.rate_limit_wait, candidate.return_wait)
    return candidate.prompt_wait + pace_wait + model_wait


def _count_unread(need: Need, candidate: Candidate) -> int:
    own = max(0, need.prompt_tokens - candidate.kept_tokens)
    return candidate.prompt_backlog + own


def _expect_pause(
    need: Need, candidate: Candidate, slowdown: float, read_time: float
) -> float:
    """Return the expected longest pause of answers at an engine, 0 if unknown.

    The prompts that are known are read between two events of the running answers.
    """
    if not candidate.step_time:
        return 0.0
    return slowdown * candidate.step_time * need.event_tokens + read_time


def _estimate_adapter_delay(adapter: AdapterState, rank: int) -> float:
    if not adapter.serving:
        # An idle engine that waits for its model seems free to all gateways. The loads
        # that will follow the model count there as they do elsewhere.
        return adapter.model_wait + _estimate_load_delay(adapter, rank)
    if adapter.resident:
        return 0.0
    if adapter.loading:
        return LOADING_DELAY
    return _estimate_load_delay(adapter, rank)


def _estimate_load_delay(adapter: AdapterState, rank: int) -> float:
    queued_loads = QUEUED_LOAD_DELAY * adapter.pending_loads
    slots = SLOT_DELAY * max(0, adapter.pending_loads + 1 - adapter.free_slots)
    replacement = OUTDATED_DELAY * adapter.outdated
    if adapter.requested:
        fetch = RELOAD_DELAY if adapter.recent else LOAD_DELAY
        return (
            fetch
            + replacement
            + REQUESTED_LOAD_SHARE * queued_loads
            + SLOT_DELAY * (not adapter.free_slots)
        )
    if adapter.recent:
        return RELOAD_DELAY + replacement + queued_loads + slots
    return (
        LOAD_DELAY
        + replacement
        + queued_loads
        + slots
        + min(MAX_HASH_DELAY, HASH_RANK_DELAY * rank)
    )


def _rank_by_hash(
    weights: WeightKey | None, candidates: Sequence[Candidate]
) -> dict[TargetId, int]:
    if weights is None:
        return {}
    name = f"{weights.model}/{weights.adapter}/"
    order = sorted(
        candidates, key=lambda c: xxhash.xxh32_intdigest((name + c.target).encode())
    )
    return {candidate.target: rank for rank, candidate in enumerate(order)}
