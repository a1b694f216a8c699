"""What one replica knows, and the outputs that it owes its shell."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ibishead.control.peers import Configuration, Entry, PeerMessage, Snapshot
from ibishead.control.raftlog import RaftLog
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
    "has_quorum",
    "quorum_value",
]


#: Leases noted ahead of what is applied; a replica that lags more has none.
_MAX_LEASE_MARKS = 64


class Role(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Durations in ticks.

    :param heartbeat: between two heartbeats of a leader.
    :param election: without contact until an election; a random share of the same
        length is added, so that candidates seldom meet.
    :param first: without contact until the first election after a start, and a random
        share of it; as much more for each further one until a leader was known. 0 for
        as long as any other. A replica that has just started may then elect another
        leader while an older one still counts on its lease, so with it no state counts
        as current without a round to the quorum.
    :param retain: entries kept in memory behind a snapshot, at most.
    :param retain_bytes: data of these entries, at most.
    :param append_bytes: most data in one `Append`.
    :param window: entries sent ahead of a follower's answer.
    """

    heartbeat: int = 1
    election: int = 10
    first: int = 0
    retain: int = 1024
    retain_bytes: int = 16 * 1024 * 1024
    append_bytes: int = 1024 * 1024
    window: int = 4096


@dataclass(frozen=True)
class Send:
    """Give a message to the link to a peer."""

    to: ReplicaId
    message: PeerMessage


@dataclass(frozen=True)
class Write:
    """Put on disk and sync, then call ``synced(token)``; writes stay in order.

    :param entries: replace everything in the log from the first one's index on.
    :param snapshot: a new snapshot, or None.
    :param reset: the snapshot replaces the whole log, not only what it covers.
    """

    token: int
    term: Term
    vote: ReplicaId | None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False


@dataclass(frozen=True)
class Apply:
    """Give committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Restore:
    """Replace the state machine's state by the snapshot's."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ReadReady:
    """The read may be served by a state that holds all up to ``index``."""

    context: int
    index: LogIndex


@dataclass(frozen=True)
class ReadRefused:
    """This replica can't confirm the read; nothing is known of it."""

    context: int


Output: TypeAlias = Send | Write | Apply | Restore | ReadReady | ReadRefused


@dataclass
class Progress:
    """What a leader knows of one follower.

    :param match: last index known to be on the follower's disk.
    :param next: first index to send next.
    :param probing: one `Append` at a time, until the logs are known to meet.
    :param contact: the leader's tick that the follower echoed last; -1 for none.
    :param echo: the follower's own tick that came with it.
    :param installing: tick at which a snapshot was sent; -1 for none.
    """

    next: int
    match: int = 0
    probing: bool = True
    round: int = 0
    contact: int = -1
    echo: int = -1
    installing: int = -1


@dataclass
class PendingRead:
    """A read that waits for its heartbeat round."""

    context: int
    index: LogIndex
    round: int


@dataclass(frozen=True)
class LeaseMark:
    """A lease that starts to count once all up to ``commit`` is applied."""

    commit: LogIndex
    until: int


@dataclass
class _Issued:
    """A write that isn't synced yet, and the last index that it makes durable."""

    token: int
    last_index: int


