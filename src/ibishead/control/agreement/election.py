"""Leader election: pre-votes, votes, leadership transfer and stepping down."""

from ibishead.control.agreement import replication
from ibishead.control.agreement.peers import RequestVote, TakeOver, VoteAnswer
from ibishead.control.agreement.raftstate import (
    Progress,
    RaftState,
    ReadRefused,
    Role,
    can_reach_quorum,
    has_quorum,
)
from ibishead.ids import ReplicaId, Term

__all__ = [
    "become_follower",
    "campaign",
    "check_quorum",
    "handle_request_vote",
    "handle_take_over",
    "handle_vote_answer",
    "campaign_early",
    "pre_campaign",
    "reset_deadline",
]


#: A pre-vote without a quorum is repeated after the election timeout divided by this.
PRE_VOTE_RETRY_DIVISOR = 3


def reset_deadline(state: RaftState) -> None:
    """Restart the election timeout, which is partly random.

    Failure: after all replicas were killed at once, nothing can be committed until the
    first election, which waits a full election timeout although there is no leader; or
    the first election starts before the replicas are connected, and the next one waits
    that long. So replicas that have known no leader since startup use a shorter
    timeout, which grows with each attempt. This doesn't depose a working leader: the
    replicas in contact with it grant no vote.
    """
    state.contact = state.now
    span = state.timing.election
    if state.timing.first_election and not state.leader_seen:
        span = min(span, state.timing.first_election * (1 + state.attempts))
    state.deadline = state.now + span + state.draw(span)


def become_follower(state: RaftState, term: Term, leader: ReplicaId | None) -> None:
    """Become a follower, and refuse all pending reads.

    :param term: at least the current term; a higher one clears the vote.
    :param leader: the leader of the term, None if it isn't known.
    """
    if term > state.term:
        state.set_term(term, None)
    state.role = Role.FOLLOWER
    state.leader = leader
    state.leader_seen = state.leader_seen or leader is not None
    state.successor = None
    state.votes.clear()
    state.progress.clear()
    waiting = [read.context for read in state.reads] + state.deferred_reads
    state.outputs += [ReadRefused(context) for context in waiting]
    state.reads.clear()
    state.deferred_reads.clear()
    reset_deadline(state)


