"""Rest periods, in which an overloaded target wants no requests from this host."""

import math

from ibishead.ids import TargetId

__all__ = ["RestPeriod", "RestTable", "is_valid_rest"]

#: Longest rest in seconds that is granted. A longer one is taken for a malformed value,
#: as it would close the target for good.
MAX_REST_SECONDS = 60.0


def is_valid_rest(seconds: float | None) -> bool:
    """Return whether a target may rest for a time that it has asked for."""
    return seconds is not None and 0 < seconds <= MAX_REST_SECONDS


class RestPeriod:
    """The rest of one target.

    :ivar began: monotonic seconds at which the rest began.
    """

    def __init__(self) -> None:
        self.began = -math.inf
        self._until = -math.inf

    def begin(self, seconds: float, now: float) -> None:
        """Begin a rest, or extend the one in progress.

        A shorter rest than the one in progress doesn't end that one.

        :param seconds: length, valid by `is_valid_rest`.
        :param now: monotonic seconds.
        """
        if not self.left(now):
            self.began = now
        self._until = max(self._until, now + seconds)

    def left(self, now: float) -> float:
        """Return the seconds until the rest ends, 0 while there is none."""
        return max(0.0, self._until - now)


class RestTable:
    """The rests of all targets; a new incarnation of a target has none."""

    def __init__(self) -> None:
        self._periods: dict[TargetId, tuple[int, RestPeriod]] = {}

    def begin(
        self, target: TargetId, incarnation: int, seconds: float, now: float
    ) -> None:
        """Begin or extend the rest of a target, see `RestPeriod.begin`."""
        if self.find(target, incarnation) is None:
            self._periods[target] = (incarnation, RestPeriod())
        self._periods[target][1].begin(seconds, now)

    def find(self, target: TargetId, incarnation: int) -> RestPeriod | None:
        """Return the rest period of a target, ``None`` if it has had none lately."""
        known, period = self._periods.get(target, (incarnation, None))
        return period if known == incarnation else None

    def count(self, now: float) -> int:
        """Return the number of targets that rest."""
        return sum(1 for _, period in self._periods.values() if period.left(now))

    def remove_ended(self, now: float) -> None:
        """Discard the rests that have ended."""
        self._periods = {
            target: entry
            for target, entry in self._periods.items()
            if entry[1].left(now)
        }
