"""What an engine holds, by its reports and the outcomes of orders."""

import pytest

from ibishead.ids import HostId, ModelName, TargetId
from ibishead.routing.targets import AdapterRef, Holding, WeightKey
from ibishead.steward.engine import EngineState, OrderOutcome, WeightOrder
from ibishead.steward.ledger import UNREPORTED_ORDER_SECONDS, OrderLedger

MODEL = ModelName("m")


def make_report(
    *adapters: str, sequence: int = 0, born: int = 1, loading=()
) -> EngineState:
    refs = tuple(AdapterRef(name, 1) for name in adapters)
    pending = tuple((key(name), AdapterRef(name, 1)) for name in loading)
    return EngineState(born, sequence, False, (Holding(MODEL, 1, refs),), pending)


def key(name: str) -> WeightKey:
    return WeightKey(MODEL, name)


def make_order(name: str, load: bool = True) -> WeightOrder:
    return WeightOrder(load, key(name), 0, 0, HostId("s"), 1, TargetId("t"))


def make_ledger(*adapters: str) -> OrderLedger:
    ledger = OrderLedger()
    ledger.record_report(make_report(*adapters), 0.0)
    return ledger


@pytest.mark.parametrize(
    ("load", "outcome", "held", "sequence", "report_needed"),
    [
        (True, OrderOutcome.STARTED, True, 1, False),
        (True, OrderOutcome.UNKNOWN, True, 0, True),
        (True, OrderOutcome.BUSY, True, 0, True),
        (False, OrderOutcome.STARTED, False, 1, False),
        (False, OrderOutcome.COMPLETED, False, 1, False),
        (False, OrderOutcome.UNKNOWN, False, 0, True),
    ],
)
def test_order_outcome_updates_ledger_before_next_report(
    load, outcome, held, sequence, report_needed
):
    ledger = make_ledger("a")
    ledger.record_outcome(make_order("b" if load else "a", load), outcome, 1.0)
    assert ledger.holds(key("a"), 1) is held
    assert (ledger.sequence, ledger.report_needed) == (sequence, report_needed)
    if load:
        assert not ledger.holds(key("b"), 1)


def test_accepted_order_is_pending_until_done_or_never_reported():
    ledger = make_ledger("a")
    ledger.record_outcome(make_order("b"), OrderOutcome.STARTED, 1.0)
    ledger.record_report(make_report("a", sequence=1), 1.1)
    assert ledger.has_pending_orders
    ledger.record_report(
        make_report("a", sequence=1, loading=("b",)), 1.0 + 2 * UNREPORTED_ORDER_SECONDS
    )
    assert ledger.has_pending_orders
    ledger.record_report(
        make_report("a", "b", sequence=1), 1.0 + 3 * UNREPORTED_ORDER_SECONDS
    )
    assert not ledger.has_pending_orders
    assert ledger.holds(key("b"), 1)


@pytest.mark.parametrize(
    ("state", "restarted"),
    [
        (make_report("a", sequence=5), False),
        (make_report("a", sequence=4), True),
        (make_report("a", sequence=5, born=2), True),
    ],
)
def test_engine_restart_discards_earlier_orders(state, restarted):
    ledger = make_ledger("a")
    ledger.record_report(make_report("a", sequence=5), 0.0)
    ledger.record_outcome(make_order("b"), OrderOutcome.UNKNOWN, 1.0)
    assert ledger.record_report(state, 1.1) is restarted
    assert (ledger.unanswered_order is None) is restarted


def test_unreachable_engine_holds_nothing():
    ledger = make_ledger("a")
    assert ledger.record_unreachable()
    assert not ledger.record_unreachable()
    assert not ledger.holds(key("a"), 1)
    assert ledger.list_holdings() == ()
