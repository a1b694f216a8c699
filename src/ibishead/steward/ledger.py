"""What an engine holds, by its last report and by the orders given since."""

from collections.abc import Mapping
from dataclasses import replace

from ibishead.decisions.loadpace import LoadPace
from ibishead.decisions.residents import EngineWeights
from ibishead.routing.targets import AdapterRef, Holding, WeightKey, list_adapters
from ibishead.steward.engine import EngineState, OrderEnd, WeightOrder

__all__ = ["OrderLedger"]

#: Seconds for which an order without an answer may still be carried out.
UNKNOWN_TIME = 13.0

#: Seconds after which an order that shows nowhere has come to nothing.
SHOW_TIME = 1.0


class OrderLedger:
    """Follows one engine through its lives.

    :ivar state: its last report, with what orders are known to have changed since; none
        while it can't be reached.
    :ivar sequence: orders that it has accepted, by the best knowledge at hand.
    :ivar doubtful: an order was refused or not answered since the last report, so the
        next one is wanted before anything is ordered.
    :ivar unanswered: the order whose end isn't known.
    :ivar pace: of its loads of adapters.
    """

    def __init__(self) -> None:
        self.state: EngineState | None = None
        self.sequence = 0
        self.doubtful = False
        self.unanswered: WeightOrder | None = None
        self.pace = LoadPace()
        self._told = 0
        self._ordered: dict[WeightKey, float] = {}
        self._leaving: dict[WeightKey, float] = {}
        self._unknown: dict[WeightKey, float] = {}

    @property
    def model_since(self) -> float | None:
        """When the order for a model that is under way was given, monotonic seconds."""
        return min(
            (since for key, since in self._ordered.items() if not key.adapter),
            default=None,
        )

    @property
    def under_way(self) -> bool:
        """Whether an order that was accepted has not come to its end."""
        return bool(self._ordered or self._leaving)

    def take(self, state: EngineState, now: float) -> bool:
        """Take in a report, and return whether a new life of the engine began."""
        known = self.state
        fresh = known is None or known.born != state.born or state.sequence < self._told
        if fresh:
            self._ordered.clear()
            self._leaving.clear()
            self._unknown.clear()
            self.unanswered = None
        self.state, self.doubtful = state, False
        self.sequence = self._told = state.sequence
        self._settle(state, now)
        return fresh

    def lose(self) -> bool:
        """Take in that the engine can't be reached, and return whether that is news."""
        news = self.state is not None
        self.state = None
        return news

    def note_end(self, order: WeightOrder, end: OrderEnd, now: float) -> None:
        """Take in what is known of an order that was given."""
        self.unanswered = order if end is OrderEnd.UNKNOWN else None
        match end:
            case OrderEnd.STARTED:
                self.sequence += 1
                # an order whose answer was lost expects an older sequence by now
                self._unknown.clear()
                (self._ordered if order.load else self._leaving)[order.key] = now
            case OrderEnd.HOLDS:
                self._note_done(order)
            case OrderEnd.UNKNOWN if order.load:
                self._unknown[order.key] = now
        self.doubtful = end not in (OrderEnd.STARTED, OrderEnd.HOLDS)

    def holds(self, key: WeightKey, version: int) -> bool:
        """Return whether weights are in place, at a version or a newer one."""
        if self.state is None or key in self._leaving or key in self._ordered:
            return False
        if any(known == key for known, _ in self.state.coming):
            return False
        lost = self.unanswered
        if lost is not None and lost.key == key and not lost.load:
            return False
        if not key.adapter:
            return self._holds_model(key)
        return list_adapters(self.state.holdings).get(key, -1) >= version

    def weigh(
        self, used: Mapping[WeightKey, float], running: frozenset[WeightKey]
    ) -> EngineWeights:
        """Return what the choice of the next order has to know.

        :param used: when adapters were last used, monotonic seconds.
        :param running: adapters that requests use now.
        """
        assert self.state is not None
        coming = {key for key, _ in self.state.coming}
        return EngineWeights(
            self.state.holdings,
            frozenset(coming.union(self._ordered, self._unknown)),
            frozenset(self._leaving),
            used,
            running,
        )

    def list_coming(self) -> dict[WeightKey, AdapterRef]:
        """Return the adapters on their way, as far as they are known."""
        coming = dict(self.state.coming) if self.state is not None else {}
        for key in self._ordered:
            if key.adapter:
                coming.setdefault(key, AdapterRef(key.adapter, 0))
        return coming

    def list_holdings(self) -> tuple[Holding, ...]:
        """Return what is in place and stays."""
        if self.state is None:
            return ()
        hidden = set(self._leaving).union(self.list_coming())
        return _without(self.state.holdings, hidden)

    def count_leaving(self) -> int:
        """Return how many adapters leave once their requests have ended."""
        return len(self._leaving)

    def _holds_model(self, key: WeightKey) -> bool:
        assert self.state is not None
        return any(holding.model == key.model for holding in self.state.holdings)

    def _settle(self, state: EngineState, now: float) -> None:
        held = list_adapters(state.holdings)
        coming = {key for key, _ in state.coming}
        for key, since in list(self._ordered.items()):
            shown = key in held or (not key.adapter and self._holds_model(key))
            under_way = key in coming or (not key.adapter and state.busy)
            if (shown or now - since > SHOW_TIME) and not under_way:
                del self._ordered[key]
                if shown and key.adapter:
                    self.pace.record(now - since, now)
        self._leaving = {k: since for k, since in self._leaving.items() if k in held}
        self._unknown = {
            key: since
            for key, since in self._unknown.items()
            if now - since <= UNKNOWN_TIME and key not in held
        }

    def _note_done(self, order: WeightOrder) -> None:
        # The answer doesn't tell whether the count of orders went on; the next report
        # does, and until it comes an order may be refused once.
        if order.load or self.state is None:
            return
        self.sequence += 1
        self.state = replace(
            self.state,
            sequence=self.sequence,
            holdings=_without(self.state.holdings, {order.key}),
        )


def _without(
    holdings: tuple[Holding, ...], keys: set[WeightKey]
) -> tuple[Holding, ...]:
    return tuple(
        Holding(
            holding.model,
            holding.version,
            tuple(
                ref
                for ref in holding.adapters
                if WeightKey(holding.model, ref.name) not in keys
            ),
        )
        for holding in holdings
    )
