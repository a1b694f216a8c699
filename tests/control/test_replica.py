"""Replicas with disks and links: proposals, reads, leases, founding and repair."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest
import pytest_asyncio
from tests.control.replica_fakes import PACE, Cluster, ListMachine, wait_until
from tests.fake_files import FakeFiles

from ibishead.clock import SystemClock
from ibishead.control import configuration
from ibishead.control.folder import DataFolder
from ibishead.control.identity import Identity, replica_host
from ibishead.control.peering import Forward, FrameReader, PeerLinks
from ibishead.control.replica import LogReplica
from ibishead.errors import Conflict, ErrorCode, StorageFault, Unavailable
from ibishead.ids import HostId, ReplicaId
from ibishead.links import Endpoint, Link, LinkServer
from ibishead.messages import Hello, PeerFrame, Role

A, B, C, D = (HostId(name) for name in "abcd")


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Three voters and a host d, which runs nothing yet."""
    made = Cluster([A, B, C, D], (A, B, C))
    for host in (A, B, C):
        await made.start(host)
    await made.find_leader()
    yield made
    await made.stop()


def followers(cluster: Cluster) -> list[HostId]:
    leader = cluster.leader()
    return [host for host in cluster.hosts if host != leader]


def count_voters(cluster: Cluster, host: HostId) -> list[int]:
    """Return the sizes of all replica sets in a replica's log."""
    log = cluster.hosts[host].replica.core.log
    indexes = range(log.snapshot.index, log.last_index + 1)
    return [len(log.configuration_at(index).voters) for index in indexes]


async def test_command_is_applied_where_it_was_proposed(cluster: Cluster) -> None:
    await cluster.find_leader()
    for number, host in enumerate(list(cluster.hosts), start=1):
        found = cluster.hosts[host]
        assert await found.replica.propose(b"c%d" % number) == b"%d" % number
        assert found.machine.commands[-1] == f"c{number}"


async def test_many_waiters_share_a_sync(cluster: Cluster) -> None:
    """Forty operators and claims wait at once; each sync costs a disk's turn."""
    leader = cluster.hosts[await cluster.find_leader()]
    leader.files.operations.clear()
    await asyncio.gather(*(leader.replica.propose(b"%d" % n) for n in range(40)))
    syncs = [found for found in leader.files.operations if found.startswith("sync")]
    assert len(syncs) == 1


async def test_read_on_a_follower_sees_what_was_accepted(cluster: Cluster) -> None:
    leader = cluster.hosts[await cluster.find_leader()]
    follower = cluster.hosts[followers(cluster)[0]]
    for number in range(20):
        await leader.replica.propose(b"%d" % number)
        await follower.replica.confirm_read()
        assert follower.machine.commands[-1] == str(number)


async def test_cut_off_leader_serves_and_vouches_for_nothing(cluster: Cluster) -> None:
    """The leader is cut off silently; operators and entry hosts still reach it."""
    leader = await cluster.find_leader()
    old = cluster.hosts[leader].replica
    cluster.isolate(leader)
    await wait_until(lambda: not old.is_leader())
    assert old.lease() == 0
    with pytest.raises(Unavailable) as caught:
        await old.propose(b"lost")
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert caught.value.retry_after is not None
    with pytest.raises(Unavailable):
        await old.confirm_read()
    fresh = cluster.hosts[await cluster.find_leader()]
    assert await fresh.replica.propose(b"kept") == b"1"
    cluster.cuts.clear()
    await wait_until(lambda: cluster.hosts[leader].machine.commands == ["kept"])


@pytest.mark.parametrize(
    "vouches",
    [
        LogReplica.is_leader,
        lambda replica: replica.lease() > 0,
        lambda replica: replica.leader() is not None,
    ],
    ids=["is_leader", "lease", "leader"],
)
async def test_leader_that_wakes_vouches_for_nothing(
    cluster: Cluster, vouches: Callable[[LogReplica], bool]
) -> None:
    """A leader's process is frozen for seconds and goes on where it was."""
    leader = cluster.hosts[await cluster.find_leader()]
    assert vouches(leader.replica)
    leader.clock.frozen += 2 * PACE.election
    assert not vouches(leader.replica)


