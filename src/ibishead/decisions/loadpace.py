"""Adaptive limit on an engine's concurrent loads from the weight store.

All engines share the weight store, and beyond some number of concurrent loads each one
slows down in proportion. Further concurrent loads then complete nothing sooner and
delay urgent ones. The current load time is therefore estimated, and fewer loads are
ordered concurrently while loads are slow.
"""

import statistics
from collections import deque

__all__ = ["INITIAL_LOAD_SECONDS", "LoadPace"]

#: Estimated load time in seconds before any load was measured.
INITIAL_LOAD_SECONDS = 0.25

#: Concurrent loads per engine: initial value, minimum and maximum. An engine accepts at
#: most four.
INITIAL_CONCURRENT_LOADS = 2.0
MIN_CONCURRENT_LOADS = 1.0
MAX_CONCURRENT_LOADS = 4.0

#: Ratio to the median load time from which a load counts as slow. Reports arrive every
#: 0.04 s, so a normal load of 0.25 s can appear up to one sixth longer.
SLOW_RATIO = 1.35

#: Decrease of the limit after a slow load and increase after a normal one. All
#: concurrent loads slow down together, so a few of them halve the limit.
LIMIT_DECREASE = 0.5
LIMIT_INCREASE = 0.15

#: Number of loads for the median. Most come from the store; loads of adapters with a
#: local copy are much faster.
WINDOW = 64

#: Ratio to the median below which a load did not come from the store.
LOCAL_COPY_RATIO = 0.5

#: Weight of the last load in the current load time, and the half-life in seconds of the
#: excess over the median.
LAST_WEIGHT = 0.5
EXCESS_HALF_LIFE_SECONDS = 1.0


class LoadPace:
    """Estimates load times of one engine and limits its concurrent loads."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=WINDOW)
        self._median = INITIAL_LOAD_SECONDS
        self._excess = 0.0
        self._recorded_at = 0.0
        self._limit = INITIAL_CONCURRENT_LOADS

    @property
    def limit(self) -> int:
        """Maximum number of concurrent loads."""
        return int(self._limit)

    def record(self, seconds: float, now: float) -> None:
        """Record a completed load.

        :param seconds: time from the order to the report that shows the adapter.
        :param now: monotonic seconds.
        """
        self._times.append(seconds)
        self._median = statistics.median(self._times)
        if seconds < LOCAL_COPY_RATIO * self._median:
            return
        excess = self._decay_excess(now)
        self._excess = excess + LAST_WEIGHT * (seconds - self._median - excess)
        self._recorded_at = now
        if seconds > SLOW_RATIO * self._median:
            self._limit = max(MIN_CONCURRENT_LOADS, self._limit - LIMIT_DECREASE)
        else:
            self._limit = min(MAX_CONCURRENT_LOADS, self._limit + LIMIT_INCREASE)

    def read(self, now: float) -> float:
        """Return the expected seconds for a load that is ordered now."""
        return self._median + max(0.0, self._decay_excess(now))

    def _decay_excess(self, now: float) -> float:
        return self._excess * 0.5 ** (
            (now - self._recorded_at) / EXCESS_HALF_LIFE_SECONDS
        )
