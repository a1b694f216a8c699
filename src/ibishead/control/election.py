"""How a replica becomes leader, and how it stops."""

from ibishead.control import replication
from ibishead.control.peers import RequestVote, TakeOver, VoteAnswer
from ibishead.control.raftstate import (
    Progress,
    RaftState,
    ReadRefused,
    Role,
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
    "hasten",
    "pre_campaign",
    "reset_deadline",
]


#: Part of an election's wait after which a pre-vote without a quorum is asked again.
ASK_AGAIN = 3


def reset_deadline(state: RaftState) -> None:
    """Wait for a leader anew, for a partly random time.

    Failure: all replicas are killed at once, and nothing can be agreed on before an
    election that waits as long as if a leader had just spoken; or the first one comes
    before all are linked, and the next one waits that long. So replicas that have known
    no leader since their start wait for less, and a little longer each time. A leader
    that serves is heard by the others, who give no vote.
    """
    state.contact = state.now
    span = state.timing.election
    if state.timing.first and not state.settled:
        span = min(span, state.timing.first * (1 + state.attempts))
    state.deadline = state.now + span + state.draw(span)


def become_follower(state: RaftState, term: Term, leader: ReplicaId | None) -> None:
    """Follow a leader, or wait for one.

    :param term: at least one's own; a higher one clears the vote.
    """
    if term > state.term:
        state.set_term(term, None)
    state.role = Role.FOLLOWER
    state.leader = leader
    state.settled = state.settled or leader is not None
    state.successor = None
    state.votes.clear()
    state.progress.clear()
    waiting = [read.context for read in state.reads] + state.early_reads
    state.outputs += [ReadRefused(context) for context in waiting]
    state.reads.clear()
    state.early_reads.clear()
    reset_deadline(state)


def pre_campaign(state: RaftState) -> None:
    """Ask whether an election would be won, and change no term yet.

    A replica that was cut off would come back with a higher term and depose a leader
    that serves; asking first lets the others, who hear their leader, say no.
    """
    state.attempts += 1
    reset_deadline(state)
    # another voter may have heard the leader a little later, and ignores the question
    wait = max(1, state.timing.election // ASK_AGAIN)
    state.deadline = min(state.deadline, state.now + wait + state.draw(wait))
    state.leader = None
    if not state.is_voter():
        return
    state.role = Role.PRE_CANDIDATE
    _ask_votes(state, Term(state.term + 1), pre=True)


def hasten(state: RaftState) -> None:
    """Ask for votes before the deadline, where no leader was known since the start.

    Replicas that are started together have no leader whose silence is to be waited for.
    Asking early is safe: a voter that hears a leader gives no vote, and the answer to
    the question alone changes no term.
    """
    asking = state.role in (Role.CANDIDATE, Role.LEADER)
    if asking or state.settled or not state.timing.first:
        return
    attempts = state.attempts
    pre_campaign(state)
    # asking early is no failed attempt, after which the next one waits for longer
    state.attempts = attempts


def campaign(state: RaftState, *, transfer: bool = False) -> None:
    """Start an election in a new term.

    :param transfer: the leader asked for it, so voters need not wait for its silence.
    """
    reset_deadline(state)
    state.leader = None
    if not state.is_voter():
        return
    state.role = Role.CANDIDATE
    state.set_term(Term(state.term + 1), state.replica)
    _ask_votes(state, state.term, transfer=transfer)


def handle_request_vote(
    state: RaftState, sender: ReplicaId, request: RequestVote
) -> None:
    """Grant or refuse a vote, or ignore the question while a leader serves."""
    if _hears_leader(state) and not request.transfer:
        return
    if request.pre:
        granted = request.term > state.term and _is_up_to_date(state, request)
        if granted and state.role is Role.PRE_CANDIDATE:
            granted = _gives_way(state, sender, request)
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


def _gives_way(state: RaftState, rival: ReplicaId, request: RequestVote) -> bool:
    """Let the rival go first that has the longer log or, of equal ones, the later name.

    Failure: two voters ask at the same moment, give each other leave and then vote
    for themselves, so that nobody is elected. Ticks of voters that were founded
    together stay together, so that this happens again and again.
    """
    own = (state.log.last_term, state.log.last_index, state.replica)
    if (request.last_term, request.last_index, rival) < own:
        return False
    state.role = Role.FOLLOWER
    state.votes.clear()
    return True


def handle_vote_answer(state: RaftState, sender: ReplicaId, answer: VoteAnswer) -> None:
    """Count a vote, and go on to the next step of the election with a quorum."""
    if not answer.granted and answer.term > state.term:
        become_follower(state, answer.term, None)
        return
    expected = state.term + 1 if answer.pre else state.term
    asking = Role.PRE_CANDIDATE if answer.pre else Role.CANDIDATE
    if answer.term != expected or state.role is not asking:
        return
    state.votes[sender] = answer.granted
    _count_votes(state)


def _count_votes(state: RaftState) -> None:
    """Act on the votes so far; one's own counts once it is synced."""
    yes = [voter for voter, granted in state.votes.items() if granted]
    no = [voter for voter, granted in state.votes.items() if not granted]
    voters = state.configuration.voters
    if has_quorum(voters, yes):
        if state.role is Role.PRE_CANDIDATE:
            campaign(state)
        else:
            _become_leader(state)
    elif has_quorum(voters, no):
        become_follower(state, state.term, None)


def handle_take_over(state: RaftState, sender: ReplicaId, order: TakeOver) -> None:
    """Start an election at the leader's own wish."""
    if order.term == state.term and state.leader == sender:
        campaign(state, transfer=True)


def check_quorum(state: RaftState) -> None:
    """Step down when no quorum has answered for the length of an election.

    A leader that is cut off would go on taking proposals that can't commit, and its
    callers would wait for nothing while another leads.
    """
    if state.now - state.elected < state.timing.election:
        return
    if replication.quorum_age(state) > state.timing.election:
        become_follower(state, state.term, None)


def _ask_votes(
    state: RaftState, term: Term, *, pre: bool = False, transfer: bool = False
) -> None:
    log = state.log
    request = RequestVote(term, log.last_index, log.last_term, pre, transfer)
    state.votes.clear()
    for peer in state.configuration.voters:
        if peer == state.replica:
            # one's own vote takes the same way as the others': through the sync
            send = state.send if pre else state.send_synced
            send(peer, VoteAnswer(term, granted=True, pre=pre))
        elif pre:
            state.send(peer, request)
        else:
            state.send_synced(peer, request)


def _become_leader(state: RaftState) -> None:
    state.role = Role.LEADER
    state.leader = state.replica
    state.settled = True
    state.votes.clear()
    state.elected = state.now
    following = state.log.last_index + 1
    state.progress = {peer: Progress(following) for peer in state.peers}
    replication.append_empty(state)


def _hears_leader(state: RaftState) -> bool:
    if state.role is Role.LEADER:
        return True
    fresh = state.now - state.contact < state.timing.election
    return state.leader is not None and fresh


def _is_up_to_date(state: RaftState, request: RequestVote) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own
