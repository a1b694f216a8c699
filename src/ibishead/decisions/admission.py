"""Whether a request is taken, and what a refused caller is told."""

from dataclasses import dataclass

from ibishead.errors import ErrorCode

__all__ = ["Admitted", "AdmissionQuery", "Refused", "admit"]

#: Seconds that a refused caller waits at the least.
MIN_RETRY_AFTER = 0.5


@dataclass(frozen=True)
class AdmissionQuery:
    """A request and the load it meets.

    :param deadline: seconds until the answer is worthless.
    :param waiting: requests of the service that wait, at all targets known here.
    :param capacity: requests that those targets run at once.
    :param seconds_per_request: measured mean time of one run.
    :param team_share: 0 to 1, the part that this team may use under contention.
    :param team_waiting: requests of this team that wait.
    :param draw: a number from 0 up to 1 that spreads the return of the refused.
    """

    priority: int
    deadline: float
    waiting: int
    capacity: int
    seconds_per_request: float
    team_share: float = 1.0
    team_waiting: int = 0
    draw: float = 0.0


@dataclass(frozen=True)
class Admitted:
    """The request may go on."""

    expected_wait: float


@dataclass(frozen=True)
class Refused:
    """The request was not run.

    :param retry_after: seconds, from the measured drain rate and spread.
    """

    code: ErrorCode
    reason: str
    retry_after: float


def admit(query: AdmissionQuery) -> Admitted | Refused:
    """Take the request, or refuse it at once when its deadline can't be met."""
    if query.capacity <= 0:
        return Refused(ErrorCode.NO_TARGET, "no target is up", MIN_RETRY_AFTER)
    wait = query.waiting * query.seconds_per_request / query.capacity
    if wait + query.seconds_per_request <= query.deadline:
        return Admitted(wait)
    excess = wait + query.seconds_per_request - query.deadline
    spread = max(MIN_RETRY_AFTER, excess * (1.0 + query.draw))
    return Refused(
        ErrorCode.DEADLINE_UNREACHABLE,
        f"the queue takes {wait:.1f} s, over the deadline",
        spread,
    )
