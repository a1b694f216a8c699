"""Random schedules of events for the consensus, with invariants checked at each step.

There are two drivers: long schedules from a seed, which are cheap, and a rule-based
state machine, whose failures shrink to the relevant steps.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from tests.raft_fakes import TIMING, Replicas

from ibishead.control.agreement import configuration as changes
from ibishead.control.agreement.peers import Configuration
from ibishead.control.agreement.raftstate import Role
from ibishead.ids import ReplicaId


class RandomSchedule:
    """A random schedule generated from a seed."""

    def __init__(self, count: int, seed: int, weights: dict[str, int]) -> None:
        self.random = random.Random(seed)
        # odd seeds use a shorter timeout for the first election after startup
        early_election = replace(TIMING, first_election=2)
        self.replicas = Replicas(count, seed, early_election if seed % 2 else TIMING)
        self.weights = weights

    def run(self, steps: int) -> None:
        actions = [getattr(self, f"do_{name}") for name in self.weights]
        weights = list(self.weights.values())
        for action in self.random.choices(actions, weights, k=steps):
            action()
        self.replicas.check_recovery()

    def pick(self) -> ReplicaId:
        return self.random.choice(list(self.replicas.nodes))

    def pick_leader(self) -> ReplicaId:
        return self.replicas.leader() or self.pick()

    def do_tick(self) -> None:
        self.replicas.tick(self.pick())

    def do_campaign_early(self) -> None:
        self.replicas.campaign_early(self.pick())

    def do_tick_all(self) -> None:
        for name in self.replicas.nodes:
            self.replicas.tick(name)

    def do_deliver(self) -> None:
        for _ in range(self.random.randrange(1, 12)):
            in_order = self.random.random() < 0.7
            position = 0 if in_order else self.random.randrange(100)
            duplicate = self.random.random() < 0.05
            self.replicas.deliver(position, duplicate=duplicate)

    def do_drop(self) -> None:
        for _ in range(self.random.randrange(1, 6)):
            self.replicas.drop(self.random.randrange(100))

    def do_sync(self) -> None:
        self.replicas.sync(self.pick())

    def do_sync_all(self) -> None:
        for name in self.replicas.nodes:
            self.replicas.sync(name)

    def do_fault_free_period(self) -> None:
        self.replicas.run(self.random.randrange(1, 8))

    def do_propose(self) -> None:
        self.replicas.propose(self.pick(), self.random.randrange(1, 4))

    def do_propose_to_leader(self) -> None:
        self.replicas.propose(self.pick_leader(), self.random.randrange(1, 4))

    def do_read(self) -> None:
        prefer_leader = self.random.random() < 0.7
        self.replicas.read(self.pick_leader() if prefer_leader else self.pick())

    def do_crash(self) -> None:
        self.replicas.crash(self.pick(), self.random.randrange(4))

    def do_restart(self) -> None:
        self.replicas.restart(self.pick())

    def do_crash_and_restart(self) -> None:
        name = self.pick()
        self.replicas.crash(name, self.random.randrange(4))
        self.replicas.restart(name)

    def do_freeze(self) -> None:
        prefer_leader = self.random.random() < 0.5
        self.replicas.freeze(self.pick_leader() if prefer_leader else self.pick(), True)

    def do_resume(self) -> None:
        nodes = self.replicas.nodes
        frozen = [name for name, node in nodes.items() if node.frozen]
        if frozen:
            name = self.random.choice(frozen)
            self.replicas.freeze(name, False)
            # a deposed leader doesn't know yet that another one was elected
            self.replicas.read(name)
            self.replicas.propose(name)

    def do_cut(self) -> None:
        one, other = self.pick(), self.pick()
        self.replicas.cut(one, other)
        if self.random.random() < 0.5:
            self.replicas.cut(other, one)

    def do_heal_cuts(self) -> None:
        self.replicas.cuts.clear()

    def do_transfer(self) -> None:
        self.replicas.transfer(self.pick_leader())

    def do_compact(self) -> None:
        self.replicas.compact(self.pick())

    def do_lose_disk(self) -> None:
        self.replicas.lose_disk(self.pick())

    def do_add_learner(self) -> None:
        fresh = [n for n in self.replicas.nodes if n not in self.replicas.voters()]
        if fresh and self.replicas.leader():
            leader = self.pick_leader()
            current = self.replicas.nodes[leader].core.configuration
            wanted = changes.add_learner(current, self.random.choice(fresh))
            self.replicas.change(leader, wanted)

    def do_promote(self) -> None:
        leader = self.pick_leader()
        current = self.replicas.nodes[leader].core.configuration
        if current.learners:
            chosen = self.random.choice(current.learners)
            self.replicas.change(leader, changes.promote(current, chosen))

    def do_exchange(self) -> None:
        leader = self.pick_leader()
        current = self.replicas.nodes[leader].core.configuration
        others = [voter for voter in current.voters if voter != leader]
        if current.learners and others:
            lost = self.random.choice(others)
            chosen = self.random.choice(current.learners)
            self.replicas.change(leader, changes.exchange(current, lost, chosen))

    def do_remove(self) -> None:
        leader = self.pick_leader()
        current = self.replicas.nodes[leader].core.configuration
        others = [v for v in current.voters if v in self.replicas.lost]
        if len(current.voters) > 3:
            others += list(current.voters)
        if others:
            chosen = self.random.choice(others)
            self.replicas.change(leader, changes.remove(current, chosen))


#: Long periods without faults, with all kinds of faults in between.
MIXED = {
    "tick": 12,
    "campaign_early": 3,
    "tick_all": 10,
    "deliver": 40,
    "drop": 3,
    "sync": 8,
    "sync_all": 8,
    "fault_free_period": 6,
    "propose": 3,
    "propose_to_leader": 6,
    "read": 8,
    "crash": 2,
    "restart": 5,
    "freeze": 3,
    "resume": 3,
    "cut": 3,
    "heal_cuts": 2,
    "transfer": 2,
    "compact": 3,
    "lose_disk": 1,
    "add_learner": 4,
    "promote": 4,
    "exchange": 4,
    "remove": 3,
}

#: Frequent elections, with restarts and suspensions between vote and answer.
UNSTEADY = {
    "tick": 30,
    "campaign_early": 6,
    "tick_all": 8,
    "deliver": 30,
    "drop": 2,
    "sync": 14,
    "sync_all": 10,
    "propose_to_leader": 6,
    "read": 10,
    "crash_and_restart": 6,
    "freeze": 6,
    "resume": 4,
    "cut": 3,
    "heal_cuts": 2,
    "transfer": 3,
}


@pytest.mark.parametrize(
    ("count", "weights", "steps", "schedules"),
    [
        (1, MIXED, 60, 100),
        (3, MIXED, 150, 1000),
        (5, MIXED, 150, 300),
        (3, UNSTEADY, 250, 1000),
        (5, UNSTEADY, 250, 300),
    ],
    ids=["one", "three", "five", "three-unsteady", "five-unsteady"],
)
def test_seeded_schedules(
    count: int, weights: dict[str, int], steps: int, schedules: int
) -> None:
    """No mix of faults violates an invariant, and the replicas recover afterwards."""

    @settings(max_examples=schedules)
    @given(st.integers(0, 2**32))
    def run_schedule(seed: int) -> None:
        RandomSchedule(count, seed, weights).run(steps)

    run_schedule()


class Part(Enum):
    """A replica's part in an exchange of voters while another voter is silent."""

    LEADER = "leader"
    FOLLOWER = "follower"
    NEW = "new"


