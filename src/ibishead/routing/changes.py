"""Differences between route sets, for receivers that have an older one.

A large route set changes by a few routes at a time, and every program receives each
change. Sending differences makes the traffic proportional to the change, not to the
size of the set.
"""

import zlib
from collections import OrderedDict

import msgspec

from ibishead.errors import InvalidInput
from ibishead.routing.routes import CallerLimits, Route, RouteSet, ServiceSpec

__all__ = [
    "RouteChange",
    "RouteHistory",
    "apply_change",
    "compute_change",
    "pack",
    "unpack",
]

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
    :param version: version of the resulting set.
    :param removed: host name and path prefix of each removed route.
    :param routes: routes that are new, or replace those of the same host name and
        prefix.
    :param services: all services of the resulting set.
    :param limits: limits of the resulting set.
    """

    base: int
    version: int
    removed: tuple[tuple[str, str], ...]
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits


def compute_change(base: RouteSet, result: RouteSet) -> RouteChange:
    """Return the change that turns one route set into another."""
    before, after = _index(base), _index(result)
    return RouteChange(
        base.version,
        result.version,
        tuple(key for key in before if key not in after),
        tuple(route for key, route in after.items() if before.get(key) != route),
        result.services,
        result.limits,
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
    routes = _index(base)
    for key in change.removed:
        routes.pop(key, None)
    routes.update({(route.hostname, route.prefix): route for route in change.routes})
    return RouteSet(
        change.version, tuple(routes.values()), change.services, change.limits
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


def _index(routes: RouteSet) -> dict[tuple[str, str], Route]:
    return {(route.hostname, route.prefix): route for route in routes.routes}
