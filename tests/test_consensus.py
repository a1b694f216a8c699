"""The consensus under specific failures."""

import msgspec
import pytest
from tests.raft_fakes import TIMING, Replicas

from ibishead.control.agreement import configuration as changes
from ibishead.control.agreement.consensus import Consensus, PersistentState
from ibishead.control.agreement.peers import (
    Append,
    AppendAnswer,
    Configuration,
    Entry,
    EntryKind,
    RequestVote,
    Snapshot,
    VoteAnswer,
)
from ibishead.control.agreement.raftstate import ReadReady, Role, Send, Timing, Write
from ibishead.errors import Conflict, Unavailable
from ibishead.ids import LogIndex, ReplicaId, Term

A, B, C = ReplicaId("a"), ReplicaId("b"), ReplicaId("c")
ABC = Configuration((A, B, C))
FOUNDING = Snapshot(LogIndex(0), Term(0), ABC)


def make_replicas(
    count: int = 3, seed: int = 0, timing: Timing = TIMING
) -> tuple[Replicas, ReplicaId, list[ReplicaId]]:
    """Return replicas with an elected leader, the leader and the followers."""
    replicas = Replicas(count, seed, timing)
    replicas.run(20, until=1)
    leader = replicas.leader()
    assert leader is not None
    return replicas, leader, [name for name in replicas.nodes if name != leader]


def make_core(stored: PersistentState, replica: ReplicaId = A) -> Consensus:
    core = Consensus(replica, stored, TIMING, lambda bound: 0)
    core.take_outputs()
    return core


def make_leader_core(stored: PersistentState) -> Consensus:
    """Return replica a of three as a new leader, with its own writes synced."""
    core = make_core(stored)
    for _ in range(TIMING.election):
        core.tick()
    term = Term(stored.term + 1)
    core.step(B, VoteAnswer(term, True, pre=True))
    sync_all(core)
    core.step(B, VoteAnswer(term, True))
    sync_all(core)
    assert core.role is Role.LEADER
    return core


def entry(index: int, term: int, data: bytes = b"") -> Entry:
    return Entry(LogIndex(index), Term(term), EntryKind.COMMAND, data)


def sent(core: Consensus, kind: type) -> list:
    return [
        output.message
        for output in core.take_outputs()
        if isinstance(output, Send) and isinstance(output.message, kind)
    ]


def sync_all(core: Consensus) -> None:
    while tokens := [o.token for o in core.take_outputs() if isinstance(o, Write)]:
        core.synced(tokens[-1])


def test_partitioned_replica_does_not_depose_the_leader() -> None:
    """Guards against a higher term after a long partition of a follower."""
    replicas, leader, others = make_replicas()
    replicas.isolate(others[0])
    replicas.run(60)
    term = replicas.nodes[leader].core.term
    assert replicas.nodes[others[0]].core.term == term
    replicas.cuts.clear()
    replicas.run(20)
    assert replicas.leader() == leader
    assert replicas.nodes[leader].core.term == term


@pytest.mark.parametrize("ahead", [None, 0, 1], ids=["equal", "first", "second"])
def test_simultaneous_election_timeouts_elect_one_voter(
    ahead: int | None,
) -> None:
    """Guards against repeated split votes after the loss of the leader.

    Both followers time out at the same tick, and one log may be ahead of the other.
    """
    replicas, leader, others = make_replicas()
    replicas.draw = lambda _: 0
    replicas.run(2)
    if ahead is not None:
        replicas.isolate(others[1 - ahead])
        replicas.propose(leader)
        replicas.settle()
        replicas.cuts.clear()
    replicas.freeze(leader, True)
    replicas.run(3 * TIMING.election)
    leading = [o for o in others if replicas.nodes[o].core.role is Role.LEADER]
    assert leading == [others[ahead]] if ahead is not None else len(leading) == 1


