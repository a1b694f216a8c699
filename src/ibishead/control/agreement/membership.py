"""Replicated state of the registered targets and their incarnations.

An incarnation is the log index of its registration, so incarnations increase. A target
is attached to the replica that its agent is linked to, and this replica monitors it.
"""

import msgspec

from ibishead.control.commands import (
    AttachTarget,
    Done,
    Registered,
    RegisterTarget,
    Rejected,
    RetireTarget,
)
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, LogIndex, ReplicaId, TargetId
from ibishead.messages import AskRegistration, TargetRecord

__all__ = ["Member", "SavedTargets", "TargetTable"]

#: Number of superseded nonces stored per target. A registration is delayed by seconds
#: at most, and no agent restarts this often within that time.
MAX_SUPERSEDED_NONCES = 16


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A live target with the replica that monitors it.

    :param nonce: identifies the agent process that registered the target.
    :param attachment: log index at which the agent last attached.
    """

    record: TargetRecord
    nonce: str
    replica: ReplicaId
    attachment: LogIndex


class SavedTargets(msgspec.Struct, frozen=True, array_like=True):
    """The target table, as stored in a snapshot.

    :param last_nonces: nonce of the latest registration of each target.
    :param superseded: nonces of agents that were replaced by a newer one, oldest first.
    """

    members: tuple[Member, ...] = ()
    last_nonces: tuple[tuple[TargetId, str], ...] = ()
    superseded: tuple[tuple[TargetId, tuple[str, ...]], ...] = ()


class TargetTable:
    """The live targets, by name."""

    def __init__(self, saved: SavedTargets | None = None) -> None:
        saved = saved or SavedTargets()
        self.members = {member.record.target: member for member in saved.members}
        self._last_nonces = dict(saved.last_nonces)
        self._superseded = dict(saved.superseded)

    def save(self) -> SavedTargets:
        """Return the table for a snapshot."""
        return SavedTargets(
            tuple(self.members.values()),
            tuple(self._last_nonces.items()),
            tuple(self._superseded.items()),
        )

    def is_live(self, target: TargetId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of the target is current."""
        member = self.members.get(target)
        return member is not None and member.record.incarnation == incarnation

    @property
    def is_unused(self) -> bool:
        """Whether no target has ever registered."""
        return not self._last_nonces

    def register(
        self, index: LogIndex, command: RegisterTarget
    ) -> Registered | Rejected:
        """Register a target; a repeated nonce keeps its incarnation.

        A nonce gets a new incarnation if its former one was retired.
        """
        ask = command.request
        # Failure: the delayed registration of an old agent arrives after that of its
        # successor. Accepting it would end the successor's incarnation in favour of a
        # process that has exited.
        if ask.nonce in self._superseded.get(ask.target, ()):
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"a newer agent has registered target {ask.target}",
                "stop this agent, or restart it to take over the target",
            )
        member = self.members.get(ask.target)
        if member is not None and member.nonce == ask.nonce:
            record = member.record
        else:
            self._supersede(ask)
            record = _make_record(ask, Incarnation(index))
        self.members[ask.target] = Member(record, ask.nonce, command.replica, index)
        return Registered(record.incarnation, index)

    def attach(self, index: LogIndex, command: AttachTarget) -> Registered | Rejected:
        """Attach a live incarnation to another replica."""
        member = self.members.get(command.target)
        if member is None or member.record.incarnation != command.incarnation:
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"incarnation {command.incarnation} of {command.target} has ended",
                "register the target again",
            )
        self.members[command.target] = msgspec.structs.replace(
            member, replica=command.replica, attachment=index
        )
        return Registered(command.incarnation, index)

    def retire(self, index: LogIndex, command: RetireTarget) -> Done | Rejected:
        """End an incarnation whose agent is no longer linked to any replica."""
        member = self.members.get(command.target)
        # Failure: an agent that lost its link attaches to another replica while its
        # former replica is about to retire it. The newer attachment reveals that.
        if member is None or member.attachment != command.attachment:
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"target {command.target} has attached again or has ended",
                "no action is needed",
            )
        del self.members[command.target]
        return Done(index)

    def drain(self, index: LogIndex, target: TargetId) -> Done | Rejected:
        """Mark a live target as draining."""
        member = self.members.get(target)
        if member is None:
            return Rejected(
                ErrorCode.UNKNOWN_TARGET,
                f"no target {target} is registered",
                "list the registered targets",
            )
        record = msgspec.structs.replace(member.record, draining=True)
        self.members[target] = msgspec.structs.replace(member, record=record)
        return Done(index)

    def _supersede(self, ask: AskRegistration) -> None:
        last = self._last_nonces.get(ask.target)
        if last is not None and last != ask.nonce:
            older = self._superseded.get(ask.target, ())
            self._superseded[ask.target] = (*older, last)[-MAX_SUPERSEDED_NONCES:]
        self._last_nonces[ask.target] = ask.nonce


def _make_record(ask: AskRegistration, incarnation: Incarnation) -> TargetRecord:
    return TargetRecord(
        ask.target,
        incarnation,
        ask.service,
        ask.kind,
        ask.host,
        ask.failure_domain,
        ask.address,
        ask.port,
        ask.fenced,
    )
