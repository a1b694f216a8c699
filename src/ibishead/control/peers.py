"""Messages between the replicas of the control log.

They travel like those of `ibishead.messages`. Ticks are counts of the sender's own
clock and are only ever compared by the replica that counted them.
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
    """What an entry of the log holds."""

    #: Bytes for the state machine.
    COMMAND = "command"
    #: A new replica set.
    CONFIGURATION = "configuration"
    #: Nothing; a new leader commits its predecessors' entries behind it.
    EMPTY = "empty"


class _Struct(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages."""


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: immutable, compared by value."""


class Configuration(_Struct, frozen=True):
    """The replica set as the log holds it.

    :param voters: replicas that count for the quorum, sorted.
    :param learners: replicas that get the log and don't count, sorted.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()


class Entry(_Struct, frozen=True):
    """One entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes = b""


class Snapshot(_Struct, frozen=True):
    """The state as of ``index``, which stands for all entries up to there."""

    index: LogIndex
    term: Term
    configuration: Configuration
    data: bytes = b""


class RequestVote(_Message, frozen=True):
    """A candidate asks for a vote.

    :param pre: only asks whether a vote would be granted; ``term`` is the term that
        the candidate would start.
    :param transfer: the leader itself asked the candidate to take over.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    pre: bool = False
    transfer: bool = False


class VoteAnswer(_Message, frozen=True):
    """Answer to `RequestVote`; ``term`` repeats the request's where granted."""

    term: Term
    granted: bool
    pre: bool = False


class Append(_Message, frozen=True):
    """Entries from the leader; without entries it is a heartbeat.

    :param round: number of the latest heartbeat round, for linearizable reads.
    :param sent_tick: the leader's tick, to be echoed.
    :param echo_tick: latest tick of the follower that the leader has seen.
    :param quorum_age: ticks since which the leader knows that it had its quorum.
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
    """Answer to `Append` and `Install`, sent after what it tells is synced.

    :param index: where accepted, the last index known to match the leader's log;
        else the ``prev_index`` that was not found.
    :param hint_index: where refused, an index to try next.
    :param hint_term: where refused, the term found at ``prev_index``; 0 for none.
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
    """A snapshot for a replica that needs entries which the leader has dropped."""

    term: Term
    snapshot: Snapshot
    round: int
    sent_tick: int


class TakeOver(_Message, frozen=True):
    """The leader asks a replica that holds the whole log to start an election."""

    term: Term


PeerMessage: TypeAlias = (
    RequestVote | VoteAnswer | Append | AppendAnswer | Install | TakeOver
)
