"""State of one replica's consensus, and the outputs for its caller to perform."""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ibishead.control.agreement.peers import Configuration, Entry, PeerMessage, Snapshot
from ibishead.control.agreement.raftlog import RaftLog
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = [
    "Apply",
    "LeaseMark",
    "Output",
    "PendingRead",
    "Progress",
    "RaftState",
    "ReadReady",
    "ReadRefused",
    "Restore",
    "Role",
    "Send",
    "Timing",
    "Write",
    "can_reach_quorum",
    "has_quorum",
    "quorum_value",
]


#: Maximum number of leases recorded ahead of the applied index. Older ones are dropped,
#: so that a replica that lags further has no lease.
_MAX_LEASE_MARKS = 64


class Role(Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Durations in ticks, and limits of the log.

    :param heartbeat: interval between a leader's heartbeats.
    :param election: election timeout, in ticks without contact to a leader. A random
        part of the same length is added, so that candidates rarely compete.
    :param first_election: timeout of the first election after startup, to which a
        random part of the same length is added. It grows by this value with each
        further attempt until a leader is known. 0 means the same as ``election``. With
        any other value, replicas that have just started may elect another leader while
        an older one still relies on its lease; so there are no leases then, and no
        state counts as current without a round to the quorum.
    :param retain: maximum number of entries retained in memory that the snapshot
        covers.
    :param retain_bytes: maximum size of these entries' data in bytes.
    :param append_bytes: maximum size of the data in one `Append` in bytes.
    :param window: maximum number of entries sent ahead of a follower's answer.
    """

    heartbeat: int = 1
    election: int = 10
    first_election: int = 0
    retain: int = 1024
    retain_bytes: int = 16 * 1024 * 1024
    append_bytes: int = 1024 * 1024
    window: int = 4096


@dataclass(frozen=True)
class Send:
    """Send a message to a replica, possibly this one."""

    to: ReplicaId
    message: PeerMessage


@dataclass(frozen=True)
class Write:
    """Write to disk and sync, in order, then call ``synced(token)``.

    :param entries: replace all entries in the log from the first one's index on.
    :param snapshot: the new snapshot, or None.
    :param reset: the snapshot replaces the whole log, not only the entries it covers.
    """

    token: int
    term: Term
    vote: ReplicaId | None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False


@dataclass(frozen=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Restore:
    """Replace the state machine's state by that of the snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ReadReady:
    """The read may be served once all entries up to ``index`` are applied."""

    context: int
    index: LogIndex


@dataclass(frozen=True)
class ReadRefused:
    """This replica can't confirm the read, so nothing is known about it."""

    context: int


Output: TypeAlias = Send | Write | Apply | Restore | ReadReady | ReadRefused


@dataclass
class Progress:
    """Replication progress of one follower, as known to the leader.

    :param next: index of the next entry to send.
    :param match: last index known to be durable on the follower.
    :param probing: send one `Append` at a time, until a common entry is found.
    :param round: latest heartbeat round that the follower has answered.
    :param contact: the latest tick of the leader that the follower echoed; -1 for none.
    :param echo: the latest tick of the follower's own that its answers carried; -1 for
        none.
    :param snapshot_tick: tick at which a snapshot was sent; -1 for none.
    """

    next: int
    match: int = 0
    probing: bool = True
    round: int = 0
    contact: int = -1
    echo: int = -1
    snapshot_tick: int = -1


@dataclass
class PendingRead:
    """A read that waits for a quorum to answer its heartbeat round."""

    context: int
    index: LogIndex
    round: int


@dataclass(frozen=True)
class LeaseMark:
    """A lease that takes effect once all entries up to ``commit`` are applied.

    :param until: tick at which it ends.
    """

    commit: LogIndex
    until: int


@dataclass
class _PendingWrite:
    """A write that isn't synced yet, and the last index that it makes durable."""

    token: int
    last_index: int


@dataclass
class RaftState:
    """State of the consensus, shared by the election and replication functions.

    All times are in ticks.

    :param draw: returns a random integer from 0 to its argument minus one.
    :param durable: last index of the log that is synced on this replica.
    :param now: ticks since startup.
    :param contact: tick at which the election timeout was last restarted.
    :param deadline: tick at which an election starts.
    :param round: the leader's latest heartbeat round.
    :param elected: tick at which this replica became leader.
    :param leader_seen: whether a leader has been known since startup.
    :param attempts: number of pre-votes started at a deadline since startup.
    :param own_term_index: index of the empty entry that starts this leader's term.
    :param deferred_reads: reads received before ``own_term_index`` was committed.
    :param restore: a snapshot to restore once it is durable.
    """

    replica: ReplicaId
    timing: Timing
    draw: Callable[[int], int]
    log: RaftLog
    term: Term = Term(0)
    vote: ReplicaId | None = None
    role: Role = Role.FOLLOWER
    leader: ReplicaId | None = None
    commit: LogIndex = LogIndex(0)
    applied: LogIndex = LogIndex(0)
    durable: int = 0
    now: int = 0
    contact: int = 0
    deadline: int = 0
    votes: dict[ReplicaId, bool] = field(default_factory=dict)
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    round: int = 0
    elected: int = 0
    leader_seen: bool = False
    attempts: int = 0
    heartbeat_due: bool = False
    own_term_index: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    deferred_reads: list[int] = field(default_factory=list)
    successor: ReplicaId | None = None
    successor_deadline: int = 0
    lease_until: int = 0
    lease_marks: deque[LeaseMark] = field(
        default_factory=lambda: deque(maxlen=_MAX_LEASE_MARKS)
    )
    outputs: list[Output] = field(default_factory=list)
    restore: Snapshot | None = None
    _unsent_messages: deque[tuple[int, Send]] = field(default_factory=deque)
    _pending_writes: deque[_PendingWrite] = field(default_factory=deque)
    _token: int = 0
    _synced: int = 0
    _dirty_vote: bool = False
    _dirty_from: int | None = None
    _dirty_snapshot: Snapshot | None = None
    _dirty_reset: bool = False

    @property
    def configuration(self) -> Configuration:
        """The latest replica set in the log."""
        return self.log.configuration

    @property
    def peers(self) -> list[ReplicaId]:
        """All other replicas that receive the log: voters and learners."""
        found = self.configuration
        members = (*found.all_voters, *found.learners)
        return [member for member in members if member != self.replica]

    def lease(self) -> int:
        """Return a follower's lease in ticks: how long its state counts as current."""
        if self.role is Role.LEADER:
            return 0
        while self.lease_marks and self.lease_marks[0].commit <= self.applied:
            until = self.lease_marks.popleft().until
            self.lease_until = max(self.lease_until, until)
        return max(0, self.lease_until - self.now)

    def is_voter(self) -> bool:
        """Return whether this replica is a voter in its latest replica set."""
        return self.replica in self.configuration.all_voters

    # Messages ----------------------------------------------------------------

    def send(self, to: ReplicaId, message: PeerMessage) -> None:
        """Queue a message that doesn't depend on unsynced writes."""
        self.outputs.append(Send(to, message))

    def send_synced(self, to: ReplicaId, message: PeerMessage) -> None:
        """Queue a message to be sent once all changes so far are synced.

        A peer would count a vote or an accepted entry that a crash can still undo. The
        replica could then vote for another candidate or lose the entry, which leads to
        two leaders in a term or the loss of a committed entry. If the message waits for
        the sync, a crash before it also discards the message.
        """
        needed = self._token + 1 if self._is_dirty() else self._token
        if needed <= self._synced:
            self.send(to, message)
        else:
            self._unsent_messages.append((needed, Send(to, message)))

    # Writes ------------------------------------------------------------------

    def set_term(self, term: Term, vote: ReplicaId | None) -> None:
        """Set term and vote, and include them in the next write if they changed."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self._dirty_vote = True

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries to the log and include them in the next write."""
        added = list(entries)
        if added:
            self._mark_dirty(added[0].index)
            self.log.append(added)

    def truncate(self, first: int) -> None:
        """Remove uncommitted entries from an index on, before others replace them."""
        self.log.truncate(first)
        self._mark_dirty(first)
        self.durable = min(self.durable, first - 1)
        for pending in self._pending_writes:
            pending.last_index = min(pending.last_index, first - 1)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace entries by a snapshot of the applied state."""
        self.log.compact(snapshot, self.timing.retain, self.timing.retain_bytes)
        self._dirty_snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Replace this replica's applied state by a snapshot of the leader's."""
        retained = self.log.install(snapshot)
        self._dirty_snapshot = snapshot
        self._dirty_reset = not retained
        if not retained:
            self._dirty_from = None
            self.durable = 0
            for pending in self._pending_writes:
                pending.last_index = 0
        self.commit = snapshot.index
        self.restore = snapshot

    def issue_write(self) -> None:
        """Output one write with all changes since the last one."""
        if not self._is_dirty():
            return
        entries: tuple[Entry, ...] = ()
        if self._dirty_from is not None:
            first = max(self._dirty_from, self.log.compacted_index + 1)
            entries = self.log.slice(first, self.log.last_index)
        self._token += 1
        snapshot, reset = self._dirty_snapshot, self._dirty_reset
        write = Write(self._token, self.term, self.vote, entries, snapshot, reset)
        self.outputs.append(write)
        self._pending_writes.append(_PendingWrite(self._token, self.log.last_index))
        self._dirty_vote = self._dirty_reset = False
        self._dirty_from = self._dirty_snapshot = None

    def mark_synced(self, token: int) -> None:
        """Record that a write and all earlier ones are durable, and release messages.

        Messages of older terms are dropped.
        """
        self._synced = max(self._synced, token)
        while self._pending_writes and self._pending_writes[0].token <= token:
            self.durable = max(self.durable, self._pending_writes.popleft().last_index)
        while self._unsent_messages and self._unsent_messages[0][0] <= self._synced:
            released = self._unsent_messages.popleft()[1]
            if released.message.term >= self.term:
                self.outputs.append(released)

    def issue_applies(self) -> None:
        """Output the entries and snapshots to apply: committed and locally durable."""
        if self.restore and self.durable >= self.restore.index:
            self.outputs.append(Restore(self.restore))
            self.applied = max(self.applied, self.restore.index)
            self.restore = None
        last = min(self.commit, self.durable)
        if self.restore is None and last > self.applied:
            entries = self.log.slice(self.applied + 1, last)
            self.outputs.append(Apply(entries))
            self.applied = LogIndex(last)

    def _mark_dirty(self, first: int) -> None:
        known = self._dirty_from
        self._dirty_from = first if known is None else min(known, first)

    def _is_dirty(self) -> bool:
        log_changed = self._dirty_from is not None
        return self._dirty_vote or log_changed or self._dirty_snapshot is not None


def has_quorum(configuration: Configuration, granting: Collection[ReplicaId]) -> bool:
    """Return whether a quorum of a replica set is among ``granting``."""
    return all(_has_majority(voters, granting) for voters in configuration.majorities)


def can_reach_quorum(
    configuration: Configuration, refusing: Collection[ReplicaId]
) -> bool:
    """Return whether a quorum is possible although some voters have refused."""
    return not any(
        _has_majority(voters, refusing) for voters in configuration.majorities
    )


def quorum_value(
    configuration: Configuration, find_value: Callable[[ReplicaId], int]
) -> int:
    """Return the largest value that a quorum has reached.

    :param find_value: returns the value that a voter has reached.
    """
    return min(
        _majority_value([find_value(voter) for voter in voters])
        for voters in configuration.majorities
    )


def _has_majority(
    voters: Collection[ReplicaId], granting: Collection[ReplicaId]
) -> bool:
    return 2 * len(set(voters).intersection(granting)) > len(voters)


def _majority_value(values: list[int]) -> int:
    return sorted(values, reverse=True)[len(values) // 2] if values else 0
