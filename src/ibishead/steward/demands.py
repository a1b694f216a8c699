"""Requests that wait at a steward until their adapter is loaded."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ibishead.decisions.residents import AdapterDemand, count_served
from ibishead.routing.targets import WeightKey
from ibishead.steward.ledger import OrderLedger
from ibishead.steward.turns import Waiter

__all__ = ["AdapterDemands"]


@dataclass
class _Demand:
    version: int
    waiters: list[Waiter] = field(default_factory=list)

    def summarize(
        self, key: WeightKey, ready_at: float, read_rate: float
    ) -> AdapterDemand:
        # the engine reads the prompt after the load and before the first token
        waiters = [(w.due - w.tokens / read_rate, w.expires_at) for w in self.waiters]
        latest_due = max(due for due, _ in waiters)
        return AdapterDemand(
            key, self.version, count_served(waiters, ready_at), latest_due
        )


class AdapterDemands:
    """Waiting requests by adapter, with the version that each adapter needs."""

    def __init__(self) -> None:
        self._demands: dict[WeightKey, _Demand] = {}

    def __len__(self) -> int:
        return len(self._demands)

    def __iter__(self) -> Iterator[WeightKey]:
        return iter(self._demands)

    def add(self, waiter: Waiter, version: int) -> None:
        """Add a request that waits for its adapter.

        :param version: oldest version of the adapter that the request may use.
        """
        demand = self._demands.setdefault(waiter.key, _Demand(version))
        demand.version = max(demand.version, version)
        demand.waiters.append(waiter)

    def list_demands(self, ready_at: float, read_rate: float) -> list[AdapterDemand]:
        """Return one entry for each adapter that requests wait for.

        :param ready_at: monotonic seconds at which a load ordered now would end.
        :param read_rate: prompt tokens that the engine reads per second.
        """
        return [
            demand.summarize(key, ready_at, read_rate)
            for key, demand in self._demands.items()
        ]

    def pop_satisfied(self, ledger: OrderLedger) -> list[Waiter]:
        """Remove and return the requests whose adapter is loaded now."""
        satisfied = []
        for key, demand in list(self._demands.items()):
            if ledger.holds(key, demand.version):
                del self._demands[key]
                satisfied.extend(demand.waiters)
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
                demand.waiters.remove(waiter)
            if not demand.waiters:
                del self._demands[key]

    def refuse_all(self) -> None:
        """Refuse every waiting request."""
        for demand in self._demands.values():
            for waiter in demand.waiters:
                waiter.answer(False)
        self._demands.clear()
