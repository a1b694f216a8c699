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
MAX_ROUNDS = 2.0
#: Seconds in which a queue of short requests may drain, however many rounds it has.
SHORT_QUEUE = 2.0
#: Part of the bounded queue from which a team is held to its share.
CONTENTION = 0.5
#: Priorities, 0 to 9; the lowest may fill this part of the queue, the highest all.
MAX_PRIORITY = 9
LOWEST_PART = 0.5
#: Part of the queue that each class may fill however long the queue is.
CLASS_PART = 0.15
#: Seconds of loads that may wait for the store. A longer backlog loads nothing
#: sooner and holds the slots and places of requests that could run.
MAX_LOAD_BACKLOG = 4.0
#: Seconds of store time that one load takes: 4 loads a second.
STORE_SECONDS = 0.25


@dataclass(frozen=True)
class AdmissionQuery:
    """A request and the load it meets.

    :param deadline: seconds until the answer is worthless.
    :param waiting: requests of the service that wait for their turn, at all targets
        known here; those that wait for their adapter aren't counted.
    :param capacity: requests that those targets run at once.
    :param seconds_per_request: measured mean time of one run.
    :param team_share: 0 to 1, the part that this team may use under contention.
    :param team_waiting: requests of this team that wait.
    :param draw: a number from 0 up to 1 that spreads the return of the refused.
    :param expected_wait: seconds at the target chosen, see `placement.Placed`.
    :param class_waiting: requests of this class that wait; none when unknown.
    :param needs_load: the target chosen neither holds nor awaits the adapter.
    :param wishes: adapters that wait for their load at all targets known here.
    :param age: seconds since the report of one of these targets that came first.
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
    class_waiting: int | None = None
    needs_load: bool = False
    wishes: int = 0
    age: float = 0.0


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

    Under saturation a queue that outlasts the deadlines makes every answer late. A
    refusal costs its caller one round trip and says when to come back.
    """
    if query.capacity <= 0:
        return _refuse(query, ErrorCode.NO_TARGET, "no target is up", 0.0)
    drain = query.capacity / max(query.seconds_per_request, 1e-3)
    wait = max(query.waiting / drain, query.expected_wait)
    late = wait + query.seconds_per_request - query.deadline
    if late > 0:
        reason = f"the queue takes {wait:.1f} s, over the deadline{_show_load(query)}"
        return _refuse(query, ErrorCode.DEADLINE_UNREACHABLE, reason, late)
    # A backlog at the store that outlasts the deadlines makes all loads late.
    backlog = query.wishes * STORE_SECONDS
    if query.needs_load and backlog >= MAX_LOAD_BACKLOG * _part(query.priority):
        reason = f"too many adapters wait to load: {query.wishes}"
        return _refuse(query, ErrorCode.OVERLOADED, reason, backlog)
    # A few rounds of short requests drain at once, so the bound is also one of time.
    room = max(MAX_ROUNDS * query.capacity, SHORT_QUEUE * drain)
    limit = max(1.0, room * _part(query.priority))
    return _hold_to_queue(query, limit, drain) or Admitted(wait)


def _hold_to_queue(query: AdmissionQuery, limit: float, drain: float) -> Refused | None:
    # A small part of the queue is reserved for each class, so that none starves.
    own = query.class_waiting
    if own is not None and own < CLASS_PART * limit:
        return None
    if query.waiting >= limit:
        over = (query.waiting - limit + 1) / drain
        reason = f"the queue is full{_show_load(query)}"
        return _refuse(query, ErrorCode.OVERLOADED, reason, over)
    # Fair shares hold under contention only: unused capacity serves nobody.
    contended = query.waiting >= CONTENTION * limit
    if contended and query.team_waiting >= max(1.0, query.team_share * limit):
        over = query.team_waiting / drain / max(query.team_share, 0.01)
        reason = f"the team's share is used{_show_load(query)}"
        return _refuse(query, ErrorCode.OVERLOADED, reason, over)
    return None


def _show_load(query: AdmissionQuery) -> str:
    return (
        f" ({query.waiting} wait, {query.capacity} run at once for "
        f"{query.seconds_per_request:.2f} s, by reports of {query.age:.1f} s ago)"
    )


def _part(priority: int) -> float:
    # The last part of a bounded queue is left to the higher classes, so that a burst
    # of the lowest doesn't keep them out.
    level = min(max(priority, 0), MAX_PRIORITY) / MAX_PRIORITY
    return LOWEST_PART + (1.0 - LOWEST_PART) * level


def _refuse(
    query: AdmissionQuery, code: ErrorCode, reason: str, drained: float
) -> Refused:
    # Refused callers would all return at the same moment and be refused again; the
    # draw spreads them over as long again as the queue needs to drain.
    pause = min(max(drained, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return Refused(code, reason, pause * (1.0 + query.draw))
