"""Order of an agent's adapter loads and the fleet-wide limit on loads."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "LoadBackoff",
    "LoadPermits",
    "PendingLoad",
    "choose_load",
    "choose_loads",
    "urgency",
]

#: Limits of the weight store: loads per second, and concurrent loads at full speed.
LOADS_PER_SECOND = 4.0
MAX_IN_FLIGHT = 8
#: Delay after the first failed load. It doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 8.0
#: Consecutive failures after which the waiting requests move to another target. One
#: failure may be transient and is cheapest to retry here; two indicate a fault of this
#: target.
MAX_LOCAL_FAILURES = 2


@dataclass(frozen=True)
class PendingLoad:
    """An adapter that requests wait for and that is not resident.

    :param digest: adapter digest, see `placement.adapter_digest`.
    :param waiting: number of requests that wait for it.
    :param oldest: seconds for which the first of them has waited.
    :param priority: highest priority among them.
    :param not_before: monotonic seconds until which a failed load is delayed.
    """

    digest: int
    waiting: int
    oldest: float
    priority: int
    not_before: float = 0.0


def urgency(load: PendingLoad) -> float:
    """Return the cost of delaying a load, by priority, age and number of requests.

    The cost grows with the number of waiting requests and with their age, so that loads
    that many requests need go first and no load starves.
    """
    return (1 + load.priority) * (load.oldest + 0.1) * load.waiting


def choose_load(loads: Sequence[PendingLoad], now: float) -> PendingLoad | None:
    """Return the most urgent load that may start, or ``None``.

    :param now: monotonic seconds.
    """
    ready = [load for load in loads if load.not_before <= now]
    return max(ready, key=urgency, default=None)


def choose_loads(
    loads: Sequence[PendingLoad], now: float, limit: int
) -> list[PendingLoad]:
    """Return up to ``limit`` loads that may start, most urgent first.

    :param now: monotonic seconds.
    :param limit: number of slots that are empty or can be emptied.
    """
    ready = [load for load in loads if load.not_before <= now]
    return sorted(ready, key=urgency, reverse=True)[: max(limit, 0)]


class LoadBackoff:
    """Delays retries of failed loads of one agent.

    Retries of a load that cannot succeed would use up the store's rate.

    :param first: delay in seconds after the first failure, doubled with each further
        one.
    """

    def __init__(self, first: float = INITIAL_BACKOFF_SECONDS) -> None:
        self._first = first
        self._failures: dict[int, int] = {}
        self._not_before: dict[int, float] = {}

    def observe_failure(self, digest: int, now: float) -> bool:
        """Count a failed load.

        :returns: whether the waiting requests should move to another target.
        """
        failures = self._failures.get(digest, 0) + 1
        self._failures[digest] = failures
        delay = min(MAX_BACKOFF_SECONDS, self._first * 2 ** (failures - 1))
        self._not_before[digest] = now + delay
        return failures >= MAX_LOCAL_FAILURES

    def observe_success(self, digest: int) -> None:
        """Reset the failures of an adapter that was loaded."""
        self._failures.pop(digest, None)
        self._not_before.pop(digest, None)

    def read(self, digest: int) -> float:
        """Return the monotonic time from which the adapter may be loaded, 0 for any."""
        return self._not_before.get(digest, 0.0)


class LoadPermits:
    """Token bucket and concurrency limit for loads of all agents from the store.

    Beyond the concurrency limit every load slows down. No load is ordered before it has
    its permit, so that the most urgent load goes next even if it was requested last.

    :param rate: permits per second.
    :param in_flight: maximum number of concurrent loads.
    :param burst: permits that may accumulate while the store is idle.
    """

    def __init__(
        self,
        rate: float = LOADS_PER_SECOND,
        in_flight: int = MAX_IN_FLIGHT,
        burst: float = MAX_IN_FLIGHT,
    ) -> None:
        self._rate = rate
        self._max_running = in_flight
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self._running = 0

    def take(self, now: float) -> bool:
        """Take a permit for one load, and return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0 - 1e-9 or self._running >= self._max_running:
            return False
        self._tokens -= 1.0
        self._running += 1
        return True

    def release(self) -> None:
        """Count one load as ended: it succeeded, failed, or its permit expired."""
        self._running -= 1

    def give_back(self) -> None:
        """Return a permit that was not used."""
        self._tokens = min(self._burst, self._tokens + 1.0)
        self._running -= 1

    def next_at(self, now: float) -> float:
        """Return the earliest time of the next permit, by the rate alone."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
