"""Runs the whole benchmark and writes ``docs/MEASURES.md`` and its plots.

Usage: ``python -m benchmarks.policy.report``.
"""

from pathlib import Path

import click

from benchmarks.policy import plots
from benchmarks.policy.goals import evaluate_goals
from benchmarks.policy.measures import Measures
from benchmarks.policy.policies import Features
from benchmarks.policy.runs import ALTERNATIVES, POLICIES, Run, measure_all
from benchmarks.policy.workloads import WORKLOADS

__all__ = ["main"]

#: Workloads for the ablations, the alternatives and the stall weights.
STUDY_WORKLOADS = ("steady", "shift", "saturation")
WEIGHTS = (0.0, 0.25, 0.5, 0.75, 1.0)

INTRODUCTION = """# Decisions under load, measured

Made by `python -m benchmarks.policy.report`; don't edit. The bench plays the modules
of `ibishead/decisions/` on a virtual clock, without sockets: {seeds} seeds of 400 s for
each workload, the first 60 s left out. Two services with 9 and 4 engines, 8 slots and a
batch of 8 each; 3,000 adapters by Zipf's law (exponent 1.3); a store that starts 4
loads a second, a quarter of a second each while at most 8 are in flight; 3 entry hosts
that see load reports late and don't talk. A step of an engine takes 20 ms, and 1 ms
more for each request and for each further adapter in its batch. A caller that is
refused or left unserved comes back once, and counts again. Figures are of the model,
not of machines.

- *stall*: seconds that a request waits for its adapter at its agent, all requests that
  were let in. *delay*: seconds from arrival to the start of the run.
- *fill*: running requests a step, as a part of the batch.
- *goodput*: tokens a second of answers that came in time; *in time*: callers served.
- *refused*, *late*: requests, as a part of callers; both count those that came back.
- *worst class*, *worst team*: callers served in time where they fared worst.
- *attempts*: dispatches for each request that was let in.

*Affinity, LRU* is the usual way: holders first, while their queue is short, then the
least loaded; the least recently used adapter leaves; loads in the order they come. The
two *clairvoyant* rows know all arrivals and the engines' true state. On demand it loads
for requests that have arrived, as every policy here does, and evicts what is asked for
last. Prefetching, it also loads ahead of arrivals, so that hardly anyone stalls; no
policy without knowledge of the future can follow it. Neither is a proven optimum: they
are references, and their admission is plain, so that at saturation they may do worse.
"""

HEADINGS = (
    "policy",
    "stall mean",
    "stall p50",
    "stall p90",
    "stall p99",
    "delay p99",
    "fill",
    "goodput",
    "in time",
    "refused",
    "late",
    "failed",
    "worst class",
    "worst team",
    "attempts",
    "loads/s",
)


@click.command()
@click.option("--jobs", default=4, help="Number of parallel processes.")
@click.option("--seeds", default=3, help="Number of seeds for each run.")
@click.option("--out", default="docs", type=click.Path(path_type=Path))
def main(jobs: int, seeds: int, out: Path) -> None:
    """Run all simulations and write the report and its plots."""
    seed_numbers = tuple(range(1, seeds + 1))
    table = [
        Run(workload, policy, seed_numbers)
        for workload in WORKLOADS
        for policy in POLICIES
    ]
    weights = [
        Run(workload, "ibishead", seed_numbers, stall_weight=weight)
        for workload in STUDY_WORKLOADS
        for weight in WEIGHTS
    ]
    ablations = [
        Run(workload, "ibishead", seed_numbers, without=name)
        for name in Features.__dataclass_fields__
        for workload in STUDY_WORKLOADS
    ]
    alternatives = [
        Run(workload, "ibishead", seed_numbers, alternative=name)
        for name in ALTERNATIVES
        for workload in STUDY_WORKLOADS
    ]
    results = measure_all(table + weights + ablations + alternatives, jobs)
    # Runs that appear in several tables are simulated only once.
    out.mkdir(exist_ok=True)
    plots.draw_stalls(results, seed_numbers, out / "stalls.svg")
    plots.draw_weights(results, weights, out / "weights.svg")
    sections = [
        INTRODUCTION.format(seeds=seeds),
        _write_goals(results, seed_numbers),
        "![Load stalls by workload](stalls.svg)\n",
        _write_workloads(results, seed_numbers),
        _write_weights(results, weights),
        "![The stall weight](weights.svg)\n",
        _write_ablations(results, ablations, seed_numbers),
        _write_alternatives(results, alternatives, seed_numbers),
        _write_limits(),
    ]
    (out / "MEASURES.md").write_text("\n".join(sections))


