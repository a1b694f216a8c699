"""Admission control: accept a request or reject it with a retry delay."""

from dataclasses import dataclass

from ibishead.errors import ErrorCode

__all__ = ["Admitted", "AdmissionQuery", "Refused", "admit"]

#: Lower bound of the retry delay of a rejected request.
MIN_RETRY_AFTER_SECONDS = 0.5
#: Upper bound of the retry delay, before jitter is added.
MAX_RETRY_AFTER_SECONDS = 60.0
#: Maximum queue length, as a multiple of the number of requests that run concurrently.
#: A longer queue does not raise throughput, and the load reports by which its requests
#: were placed are outdated by the time they run.
MAX_QUEUED_ROUNDS = 2.0
#: A queue that drains within this time is allowed regardless of `MAX_QUEUED_ROUNDS`, so
#: that bursts of short requests are accepted.
SHORT_QUEUE_SECONDS = 2.0
#: Fill level of the bounded queue above which each team is limited to its share.
CONTENTION_SHARE = 0.5
#: Priorities range from 0 to 9. The lowest may fill this share of the queue, the
#: highest all of it.
MAX_PRIORITY = 9
LOWEST_PRIORITY_SHARE = 0.5
#: Share of the queue that each class may use however long the queue is.
RESERVED_CLASS_SHARE = 0.15
#: Maximum backlog of adapter loads at the weight store. A longer backlog completes no
#: load sooner, and its requests occupy slots and queue places of requests that could
#: run.
MAX_LOAD_BACKLOG_SECONDS = 4.0
#: Weight store time of one load, at 4 loads per second.
STORE_SECONDS_PER_LOAD = 0.25


@dataclass(frozen=True)
class AdmissionQuery:
    """A request and the current load of its service.

    :param deadline: seconds until the request's deadline.
    :param waiting: queued requests of the service at all targets known to this host,
        without those that wait for an adapter to be loaded.
    :param capacity: requests that those targets run concurrently.
    :param seconds_per_request: measured mean run time.
    :param team_share: share of the queue, 0 to 1, that this team may use under
        contention.
    :param team_waiting: queued requests of this team.
    :param draw: random number in [0, 1) that adds jitter to the retry delay.
    :param expected_wait: seconds at the chosen target, see `placement.Placed`.
    :param class_waiting: queued requests of this class, or ``None`` when unknown.
    :param needs_load: the adapter is neither resident nor being loaded at the chosen
        target.
    :param pending_loads: adapters that wait to be loaded, at all targets known to this
        host.
    :param report_age: seconds since the oldest of the targets' latest reports arrived.
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
    pending_loads: int = 0
    report_age: float = 0.0


@dataclass(frozen=True)
class Admitted:
    """The request is accepted.

    :param expected_wait: seconds until the run begins.
    """

    expected_wait: float


@dataclass(frozen=True)
class Refused:
    """The request is rejected and has not run.

    :param retry_after: seconds, from the measured drain rate plus jitter.
    """

    code: ErrorCode
    reason: str
    retry_after: float


def admit(query: AdmissionQuery) -> Admitted | Refused:
    """Accept the request, or reject it immediately.

    Under saturation a queue that takes longer to drain than the deadlines allow makes
    every answer late. A rejection costs the caller one round trip and includes a retry
    delay.
    """
    if query.capacity <= 0:
        return _reject(query, ErrorCode.NO_TARGET, "no target is available", 0.0)
    drain_rate = query.capacity / max(query.seconds_per_request, 1e-3)
    wait = max(query.waiting / drain_rate, query.expected_wait)
    excess = wait + query.seconds_per_request - query.deadline
    if excess > 0:
        reason = f"queue wait of {wait:.1f} s exceeds deadline{_describe_load(query)}"
        return _reject(query, ErrorCode.DEADLINE_UNREACHABLE, reason, excess)
    # A load backlog at the store that exceeds the deadlines makes every load late.
    backlog = query.pending_loads * STORE_SECONDS_PER_LOAD
    if query.needs_load and backlog >= MAX_LOAD_BACKLOG_SECONDS * _queue_share(
        query.priority
    ):
        reason = f"too many adapters wait to be loaded: {query.pending_loads}"
        return _reject(query, ErrorCode.OVERLOADED, reason, backlog)
    # Several rounds of short requests drain quickly, so the limit is the larger of a
    # number of rounds and a drain time.
    max_queue = max(
        MAX_QUEUED_ROUNDS * query.capacity, SHORT_QUEUE_SECONDS * drain_rate
    )
    limit = max(1.0, max_queue * _queue_share(query.priority))
    return _check_queue_limits(query, limit, drain_rate) or Admitted(wait)


def _check_queue_limits(
    query: AdmissionQuery, limit: float, drain_rate: float
) -> Refused | None:
    # A small share of the queue is reserved for each class, to prevent starvation.
    own = query.class_waiting
    if own is not None and own < RESERVED_CLASS_SHARE * limit:
        return None
    if query.waiting >= limit:
        drain_time = (query.waiting - limit + 1) / drain_rate
        reason = f"queue is full{_describe_load(query)}"
        return _reject(query, ErrorCode.OVERLOADED, reason, drain_time)
    # Fair shares apply under contention only; otherwise they would leave capacity
    # unused.
    contended = query.waiting >= CONTENTION_SHARE * limit
    if contended and query.team_waiting >= max(1.0, query.team_share * limit):
        drain_time = query.team_waiting / drain_rate / max(query.team_share, 0.01)
        reason = f"team share of the queue is used up{_describe_load(query)}"
        return _reject(query, ErrorCode.OVERLOADED, reason, drain_time)
    return None


def _describe_load(query: AdmissionQuery) -> str:
    return (
        f" ({query.waiting} queued, {query.capacity} run concurrently for "
        f"{query.seconds_per_request:.2f} s each, "
        f"load reports {query.report_age:.1f} s old)"
    )


def _queue_share(priority: int) -> float:
    # The last part of the bounded queue is reserved for higher priorities, so that a
    # burst of low-priority requests does not block them.
    level = min(max(priority, 0), MAX_PRIORITY) / MAX_PRIORITY
    return LOWEST_PRIORITY_SHARE + (1.0 - LOWEST_PRIORITY_SHARE) * level


def _reject(
    query: AdmissionQuery, code: ErrorCode, reason: str, drain_time: float
) -> Refused:
    # Without jitter, rejected callers would all retry at the same time and be rejected
    # again. Jitter spreads them over one more drain time of the queue.
    delay = min(max(drain_time, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    return Refused(code, reason, delay * (1.0 + query.draw))
