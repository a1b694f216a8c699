"""Replicas on simulated disks and a simulated network, checked at every step.

Tests choose each event. `Replicas` raises `AssertionError` as soon as an invariant of
the consensus is violated.
"""

import json
import random
from dataclasses import dataclass, field

from ibishead.control.agreement.consensus import Consensus, PersistentState
from ibishead.control.agreement.peers import (
    Configuration,
    Entry,
    EntryKind,
    PeerMessage,
    Snapshot,
)
from ibishead.control.agreement.raftstate import (
    Apply,
    Output,
    ReadReady,
    ReadRefused,
    Restore,
    Role,
    Send,
    Timing,
    Write,
    has_quorum,
)
from ibishead.errors import Conflict, Unavailable
from ibishead.ids import LogIndex, ReplicaId, Term

TIMING = Timing(heartbeat=1, election=4, retain=2, append_bytes=40, window=6)
MAX_IN_FLIGHT = 120


class FakeDisk:
    """A disk that keeps synced writes and may lose unsynced ones in a crash."""

    def __init__(self, stored: PersistentState) -> None:
        self.stored = stored
        self.unsynced: list[Write] = []

    def sync(self) -> int:
        """Make all writes durable and return the last token."""
        token = self.unsynced[-1].token if self.unsynced else 0
        self.crash(survivors=len(self.unsynced))
        return token

    def crash(self, survivors: int) -> None:
        """Lose the unsynced writes except for the first ``survivors``."""
        for write in self.unsynced[:survivors]:
            self.stored = self._applied(write)
        self.unsynced.clear()

    def _applied(self, write: Write) -> PersistentState:
        snapshot = write.snapshot or self.stored.snapshot
        entries = () if write.reset else self.stored.entries
        if write.entries:
            first = write.entries[0].index
            preceding = tuple(entry for entry in entries if entry.index < first)
            entries = preceding + write.entries
        after = tuple(entry for entry in entries if entry.index > snapshot.index)
        return PersistentState(write.term, write.vote, snapshot, after)


@dataclass
class FakeReplica:
    """One replica with its disk and a state machine that records its commands.

    :ivar reads: for each pending read, the commit index when it was requested.
    """

    replica: ReplicaId
    disk: FakeDisk
    core: Consensus
    running: bool = True
    frozen: bool = False
    commands: list[tuple[int, str]] = field(default_factory=list)
    reads: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True)
class InFlight:
    """A message in transit."""

    sender: ReplicaId
    to: ReplicaId
    message: PeerMessage


