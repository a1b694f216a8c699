"""Three control servers over real sockets, on an in-memory log."""

import asyncio
import contextlib

import pytest

from ibishead.control.commands import encode_command
from ibishead.control.liveness import REATTACH_GRACE_SECONDS
from ibishead.control.server import ControlServer
from ibishead.errors import Unavailable
from ibishead.ids import Incarnation, TargetId
from ibishead.links import dial
from ibishead.messages import AskPermit, Hello, Role, Subscribe

from .group import Group
from .running import CLOCK, Running, follow, make_settings, poll, wait_for
from .support import make_registration

T1 = TargetId("t1")
NAMES = ("c1", "c2", "c3")


class ServerGroup:
    """Three replicas with their control servers."""

    def __init__(self, group: Group, servers: list[Running]) -> None:
        self.group = group
        self.servers = servers

    def replica(self, name: str):
        return self.group.replicas[name]

    async def lose(self, name: str) -> None:
        """Partition a replica, and stop its server."""
        self.replica(name).cut = True
        await self.servers[NAMES.index(name)].server.stop()

    def is_live(self) -> bool:
        return T1 in self.replica("c1").state.targets.members

    def find_replica(self) -> str:
        return self.replica("c1").state.targets.members[T1].replica


@pytest.fixture
async def trio(tmp_path):
    group = Group(NAMES)
    servers = []
    for name, replica in group.replicas.items():
        settings = make_settings(tmp_path, name)
        server = ControlServer(settings, replica.name, replica.state, replica, CLOCK)
        servers.append(Running(server, await server.start()))
    first = group.replicas["c1"].state
    await wait_for(lambda: set(first.replicas) == set(NAMES))
    yield ServerGroup(group, servers)
    for running in servers:
        await running.server.stop()


def start_agent(servers):
    """Start an agent's subscription, which registers on each connection."""
    background = set()

    async def connected() -> None:
        task = asyncio.create_task(agent.register(make_registration("n1").request))
        background.add(task)

    agent = follow(servers, Role.AGENT, "a1", connected)
    return agent


async def test_in_force_asks_the_other_replicas(trio):
    """Guards against a change reported in force before all replicas' holders have it.

    An entry host at another replica hasn't applied a change that c1 has accepted.
    """
    c1, c2, _ = trio.servers
    hello = Hello(Role.ENTRY, "e2")
    silent = await dial(c2.links, hello, CLOCK)
    silent.send(Subscribe(hello.host, hello.role))
    messages = silent.receive()
    await anext(messages)
    holder = follow([c2], Role.ENTRY, "e1")
    await wait_for(holder.is_current)
    status, accepted = await c1.submit("s1", 0)
    assert status == 200
    path = f"/v1/in-force?index={accepted['index']}"
    async for _ in poll():
        shown = await c1.read(path)
        if shown["waiting_for"] == ["e2"]:
            break
        assert not shown["in_force"]
    assert holder.catalog.find_document("raktar").record.revision == 1
    await silent.close()
    async for _ in poll(0.05):
        if (await c1.read(path))["in_force"]:
            break
    await holder.stop()


async def test_agent_moves_when_its_replica_dies(trio):
    """Guards against a new incarnation after the failure of a replica.

    Its agents attach to another replica and keep their incarnations.
    """
    _, c2, c3 = trio.servers
    agent = start_agent([c2, c3])
    await wait_for(trio.is_live)
    incarnation = trio.replica("c1").state.targets.members[T1].record.incarnation
    assert trio.find_replica() == "c2"
    await trio.lose("c2")
    await wait_for(lambda: trio.find_replica() == "c3")
    # longer than the grace period after which the target would be retired
    await asyncio.sleep(REATTACH_GRACE_SECONDS + 1.0)
    member = trio.replica("c1").state.targets.members[T1]
    assert member.record.incarnation == incarnation
    await agent.stop()


@pytest.mark.parametrize("former", ["c2", "c3"])
async def test_delayed_registration_over_a_former_link(trio, former):
    """Guards against the retirement of a target attached to the wrong replica.

    An agent has a new link when its registration over the former one is committed.
    """
    agent = start_agent([trio.servers[2]])
    await wait_for(trio.is_live)
    incarnation = trio.replica("c1").state.targets.members[T1].record.incarnation
    late = encode_command(make_registration("n1", replica=former))
    await trio.replica("c1").propose(late)
    await wait_for(lambda: trio.find_replica() == "c3")
    await asyncio.sleep(REATTACH_GRACE_SECONDS + 1.0)
    member = trio.replica("c1").state.targets.members[T1]
    assert (member.record.incarnation, member.replica) == (incarnation, "c3")
    await agent.stop()


async def test_target_that_dies_with_its_replica_is_retired(trio):
    _, c2, _ = trio.servers
    agent = start_agent([c2])
    await wait_for(trio.is_live)
    await agent.stop()
    await trio.lose("c2")
    await wait_for(lambda: not trio.is_live())


async def test_replica_without_a_quorum_disconnects_its_agents(trio):
    """Guards against agents that stay at a replica which can't commit changes.

    The replica is partitioned from the others, but not from its agents.
    """
    _, c2, c3 = trio.servers
    agent = start_agent([c2, c3])
    await wait_for(trio.is_live)
    incarnation = trio.replica("c1").state.targets.members[T1].record.incarnation
    await wait_for(agent.is_current)
    trio.replica("c2").cut = True
    async for _ in poll():
        if trio.find_replica() == "c3":
            break
        assert agent.is_current()
    member = trio.replica("c1").state.targets.members[T1]
    assert member.record.incarnation == incarnation
    await agent.stop()


@pytest.mark.parametrize(("number", "transfers"), [(0, 1), (1, 0)])
async def test_planned_stop_transfers_the_leadership(trio, number, transfers):
    """Guards against an election timeout without changes after a planned stop."""
    replica = trio.replica(NAMES[number])
    await trio.servers[number].server.stop()
    assert replica.transfers == transfers


async def test_permit_comes_through_a_follower(trio):
    _, c2, _ = trio.servers
    agent = start_agent([c2])
    await wait_for(trio.is_live)
    incarnation = trio.replica("c1").state.targets.members[T1].record.incarnation
    ask = AskPermit(T1, Incarnation(incarnation), 1, 1.0)
    async for _ in poll():
        with contextlib.suppress(Unavailable):
            assert (await agent.ask_permit(ask, 1.0)).lifetime > 0
            break
    await agent.stop()


async def test_partitioned_replica_refuses_operators(trio):
    """Guards against outdated answers of a replica without contact to the others."""
    c1, c2, _ = trio.servers
    await c1.submit("s1", 0)
    trio.replica("c2").cut = True
    assert (await c2.call("GET", "/v1/documents/raktar"))[0] == 503
    assert (await c2.call("GET", "/readyz"))[0] == 503
    assert (await c2.submit("s2", 1))[0] == 503
    status, accepted = await c1.submit("s3", 1)
    assert (status, accepted["revision"]) == (200, 2)
