"""What an engine holds, as its reports and the ends of orders tell."""

import pytest

from ibishead.ids import HostId, ModelName, TargetId
from ibishead.routing.targets import AdapterRef, Holding, WeightKey
from ibishead.steward.engine import EngineState, OrderEnd, WeightOrder
from ibishead.steward.ledger import SHOW_TIME, OrderLedger

MODEL = ModelName("m")


def report(*adapters: str, sequence: int = 0, born: int = 1, coming=()) -> EngineState:
    refs = tuple(AdapterRef(name, 1) for name in adapters)
    pending = tuple((key(name), AdapterRef(name, 1)) for name in coming)
    return EngineState(born, sequence, False, (Holding(MODEL, 1, refs),), pending)


def key(name: str) -> WeightKey:
    return WeightKey(MODEL, name)


def order(name: str, load: bool = True) -> WeightOrder:
    return WeightOrder(load, key(name), 0, 0, HostId("s"), 1, TargetId("t"))


def make(*adapters: str) -> OrderLedger:
    ledger = OrderLedger()
    ledger.take(report(*adapters), 0.0)
    return ledger


@pytest.mark.parametrize(
    ("load", "end", "held", "sequence", "doubtful"),
    [
        (True, OrderEnd.STARTED, True, 1, False),
        (True, OrderEnd.UNKNOWN, True, 0, True),
        (True, OrderEnd.BUSY, True, 0, True),
        (False, OrderEnd.STARTED, False, 1, False),
        (False, OrderEnd.HOLDS, False, 1, False),
        (False, OrderEnd.UNKNOWN, False, 0, True),
    ],
)
def test_what_an_order_changes_before_the_next_report(
    load, end, held, sequence, doubtful
):
    ledger = make("a")
    ledger.note_end(order("b" if load else "a", load), end, 1.0)
    assert ledger.holds(key("a"), 1) is held
    assert (ledger.sequence, ledger.doubtful) == (sequence, doubtful)
    if load:
        assert not ledger.holds(key("b"), 1)


def test_an_order_on_its_way_counts_until_it_shows_or_came_to_nothing():
    ledger = make("a")
    ledger.note_end(order("b"), OrderEnd.STARTED, 1.0)
    ledger.take(report("a", sequence=1), 1.1)
    assert ledger.under_way
    ledger.take(report("a", sequence=1, coming=("b",)), 1.0 + 2 * SHOW_TIME)
    assert ledger.under_way
    ledger.take(report("a", "b", sequence=1), 1.0 + 3 * SHOW_TIME)
    assert not ledger.under_way
    assert ledger.holds(key("b"), 1)


@pytest.mark.parametrize(
    ("state", "fresh"),
    [
        (report("a", sequence=5), False),
        (report("a", sequence=4), True),
        (report("a", sequence=5, born=2), True),
    ],
)
def test_a_new_life_knows_nothing_of_earlier_orders(state, fresh):
    ledger = make("a")
    ledger.take(report("a", sequence=5), 0.0)
    ledger.note_end(order("b"), OrderEnd.UNKNOWN, 1.0)
    assert ledger.take(state, 1.1) is fresh
    assert (ledger.unanswered is None) is fresh


def test_an_engine_that_is_lost_holds_nothing():
    ledger = make("a")
    assert ledger.lose()
    assert not ledger.lose()
    assert not ledger.holds(key("a"), 1)
    assert ledger.list_holdings() == ()
