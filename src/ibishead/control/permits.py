"""Rate and concurrency limits for adapter loads from the weight store.

The design load is thousands of adapters on a store that serves about four loads a
second. With more than eight in flight every load gets slower, so queueing here takes
less time than a slowed load. The leader keeps all of this state in memory.
"""

from collections import deque
from dataclasses import dataclass

from ibishead.ids import Incarnation, TargetId
from ibishead.messages import AskPermit, PermitAnswer, ReleasePermit

__all__ = ["LoadId", "PermitAllocator", "TAKEOVER_PAUSE_SECONDS"]

#: Loads that may start in one window: the rate that the store serves.
MAX_STARTS_PER_WINDOW = 4
START_WINDOW_SECONDS = 1.0

#: Concurrent loads, beyond which the store slows all of them.
MAX_IN_FLIGHT = 8

#: Validity of a permit at its holder: eight times the length of a load at full speed.
PERMIT_SECONDS = 2.0

#: Longest time that a permit is in transit; a link is given up after less silence.
MAX_DELIVERY_SECONDS = 2.5

#: Time after which a queued request expires; agents repeat it every second.
REQUEST_SECONDS = 3.0

#: Queued requests per target. A target loads at most as many adapters as it has
#: slots; more requests are a fault that must not exhaust the leader's memory.
MAX_REQUESTS_PER_TARGET = 64

#: Time for which a new leader grants nothing. It doesn't know its predecessor's
#: permits, of which the last may have been granted just before the change of leader;
#: all of them must have expired first.
TAKEOVER_PAUSE_SECONDS = PERMIT_SECONDS + MAX_DELIVERY_SECONDS


@dataclass(frozen=True)
class LoadId:
    """Identifies one load of one incarnation of a target."""

    target: TargetId
    incarnation: Incarnation
    number: int


@dataclass
class _PendingRequest:
    urgency: float
    arrival: int
    expires: float


class PermitAllocator:
    """Queues permit requests and grants them during one leadership.

    :param opens_at: monotonic seconds before which nothing is granted.
    """

    def __init__(self, opens_at: float) -> None:
        self._opens_at = opens_at
        self._requests: dict[LoadId, _PendingRequest] = {}
        self._granted: dict[LoadId, float] = {}
        self._starts: deque[float] = deque()
        self._arrivals = 0

    @property
    def in_flight(self) -> int:
        """Number of permits that have been neither released nor expired."""
        return len(self._granted)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._requests)

    def add_request(self, request: AskPermit, now: float) -> PermitAnswer | None:
        """Queue a request, or repeat the grant whose answer may have been lost.

        A request beyond `MAX_REQUESTS_PER_TARGET` is dropped.

        :param now: monotonic seconds.
        :returns: the repeated grant, if the load has a permit that is still valid.
        """
        self._expire(now)
        load = LoadId(request.target, request.incarnation, request.number)
        ends = self._granted.get(load)
        if ends is not None:
            # Only the remaining validity: a full one, counted anew at the holder,
            # would outlast the expiry recorded here.
            remaining = ends - now - MAX_DELIVERY_SECONDS
            return _make_answer(load, remaining) if remaining > 0 else None
        known = self._requests.get(load)
        if known is not None:
            known.urgency = request.urgency
            known.expires = now + REQUEST_SECONDS
        elif self._count_requests(request.target) < MAX_REQUESTS_PER_TARGET:
            self._arrivals += 1
            self._requests[load] = _PendingRequest(
                request.urgency, self._arrivals, now + REQUEST_SECONDS
            )
        return None

    def release(self, release: ReleasePermit, now: float) -> None:
        """Release the permit of a load that has ended, or withdraw its request."""
        self._expire(now)
        load = LoadId(release.target, release.incarnation, release.number)
        self._granted.pop(load, None)
        self._requests.pop(load, None)

    def grant(self, now: float) -> list[PermitAnswer]:
        """Grant the loads that may start now, in order of decreasing urgency.

        The urgency of a load grows while requests wait for its adapter, and agents
        repeat the request with the current value, so that no request starves.
        """
        self._expire(now)
        granted: list[PermitAnswer] = []
        while self._requests and self._may_start(now):
            load = min(self._requests, key=self._rank)
            del self._requests[load]
            self._granted[load] = now + PERMIT_SECONDS + MAX_DELIVERY_SECONDS
            self._starts.append(now)
            granted.append(_make_answer(load, PERMIT_SECONDS))
        return granted

    def find_next_start(self, now: float) -> float | None:
        """Return when `grant` may next grant a load, None without queued requests.

        :returns: monotonic seconds.
        """
        if not self._requests:
            return None
        moment = max(now, self._opens_at)
        if len(self._starts) >= MAX_STARTS_PER_WINDOW:
            moment = max(
                moment, self._starts[-MAX_STARTS_PER_WINDOW] + START_WINDOW_SECONDS
            )
        if len(self._granted) >= MAX_IN_FLIGHT:
            moment = max(moment, min(self._granted.values()))
        return moment

    def _may_start(self, now: float) -> bool:
        # Failure: a leader is replaced while its permits are in use. The loads of both
        # leaders would exceed the store's limits, and every load in flight would slow.
        if now < self._opens_at:
            return False
        return (
            len(self._starts) < MAX_STARTS_PER_WINDOW
            and len(self._granted) < MAX_IN_FLIGHT
        )

    def _expire(self, now: float) -> None:
        while self._starts and self._starts[0] + START_WINDOW_SECONDS <= now:
            self._starts.popleft()
        # A holder that has crashed doesn't release its permits
        for load in [load for load, ends in self._granted.items() if ends <= now]:
            del self._granted[load]
        for load in [load for load, r in self._requests.items() if r.expires <= now]:
            del self._requests[load]

    def _rank(self, load: LoadId) -> tuple[float, int]:
        request = self._requests[load]
        return (-request.urgency, request.arrival)

    def _count_requests(self, target: TargetId) -> int:
        return sum(load.target == target for load in self._requests)


def _make_answer(load: LoadId, lifetime: float) -> PermitAnswer:
    return PermitAnswer(load.target, load.incarnation, load.number, lifetime)
