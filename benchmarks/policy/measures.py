"""The measures of a run, from what callers met."""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.policy.model import BATCH
from benchmarks.policy.simulation import Result
from benchmarks.policy.workloads import WARM_UP

__all__ = ["Measures", "measure"]


@dataclass(frozen=True)
class Measures:
    """Stalls and waits in seconds; parts from 0 to 1.

    :param fill: mean running requests a step, as a part of the batch.
    :param goodput: tokens a second of answers that came in time.
    :param done: callers served in time, as a part of all.
    :param amplification: attempts for each request that was let in.
    :param worst_class: callers served in time, in the class that fared worst.
    :param worst_team: the same of teams.
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
    """Return the measures over one or more runs of the same kind."""
    results = list(results)
    requests = [
        item
        for result in results
        for item in result.requests
        if WARM_UP <= item.arrival < result.duration
    ]
    # A stall that ended without an answer is a stall all the same.
    stalls = sorted(item.stall for item in requests if item.outcome != "refused")
    delays = sorted(
        item.started - item.arrival for item in requests if item.started >= 0
    )
    seconds = sum(result.duration - WARM_UP for result in results)
    steps = sum(result.steps for result in results)
    first = [item for item in requests if not item.returns]
    done = [item for item in requests if item.outcome == "done"]
    in_time = [
        item
        for result in results
        for item in result.requests
        if item.outcome == "done" and WARM_UP <= item.ended < result.duration
    ]

    def part(outcome: str) -> float:
        return sum(item.outcome == outcome for item in requests) / len(first)

    return Measures(
        callers=len(first),
        stall_mean=sum(stalls) / max(len(stalls), 1),
        stall_p50=_percentile(stalls, 0.5),
        stall_p90=_percentile(stalls, 0.9),
        stall_p99=_percentile(stalls, 0.99),
        delay_p50=_percentile(delays, 0.5),
        delay_p99=_percentile(delays, 0.99),
        fill=sum(result.step_tokens for result in results) / max(steps, 1) / BATCH,
        adapters=sum(result.step_adapters for result in results) / max(steps, 1),
        goodput=sum(item.tokens for item in in_time) / seconds,
        done=len(done) / len(first),
        refused=part("refused"),
        expired=part("expired") + part("late"),
        failed=part("failed"),
        amplification=sum(result.attempts for result in results)
        / max(sum(result.admitted for result in results), 1),
        loads_per_second=sum(result.loads / result.duration for result in results)
        / len(results),
        worst_class=_worst(requests, first, "priority"),
        worst_team=_worst(requests, first, "team"),
    )


def _percentile(ordered: list[float], part: float) -> float:
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _worst(requests: list, first: list, name: str) -> float:
    groups = {getattr(item, name) for item in first}
    return min(
        sum(
            getattr(item, name) == group and item.outcome == "done" for item in requests
        )
        / sum(getattr(item, name) == group for item in first)
        for group in groups
    )
