"""Accepted service documents and every submission's answer, as replicated state.

A change is a compare-and-set on the revision that the operator edited. The answer
to a submission is kept for ever, refusals included.
"""

from hashlib import sha256
from operator import itemgetter

import msgspec

from ibishead.control.commands import (
    Accepted,
    Rejected,
    Result,
    StaleBase,
    SubmitDocument,
)
from ibishead.errors import ErrorCode
from ibishead.ids import LogIndex, Revision, ServiceName, SubmissionId, TeamId
from ibishead.messages import DocumentRecord

__all__ = ["Change", "DocumentTable", "SavedDocuments"]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change in a service's history.

    :param accepted_at: POSIX seconds by the proposer's clock.
    :param digest: SHA-256 of the text.
    """

    revision: Revision
    submission: SubmissionId
    operator: str
    accepted_at: float
    index: LogIndex
    digest: str


class _Answer(msgspec.Struct, frozen=True, array_like=True):
    team: TeamId
    submission: SubmissionId
    digest: bytes
    result: Accepted | StaleBase | Rejected


class SavedDocuments(msgspec.Struct, frozen=True, array_like=True):
    """The table as a snapshot holds it."""

    documents: tuple[DocumentRecord, ...] = ()
    histories: tuple[tuple[ServiceName, tuple[Change, ...]], ...] = ()
    answers: tuple[_Answer, ...] = ()


class DocumentTable:
    """Documents by service, with their histories and the submissions' answers."""

    def __init__(self, saved: SavedDocuments | None = None) -> None:
        saved = saved or SavedDocuments()
        self.documents = {record.service: record for record in saved.documents}
        self.histories = {name: list(changes) for name, changes in saved.histories}
        self._answers = {
            (answer.team, answer.submission): answer for answer in saved.answers
        }

    def save(self) -> SavedDocuments:
        """Return the table for a snapshot."""
        return SavedDocuments(
            tuple(self.documents.values()),
            tuple((name, tuple(held)) for name, held in self.histories.items()),
            tuple(self._answers.values()),
        )

    def submit(self, index: LogIndex, command: SubmitDocument) -> Result:
        """Apply a submission, or return the answer that it got before."""
        digest = _digest_submission(command)
        known = self._answers.get((command.team, command.submission))
        # Failure: an operator's answer is lost, others change the document, the
        # operator resends. Judged anew it would be refused, or applied a second
        # time over the others' work. The first answer stands, however old it is.
        if known is not None:
            return known.result if known.digest == digest else _refuse_reuse(command)
        result = self._judge(index, command)
        if isinstance(result, Accepted):
            self._take(result, command)
        self._answers[command.team, command.submission] = _Answer(
            command.team, command.submission, digest, result
        )
        return result

    def list_changed(self, index: LogIndex) -> list[tuple[LogIndex, DocumentRecord]]:
        """Return the documents changed after ``index``, with when, oldest first."""
        changed = (
            (self.histories[service][-1].index, record)
            for service, record in self.documents.items()
        )
        return sorted((item for item in changed if item[0] > index), key=itemgetter(0))

    def _judge(
        self, index: LogIndex, command: SubmitDocument
    ) -> Accepted | StaleBase | Rejected:
        held = self.documents.get(command.service)
        if held is not None and held.team != command.team:
            return Rejected(
                ErrorCode.FORBIDDEN,
                f"service {command.service} belongs to team {held.team}",
                f"submit it as team {held.team}, or choose another service name",
            )
        newest = held.revision if held is not None else Revision(0)
        # Failure: two operators edit the same revision. Without the comparison the
        # later one would undo the earlier one's accepted change unseen.
        if command.base != newest:
            return _describe_winner(command.service, held)
        return Accepted(
            command.service, Revision(newest + 1), command.submission, index
        )

    def _take(self, accepted: Accepted, command: SubmitDocument) -> None:
        self.documents[command.service] = DocumentRecord(
            command.service,
            command.team,
            accepted.revision,
            command.text,
            command.submission,
            command.operator,
            command.now,
        )
        change = Change(
            accepted.revision,
            command.submission,
            command.operator,
            command.now,
            accepted.index,
            sha256(command.text.encode()).hexdigest(),
        )
        self.histories.setdefault(command.service, []).append(change)


def _describe_winner(service: ServiceName, held: DocumentRecord | None) -> StaleBase:
    if held is None:
        return StaleBase(service, Revision(0), SubmissionId(""), "", 0.0)
    return StaleBase(
        service,
        held.revision,
        SubmissionId(held.submission),
        held.operator,
        held.accepted_at,
    )


def _digest_submission(command: SubmitDocument) -> bytes:
    parts = (command.service, str(command.base), command.text)
    return sha256("\0".join(parts).encode()).digest()


def _refuse_reuse(command: SubmitDocument) -> Rejected:
    return Rejected(
        ErrorCode.KEY_REUSED,
        f"submission {command.submission} was another change",
        "give each change a submission id of its own",
    )
