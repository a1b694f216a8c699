"""When a gateway closes new connections unread, because it can't serve more callers."""

import math

__all__ = ["ConnectionShedder"]

#: Time constants in seconds of the moving averages, while the value rises and while it
#: falls. Each connection that is accepted too late adds to what waits already.
RISING_SECONDS = 0.15
FALLING_SECONDS = 0.5

#: Average lateness of the event loop in seconds from which the processor is overloaded.
#: A core that is stopped for parts of each tenth of a second stays below it.
MAX_LATENESS_SECONDS = 0.3

#: Share of the link's capacity from which the link is overloaded.
MAX_LINK_SHARE = 0.8

#: Seconds without an accepted connection after which one is accepted in any case.
MAX_PAUSE_SECONDS = 0.5


class ConnectionShedder:
    """Decides which new connections are accepted.

    A caller whose connection is closed unread can retry at another gateway at once,
    while a request that was read may not be repeatable, or would wait here until its
    deadline.

    :param link_rate: bytes per second that the host can send, ``None`` if unknown.
    :ivar count: number of connections that were not accepted.
    """

    def __init__(self, link_rate: float | None = None) -> None:
        self._link_rate = link_rate
        self._lateness = 0.0
        self._send_rate = 0.0
        self._accepted_at = -math.inf
        self.count = 0

    @property
    def overloaded(self) -> bool:
        """Whether the processor or the link is overloaded."""
        if self._lateness > MAX_LATENESS_SECONDS:
            return True
        rate = self._link_rate
        return rate is not None and self._send_rate > MAX_LINK_SHARE * rate

    def record(self, seconds: float, lateness: float, sent: int) -> None:
        """Record a measurement.

        :param seconds: time since the last measurement.
        :param lateness: seconds by which this measurement was late.
        :param sent: bytes sent since the last measurement.
        """
        if seconds <= 0:
            return
        self._lateness = _average(self._lateness, lateness, seconds)
        self._send_rate = _average(self._send_rate, sent / seconds, seconds)

    def accept(self, now: float) -> bool:
        """Return whether to accept a new connection.

        :param now: monotonic seconds.
        """
        if self.overloaded and now - self._accepted_at < MAX_PAUSE_SECONDS:
            self.count += 1
            return False
        self._accepted_at = now
        return True


def _average(average: float, value: float, seconds: float) -> float:
    constant = RISING_SECONDS if value > average else FALLING_SECONDS
    return average + (1.0 - math.exp(-seconds / constant)) * (value - average)