class Replicas:
    """All replicas, with checks of the invariants.

    :param count: initial number of voters.
    :param seed: determines the random part of election timeouts.
    :ivar draw: source of all replicas' random numbers.
    """

    def __init__(self, count: int, seed: int = 0, timing: Timing = TIMING) -> None:
        self.timing = timing
        self.random = random.Random(seed)
        self.draw = self.random.randrange
        self.nodes: dict[ReplicaId, FakeReplica] = {}
        self.network: list[InFlight] = []
        self.cuts: set[tuple[ReplicaId, ReplicaId]] = set()
        self.leaders: dict[int, ReplicaId] = {}
        self.committed: dict[int, Entry] = {}
        self.max_commit = 0
        self.confirmed_reads = 0
        self.lost: set[ReplicaId] = set()
        self._number = 0
        names = tuple(ReplicaId(chr(ord("a") + i)) for i in range(count))
        founding = Snapshot(LogIndex(0), Term(0), Configuration(names))
        for name in names:
            self._start(name, FakeDisk(PersistentState(snapshot=founding)))

    # Events ------------------------------------------------------------------

    def tick(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            node.core.tick()
            self._handle_outputs(node)

    def campaign_early(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            node.core.campaign_early()
            self._handle_outputs(node)

    def sync(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen and node.disk.unsynced:
            node.core.synced(node.disk.sync())
            self._handle_outputs(node)

    def deliver(self, position: int, *, duplicate: bool = False) -> None:
        if not self.network:
            return
        position %= len(self.network)
        found = self.network[position]
        if not duplicate:
            del self.network[position]
        node = self.nodes.get(found.to)
        cut = (found.sender, found.to) in self.cuts
        if node is None or not node.running or cut:
            return
        if node.frozen:
            # messages to a frozen replica stay in its socket's buffer
            if not duplicate:
                self.network.append(found)
            return
        node.core.step(found.sender, found.message)
        self._handle_outputs(node)

    def drop(self, position: int) -> None:
        if self.network:
            del self.network[position % len(self.network)]

    def propose(self, name: ReplicaId, count: int = 1) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            commands = [self._next_command() for _ in range(count)]
            node.core.propose(commands)
            self._handle_outputs(node)

    def read(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            self._number += 1
            node.reads[self._number] = self.max_commit
            node.core.read(self._number)
            self._handle_outputs(node)

    def crash(self, name: ReplicaId, survivors: int = 0) -> None:
        node = self.nodes[name]
        if node.running:
            node.disk.crash(survivors % (len(node.disk.unsynced) + 1))
            node.running = False

    def restart(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if not node.running and name not in self.lost:
            self._start(name, node.disk)

    def lose_disk(self, name: ReplicaId) -> ReplicaId | None:
        """Lose a replica's disk, and start a new replica on its host.

        Does nothing and returns None if a quorum could be lost.
        """
        if not self._can_lose(name):
            return None
        self.nodes[name].running = False
        self.lost.add(name)
        return self.add_host(ReplicaId(name.split(".")[0]))

    def add_host(self, host: str) -> ReplicaId:
        """Start a replica with an empty data folder."""
        self._number += 1
        name = ReplicaId(f"{host}.{self._number}")
        self._start(name, FakeDisk(PersistentState()))
        return name

    def freeze(self, name: ReplicaId, frozen: bool) -> None:
        self.nodes[name].frozen = frozen

    def cut(self, sender: ReplicaId, to: ReplicaId) -> None:
        self.cuts.add((sender, to))

    def isolate(self, name: ReplicaId) -> None:
        """Cut the network between a replica and all others, in both directions."""
        for other in self.nodes:
            self.cuts |= {(name, other), (other, name)} if other != name else set()

    def transfer(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            node.core.transfer()
            self._handle_outputs(node)

    def compact(self, name: ReplicaId) -> None:
        node = self.nodes[name]
        if node.running and not node.frozen:
            data = json.dumps(node.commands).encode()
            node.core.compact(node.core.applied, data)
            self._handle_outputs(node)

    def change(self, name: ReplicaId, wanted: Configuration) -> bool:
        """Start a change of the replica set, and return whether it was accepted.

        A set without a quorum of surviving disks isn't proposed, as it would be an
        operator's error and no fault of the consensus.
        """
        node = self.nodes[name]
        if not node.running or node.frozen or not _keeps_quorum(wanted, self.lost):
            return False
        try:
            node.core.propose_configuration(wanted)
        except (Conflict, Unavailable):
            return False
        self._handle_outputs(node)
        return True

    # Sequences of events -----------------------------------------------------

    def run(self, rounds: int, until: int | None = None) -> None:
        """Advance time, with an intact network and fast disks.

        :param rounds: number of ticks.

        :param until: stop once this index is committed.
        """
        for _ in range(rounds):
            for name in list(self.nodes):
                self.tick(name)
            self.settle()
            if until is not None and self.max_commit >= until:
                return

    def settle(self) -> None:
        """Deliver and sync until no message is in transit."""
        for _ in range(400):
            for name, node in self.nodes.items():
                if node.disk.unsynced:
                    self.sync(name)
            waiting = [m for m in self.network if not self.nodes[m.to].frozen]
            if not waiting:
                return
            self.deliver(self.network.index(waiting[0]))

    def heal(self) -> None:
        """Remove all cuts, resume frozen replicas and restart crashed ones."""
        self.cuts.clear()
        for name, node in self.nodes.items():
            node.frozen = False
            self.restart(name)

    def leader(self) -> ReplicaId | None:
        """Return the running leader of the highest term."""
        leading = [
            node
            for node in self.nodes.values()
            if node.running and node.core.role is Role.LEADER
        ]
        found = max(leading, key=lambda node: node.core.term, default=None)
        return found.replica if found else None

    def voters(self) -> tuple[ReplicaId, ...]:
        """Return the voters according to the replica with the highest commit index."""
        furthest = max(self.nodes.values(), key=lambda node: node.core.commit)
        return furthest.core.configuration.voters

    def check_recovery(self) -> None:
        """Heal everything, and check that the replicas commit and retain a command."""
        self.heal()
        for _ in range(60):
            self.run(4)
            leader = self.leader()
            if leader is None:
                continue
            before = self.max_commit
            self.propose(leader)
            self.run(3)
            if self.max_commit > before:
                break
        else:
            raise AssertionError("no command was committed after all faults ended")
        self.run(6)
        leader = self.leader()
        assert leader is not None
        node = self.nodes[leader]
        expected = [
            (index, entry.data.decode())
            for index, entry in sorted(self.committed.items())
            if entry.kind is EntryKind.COMMAND
        ]
        assert node.commands == expected

    # Implementation ----------------------------------------------------------

    def _start(self, name: ReplicaId, disk: FakeDisk) -> None:
        core = Consensus(name, disk.stored, self.timing, lambda n: self.draw(n))
        node = FakeReplica(name, disk, core)
        self.nodes[name] = node
        self._restore(node, disk.stored.snapshot)
        self._handle_outputs(node)

    def _next_command(self) -> bytes:
        self._number += 1
        return b"c%d" % self._number

    def _handle_outputs(self, node: FakeReplica) -> None:
        for output in node.core.take_outputs():
            self._perform(node, output)
        self._check(node)

    def _perform(self, node: FakeReplica, output: Output) -> None:
        match output:
            case Send(to, message):
                self.network.append(InFlight(node.replica, to, message))
                del self.network[:-MAX_IN_FLIGHT]
            case Write():
                node.disk.unsynced.append(output)
            case Apply(entries):
                for entry in entries:
                    self._apply(node, entry)
            case Restore(snapshot):
                self._restore(node, snapshot)
            case ReadReady(context, index):
                self._check_read(node, context, index)
            case ReadRefused(context):
                node.reads.pop(context)

    def _apply(self, node: FakeReplica, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"committed entry {entry.index} changed"
        if entry.kind is EntryKind.COMMAND:
            node.commands.append((entry.index, entry.data.decode()))

    def _restore(self, node: FakeReplica, snapshot: Snapshot) -> None:
        found = json.loads(snapshot.data or b"[]")
        node.commands = [(index, command) for index, command in found]
        for index, command in node.commands:
            assert self.committed[index].data.decode() == command

    def _check_read(self, node: FakeReplica, context: int, index: int) -> None:
        accepted_before = node.reads.pop(context)
        assert index >= accepted_before, "a read misses an entry committed before it"
        self.confirmed_reads += 1

    def _check(self, node: FakeReplica) -> None:
        core = node.core
        self.max_commit = max(self.max_commit, core.commit)
        if core.role is Role.LEADER:
            known = self.leaders.setdefault(core.term, node.replica)
            assert known == node.replica, f"two leaders in term {core.term}"
        if core.term == max(self.leaders, default=0) and core.role is Role.LEADER:
            self._check_complete(core)

    def _check_complete(self, core: Consensus) -> None:
        last = max(self.committed, default=0)
        assert core.log.last_index >= last, "a new leader lacks a committed entry"
        term = core.log.term_at(last)
        if term is not None and last:
            assert term == self.committed[last].term, "a committed entry changed"

    def _can_lose(self, name: ReplicaId) -> bool:
        """Return whether all replica sets that may take effect retain a quorum."""
        lost = self.lost | {name}
        found = [
            c for node in self.nodes.values() for c in _list_replica_sets(node.core)
        ]
        return name not in self.lost and all(
            name not in c.all_voters or _keeps_quorum(c, lost) for c in found
        )


def _list_replica_sets(core: Consensus) -> list[Configuration]:
    """Return the latest committed replica set and those after it."""
    indexes = range(core.commit, core.log.last_index + 1)
    return [core.log.configuration_at(index) for index in indexes]


def _keeps_quorum(found: Configuration, lost: set[ReplicaId]) -> bool:
    return has_quorum(found, set(found.all_voters) - lost)
