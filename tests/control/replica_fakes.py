"""Replicas in one process, with links that can be cut and disks that can be lost."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec
from tests.fake_files import FakeFiles

from ibishead.clock import SystemClock
from ibishead.control.driver import Pace
from ibishead.control.identity import Identity, replica_host
from ibishead.control.peering import Introduce, ReplicaMessage
from ibishead.control.raftstate import Timing
from ibishead.control.replica import LogReplica
from ibishead.ids import HostId, ReplicaId
from ibishead.messages import PeerFrame

PACE = Pace(
    tick=0.01,
    timing=Timing(heartbeat=2, election=15),
    answer=2.0,
    repair=0.5,
    snapshot_entries=50,
    reserve=1,
)


class ListMachine:
    """Lists what it was given, and returns how much that is."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command.decode())
        return b"%d" % len(self.commands)

    def capture(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


@dataclass
class FakeLinks:
    """Hands frames to the replicas of the other hosts."""

    own: HostId
    cluster: "Cluster"

    @property
    def hosts(self) -> list[HostId]:
        return [host for host in self.cluster.names if host != self.own]

    def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def reaches(self, host: HostId) -> bool:
        cut = (self.own, host) in self.cluster.cuts
        return host in self.cluster.hosts and not cut

    def send(self, identity: Identity, to: ReplicaId, message: ReplicaMessage) -> bool:
        return self._send(identity, replica_host(to), to, message)

    def introduce(self, identity: Identity, host: HostId) -> None:
        self._send(identity, host, ReplicaId(""), Introduce(identity.founders))

    def _send(
        self, identity: Identity, host: HostId, to: ReplicaId, message: ReplicaMessage
    ) -> bool:
        if not self.reaches(host):
            return False
        data = msgspec.msgpack.encode(message)
        frame = PeerFrame(identity.cluster, identity.replica, to, data)
        asyncio.get_running_loop().call_soon(self._deliver, host, frame)
        return True

    def _deliver(self, host: HostId, frame: PeerFrame) -> None:
        if self.reaches(host) and not self.cluster.silent & {self.own, host}:
            self.cluster.hosts[host].replica.receive_frame(frame)


class LeapingClock(SystemClock):
    """The machine's clock, plus the time for which the process was frozen."""

    def __init__(self) -> None:
        self.frozen = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.frozen


@dataclass
class Host:
    """One running replica."""

    replica: LogReplica
    machine: ListMachine
    files: FakeFiles
    clock: LeapingClock


@dataclass
class Cluster:
    """Hosts by name; `hosts` holds those that run.

    :ivar silent: hosts whose links stay up and bring nothing any more.
    """

    names: list[HostId]
    first: tuple[HostId, ...]
    pace: Pace = PACE
    hosts: dict[HostId, Host] = field(default_factory=dict)
    cuts: set[tuple[HostId, HostId]] = field(default_factory=set)
    silent: set[HostId] = field(default_factory=set)
    random: Random = field(default_factory=lambda: Random(1))

    async def start(self, host: HostId, files: FakeFiles | None = None) -> Host:
        files = files or FakeFiles(self.random.randrange(1000))
        machine = ListMachine()
        clock = LeapingClock()
        replica = LogReplica(
            host,
            self.first,
            machine,
            files,
            FakeLinks(host, self),
            clock,
            self.random.randrange,
            lambda: f"{self.random.getrandbits(48):x}",
            self.pace,
        )
        self.hosts[host] = Host(replica, machine, files, clock)
        await replica.start()
        return self.hosts[host]

    async def kill(self, host: HostId) -> FakeFiles:
        """Stop a replica at once; what it has not synced is gone."""
        found = self.hosts.pop(host)
        await found.replica.stop()
        found.files.crash()
        return found.files

    def isolate(self, host: HostId) -> None:
        for other in self.names:
            self.cuts |= {(host, other), (other, host)}

    async def find_leader(self) -> HostId:
        await wait_until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        return leader

    def leader(self) -> HostId | None:
        """Return a leader whose quorum answers."""
        for host, found in self.hosts.items():
            if found.replica.is_leader() and found.replica.lease() > 0:
                return host
        return None

    async def stop(self) -> None:
        for host in list(self.hosts):
            await self.kill(host)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)