async def test_no_quorum_is_told_at_once(cluster: Cluster) -> None:
    """Two of three are gone; whoever asks is told when to come back."""
    await cluster.find_leader()
    for host in followers(cluster):
        await cluster.kill(host)
    replica = next(iter(cluster.hosts.values())).replica
    await wait_until(lambda: replica.leader() is None)
    with pytest.raises(Unavailable) as caught:
        await replica.propose(b"x")
    assert caught.value.code is ErrorCode.NO_QUORUM


@pytest.mark.parametrize(
    "ask",
    [lambda replica: replica.propose(b"x"), LogReplica.confirm_read],
    ids=["proposal", "read"],
)
async def test_question_does_not_outlast_the_leader_that_was_asked(
    ask: Callable[[LogReplica], Awaitable[object]],
) -> None:
    """A change is held at a leader that has stopped, though another one leads."""
    cluster = Cluster([A, B, C], (A, B, C), replace(PACE, answer=60.0))
    for host in (A, B, C):
        await cluster.start(host)
    lost = await cluster.find_leader()
    follower = cluster.hosts[followers(cluster)[0]].replica
    await wait_until(lambda: follower.leader() is not None)
    cluster.silent.add(lost)
    asked = asyncio.ensure_future(ask(follower))
    await wait_until(lambda: cluster.leader() not in (None, lost))
    await asyncio.wait({asked}, timeout=20 * PACE.election)
    ended = asked.done()
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)
    await cluster.stop()
    assert ended


async def test_replica_that_is_cut_off_soon_expects_no_leader(
    cluster: Cluster,
) -> None:
    """A replica that nobody reaches keeps its callers as long as in an election."""
    await cluster.find_leader()
    cut_off, other = (cluster.hosts[host].replica for host in followers(cluster))
    assert cut_off.expects_leader()
    cluster.isolate(followers(cluster)[0])
    await wait_until(lambda: cut_off.leader() is None)
    assert cut_off.expects_leader()
    await wait_until(lambda: not cut_off.expects_leader())
    assert other.expects_leader()
    cluster.cuts.clear()
    await wait_until(cut_off.expects_leader)


async def test_replica_expects_a_leader_until_the_log_is_founded() -> None:
    """All start for the first time, and the first change is refused again and again."""
    cluster = Cluster([A, B, C], (A, B, C))
    replica = (await cluster.start(A)).replica
    await asyncio.sleep(3 * PACE.election)
    assert replica.expects_leader()
    await cluster.stop()


async def test_follower_vouches_while_the_quorum_lives(cluster: Cluster) -> None:
    await cluster.find_leader()
    follower = cluster.hosts[followers(cluster)[0]].replica
    await wait_until(lambda: follower.lease() > 0)
    assert follower.lease() <= PACE.election
    cluster.isolate(followers(cluster)[0])
    await wait_until(lambda: follower.lease() == 0)


async def test_all_lose_power_and_keep_what_was_accepted(cluster: Cluster) -> None:
    """Hundreds of changes, then all hosts lose power; snapshots were taken."""
    leader = cluster.hosts[await cluster.find_leader()]
    for number in range(0, 180, 30):
        batch = (leader.replica.propose(b"%d" % n) for n in range(number, number + 30))
        await asyncio.gather(*batch)
    disks = {host: await cluster.kill(host) for host in list(cluster.hosts)}
    assert any(name.startswith("snapshot") for name in disks[A].names())
    for host, files in disks.items():
        await cluster.start(host, files)
    leader = cluster.hosts[await cluster.find_leader()]
    await leader.replica.confirm_read()
    assert leader.machine.commands == [str(number) for number in range(180)]


