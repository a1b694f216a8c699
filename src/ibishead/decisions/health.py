"""Failure rates of targets, estimated from their recent answers.

A target that fails immediately while reporting itself healthy looks idle and fast and
would attract most requests. A request that must not run twice is lost with each such
failure.
"""

__all__ = ["FailureShare"]

#: Weight of the newest answer in the moving average. A fault shows within two or three
#: answers, and a target that fails one request in twenty stays in use.
NEWEST_WEIGHT = 0.2

#: Half-life of the failure share. A target that receives no requests returns no answers
#: that could show its recovery. Transient faults last some seconds.
FAILURE_HALF_LIFE_SECONDS = 3.0


class FailureShare:
    """Moving average of failures among a target's answers, decaying with time."""

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Record whether an answer was a failure.

        :param now: monotonic seconds.
        """
        current = self.read(now)
        self.set(current + NEWEST_WEIGHT * (float(failed) - current), now)

    def set(self, share: float, now: float) -> None:
        """Replace the share by one that was measured elsewhere."""
        self._share, self._updated_at = share, now

    def read(self, now: float) -> float:
        """Return the share, 0 to 1, decayed to the given time."""
        return self._share * 0.5 ** (
            (now - self._updated_at) / FAILURE_HALF_LIFE_SECONDS
        )
