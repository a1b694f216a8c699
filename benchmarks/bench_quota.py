"""Compares ways to enforce customers' quotas at many gateways.

Run with ``python -m benchmarks.bench_quota``; it prints a Markdown table. Callers reach
gateways by a hash. One customer sends six times its usual requests for a while, a
gateway is lost and another is added, the program that keeps or allots the quotas is
killed, and a gateway is cut off from it.
"""

import heapq
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from ibishead.decisions.quota import QuotaAccounts, Tolerance
from ibishead.routing.customers import Quota, QuotaUnit

DAY_SECONDS = 34.0
WINDOW_SECONDS = 8.0
OVERAGE = 0.1
CUSTOMERS = 16
#: Quota of a customer relative to its usual demand, and smallest quota in tokens per
#: second.
QUOTA_FACTOR = 1.8
SMALLEST_QUOTA = 2600.0
#: Tokens of a request.
MEAN_TOKENS, MAX_TOKENS = 1600.0, 5300.0
#: The customer that sends more than usual, how many times as much, and when.
HOT_CUSTOMER, HOT_FACTOR, HOT_FROM, HOT_UNTIL = 1, 6.0, 5.0, 16.0
#: When the keeper of the quotas is dead and no other has taken over.
KEEPER_LOST_FROM, KEEPER_LOST_UNTIL = 10.0, 10.7
#: When the first gateway is cut off from the keeper, and when it is lost.
CUT_FROM, CUT_UNTIL, LOST_FROM = 18.0, 22.0, 25.0
ROUND_TRIP_SECONDS = 0.0015
#: Longest time that a request waits for its charge.
MAX_WAIT_SECONDS = 2.0
#: Parts by demand: seconds between two allotments, seconds for which a part is valid,
#: and share of the quota that is always split evenly.
ALLOT_SECONDS, PART_SECONDS, EVEN_SHARE = 0.5, 2.0, 0.2


@dataclass(frozen=True)
class Arrival:
    """A request that reaches a gateway.

    :param at: seconds since the start.
    """

    at: float
    customer: int
    gateway: int
    tokens: float


@dataclass(frozen=True)
class Decision:
    """What a way decides on a request.

    :param wait: seconds until it decided.
    """

    granted: bool
    wait: float = 0.0


class Way(Protocol):
    """A way to enforce quotas.

    :ivar messages: messages sent so far, in both directions.
    """

    messages: int

    def decide(self, arrival: Arrival) -> Decision:
        """Admit or refuse a request; calls come in the order of arrival."""


@dataclass
class Bucket:
    """A token bucket that may become negative by one request."""

    rate: float
    burst: float
    balance: float = 0.0
    updated: float = 0.0

    def take(self, cost: float, now: float) -> bool:
        """Take a cost, and return whether the balance allowed it."""
        added = self.balance + (now - self.updated) * self.rate
        self.balance, self.updated = min(self.burst, added), now
        if self.balance <= 0:
            return False
        self.balance -= cost
        return True


class EqualParts:
    """Each gateway enforces the same part of each quota."""

    messages = 0

    def __init__(self, quotas: list[Quota], gateways: int) -> None:
        self._buckets = {
            (gateway, customer): Bucket(
                quota.rate / gateways, quota.burst / gateways, quota.burst / gateways
            )
            for gateway in range(gateways)
            for customer, quota in enumerate(quotas)
        }

    def decide(self, arrival: Arrival) -> Decision:
        """Admit or refuse a request."""
        bucket = self._buckets[arrival.gateway, arrival.customer]
        return Decision(bucket.take(arrival.tokens, arrival.at))


