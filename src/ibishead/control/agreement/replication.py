"""Log replication from the leader to its followers, commitment, reads and leases."""

from collections.abc import Callable, Iterable

from ibishead.control.agreement.peers import (
    Append,
    AppendAnswer,
    Configuration,
    Entry,
    EntryKind,
    Install,
    TakeOver,
)
from ibishead.control.agreement.raftlog import encode_configuration
from ibishead.control.agreement.raftstate import (
    LeaseMark,
    PendingRead,
    Progress,
    RaftState,
    ReadReady,
    quorum_value,
)
from ibishead.errors import StorageFault
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = [
    "advance_commit",
    "append_command",
    "append_empty",
    "begin_read",
    "broadcast",
    "handle_append",
    "handle_append_answer",
    "handle_install",
    "send_take_over",
    "quorum_age",
]


# Leader ----------------------------------------------------------------------


def append_command(state: RaftState, kind: EntryKind, data: bytes) -> LogIndex:
    """Append an entry of the leader's current term, and return its index."""
    index = LogIndex(state.log.last_index + 1)
    state.append([Entry(index, state.term, kind, data)])
    state.heartbeat_due = True
    if kind is EntryKind.CONFIGURATION:
        _update_peers(state)
    return index


def append_empty(state: RaftState) -> None:
    """Append the empty entry that starts a leader's term.

    Its commitment also commits all entries of earlier terms before it.
    """
    state.own_term_index = append_command(state, EntryKind.EMPTY, b"")


def broadcast(state: RaftState) -> None:
    """Send new entries to all peers, or a heartbeat where there are none."""
    state.heartbeat_due = False
    for peer in state.peers:
        _send_append(state, peer, state.progress[peer])


def begin_read(state: RaftState, context: int) -> None:
    """Register a read, to be confirmed by the next heartbeat round.

    A deposed leader that doesn't know of its successor would return outdated state. An
    answered round proves that it still led after the read was requested.
    """
    if state.commit < state.own_term_index:
        # a new leader doesn't know yet what its predecessors had committed
        state.deferred_reads.append(context)
        return
    state.round += 1
    state.reads.append(PendingRead(context, state.commit, state.round))
    state.heartbeat_due = True
    _complete_reads(state)


def handle_append_answer(
    state: RaftState, sender: ReplicaId, answer: AppendAnswer
) -> None:
    """Update the progress of a follower from its answer."""
    progress = state.progress.get(sender)
    if progress is None or answer.term != state.term:
        return
    progress.contact = max(progress.contact, answer.echo_tick)
    progress.echo = max(progress.echo, answer.sent_tick)
    progress.round = max(progress.round, answer.round)
    if answer.accepted:
        _record_match(state, sender, progress, answer.index)
    elif answer.index > progress.match:
        _backtrack(state, progress, answer)
        _send_append(state, sender, progress)
    _complete_reads(state)


def advance_commit(state: RaftState) -> None:
    """Raise the commit index to the last entry that is durable on a quorum.

    Only entries of the leader's own term are committed by counting replicas: an entry
    of an older term can be on a quorum and still be overwritten by a leader that
    doesn't have it.
    """
    index = _find_quorum_value(state, state.durable, lambda found: found.match)
    if index > state.commit and state.log.term_at(index) == state.term:
        state.commit = LogIndex(index)
        state.heartbeat_due = True
        _begin_deferred_reads(state)
        _complete_exchange(state)


def quorum_age(state: RaftState) -> int:
    """Return the ticks since a quorum last followed this leader for certain."""
    last = _find_quorum_value(state, state.now, lambda found: found.contact)
    return state.now - last


def send_take_over(state: RaftState) -> None:
    """Ask the chosen successor to take over once it holds the whole log.

    The transfer is abandoned at its deadline.
    """
    successor = state.successor
    if successor is None:
        return
    if state.now >= state.successor_deadline or successor not in state.progress:
        state.successor = None
    elif state.progress[successor].match == state.log.last_index:
        state.send(successor, TakeOver(state.term))


def _find_quorum_value(
    state: RaftState, own: int, read: Callable[[Progress], int]
) -> int:
    """Return the largest value that a quorum has reached, by the voters' progress.

    :param own: the value of this replica itself.
    """
    return quorum_value(
        state.configuration,
        lambda voter: own if voter == state.replica else read(state.progress[voter]),
    )


def _complete_exchange(state: RaftState) -> None:
    """Append the final set of an exchange of voters once the joint one is committed.

    Each leader does so, also one that was elected during the exchange.
    """
    joint = state.configuration
    if joint.outgoing and state.commit >= state.log.configuration_index:
        final = Configuration(joint.voters, joint.learners)
        data = encode_configuration(final)
        append_command(state, EntryKind.CONFIGURATION, data)


def _update_peers(state: RaftState) -> None:
    next_index = state.log.last_index + 1
    members = state.peers
    for peer in members:
        state.progress.setdefault(peer, Progress(next_index))
    for removed in set(state.progress).difference(members):
        del state.progress[removed]


