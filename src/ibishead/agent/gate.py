"""Admission control: the last check before a request may be sent to the target.

Entry hosts decide on state that may be out of date. The agent therefore refuses
dispatches for another incarnation, dispatches decided by an outdated document, attempts
that are already known, and all new work while it drains.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ibishead.documents import UnconfirmedPolicy
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, RequestId
from ibishead.messages import Dispatch, DocumentRecord

__all__ = ["Admitted", "AttemptKey", "Duplicate", "Gate", "GateState", "Rejected"]

#: Number of attempts whose decision is recorded. At ten requests per second this covers
#: more than an hour, far longer than any link or deadline lasts.
MAX_RECORDED_ATTEMPTS = 50_000

#: Seconds after which a caller refused for lack of a valid lease may retry: about the
#: duration of an election.
NO_LEASE_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class AttemptKey:
    """Identifies one attempt of one request."""

    request: RequestId
    attempt: int


@dataclass(frozen=True)
class GateState:
    """State of the agent by which dispatches are decided.

    :param incarnation: current fencing number of the agent.
    :param draining: no new attempts are admitted.
    :param document: latest document of the target's service, or none.
    :param current: the document is covered by a valid lease.
    :param unconfirmed: what the service's document asks for when neither the entry host
        nor the agent has a valid lease.
    """

    incarnation: Incarnation
    draining: bool
    document: DocumentRecord | None
    current: bool
    unconfirmed: UnconfirmedPolicy = UnconfirmedPolicy.REFUSE


@dataclass(frozen=True)
class Admitted:
    """The attempt is new and may be queued."""


@dataclass(frozen=True)
class Duplicate:
    """The attempt is already known; its frames are the answer, not another run."""


@dataclass(frozen=True)
class Rejected:
    """The attempt has not run here and never will.

    :param retry_after: seconds after which the caller may retry.
    :param document: latest document, sent to an entry host that used an older one.
    """

    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    document: DocumentRecord | None = None


class Gate:
    """Decides on each dispatch and records the decision for each attempt.

    :param capacity: maximum number of recorded attempts; the oldest are discarded.
    """

    def __init__(self, capacity: int = MAX_RECORDED_ATTEMPTS) -> None:
        self._admissions: OrderedDict[AttemptKey, bool] = OrderedDict()
        self._capacity = capacity

    def check(
        self, dispatch: Dispatch, state: GateState
    ) -> Admitted | Duplicate | Rejected:
        """Decide on a dispatch, and record the decision."""
        key = AttemptKey(dispatch.request, dispatch.attempt)
        admitted = self._admissions.get(key)
        # A dispatch that was buffered in a frozen entry host may arrive after that host
        # has been answered that the attempt did not run. Running it now would make that
        # answer false.
        if admitted is False:
            return Rejected(
                ErrorCode.NEVER_RECEIVED, "the attempt has already been refused"
            )
        if admitted:
            return Duplicate()
        rejected = _find_rejection(dispatch, state)
        self._record(key, rejected is None)
        return rejected or Admitted()

    def revoke_admission(self, key: AttemptKey) -> None:
        """Record that an admitted attempt was refused before it ran.

        The refusal itself is discarded together with the attempt's frames. A later
        query for the attempt must still find the proof that it never ran.
        """
        self._record(key, False)

    def add_tombstone(self, key: AttemptKey) -> bool:
        """Prevent an attempt that was not admitted from ever running here.

        :returns: False if the attempt was admitted before, so that it may have run.
        """
        if self._admissions.get(key):
            return False
        self._record(key, False)
        return True

    def _record(self, key: AttemptKey, admitted: bool) -> None:
        self._admissions[key] = admitted
        while len(self._admissions) > self._capacity:
            self._admissions.popitem(last=False)


def _find_rejection(dispatch: Dispatch, state: GateState) -> Rejected | None:
    # An attempt for an earlier incarnation may have run before the agent restarted, and
    # only attempts of the current incarnation are recorded here.
    if dispatch.incarnation != state.incarnation:
        return Rejected(
            ErrorCode.STALE_INCARNATION,
            f"dispatched to incarnation {dispatch.incarnation}, current incarnation is "
            f"{state.incarnation}",
        )
    if state.draining:
        return Rejected(ErrorCode.DRAINING, "the target is draining")
    document = state.document
    # The entry host has missed a change because it is cut off from control or behind.
    # Its document may allow what the document in force forbids.
    if document is not None and dispatch.revision < document.revision:
        return Rejected(
            ErrorCode.STALE_REVISION,
            f"decided by revision {dispatch.revision}, {document.revision} is in force",
            document=document,
        )
    # Without a valid lease on either side, a newer document may be in force elsewhere.
    unconfirmed_run = not dispatch.confirmed and not state.current
    if unconfirmed_run and state.unconfirmed is UnconfirmedPolicy.REFUSE:
        return Rejected(
            ErrorCode.NO_QUORUM,
            "no valid lease from a control quorum covers the document",
            NO_LEASE_RETRY_AFTER_SECONDS,
        )
    return None
