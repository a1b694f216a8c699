"""Runs of the bench by name, spread over processes."""

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
from benchmarks.policy.workloads import DURATION, WORKLOADS, Request
from ibishead.decisions import admission, eviction, placement, queueing

__all__ = ["ALTERNATIVES", "POLICIES", "Run", "play", "play_all"]

#: Arrivals for which the clairvoyant may prefetch.
AHEAD = 64


@dataclass(frozen=True)
class Run:
    """One workload under one policy.

    :param without: a feature of `Features` that is taken out.
    :param alternative: a name of `ALTERNATIVES` that is put in.
    """

    workload: str
    policy: str
    seeds: tuple[int, ...]
    stall_weight: float = 0.5
    without: str = ""
    alternative: str = ""
    duration: float = DURATION


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


def play(run: Run) -> Measures:
    """Play a run with all its seeds and return its measures."""
    with _put_in(run.alternative):
        return measure([_play_seed(run, seed) for seed in run.seeds])


def play_all(runs: Iterable[Run], jobs: int) -> dict[Run, Measures]:
    """Play many runs, up to ``jobs`` at once."""
    runs = list(dict.fromkeys(runs))
    with ProcessPoolExecutor(jobs) as pool:
        return dict(zip(runs, pool.map(play, runs), strict=True))


def _play_seed(run: Run, seed: int) -> Result:
    make = _make_policy(run, seed)
    return Simulation(WORKLOADS[run.workload], seed, make, run.duration).run()


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
            return make_clairvoyant(AHEAD)
    raise ValueError(f"no policy is named {run.policy}")


@contextmanager
def _put_in(name: str) -> Iterator[None]:
    if not name:
        yield
        return
    item = ALTERNATIVES[name]
    before = getattr(item.module, item.name)
    setattr(item.module, item.name, item.value)
    try:
        yield
    finally:
        setattr(item.module, item.name, before)
