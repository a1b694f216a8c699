"""State of links and of the answers that cross them, without I/O.

`LinkMonitor` tells when to ask a peer for a sign of life and when to give it up.
`FrameBuffer` keeps the frames of an answer until the peer has them, and
`FrameSequence` puts them in order at the other end, so that an answer outlives
the link it began on.
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

#: Intervals without any message after which other peers are preferred.
OVERDUE = 1.5

#: Seconds without any message after which a peer counts as lost. Four heartbeats,
#: so that one slow loop turn is survived, yet short of the 5 s in which a silent
#: target must be gone.
SILENCE_LIMIT = 2.0


class LinkAction(Enum):
    """What a link's owner is to do now."""

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give up"


class LinkMonitor:
    """Watches one link for silence.

    :param now: monotonic seconds.
    :param interval: seconds between heartbeats.
    :param silence: seconds without a message after which the link is given up.
    """

    def __init__(
        self,
        now: float,
        interval: float = HEARTBEAT_INTERVAL,
        silence: float = SILENCE_LIMIT,
    ) -> None:
        self.interval = interval
        self._silence = silence
        self._heard = now
        self._ticked = now
        self._pinged = now - interval

    def hear(self, now: float) -> None:
        """Note that a message came from the peer's own loop."""
        self._heard = now

    def is_overdue(self, now: float) -> bool:
        """Return whether the peer's next heartbeat should have come long ago."""
        return now - self._heard > OVERDUE * self.interval

    def note_sent(self, now: float) -> None:
        """Note that a message has left, which the peer hears as a heartbeat.

        For links whose both ends go by the same interval and ask for no answers.
        """
        self._pinged = now

    def tick(self, now: float) -> LinkAction:
        """Return what to do; to be called a few times in each interval.

        A process that was frozen finds a gap between its own ticks. The peer's
        messages may lie unread in the socket, so silence is counted anew.
        """
        frozen = now - self._ticked > self._silence / 2
        self._ticked = now
        if frozen:
            self._heard = now
        if now - self._heard >= self._silence:
            return LinkAction.GIVE_UP
        if now - self._pinged >= self.interval:
            self._pinged = now
            return LinkAction.PING
        return LinkAction.WAIT


class FrameBuffer:
    """Frames of one answer that the entry host hasn't acknowledged.

    :param limit: bytes above which the sender should pause its source.
    """

    def __init__(self, limit: int = 1024 * 1024) -> None:
        self._limit = limit
        self._frames: deque[Frame] = deque()
        self._first = 0
        self._bytes = 0
        self.ended = False

    @property
    def next_sequence(self) -> Sequence:
        """The number that the next frame gets."""
        return Sequence(self._first + len(self._frames))

    @property
    def full(self) -> bool:
        """Whether the source should pause."""
        return self._bytes >= self._limit

    @property
    def delivered(self) -> bool:
        """Whether the whole answer has been acknowledged."""
        return self.ended and not self._frames

    def append(self, frame: Frame) -> None:
        """Keep a frame, which must carry `next_sequence`."""
        if frame.sequence != self.next_sequence:
            raise ValueError(f"frame {frame.sequence} follows {self.next_sequence}")
        self._frames.append(frame)
        self._bytes += _weigh(frame)
        self.ended = isinstance(frame, AnswerEnd)

    def acknowledge(self, next_sequence: Sequence) -> None:
        """Forget all frames before ``next_sequence``; repeats do no harm."""
        while self._frames and self._first < next_sequence:
            self._bytes -= _weigh(self._frames.popleft())
            self._first += 1

    def list_from(self, next_sequence: Sequence) -> list[Frame] | None:
        """Return the frames from ``next_sequence`` on, none if some are forgotten."""
        if next_sequence < self._first:
            return None
        skipped = next_sequence - self._first
        return list(self._frames)[skipped:]


class FrameSequence:
    """Orders the frames of one answer and drops repeats."""

    def __init__(self) -> None:
        self.next_sequence = Sequence(0)
        self._early: dict[int, Frame] = {}

    def accept(self, frame: Frame) -> list[Frame]:
        """Return the frames that may be delivered now, in order."""
        if frame.sequence >= self.next_sequence:
            self._early.setdefault(frame.sequence, frame)
        ready = []
        while (found := self._early.pop(self.next_sequence, None)) is not None:
            ready.append(found)
            self.next_sequence = Sequence(self.next_sequence + 1)
        return ready


def _weigh(frame: Frame) -> int:
    return len(frame.data) if isinstance(frame, AnswerBody) else 256
