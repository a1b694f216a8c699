"""Plots of the benchmark results."""

from pathlib import Path

import matplotlib

matplotlib.use("svg")
# A fixed hash salt and font size make the files of equal results identical.
matplotlib.rcParams["svg.hashsalt"] = "ibishead"
matplotlib.rcParams["font.size"] = 8

from matplotlib import pyplot  # noqa: E402

from benchmarks.policy.measures import Measures  # noqa: E402
from benchmarks.policy.runs import Run  # noqa: E402
from benchmarks.policy.workloads import WORKLOADS  # noqa: E402

__all__ = ["draw_stalls", "draw_weights"]

SHOWN_POLICIES = ("affinity, LRU", "ibishead", "clairvoyant, on demand")


def draw_stalls(
    results: dict[Run, Measures], seeds: tuple[int, ...], path: Path
) -> None:
    """Plot the 99th percentile of stalls for each workload and policy."""
    figure, axes = pyplot.subplots(figsize=(8, 3))
    for number, policy in enumerate(SHOWN_POLICIES):
        values = [
            max(results[Run(workload, policy, seeds)].stall_p99, 0.01)
            for workload in WORKLOADS
        ]
        positions = [position + 0.27 * (number - 1) for position in range(len(values))]
        axes.bar(positions, values, 0.27, label=policy)
    axes.set_yscale("log")
    axes.set_ylabel("load stall p99 (s)")
    axes.set_xticks(range(len(WORKLOADS)), list(WORKLOADS), rotation=25, ha="right")
    axes.legend()
    _save(figure, path)


def draw_weights(results: dict[Run, Measures], runs: list[Run], path: Path) -> None:
    """Plot mean stall and batch fill against the stall weight."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(8, 2.6))
    for workload in dict.fromkeys(run.workload for run in runs):
        chosen = [run for run in runs if run.workload == workload]
        weights = [run.stall_weight for run in chosen]
        stalls = [results[run].stall_mean for run in chosen]
        left.plot(weights, stalls, marker="o", label=workload)
        right.plot(weights, [results[run].fill for run in chosen], marker="o")
    left.set_xlabel("stall weight")
    left.set_ylabel("mean load stall (s)")
    left.legend()
    right.set_xlabel("stall weight")
    right.set_ylabel("batch fill")
    _save(figure, path)


def _save(figure: pyplot.Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
