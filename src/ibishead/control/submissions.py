"""Service documents and the results of submissions, as replicated state.

A change is a compare-and-set on the revision that the operator edited. The result of
a submission, including a refusal, is stored without expiry.
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
    :param index: log index of the change.
    :param digest: SHA-256 of the text, in hexadecimal.
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
    """The table's form in snapshots."""

    documents: tuple[DocumentRecord, ...] = ()
    histories: tuple[tuple[ServiceName, tuple[Change, ...]], ...] = ()
    answers: tuple[_Answer, ...] = ()


class DocumentTable:
    """Documents by service, their histories, and the results of all submissions."""

    def __init__(self, saved: SavedDocuments | None = None) -> None:
        saved = saved or SavedDocuments()
        self.documents = {record.service: record for record in saved.documents}
        self.histories = {name: list(changes) for name, changes in saved.histories}
        self._answers = {
            (answer.team, answer.submission): answer for answer in saved.answers
        }

    def save(self) -> SavedDocuments:
        """Return the table in the form that a snapshot stores."""
        return SavedDocuments(
            tuple(self.documents.values()),
            tuple((name, tuple(changes)) for name, changes in self.histories.items()),
            tuple(self._answers.values()),
        )

    def submit(self, index: LogIndex, command: SubmitDocument) -> Result:
        """Apply a submission, or return its recorded result."""
        digest = _digest_submission(command)
        known = self._answers.get((command.team, command.submission))
        # Failure: the answer to an operator is lost, others change the document, and
        # the operator resends. Evaluated again, the submission would be refused, or
        # applied a second time over the others' changes. The recorded result is final,
        # however old it is.
        if known is not None:
            return known.result if known.digest == digest else _refuse_reuse(command)
        result = self._evaluate(index, command)
        if isinstance(result, Accepted):
            self._apply_change(result, command)
        self._answers[command.team, command.submission] = _Answer(
            command.team, command.submission, digest, result
        )
        return result

    def list_changed(self, index: LogIndex) -> list[tuple[LogIndex, DocumentRecord]]:
        """Return documents changed after ``index`` with the index of their last change.

        The oldest change comes first.
        """
        changed = (
            (self.histories[service][-1].index, record)
            for service, record in self.documents.items()
        )
        return sorted((item for item in changed if item[0] > index), key=itemgetter(0))

    def _evaluate(
        self, index: LogIndex, command: SubmitDocument
    ) -> Accepted | StaleBase | Rejected:
        current = self.documents.get(command.service)
        if current is not None and current.team != command.team:
            return Rejected(
                ErrorCode.FORBIDDEN,
                f"service {command.service} belongs to team {current.team}",
                f"submit it as team {current.team}, or choose another service name",
            )
        newest = current.revision if current is not None else Revision(0)
        # Failure: two operators edit the same revision. Without this comparison the
        # later submission would silently revert the accepted change of the earlier one.
        if command.base != newest:
            return _make_stale_base(command.service, current)
        return Accepted(
            command.service, Revision(newest + 1), command.submission, index
        )

    def _apply_change(self, accepted: Accepted, command: SubmitDocument) -> None:
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


def _make_stale_base(service: ServiceName, current: DocumentRecord | None) -> StaleBase:
    if current is None:
        return StaleBase(service, Revision(0), SubmissionId(""), "", 0.0)
    return StaleBase(
        service,
        current.revision,
        SubmissionId(current.submission),
        current.operator,
        current.accepted_at,
    )


def _digest_submission(command: SubmitDocument) -> bytes:
    parts = (command.service, str(command.base), command.text)
    return sha256("\0".join(parts).encode()).digest()


def _refuse_reuse(command: SubmitDocument) -> Rejected:
    return Rejected(
        ErrorCode.KEY_REUSED,
        f"submission id {command.submission} was used for another change",
        "use a new submission id for each change",
    )