def _record_match(
    state: RaftState, peer: ReplicaId, progress: Progress, index: LogIndex
) -> None:
    progress.snapshot_tick = -1
    advanced = index > progress.match
    if advanced:
        progress.match = index
    progress.next = max(progress.next, index + 1)
    if progress.probing and index + 1 >= progress.next:
        progress.probing = False
    if advanced:
        advance_commit(state)
        send_take_over(state)
    if progress.next <= min(state.log.last_index, progress.match + state.timing.window):
        _send_append(state, peer, progress)


def _backtrack(state: RaftState, progress: Progress, answer: AppendAnswer) -> None:
    next_index = answer.hint_index
    if answer.hint_term:
        found = state.log.last_of_term(answer.hint_term, answer.index + 1)
        if found is not None:
            next_index = LogIndex(found + 1)
    next_index = min(next_index, answer.index)
    progress.next = max(next_index, progress.match + 1)
    progress.probing = True


def _send_append(state: RaftState, peer: ReplicaId, progress: Progress) -> None:
    prev_index = progress.next - 1
    prev_term = state.log.term_at(prev_index)
    if prev_term is None:
        _send_snapshot(state, peer, progress)
        return
    last = min(state.log.last_index, progress.match + state.timing.window)
    limit = state.timing.append_bytes
    entries = state.log.slice(progress.next, last, limit)
    state.send(
        peer,
        Append(
            state.term,
            LogIndex(prev_index),
            prev_term,
            entries,
            state.commit,
            state.round,
            state.now,
            progress.echo,
            max(0, quorum_age(state)),
        ),
    )
    if entries and not progress.probing:
        progress.next = entries[-1].index + 1


def _send_snapshot(state: RaftState, peer: ReplicaId, progress: Progress) -> None:
    elapsed = state.now - progress.snapshot_tick
    if progress.snapshot_tick >= 0 and elapsed < state.timing.election:
        return
    progress.snapshot_tick = state.now
    state.send(peer, Install(state.term, state.log.snapshot, state.round, state.now))


def _begin_deferred_reads(state: RaftState) -> None:
    if state.commit < state.own_term_index:
        return
    waiting, state.deferred_reads = state.deferred_reads, []
    for context in waiting:
        begin_read(state, context)


def _complete_reads(state: RaftState) -> None:
    confirmed = _find_quorum_value(state, state.round, lambda found: found.round)
    ready = [read for read in state.reads if read.round <= confirmed]
    state.reads = [read for read in state.reads if read.round > confirmed]
    state.outputs += [ReadReady(read.context, read.index) for read in ready]


# Follower --------------------------------------------------------------------


def handle_append(state: RaftState, sender: ReplicaId, message: Append) -> None:
    """Append entries from the leader, or answer where the logs diverge."""
    _record_lease(state, message)
    if message.prev_index < state.commit:
        # committed entries can't conflict: acknowledge those and ignore the message's
        _accept(state, sender, message, state.commit)
        return
    if state.log.term_at(message.prev_index) != message.prev_term:
        _refuse(state, sender, message)
        return
    _add_entries(state, message.entries)
    last = LogIndex(message.prev_index + len(message.entries))
    state.commit = max(state.commit, min(message.commit, last))
    _accept(state, sender, message, last)


def handle_install(state: RaftState, sender: ReplicaId, message: Install) -> None:
    """Install the leader's snapshot if it is ahead of the commit index."""
    if message.snapshot.index > state.commit:
        state.install(message.snapshot)
    _accept(state, sender, message, state.commit)


def _add_entries(state: RaftState, entries: Iterable[Entry]) -> None:
    rest = list(entries)
    while rest and state.log.term_at(rest[0].index) == rest[0].term:
        rest.pop(0)
    if not rest:
        return
    if rest[0].index <= state.commit:
        raise StorageFault(
            f"the leader's entry {rest[0].index} conflicts with a committed entry",
            "stop this replica, give it an empty data folder and run "
            "`ibishead replace` for it",
        )
    if rest[0].index <= state.log.last_index:
        state.truncate(rest[0].index)
    state.append(rest)


def _accept(
    state: RaftState, leader: ReplicaId, message: Append | Install, index: LogIndex
) -> None:
    answer = AppendAnswer(
        state.term, True, index, message.round, message.sent_tick, state.now
    )
    state.send_synced(leader, answer)


def _refuse(state: RaftState, leader: ReplicaId, message: Append) -> None:
    found = state.log.term_at(message.prev_index)
    if found is None:
        hint_index, hint_term = LogIndex(state.log.last_index + 1), Term(0)
    else:
        hint_index = state.log.first_of_term(message.prev_index)
        hint_term = found
    answer = AppendAnswer(
        state.term,
        False,
        message.prev_index,
        message.round,
        message.sent_tick,
        state.now,
        hint_index,
        hint_term,
    )
    state.send(leader, answer)


def _record_lease(state: RaftState, message: Append) -> None:
    """Record the lease that starts at the latest own tick that the leader echoed.

    A message may have been delayed, so its arrival time proves nothing. The echo proves
    that the message was sent after that tick, and ``quorum_age`` says how many ticks
    before it was sent a quorum still followed the leader.
    """
    if message.echo_tick < 0:
        return
    since = message.echo_tick - message.quorum_age
    state.lease_marks.append(LeaseMark(message.commit, since + state.timing.election))
