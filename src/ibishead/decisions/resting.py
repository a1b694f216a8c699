"""Rest periods, in which an overloaded target wants no requests from this host.

After a rest, requests return to the target gradually.
"""

import math
from typing import TypeGuard

from ibishead.ids import TargetId

__all__ = ["OVERLOADED_STATUS", "RestPeriod", "RestTable", "is_valid_rest"]

#: Status code of a refusal that may ask for rest.
OVERLOADED_STATUS = 503

#: Longest rest in seconds that is granted. A longer one is taken for a malformed value,
#: as it would close the target for good.
MAX_REST_SECONDS = 60.0

#: Random extension of a rest, as a share of its length and at most in seconds. It keeps
#: the hosts that were refused at the same moment from returning at the same moment.
SPREAD_SHARE = 0.1
MAX_SPREAD_SECONDS = 0.5

#: Seconds between the first two requests after a rest, the factor from one interval to
#: the next, and the interval at which the return ends once no request waits for it.
FIRST_INTERVAL_SECONDS = 0.2
INTERVAL_FACTOR = 0.8
LAST_INTERVAL_SECONDS = 0.01


def is_valid_rest(seconds: float | None) -> TypeGuard[float]:
    """Return whether a target may rest for a time that it has asked for."""
    return seconds is not None and 0 < seconds <= MAX_REST_SECONDS


class RestPeriod:
    """The rest of one target, and the return of requests after it.

    :ivar began: monotonic seconds at which the rest began.
    """

    def __init__(self) -> None:
        self.began = -math.inf
        self._until = -math.inf
        self._next_at = -math.inf
        self._interval = LAST_INTERVAL_SECONDS

    def begin(self, seconds: float, now: float, offset: float = 0.0) -> None:
        """Begin a rest, or extend the one in progress.

        A shorter rest than the one in progress doesn't end that one.

        :param seconds: length, valid by `is_valid_rest`.
        :param now: monotonic seconds.
        :param offset: random share of the largest extension, 0 to 1.
        """
        if not self.left(now):
            self.began = now
        spread = offset * min(MAX_SPREAD_SECONDS, SPREAD_SHARE * seconds)
        self._until = self._next_at = max(self._until, now + seconds + spread)
        self._interval = FIRST_INTERVAL_SECONDS

    def left(self, now: float) -> float:
        """Return the seconds until the rest ends, 0 while there is none."""
        return max(0.0, self._until - now)

    def wait(self, now: float) -> float:
        """Return the seconds until the next request may be sent."""
        return max(0.0, self._next_at - now)

    def take(self, now: float) -> float:
        """Count a request, and return the seconds until it may be sent."""
        wait = self.wait(now)
        if wait or self._interval > LAST_INTERVAL_SECONDS:
            self._next_at = now + wait + self._interval
            self._interval = max(
                LAST_INTERVAL_SECONDS, INTERVAL_FACTOR * self._interval
            )
        return wait


class RestTable:
    """The rests of all targets; a new incarnation of a target has none."""

    def __init__(self) -> None:
        self._periods: dict[TargetId, tuple[int, RestPeriod]] = {}

    def begin(
        self,
        target: TargetId,
        incarnation: int,
        seconds: float,
        now: float,
        offset: float = 0.0,
    ) -> None:
        """Begin or extend the rest of a target, see `RestPeriod.begin`."""
        if self.find(target, incarnation) is None:
            self._periods[target] = (incarnation, RestPeriod())
        self._periods[target][1].begin(seconds, now, offset)

    def find(self, target: TargetId, incarnation: int) -> RestPeriod | None:
        """Return the rest period of a target, ``None`` if it has had none lately."""
        known, period = self._periods.get(target, (incarnation, None))
        return period if known == incarnation else None

    def count(self, now: float) -> int:
        """Return the number of targets that rest."""
        return sum(1 for _, period in self._periods.values() if period.left(now))

    def remove_ended(self, now: float) -> None:
        """Discard the rests that ended more than their own maximum ago."""
        self._periods = {
            target: entry
            for target, entry in self._periods.items()
            if entry[1].wait(now - MAX_REST_SECONDS)
        }
