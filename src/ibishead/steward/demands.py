"""Requests that wait at a steward until their adapter is loaded."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ibishead.decisions.fairshare import MAX_RANK, Claim, FairOrder
from ibishead.decisions.residents import AdapterDemand, count_served
from ibishead.decisions.turns import Turn
from ibishead.routing.targets import WeightKey
from ibishead.steward.ledger import OrderLedger
from ibishead.steward.turns import Waiter

__all__ = ["AdapterDemands"]

#: Number of loads of which one goes to the most urgent request of the least served
#: customer. By callers served alone, adapters of a customer with many callers would
#: always go before adapters with a single caller.
FAIR_LOAD_PERIOD = 2

#: Work that a load is charged to the customers that wait for it, in prompt tokens. A
#: customer with few requests may have four loads in a row.
LOAD_WORK = 2_000.0

#: Claim of a request that can't be in time.
NO_CLAIM = Claim(MAX_RANK + 1, 0.0)


@dataclass
class _Demand:
    """Requests that wait for one adapter.

    :ivar charged_claim: best claim among them when a load was charged to them, which
        counts again if that load fails.
    """

    version: int
    waiters: dict[Waiter, Turn] = field(default_factory=dict)
    charged_claim: Claim = NO_CLAIM

    def find_claim(self, claims: Mapping[Turn, Claim]) -> Claim:
        """Return the best claim among the requests."""
        found = (claims.get(turn, NO_CLAIM) for turn in self.waiters.values())
        return min(self.charged_claim, *found)

    def summarize(
        self,
        key: WeightKey,
        ready_at: float,
        read_rate: float,
        claims: Mapping[Turn, Claim],
    ) -> AdapterDemand:
        # the engine reads the prompt after the load and before the first token
        waiters = [(w.due - w.tokens / read_rate, w.expires_at) for w in self.waiters]
        latest_due = max(due for due, _ in waiters)
        served = count_served(waiters, ready_at)
        if not claims:
            return AdapterDemand(key, self.version, served, latest_due)
        claim = self.find_claim(claims)
        return AdapterDemand(
            key, self.version, served, latest_due, claim.rank, claim.granted
        )


class AdapterDemands:
    """Waiting requests by adapter, with the version that each adapter needs.

    :ivar order: the requests that wait for a load which isn't ordered yet.
    :ivar fair_loads: loads for which urgency and fair shares counted first.
    """

    def __init__(self) -> None:
        self.order = FairOrder()
        self.fair_loads = 0
        self._demands: dict[WeightKey, _Demand] = {}
        self._count = 0
        self._loads = 0

    def __len__(self) -> int:
        return len(self._demands)

    def __iter__(self) -> Iterator[WeightKey]:
        return iter(self._demands)

    @property
    def fair_first(self) -> bool:
        """Whether urgency and fair shares count first for the next load."""
        return self.order.active and self._loads % FAIR_LOAD_PERIOD == 0

    def add(self, waiter: Waiter, version: int) -> None:
        """Add a request that waits for its adapter.

        :param version: oldest version of the adapter that the request may use.
        """
        demand = self._demands.setdefault(waiter.key, _Demand(version))
        demand.version = max(demand.version, version)
        self._count += 1
        turn = Turn(self._count, waiter.tokens, waiter.due)
        demand.waiters[waiter] = turn
        self.order.add(turn, waiter.work)

    def record_load(self, key: WeightKey, now: float) -> None:
        """Charge an ordered load to the customers that wait for it.

        :param now: monotonic seconds.
        """
        demand = self._demands.get(key)
        if demand is None:
            return
        self.fair_loads += self.fair_first
        self._loads += 1
        demand.charged_claim = demand.find_claim(self.order.list_claims(now))
        work = LOAD_WORK / len(demand.waiters)
        for turn in demand.waiters.values():
            if turn in self.order:
                self.order.grant(turn, now, work)

    def list_demands(self, ready_at: float, read_rate: float) -> list[AdapterDemand]:
        """Return one entry for each adapter that requests wait for.

        :param ready_at: monotonic seconds at which a load ordered now would end.
        :param read_rate: prompt tokens that the engine reads per second.
        """
        claims = self.order.list_claims(ready_at)
        return [
            demand.summarize(key, ready_at, read_rate, claims)
            for key, demand in self._demands.items()
        ]

    def pop_satisfied(self, ledger: OrderLedger) -> list[Waiter]:
        """Remove and return the requests whose adapter is loaded now."""
        satisfied: list[Waiter] = []
        for key, demand in list(self._demands.items()):
            if ledger.holds(key, demand.version):
                del self._demands[key]
                satisfied.extend(demand.waiters)
                for turn in demand.waiters.values():
                    self.order.discard(turn)
        return satisfied

    def refuse_expired(self, now: float) -> None:
        """Refuse requests that have expired or whose gateway link is closed.

        :param now: monotonic seconds.
        """
        for key, demand in list(self._demands.items()):
            expired = [
                w for w in demand.waiters if w.expires_at <= now or w.link.closed
            ]
            for waiter in expired:
                waiter.answer(False)
                self.order.discard(demand.waiters.pop(waiter))
            if not demand.waiters:
                del self._demands[key]

    def refuse_all(self) -> None:
        """Refuse every waiting request."""
        for demand in self._demands.values():
            for waiter, turn in demand.waiters.items():
                waiter.answer(False)
                self.order.discard(turn)
        self._demands.clear()
