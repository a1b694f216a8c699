"""A program's local copy of the control state: documents, targets and a lease.

Updates are monotonic: a document of a lower revision or a target of a lower
incarnation is never applied, whichever replica sends it.
"""

from dataclasses import dataclass

from ibishead.documents import ServiceDocument, parse_document
from ibishead.ids import Incarnation, ServiceName, TargetId
from ibishead.messages import DocumentRecord, Publish, TargetRecord

__all__ = ["Catalog", "HeldDocument"]

#: Unanswered reports whose send time is stored. An answer to an older report has no
#: use, as the lease that it would renew has expired.
MAX_UNANSWERED_REPORTS = 32


@dataclass(frozen=True)
class HeldDocument:
    """A document as accepted, and its parsed content."""

    record: DocumentRecord
    document: ServiceDocument


class Catalog:
    """Documents and targets as of one index of the control log.

    :ivar index: index of the control log up to which all changes are applied.
    """

    def __init__(self) -> None:
        self.index = 0
        self._documents: dict[ServiceName, HeldDocument] = {}
        self._targets: dict[TargetId, TargetRecord] = {}
        self._ended_incarnations: dict[TargetId, Incarnation] = {}
        self._report_times: dict[int, float] = {}
        self._lease_expiry = float("-inf")

    def apply(self, publish: Publish) -> None:
        """Apply changes, or the full state, from a replica.

        :raises InvalidInput: this program's version cannot parse a document.
        """
        if publish.full_state:
            self._remove_targets_missing_in(publish)
        for record in publish.documents:
            self.store_document(record)
        for target, incarnation in publish.removed_targets:
            self._remove_target(target, incarnation)
        for target_record in publish.targets:
            self._store_target(target_record)
        self.index = max(self.index, publish.index)

    def store_document(self, record: DocumentRecord) -> bool:
        """Store a document if it is newer than the stored one.

        :returns: whether it was stored.
        """
        held = self._documents.get(record.service)
        # A partitioned replica or a delayed message may deliver an old revision.
        # Storing it would revert an accepted change on this host.
        if held is not None and held.record.revision >= record.revision:
            return False
        self._documents[record.service] = HeldDocument(
            record, parse_document(record.text)
        )
        return True

    def find_document(self, service: ServiceName) -> HeldDocument | None:
        """Return the newest document of a service, `None` if there is none."""
        return self._documents.get(service)

    def list_documents(self) -> list[HeldDocument]:
        """Return all documents, sorted by service name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def find_target(self, target: TargetId) -> TargetRecord | None:
        """Return a registered target, `None` if it is not registered."""
        return self._targets.get(target)

    def list_targets(self, service: ServiceName | None = None) -> list[TargetRecord]:
        """Return the registered targets of one service, or of all services."""
        return [
            record
            for record in self._targets.values()
            if service is None or record.service == service
        ]

    def note_report(self, number: int, now: float) -> None:
        """Record when a report was sent; the lease that it renews is counted from then.

        :param number: sequence number of the report.
        :param now: monotonic time in seconds.
        """
        self._report_times[number] = now
        while len(self._report_times) > MAX_UNANSWERED_REPORTS:
            del self._report_times[next(iter(self._report_times))]

    def renew(self, publish: Publish, now: float) -> None:
        """Extend the lease if the message answers a report.

        :param now: monotonic time in seconds; the lease expires no later than its
            length after ``now``.
        """
        sent = self._report_times.get(publish.answered_report)
        if sent is None:
            return
        self._report_times = {
            n: t for n, t in self._report_times.items() if n > publish.answered_report
        }
        self._lease_expiry = max(self._lease_expiry, min(sent, now) + publish.lease)

    def is_current(self, now: float) -> bool:
        """Return whether the lease on the documents is valid.

        :param now: monotonic time in seconds.
        """
        return now < self._lease_expiry

    def _remove_targets_missing_in(self, publish: Publish) -> None:
        if publish.index < self.index:
            return
        present = {record.target for record in publish.targets}
        for target in [name for name in self._targets if name not in present]:
            del self._targets[target]

    def _remove_target(self, target: TargetId, incarnation: Incarnation) -> None:
        self._ended_incarnations[target] = max(
            self._ended_incarnations.get(target, incarnation), incarnation
        )
        held = self._targets.get(target)
        if held is not None and held.incarnation <= incarnation:
            del self._targets[target]

    def _store_target(self, record: TargetRecord) -> None:
        if record.incarnation <= self._ended_incarnations.get(record.target, 0):
            return
        held = self._targets.get(record.target)
        if held is None or held.incarnation <= record.incarnation:
            self._targets[record.target] = record
