"""The registry's replicated state, and the commands that change it.

The state is the route set, the floors (minimum versions) of adapters, the fencing
numbers, and whether the accounts of quotas have lately been credited in advance.
"""

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
    "CreditMarked",
    "FenceTaken",
    "FloorRaised",
    "PutRoutes",
    "RaiseFloor",
    "Rejected",
    "ReleaseCredit",
    "RoutesPut",
    "RouteState",
    "TakeCredit",
    "TakeFence",
    "decode_result",
    "encode_command",
]

logger = logging.getLogger(__name__)


class _LogRecord(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of commands and results."""


class PutRoutes(_LogRecord, frozen=True):
    """Puts a route set in force if its version is the highest.

    :param document: the set as the operator submitted it, stored for reading back.
    """

    routes: RouteSet
    document: bytes


class RaiseFloor(_LogRecord, frozen=True):
    """Raises the minimum version of an adapter on which new requests may start."""

    key: WeightKey
    version: int


class TakeFence(_LogRecord, frozen=True):
    """Allocates a fencing number higher than all earlier ones.

    :param holder: host that uses the number.
    """

    holder: str


class TakeCredit(_LogRecord, frozen=True):
    """Marks that the keeper of quotas credits its accounts in advance.

    It must not unless the result says that no earlier credit was marked.

    :param term: term of the leader that keeps the accounts.
    """

    term: int


class ReleaseCredit(_LogRecord, frozen=True):
    """Removes the mark of a credit that no longer counts in any window.

    :param term: term of the leader that took it.
    """

    term: int


class RoutesPut(_LogRecord, frozen=True):
    """Result of `PutRoutes`.

    :param version: version of the route set in force.
    """

    version: int


class FloorRaised(_LogRecord, frozen=True):
    """Result of `RaiseFloor`.

    :param version: minimum version of the adapter in force.
    """

    version: int


class FenceTaken(_LogRecord, frozen=True):
    """Result of `TakeFence`.

    :param fence: the fencing number.
    """

    fence: int


class CreditMarked(_LogRecord, frozen=True):
    """Result of `TakeCredit` and `ReleaseCredit`.

    :param granted: whether the credit may be given.
    """

    granted: bool


class Rejected(_LogRecord, frozen=True):
    """Result of a command that could not be applied.

    :param reason: text of the error.
    """

    reason: str


Command: TypeAlias = PutRoutes | RaiseFloor | TakeFence | TakeCredit | ReleaseCredit
Result: TypeAlias = RoutesPut | FloorRaised | FenceTaken | CreditMarked | Rejected


class _SavedState(msgspec.Struct, frozen=True, array_like=True):
    routes: RouteSet | None
    document: bytes
    floors: tuple[AdapterFloor, ...]
    applied: int
    credit_term: int = 0


class RouteState:
    """The replicated state; applying the same log gives the same state on all replicas.

    :ivar on_change: called after each command that changed routes or floors.
    :ivar document: the route set in force as submitted; empty if there is none.
    :ivar applied: log index of the last applied command.
    :ivar credit_term: term of the leader that was the last to credit the accounts of
        quotas in advance, 0 if no such credit counts any more.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _do_nothing
        self.routes: RouteSet | None = None
        self.document = b""
        self.floors: dict[WeightKey, AdapterFloor] = {}
        self.applied = 0
        self.credit_term = 0

    @property
    def version(self) -> int:
        """Version of the route set in force, 0 if there is none."""
        return 0 if self.routes is None else self.routes.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result.

        An error results in `Rejected` and is not raised: an entry that raised would
        stop every replica at the same index, and again after each restart.
        """
        self.applied = index
        try:
            result = self._execute(index, _COMMAND_DECODER.decode(unpack(command)))
        except Exception as error:
            logger.exception("log entry cannot be applied", extra={"index": index})
            result = Rejected(str(error))
        return msgspec.msgpack.encode(result)

    def capture(self) -> bytes:
        """Return the encoded state for a snapshot."""
        floors = tuple(self.floors.values())
        saved = _SavedState(
            self.routes, self.document, floors, self.applied, self.credit_term
        )
        return pack(msgspec.msgpack.encode(saved))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot.

        :raises StorageFault: the data is not a valid snapshot.
        """
        try:
            saved = msgspec.msgpack.decode(unpack(data), type=_SavedState)
        except (msgspec.DecodeError, InvalidInput) as error:
            raise StorageFault(
                f"the snapshot cannot be decoded: {error}",
                "run the version of ibishead that wrote it, or empty this data folder",
            ) from error
        self.routes = saved.routes
        self.document = saved.document
        self.floors = {floor.key: floor for floor in saved.floors}
        self.applied = saved.applied
        self.credit_term = saved.credit_term
        self.on_change()

    def list_floors(self, index: int) -> tuple[AdapterFloor, ...]:
        """Return the floors that were raised after a log index."""
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
                # The log index rises with every command, also across restarts
                return FenceTaken(index)
            case TakeCredit(term):
                granted = self.credit_term == 0 and self._has_quotas()
                if granted:
                    self.credit_term = term
                return CreditMarked(granted)
            case ReleaseCredit(term):
                if self.credit_term == term:
                    self.credit_term = 0
                return CreditMarked(False)

    def _has_quotas(self) -> bool:
        customers = self.routes.customers if self.routes is not None else None
        return any(customer.quota is not None for customer in customers or ())


_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_RESULT_DECODER: msgspec.msgpack.Decoder[Result] = msgspec.msgpack.Decoder(Result)


def encode_command(command: Command) -> bytes:
    """Return a command as it is stored in the log."""
    return pack(msgspec.msgpack.encode(command))


def decode_result(data: bytes) -> Result:
    """Decode the result that `RouteState.apply` returned."""
    return _RESULT_DECODER.decode(data)


def _do_nothing() -> None:
    pass
