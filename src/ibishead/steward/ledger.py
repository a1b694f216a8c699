"""Tracks what an engine holds, from its last report and the orders sent since."""

from collections.abc import Mapping
from dataclasses import replace

from ibishead.decisions.loadpace import LoadPace
from ibishead.decisions.residents import EngineWeights
from ibishead.routing.targets import AdapterRef, Holding, WeightKey, list_adapters
from ibishead.steward.engine import EngineState, OrderOutcome, WeightOrder

__all__ = ["OrderLedger"]

#: Seconds for which the engine may still carry out an order that got no answer.
UNKNOWN_ORDER_SECONDS = 13.0

#: Seconds after which an accepted order counts as failed if no report shows it, neither
#: in progress nor done.
UNREPORTED_ORDER_SECONDS = 1.0


class OrderLedger:
    """State of one engine across its restarts.

    :ivar state: the last report, updated with the orders known to be completed since;
        None while the engine can't be reached.
    :ivar sequence: number of orders that the engine has accepted, as far as known.
    :ivar report_needed: an order was refused or not answered since the last report, so
        a new report has to be read before the next order.
    :ivar unanswered_order: the last order, if its outcome is unknown.
    :ivar pace: measures the engine's adapter loads.
    """

    def __init__(self) -> None:
        self.state: EngineState | None = None
        self.sequence = 0
        self.report_needed = False
        self.unanswered_order: WeightOrder | None = None
        self.pace = LoadPace()
        self._reported_sequence = 0
        self._loading: dict[WeightKey, float] = {}
        self._unloading: dict[WeightKey, float] = {}
        self._unknown_loads: dict[WeightKey, float] = {}

    @property
    def model_load_ordered_at(self) -> float | None:
        """Monotonic seconds at which the model load in progress was ordered."""
        return min(
            (since for key, since in self._loading.items() if not key.adapter),
            default=None,
        )

    @property
    def has_pending_orders(self) -> bool:
        """Whether an accepted order is not completed yet."""
        return bool(self._loading or self._unloading)

    def record_report(self, state: EngineState, now: float) -> bool:
        """Record a report.

        Earlier orders are discarded if the engine has restarted or was unreachable.

        :param now: monotonic seconds.
        :returns: whether this is the first report since the engine's start, or since it
            was unreachable.
        """
        known = self.state
        first_report = (
            known is None
            or known.born != state.born
            or state.sequence < self._reported_sequence
        )
        if first_report:
            self._loading.clear()
            self._unloading.clear()
            self._unknown_loads.clear()
            self.unanswered_order = None
        self.state, self.report_needed = state, False
        self.sequence = self._reported_sequence = state.sequence
        self._remove_settled(state, now)
        return first_report

    def record_unreachable(self) -> bool:
        """Record that the engine can't be reached.

        :returns: whether it could be reached before.
        """
        changed = self.state is not None
        self.state = None
        return changed

    def record_outcome(
        self, order: WeightOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Record the outcome of an order.

        :param now: monotonic seconds.
        """
        self.unanswered_order = order if outcome is OrderOutcome.UNKNOWN else None
        match outcome:
            case OrderOutcome.STARTED:
                self.sequence += 1
                # an earlier order without an answer has an outdated sequence now, so
                # the engine refuses it
                self._unknown_loads.clear()
                (self._loading if order.load else self._unloading)[order.key] = now
            case OrderOutcome.COMPLETED:
                self._apply_completed(order)
            case OrderOutcome.UNKNOWN if order.load:
                self._unknown_loads[order.key] = now
        self.report_needed = outcome not in (
            OrderOutcome.STARTED,
            OrderOutcome.COMPLETED,
        )

    def holds(self, key: WeightKey, version: int) -> bool:
        """Return whether weights are loaded and usable.

        :param version: oldest version of an adapter that counts.
        """
        if self.state is None or key in self._unloading or key in self._loading:
            return False
        if any(known == key for known, _ in self.state.loading):
            return False
        unanswered = self.unanswered_order
        if unanswered is not None and unanswered.key == key and not unanswered.load:
            return False
        if not key.adapter:
            return self._holds_model(key)
        return list_adapters(self.state.holdings).get(key, -1) >= version

    def make_engine_weights(
        self, used: Mapping[WeightKey, float], running: frozenset[WeightKey]
    ) -> EngineWeights:
        """Return the engine's weights as input for the choice of the next order.

        :param used: when adapters were last used, monotonic seconds.
        :param running: adapters in use by running requests.
        """
        assert self.state is not None
        loading = {key for key, _ in self.state.loading}
        return EngineWeights(
            self.state.holdings,
            frozenset(loading.union(self._loading, self._unknown_loads)),
            frozenset(self._unloading),
            used,
            running,
        )

    def list_loading(self) -> dict[WeightKey, AdapterRef]:
        """Return the adapters being loaded, by reports and accepted orders."""
        loading = dict(self.state.loading) if self.state is not None else {}
        for key in self._loading:
            if key.adapter:
                loading.setdefault(key, AdapterRef(key.adapter, 0))
        return loading

    def list_holdings(self) -> tuple[Holding, ...]:
        """Return what is loaded, without weights being replaced or unloaded."""
        if self.state is None:
            return ()
        hidden = set(self._unloading).union(self.list_loading())
        return _without(self.state.holdings, hidden)

    def count_unloading(self) -> int:
        """Return how many adapters will be unloaded once their requests have ended."""
        return len(self._unloading)

    def _holds_model(self, key: WeightKey) -> bool:
        assert self.state is not None
        return any(holding.model == key.model for holding in self.state.holdings)

    def _remove_settled(self, state: EngineState, now: float) -> None:
        held = list_adapters(state.holdings)
        loading = {key for key, _ in state.loading}
        for key, since in list(self._loading.items()):
            shown = key in held or (not key.adapter and self._holds_model(key))
            in_progress = key in loading or (not key.adapter and state.busy)
            if (shown or now - since > UNREPORTED_ORDER_SECONDS) and not in_progress:
                del self._loading[key]
                if shown and key.adapter:
                    self.pace.record(now - since, now)
        self._unloading = {k: at for k, at in self._unloading.items() if k in held}
        self._unknown_loads = {
            key: since
            for key, since in self._unknown_loads.items()
            if now - since <= UNKNOWN_ORDER_SECONDS and key not in held
        }

    def _apply_completed(self, order: WeightOrder) -> None:
        # The answer doesn't say whether the engine counted the order. The next report
        # does; until then one order may be refused for a wrong sequence.
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
