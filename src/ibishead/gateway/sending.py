"""Sends a call to one target and relays the target's response."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ibishead.clock import Clock
from ibishead.decisions.heldbytes import AnswerBudget, AnswerHold
from ibishead.errors import LinkLost
from ibishead.gateway.calls import Call, SendParameters, TargetDialect, TargetHead
from ibishead.gateway.connection import MAX_UNTAKEN_BYTES, TargetConnection
from ibishead.gateway.events import EventSplitter
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.responses import receive_head, remember_request
from ibishead.gateway.tracker import TargetStats, TargetTracker
from ibishead.headers import BodyFraming, Headers
from ibishead.ids import CustomerId, SoftwareVersion, TargetId
from ibishead.routing.routes import Repeatability, Route
from ibishead.routing.targets import Registration, StreamOrigin
from ibishead.web import Exchange

__all__ = [
    "Answered",
    "CallerLeftError",
    "Failed",
    "Identity",
    "NotRun",
    "Outcome",
    "Progress",
    "SendEnd",
    "SendRecord",
    "Sender",
]

#: Minimum seconds without data after which a request that may be resent to another
#: target is abandoned at this one. Longer time-outs are multiples of the route's
#: objectives for the first event and for the gap between events.
MIN_SILENCE_SECONDS = 1.5
OBJECTIVE_FACTOR = 2.0
GAP_FACTOR = 5.0

#: Largest whole response that is relayed in a single write. The parts of a larger one
#: are released one by one, as a single write would copy all of them.
MAX_SINGLE_WRITE_BYTES = 64 * 1024

#: Seconds and bytes for which the body of a refusal is read, so that its connection can
#: be used again. The request is sent elsewhere then.
REFUSAL_BODY_SECONDS = 0.1
MAX_REFUSAL_BYTES = 16 * 1024

#: Lowest status code that reports a failure of the target itself.
MIN_FAILURE_STATUS = 500

#: Status codes by which a caller learns that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Identity:
    """On whose behalf a call is sent.

    :param rank: priority; 0 is the most urgent.
    :param has_customers: whether the deployment has customers.
    :param customer: ``None`` for an anonymous call.
    """

    rank: int
    has_customers: bool = False
    customer: CustomerId | None = None


class CallerLeftError(Exception):
    """The caller has closed its connection and can't receive a response."""


@dataclass(frozen=True)
class Answered:
    """The caller has received a complete response."""


@dataclass(frozen=True)
class NotRun:
    """It is certain that the target did not and will not run the request.

    :param received: the target has received the request.
    :param lost: no connection to the target could be opened.
    """

    reason: str
    received: bool
    lost: bool = False


@dataclass(frozen=True)
class Failed:
    """The target may have run the request, but returned no complete response.

    :param final: the request can't be resent, whatever its route allows.
    :param lost: the connection to the target was lost.
    """

    reason: str
    final: bool = False
    lost: bool = False


Outcome: TypeAlias = Answered | NotRun | Failed


class SendEnd(Enum):
    """How a send ended."""

    PENDING = "pending"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"


@dataclass
class SendRecord:
    """A send that was begun over a connection.

    :ivar status: status of the target's response, ``None`` before it.
    """

    target: TargetId
    status: int | None = None
    end: SendEnd = SendEnd.PENDING

    def describe(self) -> str:
        """Return the target, the status and the end of the send."""
        return f"{self.target} {self.status or '-'} {self.end.value}"


