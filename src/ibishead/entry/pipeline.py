"""The stages of a request in their order, from HTTP in to HTTP out."""

import asyncio
import contextlib
import logging
import random
import uuid
from collections.abc import Coroutine
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.decisions.admission import AdmissionQuery, Refused, admit
from ibishead.entry.call import MODEL_PATHS, PLAIN_PREFIX, Call, parse_call
from ibishead.entry.claims import ClaimedRunner
from ibishead.entry.dispatching import Dispatcher, Job
from ibishead.entry.pages import Pages
from ibishead.entry.relay import Relay
from ibishead.entry.resolution import Resolved, resolve_confirmed
from ibishead.entry.timing import AnswerTimer
from ibishead.entry.trace import Trace, TraceBook
from ibishead.errors import (
    Conflict,
    ErrorCode,
    IbisheadError,
    LinkLost,
    OutcomeUnknown,
)
from ibishead.errors import Refused as RefusedRequest
from ibishead.ids import RequestId
from ibishead.messages import Outcome
from ibishead.metrics import Metrics
from ibishead.subscription import Subscription
from ibishead.web import Exchange

__all__ = ["Pipeline"]

logger = logging.getLogger(__name__)


class Pipeline:
    """Answers callers.

    :param chance: source of ties and spreads.
    """

    def __init__(
        self,
        subscription: Subscription,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        self.traces = TraceBook()
        self._subscription = subscription
        self._dispatcher = dispatcher
        self._claimed = ClaimedRunner(dispatcher, subscription, clock.monotonic)
        self._pages = Pages(subscription, self.traces)
        self._clock = clock
        self._metrics = metrics
        self._chance = chance

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange.

        :raises IbisheadError: a refusal before anything was sent to a target.
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
            await self._refuse(exchange, trace, "resolve", error)
            return
        try:
            self._admit(resolved, trace)
        except IbisheadError as error:
            self._metrics.count_request(
                resolved.team, resolved.request_class.name, Outcome.NOT_RUN
            )
            await self._refuse(exchange, trace, "admit", error)
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
        self, exchange: Exchange, trace: Trace, stage: str, error: IbisheadError
    ) -> None:
        trace.add(self._clock.monotonic(), stage, error.code.value, error.message)
        trace.outcome = Outcome.NOT_RUN.value
        self._metrics.count_refusal(error.code)
        logger.info(
            "request refused",
            extra={
                "request": trace.request,
                "stage": stage,
                "decision": error.code.value,
                "reason": error.message,
            },
        )
        headers = (
            ("x-ibishead-request", trace.request),
            ("x-ibishead-outcome", Outcome.NOT_RUN.value),
        )
        await exchange.respond_error(error, headers)

    def _resolve(self, call: Call, trace: Trace) -> Resolved:
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

    def _admit(self, resolved: Resolved, trace: Trace) -> None:
        views = [
            view
            for view in (link.view() for link in self._dispatcher.list_views(resolved))
            if view.reachable and not view.draining
        ]
        mean = sum(view.seconds_per_request for view in views) / max(len(views), 1)
        verdict = admit(
            AdmissionQuery(
                priority=resolved.request_class.priority,
                deadline=resolved.request_class.deadline.total_seconds(),
                waiting=sum(view.queued + view.recent for view in views),
                capacity=sum(view.batch for view in views),
                seconds_per_request=mean,
                draw=self._chance.random(),
            )
        )
        now = self._clock.monotonic()
        match verdict:
            case Refused(code=code, reason=reason, retry_after=retry_after):
                raise RefusedRequest(
                    f"the request was not run: {reason}",
                    "send it again after the given time",
                    code=code,
                    retry_after=timedelta(seconds=retry_after),
                )
        trace.add(now, "admit", "admitted", f"expected wait {verdict.expected_wait}")

    async def _serve(self, exchange: Exchange, job: Job) -> None:
        runner = (
            self._dispatcher.run
            if job.resolved.request_class.idempotent
            else self._claimed.run
        )
        task = asyncio.create_task(self._answer(runner(job), job))
        leaving = asyncio.create_task(exchange.gone.wait())
        try:
            await asyncio.wait({task, leaving}, return_when=asyncio.FIRST_COMPLETED)
            # A non-idempotent request isn't called back: its outcome is recorded
            # for the caller's next try with the same key.
            if not task.done() and job.resolved.request_class.idempotent:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        finally:
            leaving.cancel()
            task.cancel()

    async def _answer(self, running: Coroutine[None, None, None], job: Job) -> None:
        outcome = Outcome.COMPLETED
        try:
            await running
        except LinkLost:
            job.trace.outcome = "caller left"
            raise
        except IbisheadError as error:
            outcome = _classify(error)
            self._metrics.count_refusal(error.code)
            await job.relay.refuse(error, outcome)
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


def _classify(error: IbisheadError) -> Outcome:
    if isinstance(error, OutcomeUnknown):
        return Outcome.UNKNOWN
    if isinstance(error, Conflict) and error.code is ErrorCode.ANSWER_NOT_KEPT:
        return Outcome.COMPLETED
    return Outcome.NOT_RUN
