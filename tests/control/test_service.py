"""Command retries, the bound on requests of a link, and the claims' time."""

import asyncio

import pytest

from ibishead.clock import ManualClock, SystemClock
from ibishead.control.commands import Accepted, AnnounceReplica
from ibishead.control.publish import Publisher
from ibishead.control.service import (
    MAX_REQUESTS_PER_LINK,
    ControlService,
    propose_command,
)
from ibishead.control.state import ControlState
from ibishead.control.upkeep import TIME_STEP_SECONDS, Upkeep
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


class LossyReplica(FakeReplica):
    """Applies commands to a log and loses the first results.

    :param losses: exceptions raised instead of the first results.
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
async def test_command_is_proposed_again_after_lost_result(losses):
    """The leader fails right after it has committed a change.

    The change must be applied once and its result returned.
    """
    log = Log()
    replica = LossyReplica(log, list(losses))
    result = await propose_command(replica, SystemClock(), make_submission("s1", 0))
    assert result == Accepted(RAKTAR, 1, "s1", 1)
    assert len(log.state.documents.histories[RAKTAR]) == 1


async def test_missing_quorum_is_reported_at_once():
    replica = LossyReplica(Log(), [NO_QUORUM, LOST])
    with pytest.raises(Unavailable) as caught:
        await propose_command(replica, SystemClock(), make_submission("s1", 0))
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert replica.losses == [LOST]


class BurstLink(FakeLink):
    """Sends more requests at once than a link may have in progress."""

    async def receive(self):
        for number in range(MAX_REQUESTS_PER_LINK + 10):
            yield make_claim(f"r{number}", 1, key=f"k{number}").request


async def test_excess_requests_are_refused():
    """A peer sends faster than the log commits.

    Queued without a bound, its requests would exhaust the memory.
    """
    state = ControlState()
    replica = LossyReplica(Log(), [])
    publisher = Publisher(state, replica.lease, SystemClock())
    service = ControlService(C1, state, replica, publisher, None, SystemClock())
    link = BurstLink(Role.ENTRY, "e1")
    await service.serve(link)
    refused = [m for m in link.sent if isinstance(m, Refusal)]
    assert len(refused) == 10
    assert {refusal.code for refusal in refused} == {ErrorCode.OVERLOADED}
    await service.stop()


class OpenLink(FakeLink):
    """Link that stays open until it is closed."""

    def __init__(self, role: Role, host: str) -> None:
        super().__init__(role, host)
        self.closed = asyncio.Event()

    async def receive(self):
        await self.closed.wait()
        return
        yield

    async def close(self) -> None:
        self.closed.set()


async def test_links_of_replicas_stay_open():
    """A replica without a quorum closes its clients' links, not the other replicas'.

    Without the replicas' links the quorum could not be regained.
    """
    state = ControlState()
    service = ControlService(C1, state, FakeReplica("c1"), None, None, SystemClock())
    links = [OpenLink(role, role.value) for role in Role]
    serving = [asyncio.create_task(service.serve(link)) for link in links]
    await asyncio.sleep(0)
    await service.close_client_links()
    assert {link.peer.role for link in links if not link.closed.is_set()} == {
        Role.CONTROL
    }
    await links[-1].close()
    await asyncio.gather(*serving)


class IdleComponent:
    """Test double for the components of a replica that have no work to do."""

    def update_links(self) -> None:
        pass

    def record_replicas(self) -> None:
        pass

    def list_attached(self) -> set:
        return set()

    async def reattach_targets(self) -> None:
        pass

    def is_connected(self, replica: ReplicaId) -> bool:
        return True


class IdlePermitService(IdleComponent):
    async def update_leadership(self) -> None:
        pass


@pytest.mark.parametrize(
    ("leading", "claims", "advanced"),
    [(True, 1, TIME_STEP_SECONDS), (True, 0, 0.0), (False, 1, 0.0)],
)
async def test_leader_advances_claims_time(leading, claims, advanced):
    log = Log()
    log.apply(make_registration("n1", replica="c2"))
    for number in range(claims):
        log.apply(make_claim(f"r{number}", 1))
    replica = LossyReplica(log, [])
    replica.leading = leading
    clock = ManualClock()
    idle = IdleComponent()
    announced = AnnounceReplica(C1, HostId("h1"), "127.0.0.1", 7400)
    upkeep = Upkeep(
        lambda: announced,
        log.state,
        replica,
        idle,
        IdlePermitService(),
        idle,
        idle,
        clock,
    )
    for seconds in (0.0, TIME_STEP_SECONDS):
        clock.step(seconds)
        await upkeep.run_round()
    assert log.state.claims.time == advanced
