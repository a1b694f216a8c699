"""A single replica without a log or disk, for tests."""

from ibishead.control.log.machine import ReplicaSet, StateMachine
from ibishead.errors import Unavailable
from ibishead.ids import HostId, ReplicaId
from ibishead.messages import PeerFrame

__all__ = ["LoneReplica"]

#: Lease in seconds; the state is always current, as no other replica can change it.
LEASE = 3600.0


class LoneReplica:
    """Applies every command immediately, and keeps its state in memory only."""

    def __init__(self, name: ReplicaId, machine: StateMachine) -> None:
        self._name = name
        self._machine = machine
        self._index = 0

    async def start(self) -> None:
        """Return at once."""

    def receive_frame(self, frame: PeerFrame) -> None:
        """Drop it, as there are no others."""

    async def propose(self, command: bytes) -> bytes:
        """Apply the command and return its result."""
        self._index += 1
        return self._machine.apply(self._index, command)

    async def confirm_read(self) -> None:
        """Return at once."""

    def lease(self) -> float:
        """Return the seconds for which the state counts as current."""
        return LEASE

    def leader(self) -> ReplicaId | None:
        """Return this replica's name."""
        return self._name

    def is_leader(self) -> bool:
        """Return True, as a single replica always leads."""
        return True

    def replicas(self) -> ReplicaSet:
        """Return a replica set with this replica only."""
        return ReplicaSet((self._name,))

    async def transfer(self) -> None:
        """Refuse, as there is no other replica.

        :raises Unavailable: always.
        """
        raise Unavailable("no other replica exists", "run three replicas")

    async def change_replicas(self, lost: ReplicaId, host: HostId) -> ReplicaId:
        """Refuse, as the replica set can't change.

        :raises Unavailable: always.
        """
        raise Unavailable("a lone replica can't be replaced", "run three replicas")

    async def stop(self) -> None:
        """Return at once."""
