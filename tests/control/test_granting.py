"""Permits reach agents at any replica and are granted by one leader at a time."""

import pytest

from ibishead.clock import ManualClock
from ibishead.control.granting import PermitService
from ibishead.control.permits import PERMIT_SECONDS, TAKEOVER_PAUSE_SECONDS
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, ReplicaId, TargetId
from ibishead.messages import AskPermit, PermitAnswer, Refusal, ReleasePermit, Role

from .support import FakeLink, FakeReplica, Log, make_registration


def make_request(number: int, incarnation: int = 1) -> AskPermit:
    return AskPermit(TargetId("t1"), Incarnation(incarnation), number, 1.0)


def make_grant(number: int) -> PermitAnswer:
    return PermitAnswer(TargetId("t1"), Incarnation(1), number, PERMIT_SECONDS)


class Scene:
    """Two replicas: c1 is the leader, the agent is linked to c2."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = Log()
        self.leader, self.follower = FakeReplica("c1"), FakeReplica("c2")
        self.leader.leading = True
        self.follower.known_leader = ReplicaId("c1")
        self.agent_link = FakeLink(Role.AGENT, "a1")
        self.peer_link = FakeLink(Role.CONTROL, "control-2")
        self.leader_permits = self.make_service(self.leader)
        self.follower_permits = self.make_service(self.follower)

    def make_service(self, replica) -> PermitService:
        return PermitService(self.log.state, replica, self.forward, self.clock)

    def forward(self, replica, message) -> bool:
        if replica != "c1":
            return False
        match message:
            case AskPermit():
                self.leader_permits.handle_request(self.peer_link, message)
            case ReleasePermit():
                self.leader_permits.release(self.peer_link, message)
        return True

    def deliver_answers(self) -> None:
        for answer in self.peer_link.sent:
            if isinstance(answer, PermitAnswer):
                self.follower_permits.deliver(answer)
        self.peer_link.sent.clear()


async def test_follower_forwards_request():
    scene = Scene()
    await scene.leader_permits.update_leadership()
    scene.log.apply(make_registration("n1"))
    scene.follower_permits.handle_request(scene.agent_link, make_request(1))
    scene.deliver_answers()
    assert scene.agent_link.sent == [make_grant(1)]
    scene.follower_permits.release(
        scene.agent_link, ReleasePermit(TargetId("t1"), Incarnation(1), 1)
    )
    assert scene.leader_permits.in_flight == 0


async def test_new_leader_waits_until_old_permits_expire():
    """Targets hold permits of a former leader, which the new one doesn't know.

    Granting at once would exceed the limits of the weight store.
    """
    scene = Scene()
    scene.log.apply(make_registration("n1"))
    await scene.leader_permits.update_leadership()
    for wait in (0.0, TAKEOVER_PAUSE_SECONDS - 0.1):
        scene.clock.step(wait)
        scene.leader_permits.handle_request(scene.agent_link, make_request(1))
        assert scene.agent_link.sent == []
    scene.clock.step(0.2)
    scene.leader_permits.handle_request(scene.agent_link, make_request(1))
    assert scene.agent_link.sent == [make_grant(1)]


async def test_first_leader_grants_without_pause():
    scene = Scene()
    await scene.leader_permits.update_leadership()
    scene.log.apply(make_registration("n1"))
    scene.leader_permits.handle_request(scene.agent_link, make_request(1))
    assert scene.agent_link.sent == [make_grant(1)]


@pytest.mark.parametrize("lost", ["leading", "lease_seconds"])
async def test_leader_that_lost_its_quorum_grants_nothing(lost):
    """A partitioned old leader would grant beside its successor on the same store."""
    scene = Scene()
    await scene.leader_permits.update_leadership()
    scene.log.apply(make_registration("n1"))
    setattr(scene.leader, lost, 0.0)
    await scene.leader_permits.update_leadership()
    scene.leader_permits.handle_request(scene.agent_link, make_request(1))
    (answer,) = scene.agent_link.sent
    assert isinstance(answer, Refusal)
    assert answer.code is ErrorCode.NOT_LEADER


async def test_reelected_leader_waits_again():
    """Another replica was leader and granted permits while this one was partitioned."""
    scene = Scene()
    await scene.leader_permits.update_leadership()
    scene.log.apply(make_registration("n1"))
    for leading in (False, True):
        scene.leader.leading = leading
        await scene.leader_permits.update_leadership()
    scene.leader_permits.handle_request(scene.agent_link, make_request(1))
    assert scene.agent_link.sent == []


async def test_ended_incarnation_gets_no_permit():
    scene = Scene()
    await scene.leader_permits.update_leadership()
    scene.log.apply(make_registration("n1"))
    scene.log.apply(make_registration("n2"))
    scene.leader_permits.handle_request(
        scene.agent_link, make_request(1, incarnation=1)
    )
    assert scene.agent_link.sent == []


async def test_request_is_forwarded_only_once():
    scene = Scene()
    scene.leader.leading = False
    scene.leader.known_leader = ReplicaId("c1")
    scene.follower_permits.handle_request(scene.agent_link, make_request(1))
    (answer,) = scene.peer_link.sent
    assert isinstance(answer, Refusal)
