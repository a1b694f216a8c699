"""The stages of a request in order, from the HTTP request to the HTTP response."""

import asyncio
import contextlib
import logging
import uuid
from collections.abc import Coroutine

from ibishead.clock import Clock
from ibishead.entry.call import MODEL_PATHS, PLAIN_PREFIX, Call, parse_call
from ibishead.entry.claims import ClaimedRunner
from ibishead.entry.dispatching import Dispatcher, Job
from ibishead.entry.pages import Pages
from ibishead.entry.placing import Placer
from ibishead.entry.relay import Relay
from ibishead.entry.resolution import ResolvedCall, resolve_confirmed
from ibishead.entry.timing import AnswerTimer
from ibishead.entry.trace import Trace, TraceStore
from ibishead.errors import (
    Conflict,
    ErrorCode,
    IbisheadError,
    LinkLost,
    OutcomeUnknown,
    Unavailable,
)
from ibishead.ids import RequestId
from ibishead.messages import Outcome
from ibishead.metrics import Metrics
from ibishead.subscription import Subscription
from ibishead.web import Exchange

__all__ = ["Pipeline"]

logger = logging.getLogger(__name__)


class Pipeline:
    """Handles the HTTP exchanges of callers."""

    def __init__(
        self,
        subscription: Subscription,
        dispatcher: Dispatcher,
        placer: Placer,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.traces = TraceStore()
        self._subscription = subscription
        self._dispatcher = dispatcher
        self._placer = placer
        self._claimed_runner = ClaimedRunner(dispatcher, subscription, clock.monotonic)
        self._pages = Pages(subscription, self.traces)
        self._clock = clock
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Handle one exchange.

        :raises IbisheadError: refused before anything was sent to a target.
        """
        path = exchange.request.path
        if path not in MODEL_PATHS and not path.startswith(PLAIN_PREFIX):
            await self._pages.handle(exchange)
            return
        now = self._clock.monotonic()
        try:
            call = parse_call(exchange.request)
        except IbisheadError as error:
            request = RequestId(uuid.uuid4().hex)
            trace = self.traces.open(request, now)
            await self._refuse(exchange, trace, "parse", error)
            return
        trace = self.traces.open(call.request, now)
        try:
            resolved = self._resolve(call, trace)
        except IbisheadError as error:
            # Without a confirmed document it is unknown whether the call is idempotent
            # and whether an earlier request with its key has run.
            may_have_run = bool(call.key) and isinstance(error, Unavailable)
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            await self._refuse(exchange, trace, "resolve", error, outcome)
            return
        timer = AnswerTimer(
            self._metrics,
            self._clock.monotonic,
            now,
            resolved.team,
            resolved.request_class.name,
        )
        job = Job(
            resolved=resolved,
            relay=Relay(exchange, resolved, timer),
            trace=trace,
            deadline=now + resolved.request_class.deadline.total_seconds(),
        )
        await self._serve(exchange, job)

    async def _refuse(
        self,
        exchange: Exchange,
        trace: Trace,
        stage: str,
        error: IbisheadError,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        trace.add(self._clock.monotonic(), stage, error.code.value, error.message)
        trace.outcome = outcome.value
        self._metrics.count_refusal(error.code)
        _log_refusal(trace, stage, error)
        headers = (
            ("x-ibishead-request", trace.request),
            ("x-ibishead-outcome", outcome.value),
        )
        await exchange.respond_error(error, headers)

    def _resolve(self, call: Call, trace: Trace) -> ResolvedCall:
        resolved = resolve_confirmed(
            call, self._subscription.catalog, self._subscription.is_current()
        )
        trace.add(
            self._clock.monotonic(),
            "resolve",
            f"{call.adapter}@{resolved.version}" if call.adapter else call.service,
            f"class {resolved.request_class.name} by revision "
            f"{resolved.held.record.revision}",
        )
        return resolved

    async def _serve(self, exchange: Exchange, job: Job) -> None:
        runner = (
            self._dispatcher.run
            if job.resolved.request_class.idempotent
            else self._claimed_runner.run
        )
        self._placer.begin(job.resolved)
        counted = job.resolved
        task = asyncio.create_task(self._answer(runner(job), job))
        caller_gone = asyncio.create_task(exchange.disconnected.wait())
        try:
            await asyncio.wait({task, caller_gone}, return_when=asyncio.FIRST_COMPLETED)
            # A non-idempotent request is not cancelled: its outcome is recorded for the
            # caller's next request with the same key.
            if not task.done() and job.resolved.request_class.idempotent:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        finally:
            self._placer.end(counted)
            caller_gone.cancel()
            task.cancel()

    async def _answer(self, execution: Coroutine[None, None, None], job: Job) -> None:
        outcome = Outcome.COMPLETED
        try:
            await execution
        except LinkLost:
            job.trace.outcome = "caller left"
            raise
        except IbisheadError as error:
            # Whatever error ends the request, an earlier attempt may have run
            outcome = Outcome.UNKNOWN if job.may_have_run else _classify(error)
            self._metrics.count_refusal(error.code)
            _log_refusal(job.trace, job.trace.steps[-1].stage, error)
            await job.relay.send_error(error, outcome)
        job.trace.outcome = outcome.value
        call = job.resolved.call
        self._metrics.count_request(
            job.resolved.team, job.resolved.request_class.name, outcome
        )
        logger.info(
            "request ended",
            extra={
                "request": call.request,
                "service": call.service,
                "stage": "relay",
                "decision": outcome.value,
                "attempts": job.attempts,
            },
        )


def _log_refusal(trace: Trace, stage: str, error: IbisheadError) -> None:
    logger.info(
        "request refused",
        extra={
            "request": trace.request,
            "stage": stage,
            "decision": error.code.value,
            "reason": error.message,
        },
    )


def _classify(error: IbisheadError) -> Outcome:
    if isinstance(error, OutcomeUnknown):
        return Outcome.UNKNOWN
    if isinstance(error, Conflict) and error.code is ErrorCode.ANSWER_NOT_KEPT:
        return Outcome.COMPLETED
    return Outcome.NOT_RUN
