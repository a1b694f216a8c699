"""The entry host's links to agents, and the attempts that are open on them.

An attempt belongs to an agent, not to a link. When a link is lost a new one is
dialled at once and each open attempt is resumed on it by sequence.
"""

import asyncio
import contextlib
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import Incarnation, RequestId, Sequence, TargetId
from ibishead.links import Dialer, Endpoint, Link, dial
from ibishead.messages import (
    Acknowledge,
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    Cancel,
    Dispatch,
    Hello,
    LoadReport,
    Message,
    NotRun,
    Resume,
    TargetRecord,
)
from ibishead.session import Frame, FrameSequence

__all__ = ["AgentLink", "AgentPool", "AttemptChannel", "AttemptEvent", "AttemptLost"]

logger = logging.getLogger(__name__)

#: Seconds between dials of an agent that can't be reached.
REDIAL_INTERVAL = 0.25

#: Seconds without a link after which an attempt counts as lost. Control has declared
#: the agent gone by then, or some network path is broken for long.
LOST_AFTER = 6.0

#: Frames after which an acknowledgement goes out; the agent keeps them until then.
FRAMES_PER_ACKNOWLEDGE = 16


@dataclass(frozen=True)
class AttemptLost:
    """The agent can't be asked any more; nobody knows how the attempt ended."""

    reason: str


AttemptEvent: TypeAlias = Frame | NotRun | AttemptLost


class LinkObserver(Protocol):
    """Who wants to know how the agents are."""

    def add(self, record: TargetRecord) -> None:
        """Take in a target that control has announced, or announced again."""

    def remove(self, target: TargetId) -> None:
        """Forget a target that is gone."""

    def observe(self, report: LoadReport) -> None:
        """Take in an agent's report."""

    def lose(self, target: TargetId) -> None:
        """Note that the link to a target's agent is down."""


class AttemptChannel:
    """One open attempt as its request sees it."""

    def __init__(self, request: RequestId, attempt: int, owner: "AgentLink") -> None:
        self.request = request
        self.attempt = attempt
        self.incarnation = owner.record.incarnation
        self._owner = owner
        self._sequence = FrameSequence()
        self._events: asyncio.Queue[AttemptEvent] = asyncio.Queue()
        self._unacknowledged = 0

    @property
    def next_sequence(self) -> Sequence:
        """The first frame that hasn't come."""
        return self._sequence.next_sequence

    def take(self, message: AnswerHead | AnswerBody | AnswerEnd | NotRun) -> None:
        """Queue what may be delivered now, in order and once."""
        if isinstance(message, NotRun):
            self._events.put_nowait(message)
            return
        for frame in self._sequence.accept(message):
            self._events.put_nowait(frame)

    def lose(self, reason: str) -> None:
        """End the attempt without an answer."""
        self._events.put_nowait(AttemptLost(reason))

    async def next_event(self) -> AttemptEvent:
        """Return the next frame or end."""
        return await self._events.get()

    def acknowledge(self, frame: Frame) -> None:
        """Note that a frame has been passed on."""
        self._unacknowledged += 1
        last = isinstance(frame, AnswerEnd)
        if last or self._unacknowledged >= FRAMES_PER_ACKNOWLEDGE:
            self._unacknowledged = 0
            after = Sequence(frame.sequence + 1)
            self._owner.send(Acknowledge(self.request, self.attempt, after))

    def cancel(self) -> None:
        """Tell the agent that the caller has left."""
        self._owner.send(Cancel(self.request, self.attempt))

    def close(self) -> None:
        """Stop following the attempt."""
        self._owner.drop(self)