@dataclass
class RaftState:
    """All that a replica knows; election and replication work on it.

    :param draw: returns a number from 0 up to its argument, less one.
    :param durable: last index of the log that is synced on this replica.
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
    settled: bool = False
    attempts: int = 0
    heartbeat_due: bool = False
    own_term_index: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    early_reads: list[int] = field(default_factory=list)
    successor: ReplicaId | None = None
    successor_deadline: int = 0
    lease_until: int = 0
    lease_marks: deque[LeaseMark] = field(
        default_factory=lambda: deque(maxlen=_MAX_LEASE_MARKS)
    )
    outputs: list[Output] = field(default_factory=list)
    restore: Snapshot | None = None
    _held: deque[tuple[int, Send]] = field(default_factory=deque)
    _issued: deque[_Issued] = field(default_factory=deque)
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
        """All other replicas that get the log."""
        found = self.configuration
        members = (*found.voters, *found.learners)
        return [member for member in members if member != self.replica]

    def lease(self) -> int:
        """Return the ticks for which the applied state counts as current."""
        if self.role is Role.LEADER:
            return 0
        while self.lease_marks and self.lease_marks[0].commit <= self.applied:
            until = self.lease_marks.popleft().until
            self.lease_until = max(self.lease_until, until)
        return max(0, self.lease_until - self.now)

    def is_voter(self) -> bool:
        """Return whether this replica counts in its latest replica set."""
        return self.replica in self.configuration.voters

    # Messages ----------------------------------------------------------------

    def send(self, to: ReplicaId, message: PeerMessage) -> None:
        """Send without waiting for the disk."""
        self.outputs.append(Send(to, message))

    def send_synced(self, to: ReplicaId, message: PeerMessage) -> None:
        """Send once all that this replica has decided so far is synced.

        A vote or an accepted entry that a crash could take back would be counted by
        a peer and then given anew to another: two leaders a term, or a committed
        entry lost. Held back until the sync, the crash takes the answer with it.
        """
        needed = self._token + 1 if self._is_dirty() else self._token
        if needed <= self._synced:
            self.send(to, message)
        else:
            self._held.append((needed, Send(to, message)))

    # Writes ------------------------------------------------------------------

    def set_term(self, term: Term, vote: ReplicaId | None) -> None:
        """Change term and vote, to be written."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self._dirty_vote = True

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries to the log, to be written."""
        added = list(entries)
        if added:
            self._mark_dirty(added[0].index)
            self.log.append(added)

    def truncate(self, first: int) -> None:
        """Drop entries that never were committed; others follow in their place."""
        self.log.truncate(first)
        self._mark_dirty(first)
        self.durable = min(self.durable, first - 1)
        for issued in self._issued:
            issued.last_index = min(issued.last_index, first - 1)

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot of the applied state stand for its entries."""
        self.log.compact(snapshot, self.timing.retain, self.timing.retain_bytes)
        self._dirty_snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Let a leader's snapshot replace what this replica has applied."""
        kept = self.log.install(snapshot)
        self._dirty_snapshot = snapshot
        self._dirty_reset = not kept
        if not kept:
            self._dirty_from = None
            self.durable = 0
            for issued in self._issued:
                issued.last_index = 0
        self.commit = snapshot.index
        self.restore = snapshot

    def issue_write(self) -> None:
        """Put out one write for all that changed since the last."""
        if not self._is_dirty():
            return
        entries: tuple[Entry, ...] = ()
        if self._dirty_from is not None:
            first = max(self._dirty_from, self.log.floor + 1)
            entries = self.log.slice(first, self.log.last_index)
        self._token += 1
        snapshot, reset = self._dirty_snapshot, self._dirty_reset
        write = Write(self._token, self.term, self.vote, entries, snapshot, reset)
        self.outputs.append(write)
        self._issued.append(_Issued(self._token, self.log.last_index))
        self._dirty_vote = self._dirty_reset = False
        self._dirty_from = self._dirty_snapshot = None

    def mark_synced(self, token: int) -> None:
        """Release what waited for a write and for all before it."""
        self._synced = max(self._synced, token)
        while self._issued and self._issued[0].token <= token:
            self.durable = max(self.durable, self._issued.popleft().last_index)
        while self._held and self._held[0][0] <= self._synced:
            held = self._held.popleft()[1]
            if held.message.term >= self.term:
                self.outputs.append(held)

    def issue_applies(self) -> None:
        """Put out what is committed and on this replica's own disk."""
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


def has_quorum(voters: Iterable[ReplicaId], yes: Iterable[ReplicaId]) -> bool:
    """Return whether more than half of the voters are among those named."""
    counted = set(voters)
    return 2 * len(counted.intersection(yes)) > len(counted)


def quorum_value(values: list[int]) -> int:
    """Return the largest value that more than half of the voters have reached."""
    return sorted(values, reverse=True)[len(values) // 2] if values else 0
