"""Pacing of requests to a target that announces a rate limit.

An overloaded target accepts a number of requests per second from all callers together.
They are spaced evenly. Only a sender that sends for all callers may catch up after a
pause.
"""

__all__ = ["SendRate"]

#: Minimum requests per second. Only an answer of the target shows that its limit was
#: lifted.
MIN_RATE = 0.2


class SendRate:
    """Spaces requests to one target evenly.

    :param saved: seconds of unused capacity that may be used later. Senders that share
        a limit would use it at the same time, so they have none.
    :ivar rate: requests per second, ``None`` for no limit.
    """

    def __init__(self, saved: float = 0.0) -> None:
        self._burst_seconds = saved
        self.rate: float | None = None
        self._next_at = 0.0

    def limit(self, rate: float | None, now: float, offset: float = 1.0) -> None:
        """Set or remove the limit.

        :param rate: requests per second, ``None`` for no limit.
        :param now: monotonic seconds.
        :param offset: part of a period until the first request under a new limit.
        """
        if rate is None:
            self.rate = None
            return
        rate = max(rate, MIN_RATE)
        if self.rate is None:
            self._next_at = now + offset / rate
        else:
            # Time already allocated is rescaled to the new rate.
            self._next_at = now + max(0.0, self._next_at - now) * self.rate / rate
        self.rate = rate

    def wait(self, now: float) -> float:
        """Return the seconds until a request may be sent, 0 for immediately."""
        return 0.0 if self.rate is None else max(0.0, self._next_at - now)

    def take(self, now: float) -> float:
        """Count a request, and return the seconds until it may be sent."""
        if self.rate is None:
            return 0.0
        wait = self.wait(now)
        self._next_at = max(self._next_at, now - self._burst_seconds) + 1 / self.rate
        return wait

    def delay(self, waiting: int, now: float) -> float:
        """Return the seconds until a new request may be sent.

        :param waiting: number of requests ahead of it.
        :param now: monotonic seconds.
        """
        return 0.0 if self.rate is None else self.wait(now) + waiting / self.rate
