"""The goals of the decisions and whether a run of the bench reaches them."""

from dataclasses import dataclass

from benchmarks.policy.measures import Measures
from benchmarks.policy.model import BATCH, step_time
from benchmarks.policy.runs import Run
from benchmarks.policy.workloads import WORKLOADS

__all__ = ["Goal", "judge", "saturated_capacity"]

ENGINE_COUNT = 13
SKEWED = ("steady", "burst", "shift", "shift, slow target")
#: Differences of a stall below this many seconds are rounding.
ROUNDING = 0.005


@dataclass(frozen=True)
class Goal:
    """One goal and what was measured."""

    name: str
    measured: str
    reached: bool


def saturated_capacity(adapters: float) -> float:
    """Return the tokens a second of all engines with full batches.

    :param adapters: mean number of adapters in a batch.
    """
    return ENGINE_COUNT * BATCH / step_time(BATCH, adapters)


def judge(results: dict[Run, Measures], seeds: tuple[int, ...]) -> list[Goal]:
    """Return every goal with its measurement."""

    def get(work: str, policy: str = "ibishead", weight: float = 0.5) -> Measures:
        return results[Run(work, policy, seeds, stall_weight=weight)]

    goals = []
    for work in SKEWED:
        ours, usual = get(work), get(work, "affinity, LRU")
        bound = get(work, "clairvoyant, on demand")
        for name in ("stall_p50", "stall_p99"):
            mine = getattr(ours, name)
            label = f"{work}: {name.replace('_', ' ')}"
            goals.append(
                _at_most(f"{label}, half of affinity", mine, getattr(usual, name), 0.5)
            )
            goals.append(
                _at_most(f"{label}, 1.3 x bound", mine, getattr(bound, name), 1.3)
            )
    goals += [_judge_fill(work, get) for work in SKEWED]
    saturated = get("saturation")
    capacity = saturated_capacity(saturated.adapters)
    part = saturated.goodput / capacity
    goals.append(
        Goal(
            "saturation: goodput 0.95 of capacity (full batches, same mix)",
            f"{saturated.goodput:.0f} of {capacity:.0f}, {part:.3f}",
            part >= 0.95,
        )
    )
    worst = min(get(work).worst_class for work in WORKLOADS)
    goals.append(
        Goal(
            "no class starves (0.1 of its callers served)", f"{worst:.3f}", worst > 0.1
        )
    )
    retries = max(get(work).amplification for work in WORKLOADS)
    goals.append(Goal("attempts at most 1.1", f"{retries:.3f}", retries <= 1.1))
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


def _at_most(name: str, mine: float, other: float, factor: float) -> Goal:
    ratio = f", {mine / other:.2f} x" if other else ""
    return Goal(
        name, f"{mine:.2f} s, {other:.2f} s{ratio}", mine <= factor * other + ROUNDING
    )


def _judge_fill(work: str, get) -> Goal:
    ours, bound = get(work), get(work, "clairvoyant, on demand")
    part = ours.fill / bound.fill
    return Goal(
        f"{work}: fill 0.9 of bound",
        f"{ours.fill:.3f}, {bound.fill:.3f}, {part:.2f} x",
        part >= 0.9,
    )
