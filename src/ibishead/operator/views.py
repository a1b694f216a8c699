"""What control and the entry hosts tell operators, and how it reads as text."""

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
    """The answer to an accepted submission."""

    service: str
    revision: int
    submission: str
    index: int
    in_force: bool = False


class InForceView(msgspec.Struct):
    """Whether an index is in force, and which hosts haven't applied it."""

    in_force: bool
    waiting_for: list[str] = []


class DocumentView(msgspec.Struct):
    """A service's newest document."""

    service: str
    team: str
    revision: int
    submission: str = ""
    operator: str = ""
    accepted_at: float = 0.0
    text: str = ""


class ChangeView(msgspec.Struct):
    """One accepted change of a service's document."""

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
    """A control replica by its own account.

    :param lease: seconds for which it may still answer reads.
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
    """What was learnt of the replica at an endpoint."""

    endpoint: str
    status: StatusView | None = None
    error: str = ""


class ReplacementView(msgspec.Struct):
    """The replica that takes a lost one's place."""

    replica: str


class StepView(msgspec.Struct):
    """One decision on a request.

    :param at: seconds since the request came.
    """

    stage: str
    decision: str
    reason: str = ""
    at: float = 0.0


class TraceView(msgspec.Struct):
    """What each stage decided about a request, and why."""

    request: str
    outcome: str = ""
    steps: list[StepView] = []


def format_document(document: DocumentView) -> str:
    """Return a document with a heading that INI takes for a comment."""
    return (
        f"# service {document.service}, team {document.team}, "
        f"revision {document.revision}, {format_moment(document.accepted_at)}\n"
        f"# by operator {document.operator}, submission {document.submission}\n"
        f"{document.text.rstrip()}"
    )


def format_history(history: HistoryView) -> str:
    """Return one line for each change, the newest first."""
    rows = [
        (
            str(change.revision),
            format_moment(change.accepted_at),
            change.operator,
            change.submission,
        )
        for change in reversed(history.changes)
    ]
    return format_table(("revision", "accepted", "operator", "submission"), rows)


def format_replicas(replicas: Iterable[ReplicaView]) -> str:
    """Return one line for each replica."""
    return format_table(
        ("endpoint", "replica", "leader", "index", "lease", "voters", "learners"),
        [_format_replica(replica) for replica in replicas],
    )


def format_targets(targets: Iterable[TargetView]) -> str:
    """Return one line for each target."""
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
    """Return one line for each decision."""
    rows = [
        (f"{step.at:.4f} s", step.stage, step.decision, step.reason)
        for step in trace.steps
    ]
    table = format_table(("after", "stage", "decision", "reason"), rows)
    return f"request {trace.request}: {trace.outcome}\n{table}"


def format_moment(posix_seconds: float) -> str:
    """Return a moment in UTC, to the second."""
    return datetime.fromtimestamp(posix_seconds, UTC).isoformat("T", "seconds")


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows under their header, each column as wide as it needs."""
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