def start_exchange(seed: int, *, leads: bool) -> tuple[Replicas, dict[Part, ReplicaId]]:
    """Start to exchange a silent voter, the former leader or a follower, for a learner.

    :returns: the replicas, and those that answer by their parts.
    """
    replicas = Replicas(3, seed)
    replicas.run(20)
    first = replicas.leader()
    assert first is not None
    new = replicas.add_host("d")
    current = replicas.nodes[first].core.configuration
    assert replicas.change(first, changes.add_learner(current, new))
    replicas.propose(first)
    replicas.run(3)
    silent = first if leads else next(v for v in current.voters if v != first)
    replicas.freeze(silent, True)
    leader = first
    while leader == silent:
        replicas.run(1)
        answering = [v for v in current.voters if v != silent]
        leading = (v for v in answering if replicas.nodes[v].core.role is Role.LEADER)
        leader = next(leading, silent)
    replicas.run(3)
    current = replicas.nodes[leader].core.configuration
    assert replicas.change(leader, changes.exchange(current, silent, new))
    follower = next(v for v in current.voters if v not in (silent, leader))
    parts = {Part.LEADER: leader, Part.FOLLOWER: follower, Part.NEW: new}
    return replicas, parts


@pytest.mark.parametrize("leads", [False, True], ids=["follower", "leader"])
@pytest.mark.parametrize("part", Part)
@pytest.mark.parametrize("steps", range(0, 30, 2))
def test_any_disk_may_be_lost_during_an_exchange(
    steps: int, part: Part, leads: bool
) -> None:
    """Guards against a set between two others that tolerates fewer lost disks."""
    for seed in range(20):
        replicas, parts = start_exchange(seed, leads=leads)
        draw = random.Random(seed)
        names = list(parts.values())
        for _ in range(steps):
            if draw.random() < 0.5:
                replicas.deliver(draw.randrange(3))
            else:
                replicas.sync(draw.choice(names))
        assert replicas.lose_disk(parts[part]) is not None
        replicas.check_recovery()


