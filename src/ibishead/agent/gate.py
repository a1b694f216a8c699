"""What an agent takes in: the last check before a request may reach its target.

Entry hosts act on views that can be late. Whatever they believe, the agent refuses
what isn't for its incarnation, what a newer document has overtaken, what it has
seen before, and all new work once it is leaving.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ibishead.documents import Unconfirmed
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, RequestId
from ibishead.messages import Dispatch, DocumentRecord

__all__ = ["AttemptKey", "Gate", "GateState", "Repeated", "Rejected", "Taken"]

#: Attempts whose end is remembered. At ten requests a second this spans more than
#: an hour, far beyond the life of any link or deadline.
MAX_RECORDED_ATTEMPTS = 50_000

#: Seconds after which a caller refused for want of a lease may come back: about the
#: time of an election.
NO_LEASE_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class AttemptKey:
    """Names one attempt of one request."""

    request: RequestId
    attempt: int


@dataclass(frozen=True)
class GateState:
    """What the agent knows at this moment.

    :param document: the newest document of the target's service, or none.
    :param current: a live lease vouches for that document.
    """

    incarnation: Incarnation
    draining: bool
    document: DocumentRecord | None
    current: bool
    unconfirmed: Unconfirmed = Unconfirmed.REFUSE


@dataclass(frozen=True)
class Admitted:
    """The attempt is new and may be queued."""


@dataclass(frozen=True)
class Duplicate:
    """The attempt is known; its frames, not another run, are the answer."""


@dataclass(frozen=True)
class Rejected:
    """The attempt did not run and never will.

    :param document: handed back to an entry host whose own is older.
    """

    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    document: DocumentRecord | None = None


class Gate:
    """Remembers attempts and decides on each dispatch."""

    def __init__(self, capacity: int = MAX_RECORDED_ATTEMPTS) -> None:
        self._admissions: OrderedDict[AttemptKey, bool] = OrderedDict()
        self._capacity = capacity

    def check(
        self, dispatch: Dispatch, state: GateState
    ) -> Admitted | Duplicate | Rejected:
        """Decide on a dispatch, and remember it."""
        key = AttemptKey(dispatch.request, dispatch.attempt)
        admitted = self._admissions.get(key)
        # A dispatch that sat in a frozen sender arrives after its entry host was
        # told "not run": running it now would break that word.
        if admitted is False:
            return Rejected(ErrorCode.NEVER_RECEIVED, "the attempt was given up")
        if admitted:
            return Duplicate()
        rejected = _find_rejection(dispatch, state)
        self._record(key, rejected is None)
        return rejected or Admitted()

    def revoke_admission(self, key: AttemptKey) -> None:
        """Note that an attempt which was taken in has been refused after all.

        Its refusal is forgotten with its frames; a later question about it must
        still find the proof that it never ran.
        """
        self._record(key, False)

    def add_tombstone(self, key: AttemptKey) -> bool:
        """Make sure that an attempt never runs.

        :returns: False when it was taken in already, so that nothing is promised.
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
    # An attempt meant for an earlier incarnation may have run there before the
    # agent restarted; only this incarnation's own attempts are known here.
    if dispatch.incarnation != state.incarnation:
        return Rejected(
            ErrorCode.STALE_INCARNATION,
            f"meant for incarnation {dispatch.incarnation}, this is "
            f"{state.incarnation}",
        )
    if state.draining:
        return Rejected(ErrorCode.DRAINING, "the target is leaving")
    document = state.document
    # The entry host missed a change, cut off from control or late: acting on its
    # document would run what the accepted one no longer allows.
    if document is not None and dispatch.revision < document.revision:
        return Rejected(
            ErrorCode.STALE_REVISION,
            f"decided by revision {dispatch.revision}, {document.revision} is in force",
            document=document,
        )
    # With no live lease on either side nobody can tell whether a newer document is
    # in force elsewhere.
    unconfirmed_run = not dispatch.confirmed and not state.current
    if unconfirmed_run and state.unconfirmed is Unconfirmed.REFUSE:
        return Rejected(
            ErrorCode.NO_QUORUM,
            "no control quorum vouches for the document",
            NO_LEASE_RETRY_AFTER_SECONDS,
        )
    return None
