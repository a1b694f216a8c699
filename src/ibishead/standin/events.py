"""Cache events as engines publish them: late, and with gaps."""

from collections import deque

import msgspec

__all__ = ["CacheEvent", "CacheEvents"]

#: Seconds between a change of the cache and its event.
EVENT_DELAY = 0.5

#: Every so many events one is lost.
GAP_EVERY = 10

EVENTS_KEPT = 1_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that entered the cache.

    :param sequence: rises by one; a missing number is a lost event.
    """

    sequence: int
    at: float
    served: str
    prefix: str


class CacheEvents:
    """Events that may be shown by now."""

    def __init__(self) -> None:
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._next = 0

    def add(self, now: float, served: str, prefix: str) -> None:
        """Note a cached prefix; some are lost."""
        sequence = self._next
        self._next += 1
        if sequence % GAP_EVERY != GAP_EVERY - 1:
            self._events.append(CacheEvent(sequence, now, served, prefix))

    def list_visible(self, now: float) -> list[CacheEvent]:
        """Return the events that are old enough to be published."""
        return [event for event in self._events if now - event.at >= EVENT_DELAY]