def test_pre_vote_without_a_quorum_is_repeated_soon() -> None:
    """Guards against a whole election timeout lost to an ignored pre-vote.

    The other voter still counts the lost leader as live, one tick longer.
    """
    core = make_core(PersistentState(snapshot=FOUNDING))
    requests = []
    for tick in range(2 * TIMING.election):
        core.tick()
        requests += [tick for message in sent(core, RequestVote) if message.pre]
    assert requests[0] == TIMING.election - 1
    assert len(set(requests)) > 2


EARLY = Timing(
    heartbeat=1, election=9, first_election=3, retain=2, append_bytes=40, window=6
)


@pytest.mark.parametrize("seed", range(5))
def test_replicas_that_start_together_elect_soon(seed: int) -> None:
    """Guards against a full election timeout after all replicas were killed at once.

    Callers are refused until a leader is elected.
    """
    replicas = Replicas(3, seed, EARLY)
    replicas.run(2 * EARLY.election, until=1)
    for name in replicas.nodes:
        replicas.crash(name)
    for name in replicas.nodes:
        replicas.restart(name)
    replicas.run(EARLY.election - 1)
    assert replicas.leader() is not None


@pytest.mark.parametrize("seed", range(8))
def test_first_election_before_links_are_up_is_repeated_soon(
    seed: int,
) -> None:
    """Guards against a long second timeout after all replicas were killed at once.

    The first election starts before the replicas are connected and fails; callers were
    then sometimes refused for two seconds.
    """
    replicas = Replicas(3, seed, EARLY)
    replicas.run(2 * EARLY.election, until=1)
    for name in replicas.nodes:
        replicas.crash(name)
    for name in replicas.nodes:
        replicas.restart(name)
        replicas.isolate(name)
    replicas.run(2 * EARLY.first_election)
    replicas.heal()
    replicas.run(2 * EARLY.first_election + EARLY.election // 2)
    assert replicas.leader() is not None


def test_connected_voters_elect_at_once_after_startup() -> None:
    """Guards against an election timeout after startup with all voters connected."""
    replicas = Replicas(3, 1, EARLY)
    replicas.run(2 * EARLY.election, until=1)
    for name in replicas.nodes:
        replicas.crash(name)
    for name in replicas.nodes:
        replicas.restart(name)
    replicas.campaign_early(next(iter(replicas.nodes)))
    replicas.run(EARLY.first_election - 1)
    assert replicas.leader() is not None


@pytest.mark.parametrize("cut", [False, True])
def test_early_election_keeps_a_working_leader(cut: bool) -> None:
    """Guards against an early pre-vote that deposes a working leader.

    A follower is killed and restarted, with or without contact to the leader.
    """
    replicas, leader, (other, _) = make_replicas(seed=1, timing=EARLY)
    term = replicas.nodes[leader].core.term
    replicas.crash(other)
    replicas.restart(other)
    if cut:
        replicas.cut(leader, other)
    replicas.campaign_early(other)
    replicas.campaign_early(leader)
    replicas.run(3 * EARLY.election)
    assert replicas.leader() == leader
    assert replicas.nodes[leader].core.term == term


def test_restarted_replica_without_contact_keeps_the_leader() -> None:
    """Guards against a short first timeout that deposes a working leader.

    A follower is killed and restarted, and the leader's messages don't reach it.
    """
    replicas, leader, (other, _) = make_replicas(seed=1, timing=EARLY)
    term = replicas.nodes[leader].core.term
    replicas.crash(other)
    replicas.restart(other)
    replicas.cut(leader, other)
    replicas.run(3 * EARLY.election)
    assert replicas.leader() == leader
    assert replicas.nodes[leader].core.term == term


def test_shorter_first_timeout_disables_leases() -> None:
    replicas = Replicas(3, 1, EARLY)
    replicas.run(2 * EARLY.election, until=1)
    assert [node.core.lease() for node in replicas.nodes.values()] == [0, 0, 0]


def test_partitioned_leader_steps_down_and_refuses_proposals() -> None:
    """Guards against a leader that still accepts changes without its followers."""
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    replicas.isolate(leader)
    replicas.run(2 * TIMING.election + 2)
    assert core.role is not Role.LEADER
    assert core.leader is None
    assert core.propose([b"x"]) is None
    assert core.lease() == 0


def test_replica_in_contact_with_the_leader_ignores_a_vote_request() -> None:
    """Guards against a change of leader when one of two followers loses contact."""
    replicas, leader, others = make_replicas()
    replicas.cut(leader, others[0])
    term = replicas.nodes[leader].core.term
    replicas.run(40)
    assert replicas.leader() == leader
    assert replicas.nodes[leader].core.term == term


def test_vote_waits_for_the_sync() -> None:
    """Guards against two votes in a term.

    A voter answers, loses power before the sync, restarts and votes for another
    candidate.
    """
    core = make_core(PersistentState(snapshot=FOUNDING))
    core.step(B, RequestVote(Term(1), LogIndex(0), Term(0)))
    outputs = core.take_outputs()
    writes = [output for output in outputs if isinstance(output, Write)]
    assert [(write.term, write.vote) for write in writes] == [(1, B)]
    assert not [output for output in outputs if isinstance(output, Send)]
    core.synced(writes[0].token)
    assert sent(core, VoteAnswer) == [VoteAnswer(Term(1), True)]
    restarted = make_core(PersistentState(Term(1), B, FOUNDING))
    restarted.step(C, RequestVote(Term(1), LogIndex(0), Term(0)))
    assert sent(restarted, VoteAnswer) == [VoteAnswer(Term(1), False)]


@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [(2, 2, True), (3, 2, True), (1, 3, True), (1, 2, False), (9, 1, False)],
)
@pytest.mark.parametrize("pre", [True, False])
def test_vote_is_granted_only_to_an_up_to_date_log(
    last_index: int, last_term: int, granted: bool, pre: bool
) -> None:
    """Guards against a leader that lacks committed entries and would undo them."""
    core = make_core(
        PersistentState(Term(2), None, FOUNDING, (entry(1, 1), entry(2, 2)))
    )
    request = RequestVote(Term(4), LogIndex(last_index), Term(last_term), pre)
    core.step(B, request)
    outputs = core.take_outputs()
    core.synced(max([0, *(o.token for o in outputs if isinstance(o, Write))]))
    answers = [o.message for o in outputs + core.take_outputs() if isinstance(o, Send)]
    assert [answer.granted for answer in answers] == [granted]


