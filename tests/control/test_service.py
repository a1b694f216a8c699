"""Asks are proposed until their answer is known, bounded, and time is counted."""

import asyncio

import pytest

from ibishead.clock import ManualClock, SystemClock
from ibishead.control.commands import Accepted, AnnounceReplica
from ibishead.control.publish import Publisher
from ibishead.control.service import MAX_ASKS, ControlService, propose_command
from ibishead.control.state import ControlState
from ibishead.control.upkeep import TIME_INTERVAL, Upkeep
from ibishead.errors import ErrorCode, LinkLost, Unavailable
from ibishead.ids import HostId, ReplicaId
from ibishead.messages import Refusal, Role

from .support import (
    C1,
    RAKTAR,
    FakeLink,
    FakeReplica,
    Log,
    make_claim,
    make_registration,
    make_submission,
)


class LogReplica(FakeReplica):
    """Applies to a log, and loses answers on the way back.

    :param losses: what is raised instead of the first answers.
    """

    def __init__(self, log: Log, losses: list[Exception]) -> None:
        super().__init__("c1")
        self.log = log
        self.losses = losses

    async def propose(self, command: bytes) -> bytes:
        self.log.index += 1
        result = self.log.state.apply(self.log.index, command)
        if self.losses:
            raise self.losses.pop(0)
        return result


LOST = LinkLost("lost", "ask again")
UNKNOWN = Unavailable("late", "ask again", code=ErrorCode.OUTCOME_UNKNOWN)
NO_QUORUM = Unavailable("none", "ask again", code=ErrorCode.NO_QUORUM)


@pytest.mark.parametrize("losses", [[], [LOST], [UNKNOWN, LOST]])
async def test_lost_answers_are_asked_for_again(losses):
    """The leader dies right after it has committed a change."""
    log = Log()
    replica = LogReplica(log, list(losses))
    result = await propose_command(replica, SystemClock(), make_submission("s1", 0))
    assert result == Accepted(RAKTAR, 1, "s1", 1)
    assert len(log.state.documents.histories[RAKTAR]) == 1


async def test_no_quorum_is_told_at_once():
    replica = LogReplica(Log(), [NO_QUORUM, LOST])
    with pytest.raises(Unavailable) as caught:
        await propose_command(replica, SystemClock(), make_submission("s1", 0))
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert replica.losses == [LOST]


class FloodingLink(FakeLink):
    """Sends many asks at once, and ends when all that can be are answered."""

    async def receive(self):
        for number in range(MAX_ASKS + 10):
            yield make_claim(f"r{number}", 1, key=f"k{number}").ask


async def test_flood_of_asks_is_refused():
    """A peer sends faster than the log commits, and must not fill the memory."""
    state = ControlState()
    replica = LogReplica(Log(), [])
    publisher = Publisher(state, replica.lease, SystemClock())
    service = ControlService(C1, state, replica, publisher, None, SystemClock())
    link = FloodingLink(Role.ENTRY, "e1")
    await service.serve(link)
    refused = [m for m in link.sent if isinstance(m, Refusal)]
    assert len(refused) == 10
    assert {refusal.code for refusal in refused} == {ErrorCode.OVERLOADED}
    await service.stop()


class OpenLink(FakeLink):
    """Stays open until it is closed."""

    def __init__(self, role: Role, host: str) -> None:
        super().__init__(role, host)
        self.over = asyncio.Event()

    async def receive(self):
        await self.over.wait()
        return
        yield

    async def close(self) -> None:
        self.over.set()


async def test_links_of_replicas_stay_without_a_lease():
    """A replica without a quorum sends its peers away, but not the other replicas."""
    state = ControlState()
    service = ControlService(C1, state, FakeReplica("c1"), None, None, SystemClock())
    links = [OpenLink(role, role.value) for role in Role]
    serving = [asyncio.create_task(service.serve(link)) for link in links]
    await asyncio.sleep(0)
    await service.drop_links()
    assert {link.peer.role for link in links if not link.over.is_set()} == {
        Role.CONTROL
    }
    await links[-1].close()
    await asyncio.gather(*serving)


class Quiet:
    """Stands for the parts of a replica that have nothing to do."""

    def review(self) -> None:
        pass

    def note_replicas(self) -> None:
        pass

    def list_attached(self) -> set:
        return set()

    async def attach_again(self) -> None:
        pass

    def reaches(self, replica: ReplicaId) -> bool:
        return True


class IdlePermitService(Quiet):
    async def update_leadership(self) -> None:
        pass


@pytest.mark.parametrize(
    ("leading", "claims", "counted"),
    [(True, 1, TIME_INTERVAL), (True, 0, 0.0), (False, 1, 0.0)],
)
async def test_claims_time_is_counted_by_the_leader(leading, claims, counted):
    log = Log()
    log.apply(make_registration("n1", replica="c2"))
    for number in range(claims):
        log.apply(make_claim(f"r{number}", 1))
    replica = LogReplica(log, [])
    replica.leading = leading
    clock = ManualClock()
    quiet = Quiet()
    announced = AnnounceReplica(C1, HostId("h1"), "127.0.0.1", 7400)
    upkeep = Upkeep(
        lambda: announced,
        log.state,
        replica,
        quiet,
        IdlePermitService(),
        quiet,
        quiet,
        clock,
    )
    for seconds in (0.0, TIME_INTERVAL):
        clock.step(seconds)
        await upkeep.do_round()
    assert log.state.claims.time == counted
