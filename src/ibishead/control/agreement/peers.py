"""Consensus messages between the replicas of the control log.

They are encoded like those of `ibishead.messages`. Tick numbers are specific to the
replica that counted them, and only that replica compares them.
"""

from enum import Enum
from typing import TypeAlias

import msgspec

from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = [
    "Append",
    "AppendAnswer",
    "Configuration",
    "Entry",
    "EntryKind",
    "Install",
    "PeerMessage",
    "RequestVote",
    "Snapshot",
    "TakeOver",
    "VoteAnswer",
]


class EntryKind(Enum):
    """Kind of a log entry."""

    #: A command for the state machine.
    COMMAND = "command"
    #: A new replica set.
    CONFIGURATION = "configuration"
    #: No data; a new leader appends it to commit its predecessors' entries.
    EMPTY = "empty"


class _Struct(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the parts of messages."""


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages: immutable, compared by value."""


class Configuration(_Struct, frozen=True):
    """The replica set, as stored in the log.

    While voters are exchanged, the set is joint: a quorum is a majority of ``voters``
    and one of ``outgoing`` (section 6 of the Raft paper, joint consensus).

    :param voters: replicas that count for the quorum, sorted.
    :param learners: replicas that receive the log without a vote, sorted.
    :param outgoing: the voters before an exchange that isn't complete, sorted; empty at
        all other times.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    outgoing: tuple[ReplicaId, ...] = ()

    @property
    def majorities(self) -> tuple[tuple[ReplicaId, ...], ...]:
        """The groups of voters that must each agree by majority."""
        return (self.voters, self.outgoing) if self.outgoing else (self.voters,)

    @property
    def all_voters(self) -> tuple[ReplicaId, ...]:
        """The replicas that have a vote, sorted, with those of an exchange."""
        if not self.outgoing:
            return self.voters
        return tuple(sorted({*self.voters, *self.outgoing}))


class Entry(_Struct, frozen=True):
    """An entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes = b""


class Snapshot(_Struct, frozen=True):
    """The state machine's state as of ``index``, replacing all entries up to it.

    :param term: term of the entry at ``index``.
    :param configuration: the replica set as of ``index``.
    """

    index: LogIndex
    term: Term
    configuration: Configuration
    data: bytes = b""


class RequestVote(_Message, frozen=True):
    """A candidate's request for a vote.

    :param last_index: index of the candidate's last log entry.
    :param last_term: term of that entry.
    :param pre: a pre-vote, which asks only whether a vote would be granted; ``term`` is
        the term that the candidate would start.
    :param transfer: the leader asked the candidate to take over.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    pre: bool = False
    transfer: bool = False


class VoteAnswer(_Message, frozen=True):
    """Answer to `RequestVote`; ``term`` is that of the request if granted."""

    term: Term
    granted: bool
    pre: bool = False


class Append(_Message, frozen=True):
    """Log entries from the leader; a heartbeat if there are none.

    :param prev_index: index of the entry before ``entries``.
    :param prev_term: term of that entry.
    :param commit: the leader's commit index.
    :param round: number of the latest heartbeat round, for linearizable reads.
    :param sent_tick: the leader's tick, echoed by the follower.
    :param echo_tick: latest tick of the follower that the leader received; -1 for none.
    :param quorum_age: ticks since a quorum last followed the leader for certain.
    """

    term: Term
    prev_index: LogIndex
    prev_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    round: int
    sent_tick: int
    echo_tick: int = -1
    quorum_age: int = 0


class AppendAnswer(_Message, frozen=True):
    """Answer to `Append` and `Install`, sent once the accepted entries are synced.

    :param index: if accepted, the last index known to match the leader's log; otherwise
        the ``prev_index`` that didn't match.
    :param round: the heartbeat round of the request.
    :param echo_tick: ``sent_tick`` of the request.
    :param sent_tick: the follower's tick, echoed by the leader.
    :param hint_index: if refused, an index to try next.
    :param hint_term: if refused, the term found at ``prev_index``; 0 for none.
    """

    term: Term
    accepted: bool
    index: LogIndex
    round: int
    echo_tick: int
    sent_tick: int
    hint_index: LogIndex = LogIndex(0)
    hint_term: Term = Term(0)


class Install(_Message, frozen=True):
    """A snapshot for a replica that needs entries which the leader has discarded."""

    term: Term
    snapshot: Snapshot
    round: int
    sent_tick: int


class TakeOver(_Message, frozen=True):
    """The leader's request to a replica with a complete log to start an election."""

    term: Term


PeerMessage: TypeAlias = (
    RequestVote | VoteAnswer | Append | AppendAnswer | Install | TakeOver
)