def _write_goals(results: dict[Run, Measures], seeds: tuple[int, ...]) -> str:
    lines = [
        "## Goals",
        "",
        "Judged against the clairvoyant on demand; a goal that is missed says so.",
        "",
        "| goal | measured | reached |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {goal.name} | {goal.measured} | {'yes' if goal.reached else '**missed**'} |"
        for goal in evaluate_goals(results, seeds)
    ]
    return "\n".join([*lines, ""])


def _write_workloads(results: dict[Run, Measures], seeds: tuple[int, ...]) -> str:
    lines = ["## Callers' outcomes", ""]
    for workload in WORKLOADS:
        callers = results[Run(workload, "ibishead", seeds)].callers
        lines += [
            f"### {workload[0].upper()}{workload[1:]}",
            "",
            f"{callers} callers.",
            "",
        ]
        lines += _start_table(HEADINGS)
        lines += [
            _write_row(policy, results[Run(workload, policy, seeds)])
            for policy in POLICIES
        ]
        lines.append("")
    return "\n".join(lines)


def _write_row(name: str, measures: Measures) -> str:
    cells = (
        name,
        f"{measures.stall_mean:.3f}",
        f"{measures.stall_p50:.2f}",
        f"{measures.stall_p90:.2f}",
        f"{measures.stall_p99:.2f}",
        f"{measures.delay_p99:.2f}",
        f"{measures.fill:.3f}",
        f"{measures.goodput:.0f}",
        f"{measures.done:.3f}",
        f"{measures.refused:.3f}",
        f"{measures.expired:.3f}",
        f"{measures.failed:.3f}",
        f"{measures.worst_class:.3f}",
        f"{measures.worst_team:.3f}",
        f"{measures.amplification:.3f}",
        f"{measures.loads_per_second:.2f}",
    )
    return "| " + " | ".join(cells) + " |"


def _start_table(headings: tuple[str, ...]) -> list[str]:
    rule = "| --- |" + " ---: |" * (len(headings) - 1)
    return ["| " + " | ".join(headings) + " |", rule]


SHORT_HEADINGS = (
    "",
    "stall mean",
    "stall p99",
    "delay p99",
    "fill",
    "goodput",
    "loads/s",
)


def _write_short(name: str, measures: Measures) -> str:
    return (
        f"| {name} | {measures.stall_mean:.3f} | {measures.stall_p99:.2f} "
        f"| {measures.delay_p99:.2f} | {measures.fill:.3f} | {measures.goodput:.0f} "
        f"| {measures.loads_per_second:.2f} |"
    )


def _write_weights(results: dict[Run, Measures], runs: list[Run]) -> str:
    lines = ["## The stall weight", ""]
    for workload in STUDY_WORKLOADS:
        lines += [f"On {workload}:", "", *_start_table(("weight", *SHORT_HEADINGS[1:]))]
        lines += [
            _write_short(f"{run.stall_weight}", results[run])
            for run in runs
            if run.workload == workload
        ]
        lines.append("")
    return "\n".join(lines)


def _write_ablations(
    results: dict[Run, Measures], runs: list[Run], seeds: tuple[int, ...]
) -> str:
    lines = [
        "## Which idea gained what",
        "",
        "Each row takes out one idea and leaves the rest; the first has them all.",
        "Differences of a tenth between rows are within what seeds do.",
        "",
    ]
    for workload in STUDY_WORKLOADS:
        lines += [
            f"On {workload}:",
            "",
            *_start_table(("without", *SHORT_HEADINGS[1:])),
        ]
        lines.append(
            _write_short("(nothing)", results[Run(workload, "ibishead", seeds)])
        )
        lines += [
            _write_short(run.without.replace("_", " "), results[run])
            for run in runs
            if run.workload == workload
        ]
        lines.append("")
    return "\n".join(lines)


def _write_alternatives(
    results: dict[Run, Measures], runs: list[Run], seeds: tuple[int, ...]
) -> str:
    lines = ["## Tried and dropped", "", "Each row puts in one alternative.", ""]
    for workload in STUDY_WORKLOADS:
        lines += [f"On {workload}:", "", *_start_table(("with", *SHORT_HEADINGS[1:]))]
        lines.append(
            _write_short("(as it stands)", results[Run(workload, "ibishead", seeds)])
        )
        lines += [
            _write_short(run.alternative, results[run])
            for run in runs
            if run.workload == workload
        ]
        lines.append("")
    return "\n".join(lines)


def _write_limits() -> str:
    return """## What the bench leaves out

Prefix caches, KV export, hedging, warming and drains; the links between programs; the
time that a decision takes, which `benchmarks/policy/test_cost.py` measures. Permits are
granted without the hop to control. The order of policies has still to be confirmed with
the real processes.
"""


if __name__ == "__main__":
    main()
