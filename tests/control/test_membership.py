"""Registration, attachment, retirement and draining of targets."""

from ibishead.control.commands import (
    AttachTarget,
    DrainTarget,
    Registered,
    Rejected,
    RetireTarget,
)
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, LogIndex, ReplicaId, TargetId

from .support import Log, make_registration

T1 = TargetId("t1")


def register(log: Log, nonce: str) -> Registered:
    result = log.apply(make_registration(nonce))
    assert isinstance(result, Registered)
    return result


def test_resent_registration_keeps_its_incarnation():
    log = Log()
    first = register(log, "n1")
    log.restart()
    assert register(log, "n1").incarnation == first.incarnation
    assert register(log, "n2").incarnation > first.incarnation


def test_delayed_registration_of_a_replaced_agent_is_refused():
    """Guards against a late registration that ends the newer agent's incarnation.

    It arrives after a restart of the replica from a snapshot.
    """
    log = Log()
    register(log, "n1")
    newer = register(log, "n2")
    log.restart()
    late = log.apply(make_registration("n1"))
    assert isinstance(late, Rejected)
    assert late.code is ErrorCode.STALE_INCARNATION
    assert log.state.targets.is_live(T1, newer.incarnation)


def test_agent_that_attached_to_another_replica_isnt_retired():
    """Guards against the retirement of a live target after a lost link.

    The agent attaches to another replica while its former one retires the target.
    """
    log = Log()
    first = register(log, "n1")
    log.apply(AttachTarget(T1, first.incarnation, ReplicaId("c2")))
    log.apply(RetireTarget(T1, first.incarnation, first.attachment))
    assert log.state.targets.is_live(T1, first.incarnation)


def test_retired_target_can_register_again():
    log = Log()
    first = register(log, "n1")
    log.apply(RetireTarget(T1, first.incarnation, first.attachment))
    assert not log.state.targets.is_live(T1, first.incarnation)
    assert log.state.collect(1).gone == ((T1, first.incarnation),)
    assert register(log, "n1").incarnation > first.incarnation


def test_commands_for_an_ended_incarnation_are_rejected():
    log = Log()
    register(log, "n1")
    newer = register(log, "n2")
    stale = log.apply(AttachTarget(T1, Incarnation(1), ReplicaId("c2")))
    assert isinstance(stale, Rejected)
    assert isinstance(
        log.apply(RetireTarget(T1, Incarnation(1), LogIndex(1))), Rejected
    )
    assert log.state.targets.is_live(T1, newer.incarnation)


def test_drain_lasts_until_the_next_incarnation():
    log = Log()
    register(log, "n1")
    log.apply(DrainTarget(T1))
    log.apply(AttachTarget(T1, Incarnation(1), ReplicaId("c2")))
    assert log.state.targets.members[T1].record.draining
    register(log, "n2")
    assert not log.state.targets.members[T1].record.draining
