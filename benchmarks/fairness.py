"""Simulates one engine whose turns or adapter loads are short.

Run with ``python -m benchmarks.fairness``; it prints, for the order by due times and
for the fair order, what each customer and rank gets, and the longest tenth of its
prompts.
"""

import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ibishead.decisions.eviction import ReuseCounter
from ibishead.decisions.fairshare import FairOrder
from ibishead.decisions.loadpace import LoadPace
from ibishead.decisions.residents import EngineWeights, Load, choose_order
from ibishead.decisions.turns import PromptWindow, Turn
from ibishead.ids import CustomerId, ModelName
from ibishead.routing.routes import EngineSpec, ModelSpec
from ibishead.routing.targets import Holding, WeightKey
from ibishead.routing.work import RequestWork
from ibishead.steward.demands import AdapterDemands
from ibishead.steward.turns import Waiter

__all__ = ["DueOrder", "Kind", "LoadSource", "Outcome", "run_loads", "run_turns"]

#: Longest pause in seconds that callers accept.
GAP = 0.3
#: Prompt tokens that the engine reads per second, and those that its window admits.
READ_RATE = 22_100.0
CAPACITY = 0.85 * READ_RATE
#: Seconds from the end of a prompt to the first event.
STEP_SECONDS = 0.01
#: Multiple of the objective after which a waiting request is refused.
PATIENCE = 2.5
LONGEST_PROMPT = 6500

#: Seconds of an adapter load, and to the first event of a request that waits for it.
LOAD_SECONDS = 0.25
LOAD_OBJECTIVE = 0.8

MODEL = ModelName("m")
SPEC = EngineSpec(8, 1000, 100.0, 99, (ModelSpec(MODEL, 90.0, 5.0, 1.0),))


class DueOrder(FairOrder):
    """The order by due times, which ignores ranks and customers."""

    active = False


@dataclass(frozen=True)
class Kind:
    """Requests of one customer and rank that wait for turns.

    :param load: prompt tokens per second, as a share of the engine's capacity.
    :param objective: seconds to the first event.
    """

    load: float
    customer: str = ""
    rank: int = 0
    objective: float = 0.8
    mean_tokens: int = 1460


