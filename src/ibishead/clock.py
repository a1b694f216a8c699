"""Time as an interface, so that tests can step it.

Deadlines use the monotonic clock in seconds; records use wall-clock datetimes.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """What a program may ask of time."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The machine's own clocks."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class BootClock(SystemClock):
    """The machine's clocks, with the time for which it was suspended counted.

    Failure: a machine is frozen for seconds and wakes again. The usual monotonic clock
    hasn't moved, so leases and deadlines that are long over still seem to run.
    """

    def monotonic(self) -> float:
        """Return the seconds since the machine's start, sleep included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = 0.0

    def monotonic(self) -> float:
        """Return the seconds stepped so far."""
        return self._elapsed

    def now(self) -> datetime:
        """Return the start time plus all steps."""
        return self._start + timedelta(seconds=self._elapsed)

    def step(self, seconds: float) -> None:
        """Move forward.

        :param seconds: how far, zero or more.
        """
        if seconds < 0:
            raise ValueError("a clock can only step forward")
        self._elapsed += seconds
