"""The registry's replicated state: versions only rise, in any order of commands."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import StorageFault
from ibishead.ids import HostId, ModelName, PartKey, TargetId
from ibishead.registry.commands import (
    BlockPart,
    CreditMarked,
    FenceTaken,
    FloorRaised,
    PutRoutes,
    RaiseFloor,
    RecordDepartures,
    Rejected,
    ReleaseCredit,
    ReleasePart,
    RemoveDepartures,
    RoutesPut,
    TakeCredit,
    TakeFence,
    TryPart,
    decode_result,
    encode_command,
)
from ibishead.registry.state import MAX_BLOCKED_PARTS, MAX_DEPARTURES, RouteState
from ibishead.routing.changes import pack
from ibishead.routing.customers import Customer, Quota, QuotaUnit
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import (
    Registration,
    TargetState,
    WeightKey,
    make_departure,
)

DRAINING, GONE = TargetState.DRAINING, TargetState.GONE

KEY = WeightKey(ModelName("m"), "a1")


def put(version: int, content: bytes = b"x") -> bytes:
    return encode_command(PutRoutes(RouteSet(version, (), ()), content))


def apply_all(state: RouteState, commands: list[bytes], first: int = 1) -> list:
    return [
        decode_result(state.apply(index, command))
        for index, command in enumerate(commands, first)
    ]


def test_the_highest_version_is_in_force():
    state = RouteState()
    results = apply_all(state, [put(5, b"five"), put(3, b"three"), put(9, b"nine")])
    assert results == [RoutesPut(5), RoutesPut(5), RoutesPut(9)]
    assert (state.version, state.document) == (9, b"nine")


def test_other_content_of_the_version_in_force_is_ignored():
    """Two operators submit the same version; the first one submitted stays in force."""
    state = RouteState()
    apply_all(state, [put(5, b"first"), put(5, b"second")])
    assert state.document == b"first"


def test_fencing_numbers_rise_across_a_snapshot():
    state = RouteState()
    before = apply_all(state, [encode_command(TakeFence("h"))] * 2)
    restored = RouteState()
    restored.restore(state.capture())
    after = apply_all(restored, [encode_command(TakeFence("h"))], 3)
    fences = [r.fence for r in before + after if isinstance(r, FenceTaken)]
    assert fences == sorted(set(fences))
    assert len(fences) == 3


def test_floors_only_rise_and_are_listed_after_an_index():
    state = RouteState()
    results = apply_all(
        state,
        [encode_command(RaiseFloor(KEY, version)) for version in (2, 1, 4)],
    )
    assert results == [FloorRaised(2), FloorRaised(2), FloorRaised(4)]
    assert [floor.version for floor in state.list_floors(2)] == [4]
    assert state.list_floors(3) == ()


@pytest.mark.parametrize("command", [b"", b"junk", b"\x93\x01\x02\x03"])
def test_invalid_entry_is_rejected_without_an_exception(command):
    assert isinstance(decode_result(RouteState().apply(1, command)), Rejected)


def test_invalid_snapshot_raises_storage_fault():
    with pytest.raises(StorageFault):
        RouteState().restore(b"junk")


@given(st.lists(st.integers(1, 20), max_size=20), st.integers(0, 20))
def test_a_restored_replica_reaches_the_same_state(versions, cut):
    commands = [put(version, str(version).encode()) for version in versions]
    complete, partial = RouteState(), RouteState()
    apply_all(complete, commands)
    apply_all(partial, commands[:cut])
    restored = RouteState()
    restored.restore(partial.capture())
    apply_all(restored, commands[cut:], cut + 1)
    assert restored.capture() == complete.capture() or not versions


def put_customer(quota: Quota | None) -> bytes:
    customers = (Customer("c", (), None, quota),)
    return encode_command(PutRoutes(RouteSet(1, (), (), customers=customers), b""))


QUOTA = Quota(QuotaUnit.REQUESTS, 1.0, 1.0)


@pytest.mark.parametrize(
    ("commands", "granted"),
    [
        ([TakeCredit(3)], [True]),
        ([TakeCredit(3), TakeCredit(4)], [True, False]),
        ([TakeCredit(3), ReleaseCredit(3), TakeCredit(4)], [True, False, True]),
        # a late release of a former leader
        ([TakeCredit(3), ReleaseCredit(2), TakeCredit(4)], [True, False, False]),
    ],
)
def test_credit_is_granted_only_while_none_is_marked(commands, granted):
    """Also across a restart of all registries, which then know of no earlier leader."""
    state = RouteState()
    apply_all(state, [put_customer(QUOTA)])
    results = []
    for index, command in enumerate(commands, 2):
        results += apply_all(state, [encode_command(command)], index)
        restarted = RouteState()
        restarted.restore(state.capture())
        state = restarted
    assert results == [CreditMarked(value) for value in granted]


def test_no_credit_is_marked_without_a_quota():
    """The mark of the first start would keep the next keeper from its credit."""
    state = RouteState()
    first, second = encode_command(TakeCredit(1)), encode_command(TakeCredit(2))
    results = apply_all(state, [first, put_customer(None), second])
    assert results == [CreditMarked(False), RoutesPut(1), CreditMarked(False)]
    assert state.credit_term == 0


def block(part: str, customer: str | None = None) -> bytes:
    return encode_command(BlockPart(PartKey(part), customer))


def describe_blocked(state: RouteState) -> list:
    return [(found.part, found.customers) for found in state.blocked.parts]


@pytest.mark.parametrize(
    ("commands", "blocked"),
    [
        ([block("x")], [("x", None)]),
        ([block("x", "a")], [("x", ("a",))]),
        ([block("x", "b"), block("x", "a")], [("x", ("a", "b"))]),
        ([block("x", "a"), block("x")], [("x", None)]),
        ([block("x"), block("x", "a")], [("x", None)]),
        ([block("x"), encode_command(ReleasePart(PartKey("x")))], []),
        ([encode_command(ReleasePart(PartKey("x")))], []),
        ([encode_command(TryPart(PartKey("x"), HostId("g")))], []),
    ],
)
def test_blocked_parts_outlive_a_snapshot(commands, blocked):
    """Each engine would have to crash again after a restart of all registries."""
    state, restored = RouteState(), RouteState()
    apply_all(state, commands)
    restored.restore(state.capture())
    assert describe_blocked(restored) == describe_blocked(state) == blocked
    assert restored.blocked == state.blocked


def test_a_trial_keeps_the_block():
    state = RouteState()
    apply_all(state, [block("x"), encode_command(TryPart(PartKey("x"), HostId("g")))])
    (found,) = state.blocked.parts
    assert (found.customers, found.trials, found.tester) == (None, 1, "g")
    assert state.blocked.index == 2


def test_blocked_parts_are_limited():
    """A caller with endless bad parts would fill the memory of all programs."""
    state = RouteState()
    apply_all(state, [block(f"x{n}") for n in range(MAX_BLOCKED_PARTS + 5)])
    assert len(state.blocked.parts) == MAX_BLOCKED_PARTS
    assert state.blocked.parts[0].part == "x5"


def test_a_snapshot_without_blocked_parts_and_origins_is_read():
    """A registry would not start on the data of the version before."""
    saved = [None, b"", [], 7, 0]
    state = RouteState()
    state.restore(pack(msgspec.msgpack.encode(saved)))
    assert state.blocked.parts == ()
    assert state.origins == ()


def make_leaving(target: str, state: TargetState, born: int = 1) -> Registration:
    found = make_departure(TargetId(target), born)
    return msgspec.structs.replace(found, state=state)


def record(*departures: Registration) -> bytes:
    return encode_command(RecordDepartures(departures))


@pytest.mark.parametrize(
    ("commands", "recorded"),
    [
        ([record(make_leaving("t", DRAINING))], {"t": (DRAINING, 1)}),
        (
            [record(make_leaving("t", DRAINING)), record(make_leaving("t", GONE))],
            {"t": (GONE, 1)},
        ),
        (
            [record(make_leaving("t", GONE)), record(make_leaving("t", DRAINING))],
            {"t": (GONE, 1)},
        ),
        (
            [record(make_leaving("t", GONE)), record(make_leaving("t", DRAINING, 2))],
            {"t": (DRAINING, 2)},
        ),
        (
            [record(make_leaving("t", GONE, 2)), record(make_leaving("t", GONE))],
            {"t": (GONE, 2)},
        ),
        (
            [
                record(make_leaving("t", GONE), make_leaving("u", GONE)),
                encode_command(RemoveDepartures(((TargetId("t"), 1),))),
            ],
            {"u": (GONE, 1)},
        ),
        (
            [
                record(make_leaving("t", GONE, 2)),
                encode_command(RemoveDepartures(((TargetId("t"), 1),))),
            ],
            {"t": (GONE, 2)},
        ),
    ],
    ids=["one", "ended", "ended-before", "newer", "older", "removed", "other-removed"],
)
def test_departures_outlive_a_snapshot(commands, recorded):
    """Guards against targets that left and are ready again after a restart of all."""
    state, restored = RouteState(), RouteState()
    apply_all(state, commands)
    told: list[Registration] = []
    restored.on_departures = told.extend
    restored.restore(state.capture())
    assert {f.target: (f.state, f.born) for f in told} == recorded
    assert restored.departures == state.departures


def test_departures_are_limited():
    """Guards against a state that grows with each target that ever left."""
    state = RouteState()
    leaving = [make_leaving(f"t{n}", GONE) for n in range(MAX_DEPARTURES + 3)]
    apply_all(state, [record(*leaving)])
    assert list(state.departures) == [f.target for f in leaving[3:]]
