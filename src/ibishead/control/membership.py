"""Registered targets and their incarnations, as replicated state.

An incarnation is the log index of its registration, so it only rises. A target is
attached to the replica that its agent is linked to; that replica watches it.
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

#: Nonces remembered for each target. A registration is delayed by seconds at most,
#: in which no agent starts this often.
NONCES_KEPT = 16


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A live target with the replica that watches it.

    :param attachment: log index at which the agent last attached.
    """

    record: TargetRecord
    nonce: str
    replica: ReplicaId
    attachment: LogIndex


class SavedTargets(msgspec.Struct, frozen=True, array_like=True):
    """The table as a snapshot holds it.

    :param superseded: nonces of agents that a newer one has replaced, oldest first.
    """

    members: tuple[Member, ...] = ()
    last_nonces: tuple[tuple[TargetId, str], ...] = ()
    superseded: tuple[tuple[TargetId, tuple[str, ...]], ...] = ()


class TargetTable:
    """Live targets by name."""

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
        """Return whether this incarnation of the target has not ended."""
        member = self.members.get(target)
        return member is not None and member.record.incarnation == incarnation

    @property
    def untouched(self) -> bool:
        """Whether no target has ever registered."""
        return not self._last_nonces

    def register(
        self, index: LogIndex, command: RegisterTarget
    ) -> Registered | Rejected:
        """Give a new nonce a new incarnation, a known one the number it has.

        A nonce whose incarnation ended by silence gets a new one.
        """
        ask = command.request
        # Failure: an old agent's ask, delayed on its way, comes after its successor
        # has registered. Taken, it would end the successor in favour of a process
        # that is gone.
        if ask.nonce in self._superseded.get(ask.target, ()):
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"a newer agent has registered target {ask.target}",
                "stop this agent, or restart it to take the target over",
            )
        member = self.members.get(ask.target)
        if member is not None and member.nonce == ask.nonce:
            record = member.record
        else:
            self._supersede(ask)
            record = _describe(ask, Incarnation(index))
        self.members[ask.target] = Member(record, ask.nonce, command.replica, index)
        return Registered(record.incarnation, index)

    def attach(self, index: LogIndex, command: AttachTarget) -> Registered | Rejected:
        """Move a live incarnation under the watch of another replica."""
        member = self.members.get(command.target)
        if member is None or member.record.incarnation != command.incarnation:
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"incarnation {command.incarnation} of {command.target} has ended",
                "register anew",
            )
        self.members[command.target] = msgspec.structs.replace(
            member, replica=command.replica, attachment=index
        )
        return Registered(command.incarnation, index)

    def retire(self, index: LogIndex, command: RetireTarget) -> Done | Rejected:
        """End an incarnation that its replica has lost sight of."""
        member = self.members.get(command.target)
        # Failure: an agent whose link broke attaches elsewhere while its old replica
        # is about to retire it. The attachment number tells that it came back.
        if member is None or member.attachment != command.attachment:
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"target {command.target} has attached anew or ended before",
                "nothing is to be done",
            )
        del self.members[command.target]
        return Done(index)

    def drain(self, index: LogIndex, target: TargetId) -> Done | Rejected:
        """Mark a live target as leaving."""
        member = self.members.get(target)
        if member is None:
            return Rejected(
                ErrorCode.UNKNOWN_TARGET,
                f"no target {target} is registered",
                "see the targets that are",
            )
        record = msgspec.structs.replace(member.record, draining=True)
        self.members[target] = msgspec.structs.replace(member, record=record)
        return Done(index)

    def _supersede(self, ask: AskRegistration) -> None:
        last = self._last_nonces.get(ask.target)
        if last is not None and last != ask.nonce:
            older = self._superseded.get(ask.target, ())
            self._superseded[ask.target] = (*older, last)[-NONCES_KEPT:]
        self._last_nonces[ask.target] = ask.nonce


def _describe(ask: AskRegistration, incarnation: Incarnation) -> TargetRecord:
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
