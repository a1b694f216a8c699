"""Replacement of a silent voter while another replica loses its disk."""

import asyncio
from dataclasses import dataclass, replace
from enum import Enum

import pytest
from tests.control.replica_fakes import OPTIONS, Cluster, wait_until

from ibishead.control.log.identity import replica_host
from ibishead.errors import Unavailable
from ibishead.ids import HostId

FOUR = [HostId(f"c{number}") for number in (1, 2, 3, 4)]

#: Frames that are delivered, from the first entry of a replacement on, before a disk is
#: lost. A replacement takes about 20 frames.
STEPS = (0, 1, 2, 3, 4, 6, 8, 10, 12, 14, 16, 20, 24, 30)


class Part(Enum):
    """A replica's part in a replacement."""

    LEADER = "leader"
    FOLLOWER = "follower"
    NEW = "new"


@dataclass(frozen=True)
class Parts:
    """The replicas that answer during a replacement, and the silent one."""

    leader: HostId
    follower: HostId
    new: HostId
    silent: HostId


async def _silence_voter(cluster: Cluster, *, leads: bool) -> Parts:
    """Silence a voter, and return once its replacement is in the leader's log."""
    first = await cluster.find_leader()
    replica = cluster.hosts[first].replica
    await wait_until(
        lambda: (
            bool(replica.core.configuration.learners)
            and replica.core.commit >= replica.core.log.configuration_index
        )
    )
    await replica.propose(b"accepted")
    voters = [replica_host(voter) for voter in replica.core.configuration.voters]
    silent = first if leads else next(v for v in voters if v != first)
    cluster.silent.add(silent)
    answering = [voter for voter in voters if voter != silent]

    def find_repairing() -> HostId | None:
        for host in answering:
            core = cluster.hosts[host].replica.core
            changing = core.log.configuration_index > core.commit
            if changing and core.leader == cluster.hosts[host].replica.name:
                return host
        return None

    repairing: list[HostId] = []
    while not repairing:
        await asyncio.sleep(0)
        found = find_repairing()
        repairing += [found] if found is not None else []
    follower = next(host for host in answering if host != repairing[0])
    spare = next(host for host in FOUR if host not in voters)
    return Parts(repairing[0], follower, spare, silent)


async def _deliver_frames(cluster: Cluster, count: int) -> None:
    delivered = 0

    def record() -> None:
        nonlocal delivered
        delivered += 1

    cluster.on_deliver = record
    while delivered < count:
        await asyncio.sleep(0)
    cluster.on_deliver = lambda: None


async def _propose_anywhere(cluster: Cluster, command: bytes) -> HostId:
    while True:
        for host, found in list(cluster.hosts.items()):
            try:
                await found.replica.propose(command)
            except Unavailable:
                continue
            return host
        await asyncio.sleep(OPTIONS.tick_seconds)


@pytest.mark.parametrize("lost", Part)
@pytest.mark.parametrize(
    "leads", [False, True], ids=["follower-silent", "leader-silent"]
)
async def test_no_disk_lost_during_a_replacement_ends_the_quorum(
    leads: bool, lost: Part
) -> None:
    """Guards against a log without a quorum though one disk of four was lost."""
    options = replace(OPTIONS, replace_emptied=True, target_voters=3)
    for step in STEPS:
        cluster = Cluster(list(FOUR), tuple(FOUR[:3]), options)
        cluster.random.seed(step)
        for host in FOUR:
            await cluster.start(host)
        async with asyncio.timeout(20.0):
            parts = await _silence_voter(cluster, leads=leads)
            await _deliver_frames(cluster, step)
        emptied = HostId(getattr(parts, lost.value))
        await cluster.kill(emptied)
        await cluster.start(emptied)
        cluster.silent.clear()
        try:
            async with asyncio.timeout(5.0):
                host = await _propose_anywhere(cluster, b"after")
        except TimeoutError:
            pytest.fail(f"no quorum after {step} frames and the loss of {emptied}")
        assert cluster.hosts[host].machine.commands[0] == "accepted"
        await cluster.stop()
