"""Measures of a simulation run, from the outcomes of its requests."""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.policy.model import BATCH_SIZE
from benchmarks.policy.simulation import Result
from benchmarks.policy.workloads import WARM_UP_SECONDS

__all__ = ["Measures", "measure"]


@dataclass(frozen=True)
class Measures:
    """Measures of a run: stalls and delays in seconds, shares from 0 to 1.

    :ivar callers: number of callers; a resubmission is not a further caller.
    :ivar fill: mean number of running requests per step, as a share of the batch.
    :ivar adapters: mean number of different adapters in a batch.
    :ivar goodput: tokens per second of answers that were completed in time.
    :ivar done: share of callers served in time.
    :ivar refused: refused requests, as a share of callers.
    :ivar expired: requests that expired or ended late, as a share of callers.
    :ivar failed: failed requests, as a share of callers.
    :ivar amplification: attempts per admitted request.
    :ivar worst_class: lowest share of callers served in time among the classes.
    :ivar worst_team: lowest share of callers served in time among the teams.
    """

    callers: int
    stall_mean: float
    stall_p50: float
    stall_p90: float
    stall_p99: float
    delay_p50: float
    delay_p99: float
    fill: float
    adapters: float
    goodput: float
    done: float
    refused: float
    expired: float
    failed: float
    amplification: float
    loads_per_second: float
    worst_class: float
    worst_team: float


def measure(results: Iterable[Result]) -> Measures:
    """Return the measures over one or more runs with the same configuration."""
    results = list(results)
    requests = [
        item
        for result in results
        for item in result.requests
        if WARM_UP_SECONDS <= item.arrival < result.duration
    ]
    # Stalls of requests that ended without an answer count as well.
    stalls = sorted(item.stall for item in requests if item.outcome != "refused")
    delays = sorted(
        item.started - item.arrival for item in requests if item.started >= 0
    )
    seconds = sum(result.duration - WARM_UP_SECONDS for result in results)
    steps = sum(result.steps for result in results)
    first_submissions = [item for item in requests if not item.resubmissions]
    done = [item for item in requests if item.outcome == "done"]
    in_time = [
        item
        for result in results
        for item in result.requests
        if item.outcome == "done" and WARM_UP_SECONDS <= item.ended < result.duration
    ]

    def share(outcome: str) -> float:
        return sum(item.outcome == outcome for item in requests) / len(
            first_submissions
        )

    return Measures(
        callers=len(first_submissions),
        stall_mean=sum(stalls) / max(len(stalls), 1),
        stall_p50=_percentile(stalls, 0.5),
        stall_p90=_percentile(stalls, 0.9),
        stall_p99=_percentile(stalls, 0.99),
        delay_p50=_percentile(delays, 0.5),
        delay_p99=_percentile(delays, 0.99),
        fill=sum(result.step_tokens for result in results) / max(steps, 1) / BATCH_SIZE,
        adapters=sum(result.step_adapters for result in results) / max(steps, 1),
        goodput=sum(item.tokens for item in in_time) / seconds,
        done=len(done) / len(first_submissions),
        refused=share("refused"),
        expired=share("expired") + share("late"),
        failed=share("failed"),
        amplification=sum(result.attempts for result in results)
        / max(sum(result.admitted for result in results), 1),
        loads_per_second=sum(result.loads / result.duration for result in results)
        / len(results),
        worst_class=_find_worst_share(requests, first_submissions, "priority"),
        worst_team=_find_worst_share(requests, first_submissions, "team"),
    )


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _find_worst_share(requests: list, first_submissions: list, attribute: str) -> float:
    groups = {getattr(item, attribute) for item in first_submissions}
    return min(
        sum(
            getattr(item, attribute) == group and item.outcome == "done"
            for item in requests
        )
        / sum(getattr(item, attribute) == group for item in first_submissions)
        for group in groups
    )
