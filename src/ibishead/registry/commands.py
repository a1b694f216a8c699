"""Commands that change the registry's replicated state, and their results."""

from typing import TypeAlias

import msgspec

from ibishead.ids import CustomerId, HostId, PartKey, TargetId
from ibishead.routing.changes import pack, unpack
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import Registration, StreamOrigin, WeightKey

__all__ = [
    "AddOrigins",
    "BlockPart",
    "Command",
    "CreditMarked",
    "DeparturesRecorded",
    "FenceTaken",
    "FloorRaised",
    "OriginsRecorded",
    "PartBlocked",
    "PutRoutes",
    "RaiseFloor",
    "RecordDepartures",
    "Rejected",
    "ReleaseCredit",
    "ReleasePart",
    "RemoveDepartures",
    "RemoveOrigins",
    "Result",
    "RoutesPut",
    "TakeCredit",
    "TakeFence",
    "TryPart",
    "decode_command",
    "decode_result",
    "encode_command",
    "encode_result",
]


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


class BlockPart(_LogRecord, frozen=True):
    """Blocks a prompt part that crashes engines.

    :param customer: customer whose requests with it are refused, ``None`` for everyone.
    """

    part: PartKey
    customer: CustomerId | None


class TryPart(_LogRecord, frozen=True):
    """Lets one gateway send one request with a blocked prompt part.

    :param tester: that gateway.
    """

    part: PartKey
    tester: HostId


class ReleasePart(_LogRecord, frozen=True):
    """Ends the block of a prompt part."""

    part: PartKey


class AddOrigins(_LogRecord, frozen=True):
    """Records services and software versions that begin streams.

    It repeats those that are recorded already: a registry of a former build skips
    entries that it doesn't know, and would miss them for good after its upgrade.
    """

    origins: tuple[StreamOrigin, ...]


class RemoveOrigins(_LogRecord, frozen=True):
    """Removes origins whose streams can't be resumed any more."""

    origins: tuple[StreamOrigin, ...]


class RecordDepartures(_LogRecord, frozen=True):
    """Records that targets drain or are gone.

    :param departures: as `Registration.as_departure` returns them.
    """

    departures: tuple[Registration, ...]


class RemoveDepartures(_LogRecord, frozen=True):
    """Removes departures after which no registration can arrive any more.

    :param targets: each with the start of the incarnation that left.
    """

    targets: tuple[tuple[TargetId, int], ...]


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


class PartBlocked(_LogRecord, frozen=True):
    """Result of `BlockPart`, `TryPart` and `ReleasePart`.

    :param blocked: whether the part is blocked now.
    """

    blocked: bool


class OriginsRecorded(_LogRecord, frozen=True):
    """Result of `AddOrigins` and `RemoveOrigins`."""


class DeparturesRecorded(_LogRecord, frozen=True):
    """Result of `RecordDepartures` and `RemoveDepartures`."""


class Rejected(_LogRecord, frozen=True):
    """Result of a command that could not be applied.

    :param reason: text of the error.
    """

    reason: str


Command: TypeAlias = (
    PutRoutes
    | RaiseFloor
    | TakeFence
    | TakeCredit
    | ReleaseCredit
    | BlockPart
    | TryPart
    | ReleasePart
    | AddOrigins
    | RemoveOrigins
    | RecordDepartures
    | RemoveDepartures
)
Result: TypeAlias = (
    RoutesPut
    | FloorRaised
    | FenceTaken
    | CreditMarked
    | PartBlocked
    | OriginsRecorded
    | DeparturesRecorded
    | Rejected
)


_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_RESULT_DECODER: msgspec.msgpack.Decoder[Result] = msgspec.msgpack.Decoder(Result)


def encode_command(command: Command) -> bytes:
    """Return a command as it is stored in the log."""
    return pack(msgspec.msgpack.encode(command))


def decode_command(data: bytes) -> Command:
    """Decode a command as it is stored in the log."""
    return _COMMAND_DECODER.decode(unpack(data))


def encode_result(result: Result) -> bytes:
    """Return the encoding of a command's result."""
    return msgspec.msgpack.encode(result)


def decode_result(data: bytes) -> Result:
    """Decode the result that `RouteState.apply` returned."""
    return _RESULT_DECODER.decode(data)
