"""The Raft consensus algorithm of the replicated log, without any I/O.

The caller feeds in messages, ticks and proposals, and collects messages to send and
writes to perform with `take_outputs`. It syncs each `Write` to disk and reports that
with `synced`; outputs that depend on the write are returned by the next `take_outputs`.
All proposals between two of these calls share one write and one message per follower.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ibishead.control.agreement import election, replication
from ibishead.control.agreement.configuration import append_configuration, is_caught_up
from ibishead.control.agreement.peers import (
    Append,
    AppendAnswer,
    Configuration,
    Entry,
    EntryKind,
    Install,
    PeerMessage,
    RequestVote,
    Snapshot,
    TakeOver,
    VoteAnswer,
)
from ibishead.control.agreement.raftlog import EMPTY_SNAPSHOT, RaftLog
from ibishead.control.agreement.raftstate import (
    Output,
    RaftState,
    ReadRefused,
    Role,
    Send,
    Timing,
)
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = ["Consensus", "PersistentState"]


@dataclass(frozen=True)
class PersistentState:
    """Persistent state that a replica loads from its data folder at startup."""

    term: Term = Term(0)
    vote: ReplicaId | None = None
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = ()


class Consensus:
    """The consensus state machine of one replica.

    :param replica: this replica's identity; an emptied disk gets a new one.
    :param stored: contents of its data folder; the state machine must hold the state of
        the snapshot.
    :param timing: durations in ticks.
    :param draw: returns a random integer from 0 to its argument minus one, which
        randomizes election timeouts so that replicas rarely campaign at once.
    """

    def __init__(
        self,
        replica: ReplicaId,
        stored: PersistentState,
        timing: Timing,
        draw: Callable[[int], int],
    ) -> None:
        log = RaftLog(stored.snapshot, stored.entries)
        start = stored.snapshot.index
        self._state = RaftState(
            replica,
            timing,
            draw,
            log,
            term=stored.term,
            vote=stored.vote,
            commit=start,
            applied=start,
            durable=log.last_index,
        )
        election.reset_deadline(self._state)

    # Current state -----------------------------------------------------------

    @property
    def term(self) -> Term:
        """The latest known term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """This replica's role in the current term."""
        return self._state.role

    @property
    def leader(self) -> ReplicaId | None:
        """The current leader, possibly this replica.

        None if none is known, or after an election timeout without contact to it.
        """
        state = self._state
        silent = state.now - state.contact >= state.timing.election
        if state.role is not Role.LEADER and silent:
            return None
        return state.leader

    @property
    def commit(self) -> LogIndex:
        """The highest index known to be committed."""
        return self._state.commit

    @property
    def applied(self) -> LogIndex:
        """The highest index returned for application to the state machine."""
        return self._state.applied

    @property
    def configuration(self) -> Configuration:
        """The latest replica set in the log, committed or not."""
        return self._state.configuration

    @property
    def log(self) -> RaftLog:
        """The log; callers must not modify it."""
        return self._state.log

    def lease(self) -> int:
        """Return the ticks for which the applied state counts as current.

        The applied state includes everything that was committed at a moment that lies
        at most the election timeout minus the lease in the past. The lease is 0 for a
        replica without contact to the quorum.
        """
        state = self._state
        if state.timing.first_election:
            return 0
        if state.role is not Role.LEADER:
            return state.lease()
        if state.applied < state.own_term_index:
            return 0
        return max(0, state.timing.election - replication.quorum_age(state))

    def quorum_age(self) -> int | None:
        """Return the ticks since a quorum certainly followed this leader.

        :returns: ``None`` unless this replica leads.
        """
        if self._state.role is not Role.LEADER:
            return None
        return replication.quorum_age(self._state)

    def silence(self, replica: ReplicaId) -> int:
        """Return the ticks since a replica last answered; 0 unless this one leads.

        The time before the leader's own election doesn't count.
        """
        state = self._state
        progress = state.progress.get(replica)
        if progress is None:
            return 0
        return state.now - max(progress.contact, state.elected)

    def is_caught_up(self, replica: ReplicaId) -> bool:
        """Return whether a learner has caught up and may become a voter."""
        return is_caught_up(self._state, replica)

    # Inputs ------------------------------------------------------------------

    def tick(self) -> None:
        """Advance the clock by one tick."""
        state = self._state
        state.now += 1
        if state.role is Role.LEADER:
            self._tick_leader()
        elif state.now >= state.deadline:
            election.pre_campaign(state)

    def campaign_early(self) -> None:
        """Start a pre-vote now if no leader has been known since startup."""
        election.campaign_early(self._state)

    def step(self, sender: ReplicaId, message: PeerMessage) -> None:
        """Process a message from a replica.

        :param sender: the sender's identity as established by the link.
        """
        state = self._state
        match message:
            case RequestVote():
                election.handle_request_vote(state, sender, message)
            case VoteAnswer():
                election.handle_vote_answer(state, sender, message)
            case Append() | Install():
                self._step_leader_message(sender, message)
            case AppendAnswer() if message.term > state.term:
                election.become_follower(state, message.term, None)
            case AppendAnswer() if state.role is Role.LEADER:
                replication.handle_append_answer(state, sender, message)
            case TakeOver():
                election.handle_take_over(state, sender, message)

    def propose(self, commands: Sequence[bytes]) -> LogIndex | None:
        """Append commands to the log.

        :returns: the index of the last one, or None if this replica isn't the leader
            or is transferring leadership. The index and `term` together identify the
            entry, which is committed if the entry at that index has that term.
        """
        state = self._state
        if state.role is not Role.LEADER or state.successor is not None:
            return None
        index = state.log.last_index
        for command in commands:
            index = replication.append_command(state, EntryKind.COMMAND, command)
        return index

    def propose_configuration(self, wanted: Configuration) -> LogIndex:
        """Start a change of the replica set.

        :returns: the log index of the change.
        :raises Conflict: another change is in progress, or the change isn't allowed.
        :raises Unavailable: this replica isn't the leader, or the new voter hasn't
            caught up.
        """
        return append_configuration(self._state, wanted)

    def read(self, context: int) -> None:
        """Request a linearizable read, answered by `ReadReady` or `ReadRefused`.

        :param context: identifies the read in the answer.
        """
        if self._state.role is Role.LEADER:
            replication.begin_read(self._state, context)
        else:
            self._state.outputs.append(ReadRefused(context))

    def transfer(self) -> ReplicaId | None:
        """Start to transfer leadership to the voter with the most complete log.

        :returns: the successor, or None if no other voter answers.
        """
        state = self._state
        if state.role is not Role.LEADER:
            return None
        candidates = [
            (progress.match, replica)
            for replica, progress in state.progress.items()
            if replica in state.configuration.voters
            and progress.contact >= 0
            and state.now - progress.contact < state.timing.election
        ]
        if not candidates:
            return None
        state.successor = max(candidates)[1]
        state.successor_deadline = state.now + state.timing.election
        replication.send_take_over(state)
        return state.successor

    def synced(self, token: int) -> None:
        """Record that a write and all earlier writes are durable."""
        self._state.mark_synced(token)
        if self._state.role is Role.LEADER:
            replication.advance_commit(self._state)

    def compact(self, index: LogIndex, data: bytes) -> None:
        """Replace the entries up to an applied index by a snapshot.

        :param data: the state machine's state as of that index.
        """
        log = self._state.log
        term = log.term_at(index)
        if index <= log.snapshot.index or index > self.applied or term is None:
            return
        configuration = log.configuration_at(index)
        self._state.compact(Snapshot(index, term, configuration, data))

    # Outputs -----------------------------------------------------------------

    def take_outputs(self) -> list[Output]:
        """Remove and return the pending outputs, to be performed in order."""
        state = self._state
        self._deliver_to_self()
        if state.role is Role.LEADER and state.heartbeat_due:
            replication.broadcast(state)
        state.issue_write()
        state.issue_applies()
        outputs, state.outputs = state.outputs, []
        return outputs

    def _tick_leader(self) -> None:
        state = self._state
        election.check_quorum(state)
        if state.role is not Role.LEADER:
            return
        removed = state.commit >= state.log.configuration_index and not state.is_voter()
        if removed and state.successor is None:
            # this replica has led the exchange of voters that removed it
            self.transfer()
        replication.send_take_over(state)
        if state.now % state.timing.heartbeat == 0:
            state.heartbeat_due = True

    def _step_leader_message(
        self, sender: ReplicaId, message: Append | Install
    ) -> None:
        state = self._state
        if message.term < state.term:
            # the term in the answer tells a former leader that it was deposed
            answer = AppendAnswer(
                state.term, False, LogIndex(0), 0, message.sent_tick, state.now
            )
            state.send_synced(sender, answer)
            return
        if message.term > state.term or state.leader != sender:
            election.become_follower(state, message.term, sender)
        election.reset_deadline(state)
        match message:
            case Append():
                replication.handle_append(state, sender, message)
            case Install():
                replication.handle_install(state, sender, message)

    def _deliver_to_self(self) -> None:
        """Process the messages that this replica sent to itself, which are votes."""
        state = self._state
        while own := [o for o in state.outputs if _is_for(o, state.replica)]:
            state.outputs = [o for o in state.outputs if not _is_for(o, state.replica)]
            for output in own:
                if isinstance(output, Send):
                    self.step(state.replica, output.message)


def _is_for(output: Output, replica: ReplicaId) -> bool:
    return isinstance(output, Send) and output.to == replica