async def test_answer_to_an_earlier_life_is_none_to_this_one(cluster: Cluster) -> None:
    """A change is told as accepted by the answer to one from before a restart."""
    leader = await cluster.find_leader()
    host, other = followers(cluster)
    asker = cluster.hosts[host].replica
    await wait_until(lambda: asker.leader() is not None)
    cluster.cuts |= {(leader, other), (other, leader)}
    lost = asyncio.create_task(asker.propose(b"x"))
    await asyncio.sleep(0)
    files = await cluster.kill(host)
    with pytest.raises(Unavailable):
        await lost
    back = (await cluster.start(host, files)).replica
    # The leader's answer to the earlier life comes a few turns after its heartbeat
    while back.leader() is None:
        await asyncio.sleep(0)
    assert await back.propose(b"y") == b"2"
    assert cluster.hosts[host].machine.commands == ["x", "y"]


async def test_planned_stop_cuts_no_change_short(cluster: Cluster) -> None:
    """The leader hands over while changes wait on it."""
    leader = cluster.hosts[await cluster.find_leader()]
    waiting = [asyncio.create_task(leader.replica.propose(b"%d" % n)) for n in range(9)]
    await asyncio.sleep(0)
    await leader.replica.transfer()
    assert not leader.replica.is_leader()
    assert sorted(await asyncio.gather(*waiting)) == [b"%d" % n for n in range(1, 10)]


async def test_lost_disk_comes_back_as_a_new_replica(cluster: Cluster) -> None:
    """A host comes back with an empty disk; an operator replaces its old replica."""
    leader = await cluster.find_leader()
    await cluster.hosts[leader].replica.propose(b"kept")
    lost = followers(cluster)[0]
    old = cluster.hosts[lost].replica.name
    await cluster.kill(lost)
    fresh = await cluster.start(lost, FakeFiles())
    assert fresh.replica.name != old
    replica = cluster.hosts[leader].replica
    await wait_until(lambda: replica.founding.known[lost].replica == fresh.replica.name)
    assert await replica.change_replicas(old, lost) == fresh.replica.name
    assert old not in replica.replicas().voters
    await wait_until(lambda: fresh.machine.commands == ["kept"])


async def test_operator_replaces_through_a_follower(cluster: Cluster) -> None:
    """An operator's shell asks any replica; a spare takes over from a live one."""
    leader = await cluster.find_leader()
    spare = await cluster.start(D)
    one, other = followers(cluster)[:2]
    found = cluster.hosts[leader].replica.founding
    await wait_until(lambda: D in found.known)
    leaving = cluster.hosts[other].replica.name
    fresh = await cluster.hosts[one].replica.change_replicas(leaving, D)
    assert fresh == spare.replica.name
    voters = cluster.hosts[leader].replica.replicas().voters
    assert fresh in voters
    assert leaving not in voters
    assert min(count_voters(cluster, leader)) == 3


async def test_voter_does_not_replace_another(cluster: Cluster) -> None:
    """An operator names the wrong host; the set must not shrink to two."""
    leader = await cluster.find_leader()
    replica = cluster.hosts[leader].replica
    one, other = followers(cluster)
    await wait_until(lambda: other in replica.founding.known)
    with pytest.raises(Conflict, match="counts already"):
        await replica.change_replicas(cluster.hosts[one].replica.name, other)
    assert len(replica.replicas().voters) == 3


async def test_replaced_leader_hands_over_first(cluster: Cluster) -> None:
    """An operator replaces the leader; asked again, the next one removes it."""
    leader = await cluster.find_leader()
    replica = cluster.hosts[leader].replica
    spare = await cluster.start(D)
    await wait_until(lambda: D in replica.founding.known)
    with pytest.raises(Unavailable, match="handed over"):
        await replica.change_replicas(replica.name, D)
    await wait_until(lambda: not replica.is_leader())
    follower = cluster.hosts[await cluster.find_leader()].replica
    assert await follower.change_replicas(replica.name, D) == spare.replica.name
    assert replica.name not in follower.replicas().voters
    assert len(follower.replicas().voters) == 3


