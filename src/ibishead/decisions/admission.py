"""Whether a request is taken, and what a refused caller is told."""

from dataclasses import dataclass

from ibishead.errors import ErrorCode

__all__ = ["Admitted", "AdmissionQuery", "Refused", "admit"]

#: Seconds that a refused caller waits at the least.
MIN_RETRY_AFTER = 0.5
#: Seconds that a refused caller waits at the most, before the spread.
MAX_RETRY_AFTER = 60.0
#: Rounds of runs that may wait. A longer queue raises no throughput, and what waits
#: in it is placed by reports that are old by the time that it runs.
MAX_ROUNDS = 4.0
#: Part of the bounded queue from which a team is held to its share.
CONTENTION = 0.5
#: Priorities, 0 to 9; the lowest may fill this part of the queue, the highest all.
MAX_PRIORITY = 9
LOWEST_PART = 0.5


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
    :param expected_wait: seconds at the target chosen, see `placement.Placed`.
    """

    priority: int
    deadline: float
    waiting: int
    capacity: int
    seconds_per_request: float
    team_share: float = 1.0
    team_waiting: int = 0
    draw: float = 0.0
    expected_wait: float = 0.0


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
    """Take the request, or refuse it at once.

    Load: bursts and saturation. Harm: every caller waits in a queue that ends after
    its deadline, and targets run work that is late already. A refusal costs its
    caller one round trip and says when to come back.
    """
    if query.capacity <= 0:
        return _refuse(query, ErrorCode.NO_TARGET, "no target is up", 0.0)
    drain = query.capacity / max(query.seconds_per_request, 1e-3)
    wait = max(query.waiting / drain, query.expected_wait)
    late = wait + query.seconds_per_request - query.deadline
    if late > 0:
        reason = f"the queue takes {wait:.1f} s, over the deadline"
        return _refuse(query, ErrorCode.DEADLINE_UNREACHABLE, reason, late)
    limit = _limit(query)
    if query.waiting >= limit:
        over = (query.waiting - limit + 1) / drain
        return _refuse(query, ErrorCode.OVERLOADED, "the queue is full", over)
    # Load: one team sends far more than its share. Harm: it fills the queue and the
    # other teams of the class are refused. Below contention the share is not held,
    # because unused capacity serves nobody.
    contended = query.waiting >= CONTENTION * limit
    if contended and query.team_waiting >= max(1.0, query.team_share * limit):
        over = query.team_waiting / drain / max(query.team_share, 0.01)
        return _refuse(query, ErrorCode.OVERLOADED, "the team's share is used", over)
    return Admitted(wait)


def _limit(query: AdmissionQuery) -> float:
    # The last part of the queue is left to the higher classes, so that a burst of
    # the lowest doesn't keep them out; the lowest keeps half and never starves.
    priority = min(max(query.priority, 0), MAX_PRIORITY)
    part = LOWEST_PART + (1.0 - LOWEST_PART) * priority / MAX_PRIORITY
    return max(1.0, MAX_ROUNDS * query.capacity * part)


def _refuse(
    query: AdmissionQuery, code: ErrorCode, reason: str, drained: float
) -> Refused:
    # Refused callers would all return at the same moment and be refused again; the
    # draw spreads them over as long again as the queue needs to drain.
    pause = min(max(drained, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return Refused(code, reason, pause * (1.0 + query.draw))
