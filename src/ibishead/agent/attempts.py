"""Attempts that an agent has taken in, and the frames that it owes for them.

An attempt outlives the links it is watched over: its frames stay until the entry
host has acknowledged them, or until nobody has asked for them for a while.
"""

import asyncio
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

#: Seconds that frames nobody watches are kept. An entry host that lost its link is
#: back within a second or two; one that died leaves its caller to ask elsewhere.
RETENTION_SECONDS = 60.0


class AttemptState(Enum):
    """How far an attempt has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(eq=False)
class Attempt:
    """One attempt and its answer so far.

    :param arrived: monotonic seconds, as are all moments here.
    :param adapter: none for a plain service.
    :param shown: frames owed when the target was last looked at.
    :param quiet_since: when the run last brought a frame, or began.
    :param absences: looks in a row at which the target showed nothing of the run.
    :param silent: the run was given up because its connection has gone silent.
    :param sent: the request's bytes may have reached the target.
    :param requeued: how often the target turned out to be empty.
    :param tail: the end of a model's stream, none for any other answer.
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
    _acknowledged: int = 0

    @property
    def key(self) -> AttemptKey:
        """The name of this attempt."""
        return AttemptKey(self.dispatch.request, self.dispatch.attempt)

    @property
    def deadline(self) -> float:
        """When the answer becomes worthless."""
        return self.arrived + self.dispatch.deadline

    def emit_head(
        self,
        status: int,
        headers: Headers,
        target: TargetId,
        waited: tuple[float, float],
    ) -> None:
        """Owe the first frame.

        :param waited: seconds in the queue, and seconds for the adapter.
        """
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
        """Owe a piece of the body."""
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
        """Owe what a stream lacks whose connection is lost, if its text is whole.

        :returns: whether the answer is whole.
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
        """Owe the last frame."""
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
        """End an attempt that hasn't been given to the target.

        :param wait: seconds after which the caller may come back.
        """
        self.state = AttemptState.ENDED
        self.ended = now
        self.refusal = NotRun(
            self.dispatch.request, self.dispatch.attempt, code, reason, wait
        )
        for link in self.watchers:
            link.send(self.refusal)

    def add_watcher(self, link: Link, next_sequence: Sequence) -> None:
        """Send what is owed from a sequence on, and all that follows, to a link."""
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
        """Whether a watcher has the whole answer."""
        if self.refusal is not None:
            return True
        return self.buffer.ended and self._acknowledged >= self.buffer.next_sequence

    def acknowledge(self, next_sequence: Sequence) -> None:
        """Forget frames that have arrived.

        A non-idempotent request's frames stay while they are few, for a caller who
        asks again through another entry host.
        """
        self._acknowledged = max(self._acknowledged, next_sequence)
        if self.dispatch.idempotent or self.buffer.full:
            self.buffer.acknowledge(next_sequence)
        if not self.buffer.full:
            self.buffer_space.set()

    async def wait_for_buffer_space(self) -> None:
        """Pause the target while the caller reads more slowly than it writes."""
        while self.buffer.full:
            self.buffer_space.clear()
            await self.buffer_space.wait()

    def is_expired(self, now: float) -> bool:
        """Whether nobody can ask for the frames any more."""
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
            "the answer was delivered before and is no longer kept",
        )


class AttemptTable:
    """All attempts that may still be asked for."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptKey, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt."""
        self._attempts[attempt.key] = attempt

    def find(self, key: AttemptKey) -> Attempt | None:
        """Return an attempt, or none."""
        return self._attempts.get(key)

    def list_in(self, *states: AttemptState) -> list[Attempt]:
        """Return the attempts in some states, oldest first."""
        return [a for a in self._attempts.values() if a.state in states]

    def remove_watcher(self, link: Link) -> None:
        """Forget a link that is over; its attempts go on."""
        for attempt in self._attempts.values():
            attempt.watchers.discard(link)

    def remove_expired(self, now: float) -> list[Attempt]:
        """Drop what nobody can ask for any more, and return it."""
        expired = [a for a in self._attempts.values() if a.is_expired(now)]
        for attempt in expired:
            del self._attempts[attempt.key]
        return expired