async def test_unattended_repair_then_a_second_host_is_lost(cluster: Cluster) -> None:
    """A host dies for good; a spare takes its place; then another host dies."""
    leader = await cluster.find_leader()
    await cluster.hosts[leader].replica.propose(b"before")
    await cluster.start(D)
    lost = followers(cluster)[0]
    old = cluster.hosts[lost].replica.name
    await cluster.kill(lost)
    replicas = cluster.hosts[leader].replica.replicas
    await wait_until(
        lambda: old not in replicas().voters and len(replicas().voters) == 3
    )
    assert max(count_voters(cluster, leader)) == 3
    await cluster.kill(leader)
    second = cluster.hosts[await cluster.find_leader()]
    assert await second.replica.propose(b"after") == b"2"
    assert second.machine.commands == ["before", "after"]


@pytest.mark.parametrize("taken", ["follower", "none"])
async def test_interrupted_replacement_is_finished(taken: str) -> None:
    """Nothing can be changed any more, for good, after a single loss."""
    names = [HostId(f"c{number}") for number in (1, 2, 3, 4)]
    pace = replace(PACE, readmit=True, voters=3)
    cluster = Cluster(names, tuple(names[:3]), pace)
    for name in names:
        await cluster.start(name)
    leader = await cluster.find_leader()
    replica = cluster.hosts[leader].replica
    await wait_until(lambda: len(replica.replicas().learners) == 1)
    # one change at a time: the learner's own must be committed before the next
    await wait_until(
        lambda: replica.core.applied >= replica.core.log.configuration_index
    )
    if taken == "follower":
        lost = next(v for v in replica.replicas().voters if v != replica.name)
        await replica.change_configuration(
            configuration.remove(replica.core.configuration, lost)
        )
    await wait_until(lambda: len(replica.replicas().voters) == 3)
    other = next(
        replica_host(v) for v in replica.replicas().voters if v != replica.name
    )
    await cluster.kill(other)
    async with asyncio.timeout(5.0):
        await cluster.hosts[await cluster.find_leader()].replica.propose(b"after")
    await cluster.stop()


async def test_answer_does_not_wait_for_the_full_disk_of_who_passed_it_on(
    cluster: Cluster,
) -> None:
    """A change is in force everywhere, and told as unknown where a disk is full."""
    await cluster.find_leader()
    full, other = (cluster.hosts[host] for host in followers(cluster))
    await wait_until(lambda: full.replica.leader() is not None)
    full.files.full = True
    assert await full.replica.propose(b"x", applied=False) == b"1"
    await wait_until(lambda: other.machine.commands == ["x"])
    assert full.machine.commands == []


async def test_full_disk_refuses_and_serves_again(cluster: Cluster) -> None:
    leader = cluster.hosts[await cluster.find_leader()]
    leader.files.full = True
    with pytest.raises(StorageFault) as caught:
        await leader.replica.propose(b"x")
    assert caught.value.code is ErrorCode.STORAGE_FULL
    leader.files.full = False
    assert await leader.replica.propose(b"y") == b"1"


async def test_failed_sync_stops_the_replica_and_not_the_others(
    cluster: Cluster,
) -> None:
    """One disk breaks; its replica must not answer from what may be gone."""
    leader = await cluster.find_leader()
    broken = cluster.hosts[leader]
    broken.files.sync_fails = True
    with pytest.raises(Unavailable):
        await broken.replica.propose(b"x")
    assert not broken.replica.is_leader()
    assert broken.replica.lease() == 0
    cluster.isolate(leader)
    fresh = cluster.hosts[await cluster.find_leader()]
    await fresh.replica.propose(b"y")
    assert fresh.machine.commands[-1] == "y"