@dataclass
class Progress:
    """Progress of a request over all its sends.

    :ivar last_event: id of the last event relayed to the caller.
    :ivar uncertain_sends: sends after which the request may have run.
    :ivar sending: a send is in progress and its outcome is not known yet.
    :ivar records: all sends that were begun over a connection, for the log.
    :ivar response_started: monotonic seconds at which the first response began, 0
        before.
    :ivar max_gap: longest gap in seconds between events of the current target's
        response.
    :ivar event_count: complete events of the current target's response.
    :ivar last_event_at: monotonic seconds at which the newest event was received.
    :ivar slowdown: slowdown of the current target's host that its response reports, 0
        if it reports none.
    :ivar response_delay: seconds until the current target's response began, 0 before.
    :ivar current_response_at: monotonic seconds at which that response began.
    :ivar failed: whether the current target failed; ``None`` while its response is
        incomplete.
    :ivar succeeded: the current target's response is complete, and a success.
    :ivar software: software version of the current target.
    :ivar selected_at: monotonic seconds at which the current target was selected.
    :ivar use_number: identifies the current use of an engine at its steward.
    :ivar origin: what began the stream, ``None`` before its first event.
    :ivar framing: how the end of the last response is marked, ``None`` before the
        first one.
    :ivar partial_bytes: bytes of an incomplete event at the end of the last stream.
    """

    exchange: Exchange
    last_event: str | None = None
    uncertain_sends: int = 0
    sending: bool = False
    records: list[SendRecord] = field(default_factory=list)
    response_started: float = 0.0
    max_gap: float = 0.0
    event_count: int = 0
    last_event_at: float = 0.0
    response_delay: float = 0.0
    current_response_at: float = 0.0
    failed: bool | None = None
    succeeded: bool = False
    target: TargetId = TargetId("")
    software: SoftwareVersion = SoftwareVersion("")
    use_number: int = 0
    selected_at: float = 0.0
    origin: StreamOrigin | None = None
    framing: BodyFraming | None = None
    partial_bytes: int = 0
    slowdown: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request, or may still run it."""
        return self.sending or self.uncertain_sends > 0

    def begin_send(self, target: Registration) -> None:
        """Reset what describes the current target, before a send or its refusal."""
        self.target, self.software = target.target, target.software
        self.failed, self.succeeded = None, False
        self.max_gap = self.response_delay = self.slowdown = 0.0
        self.event_count = 0


class Sender:
    """Sends calls over pooled connections.

    :param on_response: called when a response begins; the progress has its delay.
    :param on_head: called with the headers of each response of the target itself.
    :param on_stream: called before the first event of a stream is relayed.
    :param count_event: counts an event by its name.
    :param answers: budget of the bytes held for answers.
    """

    def __init__(
        self,
        tracker: TargetTracker,
        pool: ConnectionPool,
        dialect: TargetDialect,
        clock: Clock,
        on_response: Callable[[Call, Registration, Progress], None],
        on_head: Callable[[Call, Registration, TargetHead, Progress], None],
        on_stream: Callable[[Call, Route, StreamOrigin], None],
        count_event: Callable[[str], None],
        answers: AnswerBudget | None = None,
    ) -> None:
        self._answers = answers or AnswerBudget(None)
        self._on_stream = on_stream
        self._count_event = count_event
        self._on_response = on_response
        self._on_head = on_head
        self._tracker = tracker
        self._pool = pool
        self._dialect = dialect
        self._clock = clock

    async def send(
        self,
        call: Call,
        route: Route,
        target: Registration,
        progress: Progress,
        deadline: float,
        identity: Identity,
    ) -> Outcome:
        """Send a call to a target and relay its response if it is a valid one.

        :param deadline: monotonic seconds at which the request times out.
        :param identity: on whose behalf the call is sent.
        :raises CallerLeftError: the caller has closed its connection.
        """
        stats = self._tracker.stats(target)
        try:
            connection = await self._pool.acquire(target.address, call.request)
        except LinkLost as error:
            self._tracker.mark_unreachable(stats, self._clock.monotonic())
            return NotRun(error.message, received=False, lost=True)
        if self._tracker.find_rest(target, self._clock.monotonic()):
            # The rest began while the request waited for its turn or connection.
            self._pool.release(target.address, connection)
            return NotRun("the target has asked for rest", received=False)
        progress.sending = True
        record = SendRecord(target.target)
        progress.records.append(record)
        self._tracker.begin_request(stats, call.prompt_tokens)
        started = self._clock.monotonic()
        caller = identity.customer or progress.exchange.request.peer
        connection.hold = hold = self._answers.open(caller, MAX_UNTAKEN_BYTES)
        kept = self._answers.open(caller)
        state = _SendState(
            call, route, target, connection, stats, started, identity, kept
        )
        try:
            outcome = await self._exchange(state, progress, deadline)
        except LinkLost as error:
            outcome = Failed(error.message, lost=True)
        finally:
            if not state.responding:
                self._tracker.begin_response(stats, call.prompt_tokens)
            self._tracker.end_request(stats)
            if not state.complete:
                connection.close()
            hold.close()
            kept.close()
        now = self._clock.monotonic()
        match outcome:
            case Answered():
                record.end = SendEnd.ANSWERED
                progress.failed, progress.succeeded = state.failed, state.succeeded
                self._tracker.record_duration(
                    target.service, stats, now - started, route.name
                )
            case NotRun():
                record.end = SendEnd.NOT_RUN
            case Failed():
                record.end = SendEnd.FAILED
                progress.failed = True
                progress.uncertain_sends += 1
        if progress.failed is not None:
            self._tracker.record_outcome(stats, progress.failed, now)
        progress.sending = False
        return outcome

    async def _exchange(
        self,
        state: "_SendState",
        progress: Progress,
        deadline: float,
    ) -> Outcome:
        call, route = state.call, state.route
        sending = SendParameters(
            state.target.target,
            deadline - self._clock.monotonic(),
            state.identity.rank,
            progress.last_event,
            state.identity.has_customers,
            state.identity.customer,
        )
        headers = self._dialect.make_headers(call, sending)
        try:
            async with asyncio.timeout(self._find_head_timeout(route, progress)):
                head = await receive_head(
                    state.connection,
                    self._dialect,
                    call,
                    headers,
                    state.target.target,
                    self._count_event,
                )
        except TimeoutError:
            return Failed("the target sent no response headers in time")
        status = head.status
        progress.records[-1].status = status
        progress.framing = head.framing
        if head.own:
            self._on_head(call, state.target, head, progress)
        if not head.echoed:
            return Failed(f"a response with status {status} that isn't to this request")
        state.connection.idle_time = head.idle_time
        if head.load is not None:
            self._tracker.record_load(state.stats, head.load, self._clock.monotonic())
            progress.slowdown = head.load.slowdown or 0.0
        if head.not_run:
            return await self._handle_refusal(state, head)
        if not head.genuine or head.encoded:
            return Failed(
                f"a response with status {status} that is not the target's own"
            )
        if status in NOT_RUN_STATUSES and not route.repeatable:
            return Failed(f"status {status}, without a proof that nothing has run")
        state.failed, state.succeeded = status >= MIN_FAILURE_STATUS, head.success
        failed = not head.success
        if failed and (progress.exchange.started or self._can_resend(route, progress)):
            return Failed(f"the target failed with status {status}")
        if route.kind is Repeatability.STREAM and head.success:
            return await self._relay_stream(state, head, progress)
        return await self._relay_whole(state, head, progress)

    def _can_resend(self, route: Route, progress: Progress) -> bool:
        return route.repeatable and progress.uncertain_sends + 1 < route.attempts

    def _find_head_timeout(self, route: Route, progress: Progress) -> float | None:
        if not self._can_resend(route, progress):
            return None
        return max(MIN_SILENCE_SECONDS, OBJECTIVE_FACTOR * route.objective)

    async def _handle_refusal(self, state: "_SendState", head: TargetHead) -> Outcome:
        if head.misdirected and state.call.weights is not None:
            # Valid until the engine's next report with changed holdings.
            state.stats.missing.add(state.call.weights)
        refusal = NotRun(f"refused with status {head.status}", received=True)
        size = 0
        try:
            async with asyncio.timeout(REFUSAL_BODY_SECONDS):
                while (part := await state.connection.read()) is not None:
                    size += len(part)
                    if size > MAX_REFUSAL_BYTES:
                        return refusal
        except (LinkLost, TimeoutError):
            return refusal
        self._release(state)
        return refusal

    async def _relay_whole(
        self, state: "_SendState", head: TargetHead, progress: Progress
    ) -> Outcome:
        parts: deque[bytes] = deque()
        while (part := await state.connection.read()) is not None:
            parts.append(part)
            if not state.kept.try_add(len(part)):
                return await self._relay_large(state, head, progress, parts)
        self._record_response_start(state, progress)
        self._release(state)
        exchange, headers = progress.exchange, _drop_content_length(head.headers)
        size = sum(map(len, parts))
        try:
            if size <= MAX_SINGLE_WRITE_BYTES:
                await exchange.respond(head.status, headers, b"".join(parts))
                return Answered()
            await exchange.start(head.status, (*headers, ("content-length", str(size))))
            await _send_parts(exchange, parts, state.kept)
            await exchange.finish()
        except LinkLost as error:
            raise CallerLeftError from error
        return Answered()

    async def _relay_large(
        self,
        state: "_SendState",
        head: TargetHead,
        progress: Progress,
        parts: deque[bytes],
    ) -> Outcome:
        """Relay a response that there is no room to keep until it is complete.

        Once a part was sent to the caller, the request can't be resent.

        :param parts: what was received so far.
        """
        self._record_response_start(state, progress)
        exchange = progress.exchange
        try:
            await exchange.start(head.status, head.headers)
            while True:
                await _send_parts(exchange, parts, state.kept)
                try:
                    part = await state.connection.read()
                except LinkLost as error:
                    return Failed(error.message, final=True, lost=True)
                if part is None:
                    break
                parts.append(part)
            await exchange.finish()
        except LinkLost as error:
            raise CallerLeftError from error
        self._release(state)
        return Answered()

    async def _relay_stream(
        self, state: "_SendState", head: TargetHead, progress: Progress
    ) -> Outcome:
        splitter = EventSplitter(progress.last_event)
        try:
            return await self._relay_events(state, head, progress, splitter)
        finally:
            progress.partial_bytes = splitter.partial_bytes

    async def _relay_events(
        self,
        state: "_SendState",
        head: TargetHead,
        progress: Progress,
        splitter: EventSplitter,
    ) -> Outcome:
        exchange = progress.exchange
        timeout = self._find_gap_timeout(state.route, progress)
        last_events_at = waiting_since = self._clock.monotonic()
        while True:
            left = timeout and waiting_since + timeout - self._clock.monotonic()
            try:
                async with asyncio.timeout(left):
                    data = await state.connection.read()
            except TimeoutError:
                return Failed("the target's stream sent no event in time")
            if data is None and progress.framing is BodyFraming.CONNECTION:
                _check_has_events(splitter)
            events = splitter.flush() if data is None else splitter.feed(data)
            if not state.kept.resize(splitter.buffered_bytes):
                return Failed("no memory is left for an event so large", final=True)
            now = state.stats.last_data_at = self._clock.monotonic()
            if events and state.responding:
                progress.max_gap = max(progress.max_gap, now - last_events_at)
            elif events:
                self._record_response_start(state, progress)
            if events:
                last_events_at = progress.last_event_at = now
            if events and progress.origin is None:
                progress.origin = StreamOrigin(
                    state.target.service, state.target.software
                )
                self._on_stream(state.call, state.route, progress.origin)
            try:
                if not exchange.started and (events or data is None):
                    await exchange.start(
                        head.status, _drop_content_length(head.headers)
                    )
                await exchange.send(events)
                if events:
                    waiting_since = self._clock.monotonic()
                progress.last_event, progress.event_count = (
                    splitter.last_id,
                    splitter.count,
                )
                if data is None:
                    await exchange.finish()
            except LinkLost as error:
                raise CallerLeftError from error
            if data is None:
                self._release(state)
                return Answered()

    def _find_gap_timeout(self, route: Route, progress: Progress) -> float | None:
        if not self._can_resend(route, progress):
            return None
        return max(MIN_SILENCE_SECONDS, GAP_FACTOR * route.gap_objective)

    def _record_response_start(self, state: "_SendState", progress: Progress) -> None:
        if not state.responding:
            state.responding = True
            self._tracker.begin_response(state.stats, state.call.prompt_tokens)
            now = progress.current_response_at = self._clock.monotonic()
            progress.response_delay = now - state.started
            self._on_response(state.call, state.target, progress)
        progress.response_started = progress.response_started or self._clock.monotonic()

    def _release(self, state: "_SendState") -> None:
        state.complete = True
        remember_request(state.connection, state.call)
        self._pool.release(state.target.address, state.connection)


@dataclass
class _SendState:
    """State of one send.

    :ivar started: monotonic seconds at which the send began.
    :ivar kept: counts bytes that were taken from the connection and not sent on.
    :ivar responding: the target's response has begun.
    :ivar failed: the status code reports a failure of the target.
    :ivar succeeded: the status code reports a success.
    :ivar complete: the response was read to its end.
    """

    call: Call
    route: Route
    target: Registration
    connection: TargetConnection
    stats: TargetStats
    started: float
    identity: Identity
    kept: AnswerHold
    responding: bool = False
    failed: bool = False
    succeeded: bool = False
    complete: bool = False


def _check_has_events(splitter: EventSplitter) -> None:
    """Check that a stream that ended with its connection holds an event.

    :raises LinkLost: it holds none, so its target may have failed before the first one.
    """
    if not splitter.count:
        raise LinkLost(
            "the stream's connection ended before an event",
            "check the log of the target",
        )


async def _send_parts(
    exchange: Exchange, parts: deque[bytes], kept: AnswerHold
) -> None:
    while parts:
        part = parts.popleft()
        await exchange.send(part)
        kept.remove(min(kept.held, len(part)))


def _drop_content_length(headers: Headers) -> Headers:
    return tuple((k, v) for k, v in headers if k != "content-length")
