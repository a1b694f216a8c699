"""What operators are shown of the control state, as JSON."""

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
    """A submission that is durable; ``/v1/in-force`` tells the rest."""

    service: str
    revision: int
    submission: str
    index: int
    in_force: bool


class InForce(msgspec.Struct):
    """Whether a change is in force, and which holders it hasn't reached."""

    in_force: bool
    waiting_for: list[HostId]


class Document(msgspec.Struct):
    """A document at its newest revision."""

    service: str
    team: str
    revision: int
    submission: str
    operator: str
    accepted_at: float
    text: str = ""


class History(msgspec.Struct):
    """All accepted changes of a service, oldest first."""

    service: str
    changes: list[dict[str, Any]]


class Replacement(msgspec.Struct):
    """Asks to replace a lost replica by a new one on a host."""

    lost: str
    host: str


class Status(msgspec.Struct):
    """Where a replica stands."""

    replica: str
    leader: str
    index: int
    voters: list[str]
    learners: list[str]
    subscribers: int
    claims: int
    lease: float


def describe_document(record: DocumentRecord, text: bool = False) -> Document:
    """Return what is shown of a document.

    :param text: with its text.
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
    """Return what is shown of a change in a history."""
    return msgspec.structs.asdict(change)


def describe_conflict(stale: StaleBase, base: Revision) -> Conflict:
    """Return the error that names the winner, when it won, and the remedy."""
    if stale.revision == 0:
        return Conflict(
            f"service {stale.service} has no revision {base}",
            "submit a new service with base 0",
        )
    moment = datetime.fromtimestamp(stale.accepted_at, UTC).isoformat("T", "seconds")
    return Conflict(
        f"base {base} is not the newest revision of {stale.service}: {stale.operator} "
        f"made revision {stale.revision} at {moment} by submission {stale.submission}",
        f"read revision {stale.revision}, make the change on it, and submit it with "
        f"base {stale.revision} and a new submission id",
    )
