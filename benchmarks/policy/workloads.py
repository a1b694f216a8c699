"""Workloads of the benchmark; the requests of a run are generated from a seed."""

import bisect
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from ibishead.decisions.placement import adapter_digest
from ibishead.ids import AdapterName, TargetId, TeamId, Version

__all__ = [
    "Fault",
    "FaultKind",
    "Request",
    "WORKLOADS",
    "Workload",
    "make_requests",
    "resubmit",
]

ADAPTERS = 3000
#: Exponent of popularity by Zipf's law: the most popular adapters in the 104 slots of
#: the fleet then receive about 0.85 of the requests.
ZIPF_EXPONENT = 1.3
#: Requests per second over both services: about 0.7 of the capacity of the engines, and
#: few enough that a good policy needs fewer than the 4 loads per second of the store.
REQUESTS_PER_SECOND = 12.0
#: Share of requests for the first service, which has 9 of the 13 engines.
FIRST_SERVICE_SHARE = 9 / 13
DURATION_SECONDS = 400.0
WARM_UP_SECONDS = 60.0
MEAN_TOKENS = 160.0
TEAMS = tuple(TeamId(name) for name in ("a", "b", "c", "d"))

DIGESTS = [
    adapter_digest(AdapterName(f"adapter-{number}"), Version("1"))
    for number in range(ADAPTERS)
]


class FaultKind(Enum):
    """Kinds of faults.

    :ivar SLOW: steps take longer.
    :ivar RESTART: the process of the engine ends and starts again.
    :ivar GONE: the host fails for the rest of the run, without a notice.
    """

    SLOW = "slow"
    RESTART = "restart"
    GONE = "gone"


@dataclass(frozen=True)
class Fault:
    """One fault at one target.

    :ivar at: seconds from the start of the run.
    :ivar factor: factor on the step time.
    """

    kind: FaultKind
    target: TargetId
    at: float
    factor: float = 1.0


@dataclass(frozen=True)
class Workload:
    """Parameters of a workload.

    :ivar rate: requests per second over both services.
    :ivar burst: factor on the rate during bursts.
    :ivar shift: seconds between two shifts of popularity, 0 for none.
    :ivar mixed: whether requests are randomly either short or long.
    :ivar load_failures: probability that a load fails.
    """

    name: str
    rate: float = REQUESTS_PER_SECOND
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
#: Failure of one failure domain, which holds every fourth target of a service.
_GONE = _fault(FaultKind.GONE, 150.0, "mester-1", "mester-5", "raktar-0")

WORKLOADS = {
    workload.name: workload
    for workload in (
        Workload("steady"),
        Workload("burst", rate=REQUESTS_PER_SECOND * 0.6, burst=10.0),
        Workload("shift", shift=80.0),
        Workload("slow target", faults=_SLOW),
        Workload("short and long", mixed=True),
        Workload("saturation", rate=REQUESTS_PER_SECOND * 2.9),
        Workload("restarts", faults=_RESTARTS),
        Workload("load failures", load_failures=0.1),
        Workload("domain gone", rate=REQUESTS_PER_SECOND * 0.8, faults=_GONE),
        Workload("shift, slow target", shift=80.0, faults=_SLOW),
    )
}


@dataclass(slots=True, eq=False)
class Request:
    """One request and its outcome; times are virtual seconds.

    :ivar tokens: length of the answer.
    :ivar timeout: seconds from arrival to the deadline.
    :ivar resubmissions: how often the caller has submitted the request again.
    :ivar avoid: targets at which an attempt failed.
    :ivar stall: seconds that the request waited for its adapter at its agent.
    """

    number: int
    arrival: float
    service: int
    adapter: int
    tokens: float
    priority: int
    timeout: float
    team: TeamId
    entry: int
    deadline: float = 0.0
    attempt: int = 1
    resubmissions: int = 0
    target: int = -1
    avoid: set[TargetId] = field(default_factory=set)
    stall: float = 0.0
    stalled_since: float = -1.0
    started: float = -1.0
    ended: float = -1.0
    outcome: str = ""


def make_requests(
    workload: Workload, seed: int, duration: float = DURATION_SECONDS
) -> list[Request]:
    """Return all requests of a run, ordered by arrival.

    :param duration: virtual seconds in which requests arrive.
    """
    rng = random.Random(f"{workload.name}/{seed}")
    popularity = _Popularity(rng)
    requests: list[Request] = []
    now, last_shift = 0.0, 0.0
    for number in itertools.count():
        bursting = workload.burst > 1.0 and now % 100.0 > 97.0
        rate = workload.rate * (workload.burst if bursting else 1.0)
        now += rng.expovariate(rate)
        if now >= duration:
            return requests
        if workload.shift and now - last_shift >= workload.shift:
            last_shift = now
            popularity.shift()
        requests.append(_make_request(number, now, workload, rng, popularity.draw))
    raise AssertionError


def _make_request(
    number: int,
    now: float,
    workload: Workload,
    rng: random.Random,
    draw: Callable[[int], int],
) -> Request:
    service = 0 if rng.random() < FIRST_SERVICE_SHARE else 1
    urgent = rng.random() < 0.7
    return Request(
        number=number,
        arrival=now,
        service=service,
        adapter=draw(service),
        tokens=_draw_tokens(workload, rng),
        priority=6 if urgent else 3,
        timeout=30.0 if urgent else 60.0,
        # The first team sends as many requests as the three others together.
        team=rng.choices(TEAMS, (3, 1, 1, 1))[0],
        entry=rng.randrange(3),
    )


def _draw_tokens(workload: Workload, rng: random.Random) -> float:
    if workload.mixed:
        return 50.0 if rng.random() < 0.75 else 490.0
    return max(8.0, rng.lognormvariate(math.log(MEAN_TOKENS) - 0.18, 0.6))


class _Popularity:
    """Draws adapters by Zipf's law; each service has its own popularity ranking."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, ADAPTERS + 1)]
        self._sums = list(itertools.accumulate(weights))
        self._orders = [self._shuffle(), self._shuffle()]

    def shift(self) -> None:
        """Swap the 20 most popular adapters of each service with random others."""
        for order in self._orders:
            for rank in range(20):
                other = self._rng.randrange(20, ADAPTERS)
                order[rank], order[other] = order[other], order[rank]

    def draw(self, service: int) -> int:
        """Return the digest of a random adapter."""
        index = bisect.bisect_left(self._sums, self._rng.random() * self._sums[-1])
        return self._orders[service][min(index, ADAPTERS - 1)]

    def _shuffle(self) -> list[int]:
        return self._rng.sample(DIGESTS, ADAPTERS)


def resubmit(request: Request, now: float, number: int) -> Request:
    """Return a request that the same caller submits again.

    :param now: its arrival.
    :param number: its number.
    """
    return replace(
        request,
        number=number,
        arrival=now,
        resubmissions=request.resubmissions + 1,
        attempt=1,
        target=-1,
        avoid=set(),
        stall=0.0,
        stalled_since=-1.0,
        started=-1.0,
        outcome="",
    )
