"""A short policy benchmark run stays within ``benchmarks/policy/bounds.ini``.

The clock is virtual and random numbers are seeded, so that a run gives the same figures
on every host.
"""

from configparser import ConfigParser
from pathlib import Path

import pytest
from benchmarks.policy import runs
from benchmarks.policy.goals import saturated_capacity
from benchmarks.policy.runs import Run, measure_run

BOUNDS = Path(runs.__file__).with_name("bounds.ini")


def read_bounds() -> ConfigParser:
    parser = ConfigParser()
    parser.read(BOUNDS)
    return parser


def make_run(workload: str, policy: str = "ibishead", weight: float = 0.5) -> Run:
    section = read_bounds()["run"]
    return Run(
        workload,
        policy,
        (section.getint("seed"),),
        stall_weight=weight,
        duration=section.getfloat("duration"),
    )


@pytest.mark.parametrize(
    "workload", [name for name in read_bounds().sections() if name != "run"]
)
def test_bounds(workload):
    found = measure_run(make_run(workload))
    values = {name: getattr(found, name) for name in found.__dataclass_fields__}
    values["goodput"] = found.goodput / saturated_capacity(found.adapters)
    violations = []
    for option, text in read_bounds()[workload].items():
        side, name = option.split()
        bound = float(text)
        within = values[name] <= bound if side == "most" else values[name] >= bound
        if not within:
            violations.append(f"{name} is {values[name]:.3f}, {side} {bound}")
    assert violations == []


def test_fewer_loads_than_affinity_with_lru():
    result, baseline = (
        measure_run(make_run("steady")),
        measure_run(make_run("steady", "affinity, LRU")),
    )
    assert result.loads_per_second < 0.95 * baseline.loads_per_second
    assert result.stall_mean < baseline.stall_mean


def test_same_seed_gives_same_figures():
    assert measure_run(make_run("domain gone")) == measure_run(make_run("domain gone"))
