"""What a registry tells each subscriber, and what it doesn't repeat."""

import asyncio
from types import SimpleNamespace

import pytest

from ibishead.clock import ManualClock
from ibishead.registry.publisher import MEMBERS_WAIT, FeedPublisher
from ibishead.registry.state import PutRoutes, RouteState, encode_command
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskRoutes,
    MemberKind,
    MemberRecord,
    Members,
    RouteNotice,
    RoutesAnswer,
    SignsOfLife,
    Statements,
    SubscribeFeed,
)
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import Registration, TargetState


class RecordingLink:
    """Keeps what is sent over it."""

    def __init__(self):
        self.sent = []
        self.peer = SimpleNamespace(host="peer")

    def send(self, message):
        self.sent.append(message)

    def list_members(self):
        told = [m for m in self.sent if isinstance(m, Members)]
        return [found.host for message in told for found in message.members]

    def list_of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


def make_member(host, kind, target=""):
    return MemberRecord(host, kind, "10.0.0.1", 7380, "zone", target=target)


def make_statement(target, address, sequence=1):
    return Registration(
        target, "s", address, "zone", 12, TargetState.READY, 1, sequence
    )


class World:
    """One registry's publisher, with its feed and state."""

    def __init__(self):
        own = make_member("r0", MemberKind.REGISTRY)
        self.state = RouteState()
        self.feed = RegistryFeed(own, (), ManualClock(), dialer=None)
        self.feed._keep = lambda _: None
        self.publisher = FeedPublisher(
            self.state, self.feed, None, lambda _: None, self.meet
        )
        self.state.on_change = self.publisher.tell_state

    def meet(self, member):
        self.publisher.tell_members(self.feed.meet((member,)), relayed=False)

    def hear(self, member):
        """Let another registry tell of a member."""
        self.publisher.tell_members(self.feed.meet((member,)), relayed=True)

    def subscribe(self, host, kind, target=""):
        link = RecordingLink()
        message = SubscribeFeed(make_member(host, kind, target))
        assert self.publisher.take(link, message)
        return link

    def put_routes(self, version):
        command = PutRoutes(RouteSet(version, (), ()), b"x")
        self.state.apply(version, encode_command(command))


@pytest.fixture
async def world():
    return World()


async def test_members_are_told_once(world):
    """Guards against the whole list to everybody at each arrival."""
    links = [world.subscribe(f"g{n}", MemberKind.GATEWAY) for n in range(5)]
    await asyncio.sleep(MEMBERS_WAIT * 1.5)
    late = world.subscribe("g5", MemberKind.GATEWAY)
    world.subscribe("g5", MemberKind.GATEWAY)
    await asyncio.sleep(MEMBERS_WAIT * 1.5)
    for number, link in enumerate(links):
        told = link.list_members()
        assert len(told) == len(set(told))
        assert set(told) | {f"g{number}"} == {"r0", *(f"g{n}" for n in range(6))}
    assert set(late.list_members()) == {"r0", *(f"g{n}" for n in range(6))}


async def test_registries_are_told_at_once(world):
    gateway = world.subscribe("g0", MemberKind.GATEWAY)
    world.subscribe("r1", MemberKind.REGISTRY)
    assert "r1" in gateway.list_members()


async def test_what_a_registry_told_goes_to_no_registry(world):
    """Guards against records of two lives of a host that circle without end."""
    registry = world.subscribe("r1", MemberKind.REGISTRY)
    gateway = world.subscribe("g0", MemberKind.GATEWAY)
    world.hear(make_member("r2", MemberKind.REGISTRY))
    assert "r2" in gateway.list_members()
    assert "r2" not in registry.list_members()


async def test_stewards_hear_of_registries_and_their_own_engine_only(world):
    """Guards against news that every side host takes and none of them needs."""
    steward = world.subscribe("s0", MemberKind.STEWARD, target="10.0.0.9:80")
    world.subscribe("g0", MemberKind.GATEWAY)
    world.subscribe("r1", MemberKind.REGISTRY)
    world.publisher.tell_own((make_statement("t1", "10.0.0.8:80"),))
    world.publisher.tell_others((make_statement("t0", "10.0.0.9:80"),))
    await asyncio.sleep(MEMBERS_WAIT * 1.5)
    assert set(steward.list_members()) == {"r0", "r1"}
    (statements,) = steward.list_of(Statements)
    assert [found.target for found in statements.registrations] == ["t0"]


async def test_signs_of_life_of_an_own_engine_reach_its_steward(world):
    steward = world.subscribe("s0", MemberKind.STEWARD, target="10.0.0.9:80")
    gateway = world.subscribe("g0", MemberKind.GATEWAY)
    world.publisher.note_life(make_statement("t0", "10.0.0.9:80"))
    world.publisher.note_life(make_statement("t1", "10.0.0.8:80"))
    task = asyncio.create_task(world.publisher.run())
    await asyncio.sleep(0.7)
    task.cancel()
    (to_steward,) = steward.list_of(SignsOfLife)
    (to_gateway,) = gateway.list_of(SignsOfLife)
    assert [found[0] for found in to_steward.targets] == ["t0"]
    assert len(to_gateway.targets) == 2


@pytest.mark.parametrize(("held", "base"), [(0, 0), (3, 3), (2, 0)])
async def test_routes_are_answered_by_what_the_asker_holds(world, held, base):
    link = world.subscribe("g0", MemberKind.GATEWAY)
    world.put_routes(3)
    world.put_routes(5)
    world.publisher.take(link, AskRoutes(held))
    assert [notice.version for notice in link.list_of(RouteNotice)] == [3, 5]
    (answer,) = link.list_of(RoutesAnswer)
    assert (answer.version, answer.base) == (5, base)
