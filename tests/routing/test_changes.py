"""Differences between route sets lead to the set itself, whatever was missed."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import InvalidInput
from ibishead.routing.changes import (
    KEPT_SETS,
    PACKED_FROM,
    RouteChange,
    RouteHistory,
    apply_change,
    find_change,
    pack,
    unpack,
)
from ibishead.routing.routes import Repeatability, Route, RouteSet, ServiceSpec, Share

PLACES = st.dictionaries(st.integers(0, 9), st.integers(1, 3), max_size=10)


def make_set(version, timeouts):
    """Return a set with a route for each number, by its timeout."""
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


def same(left, right):
    return set(left.routes) == set(right.routes) and (
        left.version,
        left.services,
        left.limits,
    ) == (right.version, right.services, right.limits)


def take(held, base, encoded):
    data = unpack(encoded)
    if not base:
        return msgspec.msgpack.decode(data, type=RouteSet)
    return apply_change(held, msgspec.msgpack.decode(data, type=RouteChange))


@given(PLACES, PLACES)
def test_a_change_leads_to_the_wanted_set(before, after):
    base, wanted = make_set(1, before), make_set(2, after)
    assert same(apply_change(base, find_change(base, wanted)), wanted)


def test_a_change_of_another_version_is_refused():
    """Guards against a mix of two versions in force."""
    change = find_change(make_set(2, {}), make_set(3, {1: 1}))
    with pytest.raises(InvalidInput):
        apply_change(make_set(1, {}), change)


@given(st.lists(PLACES, min_size=1, max_size=12), st.data())
def test_a_receiver_that_misses_versions_holds_the_newest(sets, data):
    history, held = RouteHistory(), None
    for version, timeouts in enumerate(sets, 1):
        wanted = make_set(version, timeouts)
        history.add(wanted)
        if data.draw(st.booleans()):
            base, encoded = history.encode(0 if held is None else held.version)
            held = take(held, base, encoded)
            assert same(held, wanted)


def test_a_small_change_of_a_large_set_is_small():
    timeouts = dict.fromkeys(range(1400), 1)
    history = RouteHistory()
    history.add(make_set(1, timeouts))
    whole = len(history.encode(0)[1])
    history.add(make_set(2, timeouts | {7: 2}))
    base, encoded = history.encode(1)
    assert base == 1
    assert len(encoded) < whole / 50


def test_a_receiver_that_is_far_behind_gets_the_whole_set():
    history = RouteHistory()
    for version in range(1, KEPT_SETS + 2):
        history.add(make_set(version, {1: version}))
    assert history.encode(1)[0] == 0
    assert history.encode(2)[0] == 2


@given(st.binary(max_size=3 * PACKED_FROM))
def test_packed_arrays_come_back(content):
    data = msgspec.msgpack.encode([content])
    assert unpack(pack(data)) == data


@pytest.mark.parametrize("harm", [lambda d: d[:-5], lambda d: d[:9] + b"!" + d[10:]])
def test_damaged_data_is_refused(harm):
    with pytest.raises(InvalidInput):
        unpack(harm(pack(msgspec.msgpack.encode([b"x" * 2 * PACKED_FROM]))))
