"""The entry host's links to agents and the attempts that are open on them.

An attempt is bound to an agent, not to a link. When a link is lost a new one is
dialled immediately, and each open attempt is resumed on it by sequence number.
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
from ibishead.routing.messages import EngineEnded
from ibishead.session import Frame, FrameSequence

__all__ = ["AgentLink", "AgentPool", "AttemptChannel", "AttemptEvent", "AttemptLost"]

logger = logging.getLogger(__name__)

#: Seconds between connection attempts to an unreachable agent.
REDIAL_INTERVAL_SECONDS = 0.25

#: Seconds without a link after which open attempts count as lost. By then control has
#: declared the agent gone, or a network path has been broken for a long time.
UNREACHABLE_TIMEOUT_SECONDS = 6.0

#: Frames after which an acknowledgement is sent. The agent buffers frames until they
#: are acknowledged.
FRAMES_PER_ACKNOWLEDGE = 16


@dataclass(frozen=True)
class AttemptLost:
    """The agent has become unreachable, so the attempt's outcome is unknown."""

    reason: str


AttemptEvent: TypeAlias = Frame | NotRun | AttemptLost


class LinkObserver(Protocol):
    """Receives changes of targets, their load and their reachability."""

    def add(self, record: TargetRecord) -> None:
        """Add a target that control has announced; it may be known already."""

    def remove(self, target: TargetId) -> None:
        """Remove a target that control no longer lists."""

    def observe(self, report: LoadReport) -> None:
        """Update a target's state from its agent's load report."""

    def mark_unreachable(self, target: TargetId) -> None:
        """Mark a target unreachable because the link to its agent is down."""


CrashHandler: TypeAlias = Callable[[EngineEnded], None]


class AttemptChannel:
    """Receives the events of one open attempt on behalf of its request."""

    def __init__(self, request: RequestId, attempt: int, agent: "AgentLink") -> None:
        self.request = request
        self.attempt = attempt
        self.incarnation = agent.record.incarnation
        self._agent = agent
        self._sequence = FrameSequence()
        self._events: asyncio.Queue[AttemptEvent] = asyncio.Queue()
        self._unacknowledged = 0

    @property
    def next_sequence(self) -> Sequence:
        """Sequence number of the first frame that has not been received."""
        return self._sequence.next_sequence

    def receive(self, message: AnswerHead | AnswerBody | AnswerEnd | NotRun) -> None:
        """Queue the frames that can be delivered now, in order and without repeats."""
        if isinstance(message, NotRun):
            self._events.put_nowait(message)
            return
        for frame in self._sequence.accept(message):
            self._events.put_nowait(frame)

    def fail(self, reason: str) -> None:
        """End the attempt with `AttemptLost`."""
        self._events.put_nowait(AttemptLost(reason))

    async def next_event(self) -> AttemptEvent:
        """Return the next frame, or the event that ends the attempt."""
        return await self._events.get()

    def acknowledge(self, frame: Frame) -> None:
        """Count a frame as relayed, and acknowledge to the agent when one is due."""
        self._unacknowledged += 1
        is_last = isinstance(frame, AnswerEnd)
        if is_last or self._unacknowledged >= FRAMES_PER_ACKNOWLEDGE:
            self._unacknowledged = 0
            next_sequence = Sequence(frame.sequence + 1)
            self._agent.send(Acknowledge(self.request, self.attempt, next_sequence))

    def cancel(self) -> None:
        """Ask the agent to cancel the attempt."""
        self._agent.send(Cancel(self.request, self.attempt))

    def close(self) -> None:
        """Stop following the attempt."""
        self._agent.remove_channel(self)


