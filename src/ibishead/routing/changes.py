"""Differences between route sets, for receivers that have an older one.

A large route set changes by a few routes at a time, and every program receives each
change. Sending differences makes the traffic proportional to the change, not to the
size of the set.
"""

import zlib
from collections import OrderedDict
from collections.abc import Hashable, Mapping
from typing import TypeVar

import msgspec

from ibishead.errors import InvalidInput
from ibishead.ids import CustomerId
from ibishead.routing.customers import Customer
from ibishead.routing.routes import Route, RouteSet

__all__ = [
    "RouteChange",
    "RouteHistory",
    "apply_change",
    "compute_change",
    "pack",
    "unpack",
]

_K = TypeVar("_K", bound=Hashable)
_V = TypeVar("_V")

#: Number of recent route sets kept, so that a receiver that is a few versions behind
#: gets a difference.
MAX_RETAINED_SETS = 4

#: Size from which data is compressed.
PACK_MIN_BYTES = 1024

#: The fastest compression level. Route names are random, so higher levels save little.
ZLIB_LEVEL = 1

#: Maximum size of decompressed data.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

#: First byte of the zlib format. No msgpack array begins with it.
_ZLIB_FIRST_BYTE = 0x78


class RouteChange(msgspec.Struct, frozen=True, array_like=True):
    """The difference between a route set and a later one.

    :param base: version of the set that it applies to.
    :param removed_routes: host name and path prefix of each removed route.
    :param removed_customers: name of each removed customer.
    :param result: the resulting set, of whose routes and customers it holds only those
        that are new or changed. All other fields are complete.
    """

    base: int
    removed_routes: tuple[tuple[str, str], ...]
    removed_customers: tuple[CustomerId, ...]
    result: RouteSet


def compute_change(base: RouteSet, result: RouteSet) -> RouteChange:
    """Return the change that turns one route set into another."""
    removed_routes, routes = _compare(_index_routes(base), _index_routes(result))
    removed_customers, customers = _compare(
        _index_customers(base), _index_customers(result)
    )
    return RouteChange(
        base.version,
        removed_routes,
        removed_customers,
        msgspec.structs.replace(
            result,
            routes=routes,
            customers=None if result.customers is None else customers,
        ),
    )


def apply_change(base: RouteSet, change: RouteChange) -> RouteSet:
    """Return the route set that results from a change.

    :raises InvalidInput: the change applies to another version.
    """
    if change.base != base.version:
        raise InvalidInput(
            f"a change to version {change.base} does not apply to {base.version}",
            "request the whole route set",
        )
    routes, customers = _index_routes(base), _index_customers(base)
    for location in change.removed_routes:
        routes.pop(location, None)
    for name in change.removed_customers:
        customers.pop(name, None)
    routes.update(_index_routes(change.result))
    customers.update(_index_customers(change.result))
    has_customers = change.result.customers is not None
    return msgspec.structs.replace(
        change.result,
        routes=tuple(routes.values()),
        customers=tuple(customers.values()) if has_customers else None,
    )


class RouteHistory:
    """The most recent route sets, and the newest one encoded for each base version."""

    def __init__(self) -> None:
        self._sets: OrderedDict[int, RouteSet] = OrderedDict()
        self._encoded: dict[int, bytes] = {}

    def add(self, routes: RouteSet) -> None:
        """Add the route set that is now in force, and discard the oldest if needed."""
        if routes.version in self._sets:
            return
        self._sets[routes.version] = routes
        self._encoded.clear()
        while len(self._sets) > MAX_RETAINED_SETS:
            self._sets.popitem(last=False)

    def encode(self, held: int) -> tuple[int, bytes]:
        """Return the newest route set, encoded for a receiver.

        :param held: version that the receiver has, 0 for none.
        :returns: the base version and the encoded change to it; base 0 and the encoded
            whole set if the version held is not in the history.
        """
        newest = next(reversed(self._sets.values()))
        base = self._sets.get(held)
        base_version = 0 if base is None else held
        if base_version not in self._encoded:
            content = newest if base is None else compute_change(base, newest)
            self._encoded[base_version] = pack(msgspec.msgpack.encode(content))
        return base_version, self._encoded[base_version]


def pack(data: bytes) -> bytes:
    """Return data compressed, or unchanged if it is shorter than `PACK_MIN_BYTES`."""
    return data if len(data) < PACK_MIN_BYTES else zlib.compress(data, ZLIB_LEVEL)


def unpack(data: bytes) -> bytes:
    """Reverse `pack`; data that is not compressed is returned unchanged.

    :raises InvalidInput: the compressed data is damaged, truncated or too large.
    """
    if not data or data[0] != _ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise InvalidInput(
            f"compressed data cannot be read: {error}",
            "run the same version of ibishead on both ends",
        ) from error
    if not decompressor.eof:
        raise InvalidInput(
            f"compressed data is truncated or exceeds {MAX_UNPACKED_BYTES} bytes",
            "run the same version of ibishead on both ends",
        )
    return unpacked


def _compare(
    before: Mapping[_K, _V], after: Mapping[_K, _V]
) -> tuple[tuple[_K, ...], tuple[_V, ...]]:
    """Return the keys that were removed, and the values that are new or changed."""
    removed = tuple(key for key in before if key not in after)
    changed = tuple(value for key, value in after.items() if before.get(key) != value)
    return removed, changed


def _index_routes(routes: RouteSet) -> dict[tuple[str, str], Route]:
    return {(route.hostname, route.prefix): route for route in routes.routes}


def _index_customers(routes: RouteSet) -> dict[CustomerId, Customer]:
    return {customer.name: customer for customer in routes.customers or ()}
