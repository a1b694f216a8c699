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
from ibishead.routing.customers import Customer, Quota, QuotaUnit
from ibishead.routing.routes import (
    CallerLimits,
    Repeatability,
    Route,
    RouteSet,
    ServiceSpec,
    Share,
)

TIMEOUTS = st.dictionaries(st.integers(0, 9), st.integers(1, 3), max_size=10)


CUSTOMERS = st.none() | st.dictionaries(st.sampled_from("abcd"), st.integers(1, 3)).map(
    lambda rates: tuple(make_customer(name, rate) for name, rate in rates.items())
)


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


def make_customer(name, rate):
    return Customer(name, (f"digest-{name}",), 1, Quota(QuotaUnit.TOKENS, rate, 1.0))


#: A value that differs from that of `make_set`, for each field of a route set.
OTHER_VALUES = {
    "version": 8,
    "routes": make_set(1, {99: 1}).routes,
    "services": (ServiceSpec("other", "/h", 1),),
    "limits": CallerLimits(header_bytes=1),
    "customers": (make_customer("other", 1.0),),
}


def are_equal(left, right):
    """Compare all fields; the order of routes and customers has no meaning."""

    def simplify(routes):
        fields = msgspec.structs.asdict(routes)
        fields["routes"] = set(routes.routes)
        if routes.customers is not None:
            fields["customers"] = set(routes.customers)
        return fields

    return simplify(left) == simplify(right)


def decode(held, base, encoded):
    data = unpack(encoded)
    if not base:
        return msgspec.msgpack.decode(data, type=RouteSet)
    return apply_change(held, msgspec.msgpack.decode(data, type=RouteChange))


@given(TIMEOUTS, TIMEOUTS)
def test_applied_change_yields_the_target_set(before, after):
    base, expected = make_set(1, before), make_set(2, after)
    assert are_equal(apply_change(base, compute_change(base, expected)), expected)


@pytest.mark.parametrize("field", RouteSet.__struct_fields__)
def test_change_carries_every_field(field):
    """A field that a change forgets keeps its old value for ever."""
    base = make_set(1, {1: 1})
    expected = msgspec.structs.replace(base, **{field: OTHER_VALUES[field]})
    assert not are_equal(base, expected)
    assert are_equal(apply_change(base, compute_change(base, expected)), expected)


@given(CUSTOMERS, CUSTOMERS)
def test_applied_change_yields_the_customers(before, after):
    base, expected = (
        msgspec.structs.replace(make_set(version, {}), customers=customers)
        for version, customers in ((1, before), (2, after))
    )
    change = compute_change(base, expected)
    assert are_equal(apply_change(base, change), expected)
    unchanged = set(before or ()) & set(after or ())
    assert not unchanged & set(change.result.customers or ())


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