async def test_new_hosts_wait_until_all_first_ones_are_there() -> None:
    """One first host starts late; two alone must not found a cluster."""
    cluster = Cluster([A, B, C], (A, B, C))
    for host in (A, B):
        await cluster.start(host)
    await asyncio.sleep(3 * PACE.election)
    assert cluster.leader() is None
    await cluster.start(C)
    await cluster.find_leader()
    await cluster.stop()


async def test_single_replica_needs_nobody() -> None:
    cluster = Cluster([A], (A,), replace(PACE, answer=30.0))
    host = await cluster.start(A)
    await cluster.find_leader()
    assert await host.replica.propose(b"x") == b"1"
    await host.replica.confirm_read()
    await cluster.stop()


async def propose_until_taken(replica: LogReplica, command: bytes) -> None:
    """Propose again while it is refused as not taken, as all callers do.

    On a starved machine the sync of a large command outlasts an election.
    """
    async with asyncio.timeout(30):
        while True:
            try:
                await replica.propose(command)
            except Unavailable as error:
                if error.code is not ErrorCode.NO_QUORUM:
                    raise
                await asyncio.sleep(replica.pace.tick)
            else:
                return


async def test_three_over_real_links_and_folders(tmp_path: Path) -> None:
    """The whole way: websocket links on loopback, files that are synced."""
    clock = SystemClock()
    replicas: dict[HostId, LogReplica] = {}
    machines: dict[HostId, ListMachine] = {}
    servers: dict[HostId, LinkServer] = {}
    endpoints: dict[HostId, Endpoint] = {}

    def make_server(host: HostId) -> LinkServer:
        async def receive(link: Link) -> None:
            async for message in link.receive():
                if isinstance(message, PeerFrame) and host in replicas:
                    replicas[host].receive_frame(message)

        return LinkServer(receive, lambda: Hello(Role.CONTROL, host), clock)

    for host in (A, B, C):
        servers[host] = make_server(host)
        endpoints[host] = await servers[host].start(Endpoint("127.0.0.1", 0))
    for number, host in enumerate((A, B, C)):
        others = {name: found for name, found in endpoints.items() if name != host}
        links = PeerLinks(others, Hello(Role.CONTROL, host), clock)
        machines[host] = ListMachine()
        replicas[host] = LogReplica(
            host,
            (A, B, C),
            machines[host],
            DataFolder(tmp_path / host),
            links,
            clock,
            lambda bound, number=number: (number * 7) % bound,
            lambda host=host: f"{host}1",
            replace(PACE, timing=replace(PACE.timing, election=40)),
        )
        await replicas[host].start()
    # the others hear of a new leader a moment after it leads
    await wait_until(lambda: all(r.leader() for r in replicas.values()))
    big = b"x" * 3_000_000
    for host in (A, B, C):
        await propose_until_taken(replicas[host], big)
    await replicas[A].confirm_read()
    assert len(machines[A].commands) == 3
    for host in (A, B, C):
        await replicas[host].stop()
        await servers[host].stop()


def test_message_in_parts_outlives_a_broken_link(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A link breaks within a snapshot; the next message must not be mixed with it."""
    sent: list[PeerFrame] = []
    links = PeerLinks({}, Hello(Role.CONTROL, A), SystemClock())

    class Catcher:
        closed = False

        def send(self, frame: PeerFrame) -> None:
            sent.append(frame)

    links._links[B] = Catcher()  # type: ignore[assignment]
    identity = Identity(ReplicaId("a.1"), "one")
    links.send(identity, ReplicaId("b.1"), Forward(1, bytes(2_500_000)))
    assert len(sent) == 3
    reader = FrameReader()
    assert reader.read(sent[0]) is None
    assert reader.read(sent[2]) is None
    results = [reader.read(frame) for frame in sent]
    assert results == [None, None, Forward(1, bytes(2_500_000))]
    # what the broken link left behind was never taken for a message
    assert not caplog.records
