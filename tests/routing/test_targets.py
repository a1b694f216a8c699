"""A view of targets after late, repeated and outdated registrations."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.routing.targets import (
    Registration,
    TargetState,
    TargetView,
    make_departure,
)

READY, DRAINING, GONE = TargetState.READY, TargetState.DRAINING, TargetState.GONE


def make_registration(target="t1", born=100, sequence=1, state=READY, **changes):
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
    return sorted(
        found.target for found in view.list_ready_targets(ServiceName("plans"))
    )


def test_late_registration_does_not_restore_an_ended_target():
    """Guards against sending requests to a target that has crashed.

    A delayed registration of the crashed target arrives after the one of its successor
    at the same address.
    """
    view = TargetView()
    view.merge(make_registration("new", born=200), 1.0)
    view.merge(make_registration("old", born=100, sequence=9), 2.0)
    assert list_ready(view) == ["new"]


def test_draining_target_does_not_become_ready_again():
    """Guards against sending new requests to a target that is draining."""
    view = TargetView()
    view.merge(make_registration(sequence=5, state=DRAINING), 1.0)
    assert not view.merge(make_registration(sequence=6), 1.1)
    assert list_ready(view) == []


def test_a_late_statement_that_a_target_leaves_counts():
    """A host that learns from an answer that a target leaves knows an old sequence."""
    view = TargetView()
    view.merge(make_registration(sequence=60), 1.0)
    assert view.merge(make_registration(sequence=5, state=DRAINING), 1.1)
    assert list_ready(view) == []
    assert not view.merge(make_registration(sequence=61), 1.2)
    assert list_ready(view) == []


@pytest.mark.parametrize("announces", [True, False])
def test_a_leaving_target_is_not_forgotten_while_it_goes_on(announces):
    """Its next statement would make it ready again."""
    view = TargetView()
    view.merge(make_registration(sequence=1), 0.0)
    assert view.mark_leaving(TargetId("t1"), 100) is not None
    for second in range(1, 300):
        if announces:
            view.merge(make_registration(sequence=1 + second), float(second))
        view.remove_expired(float(second), 45.0)
    view.merge(make_registration(sequence=1000), 300.0)
    assert list_ready(view) == []


@pytest.mark.parametrize(
    ("born", "state", "marked"),
    [(100, READY, True), (99, READY, False), (100, DRAINING, False)],
)
def test_only_the_incarnation_that_leaves_is_marked(born, state, marked):
    view = TargetView()
    view.merge(make_registration(born=100, state=state), 0.0)
    assert (view.mark_leaving(TargetId("t1"), born) is not None) is marked


@pytest.mark.parametrize(
    ("state", "seconds", "only"),
    [(DRAINING, 59, None), (DRAINING, 61, "v2"), (READY, 61, None)],
)
def test_a_target_that_left_long_ago_has_no_streams_to_resume(state, seconds, only):
    """Its version would keep streams from going on while its record is kept."""
    view = TargetView()
    view.merge(make_registration("old", software="v1", state=state), 0.0)
    view.merge(make_registration("new", software="v2"), float(seconds))
    assert view.find_only_version(ServiceName("plans"), float(seconds)) == only


def test_restart_under_the_same_name_is_a_new_incarnation():
    view = TargetView()
    view.merge(make_registration(born=100, sequence=50, state=DRAINING), 1.0)
    assert view.merge(make_registration(born=200, sequence=1), 2.0)
    assert list_ready(view) == ["t1"]


def test_leave_of_an_earlier_incarnation_is_ignored():
    view = TargetView()
    view.merge(make_registration(born=200), 1.0)
    assert view.mark_gone(TargetId("t1"), 100, 2.0) is None
    assert list_ready(view) == ["t1"]
    assert view.mark_gone(TargetId("t1"), 200, 3.0) is not None
    assert list_ready(view) == []


@given(st.permutations(range(8)))
def test_result_does_not_depend_on_order_of_arrival(order):
    registrations = [
        make_registration(born=born, sequence=sequence, state=state)
        for born in (100, 200)
        for sequence, state in ((1, READY), (2, READY), (3, DRAINING), (4, DRAINING))
    ]
    view = TargetView()
    for number, place in enumerate(order):
        view.merge(registrations[place], float(number))
    assert view.get(TargetId("t1")) == registrations[-1]


@given(st.permutations(range(4)))
def test_a_target_that_is_gone_stays_so(order):
    """Guards against a late registration with a higher number than the last word."""
    registrations = [
        make_registration(sequence=sequence, state=state)
        for sequence, state in ((6, READY), (8, DRAINING), (7, DRAINING), (5, GONE))
    ]
    view = TargetView()
    for number, place in enumerate(order):
        view.merge(registrations[place], float(number))
    found = view.get(TargetId("t1"))
    assert found is not None
    assert found.state is GONE


def test_a_record_of_a_departure_keeps_what_is_known_of_the_target():
    """Guards against an earlier target at the address that seems to be the newest."""
    view = TargetView()
    view.merge(make_registration("old", born=50), 0.0)
    view.merge(make_registration(software="v1"), 0.0)
    assert view.merge(make_departure(TargetId("t1"), 100), 1.0)
    assert list_ready(view) == []
    found = view.get(TargetId("t1"))
    assert found is not None
    assert (found.state, found.software, found.sequence) == (GONE, "v1", 1)


@pytest.mark.parametrize("born", [100, 0])
def test_an_unknown_target_is_marked_as_gone(born):
    """Guards against a deregistration that nobody remembers."""
    view = TargetView()
    assert view.mark_gone(TargetId("t1"), born, 1.0) is not None
    view.merge(make_registration(born=born), 2.0)
    assert list_ready(view) == []


@pytest.mark.parametrize(
    ("state", "silent_for", "kept"),
    [
        (READY, 40.0, True),
        (READY, 50.0, False),
        (GONE, 50.0, True),
        (GONE, 61.0, False),
    ],
)
def test_silent_targets_expire(state, silent_for, kept):
    view = TargetView()
    view.merge(make_registration(state=state), 0.0)
    view.remove_expired(silent_for, 45.0)
    assert (view.get(TargetId("t1")) is not None) is kept


def test_heartbeat_of_another_incarnation_is_ignored():
    view = TargetView()
    registration = make_registration(born=200)
    view.merge(registration, 1.0)
    assert not view.record_heartbeat(TargetId("t1"), 100, 7, 5.0)
    assert view.last_seen(TargetId("t1")) == 1.0
    assert view.record_heartbeat(TargetId("t1"), 200, 7, 6.0)
    assert view.get(TargetId("t1")) == msgspec.structs.replace(registration, sequence=7)
