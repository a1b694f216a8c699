"""Replicas of an in-memory log, each of which a test can partition from the others."""

import asyncio
from datetime import timedelta

from ibishead.control.log.machine import ReplicaSet
from ibishead.control.state import ControlState
from ibishead.errors import ErrorCode, Unavailable
from ibishead.ids import ReplicaId


class Group:
    """The shared log; the first replica that isn't partitioned is the leader."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.commands: list[bytes] = []
        self.replicas = {
            name: GroupReplica(self, ReplicaId(name), ControlState()) for name in names
        }

    def leader(self) -> "GroupReplica | None":
        linked = [r for r in self.replicas.values() if not r.cut]
        return linked[0] if 2 * len(linked) > len(self.replicas) else None


class GroupReplica:
    """One replica, which applies others' commands in a later event loop callback.

    :ivar cut: whether the replica is partitioned from the others.
    """

    def __init__(self, group: Group, name: ReplicaId, state: ControlState) -> None:
        self.cut = False
        self.transfers = 0
        self.name = name
        self.state = state
        self._group = group
        self._results: list[bytes] = []

    async def start(self) -> None:
        pass

    async def propose(self, command: bytes) -> bytes:
        self._require_quorum()
        self._group.commands.append(command)
        index = len(self._group.commands)
        for replica in self._group.replicas.values():
            if replica is not self:
                asyncio.get_running_loop().call_soon(replica.catch_up)
        self.catch_up()
        return self._results[index - 1]

    async def confirm_read(self) -> None:
        self._require_quorum()
        self.catch_up()

    def catch_up(self) -> None:
        while not self.cut and len(self._results) < len(self._group.commands):
            index = len(self._results)
            command = self._group.commands[index]
            self._results.append(self.state.apply(index + 1, command))

    def lease(self) -> float:
        return 0.0 if self.cut or self._group.leader() is None else 1.0

    def leader(self) -> ReplicaId | None:
        leader = self._group.leader()
        return None if self.cut or leader is None else leader.name

    def is_leader(self) -> bool:
        return self._group.leader() is self

    def replicas(self) -> ReplicaSet:
        return ReplicaSet(tuple(r.name for r in self._group.replicas.values()))

    async def transfer(self) -> None:
        self.transfers += 1
        raise Unavailable("no replica takes over", "wait")

    async def stop(self) -> None:
        self.cut = True

    def _require_quorum(self) -> None:
        if self.cut or self._group.leader() is None:
            raise Unavailable(
                "no quorum",
                "wait",
                code=ErrorCode.NO_QUORUM,
                retry_after=timedelta(seconds=1),
            )
