"""Prefix cache events, published with a delay and with gaps as engines do."""

from collections import deque

import msgspec

__all__ = ["CacheEvent", "CacheEvents"]

#: Seconds between a change of the cache and the publication of its event.
EVENT_DELAY_SECONDS = 0.5

#: One event out of this number is lost.
LOST_EVENT_INTERVAL = 10

#: Maximum number of stored events; older ones are dropped.
MAX_EVENTS = 1_000


class CacheEvent(msgspec.Struct, frozen=True):
    """Addition of a prompt prefix to the cache.

    :param sequence: increases by one per event; a gap indicates a lost event.
    :param at: POSIX time of the change, in seconds.
    :param served: adapter and version that the prefix was computed with.
    """

    sequence: int
    at: float
    served: str
    prefix: str


class CacheEvents:
    """Bounded buffer of cache events with delayed publication."""

    def __init__(self) -> None:
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._next_sequence = 0

    def add(self, now: float, served: str, prefix: str) -> None:
        """Add an event for a cached prefix, unless it is one of the lost events."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if sequence % LOST_EVENT_INTERVAL != LOST_EVENT_INTERVAL - 1:
            self._events.append(CacheEvent(sequence, now, served, prefix))

    def list_visible(self, now: float) -> list[CacheEvent]:
        """Return the events whose publication delay has passed."""
        return [
            event for event in self._events if now - event.at >= EVENT_DELAY_SECONDS
        ]
