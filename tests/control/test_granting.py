"""Permits reach agents at any replica, from one leader at a time."""

import pytest

from ibishead.clock import ManualClock
from ibishead.control.granting import PermitDesk
from ibishead.control.permits import LIFETIME, TAKEOVER_PAUSE
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, ReplicaId, TargetId
from ibishead.messages import AskPermit, PermitAnswer, Refusal, ReleasePermit, Role

from .support import FakeLink, FakeReplica, Log, make_registration


def make_ask(number: int, incarnation: int = 1) -> AskPermit:
    return AskPermit(TargetId("t1"), Incarnation(incarnation), number, 1.0)


def make_grant(number: int) -> PermitAnswer:
    return PermitAnswer(TargetId("t1"), Incarnation(1), number, LIFETIME)


class Scene:
    """Two replicas: c1 leads, the agent is linked to c2."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = Log()
        self.leader, self.follower = FakeReplica("c1"), FakeReplica("c2")
        self.leader.leading = True
        self.follower.known_leader = ReplicaId("c1")
        self.agent = FakeLink(Role.AGENT, "a1")
        self.between = FakeLink(Role.CONTROL, "control-2")
        self.desk = self.make_desk(self.leader)
        self.passing = self.make_desk(self.follower)

    def make_desk(self, replica) -> PermitDesk:
        return PermitDesk(self.log.state, replica, self.forward, self.clock)

    def forward(self, replica, message) -> bool:
        if replica != "c1":
            return False
        match message:
            case AskPermit():
                self.desk.ask(self.between, message)
            case ReleasePermit():
                self.desk.release(self.between, message)
        return True

    def return_answers(self) -> None:
        for answer in self.between.sent:
            if isinstance(answer, PermitAnswer):
                self.passing.deliver(answer)
        self.between.sent.clear()


async def test_ask_passes_through_a_follower():
    scene = Scene()
    await scene.desk.review()
    scene.log.apply(make_registration("n1"))
    scene.passing.ask(scene.agent, make_ask(1))
    scene.return_answers()
    assert scene.agent.sent == [make_grant(1)]
    scene.passing.release(scene.agent, ReleasePermit(TargetId("t1"), Incarnation(1), 1))
    assert scene.desk.in_flight == 0


async def test_new_leader_waits_for_its_predecessors_permits():
    """Targets hold permits of a leader that is gone; the next knows none of them."""
    scene = Scene()
    scene.log.apply(make_registration("n1"))
    await scene.desk.review()
    for wait in (0.0, TAKEOVER_PAUSE - 0.1):
        scene.clock.step(wait)
        scene.desk.ask(scene.agent, make_ask(1))
        assert scene.agent.sent == []
    scene.clock.step(0.2)
    scene.desk.ask(scene.agent, make_ask(1))
    assert scene.agent.sent == [make_grant(1)]


async def test_first_leader_ever_waits_for_nobody():
    scene = Scene()
    await scene.desk.review()
    scene.log.apply(make_registration("n1"))
    scene.desk.ask(scene.agent, make_ask(1))
    assert scene.agent.sent == [make_grant(1)]


@pytest.mark.parametrize("lost", ["leading", "vouched"])
async def test_leader_that_lost_its_quorum_grants_nothing(lost):
    """The old leader is cut off; another one grants from the same store already."""
    scene = Scene()
    await scene.desk.review()
    scene.log.apply(make_registration("n1"))
    setattr(scene.leader, lost, 0.0)
    await scene.desk.review()
    scene.desk.ask(scene.agent, make_ask(1))
    (answer,) = scene.agent.sent
    assert isinstance(answer, Refusal)
    assert answer.code is ErrorCode.NOT_LEADER


async def test_leader_that_comes_back_waits_again():
    """Another replica led, and granted permits, while this one was cut off."""
    scene = Scene()
    await scene.desk.review()
    scene.log.apply(make_registration("n1"))
    for leading in (False, True):
        scene.leader.leading = leading
        await scene.desk.review()
    scene.desk.ask(scene.agent, make_ask(1))
    assert scene.agent.sent == []


async def test_ended_incarnation_gets_no_permit():
    scene = Scene()
    await scene.desk.review()
    scene.log.apply(make_registration("n1"))
    scene.log.apply(make_registration("n2"))
    scene.desk.ask(scene.agent, make_ask(1, incarnation=1))
    assert scene.agent.sent == []


async def test_two_replicas_that_name_each_other_dont_loop():
    scene = Scene()
    scene.leader.leading = False
    scene.leader.known_leader = ReplicaId("c1")
    scene.passing.ask(scene.agent, make_ask(1))
    (answer,) = scene.between.sent
    assert isinstance(answer, Refusal)
