"""How long replicas are without a leader, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Iterator

import pytest

from ibishead.control.consensus import Consensus, Stored
from ibishead.control.peers import Configuration, Snapshot
from ibishead.control.raftstate import Role, Send, Timing, Write
from ibishead.ids import LogIndex, ReplicaId, Term

#: Seconds of a tick, and the timing of a registry's log.
TICK = 0.1
TIMING = Timing(heartbeat=2, election=9, first=3)

#: Seconds by which voters that were founded together are apart.
SKEW = 0.002

#: Seconds until the leader stops; the first election is over by then.
CALM = 5.0

#: Seconds without a leader that callers bear: they have four, of which one is lost to
#: the call that met the old leader.
LIMIT = 3.0


class Timeline:
    """Replicas that tick in step, with links and disks that take their time.

    :param delay: seconds that a message and a sync take.
    """

    def __init__(self, count: int, delay: float, seed: int) -> None:
        self.draw = random.Random(seed)
        names = tuple(ReplicaId(f"r{number}") for number in range(count))
        founding = Snapshot(LogIndex(0), Term(0), Configuration(names))
        self.nodes = {
            name: Consensus(
                name, Stored(snapshot=founding), TIMING, self.draw.randrange
            )
            for name in names
        }
        self.delay = delay
        self._numbers = itertools.count()
        self._due: list[tuple] = []
        for name in names:
            self._plan(self.draw.uniform(0, SKEW), name, "tick", None)

    def run(self) -> Iterator[float]:
        """Yield the time after each thing that has happened."""
        while True:
            now, _, name, what, told = heapq.heappop(self._due)
            node = self.nodes.get(name)
            if node is None:
                continue
            match what:
                case "tick":
                    node.tick()
                    self._plan(now + TICK, name, "tick", None)
                case "message":
                    node.step(*told)
                case "sync":
                    node.synced(told)
            self._take(now, name)
            yield now

    def leaders(self) -> list[ReplicaId]:
        return [n for n, node in self.nodes.items() if node.role is Role.LEADER]

    def _take(self, now: float, name: ReplicaId) -> None:
        while outputs := self.nodes[name].take_outputs():
            for output in outputs:
                taken = now + self.delay * self.draw.uniform(0.9, 1.1)
                match output:
                    case Send(to, message):
                        self._plan(taken, to, "message", (name, message))
                    case Write(token):
                        self._plan(taken, name, "sync", token)

    def _plan(self, when: float, name: ReplicaId, what: str, told: object) -> None:
        heapq.heappush(self._due, (when, next(self._numbers), name, what, told))


@pytest.mark.parametrize(
    ("count", "lost", "delay"),
    [(3, 1, 0.0015), (5, 1, 0.0015), (5, 2, 0.0015), (3, 1, 0.06), (5, 2, 0.06)],
)
def test_callers_are_not_left_without_a_leader_for_long(
    count: int, lost: int, delay: float
) -> None:
    """Voters in step elect nobody, several times in a row."""
    longest = 0.0
    for seed in range(100):
        timeline = Timeline(count, delay, seed)
        moments = timeline.run()
        stopped = next(t for t in moments if t > CALM and timeline.leaders())
        gone = timeline.leaders()
        gone += [name for name in timeline.nodes if name not in gone]
        for name in gone[:lost]:
            del timeline.nodes[name]
        elected = next(t for t in moments if timeline.leaders())
        longest = max(longest, elected - stopped)
    assert longest <= LIMIT
