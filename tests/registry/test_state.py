"""The registry's replicated state: versions only rise, in any order of commands."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import StorageFault
from ibishead.ids import ModelName
from ibishead.registry.state import (
    FenceTaken,
    FloorRaised,
    PutRoutes,
    RaiseFloor,
    Rejected,
    RoutesPut,
    RouteState,
    TakeFence,
    decode_result,
    encode_command,
)
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import WeightKey

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
