"""Commands of the replicated log and their results, as typed messages.

A command carries everything that its application depends on, so that every replica
computes the same result. Commands are idempotent: a proposer that lost the result
sends the same command again.
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
    """Base of commands and results; instances are immutable and compare by value."""


class SubmitDocument(_Record, frozen=True):
    """Submits a text as the next revision of a service's document.

    :param base: the revision that the operator edited; 0 for a new service.
    :param operator: name of the submitting operator, for the history.
    :param now: time of submission in POSIX seconds by the proposer's clock.
    """

    service: ServiceName
    team: TeamId
    base: Revision
    submission: SubmissionId
    text: str
    operator: str
    now: float


class RegisterTarget(_Record, frozen=True):
    """Assigns an incarnation to an agent process and attaches it to a replica."""

    request: AskRegistration
    replica: ReplicaId


class AttachTarget(_Record, frozen=True):
    """Attaches a registered target to the replica that its agent is linked to."""

    target: TargetId
    incarnation: Incarnation
    replica: ReplicaId


class RetireTarget(_Record, frozen=True):
    """Ends an incarnation unless its agent has attached again in the meantime.

    :param attachment: the attachment that was found without a link.
    """

    target: TargetId
    incarnation: Incarnation
    attachment: LogIndex


class DrainTarget(_Record, frozen=True):
    """Marks the current incarnation of a target as draining."""

    target: TargetId


class ClaimRequest(_Record, frozen=True):
    """Requests the right to run a non-idempotent request once."""

    request: AskClaim


class SettleClaim(_Record, frozen=True):
    """Records the outcome of the attempt under a claim."""

    resolve: ResolveClaim


class AdvanceTime(_Record, frozen=True):
    """Advances the replicated time that claim retention is measured in.

    :param since: the time in seconds that the step starts from; the step has no
        effect when the replicated time differs from it.
    :param seconds: length of the step, as measured by the leader.
    """

    since: float
    seconds: float


class AnnounceReplica(_Record, frozen=True):
    """Publishes the endpoint at which a replica serves links.

    :param host: the replica's host name in the settings.
    :param address: IP address of the link server.
    :param port: TCP port of the link server.
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
    """The submission was accepted as a revision.

    :param index: log index of the change; the revision is in force once every holder
        of documents has applied this index.
    """

    service: ServiceName
    revision: Revision
    submission: SubmissionId
    index: LogIndex


class StaleBase(_Record, frozen=True):
    """The submission's base was not the newest revision.

    :param revision: the newest revision.
    :param submission: the submission that made it.
    :param operator: the operator who submitted it.
    :param accepted_at: when it was accepted, in POSIX seconds.
    """

    service: ServiceName
    revision: Revision
    submission: SubmissionId
    operator: str
    accepted_at: float


class Registered(_Record, frozen=True):
    """The target is registered or attached.

    :param attachment: log index at which the current attachment began.
    """

    incarnation: Incarnation
    attachment: LogIndex


class Done(_Record, frozen=True):
    """The command has taken effect, now or when it was first applied."""

    index: LogIndex


class Rejected(_Record, frozen=True):
    """The command was refused and changed nothing."""

    code: ErrorCode
    message: str
    remedy: str


Result: TypeAlias = Accepted | StaleBase | Registered | ClaimAnswer | Done | Rejected


def encode_command(command: Command) -> bytes:
    """Return the command as the data of a log entry."""
    return encode([command])


def decode_command(data: bytes) -> Command:
    """Return the command of a log entry.

    :raises InvalidInput: the entry holds no known command.
    """
    (command,) = decode_as(data, tuple[Command])
    return command


def encode_result(result: Result) -> bytes:
    """Return a result as the bytes that `StateMachine.apply` returns."""
    return encode([result])


def decode_result(data: bytes) -> Result:
    """Return the result that `Replica.propose` returned as bytes.

    :raises InvalidInput: the data holds no known result.
    """
    (result,) = decode_as(data, tuple[Result])
    return result
