"""Whether an engine's batch has room for one more request.

Several gateways send to one engine, and each knows its own requests only. An engine
that has more requests than slots takes the urgent ones in and pushes running ones out,
in the middle of their answers. So a request waits for a slot outside the engine, where
it can still go elsewhere.
"""

__all__ = ["BatchSlots"]

#: Seconds between two ends of requests in a full batch, before any were seen.
FIRST_INTERVAL = 0.1

#: Weight of the newest interval in their mean.
INTERVAL_WEIGHT = 0.1


class BatchSlots:
    """Counts an engine's requests against its slots.

    :ivar slots: requests in one batch, 0 for no bound.
    :ivar counted: requests that were given a turn, or sent without one, and haven't
        ended by their gateways' word.
    """

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.counted = 0
        self._reported: int | None = None
        #: Begun since the last report, and between the two before it. Those may still
        #: have been on their way when the report was made.
        self._begun = 0
        self._begun_before = 0
        self._interval = FIRST_INTERVAL
        self._ended_at: float | None = None

    @property
    def used(self) -> int:
        """Slots in use.

        Failure: the word of an end is lost with its gateway, and a slot would never be
        free again. The engine's own report bounds the count.
        """
        if self._reported is None:
            return self.counted
        known = self._reported + self._begun_before + self._begun
        return min(self.counted, known)

    @property
    def full(self) -> bool:
        """Whether the next request has to wait."""
        return 0 < self.slots <= self.used

    def begin(self) -> None:
        """Count a request that is sent now."""
        self.counted += 1
        self._begun += 1

    def end(self, count: int, now: float) -> None:
        """Count requests as over.

        :param now: monotonic seconds.
        """
        if self.full and self._ended_at is not None:
            took = (now - self._ended_at) / max(1, count)
            self._interval += INTERVAL_WEIGHT * (took - self._interval)
        self.counted = max(0, self.counted - count)
        self._ended_at = now

    def note_report(self, requests: int) -> None:
        """Take in how many requests the engine itself has, running or queued."""
        self._reported = requests
        self._begun_before, self._begun = self._begun, 0

    def delay(self, waiting: int) -> float:
        """Return the seconds until those who wait for a slot have one.

        :param waiting: requests that wait.
        """
        return self._interval * waiting if self.full else 0.0