def test_append_answer_waits_for_the_sync() -> None:
    """Guards against the loss of an entry that a follower acknowledged.

    The follower loses power before the entry is durable.
    """
    core = make_core(PersistentState(snapshot=FOUNDING))
    message = Append(
        Term(1), LogIndex(0), Term(0), (entry(1, 1),), LogIndex(0), 0, sent_tick=3
    )
    core.step(B, message)
    outputs = core.take_outputs()
    assert not [output for output in outputs if isinstance(output, Send)]
    core.synced([o for o in outputs if isinstance(o, Write)][-1].token)
    assert [answer.index for answer in sent(core, AppendAnswer)] == [1]


def test_delayed_entries_of_a_former_leader_are_refused() -> None:
    """Guards against a delayed message that overwrites a newer leader's entry."""
    core = make_core(PersistentState(Term(2), None, FOUNDING, (entry(1, 2, b"new"),)))
    core.step(
        B,
        Append(
            Term(1), LogIndex(0), Term(0), (entry(1, 1, b"old"),), LogIndex(0), 0, 1
        ),
    )
    answer = sent(core, AppendAnswer)[0]
    assert (answer.accepted, answer.term) == (False, 2)
    assert core.log.slice(1, 1)[0].data == b"new"


def test_leader_counts_its_own_entry_only_once_synced() -> None:
    """Guards against a commitment that only one of three replicas has on disk.

    One follower answers quickly while the leader's disk is slow.
    """
    replicas, leader, others = make_replicas()
    replicas.isolate(others[1])
    before = replicas.max_commit
    replicas.propose(leader)
    for _ in range(4):
        for name in (leader, others[0]):
            replicas.tick(name)
        replicas.sync(others[0])
        while replicas.network:
            replicas.deliver(0)
    assert replicas.max_commit == before
    replicas.sync(leader)
    assert replicas.max_commit == before + 1


