"""Sends a call to one target and relays what comes back."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.gateway.book import TargetBook, TargetNotes
from ibishead.gateway.calls import Call, Sending, TargetDialect, TargetHead
from ibishead.gateway.connection import TargetConnection
from ibishead.gateway.events import EventCutter
from ibishead.gateway.pool import ConnectionPool
from ibishead.headers import Headers
from ibishead.ids import TargetId
from ibishead.routing.routes import Repeatability, Route
from ibishead.routing.targets import Registration
from ibishead.web import Exchange

__all__ = [
    "Answered",
    "Broken",
    "CallerLeftError",
    "NotRun",
    "Outcome",
    "Progress",
    "Sender",
]

#: Seconds without a word after which a request that may go on elsewhere is taken from
#: its target, at least; otherwise a multiple of what its route aims at.
LEAST_PATIENCE = 1.5
OBJECTIVE_FACTOR = 2.0
GAP_FACTOR = 5.0


#: The lowest status by which a target says that it has failed itself.
FIRST_FAILURE = 500


class CallerLeftError(Exception):
    """The caller has closed its side; nobody waits for an answer."""


@dataclass(frozen=True)
class Answered:
    """The caller has a whole answer."""


@dataclass(frozen=True)
class NotRun:
    """It is proved that the target didn't and won't run the request.

    :param arrived: the target has seen it.
    """

    reason: str
    arrived: bool


@dataclass(frozen=True)
class Broken:
    """The target may have run the request, and no whole answer has come."""

    reason: str


Outcome: TypeAlias = Answered | NotRun | Broken


@dataclass
class Progress:
    """How far a request has come.

    :ivar sends: sends after which the request may have run.
    :ivar sending: a send is under way whose end isn't known yet.
    :ivar first: when the answer began, monotonic seconds.
    :ivar pause: seconds of the longest pause in the present target's answer.
    :ivar failed: the present target has failed; none while its answer isn't whole.
    :ivar events: whole events of the present target's answer.
    :ivar read_time: seconds until the present target's answer began, 0 before.
    """

    exchange: Exchange
    last_event: str | None = None
    sends: int = 0
    sending: bool = False
    first: float = 0.0
    pause: float = 0.0
    events: int = 0
    read_time: float = 0.0
    failed: bool | None = None
    target: TargetId = TargetId("")


class Sender:
    """Sends calls over pooled connections.

    :param on_begin: called when an answer begins, with the seconds that it took.
    :param on_limit: called with the limit that an answer names, or none.
    """

    def __init__(
        self,
        book: TargetBook,
        pool: ConnectionPool,
        dialect: TargetDialect,
        clock: Clock,
        on_begin: Callable[[Call, Registration, float], None],
        on_limit: Callable[[Call, Registration, float | None], None],
    ) -> None:
        self._on_begin = on_begin
        self._on_limit = on_limit
        self._book = book
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
    ) -> Outcome:
        """Send a call to a target, and relay its answer if it is one.

        :raises CallerLeftError: nobody waits any more.
        """
        notes = self._book.notes(target)
        progress.target, progress.failed = target.target, None
        progress.pause = progress.read_time = 0.0
        try:
            connection = await self._pool.take(target.address)
        except LinkLost as error:
            self._book.note_unreached(notes, self._clock.monotonic())
            return NotRun(error.message, arrived=False)
        progress.sending = True
        self._book.begin(notes, call.prompt_tokens)
        started = self._clock.monotonic()
        exchange = _SendState(call, route, target, connection, notes, started)
        try:
            outcome = await self._exchange(exchange, progress, deadline)
        except LinkLost as error:
            outcome = Broken(error.message)
        finally:
            if not exchange.answering:
                self._book.begin_answer(notes, call.prompt_tokens)
            self._book.end(notes)
            if not exchange.whole:
                connection.close()
        now = self._clock.monotonic()
        match outcome:
            case Answered():
                progress.failed = exchange.failed
                self._book.note_time(target.service, notes, now - started)
            case Broken():
                progress.failed = True
                progress.sends += 1
        if progress.failed is not None:
            self._book.note_outcome(notes, progress.failed, now)
        progress.sending = False
        return outcome

    async def _exchange(
        self,
        state: "_SendState",
        progress: Progress,
        deadline: float,
    ) -> Outcome:
        call, route = state.call, state.route
        sending = Sending(
            state.target.target,
            deadline - self._clock.monotonic(),
            route.rank,
            progress.last_event,
        )
        headers = self._dialect.make_headers(call, sending)
        try:
            async with asyncio.timeout(self._head_patience(route, progress)):
                status, answer = await state.connection.ask(
                    call.method, call.target, headers, call.body
                )
        except TimeoutError:
            return Broken("the target was silent")
        head = self._dialect.read_head(call, status, answer)
        state.connection.idle_time = head.idle_time
        if head.load is not None:
            self._book.note_told(state.notes, head.load, self._clock.monotonic())
        if head.genuine or (head.not_run and not head.misdirected):
            self._on_limit(call, state.target, head.rate_limit)
        if head.not_run:
            return await self._take_refusal(state, head)
        if not head.genuine or head.encoded:
            return Broken(f"an answer with status {status} that isn't the target's own")
        state.failed = status >= FIRST_FAILURE
        failed = not head.success
        if failed and (progress.exchange.started or self._may_go_on(route, progress)):
            return Broken(f"the target failed with status {status}")
        if route.kind is Repeatability.STREAM and head.success:
            return await self._relay_stream(state, head, progress)
        return await self._relay_whole(state, head, progress)

    def _may_go_on(self, route: Route, progress: Progress) -> bool:
        return route.repeatable and progress.sends + 1 < route.attempts

    def _head_patience(self, route: Route, progress: Progress) -> float | None:
        if not self._may_go_on(route, progress):
            return None
        return max(LEAST_PATIENCE, OBJECTIVE_FACTOR * route.objective)

    async def _take_refusal(self, state: "_SendState", head: TargetHead) -> Outcome:
        if head.misdirected and state.call.weights is not None:
            # until the next report tells otherwise
            state.notes.lacking.add(state.call.weights)
        try:
            while await state.connection.read() is not None:
                pass
        except LinkLost:
            return NotRun(f"refused with status {head.status}", arrived=True)
        self._keep(state)
        return NotRun(f"refused with status {head.status}", arrived=True)

    async def _relay_whole(
        self, state: "_SendState", head: TargetHead, progress: Progress
    ) -> Outcome:
        pieces: list[bytes] = []
        while (piece := await state.connection.read()) is not None:
            pieces.append(piece)
        self._note_answer(state, progress)
        self._keep(state)
        try:
            await progress.exchange.respond(
                head.status, _drop_length(head.headers), b"".join(pieces)
            )
        except LinkLost as error:
            raise CallerLeftError from error
        return Answered()

    async def _relay_stream(
        self, state: "_SendState", head: TargetHead, progress: Progress
    ) -> Outcome:
        cutter = EventCutter(progress.last_event)
        exchange = progress.exchange
        patience = self._gap_patience(state.route, progress)
        last = self._clock.monotonic()
        while True:
            try:
                async with asyncio.timeout(patience):
                    data = await state.connection.read()
            except TimeoutError:
                return Broken("the target's stream was silent")
            whole = cutter.take_rest() if data is None else cutter.feed(data)
            now = state.notes.heard_at = self._clock.monotonic()
            if whole and state.answering:
                progress.pause = max(progress.pause, now - last)
            elif whole:
                self._note_answer(state, progress)
            last = now if whole else last
            try:
                if not exchange.started and (whole or data is None):
                    await exchange.start(head.status, _drop_length(head.headers))
                await exchange.send(whole)
                progress.last_event, progress.events = cutter.last, cutter.count
                if data is None:
                    await exchange.finish()
            except LinkLost as error:
                raise CallerLeftError from error
            if data is None:
                self._keep(state)
                return Answered()

    def _gap_patience(self, route: Route, progress: Progress) -> float | None:
        if not self._may_go_on(route, progress):
            return None
        return max(LEAST_PATIENCE, GAP_FACTOR * route.gap_objective)

    def _note_answer(self, state: "_SendState", progress: Progress) -> None:
        if not state.answering:
            state.answering = True
            self._book.begin_answer(state.notes, state.call.prompt_tokens)
            progress.read_time = self._clock.monotonic() - state.started
            self._on_begin(state.call, state.target, progress.read_time)
        progress.first = progress.first or self._clock.monotonic()

    def _keep(self, state: "_SendState") -> None:
        state.whole = True
        self._pool.give_back(state.target.address, state.connection)


@dataclass
class _SendState:
    call: Call
    route: Route
    target: Registration
    connection: TargetConnection
    notes: TargetNotes
    started: float
    answering: bool = False
    failed: bool = False
    whole: bool = False


def _drop_length(headers: Headers) -> Headers:
    return tuple((k, v) for k, v in headers if k != "content-length")
