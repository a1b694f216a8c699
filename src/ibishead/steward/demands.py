"""Requests that wait at a steward for an adapter that isn't in place."""

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

    def wish(self, key: WeightKey, ready: float, read_rate: float) -> AdapterDemand:
        # the prompt has to be read before the answer begins
        waiters = [(w.due - w.tokens / read_rate, w.until) for w in self.waiters]
        asked = max(due for due, _ in waiters)
        return AdapterDemand(key, self.version, count_served(waiters, ready), asked)


class AdapterDemands:
    """Who waits for which adapter, and at what version."""

    def __init__(self) -> None:
        self._demands: dict[WeightKey, _Demand] = {}

    def __len__(self) -> int:
        return len(self._demands)

    def __iter__(self) -> Iterator[WeightKey]:
        return iter(self._demands)

    def add(self, waiter: Waiter, version: int) -> None:
        """Let a request wait for its adapter.

        :param version: the least that the request may begin on.
        """
        demand = self._demands.setdefault(waiter.key, _Demand(version))
        demand.version = max(demand.version, version)
        demand.waiters.append(waiter)

    def list_wishes(self, ready: float, read_rate: float) -> list[AdapterDemand]:
        """Return what is waited for.

        :param ready: monotonic seconds at which a load ends that is ordered now.
        :param read_rate: prompt tokens that the engine reads in a second.
        """
        return [
            demand.wish(key, ready, read_rate) for key, demand in self._demands.items()
        ]

    def take_served(self, ledger: OrderLedger) -> list[Waiter]:
        """Return who need not wait any more, as his adapter is in place."""
        served = []
        for key, demand in list(self._demands.items()):
            if ledger.holds(key, demand.version):
                del self._demands[key]
                served.extend(demand.waiters)
        return served

    def refuse_late(self, now: float) -> None:
        """Tell those whose time is over that they get no turn here."""
        for key, demand in list(self._demands.items()):
            late = [w for w in demand.waiters if w.until <= now or w.link.closed]
            for waiter in late:
                waiter.answer(False)
                demand.waiters.remove(waiter)
            if not demand.waiters:
                del self._demands[key]

    def refuse_all(self) -> None:
        """Tell all who wait that they get no turn here."""
        for demand in self._demands.values():
            for waiter in demand.waiters:
                waiter.answer(False)
        self._demands.clear()