class PartsByDemand:
    """An allotter gives each gateway a part in proportion to its recent demand."""

    def __init__(self, quotas: list[Quota], gateways: int) -> None:
        self.messages = 0
        self._quotas, self._gateways = quotas, gateways
        self._buckets: dict[tuple[int, int], Bucket] = {}
        self._valid_until: dict[tuple[int, int], float] = defaultdict(float)
        self._demand: dict[tuple[int, int], float] = defaultdict(float)
        self._next_allotment = 0.0

    def decide(self, arrival: Arrival) -> Decision:
        """Admit or refuse a request."""
        while self._next_allotment <= arrival.at:
            self._allot(self._next_allotment)
            self._next_allotment += ALLOT_SECONDS
        key = (arrival.gateway, arrival.customer)
        self._demand[key] += arrival.tokens
        bucket = self._buckets[key]
        if arrival.at > self._valid_until[key]:
            quota = self._quotas[arrival.customer]
            bucket.rate = quota.rate * EVEN_SHARE / self._gateways
        return Decision(bucket.take(arrival.tokens, arrival.at))

    def _allot(self, now: float) -> None:
        if KEEPER_LOST_FROM <= now < KEEPER_LOST_UNTIL:
            return
        for customer, quota in enumerate(self._quotas):
            reserved, reached = 0.0, []
            for gateway in range(self._gateways):
                if is_cut(gateway, now) and now <= self._valid_until[gateway, customer]:
                    reserved += self._buckets[gateway, customer].rate / quota.rate
                elif not is_cut(gateway, now):
                    reached.append(gateway)
            total = sum(self._demand[g, customer] for g in reached)
            free = max(0.0, 1.0 - EVEN_SHARE - reserved)
            for gateway in reached:
                share = EVEN_SHARE / self._gateways
                share += free * (
                    self._demand[gateway, customer] / total
                    if total
                    else 1 / len(reached)
                )
                self._set_part(gateway, customer, share, now)
                self._demand[gateway, customer] *= 0.5
        self.messages += 2 * self._gateways

    def _set_part(self, gateway: int, customer: int, share: float, now: float) -> None:
        quota, key = self._quotas[customer], (gateway, customer)
        rate, burst = quota.rate * share, quota.burst * share
        bucket = self._buckets.setdefault(key, Bucket(rate, burst, burst, now))
        bucket.take(0.0, now)
        bucket.rate, bucket.burst = rate, burst
        self._valid_until[key] = now + PART_SECONDS


class OneAccount:
    """One program charges each request; it is the way of `ibishead.decisions.quota`."""

    def __init__(self, quotas: list[Quota], gateways: int) -> None:
        self.messages = 0
        self._quotas = dict(enumerate(quotas))
        self._accounts = self._open(-5.0)
        self._replaced = False

    def decide(self, arrival: Arrival) -> Decision:
        """Admit or refuse a request."""
        asked = arrival.at
        if is_cut(arrival.gateway, asked):
            asked = CUT_UNTIL
        if KEEPER_LOST_FROM <= asked < KEEPER_LOST_UNTIL:
            asked = KEEPER_LOST_UNTIL
        wait = asked - arrival.at
        if wait > MAX_WAIT_SECONDS:
            return Decision(False, MAX_WAIT_SECONDS)
        if asked >= KEEPER_LOST_UNTIL and not self._replaced:
            self._replaced = True
            self._accounts = self._open(KEEPER_LOST_UNTIL)
            self._accounts.give_credit(Tolerance(WINDOW_SECONDS, OVERAGE))
        self.messages += 2
        self._accounts.advance(asked)
        verdict = self._accounts.charge(arrival.customer, arrival.tokens)
        return Decision(verdict.granted, wait + ROUND_TRIP_SECONDS)

    def _open(self, now: float) -> QuotaAccounts:
        accounts = QuotaAccounts(now)
        accounts.set_quotas(self._quotas)
        return accounts


@dataclass
class Result:
    """Figures of one way.

    :ivar worst_window: largest share of what a window allows that passed in it.
    :ivar refused_below: share of the tokens within the quotas that were refused, and
        the same for the customer for which it is largest.
    :ivar waits: seconds that admitted requests waited.
    """

    worst_window: float = 0.0
    refused_below: float = 0.0
    refused_below_worst: float = 0.0
    waits: list[float] = field(default_factory=list)
    messages_per_second: float = 0.0


def is_cut(gateway: int, now: float) -> bool:
    """Return whether a gateway is cut off from the keeper of the quotas."""
    return gateway == 0 and CUT_FROM <= now < CUT_UNTIL


def make_quotas(demand: list[float]) -> list[Quota]:
    """Return a quota for each customer's usual demand in tokens per second."""
    rates = [max(SMALLEST_QUOTA, QUOTA_FACTOR * usual) for usual in demand]
    return [Quota(QuotaUnit.TOKENS, rate, rate) for rate in rates]


