"""Clocks behind an interface, so that tests can control the time.

Deadlines use the monotonic clock in seconds; records use wall-clock datetimes.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Interface of the clocks that programs use."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The clocks of the host."""

    def monotonic(self) -> float:
        """Return the host's monotonic time in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the host's wall-clock time in UTC."""
        return datetime.now(UTC)


class BootClock(SystemClock):
    """The clocks of the host, with a monotonic clock that includes suspended time.

    The usual monotonic clock stops while a host is suspended. After it resumes, leases
    and deadlines that have expired meanwhile would still appear valid.
    """

    def monotonic(self) -> float:
        """Return the seconds since the host was booted, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that advances only through `step`."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = 0.0

    def monotonic(self) -> float:
        """Return the sum of all steps in seconds."""
        return self._elapsed

    def now(self) -> datetime:
        """Return the start time plus all steps."""
        return self._start + timedelta(seconds=self._elapsed)

    def step(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: zero or more.
        :raises ValueError: the number of seconds is negative.
        """
        if seconds < 0:
            raise ValueError("a clock cannot be stepped back")
        self._elapsed += seconds
