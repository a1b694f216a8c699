"""Attempts admitted by an agent, and the answer frames buffered for them.

An attempt outlives the links on which its answer is sent. Its frames are retained until
the entry host has acknowledged them or the retention period has passed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ibishead.agent.gate import AttemptKey
from ibishead.agent.slots import AdapterKey
from ibishead.agent.streamtail import DONE_EVENT, StreamEnd, StreamTail
from ibishead.errors import ErrorCode
from ibishead.headers import Headers
from ibishead.ids import Sequence, TargetId
from ibishead.links import Link
from ibishead.messages import (
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    Dispatch,
    NotRun,
    Outcome,
)
from ibishead.session import Frame, FrameBuffer

__all__ = ["Attempt", "AttemptState", "AttemptTable"]

#: Seconds after its end for which an attempt's frames are retained, unless delivery has
#: released them earlier. An entry host that lost its link reconnects within a second or
#: two; the callers of an entry host that died retry through another one.
RETENTION_SECONDS = 60.0


class AttemptState(Enum):
    """Stage of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(eq=False)
class Attempt:
    """One attempt and the part of its answer produced so far.

    All points in time are in monotonic seconds.

    :param dispatch: message that requested the attempt.
    :param arrived: time at which the dispatch arrived.
    :param adapter: adapter that the attempt needs, none for a plain service.
    :param watchers: links to which the frames are sent.
    :param buffer_space: event set when the frame buffer accepts more data.
    :param refusal: the answer, where the attempt was refused without being run.
    :param ready_at: time at which its adapter was first seen resident.
    :param started: time at which the run began.
    :param frames_seen: number of frames at the last probe of the target.
    :param last_progress: time of the probe that last found a new frame, or the start of
        the run.
    :param absent_samples: consecutive probes in which the target showed no run with the
        adapter.
    :param unresponsive: the run was cancelled because its connection to the target
        delivered no data without being closed.
    :param ended: time at which the attempt ended.
    :param sent: the request's bytes may have reached the target.
    :param requeue_count: number of times that the attempt was queued again because the
        target did not hold the adapter or had restarted.
    :param tail: end of a model's event stream, none for any other answer.
    :param on_begin: called when its answer begins.
    :param on_head: called with the status and the headers of the target's answer.
    """

    dispatch: Dispatch
    arrived: float
    adapter: AdapterKey | None
    state: AttemptState = AttemptState.QUEUED
    buffer: FrameBuffer = field(default_factory=FrameBuffer)
    watchers: set[Link] = field(default_factory=set)
    buffer_space: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    refusal: NotRun | None = None
    ready_at: float | None = None
    started: float = 0.0
    frames_seen: int = 0
    last_progress: float = 0.0
    absent_samples: int = 0
    unresponsive: bool = False
    ended: float = 0.0
    sent: bool = False
    requeue_count: int = 0
    tail: StreamTail | None = None
    on_begin: Callable[[], None] = lambda: None
    on_head: Callable[[int, Headers], None] = lambda _, __: None
    _acknowledged: int = 0

    @property
    def key(self) -> AttemptKey:
        """Key of this attempt."""
        return AttemptKey(self.dispatch.request, self.dispatch.attempt)

    @property
    def deadline(self) -> float:
        """Monotonic time after which the answer is of no use to the caller."""
        return self.arrived + self.dispatch.deadline

    def emit_head(
        self,
        status: int,
        headers: Headers,
        target: TargetId,
        waited: tuple[float, float],
    ) -> None:
        """Buffer and send the head frame of the answer.

        :param waited: seconds in the queue, and seconds until the adapter was resident.
        """
        self.on_begin()
        adapter, version = self.dispatch.adapter, self.dispatch.version
        queued, stall = waited
        self._emit(
            AnswerHead(
                self.dispatch.request,
                self.dispatch.attempt,
                self.buffer.next_sequence,
                status,
                headers,
                adapter,
                version,
                target,
                queued,
                stall,
            )
        )

    def emit_body(self, data: bytes) -> None:
        """Buffer and send a piece of the answer's body."""
        if self.tail is not None:
            self.tail.add(data)
        self._emit(
            AnswerBody(
                self.dispatch.request,
                self.dispatch.attempt,
                self.buffer.next_sequence,
                data,
            )
        )

    def finish_stream(self) -> bool:
        """Complete a stream whose connection was lost, if its generation had finished.

        Emits the terminating event where only that event is missing.

        :returns: whether the answer is complete.
        """
        if self.tail is None:
            return False
        end = self.tail.classify(self.dispatch.body)
        if end is StreamEnd.FINISHED:
            self.emit_body(DONE_EVENT)
        return end is not StreamEnd.UNFINISHED

    def emit_end(
        self,
        outcome: Outcome,
        now: float,
        code: ErrorCode | None = None,
        reason: str = "",
    ) -> None:
        """Mark the attempt as ended; buffer and send the last frame."""
        self.state = AttemptState.ENDED
        self.ended = now
        self._emit(
            AnswerEnd(
                self.dispatch.request,
                self.dispatch.attempt,
                self.buffer.next_sequence,
                outcome,
                code,
                reason,
            )
        )

    def refuse(self, code: ErrorCode, reason: str, now: float, wait: float) -> None:
        """End an attempt that has not run at the target.

        :param wait: seconds after which the caller may retry.
        """
        self.state = AttemptState.ENDED
        self.ended = now
        self.refusal = NotRun(
            self.dispatch.request, self.dispatch.attempt, code, reason, wait
        )
        for link in self.watchers:
            link.send(self.refusal)

    def add_watcher(self, link: Link, next_sequence: Sequence) -> None:
        """Send the buffered frames to a link, and all further frames as they come.

        :param next_sequence: first frame to send.
        """
        self.watchers.add(link)
        if self.refusal is not None:
            link.send(self.refusal)
            return
        frames = self.buffer.list_from(next_sequence)
        if frames is None:
            frames = [self._make_discarded_end(next_sequence)]
        for frame in frames:
            link.send(frame)

    @property
    def is_acknowledged(self) -> bool:
        """Whether the answer was received; a refusal needs no acknowledgement."""
        if self.refusal is not None:
            return True
        return self.buffer.ended and self._acknowledged >= self.buffer.next_sequence

    def acknowledge(self, next_sequence: Sequence) -> None:
        """Discard the frames before a sequence number, which have been received.

        The frames of a non-idempotent request are retained as long as the buffer is not
        full, for a caller who retries through another entry host.
        """
        self._acknowledged = max(self._acknowledged, next_sequence)
        if self.dispatch.idempotent or self.buffer.full:
            self.buffer.acknowledge(next_sequence)
        if not self.buffer.full:
            self.buffer_space.set()

    async def wait_for_buffer_space(self) -> None:
        """Wait while the buffer is full, so that a slow caller slows the target."""
        while self.buffer.full:
            self.buffer_space.clear()
            await self.buffer_space.wait()

    def is_expired(self, now: float) -> bool:
        """Whether the frames can no longer be requested."""
        if self.state is not AttemptState.ENDED:
            return False
        delivered = self.buffer.delivered or self.refusal is not None
        if delivered and self.dispatch.idempotent:
            return True
        return now - self.ended > RETENTION_SECONDS

    def _emit(self, frame: Frame) -> None:
        self.buffer.append(frame)
        for link in self.watchers:
            link.send(frame)

    def _make_discarded_end(self, next_sequence: Sequence) -> AnswerEnd:
        return AnswerEnd(
            self.dispatch.request,
            self.dispatch.attempt,
            next_sequence,
            Outcome.UNKNOWN,
            ErrorCode.OUTCOME_UNKNOWN,
            "the answer was delivered before and its frames have been discarded",
        )


class AttemptTable:
    """Attempts whose frames may still be requested."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptKey, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Add an attempt."""
        self._attempts[attempt.key] = attempt

    def find(self, key: AttemptKey) -> Attempt | None:
        """Return the attempt with this key, or none."""
        return self._attempts.get(key)

    def list_in(self, *states: AttemptState) -> list[Attempt]:
        """Return the attempts in any of these states, oldest first."""
        return [a for a in self._attempts.values() if a.state in states]

    def remove_watcher(self, link: Link) -> None:
        """Detach a closed link from all attempts, which continue to run."""
        for attempt in self._attempts.values():
            attempt.watchers.discard(link)

    def remove_expired(self, now: float) -> list[Attempt]:
        """Remove and return the attempts whose frames can no longer be requested."""
        expired = [a for a in self._attempts.values() if a.is_expired(now)]
        for attempt in expired:
            del self._attempts[attempt.key]
        return expired
