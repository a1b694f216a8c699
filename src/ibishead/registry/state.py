"""What the registry's log carries: the route set, adapter floors, fencing numbers."""

import logging
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ibishead.errors import InvalidInput, StorageFault
from ibishead.routing.changes import pack, unpack
from ibishead.routing.messages import AdapterFloor
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import WeightKey

__all__ = [
    "FenceTaken",
    "FloorRaised",
    "PutRoutes",
    "RaiseFloor",
    "Rejected",
    "RoutesPut",
    "RouteState",
    "TakeFence",
    "decode_result",
    "encode_command",
]

logger = logging.getLogger(__name__)


class _Tagged(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of commands and results."""


class PutRoutes(_Tagged, frozen=True):
    """Puts a route set in force if its version is the highest.

    :param document: the set as the operator sent it, kept for reading back.
    """

    routes: RouteSet
    document: bytes


class RaiseFloor(_Tagged, frozen=True):
    """Lets no request begin on an older version of an adapter."""

    key: WeightKey
    version: int


class TakeFence(_Tagged, frozen=True):
    """Asks for a fencing number above all others."""

    holder: str


class RoutesPut(_Tagged, frozen=True):
    """Which version is in force now."""

    version: int


class FloorRaised(_Tagged, frozen=True):
    """Which version of the adapter is the floor now."""

    version: int


class FenceTaken(_Tagged, frozen=True):
    """The number."""

    fence: int


class Rejected(_Tagged, frozen=True):
    """The command could not be applied."""

    reason: str


Command: TypeAlias = PutRoutes | RaiseFloor | TakeFence
Result: TypeAlias = RoutesPut | FloorRaised | FenceTaken | Rejected


class _Saved(msgspec.Struct, frozen=True, array_like=True):
    routes: RouteSet | None
    document: bytes
    floors: tuple[AdapterFloor, ...]
    applied: int


class RouteState:
    """The replicated state; the same log gives the same state everywhere.

    :ivar on_change: called after each step that changed routes or floors.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _ignore
        self.routes: RouteSet | None = None
        self.document = b""
        self.floors: dict[WeightKey, AdapterFloor] = {}
        self.applied = 0

    @property
    def version(self) -> int:
        """Version of the route set in force, 0 for none."""
        return 0 if self.routes is None else self.routes.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; a bad one is answered, nothing is raised.

        Failure: a log entry that raises would end every replica at the same place,
        and again after each restart.
        """
        self.applied = index
        try:
            result = self._execute(index, _COMMANDS.decode(unpack(command)))
        except Exception as error:
            logger.exception("a log entry can't be applied", extra={"index": index})
            result = Rejected(str(error))
        return msgspec.msgpack.encode(result)

    def capture(self) -> bytes:
        """Return the whole state, for a snapshot."""
        floors = tuple(self.floors.values())
        saved = _Saved(self.routes, self.document, floors, self.applied)
        return pack(msgspec.msgpack.encode(saved))

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a captured one.

        :raises StorageFault: this is no captured state.
        """
        try:
            saved = msgspec.msgpack.decode(unpack(data), type=_Saved)
        except (msgspec.DecodeError, InvalidInput) as error:
            raise StorageFault(
                f"the snapshot can't be read: {error}",
                "run the version of ibishead that wrote it, or empty this data folder",
            ) from error
        self.routes = saved.routes
        self.document = saved.document
        self.floors = {floor.key: floor for floor in saved.floors}
        self.applied = saved.applied
        self.on_change()

    def list_floors(self, index: int) -> tuple[AdapterFloor, ...]:
        """Return the floors that were raised behind a position of the log."""
        return tuple(f for f in self.floors.values() if f.index > index)

    def _execute(self, index: int, command: Command) -> Result:
        match command:
            case PutRoutes(routes, document):
                if routes.version > self.version:
                    self.routes, self.document = routes, document
                    self.on_change()
                return RoutesPut(self.version)
            case RaiseFloor(key, version):
                known = self.floors.get(key)
                if known is None or version > known.version:
                    self.floors[key] = AdapterFloor(key, version, index)
                    self.on_change()
                return FloorRaised(self.floors[key].version)
            case TakeFence():
                # the position in the log rises with every command, over all restarts
                return FenceTaken(index)


_COMMANDS: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_RESULTS: msgspec.msgpack.Decoder[Result] = msgspec.msgpack.Decoder(Result)


def encode_command(command: Command) -> bytes:
    """Return a command as the log carries it."""
    return pack(msgspec.msgpack.encode(command))


def decode_result(data: bytes) -> Result:
    """Return the result of an applied command."""
    return _RESULTS.decode(data)


def _ignore() -> None:
    pass
