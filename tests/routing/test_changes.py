"""Applying changes yields the newest route set, whichever versions were missed."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import InvalidInput
from ibishead.routing.changes import (
    MAX_RETAINED_SETS,
    PACK_MIN_BYTES,
    RouteChange,
    RouteHistory,
    apply_change,
    compute_change,
    pack,
    unpack,
)
from ibishead.routing.routes import Repeatability, Route, RouteSet, ServiceSpec, Share

TIMEOUTS = st.dictionaries(st.integers(0, 9), st.integers(1, 3), max_size=10)


def make_set(version, timeouts):
    """Return a set with one route for each number, given their timeouts."""
    routes = tuple(
        Route(
            f"r{number}",
            "loft.example",
            f"/{number}/",
            Repeatability.IDEMPOTENT,
            timeout,
            1.0,
            (Share("s", 1.0),),
        )
        for number, timeout in timeouts.items()
    )
    return RouteSet(version, routes, (ServiceSpec("s", "/health", version),))


def are_equal(left, right):
    return set(left.routes) == set(right.routes) and (
        left.version,
        left.services,
        left.limits,
    ) == (right.version, right.services, right.limits)


def decode(held, base, encoded):
    data = unpack(encoded)
    if not base:
        return msgspec.msgpack.decode(data, type=RouteSet)
    return apply_change(held, msgspec.msgpack.decode(data, type=RouteChange))


@given(TIMEOUTS, TIMEOUTS)
def test_applied_change_yields_the_target_set(before, after):
    base, expected = make_set(1, before), make_set(2, after)
    assert are_equal(apply_change(base, compute_change(base, expected)), expected)


def test_change_to_another_version_is_rejected():
    """Guards against routes of two versions in force together."""
    change = compute_change(make_set(2, {}), make_set(3, {1: 1}))
    with pytest.raises(InvalidInput):
        apply_change(make_set(1, {}), change)


@given(st.lists(TIMEOUTS, min_size=1, max_size=12), st.data())
def test_receiver_that_missed_versions_gets_the_newest(sets, data):
    history, held = RouteHistory(), None
    for version, timeouts in enumerate(sets, 1):
        expected = make_set(version, timeouts)
        history.add(expected)
        if data.draw(st.booleans()):
            base, encoded = history.encode(0 if held is None else held.version)
            held = decode(held, base, encoded)
            assert are_equal(held, expected)


def test_small_change_to_a_large_set_is_encoded_small():
    timeouts = dict.fromkeys(range(1400), 1)
    history = RouteHistory()
    history.add(make_set(1, timeouts))
    whole = len(history.encode(0)[1])
    history.add(make_set(2, timeouts | {7: 2}))
    base, encoded = history.encode(1)
    assert base == 1
    assert len(encoded) < whole / 50


def test_receiver_far_behind_gets_the_whole_set():
    history = RouteHistory()
    for version in range(1, MAX_RETAINED_SETS + 2):
        history.add(make_set(version, {1: version}))
    assert history.encode(1)[0] == 0
    assert history.encode(2)[0] == 2


@given(st.binary(max_size=3 * PACK_MIN_BYTES))
def test_packed_arrays_are_restored(content):
    data = msgspec.msgpack.encode([content])
    assert unpack(pack(data)) == data


@pytest.mark.parametrize("damage", [lambda d: d[:-5], lambda d: d[:9] + b"!" + d[10:]])
def test_damaged_data_is_rejected(damage):
    with pytest.raises(InvalidInput):
        unpack(damage(pack(msgspec.msgpack.encode([b"x" * 2 * PACK_MIN_BYTES]))))