def generate_arrivals(
    demand: list[float], gateways: int, draw: random.Random
) -> Iterator[Arrival]:
    """Yield the requests of a day in the order of their arrival."""
    callers = 20 * gateways
    homes = [draw.randrange(gateways) for _ in range(callers)]
    owners = [draw.randrange(CUSTOMERS) for _ in range(callers)]
    owners[:CUSTOMERS] = range(CUSTOMERS)
    by_customer = [
        [caller for caller in range(callers) if owners[caller] == customer]
        for customer in range(CUSTOMERS)
    ]
    streams = [
        generate_customer(
            customer, demand[customer], by_customer[customer], homes, draw
        )
        for customer in range(CUSTOMERS)
    ]
    yield from heapq.merge(*streams, key=lambda arrival: arrival.at)


def generate_customer(
    customer: int,
    usual: float,
    callers: list[int],
    homes: list[int],
    draw: random.Random,
) -> Iterator[Arrival]:
    """Yield the requests of one customer; a lost gateway's callers go to the next."""
    now = 0.0
    while True:
        hot = customer == HOT_CUSTOMER and HOT_FROM <= now < HOT_UNTIL
        now += draw.expovariate(usual * (HOT_FACTOR if hot else 1.0) / MEAN_TOKENS)
        if now >= DAY_SECONDS:
            return
        gateway = homes[draw.choice(callers)]
        if gateway == 0 and now >= LOST_FROM:
            gateway = 1
        tokens = min(MAX_TOKENS, draw.lognormvariate(0.0, 0.7) * MEAN_TOKENS / 1.28)
        yield Arrival(now, customer, gateway, tokens)


def play(way: Way, quotas: list[Quota], arrivals: list[Arrival]) -> Result:
    """Play a day and return a way's figures."""
    ideal = [Bucket(q.rate, q.burst, q.burst) for q in quotas]
    owed = [0.0] * CUSTOMERS
    lost = [0.0] * CUSTOMERS
    windows: list[deque[tuple[float, float]]] = [deque() for _ in quotas]
    result = Result()
    for arrival in arrivals:
        within = ideal[arrival.customer].take(arrival.tokens, arrival.at)
        decision = way.decide(arrival)
        if within:
            owed[arrival.customer] += arrival.tokens
            if not decision.granted:
                lost[arrival.customer] += arrival.tokens
        if decision.granted:
            result.waits.append(decision.wait)
            window = windows[arrival.customer]
            window.append((arrival.at + decision.wait, arrival.tokens))
            while window[0][0] < arrival.at - WINDOW_SECONDS:
                window.popleft()
            quota = quotas[arrival.customer]
            allowed = quota.rate * WINDOW_SECONDS + quota.burst
            passed = sum(tokens for _, tokens in window)
            result.worst_window = max(result.worst_window, passed / allowed)
    result.refused_below = sum(lost) / sum(owed)
    result.refused_below_worst = max(
        missing / due for missing, due in zip(lost, owed, strict=True) if due
    )
    result.messages_per_second = way.messages / DAY_SECONDS
    return result


def main() -> None:
    """Print the figures of all ways, as means over several seeds."""
    print(
        "| gateways | way | worst window | refused below the quota "
        "| the same, worst customer | wait p99 ms | messages a second |"
    )
    print("|---:|---|---:|---:|---:|---:|---:|")
    for gateways, way_type in itertools.product(
        (17, 340), (EqualParts, PartsByDemand, OneAccount)
    ):
        results = [play_seed(way_type, gateways, seed) for seed in range(5)]
        waits = sorted(itertools.chain.from_iterable(r.waits for r in results))

        def mean(name: str, results: list[Result] = results) -> float:
            return sum(getattr(r, name) for r in results) / len(results)

        print(
            f"| {gateways} | {way_type.__name__} "
            f"| {max(r.worst_window for r in results):.2f} "
            f"| {mean('refused_below'):.3f} | {mean('refused_below_worst'):.3f} "
            f"| {1000 * waits[int(0.99 * len(waits))]:.1f} "
            f"| {mean('messages_per_second'):.0f} |"
        )


def play_seed(way_type: type, gateways: int, seed: int) -> Result:
    """Play the day of one seed."""
    draw = random.Random(seed)
    weights = [1 / (rank + 1) ** 1.1 for rank in range(CUSTOMERS)]
    total = 130_000.0 * gateways / 17
    demand = [total * weight / sum(weights) for weight in weights]
    quotas = make_quotas(demand)
    arrivals = list(generate_arrivals(demand, gateways, draw))
    return play(way_type(quotas, gateways), quotas, arrivals)


if __name__ == "__main__":
    main()