@dataclass
class Outcome:
    """What the requests of some kinds got.

    :ivar results: prompt tokens of each request, and whether its answer began in time.
    :ivar granted: number of requests that were granted a turn.
    """

    results: list[tuple[int, bool]] = field(default_factory=list)
    granted: int = 0

    @property
    def in_time(self) -> float:
        """Share of the requests whose answer began in time."""
        return sum(timely for _, timely in self.results) / len(self.results)

    @property
    def in_all(self) -> float:
        """Share of the requests that were granted a turn."""
        return self.granted / len(self.results)

    @property
    def longest_in_time(self) -> float:
        """Share in time among the tenth with the longest prompts."""
        longest = sorted(self.results)[-(len(self.results) // 10) :]
        return sum(timely for _, timely in longest) / len(longest)


def run_turns(
    kinds: Sequence[Kind],
    order: Callable[[], FairOrder],
    seconds: float = 40.0,
    seeds: Sequence[int] = (1, 2, 3),
) -> dict[Kind, Outcome]:
    """Return what each kind gets at one engine, over several runs."""
    outcomes: dict[Kind, Outcome] = defaultdict(Outcome)
    for seed in seeds:
        _run_turns(kinds, order(), seconds, random.Random(seed), outcomes)
    return outcomes


def _run_turns(kinds, order, seconds, rng, outcomes):
    window = PromptWindow(GAP)
    window.speed.rate = READ_RATE
    arrivals = []
    for kind in kinds:
        at, rate = 0.0, kind.load * CAPACITY / kind.mean_tokens
        while (at := at + rng.expovariate(rate)) < seconds:
            tokens = 1 + min(int(rng.expovariate(1 / kind.mean_tokens)), LONGEST_PROMPT)
            arrivals.append((at, tokens, kind))
    pending, waiting = deque(sorted(arrivals, key=lambda a: a[0])), {}
    now, read_until = 0.0, 0.0
    while pending or waiting:
        while pending and pending[0][0] <= now:
            at, tokens, kind = pending.popleft()
            turn = Turn(len(pending), tokens, at + kind.objective)
            waiting[turn] = (kind, at + PATIENCE * kind.objective)
            work = RequestWork(0, (), kind.rank, CustomerId(kind.customer))
            order.add(turn, work, tokens / READ_RATE)
        for turn in [t for t, (_, until) in waiting.items() if until <= now]:
            outcomes[waiting.pop(turn)[0]].results.append((turn.tokens, False))
            order.discard(turn)
        while (turn := order.choose(now)) is not None:
            if window.wait(turn.tokens, now) > 0:
                order.hold(turn)
                break
            window.take(turn.tokens, now)
            order.grant(turn, now)
            outcome = outcomes[waiting.pop(turn)[0]]
            read_until = max(read_until, now) + turn.tokens / READ_RATE
            outcome.granted += 1
            timely = read_until + STEP_SECONDS <= turn.due
            outcome.results.append((turn.tokens, timely))
        now += 0.005


@dataclass(frozen=True)
class LoadSource:
    """Requests that each wait for an adapter that isn't loaded.

    :param rate: requests per second.
    :param callers: requests that wait for the same adapter.
    """

    rate: float
    customer: str = ""
    rank: int = 0
    callers: int = 1


class _Loaded:
    """A ledger whose engine holds one adapter."""

    def __init__(self, key: WeightKey) -> None:
        self._key = key

    def holds(self, key: WeightKey, version: int) -> bool:
        return key == self._key


class _Link:
    """A gateway's link that is never closed."""

    closed = False

    def send(self, message: object) -> None:
        pass


def run_loads(
    sources: Sequence[LoadSource],
    order: Callable[[], FairOrder],
    seconds: float = 60.0,
    seeds: Sequence[int] = (1, 2, 3),
) -> dict[LoadSource, float]:
    """Return the share of each source's requests whose adapter is loaded in time.

    The engine carries out one load at a time and keeps no adapter, so that it has four
    loads a second.
    """
    asked: Counter[LoadSource] = Counter()
    timely: Counter[LoadSource] = Counter()
    for seed in seeds:
        demands = AdapterDemands()
        demands.order = order()
        _run_loads(sources, demands, seconds, random.Random(seed), asked, timely)
    return {source: timely[source] / asked[source] for source in sources}


def _run_loads(sources, demands, seconds, rng, asked, timely):
    arrivals = []
    for source in sources:
        at = 0.0
        while (at := at + rng.expovariate(source.rate / source.callers)) < seconds:
            arrivals.append((at, source))
    pending, link = deque(sorted(arrivals, key=lambda a: a[0])), _Link()
    owners, loading, until, now = {}, None, 0.0, 0.0
    while pending or demands:
        while pending and pending[0][0] <= now:
            at, source = pending.popleft()
            key = WeightKey(MODEL, f"a{len(pending)}")
            owners[key] = source
            asked[source] += source.callers
            due, expiry = at + LOAD_OBJECTIVE, at + PATIENCE * LOAD_OBJECTIVE
            work = RequestWork(0, (), source.rank, CustomerId(source.customer))
            for _ in range(source.callers):
                demands.add(Waiter(link, 0, key, expiry, 1460, due, None, work), 1)
        demands.refuse_expired(now)
        if loading is not None and now >= until:
            for waiter in demands.pop_satisfied(_Loaded(loading)):
                timely[owners[loading]] += now <= waiter.due
            loading = None
        if loading is None:
            order = choose_order(
                SPEC,
                EngineWeights((Holding(MODEL, 1, ()),)),
                demands.list_demands(now + LOAD_SECONDS, READ_RATE),
                {},
                {},
                ReuseCounter(),
                now,
                0.0,
                LoadPace(),
                demands.fair_first,
            )
            if isinstance(order, Load):
                demands.record_load(order.key, now)
                loading, until = order.key, now + LOAD_SECONDS
        now += 0.05


#: One customer at 7.5 times its usual load beside 15 others, at an engine that has 100
#: where 130 are asked.
USUAL = 1.3 / 22.5
CUSTOMERS = [Kind(7.5 * USUAL, "big")] + [Kind(USUAL, f"c{n}") for n in range(15)]
RANKS = [Kind(0.5, rank=0), Kind(0.3, rank=1), Kind(0.5, rank=2)]

TURN_LOADS = {
    "one customer at 7.5 times its usual, load 130%": CUSTOMERS,
    "the same, load 200%": [Kind(k.load / 0.65, k.customer) for k in CUSTOMERS],
    "the 15 others alone": CUSTOMERS[1:],
    "three ranks, load 130%": RANKS,
    "rank 0 at 200%, rank 2 at 100%": [Kind(2.0), Kind(1.0, rank=2, objective=2.0)],
    "long and short prompts, load 130%": [
        Kind(0.65, "long"),
        Kind(0.65, "short", mean_tokens=300),
    ],
    "two customers, load 200%": [Kind(1.0, "a"), Kind(1.0, "b")],
}

FEW = [LoadSource(2 / 15, f"c{n}") for n in range(15)]
ADAPTER_LOADS = {
    "a customer with 2 callers an adapter, 15 with one": [
        LoadSource(12.0, "big", callers=2),
        *FEW,
    ],
    "a customer with many adapters, 15 with few": [LoadSource(6.0, "big"), *FEW],
    "three ranks": [LoadSource(4.0), LoadSource(1.0, rank=1), LoadSource(2.0, rank=2)],
    "three ranks, rank 1 with 2 callers an adapter": [
        LoadSource(2.0),
        LoadSource(6.0, rank=1, callers=2),
        LoadSource(2.0, rank=2),
    ],
}


def _name_group(customer: str, rank: int) -> str:
    return ("others" if customer.startswith("c") else customer) or f"rank {rank}"


def main() -> None:
    """Print what each group gets: in time, in all, in time among the longest tenth."""
    for name, kinds in TURN_LOADS.items():
        for order in (DueOrder, FairOrder):
            groups: dict[str, Outcome] = defaultdict(Outcome)
            for kind, outcome in run_turns(kinds, order).items():
                group = groups[_name_group(kind.customer, kind.rank)]
                group.results += outcome.results
                group.granted += outcome.granted
            for group_name, group in sorted(groups.items()):
                values = (group.in_time, group.in_all, group.longest_in_time)
                shares = " ".join(f"{value:.2f}" for value in values)
                print(f"turns | {name} | {order.__name__} | {group_name} | {shares}")
    for name, sources in ADAPTER_LOADS.items():
        for order in (DueOrder, FairOrder):
            shares_of: dict[str, list[float]] = defaultdict(list)
            for source, share in run_loads(sources, order).items():
                shares_of[_name_group(source.customer, source.rank)].append(share)
            for group_name, found in sorted(shares_of.items()):
                mean = sum(found) / len(found)
                print(f"loads | {name} | {order.__name__} | {group_name} | {mean:.2f}")


if __name__ == "__main__":
    main()
