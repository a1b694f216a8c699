"""A short run of the policy bench stays within ``benchmarks/policy/bounds.ini``.

The clock is virtual and chance is seeded, so that a run gives the same figures on
every machine.
"""

from configparser import ConfigParser
from pathlib import Path

import pytest
from benchmarks.policy import runs
from benchmarks.policy.goals import saturated_capacity
from benchmarks.policy.runs import Run, play

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
    found = play(make_run(workload))
    values = {name: getattr(found, name) for name in found.__dataclass_fields__}
    values["goodput"] = found.goodput / saturated_capacity(found.adapters)
    broken = []
    for option, text in read_bounds()[workload].items():
        side, name = option.split()
        bound = float(text)
        kept = values[name] <= bound if side == "most" else values[name] >= bound
        if not kept:
            broken.append(f"{name} is {values[name]:.3f}, {side} {bound}")
    assert broken == []


def test_loads_fewer_than_affinity():
    ours, usual = play(make_run("steady")), play(make_run("steady", "affinity, LRU"))
    assert ours.loads_per_second < 0.95 * usual.loads_per_second
    assert ours.stall_mean < usual.stall_mean


def test_same_seed_gives_the_same_figures():
    assert play(make_run("domain gone")) == play(make_run("domain gone"))