def test_entry_of_an_older_term_is_not_committed_by_counting() -> None:
    """Guards against the loss of an entry that counted as committed.

    An entry of an older term can be on a quorum and still be overwritten.
    """
    core = make_leader_core(
        PersistentState(Term(3), A, FOUNDING, (entry(1, 1), entry(2, 2)))
    )
    core.step(B, AppendAnswer(Term(4), True, LogIndex(2), 0, 0, 0))
    assert core.commit == 0
    core.step(B, AppendAnswer(Term(4), True, LogIndex(3), 0, 0, 0))
    assert core.commit == 3


def test_read_waits_for_a_heartbeat_round() -> None:
    """Guards against an outdated read at a former leader.

    The leader was suspended, and its successor has accepted changes meanwhile.
    """
    replicas, leader, _ = make_replicas()
    replicas.freeze(leader, True)
    replicas.run(30)
    successor = max(replicas.leaders.items())[1]
    assert successor != leader
    replicas.propose(successor, 3)
    replicas.run(5)
    replicas.freeze(leader, False)
    core = replicas.nodes[leader].core
    assert core.role is Role.LEADER
    confirmed = replicas.confirmed_reads
    replicas.read(leader)
    replicas.settle()
    assert replicas.confirmed_reads == confirmed
    assert not replicas.nodes[leader].reads


def test_new_leader_defers_reads_until_its_first_entry_is_committed() -> None:
    """Guards against a read that misses a change accepted just before.

    The former leader crashed right after it, and its successor doesn't know the commit
    index yet.
    """
    core = make_leader_core(PersistentState(Term(1), None, FOUNDING, (entry(1, 1),)))
    core.read(7)
    core.step(B, AppendAnswer(Term(2), True, LogIndex(1), 9, 0, 0))
    assert not [o for o in core.take_outputs() if isinstance(o, ReadReady)]
    core.step(B, AppendAnswer(Term(2), True, LogIndex(2), 9, 0, 0))
    assert [o for o in core.take_outputs() if isinstance(o, ReadReady)] == [
        ReadReady(7, LogIndex(2))
    ]


def test_concurrent_reads_share_a_round() -> None:
    """Guards against one heartbeat round per read when many entry hosts read."""
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    for context in range(50):
        core.read(context)
    outputs = core.take_outputs()
    assert len([o for o in outputs if isinstance(o, Send)]) == 2
    assert not [o for o in outputs if isinstance(o, ReadReady)]


def test_concurrent_proposals_share_a_write() -> None:
    """Guards against one sync, and one message per follower, for each proposal."""
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    for number in range(64):
        core.propose([b"%d" % number])
    outputs = core.take_outputs()
    writes = [o for o in outputs if isinstance(o, Write)]
    assert [len(write.entries) for write in writes] == [64]
    assert len([o for o in outputs if isinstance(o, Send)]) == 2


def test_learner_is_not_counted() -> None:
    """Guards against learners that count for the quorum.

    Two learners receive the log; then two of the three voters crash.
    """
    replicas, leader, others = make_replicas()
    core = replicas.nodes[leader].core
    fresh = [replicas.add_host(host) for host in "de"]
    for name in fresh:
        wanted = changes.add_learner(core.configuration, name)
        assert replicas.change(leader, wanted)
        replicas.run(5)
    before = replicas.max_commit
    assert [replicas.nodes[name].core.commit for name in fresh] == [before, before]
    for name in others:
        replicas.crash(name)
    replicas.propose(leader)
    replicas.settle()
    replicas.tick(leader)
    replicas.settle()
    assert replicas.nodes[fresh[0]].core.log.last_index == before + 1
    assert replicas.max_commit == before


