"""How often a target fails, by its last answers.

A target that answers with errors at once, while it calls itself healthy, looks idle and
quick and would draw most requests; one that may run only once is lost with each error.
"""

__all__ = ["FailureShare"]

#: Weight of the newest answer. A fault shows within two or three answers, and one lost
#: answer in twenty leaves a target in use.
WEIGHT = 0.2

#: Seconds after which a share counts half. A target that nobody sends to gets no
#: answers that could prove it well again; faults that heal last some seconds.
HALF_LIFE = 3.0


class FailureShare:
    """Share of failures among a target's last answers, recent ones for more."""

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Count an answer as good or as a failure."""
        current = self.read(now)
        self.set(current + WEIGHT * (float(failed) - current), now)

    def set(self, share: float, now: float) -> None:
        """Take over what somebody else has counted."""
        self._share, self._at = share, now

    def read(self, now: float) -> float:
        """Return the share, from 0 to 1; it falls with time."""
        return self._share * 0.5 ** ((now - self._at) / HALF_LIFE)
