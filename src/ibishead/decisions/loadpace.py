"""How long an engine's loads from the store take now, and how many it has at once.

All engines share the weight store, and beyond some loads under way each one takes
longer in proportion. More of them at once bring nothing sooner, and delay what is
urgent. So the present time of a load is learned, and fewer are ordered at once while it
is stretched.
"""

import statistics
from collections import deque

__all__ = ["FIRST_TIME", "LoadPace"]

#: Seconds of a load before any has been seen.
FIRST_TIME = 0.25

#: Loads under way to one engine at once: at first, at least and at most. An engine
#: takes no more than four.
FIRST_MOST = 2.0
LEAST_MOST = 1.0
MOST_MOST = 4.0

#: Ratio to the usual time from which a load counts as stretched. Reports come every
#: 0.04 s, so that a calm load of a quarter of a second seems up to a sixth longer.
STRETCH = 1.35

#: What a stretched load takes off the loads at once, and what a calm one adds. All that
#: are under way are stretched together, so a few of them halve the loads at once.
STEP_DOWN = 0.5
STEP_UP = 0.15

#: Loads whose median is the usual time. Most come from the store; those whose copy was
#: still at hand are much quicker.
WINDOW = 64

#: Ratio to the usual time below which a load didn't come from the store.
AT_HAND_RATIO = 0.5

#: Weight of the last load in the present time, and the seconds in which half of what it
#: is above the usual time is forgotten.
LAST_WEIGHT = 0.5
FORGET_TIME = 1.0


class LoadPace:
    """Learns from the loads of one engine."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=WINDOW)
        self._usual = FIRST_TIME
        self._above = 0.0
        self._noted = 0.0
        self._most = FIRST_MOST

    @property
    def most(self) -> int:
        """How many loads may be under way to the engine at once."""
        return int(self._most)

    def note(self, seconds: float, now: float) -> None:
        """Take in a load that has come to its end.

        :param seconds: from the order to the report that shows it.
        :param now: monotonic seconds.
        """
        self._times.append(seconds)
        self._usual = statistics.median(self._times)
        if seconds < AT_HAND_RATIO * self._usual:
            return
        above = self._read_above(now)
        self._above = above + LAST_WEIGHT * (seconds - self._usual - above)
        self._noted = now
        if seconds > STRETCH * self._usual:
            self._most = max(LEAST_MOST, self._most - STEP_DOWN)
        else:
            self._most = min(MOST_MOST, self._most + STEP_UP)

    def read(self, now: float) -> float:
        """Return the seconds that a load takes which is ordered now."""
        return self._usual + max(0.0, self._read_above(now))

    def _read_above(self, now: float) -> float:
        return self._above * 0.5 ** ((now - self._noted) / FORGET_TIME)
