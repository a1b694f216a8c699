"""Responses of the operators' API, and their presentation as text."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

import msgspec

__all__ = [
    "DocumentView",
    "HistoryView",
    "InForceView",
    "ReplicaView",
    "ReplacementView",
    "StatusView",
    "SubmissionView",
    "TargetView",
    "TraceView",
    "format_document",
    "format_history",
    "format_replicas",
    "format_targets",
    "format_trace",
]


class SubmissionView(msgspec.Struct):
    """The response to an accepted submission."""

    service: str
    revision: int
    submission: str
    index: int
    in_force: bool = False


class InForceView(msgspec.Struct):
    """Whether a log index is in force, and the hosts that have not applied it yet."""

    in_force: bool
    waiting_for: list[str] = []


class DocumentView(msgspec.Struct):
    """The current document of a service.

    :ivar accepted_at: POSIX time in seconds.
    """

    service: str
    team: str
    revision: int
    submission: str = ""
    operator: str = ""
    accepted_at: float = 0.0
    text: str = ""


class ChangeView(msgspec.Struct):
    """One accepted change of a service's document.

    :ivar accepted_at: POSIX time in seconds.
    """

    revision: int
    submission: str = ""
    operator: str = ""
    accepted_at: float = 0.0


class HistoryView(msgspec.Struct):
    """All accepted changes of a service's document."""

    service: str
    changes: list[ChangeView] = []


class TargetView(msgspec.Struct):
    """A registered target."""

    target: str
    service: str
    kind: str
    host: str
    failure_domain: str
    incarnation: int
    draining: bool = False


class StatusView(msgspec.Struct):
    """The state of a control replica, as reported by the replica itself.

    :ivar lease: the remaining time in seconds during which it may serve reads.
    """

    replica: str
    leader: str = ""
    index: int = 0
    voters: list[str] = []
    learners: list[str] = []
    subscribers: int = 0
    claims: int = 0
    lease: float = 0.0


class ReplicaView(msgspec.Struct):
    """The status of the replica at an endpoint, or the error if it is unavailable."""

    endpoint: str
    status: StatusView | None = None
    error: str = ""


class ReplacementView(msgspec.Struct):
    """The new replica that replaces a lost one."""

    replica: str


class StepView(msgspec.Struct):
    """One decision about a request.

    :ivar at: the time in seconds since the request arrived.
    """

    stage: str
    decision: str
    reason: str = ""
    at: float = 0.0


class TraceView(msgspec.Struct):
    """The decisions of all stages about a request, with their reasons."""

    request: str
    outcome: str = ""
    steps: list[StepView] = []


def format_document(document: DocumentView) -> str:
    """Return the text of a document, preceded by a header in INI comments."""
    return (
        f"# service {document.service}, team {document.team}, "
        f"revision {document.revision}, {format_time(document.accepted_at)}\n"
        f"# by operator {document.operator}, submission {document.submission}\n"
        f"{document.text.rstrip()}"
    )


def format_history(history: HistoryView) -> str:
    """Return a table with one row for each change, the newest first."""
    rows = [
        (
            str(change.revision),
            format_time(change.accepted_at),
            change.operator,
            change.submission,
        )
        for change in reversed(history.changes)
    ]
    return format_table(("revision", "accepted", "operator", "submission"), rows)


def format_replicas(replicas: Iterable[ReplicaView]) -> str:
    """Return a table with one row for each replica."""
    return format_table(
        ("endpoint", "replica", "leader", "index", "lease", "voters", "learners"),
        [_format_replica(replica) for replica in replicas],
    )


def format_targets(targets: Iterable[TargetView]) -> str:
    """Return a table with one row for each target."""
    rows = [
        (
            target.target,
            target.service,
            target.kind,
            target.host,
            target.failure_domain,
            str(target.incarnation),
            "draining" if target.draining else "serving",
        )
        for target in targets
    ]
    header = ("target", "service", "kind", "host", "failure_domain", "incarnation")
    return format_table((*header, "state"), rows)


def format_trace(trace: TraceView) -> str:
    """Return a table with one row for each decision about a request."""
    rows = [
        (f"{step.at:.4f} s", step.stage, step.decision, step.reason)
        for step in trace.steps
    ]
    table = format_table(("after", "stage", "decision", "reason"), rows)
    return f"request {trace.request}: {trace.outcome}\n{table}"


def format_time(posix_seconds: float) -> str:
    """Return a POSIX time as ISO 8601 text in UTC, in whole seconds."""
    return datetime.fromtimestamp(posix_seconds, UTC).isoformat("T", "seconds")


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table of the header and the rows, with aligned columns."""
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in (header, *rows)
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_replica(replica: ReplicaView) -> tuple[str, ...]:
    status = replica.status
    if status is None:
        return (replica.endpoint, "?", replica.error, "", "", "", "")
    return (
        replica.endpoint,
        status.replica,
        status.leader or "none",
        str(status.index),
        f"{status.lease:.1f} s",
        ",".join(status.voters),
        ",".join(status.learners),
    )
