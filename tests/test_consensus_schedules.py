"""Random schedules of events for the consensus, with invariants checked at each step.

There are two drivers: long schedules from a seed, which are cheap, and a rule-based
state machine, whose failures shrink to the relevant steps.
"""

import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from tests.raft_fakes import TIMING, Replicas

from ibishead.control.agreement import configuration as changes
from ibishead.control.agreement.peers import Configuration
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
