"""Replicas with disks and links: proposals, reads, leases, founding and repair."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest
import pytest_asyncio
from tests.control.replica_fakes import OPTIONS, Cluster, ListMachine, wait_until
from tests.fake_files import FakeFiles

from ibishead.clock import SystemClock
from ibishead.control.agreement import configuration
from ibishead.control.agreement.raftstate import Timing
from ibishead.control.log.folder import DataFolder
from ibishead.control.log.identity import Identity, replica_host
from ibishead.control.log.peering import Forward, FrameReader, PeerLinks
from ibishead.control.log.replica import LogReplica
from ibishead.errors import Conflict, ErrorCode, StorageFault, Unavailable
from ibishead.ids import HostId, ReplicaId
from ibishead.links import Endpoint, Link, LinkServer
from ibishead.messages import Hello, PeerFrame, Role

A, B, C, D = (HostId(name) for name in "abcd")


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Three voters and a host d without a running replica."""
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
    """Return the number of voters at each index of a replica's log."""
    log = cluster.hosts[host].replica.core.log
    indexes = range(log.snapshot.index, log.last_index + 1)
    return [len(log.configuration_at(index).voters) for index in indexes]


async def test_propose_returns_once_applied_locally(cluster: Cluster) -> None:
    await cluster.find_leader()
    for number, host in enumerate(list(cluster.hosts), start=1):
        found = cluster.hosts[host]
        assert await found.replica.propose(b"c%d" % number) == b"%d" % number
        assert found.machine.commands[-1] == f"c{number}"


async def test_concurrent_proposals_share_a_sync(cluster: Cluster) -> None:
    """Guards against one sync, at the latency of the disk, for each of 40 proposals."""
    leader = cluster.hosts[await cluster.find_leader()]
    leader.files.operations.clear()
    await asyncio.gather(*(leader.replica.propose(b"%d" % n) for n in range(40)))
    syncs = [found for found in leader.files.operations if found.startswith("sync")]
    assert len(syncs) == 1


async def test_read_on_a_follower_sees_accepted_changes(cluster: Cluster) -> None:
    leader = cluster.hosts[await cluster.find_leader()]
    follower = cluster.hosts[followers(cluster)[0]]
    for number in range(20):
        await leader.replica.propose(b"%d" % number)
        await follower.replica.confirm_read()
        assert follower.machine.commands[-1] == str(number)


async def test_partitioned_leader_refuses_all_requests(cluster: Cluster) -> None:
    """Guards against accepted changes and outdated reads at a partitioned leader.

    The leader gets no notice of the partition, and operators and entry hosts still
    reach it.
    """
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
    "claims_authority",
    [
        LogReplica.is_leader,
        lambda replica: replica.lease() > 0,
        lambda replica: replica.leader() is not None,
    ],
    ids=["is_leader", "lease", "leader"],
)
async def test_leader_resumed_after_a_suspension_has_no_authority(
    cluster: Cluster, claims_authority: Callable[[LogReplica], bool]
) -> None:
    """Guards against a leader that was replaced while its process was suspended."""
    leader = cluster.hosts[await cluster.find_leader()]
    assert claims_authority(leader.replica)
    leader.clock.frozen += 2 * OPTIONS.election_timeout
    assert not claims_authority(leader.replica)


async def test_loss_of_the_quorum_is_answered_at_once(cluster: Cluster) -> None:
    """Guards against callers that wait for a time-out while two of three are down."""
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
async def test_forwarded_request_fails_when_its_leader_is_replaced(
    ask: Callable[[LogReplica], Awaitable[object]],
) -> None:
    """Guards against a request that waits for a lost leader until its time-out.

    The links to the lost leader stay open, and another replica already leads.
    """
    cluster = Cluster([A, B, C], (A, B, C), replace(OPTIONS, answer_timeout=60.0))
    for host in (A, B, C):
        await cluster.start(host)
    lost = await cluster.find_leader()
    follower = cluster.hosts[followers(cluster)[0]].replica
    await wait_until(lambda: follower.leader() is not None)
    cluster.silent.add(lost)
    request = asyncio.ensure_future(ask(follower))
    await wait_until(lambda: cluster.leader() not in (None, lost))
    await asyncio.wait({request}, timeout=20 * OPTIONS.election_timeout)
    ended = request.done()
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await cluster.stop()
    assert ended