def test_learner_becomes_voter_only_when_caught_up() -> None:
    """Guards against a voter without the log, which blocks commits at the next loss."""
    replicas, leader, others = make_replicas()
    fresh = replicas.add_host("d")
    replicas.isolate(fresh)
    core = replicas.nodes[leader].core
    assert replicas.change(leader, changes.add_learner(core.configuration, fresh))
    replicas.propose(leader, 20)
    replicas.run(5)
    wanted = changes.promote(core.configuration, fresh)
    with pytest.raises(Unavailable, match="not caught up"):
        core.propose_configuration(wanted)
    replicas.cuts.clear()
    replicas.run(10)
    assert replicas.change(leader, wanted)
    replicas.run(3)
    assert fresh in replicas.voters()
    replicas.crash(others[0])
    before = replicas.max_commit
    replicas.propose(leader)
    replicas.run(3)
    assert replicas.max_commit == before + 1


@pytest.mark.parametrize(
    ("voters", "message"),
    [
        ((A, B, C, "d", "e"), "one voter only"),
        ((), "one voter only"),
    ],
)
def test_change_of_several_voters_is_refused(
    voters: tuple[ReplicaId, ...], message: str
) -> None:
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    with pytest.raises(Conflict, match=message):
        core.propose_configuration(Configuration(voters))


def test_second_change_waits_for_the_first() -> None:
    """Guards against quorums without a common replica.

    Two operators replace two replicas concurrently.
    """
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    core.propose_configuration(changes.add_learner(core.configuration, ReplicaId("d")))
    wanted = changes.add_learner(core.configuration, ReplicaId("e"))
    with pytest.raises(Conflict, match="is in progress"):
        core.propose_configuration(wanted)


def test_new_leader_refuses_changes_before_its_first_entry_is_committed() -> None:
    """Guards against two concurrent changes of the replica set.

    A partitioned leader has started one, and its successor starts another.
    """
    core = make_leader_core(PersistentState(Term(1), A, FOUNDING))
    with pytest.raises(Unavailable, match="not the leader, or not yet sure"):
        core.propose_configuration(changes.remove(ABC, C))


def test_leader_does_not_remove_itself() -> None:
    replicas, leader, _ = make_replicas()
    core = replicas.nodes[leader].core
    with pytest.raises(Conflict, match="transfer the leadership first"):
        core.propose_configuration(changes.remove(core.configuration, leader))


def test_transfer_needs_no_election_timeout() -> None:
    """Guards against an outage when a leader is stopped as planned."""
    replicas, leader, _ = make_replicas()
    replicas.propose(leader)
    replicas.transfer(leader)
    assert replicas.nodes[leader].core.propose([b"late"]) is None
    replicas.settle()
    assert replicas.leader() not in (None, leader)
    replicas.check_recovery()


def test_failed_transfer_ends() -> None:
    """Guards against a leader that refuses changes after its successor crashed."""
    replicas, leader, others = make_replicas()
    replicas.transfer(leader)
    successor = replicas.nodes[leader].core._state.successor
    replicas.crash(successor)
    replicas.network.clear()
    replicas.run(TIMING.election + 1)
    assert replicas.leader() == leader
    assert replicas.nodes[leader].core.propose([b"x"]) is not None


def test_follower_that_needs_discarded_entries_gets_the_snapshot() -> None:
    """Guards against a follower that can't catch up after a long downtime."""
    replicas, leader, others = make_replicas()
    replicas.crash(others[0])
    for _ in range(5):
        replicas.propose(leader, 3)
        replicas.run(2)
        replicas.compact(leader)
    replicas.settle()
    replicas.restart(others[0])
    replicas.run(15)
    assert replicas.nodes[others[0]].commands == replicas.nodes[leader].commands
    assert replicas.nodes[others[0]].disk.stored.snapshot.index > 0


