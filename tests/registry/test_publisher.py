"""Which updates a registry sends to each subscriber, and which it omits."""

import asyncio
from types import SimpleNamespace

import pytest

from ibishead.clock import ManualClock
from ibishead.ids import PartKey
from ibishead.registry.commands import BlockPart, PutRoutes, ReleasePart, encode_command
from ibishead.registry.publisher import MEMBERS_BATCH_SECONDS, FeedPublisher
from ibishead.registry.state import RouteState
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskRoutes,
    BlockedParts,
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
    """Records the messages that are sent over it."""

    def __init__(self):
        self.sent = []
        self.peer = SimpleNamespace(host="peer")

    def send(self, message):
        self.sent.append(message)

    def list_members(self):
        messages = [m for m in self.sent if isinstance(m, Members)]
        return [found.host for message in messages for found in message.members]

    def list_of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


def make_member(host, kind, target=""):
    return MemberRecord(host, kind, "10.0.0.1", 7380, "zone", target=target)


def make_registration(target, address, sequence=1):
    return Registration(
        target, "s", address, "zone", 12, TargetState.READY, 1, sequence
    )


class Scene:
    """One registry's publisher, with its feed and state."""

    def __init__(self):
        own = make_member("r0", MemberKind.REGISTRY)
        self.state = RouteState()
        self.feed = RegistryFeed(own, (), ManualClock(), dialer=None)
        self.feed._ensure_link = lambda _: None
        self.publisher = FeedPublisher(
            self.state,
            self.feed,
            None,
            lambda _: None,
            self.meet,
            lambda *_: None,
            lambda _: None,
            None,
        )
        self.state.on_change = self.publisher.publish_state

    def meet(self, member):
        self.publisher.publish_members(
            self.feed.merge_members((member,)), relayed=False
        )

    def receive_relayed(self, member):
        """Add a member as if another registry had sent it."""
        self.publisher.publish_members(self.feed.merge_members((member,)), relayed=True)

    def subscribe(self, host, kind, target=""):
        link = RecordingLink()
        message = SubscribeFeed(make_member(host, kind, target))
        assert self.publisher.handle_message(link, message)
        return link

    def put_routes(self, version):
        command = PutRoutes(RouteSet(version, (), ()), b"x")
        self.state.apply(version, encode_command(command))


@pytest.fixture
async def scene():
    return Scene()


async def test_each_member_is_sent_once(scene):
    """Guards against sending all members to all subscribers at each subscription."""
    links = [scene.subscribe(f"g{n}", MemberKind.GATEWAY) for n in range(5)]
    await asyncio.sleep(MEMBERS_BATCH_SECONDS * 1.5)
    late = scene.subscribe("g5", MemberKind.GATEWAY)
    scene.subscribe("g5", MemberKind.GATEWAY)
    await asyncio.sleep(MEMBERS_BATCH_SECONDS * 1.5)
    for number, link in enumerate(links):
        sent_hosts = link.list_members()
        assert len(sent_hosts) == len(set(sent_hosts))
        assert set(sent_hosts) | {f"g{number}"} == {"r0", *(f"g{n}" for n in range(6))}
    assert set(late.list_members()) == {"r0", *(f"g{n}" for n in range(6))}


async def test_registries_are_announced_at_once(scene):
    gateway = scene.subscribe("g0", MemberKind.GATEWAY)
    scene.subscribe("r1", MemberKind.REGISTRY)
    assert "r1" in gateway.list_members()


async def test_relayed_members_are_not_sent_to_registries(scene):
    """Guards against records of two incarnations of a host being forwarded forever."""
    registry = scene.subscribe("r1", MemberKind.REGISTRY)
    gateway = scene.subscribe("g0", MemberKind.GATEWAY)
    scene.receive_relayed(make_member("r2", MemberKind.REGISTRY))
    assert "r2" in gateway.list_members()
    assert "r2" not in registry.list_members()


async def test_stewards_receive_only_registries_and_their_own_engine(scene):
    """Guards against updates that every steward receives and none of them needs."""
    steward = scene.subscribe("s0", MemberKind.STEWARD, target="10.0.0.9:80")
    scene.subscribe("g0", MemberKind.GATEWAY)
    scene.subscribe("r1", MemberKind.REGISTRY)
    scene.publisher.publish_registrations((make_registration("t1", "10.0.0.8:80"),))
    scene.publisher.relay_registrations((make_registration("t0", "10.0.0.9:80"),))
    await asyncio.sleep(MEMBERS_BATCH_SECONDS * 1.5)
    assert set(steward.list_members()) == {"r0", "r1"}
    (statements,) = steward.list_of(Statements)
    assert [found.target for found in statements.registrations] == ["t0"]


async def test_steward_receives_heartbeats_of_its_own_engine(scene):
    steward = scene.subscribe("s0", MemberKind.STEWARD, target="10.0.0.9:80")
    gateway = scene.subscribe("g0", MemberKind.GATEWAY)
    scene.publisher.queue_heartbeat(make_registration("t0", "10.0.0.9:80"))
    scene.publisher.queue_heartbeat(make_registration("t1", "10.0.0.8:80"))
    task = asyncio.create_task(scene.publisher.run())
    await asyncio.sleep(0.7)
    task.cancel()
    (to_steward,) = steward.list_of(SignsOfLife)
    (to_gateway,) = gateway.list_of(SignsOfLife)
    assert [found[0] for found in to_steward.targets] == ["t0"]
    assert len(to_gateway.targets) == 2


@pytest.mark.parametrize(("held", "base"), [(0, 0), (3, 3), (2, 0)])
async def test_routes_are_answered_by_the_version_held(scene, held, base):
    link = scene.subscribe("g0", MemberKind.GATEWAY)
    scene.put_routes(3)
    scene.put_routes(5)
    scene.publisher.handle_message(link, AskRoutes(held))
    assert [notice.version for notice in link.list_of(RouteNotice)] == [3, 5]
    (answer,) = link.list_of(RoutesAnswer)
    assert (answer.version, answer.base) == (5, base)


async def test_a_gateway_knows_blocked_parts_before_it_has_routes(scene):
    """A gateway that starts would send requests with them to engines."""
    scene.put_routes(1)
    command = encode_command(BlockPart(PartKey("bad"), None))
    early = scene.subscribe("g0", MemberKind.GATEWAY)
    steward = scene.subscribe("s0", MemberKind.STEWARD, target="10.0.0.9:80")
    scene.state.apply(2, command)
    late = scene.subscribe("g1", MemberKind.GATEWAY)
    kinds = [type(m) for m in late.sent if isinstance(m, BlockedParts | RouteNotice)]
    assert kinds == [BlockedParts, RouteNotice]
    for link, count in ((early, 1), (late, 1), (steward, 0)):
        assert [m.index for m in link.list_of(BlockedParts)] == [2] * count


async def test_blocked_parts_are_sent_when_they_change(scene):
    gateway = scene.subscribe("g0", MemberKind.GATEWAY)
    scene.state.apply(1, encode_command(BlockPart(PartKey("bad"), None)))
    scene.put_routes(2)
    scene.state.apply(3, encode_command(ReleasePart(PartKey("bad"))))
    sent = [(m.index, len(m.parts)) for m in gateway.list_of(BlockedParts)]
    assert sent == [(1, 1), (3, 0)]
