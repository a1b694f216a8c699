"""Replicas in one process, with simulated links and disks that tests can break."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec
from tests.fake_files import FakeFiles

from ibishead.clock import SystemClock
from ibishead.control.agreement.raftstate import Timing
from ibishead.control.log.driver import ReplicaOptions
from ibishead.control.log.identity import Identity, replica_host
from ibishead.control.log.peering import Introduce, ReplicaMessage
from ibishead.control.log.replica import LogReplica
from ibishead.ids import HostId, ReplicaId
from ibishead.messages import PeerFrame

OPTIONS = ReplicaOptions(
    tick_seconds=0.01,
    timing=Timing(heartbeat=2, election=15),
    answer_timeout=2.0,
    repair_after=0.5,
    snapshot_entries=50,
    reserve_bytes=1,
)


class ListMachine:
    """Records the commands, and returns their number as each result."""

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
    """Delivers frames to the replicas on the other hosts."""

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
        self.cluster.on_deliver()
        if self.reaches(host) and not self.cluster.silent & {self.own, host}:
            self.cluster.hosts[host].replica.receive_frame(frame)


class SuspendableClock(SystemClock):
    """The system clock plus an offset that simulates a suspension of the process.

    :ivar frozen: seconds of all suspensions.
    """

    def __init__(self) -> None:
        self.frozen = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.frozen


@dataclass
class Host:
    """One running replica with its state machine, disk and clock."""

    replica: LogReplica
    machine: ListMachine
    files: FakeFiles
    clock: SuspendableClock


@dataclass
class Cluster:
    """The hosts of a cluster.

    :ivar names: all hosts.
    :ivar first: hosts of the initial voters.
    :ivar hosts: the running hosts, by name.
    :ivar cuts: pairs of sender and receiver without a link.
    :ivar silent: hosts whose links stay open but deliver nothing.
    :ivar on_deliver: called before each frame that is delivered.
    """

    names: list[HostId]
    first: tuple[HostId, ...]
    options: ReplicaOptions = OPTIONS
    hosts: dict[HostId, Host] = field(default_factory=dict)
    cuts: set[tuple[HostId, HostId]] = field(default_factory=set)
    silent: set[HostId] = field(default_factory=set)
    random: Random = field(default_factory=lambda: Random(1))
    on_deliver: Callable[[], None] = lambda: None

    async def start(self, host: HostId, files: FakeFiles | None = None) -> Host:
        files = files or FakeFiles(self.random.randrange(1000))
        machine = ListMachine()
        clock = SuspendableClock()
        replica = LogReplica(
            host,
            self.first,
            machine,
            files,
            FakeLinks(host, self),
            clock,
            self.random.randrange,
            lambda: f"{self.random.getrandbits(48):x}",
            self.options,
        )
        self.hosts[host] = Host(replica, machine, files, clock)
        await replica.start()
        return self.hosts[host]

    async def kill(self, host: HostId) -> FakeFiles:
        """Stop a replica, lose its unsynced data and return its disk."""
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
        """Return a running leader with a lease, if any."""
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