@pytest.mark.parametrize(
    "apart", [Part.FOLLOWER, Part.NEW], ids=["former-voters", "new-voters"]
)
def test_joint_set_commits_only_with_both_majorities(apart: Part) -> None:
    """Guards against two leaders, one by the former voters and one by the new ones."""
    replicas, parts = start_exchange(0, leads=False)
    before = replicas.max_commit
    core = replicas.nodes[parts[Part.LEADER]].core
    (removed,) = set(core.configuration.outgoing) - set(core.configuration.voters)
    replicas.isolate(parts[apart])
    if apart is Part.NEW:
        replicas.isolate(parts[Part.FOLLOWER])
        replicas.freeze(removed, False)
    replicas.run(3)
    assert replicas.max_commit == before
    replicas.check_recovery()


@pytest.mark.parametrize("seed", range(40))
def test_exchange_is_completed_by_the_next_leader(seed: int) -> None:
    """Guards against a joint set that stays in force after its leader has crashed."""
    replicas, parts = start_exchange(seed, leads=False)
    leader = parts[Part.LEADER]
    while not any(
        replicas.nodes[name].core.configuration.outgoing
        for name in (parts[Part.FOLLOWER], parts[Part.NEW])
    ):
        replicas.deliver(0)
    replicas.crash(leader)
    replicas.heal()
    replicas.crash(leader)
    replicas.run(60)
    core = replicas.nodes[parts[Part.NEW]].core
    assert not core.configuration.outgoing
    assert core.commit >= core.log.configuration_index


@pytest.mark.parametrize("seed", range(40))
def test_removed_leader_hands_over_after_an_exchange(seed: int) -> None:
    """Guards against a leader without a vote that holds on to its leadership."""
    replicas, parts = start_exchange(seed, leads=False)
    leader = parts[Part.LEADER]
    core = replicas.nodes[leader].core
    (removed,) = set(core.configuration.outgoing) - set(core.configuration.voters)
    replicas.freeze(removed, False)
    while not replicas.nodes[removed].core.configuration.outgoing:
        replicas.tick(leader)
        waiting = [m for m in replicas.network if {m.to, m.sender} == {leader, removed}]
        if waiting:
            replicas.deliver(replicas.network.index(waiting[0]))
    replicas.sync(removed)
    replicas.crash(leader)
    # so no other log that is left holds the change
    replicas.network.clear()
    replicas.run(60, until=core.log.last_index)
    assert removed in replicas.leaders.values()
    replicas.restart(leader)
    replicas.run(60)
    assert replicas.leader() in parts.values()
    assert removed not in replicas.voters()
    replicas.check_recovery()


NAMES = st.integers(0, 7)


