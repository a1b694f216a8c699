"""Slowdown of a target's host, by which all its work takes longer for a moment.

Hosts that targets share with other work are slow for some tenths of a second. A reading
is therefore worth little after that time, and nothing is gained from an average of
earlier ones: the learned speed of a target contains it.
"""

import math
from collections import deque

__all__ = ["SLOWDOWN_SECONDS", "SlowdownReadings", "fade_slowdown", "is_valid_slowdown"]

#: Seconds after which a reading says nothing any more. Hosts change about this often.
SLOWDOWN_SECONDS = 0.6

#: Range of valid readings. Hosts are slowed down by a few times.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0

#: Seconds for which readings are kept, longer than most answers take, and their maximum
#: number. Between two reports of an engine 0.25 s pass, while orders are in progress
#: 0.04 s.
KEPT_SECONDS = 6.0
MAX_READINGS = 160


def is_valid_slowdown(value: float) -> bool:
    """Return whether a slowdown is in range; not a number is not."""
    return MIN_SLOWDOWN <= value <= MAX_SLOWDOWN


def fade_slowdown(value: float, age: float) -> float:
    """Return the slowdown to expect some time after a reading.

    :param value: the reading.
    :param age: seconds since the reading, or until the work begins.
    """
    return 1.0 + (value - 1.0) * min(1.0, max(0.0, 1.0 - age / SLOWDOWN_SECONDS))


class SlowdownReadings:
    """Readings of the slowdown of one host."""

    def __init__(self) -> None:
        self._readings: deque[tuple[float, float]] = deque(maxlen=MAX_READINGS)

    def record(self, value: float | None, now: float) -> None:
        """Record a reading; one that is missing or out of range changes nothing.

        :param now: monotonic seconds.
        """
        if value is None or not is_valid_slowdown(value):
            return
        while self._readings and now - self._readings[0][0] > KEPT_SECONDS:
            self._readings.popleft()
        self._readings.append((now, value))

    def read(self, now: float) -> float:
        """Return the newest reading, 1 if there is none from the last moments."""
        at, value = self._readings[-1] if self._readings else (-math.inf, 1.0)
        return value if now - at <= SLOWDOWN_SECONDS else 1.0

    def read_end(self) -> float:
        """Return the monotonic seconds until which the newest reading is valid."""
        return self._readings[-1][0] + SLOWDOWN_SECONDS if self._readings else 0.0

    def mean(self, since: float, now: float) -> float:
        """Return the mean slowdown over a time, 1 if it is unknown.

        :param since: monotonic seconds.
        """
        values = [value for at, value in self._readings if since <= at <= now]
        return sum(values) / len(values) if values else self.read(now)
