"""What operators get from a registry, and what it logs of it."""

from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest

from ibishead.clock import ManualClock
from ibishead.errors import ErrorCode, InvalidInput, Unavailable
from ibishead.ids import FailureDomain, HostId, ModelName, ReplicaId
from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.registry.service import ElsewhereError, RegistryService
from ibishead.registry.state import RouteState
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.routing.targets import WeightKey

KEY = WeightKey(ModelName("m"), "a1")


class LoneReplica:
    """Applies what is proposed, or refuses it."""

    def __init__(self, state: RouteState, refusal: Exception | None) -> None:
        self._state = state
        self._refusal = refusal
        self._index = 0
        self.tries = 0
        self.electing = True

    def leader(self) -> ReplicaId:
        return ReplicaId("a.1")

    def expects_leader(self) -> bool:
        return self.electing

    def count_linked_voters(self) -> tuple[int, int]:
        return 1, 3

    async def confirm_read(self) -> None:
        self.tries += 1
        if self._refusal is not None:
            raise self._refusal

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        self.tries += 1
        if self._refusal is not None:
            raise self._refusal
        self._index += 1
        return self._state.apply(self._index, command)


def make_feed(
    linked: tuple[MemberRecord, ...], overdue: tuple[HostId, ...] = ()
) -> RegistryFeed:
    """Return a feed that knows some registries and is linked to a few of them.

    :param overdue: hosts whose link is up and silent.
    """
    feed = RegistryFeed(make_registry(1, ""), (), ManualClock())
    for number in KEEPERS:
        found = make_registry(number, "r")
        feed.members[found.host, found.kind] = found
    for found in linked:
        link = SimpleNamespace(closed=False, overdue=found.host in overdue)
        feed.links[Endpoint(found.address, found.port)] = link
    return feed


def make_registry(number: int, replica: str) -> MemberRecord:
    return MemberRecord(
        HostId(f"h{number}"),
        MemberKind.REGISTRY,
        f"127.0.0.{number}",
        7000,
        FailureDomain("a"),
        f"127.0.0.{number}:8000",
        ReplicaId(replica and f"h{number}.{replica}"),
    )


KEEPERS = (2, 3, 4)


def make_service(
    refusal: Exception | None,
) -> tuple[RegistryService, LoneReplica]:
    state = RouteState()
    replica = LoneReplica(state, refusal)
    service = RegistryService(
        state, replica, None, None, ManualClock(), Metrics("registry")
    )
    return service, replica


FULL = InvalidInput("the disk is full", "free some room")


@pytest.mark.parametrize(
    ("refusal", "version", "outcome"),
    [
        (None, 2, "accepted"),
        (None, 0, ErrorCode.INVALID_INPUT.value),
        (FULL, 2, FULL.code.value),
    ],
)
async def test_each_command_of_an_operator_leaves_a_line(
    refusal: Exception | None, version: int, outcome: str, caplog
) -> None:
    caplog.set_level("INFO")
    service, _ = make_service(refusal)
    for _ in range(2):
        try:
            await service.raise_floor(KEY, version)
        except InvalidInput:
            assert outcome != "accepted"
    lines = [vars(r) for r in caplog.records if r.message == "command answered"]
    assert [line["outcome"] for line in lines] == [outcome] * 2
    assert {(line["weights"], line["leader"]) for line in lines} == {("m/a1", "a.1")}
    assert {line["voters_reached"] for line in lines} == {"1 of 3"}
    shown = service.metrics.render()[1].decode()
    assert f'events_total{{event="raise_floor_{outcome}"}} 2' in shown


@pytest.mark.parametrize(
    "ask",
    [
        lambda service: service.raise_floor(KEY, 2),
        lambda service: service.take_fence("h1"),
        RegistryService.read_routes,
    ],
    ids=["change", "fencing number", "read"],
)
async def test_a_call_is_not_kept_where_no_leader_is_to_be_expected(
    ask: Callable[[RegistryService], Awaitable[object]],
) -> None:
    """A registry that is cut off keeps each call until the caller gives up."""
    refusal = Unavailable("no leader", "ask elsewhere", code=ErrorCode.NO_QUORUM)
    service, replica = make_service(refusal)
    replica.electing = False
    with pytest.raises(Unavailable) as caught:
        await ask(service)
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert replica.tries == 1


@pytest.mark.parametrize(
    ("refused_with", "told"),
    [
        (ErrorCode.NO_QUORUM, ErrorCode.NO_QUORUM),
        (ErrorCode.OUTCOME_UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
    ],
)
async def test_a_change_that_was_never_proposed_is_not_told_as_unknown(
    refused_with: ErrorCode, told: ErrorCode
) -> None:
    """A change that nobody can have taken is told as one that may be in force."""
    service, replica = make_service(Unavailable("no", "ask again", code=refused_with))
    with pytest.raises(Unavailable) as caught:
        await service.raise_floor(KEY, 2)
    assert caught.value.code is told
    assert replica.tries > 1


async def test_callers_are_sent_to_each_linked_registry_with_a_log_in_turn() -> None:
    """All callers are sent to one registry, and it stands still."""
    linked = tuple(make_registry(number, "r") for number in KEEPERS[:2])
    feed = make_feed(linked)
    service = RegistryService(
        RouteState(), None, feed, None, ManualClock(), Metrics("registry")
    )
    told = []
    for _ in range(4):
        with pytest.raises(ElsewhereError) as caught:
            await service.raise_floor(KEY, 2)
        told.append(caught.value.address)
    assert sorted(told) == sorted(2 * [member.operators for member in linked])
    assert told[0] != told[1]


@pytest.mark.parametrize(
    ("overdue", "told"),
    [((2,), {"127.0.0.3:8000"}), ((2, 3), {"127.0.0.2:8000", "127.0.0.3:8000"})],
    ids=["one", "all"],
)
async def test_callers_are_sent_to_no_registry_that_has_gone_silent(
    overdue: tuple[int, ...], told: set[str]
) -> None:
    """A registry stands still, and callers are sent there while its link is up."""
    linked = tuple(make_registry(number, "r") for number in KEEPERS[:2])
    feed = make_feed(linked, tuple(HostId(f"h{number}") for number in overdue))
    service = RegistryService(
        RouteState(), None, feed, None, ManualClock(), Metrics("registry")
    )
    found = set()
    for _ in range(4):
        with pytest.raises(ElsewhereError) as caught:
            await service.raise_floor(KEY, 2)
        found.add(caught.value.address)
    assert found == told
