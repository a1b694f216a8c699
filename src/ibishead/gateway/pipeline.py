"""The way of one request: read, resolve, choose, send, relay.

A request that may run only once is sent again only after proof that it didn't run. What
is known when it ends decides what the caller is told.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.decisions.holding import expect_routes, find_hold
from ibishead.decisions.leaving import ELSEWHERE_WAIT, AnswerPace, fits_grace
from ibishead.decisions.retry import BudgetShare, RetryBudget
from ibishead.errors import (
    ErrorCode,
    IbisheadError,
    NotFound,
    OutcomeUnknown,
    Refused,
    Unavailable,
)
from ibishead.gateway.accounts import (
    ANSWERED,
    CALLER_LEFT,
    RequestAccounts,
    RequestState,
)
from ibishead.gateway.book import TargetBook
from ibishead.gateway.calls import Call, CallerDialect, TargetDialect
from ibishead.gateway.choosing import RETRY_WAIT, TargetChooser
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.sending import (
    Answered,
    Broken,
    CallerLeftError,
    NotRun,
    Outcome,
    Progress,
    Sender,
)
from ibishead.gateway.stewards import StewardLinks
from ibishead.ids import FailureDomain, ServiceName
from ibishead.metrics import Metrics
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, RateTold
from ibishead.routing.routes import find_route, pick_service
from ibishead.routing.targets import Registration
from ibishead.web import Exchange

__all__ = ["Pipeline"]

#: Sends of one request that targets may refuse; a further one would meet the same load.
MAX_REFUSALS = 3

#: Events of an answer that tell its pace, at least. In a shorter one a single late
#: event decides.
LEAST_EVENTS = 8


class Pipeline:
    """Serves requests with what the feed, the book and the stewards know."""

    def __init__(
        self,
        domain: FailureDomain,
        feed: RegistryFeed,
        book: TargetBook,
        pool: ConnectionPool,
        stewards: StewardLinks,
        callers: CallerDialect,
        targets: TargetDialect,
        clock: Clock,
        share: BudgetShare,
        metrics: Metrics,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._feed = feed
        self._chooser = TargetChooser(domain, feed, book, stewards, clock, draw)
        self._stewards = stewards
        self._callers = callers
        self._book = book
        self._sender = Sender(
            book, pool, targets, clock, self._note_begin, self._note_limit
        )
        self._clock = clock
        self._share = share
        self._accounts = RequestAccounts(callers, feed, metrics, clock)
        self._draw = draw
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._pace = AnswerPace()
        self._began = clock.monotonic()
        self._ends_at: float | None = None

    def leave(self, ends_at: float) -> None:
        """Take only what will have been answered by then, in monotonic seconds."""
        self._ends_at = ends_at

    def take_limit(self, told: RateTold) -> None:
        """Take in the limit that a steward keeps for its engine, or none.

        Failure: a limit is over, and the answer that shows it goes to a gateway that
        hasn't heard of it. Nobody tells the steward, which goes on holding back.
        """
        target = self._feed.view.get(told.target)
        if target is not None:
            self._set_limit(target, told.rate)

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        started = self._clock.monotonic()
        request: RequestState | None = None
        try:
            call = self._callers.read_call(exchange.request)
            await self._await_routes(call)
            request = self._resolve(call, exchange, started)
            await self._run(request, exchange)
            self._accounts.note_end(request, ANSWERED)
            self._note_pace(request)
        except CallerLeftError:
            if request is not None:
                self._accounts.note_end(request, CALLER_LEFT)
        except IbisheadError as error:
            if request is None:
                self._accounts.note_refusal(exchange.request, error)
            else:
                self._accounts.note_end(request, error.code.value, error)
            if exchange.started:
                exchange.abort()
                return
            status, headers, body = self._callers.show_error(error, exchange.request)
            await exchange.respond(status, headers, body)

    def _note_pace(self, request: RequestState) -> None:
        spec, progress = self._chooser.find_spec(request), request.progress
        if spec is not None and progress.events >= LEAST_EVENTS:
            took = self._clock.monotonic() - progress.first
            self._pace.note(took, progress.events * spec.event_tokens)

    async def _await_routes(self, call: Call) -> None:
        if self._feed.routes is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(find_hold(call.patience)):
                    await self._feed.routes_known.wait()

    def _expect_routes(self) -> timedelta:
        wait = expect_routes(self._clock.monotonic() - self._began)
        return timedelta(seconds=wait * (0.5 + self._draw()))

    def _resolve(self, call: Call, exchange: Exchange, started: float) -> RequestState:
        expected = self._pace.expect(call.answer_tokens)
        if self._ends_at is not None and not fits_grace(
            expected, self._ends_at - started
        ):
            raise Unavailable(
                "not run: this host is about to stop",
                "send it again over a new connection",
                code=ErrorCode.DRAINING,
                retry_after=ELSEWHERE_WAIT,
            )
        routes = self._feed.routes
        if routes is None:
            raise Unavailable(
                "no routes are known here yet",
                "come back in a moment",
                code=ErrorCode.NO_QUORUM,
                retry_after=self._expect_routes(),
            )
        route = find_route(routes, call.hostname, call.path)
        if route is None:
            raise NotFound(
                f"no route leads from {call.hostname} {call.path}",
                "check the host name and the path against the routes in force",
            )
        patience = route.timeout if call.patience is None else call.patience
        deadline = started + min(patience, route.timeout)
        service = pick_service(route, self._draw())
        self._budget(service).record_attempt()
        return RequestState(
            call,
            route,
            service,
            deadline,
            started,
            started,
            Progress(exchange, call.resume_after),
        )

    async def _run(self, request: RequestState, exchange: Exchange) -> None:
        work = asyncio.create_task(self._answer(request))
        gone = asyncio.create_task(exchange.disconnected.wait())
        wait = max(0.0, request.deadline - self._clock.monotonic())
        try:
            await asyncio.wait(
                (work, gone), timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                work.result()
                return
            if gone.done():
                raise CallerLeftError
            raise _describe_timeout(request)
        finally:
            gone.cancel()
            if not work.done():
                # what still runs at a target ends with its connection
                work.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _answer(self, request: RequestState) -> None:
        key = request.call.engine_key
        while True:
            target = await self._chooser.choose(request)
            try:
                outcome = await self._sender.send(
                    request.call,
                    request.route,
                    target,
                    request.progress,
                    request.deadline,
                )
            finally:
                if key is not None:
                    if not request.progress.read_time:
                        self._note_begin(request.call, target, 0.0)
                    progress = request.progress
                    self._stewards.end_use(
                        target.address, key, progress.pause, progress.failed
                    )
            match outcome:
                case Answered():
                    return
                case NotRun() | Broken():
                    self._weigh(request, target, outcome)

    def _note_begin(self, call: Call, target: Registration, seconds: float) -> None:
        if call.engine_key is not None:
            self._stewards.note_read(target.address, call.prompt_tokens, seconds)

    def _note_limit(self, call: Call, target: Registration, rate: float | None) -> None:
        if rate is None and self._book.notes(target).rate_limit is None:
            return
        if call.engine_key is not None:
            self._stewards.tell_limit(target, rate)
        self._set_limit(target, rate)

    def _set_limit(self, target: Registration, rate: float | None) -> None:
        now = self._clock.monotonic()
        self._book.note_limit(target, rate, self._count_gateways(), now, self._draw())

    def _count_gateways(self) -> int:
        return max(1, len(self._feed.list_members(MemberKind.GATEWAY)))

    def _weigh(
        self, request: RequestState, target: Registration, outcome: Outcome
    ) -> None:
        """Return where another send may follow, and raise what the caller is told."""
        request.avoid.add(target.target)
        progress, route = request.progress, request.route
        match outcome:
            case NotRun(reason, arrived):
                request.last = reason
                request.refusals += 1
                spent = arrived and not self._budget(request.service).take()
                if request.refusals < MAX_REFUSALS and not spent:
                    return
                raise self._chooser.refuse(request, reason)
            case Broken(reason):
                request.last = reason
                again = route.repeatable and progress.sends < route.attempts
                if again and self._budget(request.service).take():
                    request.since = self._clock.monotonic()
                    return
                raise OutcomeUnknown(
                    f"the target's answer was lost: {reason}",
                    "check before you send it again",
                    code=ErrorCode.TARGET_FAILED,
                )

    def _budget(self, service: ServiceName) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            burst = max(1.0, self._share.slack / self._count_gateways())
            found = RetryBudget(self._share.ratio, burst)
            self._budgets[service] = found
        return found


def _describe_timeout(request: RequestState) -> IbisheadError:
    if request.progress.sends == 0 and not request.progress.sending:
        return Refused(
            f"not run in time: {request.last or 'no target was free'}",
            "come back later, or wait longer",
            retry_after=timedelta(seconds=RETRY_WAIT),
        )
    error = OutcomeUnknown(
        "the target didn't answer in time",
        "check before you send it again",
        code=ErrorCode.DEADLINE_EXCEEDED,
    )
    error.status = 504
    return error
