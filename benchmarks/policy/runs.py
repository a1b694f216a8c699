"""Runs of the benchmark by the names of workload and policy, in several processes."""

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from types import ModuleType

from benchmarks.policy.measures import Measures, measure
from benchmarks.policy.model import Engine
from benchmarks.policy.policies import (
    Affinity,
    Decisions,
    Features,
    LeastLoaded,
    Policy,
    Random,
)
from benchmarks.policy.simulation import Result, Simulation, make_clairvoyant
from benchmarks.policy.workloads import DURATION_SECONDS, WORKLOADS, Request
from ibishead.decisions import admission, eviction, placement, queueing

__all__ = ["ALTERNATIVES", "POLICIES", "Run", "measure_all", "measure_run"]

#: Number of upcoming arrivals for which the clairvoyant policy may prefetch.
PREFETCH_LOOKAHEAD = 64


@dataclass(frozen=True)
class Run:
    """Configuration of a run: one workload under one policy.

    :ivar without: name of a feature of `Features` that is disabled.
    :ivar alternative: key of the entry of `ALTERNATIVES` that is applied.
    :ivar duration: virtual seconds.
    """

    workload: str
    policy: str
    seeds: tuple[int, ...]
    stall_weight: float = 0.5
    without: str = ""
    alternative: str = ""
    duration: float = DURATION_SECONDS


@dataclass(frozen=True)
class _Alternative:
    module: ModuleType
    name: str
    value: object


POLICIES = (
    "random",
    "least loaded",
    "affinity, LRU",
    "ibishead",
    "clairvoyant, on demand",
    "clairvoyant, prefetching",
)

ALTERNATIVES = {
    "adapters rendezvous at 1 target, not 2": _Alternative(
        placement, "HASH_CANDIDATES", 1
    ),
    "adapters rendezvous at 4 targets": _Alternative(placement, "HASH_CANDIDATES", 4),
    "a copy's harm to other loads is not counted": _Alternative(
        placement, "_estimate_cost_to_others", lambda load, wishes: 0.0
    ),
    "silence doesn't age a count": _Alternative(eviction, "MISSED_USES", 1e9),
    "counts halve in 240 s, not 60 s": _Alternative(
        eviction, "REUSE_HALF_LIFE_SECONDS", 240.0
    ),
    "queue of 4 rounds, not 2": _Alternative(admission, "MAX_QUEUED_ROUNDS", 4.0),
    "no bound on the backlog of loads": _Alternative(
        admission, "MAX_LOAD_BACKLOG_SECONDS", 1e9
    ),
    "no guarded part for each class": _Alternative(
        admission, "RESERVED_CLASS_SHARE", 0.0
    ),
    "grouping waits twice as long": _Alternative(queueing, "MAX_GROUPING_SECONDS", 8.0),
}


def measure_run(run: Run) -> Measures:
    """Simulate a run with each of its seeds and return the measures."""
    with _use_alternative(run.alternative):
        return measure([_simulate(run, seed) for seed in run.seeds])


def measure_all(runs: Iterable[Run], jobs: int) -> dict[Run, Measures]:
    """Return the measures of many runs, each simulated once.

    :param jobs: number of parallel processes.
    """
    runs = list(dict.fromkeys(runs))
    with ProcessPoolExecutor(jobs) as pool:
        return dict(zip(runs, pool.map(measure_run, runs), strict=True))


def _simulate(run: Run, seed: int) -> Result:
    make_policy = _make_policy(run, seed)
    return Simulation(WORKLOADS[run.workload], seed, make_policy, run.duration).run()


def _make_policy(
    run: Run, seed: int
) -> Callable[[list[Engine], list[Request]], Policy]:
    match run.policy:
        case "random":
            return lambda engines, arrivals: Random(seed)
        case "least loaded":
            return lambda engines, arrivals: LeastLoaded(seed)
        case "affinity, LRU":
            return lambda engines, arrivals: Affinity(seed)
        case "ibishead":
            features = Features(**{run.without: False}) if run.without else Features()
            return lambda engines, arrivals: Decisions(seed, features, run.stall_weight)
        case "clairvoyant, on demand":
            return make_clairvoyant(0)
        case "clairvoyant, prefetching":
            return make_clairvoyant(PREFETCH_LOOKAHEAD)
    raise ValueError(f"unknown policy: {run.policy}")


@contextmanager
def _use_alternative(name: str) -> Iterator[None]:
    if not name:
        yield
        return
    alternative = ALTERNATIVES[name]
    original = getattr(alternative.module, alternative.name)
    setattr(alternative.module, alternative.name, alternative.value)
    try:
        yield
    finally:
        setattr(alternative.module, alternative.name, original)