class ReplicasMachine(RuleBasedStateMachine):
    """The same events as rules, whose failures shrink."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas = Replicas(3, timing=replace(TIMING, first_election=2))
        self.replicas.run(12)

    def name(self, number: int) -> ReplicaId:
        names = list(self.replicas.nodes)
        return names[number % len(names)]

    @rule(rounds=st.integers(1, 6))
    def run_without_faults(self, rounds: int) -> None:
        self.replicas.run(rounds)

    @rule(number=NAMES, times=st.integers(1, 8))
    def tick(self, number: int, times: int) -> None:
        for _ in range(times):
            self.replicas.tick(self.name(number))

    @rule(number=NAMES)
    def campaign_early(self, number: int) -> None:
        self.replicas.campaign_early(self.name(number))

    @rule(position=st.integers(0, 20), times=st.integers(1, 8))
    def deliver(self, position: int, times: int) -> None:
        for _ in range(times):
            self.replicas.deliver(position)

    @rule(position=st.integers(0, 20))
    def duplicate(self, position: int) -> None:
        self.replicas.deliver(position, duplicate=True)

    @rule(position=st.integers(0, 20))
    def drop(self, position: int) -> None:
        self.replicas.drop(position)

    @rule(number=NAMES)
    def sync(self, number: int) -> None:
        self.replicas.sync(self.name(number))

    @rule(number=NAMES, count=st.integers(1, 3))
    def propose(self, number: int, count: int) -> None:
        self.replicas.propose(self.name(number), count)

    @rule(number=NAMES)
    def read(self, number: int) -> None:
        self.replicas.read(self.name(number))

    @rule(number=NAMES, survivors=st.integers(0, 2))
    def crash(self, number: int, survivors: int) -> None:
        self.replicas.crash(self.name(number), survivors)

    @rule(number=NAMES)
    def restart(self, number: int) -> None:
        self.replicas.restart(self.name(number))

    @rule(number=NAMES, frozen=st.booleans())
    def freeze(self, number: int, frozen: bool) -> None:
        self.replicas.freeze(self.name(number), frozen)

    @rule(sender=NAMES, to=NAMES, both=st.booleans())
    def cut(self, sender: int, to: int, both: bool) -> None:
        self.replicas.cut(self.name(sender), self.name(to))
        if both:
            self.replicas.cut(self.name(to), self.name(sender))

    @rule()
    def heal_cuts(self) -> None:
        self.replicas.cuts.clear()

    @rule(number=NAMES)
    def compact(self, number: int) -> None:
        self.replicas.compact(self.name(number))

    @rule(number=NAMES)
    def transfer(self, number: int) -> None:
        self.replicas.transfer(self.name(number))

    @rule(number=NAMES)
    def lose_disk(self, number: int) -> None:
        self.replicas.lose_disk(self.name(number))

    @rule(number=NAMES)
    def add_learner(self, number: int) -> None:
        self._change(lambda current: changes.add_learner(current, self.name(number)))

    @rule(number=NAMES)
    def promote(self, number: int) -> None:
        if self.name(number) in self._current().learners:
            self._change(lambda current: changes.promote(current, self.name(number)))

    @rule(number=NAMES, other=NAMES)
    def exchange(self, number: int, other: int) -> None:
        lost, replica = self.name(number), self.name(other)
        current = self._current()
        if lost in current.voters and replica in current.learners:
            self._change(lambda found: changes.exchange(found, lost, replica))

    @rule(number=NAMES)
    def remove(self, number: int) -> None:
        if len(self._current().voters) > 2:
            self._change(lambda current: changes.remove(current, self.name(number)))

    def teardown(self) -> None:
        self.replicas.check_recovery()

    def _current(self) -> Configuration:
        leader = self.replicas.leader() or self.name(0)
        return self.replicas.nodes[leader].core.configuration

    def _change(self, make: Callable[[Configuration], Configuration]) -> None:
        leader = self.replicas.leader()
        if leader:
            self.replicas.change(leader, make(self._current()))


TestReplicas = ReplicasMachine.TestCase
TestReplicas.settings = settings(max_examples=200, stateful_step_count=40)