def pre_campaign(state: RaftState) -> None:
    """Start a pre-vote: ask whether an election would be won, keeping the term.

    Without it, a replica that was partitioned would return with a higher term and
    depose a working leader. Voters in contact with their leader ignore the pre-vote.
    """
    state.attempts += 1
    reset_deadline(state)
    # a voter that last heard from the leader slightly later still ignores this request
    wait = max(1, state.timing.election // PRE_VOTE_RETRY_DIVISOR)
    state.deadline = min(state.deadline, state.now + wait + state.draw(wait))
    state.leader = None
    if not state.is_voter():
        return
    state.role = Role.PRE_CANDIDATE
    _request_votes(state, Term(state.term + 1), pre=True)


def campaign_early(state: RaftState) -> None:
    """Start a pre-vote before the deadline if no leader was known since startup.

    Replicas that are started together have no leader whose timeout must pass. An early
    pre-vote is safe: a voter in contact with a leader grants no vote, and the answer to
    a pre-vote changes no term.
    """
    campaigning = state.role in (Role.CANDIDATE, Role.LEADER)
    if campaigning or state.leader_seen or not state.timing.first_election:
        return
    attempts = state.attempts
    pre_campaign(state)
    # an early pre-vote is no failed attempt and must not lengthen the next timeout
    state.attempts = attempts


def campaign(state: RaftState, *, transfer: bool = False) -> None:
    """Start an election in a new term.

    :param transfer: the leader requested it, so voters grant their votes although they
        are in contact with the leader.
    """
    reset_deadline(state)
    state.leader = None
    if not state.is_voter():
        return
    state.role = Role.CANDIDATE
    state.set_term(Term(state.term + 1), state.replica)
    _request_votes(state, state.term, transfer=transfer)


def handle_request_vote(
    state: RaftState, sender: ReplicaId, request: RequestVote
) -> None:
    """Grant or refuse a vote; ignore the request while in contact with a leader."""
    if _has_live_leader(state) and not request.transfer:
        return
    if request.pre:
        granted = request.term > state.term and _is_up_to_date(state, request)
        if granted and state.role is Role.PRE_CANDIDATE:
            granted = _yields_to(state, sender, request)
        term = request.term if granted else state.term
        state.send(sender, VoteAnswer(term, granted, pre=True))
        return
    if request.term > state.term:
        become_follower(state, request.term, None)
    granted = (
        request.term == state.term
        and state.vote in (None, sender)
        and _is_up_to_date(state, request)
    )
    if granted:
        state.set_term(state.term, sender)
        reset_deadline(state)
    state.send_synced(sender, VoteAnswer(state.term, granted))


def _yields_to(state: RaftState, rival: ReplicaId, request: RequestVote) -> bool:
    """Abandon the own pre-vote if the rival has precedence, and return whether so.

    The more complete log has precedence or, between equal ones, the greater replica id.

    Failure: two voters start a pre-vote at the same moment, grant it to each other and
    then vote for themselves, so that no leader is elected. The ticks of voters that
    were founded together stay in phase, so that this happens repeatedly.
    """
    own = (state.log.last_term, state.log.last_index, state.replica)
    if (request.last_term, request.last_index, rival) < own:
        return False
    state.role = Role.FOLLOWER
    state.votes.clear()
    return True


def handle_vote_answer(state: RaftState, sender: ReplicaId, answer: VoteAnswer) -> None:
    """Count a vote, and proceed with the election once a quorum has granted it."""
    if not answer.granted and answer.term > state.term:
        become_follower(state, answer.term, None)
        return
    expected_term = state.term + 1 if answer.pre else state.term
    expected_role = Role.PRE_CANDIDATE if answer.pre else Role.CANDIDATE
    if answer.term != expected_term or state.role is not expected_role:
        return
    state.votes[sender] = answer.granted
    _count_votes(state)


def _count_votes(state: RaftState) -> None:
    """Evaluate the votes so far; this replica's own vote counts once it is synced."""
    granting = [voter for voter, granted in state.votes.items() if granted]
    refusing = [voter for voter, granted in state.votes.items() if not granted]
    if has_quorum(state.configuration, granting):
        if state.role is Role.PRE_CANDIDATE:
            campaign(state)
        else:
            _become_leader(state)
    elif not can_reach_quorum(state.configuration, refusing):
        become_follower(state, state.term, None)


def handle_take_over(state: RaftState, sender: ReplicaId, order: TakeOver) -> None:
    """Start an election at the leader's request."""
    if order.term == state.term and state.leader == sender:
        campaign(state, transfer=True)


def check_quorum(state: RaftState) -> None:
    """Step down when no quorum has answered within an election timeout.

    A partitioned leader would otherwise continue to accept proposals that can't be
    committed, and its callers would wait in vain while another replica leads.
    """
    if state.now - state.elected < state.timing.election:
        return
    if replication.quorum_age(state) > state.timing.election:
        become_follower(state, state.term, None)


def _request_votes(
    state: RaftState, term: Term, *, pre: bool = False, transfer: bool = False
) -> None:
    log = state.log
    request = RequestVote(term, log.last_index, log.last_term, pre, transfer)
    state.votes.clear()
    for peer in state.configuration.all_voters:
        if peer == state.replica:
            # the own vote, too, must be synced before it is counted
            send = state.send if pre else state.send_synced
            send(peer, VoteAnswer(term, granted=True, pre=pre))
        elif pre:
            state.send(peer, request)
        else:
            state.send_synced(peer, request)


def _become_leader(state: RaftState) -> None:
    state.role = Role.LEADER
    state.leader = state.replica
    state.leader_seen = True
    state.votes.clear()
    state.elected = state.now
    next_index = state.log.last_index + 1
    state.progress = {peer: Progress(next_index) for peer in state.peers}
    replication.append_empty(state)


def _has_live_leader(state: RaftState) -> bool:
    if state.role is Role.LEADER:
        return True
    fresh = state.now - state.contact < state.timing.election
    return state.leader is not None and fresh


def _is_up_to_date(state: RaftState, request: RequestVote) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own
