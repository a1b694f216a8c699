"""Changes of the replica set, one replica at a time."""

from ibishead.control import replication
from ibishead.control.peers import Configuration, EntryKind
from ibishead.control.raftlog import encode_configuration
from ibishead.control.raftstate import RaftState, Role
from ibishead.errors import Conflict, ErrorCode, Unavailable
from ibishead.ids import LogIndex, ReplicaId

__all__ = ["add_learner", "append_configuration", "promote", "remove"]


def add_learner(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set with one more learner."""
    learners = {*configuration.learners, replica}.difference(configuration.voters)
    return Configuration(configuration.voters, tuple(sorted(learners)))


def promote(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set with a learner turned voter."""
    voters = {*configuration.voters, replica}
    learners = set(configuration.learners).difference(voters)
    return Configuration(tuple(sorted(voters)), tuple(sorted(learners)))


def remove(configuration: Configuration, replica: ReplicaId) -> Configuration:
    """Return the set without a replica."""
    voters = [voter for voter in configuration.voters if voter != replica]
    learners = [learner for learner in configuration.learners if learner != replica]
    return Configuration(tuple(voters), tuple(learners))


def append_configuration(state: RaftState, wanted: Configuration) -> LogIndex:
    """Start a change of the replica set on the leader; it holds from here on.

    :returns: the index at which the change will be committed.
    :raises Conflict: another change is under way, or the change isn't allowed.
    :raises Unavailable: this replica doesn't lead or can't tell what is committed, or
        the new voter isn't caught up yet.
    """
    if state.role is not Role.LEADER or state.commit < state.own_term_index:
        raise Unavailable(
            "this replica doesn't lead yet",
            "send the change to the leader",
            code=ErrorCode.NOT_LEADER,
        )
    # two changes at once could have quorums without a common replica
    if state.log.configuration_index > state.commit:
        raise Conflict(
            "another change of the replica set is under way",
            "wait until it has ended, then ask again",
        )
    current = state.configuration
    changed = set(current.voters).symmetric_difference(wanted.voters)
    if len(changed) > 1:
        raise Conflict(
            "a change may concern one voter only", "split it into several changes"
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
    """Return whether a learner holds all that is committed, as of a moment ago."""
    progress = state.progress.get(replica)
    if progress is None or progress.contact < 0:
        return False
    fresh = state.now - progress.contact < state.timing.election
    return fresh and progress.match >= state.commit


def _check_caught_up(state: RaftState, replica: ReplicaId) -> None:
    """Refuse a voter that would count for the quorum without holding the log.

    Until it had caught up, nothing could be committed if one more host were lost.
    """
    if not is_caught_up(state, replica):
        raise Unavailable(
            f"replica {replica} has not caught up with the log",
            "wait until it has, then ask again",
            code=ErrorCode.NO_QUORUM,
        )
