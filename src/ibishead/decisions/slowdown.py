"""Slowdown of a target's host, by which all its work takes longer for a moment.

Hosts that targets share with other work are slow for some tenths of a second. A reading
is therefore worth little after that time, and nothing is gained from an average of
earlier ones: the learned speed of a target contains it.
"""

import math
import statistics
from collections import deque

__all__ = ["SLOWDOWN_SECONDS", "SlowdownReadings", "fade_slowdown", "is_valid_slowdown"]

#: Seconds after which a reading says nothing any more. Hosts change about this often.
SLOWDOWN_SECONDS = 0.6

#: Range of valid readings. Hosts are slowed down by a few times.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0

#: Readings of which the median is taken for the usual slowdown: maximum and minimum
#: number, and seconds between two of them. Slow moments of 0.6 s in 15% of the time are
#: a minority of readings over more than two seconds.
USUAL_READINGS = 33
MIN_USUAL_READINGS = 9
USUAL_INTERVAL_SECONDS = 0.25

#: Ratio to what is usual from which a reading shows a slow moment.
VARYING_RATIO = 1.5

#: Seconds for which readings are kept, longer than most answers take, and their maximum
#: number. Between two reports of an engine 0.25 s pass, while orders are in progress
#: 0.04 s.
KEPT_SECONDS = 6.0
MAX_READINGS = 160


def is_valid_slowdown(value: float) -> bool:
    """Return whether a slowdown is in range; not a number is not."""
    return MIN_SLOWDOWN <= value <= MAX_SLOWDOWN


def fade_slowdown(value: float, age: float, usual: float = 1.0) -> float:
    """Return the slowdown to expect some time after a reading.

    :param value: the reading.
    :param age: seconds since the reading, or until the work begins.
    :param usual: slowdown that the host usually has.
    """
    return usual + (value - usual) * min(1.0, max(0.0, 1.0 - age / SLOWDOWN_SECONDS))


class SlowdownReadings:
    """Readings of the slowdown of one host.

    Hosts of different speeds are not at 1 as usual: a slower one reports a higher value
    all the time. The median of many readings is taken for what is usual there.

    :ivar usual: slowdown that the host usually has, 1 if unknown.
    """

    def __init__(self) -> None:
        self.usual = 1.0
        self._readings: deque[tuple[float, float]] = deque(maxlen=MAX_READINGS)
        self._spaced: deque[float] = deque(maxlen=USUAL_READINGS)
        self._spaced_at = -math.inf

    def record(self, value: float | None, now: float) -> None:
        """Record a reading; one that is missing or out of range changes nothing.

        :param now: monotonic seconds.
        """
        if value is None or not is_valid_slowdown(value):
            return
        while self._readings and now - self._readings[0][0] > KEPT_SECONDS:
            self._readings.popleft()
        self._readings.append((now, value))
        if now - self._spaced_at >= USUAL_INTERVAL_SECONDS:
            self._spaced_at = now
            self._spaced.append(value)
            if len(self._spaced) >= MIN_USUAL_READINGS:
                self.usual = statistics.median(self._spaced)

    @property
    def varies(self) -> bool:
        """Whether work on the host was slowed for a moment in the last seconds."""
        if len(self._spaced) < MIN_USUAL_READINGS:
            return False
        return max(self._spaced) >= VARYING_RATIO * self.usual

    def set_usual(self, value: float) -> None:
        """Set what is usual there, as learned by a program that has more readings."""
        if is_valid_slowdown(value):
            self.usual = value

    def read(self, now: float) -> float:
        """Return the newest reading, or the usual value if there is no recent one."""
        at, value = self._readings[-1] if self._readings else (-math.inf, self.usual)
        return value if now - at <= SLOWDOWN_SECONDS else self.usual

    def expect(self, now: float) -> float:
        """Return the slowdown to expect now, by the age of the newest reading."""
        at, value = self._readings[-1] if self._readings else (-math.inf, self.usual)
        return fade_slowdown(value, now - at, self.usual)

    def mean(self, since: float, now: float) -> float:
        """Return the mean slowdown over a time, the usual one if it is unknown.

        :param since: monotonic seconds.
        """
        values = [value for at, value in self._readings if since <= at <= now]
        return sum(values) / len(values) if values else self.read(now)
