"""Admission control refuses dispatches regardless of what entry hosts assume."""

import msgspec
import pytest

from ibishead.agent.gate import (
    Admitted,
    AttemptKey,
    Duplicate,
    Gate,
    GateState,
    Rejected,
)
from ibishead.documents import UnconfirmedPolicy
from ibishead.errors import ErrorCode
from ibishead.ids import (
    AdapterName,
    ClassName,
    Incarnation,
    RequestId,
    Revision,
    ServiceName,
    TeamId,
    Version,
)
from ibishead.messages import Dispatch, DocumentRecord

DISPATCH = Dispatch(
    request=RequestId("r1"),
    attempt=1,
    team=TeamId("lofts"),
    service=ServiceName("mester"),
    adapter=AdapterName("tisza"),
    version=Version("1"),
    request_class=ClassName("plan"),
    priority=5,
    deadline=10.0,
    idempotent=True,
    revision=Revision(3),
    incarnation=Incarnation(7),
    method="POST",
    path="/v1/completions",
    headers=(),
    body=b"{}",
)
KEY = AttemptKey(RequestId("r1"), 1)


def make_state(**changes) -> GateState:
    document = DocumentRecord(ServiceName("mester"), TeamId("halo"), Revision(3), "")
    fields = {
        "incarnation": Incarnation(7),
        "draining": False,
        "document": document,
        "current": True,
    }
    return GateState(**(fields | changes))


NEWER = DocumentRecord(ServiceName("mester"), TeamId("halo"), Revision(4), "")


@pytest.mark.parametrize(
    ("changes", "state", "code"),
    [
        ({}, {}, None),
        ({"incarnation": 6}, {}, ErrorCode.STALE_INCARNATION),
        ({"incarnation": 8}, {}, ErrorCode.STALE_INCARNATION),
        ({}, {"draining": True}, ErrorCode.DRAINING),
        ({"revision": 2}, {}, ErrorCode.STALE_REVISION),
        ({"revision": 4}, {}, None),
        ({}, {"document": None}, None),
        ({}, {"current": False}, None),
        ({"confirmed": False}, {}, None),
        ({"confirmed": False}, {"current": False}, ErrorCode.NO_QUORUM),
        (
            {"confirmed": False},
            {"current": False, "unconfirmed": UnconfirmedPolicy.SERVE},
            None,
        ),
    ],
)
def test_gate_decides(changes, state, code):
    dispatch = msgspec.structs.replace(DISPATCH, **changes)
    verdict = Gate().check(dispatch, make_state(**state))
    if code is None:
        assert verdict == Admitted()
    else:
        assert isinstance(verdict, Rejected)
        assert verdict.code is code


def test_stale_entry_gets_the_newer_document():
    """Guards against an entry host that missed a change and uses its old document."""
    verdict = Gate().check(DISPATCH, make_state(document=NEWER))
    assert isinstance(verdict, Rejected)
    assert verdict.document == NEWER


def test_attempt_runs_once_however_often_it_is_dispatched():
    """Guards against a second run when a link resends a dispatch that had arrived."""
    gate = Gate()
    assert gate.check(DISPATCH, make_state()) == Admitted()
    assert gate.check(DISPATCH, make_state()) == Duplicate()


def test_attempt_with_a_tombstone_never_runs():
    """Guards against a late run of a dispatch buffered in a frozen entry host."""
    gate = Gate()
    assert gate.add_tombstone(KEY)
    verdict = gate.check(DISPATCH, make_state())
    assert isinstance(verdict, Rejected)
    assert verdict.code is ErrorCode.NEVER_RECEIVED


def test_admitted_attempt_gets_a_tombstone_only_after_revocation():
    gate = Gate()
    gate.check(DISPATCH, make_state())
    assert not gate.add_tombstone(KEY)
    gate.revoke_admission(KEY)
    assert gate.add_tombstone(KEY)


def test_number_of_recorded_attempts_is_bounded():
    gate = Gate(capacity=2)
    for number in range(5):
        gate.check(msgspec.structs.replace(DISPATCH, attempt=number), make_state())
    assert (
        gate.check(msgspec.structs.replace(DISPATCH, attempt=4), make_state())
        == Duplicate()
    )
