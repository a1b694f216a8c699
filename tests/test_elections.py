"""Duration of elections after the loss of the leader, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Iterator

import pytest

from ibishead.control.agreement.consensus import Consensus, PersistentState
from ibishead.control.agreement.peers import Configuration, Snapshot
from ibishead.control.agreement.raftstate import Role, Send, Timing, Write
from ibishead.ids import LogIndex, ReplicaId, Term

#: Duration of a tick in seconds, and the timing of a registry's log.
TICK_SECONDS = 0.1
TIMING = Timing(heartbeat=2, election=9, first_election=3)

#: Maximum phase difference in seconds between the ticks of voters founded together.
SKEW_SECONDS = 0.002

#: Seconds after which the leader stops; the first election has ended by then.
CALM_SECONDS = 5.0

#: Seconds without a leader that callers tolerate: their deadline is 4 s, of which the
#: attempt at the former leader takes 1 s.
MAX_OUTAGE_SECONDS = 3.0


class Timeline:
    """Simulation of replicas with nearly synchronous ticks and slow links and disks.

    :param delay: average duration of a message and of a sync, in seconds.
    """

    def __init__(self, count: int, delay: float, seed: int) -> None:
        self.draw = random.Random(seed)
        names = tuple(ReplicaId(f"r{number}") for number in range(count))
        founding = Snapshot(LogIndex(0), Term(0), Configuration(names))
        self.nodes = {
            name: Consensus(
                name, PersistentState(snapshot=founding), TIMING, self.draw.randrange
            )
            for name in names
        }
        self.delay = delay
        self._numbers = itertools.count()
        self._events: list[tuple] = []
        for name in names:
            self._schedule(self.draw.uniform(0, SKEW_SECONDS), name, "tick", None)

    def run(self) -> Iterator[float]:
        """Process events in order, and yield the time of each."""
        while True:
            now, _, name, event, payload = heapq.heappop(self._events)
            node = self.nodes.get(name)
            if node is None:
                continue
            match event:
                case "tick":
                    node.tick()
                    self._schedule(now + TICK_SECONDS, name, "tick", None)
                case "message":
                    node.step(*payload)
                case "sync":
                    node.synced(payload)
            self._handle_outputs(now, name)
            yield now

    def leaders(self) -> list[ReplicaId]:
        return [n for n, node in self.nodes.items() if node.role is Role.LEADER]

    def _handle_outputs(self, now: float, name: ReplicaId) -> None:
        while outputs := self.nodes[name].take_outputs():
            for output in outputs:
                ends = now + self.delay * self.draw.uniform(0.9, 1.1)
                match output:
                    case Send(to, message):
                        self._schedule(ends, to, "message", (name, message))
                    case Write(token):
                        self._schedule(ends, name, "sync", token)

    def _schedule(
        self, at: float, name: ReplicaId, event: str, payload: object
    ) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), name, event, payload))


@pytest.mark.parametrize(
    ("count", "lost", "delay"),
    [(3, 1, 0.0015), (5, 1, 0.0015), (5, 2, 0.0015), (3, 1, 0.06), (5, 2, 0.06)],
)
def test_lost_leader_is_replaced_in_time(count: int, lost: int, delay: float) -> None:
    """Guards against repeated split votes of voters with synchronous ticks."""
    longest = 0.0
    for seed in range(100):
        timeline = Timeline(count, delay, seed)
        times = timeline.run()
        stopped = next(t for t in times if t > CALM_SECONDS and timeline.leaders())
        removed = timeline.leaders()
        removed += [name for name in timeline.nodes if name not in removed]
        for name in removed[:lost]:
            del timeline.nodes[name]
        elected = next(t for t in times if timeline.leaders())
        longest = max(longest, elected - stopped)
    assert longest <= MAX_OUTAGE_SECONDS