async def test_partitioned_replica_expects_no_leader_after_an_election_timeout(
    cluster: Cluster,
) -> None:
    """Guards against callers that wait at a partitioned replica as in an election."""
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
    """Guards against refused changes while all replicas start for the first time."""
    cluster = Cluster([A, B, C], (A, B, C))
    replica = (await cluster.start(A)).replica
    await asyncio.sleep(3 * OPTIONS.election_timeout)
    assert replica.expects_leader()
    await cluster.stop()


async def test_follower_has_a_lease_while_it_reaches_the_quorum(
    cluster: Cluster,
) -> None:
    await cluster.find_leader()
    follower = cluster.hosts[followers(cluster)[0]].replica
    await wait_until(lambda: follower.lease() > 0)
    assert follower.lease() <= OPTIONS.election_timeout
    cluster.isolate(followers(cluster)[0])
    await wait_until(lambda: follower.lease() == 0)


async def test_power_loss_on_all_hosts_keeps_accepted_changes(
    cluster: Cluster,
) -> None:
    """Guards against lost changes after 180 of them, with snapshots in between."""
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


async def test_answer_from_before_a_restart_is_ignored(cluster: Cluster) -> None:
    """Guards against a change reported as accepted by another request's answer.

    The answer belongs to a request sent before the replica was restarted.
    """
    leader = await cluster.find_leader()
    host, other = followers(cluster)
    follower = cluster.hosts[host].replica
    await wait_until(lambda: follower.leader() is not None)
    cluster.cuts |= {(leader, other), (other, leader)}
    lost = asyncio.create_task(follower.propose(b"x"))
    await asyncio.sleep(0)
    files = await cluster.kill(host)
    with pytest.raises(Unavailable):
        await lost
    restarted = (await cluster.start(host, files)).replica
    # the leader's answer to the earlier request arrives shortly after its heartbeat
    while restarted.leader() is None:
        await asyncio.sleep(0)
    assert await restarted.propose(b"y") == b"2"
    assert cluster.hosts[host].machine.commands == ["x", "y"]


async def test_transfer_completes_pending_changes(cluster: Cluster) -> None:
    """Guards against failed changes when the leader transfers its leadership."""
    leader = cluster.hosts[await cluster.find_leader()]
    waiting = [asyncio.create_task(leader.replica.propose(b"%d" % n)) for n in range(9)]
    await asyncio.sleep(0)
    await leader.replica.transfer()
    assert not leader.replica.is_leader()
    assert sorted(await asyncio.gather(*waiting)) == [b"%d" % n for n in range(1, 10)]


async def test_lost_disk_is_replaced_by_a_new_replica(cluster: Cluster) -> None:
    """Guards against a host that can't return after the loss of its disk.

    It starts with an empty disk, and an operator replaces its former replica.
    """
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


async def test_follower_forwards_a_replacement(cluster: Cluster) -> None:
    """Guards against a replacement that only the leader can perform.

    The operator command line asks any replica; here a spare replaces a live voter, and
    the set must never shrink.
    """
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
    """Guards against a set that shrinks to two when an operator names a wrong host."""
    leader = await cluster.find_leader()
    replica = cluster.hosts[leader].replica
    one, other = followers(cluster)
    await wait_until(lambda: other in replica.founding.known)
    with pytest.raises(Conflict, match="is a voter already"):
        await replica.change_replicas(cluster.hosts[one].replica.name, other)
    assert len(replica.replicas().voters) == 3


async def test_replaced_leader_transfers_its_leadership_first(
    cluster: Cluster,
) -> None:
    """Guards against a leader that can't be replaced, as it can't remove itself.

    The operator repeats the command, and the new leader removes the former one.
    """
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
    """Guards against the loss of the quorum by two failures in succession.

    A host is lost permanently, a spare replaces it, and then another host is lost.
    """
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
    """Guards against a permanent loss of the quorum after a single failure.

    A replacement is interrupted after the removal of a voter. Nothing is silent then,
    and the learner must be promoted.
    """
    names = [HostId(f"c{number}") for number in (1, 2, 3, 4)]
    options = replace(OPTIONS, replace_emptied=True, target_voters=3)
    cluster = Cluster(names, tuple(names[:3]), options)
    for name in names:
        await cluster.start(name)
    leader = await cluster.find_leader()
    replica = cluster.hosts[leader].replica
    await wait_until(lambda: len(replica.replicas().learners) == 1)
    # the addition of the learner must be committed before the next change
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


