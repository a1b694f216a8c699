"""Changes of the replica set: one replica at a time, or an exchange of two voters."""

from ibishead.control.agreement import replication
from ibishead.control.agreement.peers import Configuration, EntryKind
from ibishead.control.agreement.raftlog import encode_configuration
from ibishead.control.agreement.raftstate import RaftState, Role
from ibishead.errors import Conflict, ErrorCode, Unavailable
from ibishead.ids import LogIndex, ReplicaId

__all__ = ["add_learner", "append_configuration", "exchange", "promote", "remove"]


def add_learner(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set with a replica added as learner, unless it is a voter."""
    learners = {*configuration.learners, replica}.difference(configuration.voters)
    return Configuration(configuration.voters, tuple(sorted(learners)))


def promote(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set with a learner promoted to voter."""
    voters = {*configuration.voters, replica}
    learners = set(configuration.learners).difference(voters)
    return Configuration(tuple(sorted(voters)), tuple(sorted(learners)))


def remove(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set without a replica, voter or learner."""
    voters = [voter for voter in configuration.voters if voter != replica]
    learners = [learner for learner in configuration.learners if learner != replica]
    return Configuration(tuple(voters), tuple(learners))


def exchange(
    configuration: Configuration, lost: ReplicaId, replica: ReplicaId
) -> Configuration:
    """Return the joint set in which a learner takes a voter's place.

    Once it is committed, the leader completes the exchange. Removing one voter and
    promoting another one by two changes would leave a set in between that tolerates
    fewer failures than the sets before and after it.
    """
    voters = {*configuration.voters, replica} - {lost}
    learners = set(configuration.learners) - voters
    return Configuration(
        tuple(sorted(voters)), tuple(sorted(learners)), configuration.voters
    )


def append_configuration(state: RaftState, wanted: Configuration) -> LogIndex:
    """Start a change of the replica set on the leader.

    The new set is effective as soon as it is in the log, before it is committed.

    :returns: the index at which the change will be committed.
    :raises Conflict: another change is in progress, or the change isn't allowed.
    :raises Unavailable: this replica isn't the leader or doesn't know yet what is
        committed, or the new voter hasn't caught up yet.
    """
    if state.role is not Role.LEADER or state.commit < state.own_term_index:
        raise Unavailable(
            "this replica is not the leader, or not yet sure what is committed",
            "send the change to the leader, or send it again",
            code=ErrorCode.NOT_LEADER,
        )
    # Two concurrent changes could have quorums without a common replica
    current = state.configuration
    if state.log.configuration_index > state.commit or current.outgoing:
        raise Conflict(
            "another change of the replica set is in progress",
            "wait until it has ended, then send the change again",
        )
    changed = set(current.voters).symmetric_difference(wanted.voters)
    if wanted.outgoing not in ((), current.voters):
        raise Conflict(
            "an exchange must start from the current voters", "send the change again"
        )
    if len(changed) > 1 and not wanted.outgoing:
        raise Conflict(
            "a change may add or remove one voter only", "split it into several changes"
        )
    if state.replica not in wanted.voters:
        raise Conflict(
            "the leader can't remove itself", "transfer the leadership first"
        )
    for replica in set(wanted.voters).difference(current.voters):
        _check_caught_up(state, replica)
    data = encode_configuration(wanted)
    return replication.append_command(state, EntryKind.CONFIGURATION, data)


def is_caught_up(state: RaftState, replica: ReplicaId) -> bool:
    """Return whether a learner holds all committed entries, by its recent report.

    A report is recent for the length of one election time-out.
    """
    progress = state.progress.get(replica)
    if progress is None or progress.contact < 0:
        return False
    recent = state.now - progress.contact < state.timing.election
    return recent and progress.match >= state.commit


def _check_caught_up(state: RaftState, replica: ReplicaId) -> None:
    """Refuse a new voter that doesn't hold the log yet.

    It would count for the quorum at once, so that nothing could be committed until
    it had caught up if one more host were lost.

    :raises Unavailable: the replica has not caught up.
    """
    if not is_caught_up(state, replica):
        raise Unavailable(
            f"replica {replica} has not caught up with the log",
            "wait until it has, then send the change again",
            code=ErrorCode.NO_QUORUM,
        )
