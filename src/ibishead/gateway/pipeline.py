"""Processes a request: parses it, resolves its route, selects a target and relays.

A request that may run only once is resent only if it is certain that it did not run.
The error returned to the caller states whether the request may have run.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.decisions.answerlength import AnswerContext, AnswerLengths, LengthEstimate
from ibishead.decisions.heldbytes import AnswerBudget
from ibishead.decisions.holding import compute_hold, estimate_route_wait
from ibishead.decisions.keptparts import chain_parts
from ibishead.decisions.leaving import OTHER_HOST_RETRY_AFTER, AnswerPace, fits_grace
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.resting import OVERLOADED_STATUS, is_valid_rest
from ibishead.decisions.retry import BudgetShare, RetryBudget
from ibishead.decisions.shedding import ConnectionShedder
from ibishead.errors import (
    ErrorCode,
    IbisheadError,
    OutcomeUnknown,
    Refused,
    Unavailable,
)
from ibishead.gateway.blocking import PromptBlocks
from ibishead.gateway.calls import (
    Call,
    CallerDialect,
    TargetDialect,
    TargetHead,
)
from ibishead.gateway.choosing import MIN_RETRY_AFTER_SECONDS, TargetChooser
from ibishead.gateway.directory import RouteDirectory
from ibishead.gateway.ends import TargetEnds
from ibishead.gateway.inference import OriginInference
from ibishead.gateway.origins import StreamOrigins
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.quotas import QuotaClient
from ibishead.gateway.recorder import (
    ANSWERED,
    CALLER_LEFT,
    RequestRecorder,
    RequestState,
    find_rank,
)
from ibishead.gateway.restarts import RestartWatch
from ibishead.gateway.sending import (
    NOT_RUN_STATUSES,
    Answered,
    CallerLeftError,
    Failed,
    Identity,
    NotRun,
    Outcome,
    Progress,
    Sender,
)
from ibishead.gateway.stewards import StewardLinks
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import CustomerId, FailureDomain, ServiceName
from ibishead.metrics import Metrics
from ibishead.routing.customers import Customer
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, RateTold
from ibishead.routing.prompts import (
    PromptKeys,
    make_content_key,
    make_prompt_keys,
    measure_parts,
)
from ibishead.routing.routes import (
    Repeatability,
    Route,
    list_services,
    pick_service,
)
from ibishead.routing.targets import Registration, StreamOrigin
from ibishead.routing.work import RequestWork
from ibishead.web import Exchange

__all__ = ["Pipeline"]

#: Number of refused sends after which a request is refused. A further send would
#: encounter the same load.
MAX_REFUSALS = 3

#: Retry-after time in seconds of a resumed stream whose origin is unknown, varied
#: randomly by half. It stays unknown, unless no host that keeps it could be reached.
ORIGIN_RETRY_SECONDS = 1.0

#: Minimum number of events in a response that is used to measure the token rate. In a
#: shorter one, a single late event would dominate the result.
MIN_RATE_EVENTS = 8


class Pipeline:
    """Serves requests, using the registries' feed, the tracker and the stewards.

    :param blocks: refuses requests with prompt parts that crash engines.
    :param part_uses: records how requests with each part fare.
    :param ends: notices when a target without a steward ends.
    :param share: retry budget that all gateways share.
    :param draw: returns a random number in [0, 1), for ties and retry-after times.
    :param shedder: tells whether the gateway is too late to answer a request in time.
    :param answers: budget of the bytes held for answers.
    """

    def __init__(
        self,
        domain: FailureDomain,
        feed: RegistryFeed,
        tracker: TargetTracker,
        pool: ConnectionPool,
        stewards: StewardLinks,
        quotas: QuotaClient,
        origins: StreamOrigins,
        blocks: PromptBlocks,
        part_uses: PartUses,
        ends: TargetEnds,
        callers: CallerDialect,
        targets: TargetDialect,
        clock: Clock,
        share: BudgetShare,
        metrics: Metrics,
        draw: Callable[[], float] = random.random,
        shedder: ConnectionShedder | None = None,
        answers: AnswerBudget | None = None,
    ) -> None:
        self._shedder = shedder or ConnectionShedder()
        self._feed = feed
        self._restarts = RestartWatch(feed.view, tracker, pool, clock)
        self._inference = OriginInference(feed, self._restarts, clock, draw)
        self._chooser = TargetChooser(
            domain, feed, tracker, stewards, self._restarts, clock, draw
        )
        self._stewards = stewards
        self._quotas = quotas
        self._directory = RouteDirectory(feed, quotas)
        self._callers = callers
        self._tracker = tracker
        self._sender = Sender(
            tracker,
            pool,
            targets,
            clock,
            self._notify_prompt_read,
            self._handle_head,
            self._record_origin,
            metrics.count_event,
            answers,
        )
        self._origins = origins
        self._blocks = blocks
        self._part_uses = part_uses
        self._ends = ends
        self._clock = clock
        self._retry_share = share
        self._metrics = metrics
        self._recorder = RequestRecorder(callers, feed, metrics, clock)
        self._draw = draw
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._answer_pace = AnswerPace()
        self._answer_lengths = AnswerLengths()
        self._started_at = clock.monotonic()
        self._stop_at: float | None = None

    @property
    def restarts(self) -> RestartWatch:
        """Targets that may have started again."""
        return self._restarts

    @property
    def inference(self) -> OriginInference:
        """Infers the origins of streams whose callers don't name them."""
        return self._inference

    def begin_drain(self, stop_at: float) -> None:
        """Accept only requests that are expected to finish in time.

        :param stop_at: monotonic seconds at which the gateway stops.
        """
        self._stop_at = stop_at

    def apply_limit(self, limit: RateTold) -> None:
        """Apply the rate limit that a steward enforces for its engine, or remove it.

        The response that shows the end of a limit may go to a gateway that has not
        received that limit. That gateway would not notify the steward, which would
        continue to enforce the limit.
        """
        target = self._feed.view.get(limit.target)
        if target is not None:
            self._set_limit(target, limit.rate)

    async def serve(self, exchange: Exchange) -> None:
        """Process one request and respond to it."""
        started = self._clock.monotonic()
        request: RequestState | None = None
        try:
            call = self._callers.read_call(exchange.request)
            await self._wait_for_routes(call)
            request = await self._resolve(call, exchange, started)
            await self._run_until_deadline(request, exchange)
            self._recorder.record_end(request, ANSWERED)
            self._record_pace(request)
        except CallerLeftError:
            if request is not None:
                self._return_charge(request)
                self._recorder.record_end(request, CALLER_LEFT)
        except IbisheadError as error:
            if request is None:
                self._recorder.record_refusal(exchange.request, error)
            else:
                error = _state_outcome(request, error)
                self._return_charge(request)
                self._recorder.record_end(request, error.code.value, error)
            if exchange.started:
                exchange.abort()
                return
            status, headers, body = self._callers.render_error(error, exchange.request)
            await exchange.respond(status, headers, body)

    def _record_pace(self, request: RequestState) -> None:
        spec, progress = self._chooser.find_spec(request), request.progress
        if spec is not None and progress.event_count >= MIN_RATE_EVENTS:
            seconds = self._clock.monotonic() - progress.response_started
            self._answer_pace.record(seconds, progress.event_count * spec.event_tokens)

    def _measure_answer(self, request: RequestState) -> tuple[int, float]:
        """Return the tokens that the current target has sent, and the time it took."""
        spec, progress = self._chooser.find_spec(request), request.progress
        if spec is None or not progress.event_count:
            return 0, 0.0
        seconds = progress.last_event_at - progress.current_response_at
        return progress.event_count * spec.event_tokens, max(0.0, seconds)

    def _record_length(self, request: RequestState, tokens: int, resumed: bool) -> None:
        """Learn from the length of an answer, or of what was received of it.

        :param resumed: the target did not write the answer from its beginning.
        """
        request.answer_tokens += tokens
        if request.answer_context is not None:
            complete = request.progress.succeeded and not resumed
            self._answer_lengths.record(
                request.answer_context, tokens, complete=complete
            )

    async def _wait_for_routes(self, call: Call) -> None:
        if self._feed.routes is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(compute_hold(call.timeout)):
                    await self._feed.routes_known.wait()

    def _find_retry_after(self) -> timedelta:
        wait = estimate_route_wait(self._clock.monotonic() - self._started_at)
        return timedelta(seconds=wait * (0.5 + self._draw()))

    async def _resolve(
        self, call: Call, exchange: Exchange, started: float
    ) -> RequestState:
        expected = self._answer_pace.estimate(call.max_answer_tokens)
        if self._stop_at is not None and not fits_grace(
            expected, self._stop_at - started
        ):
            raise Unavailable(
                "not run: this gateway is shutting down",
                "retry over a new connection",
                code=ErrorCode.DRAINING,
                retry_after=OTHER_HOST_RETRY_AFTER,
            )
        if self._feed.routes is None:
            raise Unavailable(
                "not run: no routes have been received yet",
                "retry after the given time",
                code=ErrorCode.NO_QUORUM,
                retry_after=self._find_retry_after(),
            )
        route, customer = await self._directory.find(call)
        timeout = route.timeout if call.timeout is None else call.timeout
        deadline = started + min(timeout, route.timeout)
        self._shedder.record_deadline(deadline - started)
        if self._shedder.is_late(deadline - self._clock.monotonic()):
            raise Unavailable(
                "not run: this gateway is overloaded and can't answer in time",
                "retry over a new connection",
                code=ErrorCode.OVERLOADED,
                retry_after=OTHER_HOST_RETRY_AFTER,
            )
        service = pick_service(route, self._draw())
        self._find_budget(service).record_attempt()
        keys = _make_keys(call, customer)
        context = _make_answer_context(call, route, customer, keys)
        length = self._answer_lengths.estimate(context) if context else LengthEstimate()
        part_tokens = measure_parts([(p.name, p.tokens) for p in call.parts])
        weights = call.engine_key
        return RequestState(
            call,
            route,
            service,
            deadline,
            started,
            started,
            Progress(exchange, call.resume_after),
            customer,
            keys,
            RequestWork(
                length.mean,
                part_tokens=part_tokens,
                rank=find_rank(route, customer),
                customer=customer.name if customer else CustomerId(""),
                upper_tokens=length.upper,
            ),
            answer_context=context,
            chain=chain_parts(weights, keys, part_tokens) if weights else (),
        )

    async def _run_until_deadline(
        self, request: RequestState, exchange: Exchange
    ) -> None:
        task = asyncio.create_task(self._send_until_answered(request))
        caller_left = asyncio.create_task(exchange.disconnected.wait())
        wait = max(0.0, request.deadline - self._clock.monotonic())
        try:
            await asyncio.wait(
                (task, caller_left), timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                task.result()
                return
            if caller_left.done():
                raise CallerLeftError
            raise _describe_timeout(request)
        finally:
            caller_left.cancel()
            if not task.done():
                # Closing the connection ends a send that is still in progress.
                task.cancel()
            await asyncio.gather(task, caller_left, return_exceptions=True)
            # The task's exception has this frame in its traceback. With a reference
            # back, what the frames hold would wait for a full garbage collection.
            del task

    async def _send_until_answered(self, request: RequestState) -> None:
        key = request.call.engine_key
        await self._find_origin(request)
        self._blocks.check(request)
        await self._charge(request)
        while True:
            with self._blocks.interrupt(request):
                target = await self._chooser.choose(request)
            request.progress.begin_send(target)
            resumed = request.progress.last_event is not None
            run, lost = 0, False
            try:
                await self._renew_charge(request)
                self._blocks.admit(request)
                self._record_sent(request, target)
                if key is None:
                    run = self._ends.begin_run(target, request.keys)
                outcome = await self._sender.send(
                    request.call,
                    request.route,
                    target,
                    request.progress,
                    request.deadline,
                    self._identify(request),
                )
                lost = isinstance(outcome, Failed) and outcome.lost
                if lost or (isinstance(outcome, NotRun) and outcome.lost):
                    self._restarts.record_loss(target)
            finally:
                if run:
                    self._ends.end_run(target, run, lost)
                self._record_answer(request)
                if key is not None:
                    if not request.progress.response_delay:
                        self._notify_prompt_read(request.call, target, request.progress)
                    progress = request.progress
                    tokens, seconds = self._measure_answer(request)
                    self._record_length(request, tokens, resumed)
                    self._stewards.end_use(
                        target.address,
                        key,
                        progress.max_gap,
                        progress.failed,
                        progress.use_number,
                        tokens,
                        seconds,
                    )
            match outcome:
                case Answered():
                    return
                case NotRun() | Failed():
                    self._check_resend(request, target, outcome)

    def _record_sent(self, request: RequestState, target: Registration) -> None:
        if request.keys is None:
            return
        self._part_uses.record_sent(request.keys)
        if request.call.engine_key is not None:
            self._tracker.record_parts(
                self._tracker.stats(target),
                request.call.engine_key,
                request.chain,
                self._clock.monotonic(),
            )

    def _record_answer(self, request: RequestState) -> None:
        progress, keys = request.progress, request.keys
        if keys is not None and progress.response_delay:
            begun_at, now = progress.current_response_at, self._clock.monotonic()
            if self._part_uses.record_answer(keys, begun_at, progress.succeeded, now):
                self._blocks.report_sound(keys)

    def _record_origin(self, call: Call, route: Route, origin: StreamOrigin) -> None:
        if route.repeatable and origin.software:
            self._origins.record(call.request, origin, call.timeout)

    async def _find_origin(self, request: RequestState) -> None:
        """Find out what began the stream that a request resumes.

        :raises Unavailable: it is unknown, or the route no longer leads there.
        """
        call = request.call
        if call.resume_after is None or request.route.kind is not Repeatability.STREAM:
            return
        if call.first_request is not None:
            origin = await self._origins.find(call.first_request)
        else:
            origin = await self._infer_origin(request)
        if origin is None:
            raise self._make_origin_error(
                "it is unknown which service and software version began the stream"
            )
        if origin.service not in list_services(request.route):
            raise self._make_origin_error(
                "the route no longer leads to the service that began the stream"
            )
        request.service, request.progress.origin = origin.service, origin

    async def _infer_origin(self, request: RequestState) -> StreamOrigin | None:
        """Return the only origin that a stream can have, or ``None``.

        For callers that don't name the request that began the stream.
        """
        services = list_services(request.route)
        if len(services) != 1:
            return None
        (service,) = services
        origin = await self._inference.infer(service)
        if origin is not None:
            request.origin_inferred = True
            self._metrics.count_event("stream_origin_inferred")
        return origin

    def _make_origin_error(self, reason: str) -> IbisheadError:
        return Unavailable(
            f"not run: {reason}",
            "name the request that brought its first event, or begin the stream anew",
            code=ErrorCode.NO_TARGET,
            retry_after=timedelta(seconds=ORIGIN_RETRY_SECONDS * (0.5 + self._draw())),
        )

    async def _charge(self, request: RequestState) -> None:
        if request.customer is None or request.customer.quota is None:
            return
        call, started = request.call, self._clock.monotonic()
        wait = min(compute_hold(call.timeout), request.deadline - started)
        try:
            request.charge = await self._quotas.charge(
                request.customer, call.tokens, wait
            )
        finally:
            request.quota_wait += self._clock.monotonic() - started

    async def _renew_charge(self, request: RequestState) -> None:
        """Charge a request again if its charge has expired while it waited.

        The expired charge is not given back. So the requests that are sent in a period
        are covered by charges of that period and of one lifetime before it.
        """
        charge = request.charge
        if charge is not None and not self._quotas.is_valid(charge):
            request.charge = None
            await self._charge(request)

    def _return_charge(self, request: RequestState) -> None:
        """Give back the charge of a request that has certainly not run."""
        progress = request.progress
        not_run = not progress.may_have_run and not progress.exchange.started
        if request.charge is not None and not_run:
            self._quotas.give_back(request.charge)

    def _identify(self, request: RequestState) -> Identity:
        routes, customer = self._feed.routes, request.customer
        return Identity(
            request.rank,
            routes is not None and routes.customers is not None,
            customer.name if customer is not None else None,
        )

    def _notify_prompt_read(
        self, call: Call, target: Registration, progress: Progress
    ) -> None:
        if call.engine_key is not None:
            self._stewards.notify_prompt_read(
                target.address,
                call.prompt_tokens,
                progress.response_delay,
                progress.use_number,
                progress.slowdown,
            )

    def _handle_head(
        self, call: Call, target: Registration, head: TargetHead, progress: Progress
    ) -> None:
        """Apply what a target's response says about the target itself."""
        # Only a response to this request ends a limit by naming none.
        if head.echoed or head.rate_limit is not None:
            self._handle_limit(call, target, head.rate_limit)
        if head.leaving:
            self._feed.report_leaving(target.target, target.born)
        if head.status == OVERLOADED_STATUS:
            self._handle_refusal(target, head.retry_after, progress.selected_at)

    def _handle_refusal(
        self, target: Registration, rest: float | None, selected_at: float
    ) -> None:
        now = self._clock.monotonic()
        self._tracker.record_refusal(target, rest, selected_at, now, self._draw())
        if is_valid_rest(rest):
            self._stewards.withdraw_turns(target.address)
            self._stewards.notify_refusals(target, rest)

    def _handle_limit(
        self, call: Call, target: Registration, rate: float | None
    ) -> None:
        if rate is None and self._tracker.stats(target).rate_limit is None:
            return
        if call.engine_key is not None:
            self._stewards.notify_limit(target, rate)
        self._set_limit(target, rate)

    def _set_limit(self, target: Registration, rate: float | None) -> None:
        now = self._clock.monotonic()
        self._tracker.record_limit(
            target, rate, self._count_gateways(), now, self._draw()
        )

    def _count_gateways(self) -> int:
        return max(1, len(self._feed.list_members(MemberKind.GATEWAY)))

    def _check_resend(
        self, request: RequestState, target: Registration, outcome: Outcome
    ) -> None:
        """Return if the request may be resent; otherwise raise the caller's error."""
        request.avoid.add(target.target)
        progress, route = request.progress, request.route
        match outcome:
            case NotRun(reason, received, _):
                request.last_reason = reason
                request.refusals += 1
                out_of_budget = (
                    received and not self._find_budget(request.service).take()
                )
                if request.refusals < MAX_REFUSALS and not out_of_budget:
                    return
                raise self._chooser.make_refusal(request, reason)
            case Failed(reason, final, _):
                request.last_reason = reason
                may_repeat = (
                    not final
                    and route.repeatable
                    and progress.uncertain_sends < route.attempts
                )
                if may_repeat and self._find_budget(request.service).take():
                    request.selection_started = self._clock.monotonic()
                    return
                raise OutcomeUnknown(
                    f"no complete response from the target: {reason}",
                    "check whether the request has run before sending it again",
                    code=ErrorCode.TARGET_FAILED,
                )

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            burst = max(1.0, self._retry_share.slack / self._count_gateways())
            found = RetryBudget(self._retry_share.ratio, burst)
            self._budgets[service] = found
        return found


def _make_answer_context(
    call: Call, route: Route, customer: Customer | None, keys: PromptKeys | None
) -> AnswerContext | None:
    """Return what an answer's length is estimated from.

    A request that says nothing of its size is handled without an estimate.
    """
    sized = call.counts_tokens or call.length_hint is not None or call.parts
    if call.engine_key is None or not sized:
        return None
    return AnswerContext(
        route.name,
        customer.name if customer is not None else "",
        keys.shared[-1] if keys is not None and keys.shared else "",
        call.adapter,
        call.length_hint,
        call.max_answer_tokens,
    )


def _make_keys(call: Call, customer: Customer | None) -> PromptKeys | None:
    """Return the keys of a request.

    The adapter, the deadline and the resume position don't belong to the content, since
    callers change them when they send a request again.
    """
    names = [part.name for part in call.parts]
    fields = (call.method, call.hostname, call.target, call.model, *names)
    content = make_content_key(fields, call.body)
    return make_prompt_keys(names, customer.name if customer else None, content)


def _state_outcome(request: RequestState, error: IbisheadError) -> IbisheadError:
    """Return the caller's error, which says "not run" only if that is certain.

    What refuses a request knows why it isn't sent now, but not of earlier sends.
    """
    if error.status not in NOT_RUN_STATUSES or not request.progress.may_have_run:
        return error
    return OutcomeUnknown(
        f"an earlier send may have run, and a resend was refused as "
        f"{error.code.value}: {error.message}",
        "check whether the request has run before sending it again",
    )


def _describe_timeout(request: RequestState) -> IbisheadError:
    if not request.progress.may_have_run:
        return Refused(
            f"not run in time: {request.last_reason or 'no target was free'}",
            "retry after the given time, or set a later deadline",
            retry_after=timedelta(seconds=MIN_RETRY_AFTER_SECONDS),
        )
    error = OutcomeUnknown(
        "no complete response from the target before the deadline",
        "check whether the request has run before sending it again",
        code=ErrorCode.DEADLINE_EXCEEDED,
    )
    error.status = 504
    return error
