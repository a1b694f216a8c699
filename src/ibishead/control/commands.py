"""Commands of the replicated log and their results, as typed messages.

A command holds all that its application depends on, so that every replica comes to
the same result. All of them are idempotent: a proposer that lost the answer sends
the same command again.
"""

from typing import TypeAlias

import msgspec

from ibishead.codec import decode_as, encode
from ibishead.errors import ErrorCode
from ibishead.ids import (
    HostId,
    Incarnation,
    LogIndex,
    ReplicaId,
    Revision,
    ServiceName,
    SubmissionId,
    TargetId,
    TeamId,
)
from ibishead.messages import AskClaim, AskRegistration, ClaimAnswer, ResolveClaim

__all__ = [
    "Accepted",
    "AdvanceTime",
    "AnnounceReplica",
    "AttachTarget",
    "ClaimRequest",
    "Command",
    "Done",
    "DrainTarget",
    "Registered",
    "RegisterTarget",
    "Rejected",
    "Result",
    "RetireTarget",
    "SettleClaim",
    "StaleBase",
    "SubmitDocument",
    "decode_command",
    "decode_result",
    "encode_command",
    "encode_result",
]


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of commands and results: immutable, compared by value."""


class SubmitDocument(_Record, frozen=True):
    """Makes a text the next revision of a service's document.

    :param base: the revision that the operator edited; 0 for a new service.
    :param operator: who submitted, for the history.
    :param now: POSIX seconds by the proposer's clock.
    """

    service: ServiceName
    team: TeamId
    base: Revision
    submission: SubmissionId
    text: str
    operator: str
    now: float


class RegisterTarget(_Record, frozen=True):
    """Gives one life of an agent its incarnation and attaches it to a replica."""

    ask: AskRegistration
    replica: ReplicaId


class AttachTarget(_Record, frozen=True):
    """Attaches a registered target to the replica that its agent is linked to."""

    target: TargetId
    incarnation: Incarnation
    replica: ReplicaId


class RetireTarget(_Record, frozen=True):
    """Ends an incarnation unless its agent has attached anew in the meantime."""

    target: TargetId
    incarnation: Incarnation
    attachment: LogIndex


class DrainTarget(_Record, frozen=True):
    """Marks a target's present incarnation as leaving."""

    target: TargetId


class ClaimRequest(_Record, frozen=True):
    """Asks for the right to run a non-idempotent request once."""

    ask: AskClaim


class SettleClaim(_Record, frozen=True):
    """Records how the attempt under a claim ended."""

    resolve: ResolveClaim


class AdvanceTime(_Record, frozen=True):
    """Moves the time by which claims are retained.

    :param since: the time that the step starts from; at another one it is void.
    :param seconds: how far, as the leader has measured.
    """

    since: float
    seconds: float


class AnnounceReplica(_Record, frozen=True):
    """Tells the other replicas where this one serves links.

    :param host: its name in the settings.
    :param port: of the link server at ``address``.
    """

    replica: ReplicaId
    host: HostId
    address: str
    port: int


Command: TypeAlias = (
    SubmitDocument
    | RegisterTarget
    | AttachTarget
    | RetireTarget
    | DrainTarget
    | ClaimRequest
    | SettleClaim
    | AdvanceTime
    | AnnounceReplica
)


class Accepted(_Record, frozen=True):
    """The submission became a revision.

    :param index: of the log; the revision is in force once all holders are there.
    """

    service: ServiceName
    revision: Revision
    submission: SubmissionId
    index: LogIndex


class StaleBase(_Record, frozen=True):
    """The submission's base was not the newest revision.

    :param revision: the newest one, with who made it and when (POSIX seconds).
    """

    service: ServiceName
    revision: Revision
    submission: SubmissionId
    operator: str
    accepted_at: float


class Registered(_Record, frozen=True):
    """The incarnation, and the number of the attachment that began now."""

    incarnation: Incarnation
    attachment: LogIndex


class Done(_Record, frozen=True):
    """The command has taken effect, now or when it was first applied."""

    index: LogIndex


class Rejected(_Record, frozen=True):
    """The command changed nothing."""

    code: ErrorCode
    message: str
    remedy: str


Result: TypeAlias = Accepted | StaleBase | Registered | ClaimAnswer | Done | Rejected


def encode_command(command: Command) -> bytes:
    """Return the command as a log entry."""
    return encode([command])


def decode_command(data: bytes) -> Command:
    """Return the command of a log entry.

    :raises InvalidInput: the entry holds no known command.
    """
    (command,) = decode_as(data, tuple[Command])
    return command


def encode_result(result: Result) -> bytes:
    """Return a result as the log hands it back."""
    return encode([result])


def decode_result(data: bytes) -> Result:
    """Return the result that the log handed back.

    :raises InvalidInput: the data holds no known result.
    """
    (result,) = decode_as(data, tuple[Result])
    return result
