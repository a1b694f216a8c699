"""What a view of targets believes after late, doubled and forged statements."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.routing.targets import Registration, TargetState, TargetView

READY, DRAINING, GONE = TargetState.READY, TargetState.DRAINING, TargetState.GONE


def make_statement(target="t1", born=100, sequence=1, state=READY, **changes):
    fields = {
        "target": TargetId(target),
        "service": ServiceName("plans"),
        "address": "10.0.0.1:80",
        "domain": FailureDomain("a"),
        "slots": 4,
        "state": state,
        "born": born,
        "sequence": sequence,
    }
    return Registration(**{**fields, **changes})


def list_ready(view: TargetView) -> list[str]:
    return sorted(found.target for found in view.list_service(ServiceName("plans")))


def test_a_late_statement_does_not_bring_a_dead_target_back():
    """Callers get connection errors from an address long after its target crashed."""
    view = TargetView()
    view.merge(make_statement("new", born=200), 1.0)
    view.merge(make_statement("old", born=100, sequence=9), 2.0)
    assert list_ready(view) == ["new"]


def test_a_farewell_is_not_undone_by_a_statement_of_the_same_life():
    """A target says that it drains, and still gets new requests."""
    view = TargetView()
    view.merge(make_statement(sequence=5, state=DRAINING), 1.0)
    assert not view.merge(make_statement(sequence=6), 1.1)
    assert list_ready(view) == []


def test_a_restart_under_the_same_name_counts_anew():
    view = TargetView()
    view.merge(make_statement(born=100, sequence=50, state=DRAINING), 1.0)
    assert view.merge(make_statement(born=200, sequence=1), 2.0)
    assert list_ready(view) == ["t1"]


def test_a_farewell_of_an_earlier_life_changes_nothing():
    view = TargetView()
    view.merge(make_statement(born=200), 1.0)
    assert view.leave(TargetId("t1"), 100, 2.0) is None
    assert list_ready(view) == ["t1"]
    assert view.leave(TargetId("t1"), 200, 3.0) is not None
    assert list_ready(view) == []


@given(st.permutations(range(8)))
def test_the_order_of_arrival_does_not_matter(order):
    statements = [
        make_statement(born=born, sequence=sequence, state=state)
        for born in (100, 200)
        for sequence, state in ((1, READY), (2, READY), (3, DRAINING), (4, DRAINING))
    ]
    view = TargetView()
    for number, place in enumerate(order):
        view.merge(statements[place], float(number))
    assert view.get(TargetId("t1")) == statements[-1]


@pytest.mark.parametrize(
    ("state", "silent_for", "kept"),
    [
        (READY, 40.0, True),
        (READY, 50.0, False),
        (GONE, 50.0, True),
        (GONE, 61.0, False),
    ],
)
def test_what_is_silent_for_long_is_forgotten(state, silent_for, kept):
    view = TargetView()
    view.merge(make_statement(state=state), 0.0)
    view.forget(silent_for, 45.0)
    assert (view.get(TargetId("t1")) is not None) is kept


def test_a_sign_of_life_of_another_life_is_ignored():
    view = TargetView()
    statement = make_statement(born=200)
    view.merge(statement, 1.0)
    assert not view.hear(TargetId("t1"), 100, 7, 5.0)
    assert view.heard(TargetId("t1")) == 1.0
    assert view.hear(TargetId("t1"), 200, 7, 6.0)
    assert view.get(TargetId("t1")) == msgspec.structs.replace(statement, sequence=7)
