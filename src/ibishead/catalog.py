"""What a program holds of the control state: documents, targets and a lease.

A catalog only moves forward: a document of a lower revision, or a target of a lower
incarnation, is never taken, whoever sends it.
"""

from dataclasses import dataclass

from ibishead.documents import ServiceDocument, parse_document
from ibishead.ids import Incarnation, ServiceName, TargetId
from ibishead.messages import DocumentRecord, Publish, TargetRecord

__all__ = ["Catalog", "HeldDocument"]

#: Reports remembered without an answer; an answer to an older one is worth nothing,
#: as the lease that it would renew has run out.
MAX_OPEN_REPORTS = 32


@dataclass(frozen=True)
class HeldDocument:
    """A document as accepted, and what it says."""

    record: DocumentRecord
    document: ServiceDocument


class Catalog:
    """Documents and targets up to one index of the control log.

    :ivar index: all changes up to this index of the log are applied.
    """

    def __init__(self) -> None:
        self.index = 0
        self._documents: dict[ServiceName, HeldDocument] = {}
        self._targets: dict[TargetId, TargetRecord] = {}
        self._ended: dict[TargetId, Incarnation] = {}
        self._reports: dict[int, float] = {}
        self._lease_until = float("-inf")

    def apply(self, publish: Publish) -> None:
        """Take a delta, or the whole state, from a replica.

        :raises InvalidInput: a document can't be parsed by this program's version.
        """
        if publish.whole:
            self._drop_targets_missing_in(publish)
        for record in publish.documents:
            self.offer(record)
        for target, incarnation in publish.gone:
            self._end(target, incarnation)
        for target_record in publish.targets:
            self._take_target(target_record)
        self.index = max(self.index, publish.index)

    def offer(self, record: DocumentRecord) -> bool:
        """Take a document if it is newer, and return whether it was."""
        held = self._documents.get(record.service)
        # A replica that was cut off, or a delayed message, may bring an old
        # revision: taking it would undo an accepted change on this host.
        if held is not None and held.record.revision >= record.revision:
            return False
        self._documents[record.service] = HeldDocument(
            record, parse_document(record.text)
        )
        return True

    def find_document(self, service: ServiceName) -> HeldDocument | None:
        """Return the newest document of a service, or none."""
        return self._documents.get(service)

    def list_documents(self) -> list[HeldDocument]:
        """Return all documents by service name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def find_target(self, target: TargetId) -> TargetRecord | None:
        """Return a live target, or none."""
        return self._targets.get(target)

    def list_targets(self, service: ServiceName | None = None) -> list[TargetRecord]:
        """Return the live targets of one service, or of all."""
        return [
            record
            for record in self._targets.values()
            if service is None or record.service == service
        ]

    def note_report(self, number: int, now: float) -> None:
        """Remember when a report was sent, to count a lease from then."""
        self._reports[number] = now
        while len(self._reports) > MAX_OPEN_REPORTS:
            del self._reports[next(iter(self._reports))]

    def renew(self, publish: Publish, now: float) -> None:
        """Extend the lease by an answered report.

        :param now: monotonic seconds; the lease never reaches past ``now`` plus
            its own length.
        """
        sent = self._reports.get(publish.answers)
        if sent is None:
            return
        self._reports = {n: t for n, t in self._reports.items() if n > publish.answers}
        self._lease_until = max(self._lease_until, min(sent, now) + publish.lease)

    def is_current(self, now: float) -> bool:
        """Whether a live lease vouches for the documents."""
        return now < self._lease_until

    def _drop_targets_missing_in(self, publish: Publish) -> None:
        if publish.index < self.index:
            return
        present = {record.target for record in publish.targets}
        for target in [name for name in self._targets if name not in present]:
            del self._targets[target]

    def _end(self, target: TargetId, incarnation: Incarnation) -> None:
        self._ended[target] = max(self._ended.get(target, incarnation), incarnation)
        held = self._targets.get(target)
        if held is not None and held.incarnation <= incarnation:
            del self._targets[target]

    def _take_target(self, record: TargetRecord) -> None:
        if record.incarnation <= self._ended.get(record.target, 0):
            return
        held = self._targets.get(record.target)
        if held is None or held.incarnation <= record.incarnation:
            self._targets[record.target] = record
