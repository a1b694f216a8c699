"""The difference between two route sets, for receivers that hold the older one.

A large document changes by a few routes at a time, and every program of the system
takes each change. What is sent so grows with the change and not with the document.
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
    "find_change",
    "pack",
    "unpack",
]

#: Route sets that are kept, so that a receiver which is a few versions behind gets a
#: difference.
KEPT_SETS = 4

#: Bytes from which data is compressed.
PACKED_FROM = 1024

#: Level of zlib, the quickest; names of routes are random, and more gains little.
PACK_LEVEL = 1

#: Largest data that is unpacked, in bytes.
MAX_UNPACKED = 64 * 1024 * 1024

#: First byte of zlib's format. No array of msgpack begins with it.
_ZLIB_MARK = 0x78


class RouteChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns one route set into a later one.

    :param base: version of the set that it applies to.
    :param version: of the set that results.
    :param removed: host name and path prefix of each route that is no longer there.
    :param routes: routes that are new, or differ from those at the same place.
    """

    base: int
    version: int
    removed: tuple[tuple[str, str], ...]
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits


def find_change(base: RouteSet, wanted: RouteSet) -> RouteChange:
    """Return what turns one set into another."""
    before, after = _index(base), _index(wanted)
    return RouteChange(
        base.version,
        wanted.version,
        tuple(place for place in before if place not in after),
        tuple(route for place, route in after.items() if before.get(place) != route),
        wanted.services,
        wanted.limits,
    )


def apply_change(base: RouteSet, change: RouteChange) -> RouteSet:
    """Return the set that a change leads to.

    :raises InvalidInput: the change belongs to another set.
    """
    if change.base != base.version:
        raise InvalidInput(
            f"a change of version {change.base} doesn't fit version {base.version}",
            "ask for the whole route set",
        )
    routes = _index(base)
    for place in change.removed:
        routes.pop(place, None)
    routes.update({(route.hostname, route.prefix): route for route in change.routes})
    return RouteSet(
        change.version, tuple(routes.values()), change.services, change.limits
    )


class RouteHistory:
    """The last route sets that were in force, and what receivers are sent of them."""

    def __init__(self) -> None:
        self._sets: OrderedDict[int, RouteSet] = OrderedDict()
        self._encoded: dict[int, bytes] = {}

    def add(self, routes: RouteSet) -> None:
        """Take in the set that is in force now."""
        if routes.version in self._sets:
            return
        self._sets[routes.version] = routes
        self._encoded.clear()
        while len(self._sets) > KEPT_SETS:
            self._sets.popitem(last=False)

    def encode(self, held: int) -> tuple[int, bytes]:
        """Return the newest set for a receiver: the base of the change, and its bytes.

        :param held: version that the receiver has, 0 for none.
        :returns: base 0 with the whole set, where the version held isn't kept here.
        """
        newest = next(reversed(self._sets.values()))
        base = self._sets.get(held)
        number = 0 if base is None else held
        if number not in self._encoded:
            content = newest if base is None else find_change(base, newest)
            self._encoded[number] = pack(msgspec.msgpack.encode(content))
        return number, self._encoded[number]


def pack(data: bytes) -> bytes:
    """Return data compressed, or as it is where it is short."""
    return data if len(data) < PACKED_FROM else zlib.compress(data, PACK_LEVEL)


def unpack(data: bytes) -> bytes:
    """Return what `pack` was given; data that was never packed comes back as it is.

    :raises InvalidInput: the data is damaged, or larger than any route set.
    """
    if not data or data[0] != _ZLIB_MARK:
        return data
    reader = zlib.decompressobj()
    try:
        whole = reader.decompress(data, MAX_UNPACKED)
    except zlib.error as error:
        raise InvalidInput(
            f"packed data can't be read: {error}",
            "run the same version of ibishead on both ends",
        ) from error
    if not reader.eof:
        raise InvalidInput(
            f"packed data is cut off or exceeds {MAX_UNPACKED} bytes",
            "run the same version of ibishead on both ends",
        )
    return whole


def _index(routes: RouteSet) -> dict[tuple[str, str], Route]:
    return {(route.hostname, route.prefix): route for route in routes.routes}
