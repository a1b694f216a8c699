"""JSON documents of the operators' HTTP interface."""

from datetime import UTC, datetime
from typing import Any

import msgspec

from ibishead.control.commands import StaleBase
from ibishead.control.submissions import Change
from ibishead.errors import Conflict
from ibishead.ids import HostId, Revision
from ibishead.messages import DocumentRecord

__all__ = [
    "Document",
    "History",
    "InForce",
    "Replacement",
    "Status",
    "Submitted",
    "describe_change",
    "describe_conflict",
    "describe_document",
]


class Submitted(msgspec.Struct):
    """Response to an accepted submission, sent once the change is durable.

    ``/v1/in-force`` reports when the change is in force at all holders.

    :param index: log index of the change.
    """

    service: str
    revision: int
    submission: str
    index: int
    in_force: bool


class InForce(msgspec.Struct):
    """Whether a change is in force, and the hosts that may not have applied it."""

    in_force: bool
    waiting_for: list[HostId]


class Document(msgspec.Struct):
    """A service document at its newest revision.

    :param accepted_at: POSIX seconds by the proposer's clock.
    :param text: text of the document, empty in a listing.
    """

    service: str
    team: str
    revision: int
    submission: str
    operator: str
    accepted_at: float
    text: str = ""


class History(msgspec.Struct):
    """All accepted changes of a service's document, oldest first."""

    service: str
    changes: list[dict[str, Any]]


class Replacement(msgspec.Struct):
    """Body of a request to replace a lost replica by a new one.

    :param lost: the replica to remove, by its id or its name in the settings.
    :param host: control host of the new replica.
    """

    lost: str
    host: str


class Status(msgspec.Struct):
    """Status of a replica.

    :param index: log index of the last command that it has applied.
    :param subscribers: number of subscribers that are linked to it.
    :param claims: number of stored claims.
    :param lease: remaining seconds of its lease on its state.
    """

    replica: str
    leader: str
    index: int
    voters: list[str]
    learners: list[str]
    subscribers: int
    claims: int
    lease: float


def describe_document(record: DocumentRecord, text: bool = False) -> Document:
    """Return the JSON view of a document.

    :param text: include the document's text.
    """
    return Document(
        record.service,
        record.team,
        record.revision,
        record.submission,
        record.operator,
        record.accepted_at,
        record.text if text else "",
    )


def describe_change(change: Change) -> dict[str, Any]:
    """Return the JSON view of a change in a history."""
    return msgspec.structs.asdict(change)


def describe_conflict(stale: StaleBase, base: Revision) -> Conflict:
    """Return the error for a submission whose base is not the newest revision.

    It names the newest revision, its operator and time, and the remedy.
    """
    if stale.revision == 0:
        return Conflict(
            f"service {stale.service} has no revision {base}",
            "submit a new service with base 0",
        )
    moment = datetime.fromtimestamp(stale.accepted_at, UTC).isoformat("T", "seconds")
    return Conflict(
        f"base {base} is not the newest revision of {stale.service}: {stale.operator} "
        f"made revision {stale.revision} at {moment} by submission {stale.submission}",
        f"read revision {stale.revision}, apply the change to it, and submit it with "
        f"base {stale.revision} and a new submission id",
    )
