"""Admission of requests to the batch of an engine.

Several gateways send to one engine, and each knows only its own requests. An engine
with more requests than slots starts the urgent ones and preempts running ones in the
middle of their answers. Requests therefore wait for a slot outside the engine, where
they can still be sent to another target.
"""

__all__ = ["BatchSlots"]

#: Initial interval between two completions in a full batch.
INITIAL_INTERVAL_SECONDS = 0.1

#: Weight of the newest interval in the moving average.
INTERVAL_WEIGHT = 0.1


class BatchSlots:
    """Tracks how many of an engine's batch slots are in use.

    :ivar slots: batch size, 0 for no limit.
    :ivar active: requests that were admitted, or sent without admission, and whose
        gateways have not reported their end.
    """

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.active = 0
        self._reported_count: int | None = None
        #: Requests started since the last report, and between the two reports before
        #: it. The latter may still have been in transit when the report was made.
        self._started = 0
        self._started_before = 0
        self._interval = INITIAL_INTERVAL_SECONDS
        self._ended_at: float | None = None

    @property
    def used(self) -> int:
        """Number of slots in use.

        The end of a request is never reported if its gateway is lost, which would
        occupy the slot forever. The engine's own report therefore bounds the count.
        """
        if self._reported_count is None:
            return self.active
        upper_bound = self._reported_count + self._started_before + self._started
        return min(self.active, upper_bound)

    @property
    def full(self) -> bool:
        """Whether no slot is free for another request."""
        return 0 < self.slots <= self.used

    def begin(self) -> None:
        """Count a request that is being sent."""
        self.active += 1
        self._started += 1

    def end(self, count: int, now: float) -> None:
        """Count requests that have ended.

        :param count: number of requests.
        :param now: monotonic seconds.
        """
        if self.full and self._ended_at is not None:
            interval = (now - self._ended_at) / max(1, count)
            self._interval += INTERVAL_WEIGHT * (interval - self._interval)
        self.active = max(0, self.active - count)
        self._ended_at = now

    def record_report(self, requests: int) -> None:
        """Record how many requests the engine reports, running or queued."""
        self._reported_count = requests
        self._started_before, self._started = self._started, 0

    def delay(self, waiting: int) -> float:
        """Return the estimated seconds until the waiting requests have a slot.

        :param waiting: number of requests that wait for a slot.
        """
        return self._interval * waiting if self.full else 0.0
