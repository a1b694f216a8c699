"""Which adapter an agent loads next, and which loads the fleet may run."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "LoadBackoff",
    "LoadPermits",
    "LoadWish",
    "choose_load",
    "choose_loads",
    "urgency",
]

#: The weight store's own limits: loads a second, and loads at full speed at once.
LOADS_PER_SECOND = 4.0
MAX_IN_FLIGHT = 8
#: Seconds after a first failed load; each further failure doubles them.
FIRST_BACKOFF = 0.25
MAX_BACKOFF = 8.0
#: Failures in a row after which the waiting requests go to another target. One may
#: be chance and costs least to repeat here; two point at this target.
FAILURES_TO_MOVE = 2


@dataclass(frozen=True)
class LoadWish:
    """An adapter that is not resident and that requests wait for.

    :param digest: of the adapter, see `placement.adapter_digest`.
    :param waiting: requests that wait for it.
    :param oldest: seconds that the first of them has waited.
    :param priority: the highest among them.
    :param not_before: monotonic seconds; a failed load is backed off until then.
    """

    digest: int
    waiting: int
    oldest: float
    priority: int
    not_before: float = 0.0


def urgency(wish: LoadWish) -> float:
    """Return the harm of waiting: class, age and number of those that wait.

    Grows with the number that wait and with age, so that a load for many goes first and
    none starves.
    """
    return (1 + wish.priority) * (wish.oldest + 0.1) * wish.waiting


def choose_load(wishes: Sequence[LoadWish], now: float) -> LoadWish | None:
    """Return the most urgent load that may start, or none.

    :param now: monotonic seconds.
    """
    ready = [wish for wish in wishes if wish.not_before <= now]
    return max(ready, key=urgency, default=None)


def choose_loads(wishes: Sequence[LoadWish], now: float, limit: int) -> list[LoadWish]:
    """Return up to ``limit`` loads that may start, the most urgent first.

    :param limit: slots that are or can be emptied.
    """
    ready = [wish for wish in wishes if wish.not_before <= now]
    return sorted(ready, key=urgency, reverse=True)[: max(limit, 0)]


class LoadBackoff:
    """Spaces the repeats of failed loads of one agent.

    A load that can't succeed would take the store's rate from loads that can.

    :param first: seconds after a first failed load; each further one doubles them.
    """

    def __init__(self, first: float = FIRST_BACKOFF) -> None:
        self._first = first
        self._failures: dict[int, int] = {}
        self._not_before: dict[int, float] = {}

    def observe_failure(self, digest: int, now: float) -> bool:
        """Count a failed load.

        :returns: whether the requests that wait for it belong at another target.
        """
        failures = self._failures.get(digest, 0) + 1
        self._failures[digest] = failures
        pause = min(MAX_BACKOFF, self._first * 2 ** (failures - 1))
        self._not_before[digest] = now + pause
        return failures >= FAILURES_TO_MOVE

    def observe_success(self, digest: int) -> None:
        """Forget the failures of an adapter that has arrived."""
        self._failures.pop(digest, None)
        self._not_before.pop(digest, None)

    def read(self, digest: int) -> float:
        """Return the moment from which the adapter may be loaded, 0 for any."""
        return self._not_before.get(digest, 0.0)


class LoadPermits:
    """Shares the store's rate and its places in flight over all agents.

    Beyond the places in flight all loads get slower. Nothing is ordered before its
    permit, so that the most urgent wish goes next even when it came last.

    :param burst: permits saved up while the store idles.
    """

    def __init__(
        self,
        rate: float = LOADS_PER_SECOND,
        in_flight: int = MAX_IN_FLIGHT,
        burst: float = MAX_IN_FLIGHT,
    ) -> None:
        self._rate = rate
        self._places = in_flight
        self._burst = burst
        self._tokens = burst
        self._at = 0.0
        self._running = 0

    def take(self, now: float) -> bool:
        """Start one load, and return whether it may start."""
        self._refill(now)
        if self._tokens < 1.0 - 1e-9 or self._running >= self._places:
            return False
        self._tokens -= 1.0
        self._running += 1
        return True

    def release(self) -> None:
        """End one load, whether it succeeded, failed or its permit ran out."""
        self._running -= 1

    def give_back(self) -> None:
        """Return a permit that was taken and not used."""
        self._tokens = min(self._burst, self._tokens + 1.0)
        self._running -= 1

    def next_at(self, now: float) -> float:
        """Return the earliest moment of the next permit by the rate alone."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