class AgentLink:
    """One agent: the link to it, its load, and the attempts open there."""

    def __init__(
        self,
        record: TargetRecord,
        hello: Callable[[], Hello],
        clock: Clock,
        tls: ssl.SSLContext | None,
        dialer: Dialer,
        observer: LinkObserver,
    ) -> None:
        self._observer = observer
        self.record = record
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._dial = dialer
        self._link: Link | None = None
        # Two callers of one host may follow the same attempt, by the same key
        self._open: dict[tuple[RequestId, int], list[AttemptChannel]] = {}
        self.finished = False
        self._retired = False
        self._task = asyncio.create_task(self._connect_for_ever())

    def take_record(self, record: TargetRecord) -> None:
        """Note what control says of the target now, which may be back."""
        moved = (record.address, record.port) != (self.record.address, self.record.port)
        self.record = record
        self._retired = False
        if moved and self._link is not None:
            self._link.abort()

    def dispatch(self, dispatch: Dispatch) -> AttemptChannel:
        """Send an attempt.

        :raises LinkLost: there is no link now; nothing was sent.
        """
        if self._link is None or self._link.closed:
            raise LinkLost(
                f"no link to the agent of {self.record.target}",
                "none is needed, another target is tried",
            )
        channel = self._add(dispatch.request, dispatch.attempt)
        self._link.send(dispatch)
        return channel

    def follow(
        self, request: RequestId, attempt: int, incarnation: Incarnation
    ) -> AttemptChannel:
        """Ask for the frames of an attempt that another entry host sent."""
        channel = self._add(request, attempt)
        channel.incarnation = incarnation
        self.send(Resume(request, attempt, Sequence(0), incarnation))
        return channel

    def send(self, message: Message) -> None:
        """Send when there is a link; what matters is resumed on the next one."""
        if self._link is not None:
            self._link.send(message)

    def drop(self, channel: AttemptChannel) -> None:
        """Forget an attempt."""
        name = (channel.request, channel.attempt)
        channels = self._open.get(name, [])
        if channel in channels:
            channels.remove(channel)
        if not channels:
            self._open.pop(name, None)
        if self._retired and self.idle and self._link is not None:
            self._link.abort()

    def retire(self) -> None:
        """Give this agent no new work; what is open goes on while it answers.

        Control may have lost sight of an agent that this host still reaches.
        """
        self._retired = True
        if self.idle and self._link is not None:
            self._link.abort()

    async def stop(self, reason: str) -> None:
        """End all attempts here and close the link."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._lose_all(reason)
        if self._link is not None:
            await self._link.close()

    @property
    def idle(self) -> bool:
        """Whether no attempt is open."""
        return not self._open

    def _add(self, request: RequestId, attempt: int) -> AttemptChannel:
        channel = AttemptChannel(request, attempt, self)
        self._open.setdefault((request, attempt), []).append(channel)
        return channel

    async def _connect_for_ever(self) -> None:
        since = self._clock.monotonic()
        while not (self._retired and self.idle):
            try:
                await self._connect()
                since = self._clock.monotonic()
                # New connections mostly work where an old one was lost: dial at once
                continue
            except LinkLost as error:
                logger.debug("agent lost", extra={"reason": error.message})
            except Exception:
                logger.exception("a link failed inside")
            patience = REDIAL_INTERVAL if self._retired else LOST_AFTER
            if self._clock.monotonic() - since > patience:
                self._lose_all("the agent can't be reached")
            await asyncio.sleep(REDIAL_INTERVAL)
        self.finished = True

    async def _connect(self) -> None:
        endpoint = Endpoint(self.record.address, self.record.port)
        link = await self._dial(endpoint, self._hello(), self._clock, None, self._tls)
        self._link = link
        for channel in self._list_open():
            # The old link may have lost any of: the dispatch, frames, nothing
            link.send(
                Resume(
                    channel.request,
                    channel.attempt,
                    channel.next_sequence,
                    channel.incarnation,
                )
            )
        try:
            async for message in link.receive():
                self._take(message)
        finally:
            self._link = None
            self._observer.lose(self.record.target)
            await link.close()

    def _take(self, message: Message) -> None:
        match message:
            case LoadReport():
                if not self._retired:
                    self._observer.observe(message)
            case AnswerHead() | AnswerBody() | AnswerEnd() | NotRun():
                name = (message.request, message.attempt)
                for channel in self._open.get(name, []):
                    channel.take(message)

    def _lose_all(self, reason: str) -> None:
        for channel in self._list_open():
            channel.lose(reason)
        self._open.clear()

    def _list_open(self) -> list[AttemptChannel]:
        return [channel for channels in self._open.values() for channel in channels]


class AgentPool:
    """Links to the agents of all targets in the catalog."""

    def __init__(
        self,
        hello: Callable[[], Hello],
        clock: Clock,
        tls: ssl.SSLContext | None = None,
        dialer: Dialer = dial,
        *,
        observer: LinkObserver,
    ) -> None:
        self._observer = observer
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._dial = dialer
        self._links: dict[TargetId, AgentLink] = {}

    def follow_targets(self, records: list[TargetRecord]) -> None:
        """Open links to new targets, and give no new work to those that are gone.

        A target that is registered anew keeps its open attempts: where the agent is
        the same process it knows them, and a new one says that it doesn't.
        """
        wanted = {record.target: record for record in records}
        for target, link in list(self._links.items()):
            if target in wanted:
                link.take_record(wanted[target])
            else:
                self._observer.remove(target)
                link.retire()
            if link.finished:
                del self._links[target]
        for target, record in wanted.items():
            self._observer.add(record)
            if target not in self._links:
                self._links[target] = AgentLink(
                    record,
                    self._hello,
                    self._clock,
                    self._tls,
                    self._dial,
                    self._observer,
                )

    def find(self, target: TargetId) -> AgentLink | None:
        """Return the link to a target's agent, or none."""
        return self._links.get(target)

    def list_links(self) -> list[AgentLink]:
        """Return all links."""
        return list(self._links.values())

    async def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop("the entry host stops")
