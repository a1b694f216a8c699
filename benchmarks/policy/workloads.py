"""The work that the bench offers, each made from a seed."""

import bisect
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from ibishead.decisions.placement import adapter_digest
from ibishead.ids import AdapterName, TargetId, TeamId, Version

__all__ = ["Fault", "FaultKind", "Request", "WORKLOADS", "Workload", "make_requests"]

ADAPTERS = 3000
#: Exponent of popularity: the 104 slots of a fleet then hold about 0.85 of demand.
SKEW = 1.3
#: Requests a second over both services; about 0.7 of what the engines can run, and
#: misses of a good policy stay below the store's 4 loads a second.
RATE = 12.0
#: The part of the first service, by its 9 of 13 engines.
FIRST_SERVICE_PART = 9 / 13
DURATION = 400.0
WARM_UP = 60.0
MEAN_TOKENS = 160.0
TEAMS = tuple(TeamId(name) for name in ("a", "b", "c", "d"))

DIGESTS = [
    adapter_digest(AdapterName(f"adapter-{number}"), Version("1"))
    for number in range(ADAPTERS)
]


class FaultKind(Enum):
    """What goes wrong in a run."""

    SLOW = "slow"
    RESTART = "restart"
    GONE = "gone"


@dataclass(frozen=True)
class Fault:
    """One fault at one target.

    :param at: seconds from the start of the run.
    :param factor: how many times slower steps become.
    """

    kind: FaultKind
    target: TargetId
    at: float
    factor: float = 1.0


@dataclass(frozen=True)
class Workload:
    """One kind of work.

    :param rate: requests a second over both services.
    :param burst: factor of the rate within the bursts.
    :param shift: seconds between two shifts of popularity, 0 for none.
    :param mixed: short and long work by turns of chance.
    """

    name: str
    rate: float = RATE
    burst: float = 1.0
    shift: float = 0.0
    mixed: bool = False
    load_failures: float = 0.0
    faults: tuple[Fault, ...] = ()


def _fault(kind: FaultKind, at: float, *targets: str, factor: float = 1.0):
    return tuple(Fault(kind, TargetId(name), at, factor) for name in targets)


_SLOW = _fault(FaultKind.SLOW, 100.0, "mester-2", factor=4.0)
_RESTARTS = tuple(
    Fault(FaultKind.RESTART, TargetId(f"mester-{number}"), 100.0 + 60.0 * number)
    for number in range(4)
) + _fault(FaultKind.RESTART, 130.0, "raktar-1")
#: The failure domain of every fourth target.
_GONE = _fault(FaultKind.GONE, 150.0, "mester-1", "mester-5", "raktar-0")

WORKLOADS = {
    workload.name: workload
    for workload in (
        Workload("steady"),
        Workload("burst", rate=RATE * 0.6, burst=10.0),
        Workload("shift", shift=80.0),
        Workload("slow target", faults=_SLOW),
        Workload("short and long", mixed=True),
        Workload("saturation", rate=RATE * 2.9),
        Workload("restarts", faults=_RESTARTS),
        Workload("load failures", load_failures=0.1),
        Workload("domain gone", rate=RATE * 0.8, faults=_GONE),
        Workload("shift, slow target", shift=80.0, faults=_SLOW),
    )
}


@dataclass(slots=True, eq=False)
class Request:
    """One request and what became of it; moments are virtual seconds."""

    number: int
    arrival: float
    service: int
    adapter: int
    tokens: float
    priority: int
    patience: float
    team: TeamId
    entry: int
    deadline: float = 0.0
    attempt: int = 1
    returns: int = 0
    target: int = -1
    avoid: set[TargetId] = field(default_factory=set)
    stall: float = 0.0
    stalled_since: float = -1.0
    started: float = -1.0
    ended: float = -1.0
    outcome: str = ""


def make_requests(
    workload: Workload, seed: int, duration: float = DURATION
) -> list[Request]:
    """Return all requests of a run in the order of their arrival."""
    chance = random.Random(f"{workload.name}/{seed}")
    popularity = _Popularity(chance)
    requests: list[Request] = []
    now, shifted = 0.0, 0.0
    for number in itertools.count():
        bursting = workload.burst > 1.0 and now % 100.0 > 97.0
        rate = workload.rate * (workload.burst if bursting else 1.0)
        now += chance.expovariate(rate)
        if now >= duration:
            return requests
        if workload.shift and now - shifted >= workload.shift:
            shifted = now
            popularity.shift()
        requests.append(_make(number, now, workload, chance, popularity.draw))
    raise AssertionError


def _make(
    number: int,
    now: float,
    workload: Workload,
    chance: random.Random,
    draw: Callable[[int], int],
) -> Request:
    service = 0 if chance.random() < FIRST_SERVICE_PART else 1
    urgent = chance.random() < 0.7
    return Request(
        number=number,
        arrival=now,
        service=service,
        adapter=draw(service),
        tokens=_draw_tokens(workload, chance),
        priority=6 if urgent else 3,
        patience=30.0 if urgent else 60.0,
        # One team sends as much as the three others together.
        team=chance.choices(TEAMS, (3, 1, 1, 1))[0],
        entry=chance.randrange(3),
    )


def _draw_tokens(workload: Workload, chance: random.Random) -> float:
    if workload.mixed:
        return 50.0 if chance.random() < 0.75 else 490.0
    return max(8.0, chance.lognormvariate(math.log(MEAN_TOKENS) - 0.18, 0.6))


class _Popularity:
    """Draws adapters by Zipf's law; each service has its own favourites."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        weights = [1.0 / rank**SKEW for rank in range(1, ADAPTERS + 1)]
        self._sums = list(itertools.accumulate(weights))
        self._orders = [self._shuffle(), self._shuffle()]

    def shift(self) -> None:
        """Give the ten favourites' places and some more to other adapters."""
        for order in self._orders:
            for rank in range(20):
                other = self._chance.randrange(20, ADAPTERS)
                order[rank], order[other] = order[other], order[rank]

    def draw(self, service: int) -> int:
        """Return one adapter's digest."""
        place = bisect.bisect_left(self._sums, self._chance.random() * self._sums[-1])
        return self._orders[service][min(place, ADAPTERS - 1)]

    def _shuffle(self) -> list[int]:
        return self._chance.sample(DIGESTS, ADAPTERS)


def come_back(request: Request, now: float, number: int) -> Request:
    """Return the same caller's next request."""
    return replace(
        request,
        number=number,
        arrival=now,
        returns=request.returns + 1,
        attempt=1,
        target=-1,
        avoid=set(),
        stall=0.0,
        stalled_since=-1.0,
        started=-1.0,
        outcome="",
    )