async def test_answer_does_not_wait_for_the_full_disk_of_a_forwarding_replica(
    cluster: Cluster,
) -> None:
    """Guards against a committed change whose outcome is reported as unknown.

    The replica that forwarded it can't apply it, as its own disk is full.
    """
    await cluster.find_leader()
    full, other = (cluster.hosts[host] for host in followers(cluster))
    await wait_until(lambda: full.replica.leader() is not None)
    full.files.full = True
    assert await full.replica.propose(b"x", applied=False) == b"1"
    await wait_until(lambda: other.machine.commands == ["x"])
    assert full.machine.commands == []


async def test_full_disk_refuses_changes_until_space_is_freed(
    cluster: Cluster,
) -> None:
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
    """Guards against answers from unsynced state after a disk failure."""
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


async def test_cluster_is_founded_only_by_all_initial_hosts() -> None:
    """Guards against a cluster founded by two of three hosts when one starts late."""
    cluster = Cluster([A, B, C], (A, B, C))
    for host in (A, B):
        await cluster.start(host)
    await asyncio.sleep(3 * OPTIONS.election_timeout)
    assert cluster.leader() is None
    await cluster.start(C)
    await cluster.find_leader()
    await cluster.stop()


async def test_single_replica_is_a_quorum() -> None:
    cluster = Cluster([A], (A,), replace(OPTIONS, answer_timeout=30.0))
    host = await cluster.start(A)
    await cluster.find_leader()
    assert await host.replica.propose(b"x") == b"1"
    await host.replica.confirm_read()
    await cluster.stop()


async def propose_until_accepted(replica: LogReplica, command: bytes) -> None:
    """Repeat a proposal while it is refused as not accepted, as all callers do.

    On an overloaded machine the sync of a large command outlasts an election.
    """
    async with asyncio.timeout(30):
        while True:
            try:
                await replica.propose(command)
            except Unavailable as error:
                if error.code is not ErrorCode.NO_QUORUM:
                    raise
                await asyncio.sleep(replica.options.tick_seconds)
            else:
                return


#: Three replicas on one event loop delay each other by each sync of a large entry, so
#: after the first election none may follow.
SLOW_ELECTIONS = Timing(heartbeat=2, election=3000, first_election=40)


async def test_three_over_real_links_and_folders(tmp_path: Path) -> None:
    """Covers the real links and files: websockets on loopback, synced folders."""
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
            replace(OPTIONS, timing=SLOW_ELECTIONS, answer_timeout=60.0),
        )
        await replicas[host].start()
    # the followers learn of a new leader shortly after its election
    await wait_until(lambda: all(r.leader() for r in replicas.values()))
    big = b"x" * 3_000_000
    for host in (A, B, C):
        await propose_until_accepted(replicas[host], big)
    await replicas[A].confirm_read()
    assert len(machines[A].commands) == 3
    for host in (A, B, C):
        await replicas[host].stop()
        await servers[host].stop()


def test_parts_of_an_interrupted_message_are_discarded(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a message assembled from parts of two messages.

    A link is lost within the first one, such as a snapshot.
    """
    sent: list[PeerFrame] = []
    links = PeerLinks({}, Hello(Role.CONTROL, A), SystemClock())

    class FakeLink:
        closed = False

        def send(self, frame: PeerFrame) -> None:
            sent.append(frame)

    links._links[B] = FakeLink()  # type: ignore[assignment]
    identity = Identity(ReplicaId("a.1"), "one")
    links.send(identity, ReplicaId("b.1"), Forward(1, bytes(2_500_000)))
    assert len(sent) == 3
    reader = FrameReader()
    assert reader.read(sent[0]) is None
    assert reader.read(sent[2]) is None
    results = [reader.read(frame) for frame in sent]
    assert results == [None, None, Forward(1, bytes(2_500_000))]
    # the parts of the interrupted message were never decoded
    assert not caplog.records