def test_snapshot_carries_the_replica_set() -> None:
    """Guards against the loss of the replica set at a restart from a snapshot.

    The snapshot covers the entry that changed the set.
    """
    replicas, leader, others = make_replicas()
    fresh = replicas.add_host("d")
    core = replicas.nodes[leader].core
    replicas.change(leader, changes.add_learner(core.configuration, fresh))
    replicas.run(3)
    replicas.compact(leader)
    replicas.settle()
    replicas.crash(leader)
    replicas.restart(leader)
    assert replicas.nodes[leader].core.configuration.learners == (fresh,)


@pytest.mark.parametrize("behind", [3, 40])
def test_refusal_names_the_first_index_of_the_conflicting_term(behind: int) -> None:
    """Guards against one message per entry to find where the logs diverge.

    A former leader returns with entries that were never committed.
    """
    stored = PersistentState(
        Term(2), None, FOUNDING, tuple(entry(i, 2) for i in range(1, behind))
    )
    core = make_core(stored)
    message = Append(
        Term(5), LogIndex(behind - 1), Term(4), (), LogIndex(0), 0, sent_tick=1
    )
    core.step(B, message)
    answer = sent(core, AppendAnswer)[0]
    assert not answer.accepted
    assert (answer.hint_index, answer.hint_term) == (1, 2)


def test_follower_lease_counts_from_its_own_tick() -> None:
    """Guards against a lease that delayed heartbeats extend.

    They reach a partitioned follower long after they were sent.
    """
    replicas, leader, others = make_replicas()
    replicas.run(5)
    follower = replicas.nodes[others[0]]
    assert follower.core.lease() > 0
    late = Append(
        follower.core.term,
        follower.core.log.last_index,
        follower.core.log.last_term,
        (),
        follower.core.commit,
        0,
        sent_tick=0,
        echo_tick=follower.core._state.now,
    )
    replicas.isolate(others[0])
    for _ in range(TIMING.election + 1):
        replicas.tick(others[0])
        follower.core.step(leader, late)
    assert follower.core.lease() == 0


def test_follower_has_no_lease_before_it_applied_the_commits() -> None:
    """Guards against outdated reads at a follower.

    A heartbeat announces commits whose entries the follower hasn't received yet.
    """
    core = make_core(PersistentState(snapshot=FOUNDING))
    heartbeat = Append(
        Term(1), LogIndex(0), Term(0), (), LogIndex(0), 0, sent_tick=1, echo_tick=0
    )
    core.step(B, heartbeat)
    assert core.lease() > 0
    behind = msgspec.structs.replace(heartbeat, commit=LogIndex(7))
    other = make_core(PersistentState(snapshot=FOUNDING))
    other.step(B, behind)
    assert other.lease() == 0


def test_replica_with_a_lost_disk_has_no_vote_until_it_is_added() -> None:
    """Guards against the loss of an accepted change after the loss of a disk.

    The leader and one of two followers hold the change. The follower loses its disk and
    would, under its old name, elect the other follower without the change.
    """
    replicas, leader, others = make_replicas()
    replicas.isolate(others[1])
    replicas.propose(leader)
    replicas.run(2)
    fresh = replicas.lose_disk(others[0])
    assert fresh is not None
    replicas.crash(leader)
    replicas.cuts.clear()
    replicas.run(40)
    assert replicas.leader() is None
    replicas.restart(leader)
    replicas.check_recovery()
    core = replicas.nodes[leader].core
    assert replicas.leader() == leader
    assert replicas.change(leader, changes.add_learner(core.configuration, fresh))
    replicas.run(5)
    assert replicas.change(leader, changes.remove(core.configuration, others[0]))
    replicas.run(5)
    assert replicas.change(leader, changes.promote(core.configuration, fresh))
    replicas.run(5)
    # another host is lost right after the repair
    replicas.lose_disk(leader)
    replicas.check_recovery()


def test_single_replica_is_a_quorum() -> None:
    """Covers the demo, which starts a single replica with one command."""
    replicas, leader, _ = make_replicas(1)
    replicas.propose(leader, 3)
    replicas.settle()
    replicas.read(leader)
    assert replicas.confirmed_reads == 1
    assert replicas.max_commit == 4
    assert replicas.nodes[leader].core.lease() > 0
