"""Goals for the decisions, and whether the measures of the benchmark reach them."""

from dataclasses import dataclass

from benchmarks.policy.measures import Measures
from benchmarks.policy.model import BATCH_SIZE, step_time
from benchmarks.policy.runs import Run
from benchmarks.policy.workloads import WORKLOADS

__all__ = ["Goal", "evaluate_goals", "saturated_capacity"]

ENGINE_COUNT = 13
COMPARED_WORKLOADS = ("steady", "burst", "shift", "shift, slow target")
#: Difference between two stalls, in seconds, that counts as a rounding error.
ROUNDING_SECONDS = 0.005


@dataclass(frozen=True)
class Goal:
    """One goal, its measured values, and whether it is reached."""

    name: str
    measured: str
    reached: bool


def saturated_capacity(adapters: float) -> float:
    """Return the tokens per second of all engines with full batches.

    :param adapters: mean number of different adapters in a batch.
    """
    return ENGINE_COUNT * BATCH_SIZE / step_time(BATCH_SIZE, adapters)


def evaluate_goals(results: dict[Run, Measures], seeds: tuple[int, ...]) -> list[Goal]:
    """Return all goals with their measurements."""

    def get(workload: str, policy: str = "ibishead", weight: float = 0.5) -> Measures:
        return results[Run(workload, policy, seeds, stall_weight=weight)]

    goals = []
    for workload in COMPARED_WORKLOADS:
        measures, affinity = get(workload), get(workload, "affinity, LRU")
        bound = get(workload, "clairvoyant, on demand")
        for name in ("stall_p50", "stall_p99"):
            value = getattr(measures, name)
            label = f"{workload}: {name.replace('_', ' ')}"
            goals.append(
                _check_at_most(
                    f"{label}, half of affinity", value, getattr(affinity, name), 0.5
                )
            )
            goals.append(
                _check_at_most(
                    f"{label}, 1.3 x bound", value, getattr(bound, name), 1.3
                )
            )
    goals += [_check_fill(workload, get) for workload in COMPARED_WORKLOADS]
    saturated = get("saturation")
    capacity = saturated_capacity(saturated.adapters)
    share = saturated.goodput / capacity
    goals.append(
        Goal(
            "saturation: goodput 0.95 of capacity (full batches, same mix)",
            f"{saturated.goodput:.0f} of {capacity:.0f}, {share:.3f}",
            share >= 0.95,
        )
    )
    worst = min(get(workload).worst_class for workload in WORKLOADS)
    goals.append(
        Goal(
            "no class starves (0.1 of its callers served)", f"{worst:.3f}", worst > 0.1
        )
    )
    attempts = max(get(workload).amplification for workload in WORKLOADS)
    goals.append(Goal("attempts at most 1.1", f"{attempts:.3f}", attempts <= 1.1))
    low, high = get("shift", weight=0.0), get("shift", weight=1.0)
    goals.append(
        Goal(
            "stall weight moves both measures (shift)",
            f"stall {low.stall_mean:.3f} to {high.stall_mean:.3f}, "
            f"fill {low.fill:.3f} to {high.fill:.3f}",
            high.stall_mean < 0.9 * low.stall_mean and low.fill > 1.01 * high.fill,
        )
    )
    return goals


def _check_at_most(name: str, value: float, reference: float, factor: float) -> Goal:
    ratio = f", {value / reference:.2f} x" if reference else ""
    return Goal(
        name,
        f"{value:.2f} s, {reference:.2f} s{ratio}",
        value <= factor * reference + ROUNDING_SECONDS,
    )


def _check_fill(workload: str, get) -> Goal:
    measures, bound = get(workload), get(workload, "clairvoyant, on demand")
    share = measures.fill / bound.fill
    return Goal(
        f"{workload}: fill 0.9 of bound",
        f"{measures.fill:.3f}, {bound.fill:.3f}, {share:.2f} x",
        share >= 0.9,
    )
