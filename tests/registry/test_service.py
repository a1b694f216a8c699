"""Answers of a registry to operators, and the log lines it writes about them."""

from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest

from ibishead.clock import ManualClock
from ibishead.errors import ErrorCode, InvalidInput, Unavailable
from ibishead.ids import FailureDomain, HostId, ModelName, ReplicaId
from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.registry.service import RedirectError, RegistryService
from ibishead.registry.state import RouteState
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.routing.targets import WeightKey

KEY = WeightKey(ModelName("m"), "a1")


class FakeReplica:
    """Applies each proposed command at once, or raises an error for it."""

    def __init__(self, state: RouteState, refusal: Exception | None) -> None:
        self._state = state
        self._refusal = refusal
        self._index = 0
        self.calls = 0
        self.leader_expected = True

    def leader(self) -> ReplicaId:
        return ReplicaId("a.1")

    def expects_leader(self) -> bool:
        return self.leader_expected

    def count_linked_voters(self) -> tuple[int, int]:
        return 1, 3

    async def confirm_read(self) -> None:
        self.calls += 1
        if self._refusal is not None:
            raise self._refusal

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        self.calls += 1
        if self._refusal is not None:
            raise self._refusal
        self._index += 1
        return self._state.apply(self._index, command)


def make_feed(
    linked: tuple[MemberRecord, ...], overdue: tuple[HostId, ...] = ()
) -> RegistryFeed:
    """Return a feed that knows all registries and is connected to some of them.

    :param overdue: hosts whose link is up but silent.
    """
    feed = RegistryFeed(make_registry(1, ""), (), ManualClock())
    for number in LOG_REGISTRIES:
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


LOG_REGISTRIES = (2, 3, 4)


def make_service(
    refusal: Exception | None,
) -> tuple[RegistryService, FakeReplica]:
    state = RouteState()
    replica = FakeReplica(state, refusal)
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
async def test_each_operator_command_is_logged(
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
        RegistryService.list_origins,
    ],
    ids=["change", "fencing number", "read", "origins"],
)
async def test_call_fails_at_once_if_no_leader_is_expected(
    ask: Callable[[RegistryService], Awaitable[object]],
) -> None:
    """Guards against a partitioned registry that blocks calls until they time out."""
    refusal = Unavailable("no leader", "ask elsewhere", code=ErrorCode.NO_QUORUM)
    service, replica = make_service(refusal)
    replica.leader_expected = False
    with pytest.raises(Unavailable) as caught:
        await ask(service)
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert replica.calls == 1


@pytest.mark.parametrize(
    ("refused_with", "reported"),
    [
        (ErrorCode.NO_QUORUM, ErrorCode.NO_QUORUM),
        (ErrorCode.OUTCOME_UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
    ],
)
async def test_outcome_is_not_unknown_if_nothing_was_proposed(
    refused_with: ErrorCode, reported: ErrorCode
) -> None:
    """Guards against reporting an unproposed change as possibly in force."""
    service, replica = make_service(Unavailable("no", "ask again", code=refused_with))
    with pytest.raises(Unavailable) as caught:
        await service.raise_floor(KEY, 2)
    assert caught.value.code is reported
    assert replica.calls > 1


async def test_redirects_rotate_over_connected_registries_with_a_log() -> None:
    """Guards against redirecting all callers to one registry, which may hang."""
    linked = tuple(make_registry(number, "r") for number in LOG_REGISTRIES[:2])
    feed = make_feed(linked)
    service = RegistryService(
        RouteState(), None, feed, None, ManualClock(), Metrics("registry")
    )
    addresses = []
    for _ in range(4):
        with pytest.raises(RedirectError) as caught:
            await service.raise_floor(KEY, 2)
        addresses.append(caught.value.address)
    assert sorted(addresses) == sorted(2 * [member.operators for member in linked])
    assert addresses[0] != addresses[1]


@pytest.mark.parametrize(
    ("overdue", "expected"),
    [((2,), {"127.0.0.3:8000"}), ((2, 3), {"127.0.0.2:8000", "127.0.0.3:8000"})],
    ids=["one", "all"],
)
async def test_redirects_avoid_registries_with_overdue_links(
    overdue: tuple[int, ...], expected: set[str]
) -> None:
    """Guards against redirects to a registry that hangs while its link is still up."""
    linked = tuple(make_registry(number, "r") for number in LOG_REGISTRIES[:2])
    feed = make_feed(linked, tuple(HostId(f"h{number}") for number in overdue))
    service = RegistryService(
        RouteState(), None, feed, None, ManualClock(), Metrics("registry")
    )
    addresses = set()
    for _ in range(4):
        with pytest.raises(RedirectError) as caught:
            await service.raise_floor(KEY, 2)
        addresses.add(caught.value.address)
    assert addresses == expected
