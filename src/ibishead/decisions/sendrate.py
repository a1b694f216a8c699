"""When the next request may go to a target that names a limit.

A target in need takes a number of requests a second from all callers together. They are
spaced evenly; only one that sends for all callers may make up for a moment without any.
"""

__all__ = ["SendRate"]

#: Least requests a second that are sent. Only an answer of the target tells that its
#: limit is over.
LEAST_RATE = 0.2


class SendRate:
    """Spaces the requests to one target.

    :param saved: seconds without a request that may be made up for. Several senders
        that share a limit would do so at the same time.
    :ivar rate: requests a second, none for no bound.
    """

    def __init__(self, saved: float = 0.0) -> None:
        self._saved = saved
        self.rate: float | None = None
        self._next = 0.0

    def limit(self, rate: float | None, now: float, offset: float = 1.0) -> None:
        """Take over a limit, or none.

        :param rate: requests a second.
        :param now: monotonic seconds.
        :param offset: part of a period until the first request under a new limit.
        """
        if rate is None:
            self.rate = None
            return
        rate = max(rate, LEAST_RATE)
        if self.rate is None:
            self._next = now + offset / rate
        else:
            # what is promised already keeps its place
            self._next = now + max(0.0, self._next - now) * self.rate / rate
        self.rate = rate

    def wait(self, now: float) -> float:
        """Return the seconds until a request may go, 0 for at once."""
        return 0.0 if self.rate is None else max(0.0, self._next - now)

    def take(self, now: float) -> float:
        """Count a request, and return the seconds until it may go."""
        if self.rate is None:
            return 0.0
        wait = self.wait(now)
        self._next = max(self._next, now - self._saved) + 1 / self.rate
        return wait

    def delay(self, waiting: int, now: float) -> float:
        """Return the seconds until a new request may go.

        :param waiting: requests that go before it.
        """
        return 0.0 if self.rate is None else self.wait(now) + waiting / self.rate
