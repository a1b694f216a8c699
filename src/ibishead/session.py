"""State of links and of the answers sent over them, without I/O.

`LinkMonitor` decides when to send a heartbeat and when to close a link. `FrameBuffer`
holds the frames of an answer until the receiver has acknowledged them, and
`FrameSequence` restores their order at the receiver. Together they let an answer
continue over a new link when its first link is lost.
"""

from collections import deque
from enum import Enum
from typing import TypeAlias

from ibishead.ids import Sequence
from ibishead.messages import AnswerBody, AnswerEnd, AnswerHead

__all__ = [
    "Frame",
    "FrameBuffer",
    "FrameSequence",
    "HEARTBEAT_INTERVAL",
    "LinkAction",
    "LinkMonitor",
    "SILENCE_LIMIT",
]

Frame: TypeAlias = AnswerHead | AnswerBody | AnswerEnd

#: Seconds between heartbeats.
HEARTBEAT_INTERVAL = 0.5

#: Heartbeat intervals without any message after which other peers are preferred.
OVERDUE_INTERVALS = 1.5

#: Seconds without any message after which a peer counts as lost. Four heartbeats, so
#: that one slow iteration of the peer's event loop does not close the link, and less
#: than the 5 s within which a silent target has to be removed.
SILENCE_LIMIT = 2.0


class LinkAction(Enum):
    """What the owner of a `LinkMonitor` has to do."""

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give up"


class LinkMonitor:
    """Schedules the heartbeats of a link and detects a silent peer.

    :param now: current monotonic time in seconds.
    :param interval: seconds between heartbeats.
    :param timeout: seconds without a message after which the link has to be closed.
    """

    def __init__(
        self,
        now: float,
        interval: float = HEARTBEAT_INTERVAL,
        timeout: float = SILENCE_LIMIT,
    ) -> None:
        self.interval = interval
        self._timeout = timeout
        self._last_received = now
        self._last_tick = now
        self._last_heartbeat = now - interval

    def note_received(self, now: float) -> None:
        """Record that a message from the peer has arrived."""
        self._last_received = now

    def is_overdue(self, now: float) -> bool:
        """Return whether the peer's heartbeat is more than half an interval late."""
        return now - self._last_received > OVERDUE_INTERVALS * self.interval

    def note_sent(self, now: float) -> None:
        """Record that a message was sent, so that no heartbeat is due for an interval.

        Only for links on which both ends send heartbeats and expect no pongs.
        """
        self._last_heartbeat = now

    def tick(self, now: float) -> LinkAction:
        """Return what to do now; has to be called several times in each interval.

        A long gap between two calls means that this process itself was suspended. The
        peer's messages may then wait unread in the socket, so its silence is counted
        from now.
        """
        suspended = now - self._last_tick > self._timeout / 2
        self._last_tick = now
        if suspended:
            self._last_received = now
        if now - self._last_received >= self._timeout:
            return LinkAction.GIVE_UP
        if now - self._last_heartbeat >= self.interval:
            self._last_heartbeat = now
            return LinkAction.PING
        return LinkAction.WAIT


class FrameBuffer:
    """Frames of one answer that the entry host has not acknowledged.

    :param limit: bytes in the buffer from which on reading from the source should
        pause.
    :ivar ended: whether the last frame of the answer was appended.
    """

    def __init__(self, limit: int = 1024 * 1024) -> None:
        self._limit = limit
        self._frames: deque[Frame] = deque()
        self._first_sequence = 0
        self._buffered_bytes = 0
        self.ended = False

    @property
    def next_sequence(self) -> Sequence:
        """The sequence number of the next frame to append."""
        return Sequence(self._first_sequence + len(self._frames))

    @property
    def full(self) -> bool:
        """Whether reading from the source should pause."""
        return self._buffered_bytes >= self._limit

    @property
    def delivered(self) -> bool:
        """Whether the complete answer has been acknowledged."""
        return self.ended and not self._frames

    def append(self, frame: Frame) -> None:
        """Add a frame.

        :raises ValueError: its sequence number is not `next_sequence`.
        """
        if frame.sequence != self.next_sequence:
            raise ValueError(
                f"frame {frame.sequence} appended, {self.next_sequence} expected"
            )
        self._frames.append(frame)
        self._buffered_bytes += _size_in_bytes(frame)
        self.ended = isinstance(frame, AnswerEnd)

    def acknowledge(self, next_sequence: Sequence) -> None:
        """Discard all frames before ``next_sequence``; idempotent."""
        while self._frames and self._first_sequence < next_sequence:
            self._buffered_bytes -= _size_in_bytes(self._frames.popleft())
            self._first_sequence += 1

    def list_from(self, next_sequence: Sequence) -> list[Frame] | None:
        """Return the frames from ``next_sequence`` on, `None` if any was discarded."""
        if next_sequence < self._first_sequence:
            return None
        skipped = next_sequence - self._first_sequence
        return list(self._frames)[skipped:]


class FrameSequence:
    """Restores the order of the frames of one answer and drops duplicates.

    :ivar next_sequence: sequence number of the next frame to deliver.
    """

    def __init__(self) -> None:
        self.next_sequence = Sequence(0)
        self._out_of_order: dict[int, Frame] = {}

    def accept(self, frame: Frame) -> list[Frame]:
        """Store a received frame and return the frames to deliver now, in order."""
        if frame.sequence >= self.next_sequence:
            self._out_of_order.setdefault(frame.sequence, frame)
        ready = []
        while (
            next_frame := self._out_of_order.pop(self.next_sequence, None)
        ) is not None:
            ready.append(next_frame)
            self.next_sequence = Sequence(self.next_sequence + 1)
        return ready


def _size_in_bytes(frame: Frame) -> int:
    return len(frame.data) if isinstance(frame, AnswerBody) else 256
