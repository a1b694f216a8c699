"""Unmonitored targets are retired, unless they attach again in time."""

import pytest

from ibishead.control.commands import AttachTarget
from ibishead.control.liveness import REATTACH_GRACE_SECONDS, OrphanTracker
from ibishead.ids import Incarnation, ReplicaId, TargetId

from .support import Log, make_registration

T1 = TargetId("t1")


@pytest.mark.parametrize(
    ("watched", "attaches", "due"),
    [
        ([False, False], False, True),
        ([True, True], False, False),
        ([False, True], False, False),
        ([False, False], True, False),
    ],
)
def test_sweep_retires_unmonitored_targets(watched, attaches, due):
    log = Log()
    log.apply(make_registration("n1"))
    watch = OrphanTracker()
    members = log.state.targets.members
    assert watch.sweep(members.values(), lambda _: watched[0], 10.0) == []
    if attaches:
        log.apply(AttachTarget(T1, Incarnation(1), ReplicaId("c2")))
    later = 10.0 + REATTACH_GRACE_SECONDS
    commands = watch.sweep(members.values(), lambda _: watched[1], later)
    assert [command.target for command in commands] == [T1] * due


def test_delayed_command_doesnt_retire_an_attached_target():
    """Guards against the retirement of a live target.

    The agent attaches to another replica after the retirement was decided.
    """
    log = Log()
    log.apply(make_registration("n1"))
    watch = OrphanTracker()
    members = log.state.targets.members
    watch.sweep(members.values(), lambda _: False, 0.0)
    (command,) = watch.sweep(members.values(), lambda _: False, REATTACH_GRACE_SECONDS)
    log.apply(AttachTarget(T1, Incarnation(1), ReplicaId("c2")))
    log.apply(command)
    assert log.state.targets.is_live(T1, Incarnation(1))