class AgentLink:
    """The connection to one agent, and the attempts that are open on it.

    :ivar finished: the target was retired and its last attempt has ended.
    """

    def __init__(
        self,
        record: TargetRecord,
        hello: Callable[[], Hello],
        clock: Clock,
        tls: ssl.SSLContext | None,
        dialer: Dialer,
        observer: LinkObserver,
        on_crash: CrashHandler,
    ) -> None:
        self._observer = observer
        self._on_crash = on_crash
        self.record = record
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._dial = dialer
        self._link: Link | None = None
        # Two requests at this host may follow one attempt under one idempotency key
        self._channels: dict[tuple[RequestId, int], list[AttemptChannel]] = {}
        self.finished = False
        self._retired = False
        self._task = asyncio.create_task(self._keep_connected())

    def update_record(self, record: TargetRecord) -> None:
        """Apply the target's current record; a retired target becomes active again."""
        address_changed = (record.address, record.port) != (
            self.record.address,
            self.record.port,
        )
        self.record = record
        self._retired = False
        if address_changed and self._link is not None:
            self._link.abort()

    def dispatch(self, dispatch: Dispatch) -> AttemptChannel:
        """Send an attempt to the agent.

        :raises LinkLost: there is no link; nothing was sent.
        """
        if self._link is None or self._link.closed:
            raise LinkLost(
                f"no link to the agent of {self.record.target}",
                "no action needed: another target is tried",
            )
        channel = self._open_channel(dispatch.request, dispatch.attempt)
        self._link.send(dispatch)
        return channel

    def follow(
        self, request: RequestId, attempt: int, incarnation: Incarnation
    ) -> AttemptChannel:
        """Request the frames of an attempt that another entry host dispatched."""
        channel = self._open_channel(request, attempt)
        channel.incarnation = incarnation
        self.send(Resume(request, attempt, Sequence(0), incarnation))
        return channel

    def send(self, message: Message) -> None:
        """Send a message if there is a link, and drop it otherwise.

        Open attempts are resumed on the next link.
        """
        if self._link is not None:
            self._link.send(message)

    def remove_channel(self, channel: AttemptChannel) -> None:
        """Stop delivering events to a channel."""
        key = (channel.request, channel.attempt)
        channels = self._channels.get(key, [])
        if channel in channels:
            channels.remove(channel)
        if not channels:
            self._channels.pop(key, None)
        if self._retired and self.idle and self._link is not None:
            self._link.abort()

    def retire(self) -> None:
        """Send no new attempts; open ones continue while the agent responds.

        An agent that control has declared gone may still be reachable from this host.
        """
        self._retired = True
        if self.idle and self._link is not None:
            self._link.abort()

    async def stop(self, reason: str) -> None:
        """End all open attempts as lost and close the link."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._fail_all(reason)
        if self._link is not None:
            await self._link.close()

    @property
    def idle(self) -> bool:
        """Whether no attempt is open."""
        return not self._channels

    def _open_channel(self, request: RequestId, attempt: int) -> AttemptChannel:
        channel = AttemptChannel(request, attempt, self)
        self._channels.setdefault((request, attempt), []).append(channel)
        return channel

    async def _keep_connected(self) -> None:
        last_connected = self._clock.monotonic()
        while not (self._retired and self.idle):
            try:
                await self._connect()
                last_connected = self._clock.monotonic()
                # A lost link can mostly be replaced at once, so redial without delay
                continue
            except LinkLost as error:
                logger.debug("link to agent lost", extra={"reason": error.message})
            except Exception:
                logger.exception("unexpected error on a link to an agent")
            timeout = (
                REDIAL_INTERVAL_SECONDS
                if self._retired
                else UNREACHABLE_TIMEOUT_SECONDS
            )
            if self._clock.monotonic() - last_connected > timeout:
                self._fail_all("the agent is unreachable")
            await asyncio.sleep(REDIAL_INTERVAL_SECONDS)
        self.finished = True

    async def _connect(self) -> None:
        endpoint = Endpoint(self.record.address, self.record.port)
        link = await self._dial(endpoint, self._hello(), self._clock, None, self._tls)
        self._link = link
        for channel in self._list_open():
            # The old link may have lost the dispatch, frames of the answer, or nothing
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
                self._handle_message(message)
        finally:
            self._link = None
            self._observer.mark_unreachable(self.record.target)
            await link.close()

    def _handle_message(self, message: Message) -> None:
        match message:
            case LoadReport():
                if not self._retired:
                    self._observer.observe(message)
            case EngineEnded():
                self._on_crash(message)
            case AnswerHead() | AnswerBody() | AnswerEnd() | NotRun():
                key = (message.request, message.attempt)
                for channel in self._channels.get(key, []):
                    channel.receive(message)

    def _fail_all(self, reason: str) -> None:
        for channel in self._list_open():
            channel.fail(reason)
        self._channels.clear()

    def _list_open(self) -> list[AttemptChannel]:
        return [channel for channels in self._channels.values() for channel in channels]


class AgentPool:
    """The links to the agents of all targets in the catalog.

    :param on_crash: called with each report of an engine's crash.
    """

    def __init__(
        self,
        hello: Callable[[], Hello],
        clock: Clock,
        tls: ssl.SSLContext | None = None,
        dialer: Dialer = dial,
        *,
        observer: LinkObserver,
        on_crash: CrashHandler = lambda _: None,
    ) -> None:
        self._observer = observer
        self._on_crash = on_crash
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._dial = dialer
        self._links: dict[TargetId, AgentLink] = {}

    def follow_targets(self, records: list[TargetRecord]) -> None:
        """Open links to new targets and retire the targets that are gone.

        A target that registers again keeps its open attempts: an agent that is still
        the same process knows them, and a restarted one replies that it does not.
        """
        announced = {record.target: record for record in records}
        for target, link in list(self._links.items()):
            if target in announced:
                link.update_record(announced[target])
            else:
                self._observer.remove(target)
                link.retire()
            if link.finished:
                del self._links[target]
        for target, record in announced.items():
            self._observer.add(record)
            if target not in self._links:
                self._links[target] = AgentLink(
                    record,
                    self._hello,
                    self._clock,
                    self._tls,
                    self._dial,
                    self._observer,
                    self._on_crash,
                )

    def find(self, target: TargetId) -> AgentLink | None:
        """Return the link to a target's agent, or ``None``."""
        return self._links.get(target)

    def list_links(self) -> list[AgentLink]:
        """Return all links."""
        return list(self._links.values())

    async def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop("the entry host is stopping")
