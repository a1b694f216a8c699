"""State of a request in progress, and the log line and metrics written at its end."""

import logging
from dataclasses import dataclass, field

from ibishead.clock import Clock
from ibishead.decisions.answerlength import AnswerContext
from ibishead.decisions.keptparts import PartChain
from ibishead.errors import ErrorCode, IbisheadError, NotFound, Refused, Unavailable
from ibishead.gateway.calls import Call, CallerDialect
from ibishead.gateway.quotas import Charge
from ibishead.gateway.sending import Progress
from ibishead.ids import ClassName, ServiceName, TargetId, TeamId
from ibishead.logsink import mark_routine
from ibishead.messages import Outcome
from ibishead.metrics import Measure, Metrics
from ibishead.routing.customers import Customer
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.routes import Route
from ibishead.routing.work import RequestWork
from ibishead.web import WebRequest

__all__ = ["ANSWERED", "CALLER_LEFT", "RequestRecorder", "RequestState"]

logger = logging.getLogger(__name__)

#: Outcomes of requests that did not fail; a failed request is logged with its error
#: code.
ANSWERED = "answered"
CALLER_LEFT = "caller_left"

#: Refusals that a single caller may cause any number of.
_ROUTINE_REFUSALS = frozenset(
    {ErrorCode.QUOTA_EXCEEDED.value, ErrorCode.PROMPT_BLOCKED.value}
)


@dataclass
class RequestState:
    """State of one request in progress.

    :ivar deadline: monotonic seconds at which the request times out.
    :ivar started: monotonic seconds at which the request was received.
    :ivar selection_started: monotonic seconds at which the selection of a target began;
        reset after each failed send.
    :ivar customer: customer that the request is for, or ``None`` if it is anonymous.
    :ivar keys: the parts of its prompt and its content, ``None`` if it has neither.
    :ivar avoid: targets that are not selected again for this request.
    :ivar refusals: number of sends that targets refused or that did not reach them.
    :ivar last_reason: reason of the last unsuccessful send or wait.
    :ivar turn_wait: seconds spent waiting for turns at engines.
    :ivar placement: state of the adapter at the engine that was selected last.
    :ivar expected_wait: expected seconds until the selected target takes the request.
    :ivar charge: charge to the customer's quota, ``None`` if there is no quota.
    :ivar quota_wait: seconds spent waiting for that charge.
    :ivar work: what the request is expected to cost an engine.
    :ivar answer_context: what its answer's length is estimated from, ``None`` if it is
        not estimated.
    :ivar origin_inferred: whether the origin of the stream that it resumes was inferred
        from the versions that served, not found.
    :ivar chain: the parts of its prompt as an engine keeps them.
    :ivar answer_tokens: tokens of its answer as far as it was received, 0 if unknown.
    """

    call: Call
    route: Route
    service: ServiceName
    deadline: float
    started: float
    selection_started: float
    progress: Progress
    customer: Customer | None = None
    keys: PromptKeys | None = None
    work: RequestWork = RequestWork()
    avoid: set[TargetId] = field(default_factory=set)
    refusals: int = 0
    last_reason: str = ""
    turn_wait: float = 0.0
    placement: str = ""
    expected_wait: float = 0.0
    charge: Charge | None = None
    quota_wait: float = 0.0
    answer_context: AnswerContext | None = None
    answer_tokens: int = 0
    chain: PartChain = ()
    origin_inferred: bool = False

    @property
    def rank(self) -> int:
        """Priority: that of the customer, if it has one, or else of the route."""
        return find_rank(self.route, self.customer)


def find_rank(route: Route, customer: Customer | None) -> int:
    """Return the priority of requests of a customer on a route."""
    if customer is None or customer.rank is None:
        return route.rank
    return customer.rank


class RequestRecorder:
    """Writes a log line and updates the metrics for each finished request."""

    def __init__(
        self,
        callers: CallerDialect,
        feed: RegistryFeed,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._callers = callers
        self._feed = feed
        self._metrics = metrics
        self._clock = clock

    def record_refusal(self, request: WebRequest, error: IbisheadError) -> None:
        """Record a request that was refused before its route was resolved."""
        self._metrics.count_refusal(error.code)
        logger.info(
            "request refused",
            extra={
                "request": self._callers.find_request_id(request),
                "outcome": error.code.value,
                "reason": error.message,
                "routes": self._feed.version,
            },
        )

    def record_end(
        self,
        request: RequestState,
        outcome: str,
        error: IbisheadError | None = None,
    ) -> None:
        """Record a finished request.

        :param error: error returned to the caller, or ``None`` if the caller got a
            target's response or disconnected.
        """
        if error is not None:
            self._metrics.count_refusal(error.code)
        progress = request.progress
        self._update_metrics(request, outcome == ANSWERED, error)
        if request.customer is not None:
            self._metrics.count_customer(request.customer.name, outcome)
        answered = (
            outcome == ANSWERED
            and not request.refusals
            and not progress.uncertain_sends
        )
        routine = answered or outcome in _ROUTINE_REFUSALS
        logger.info(
            "request ended",
            extra=(mark_routine() if routine else {})
            | {
                "request": request.call.request,
                "route": request.route.name,
                "service": request.service,
                "customer": request.customer.name if request.customer else None,
                "adapter": request.call.adapter,
                "parts": ",".join(part.name for part in request.call.parts)
                if not routine
                else None,
                "content": request.keys.content
                if request.keys and not routine
                else None,
                "target": progress.target,
                "software": progress.software,
                "origin": progress.origin.software if progress.origin else None,
                "origin_inferred": request.origin_inferred,
                "resumed_after": request.call.resume_after,
                "first_request": request.call.first_request,
                "sends": progress.uncertain_sends,
                "refusals": request.refusals,
                "sent_to": ", ".join(r.describe() for r in progress.records)
                if not routine
                else None,
                "events_after": progress.last_event,
                "framing": progress.framing.value if progress.framing else None,
                "partial_bytes": progress.partial_bytes,
                "seconds": round(self._clock.monotonic() - request.started, 4),
                "placed": request.placement,
                "quota_wait": round(request.quota_wait, 4),
                "turn_wait": round(request.turn_wait, 4),
                "pause": round(progress.max_gap, 4),
                "first": round(progress.response_started - request.started, 4)
                if progress.response_started
                else None,
                "expected_tokens": request.work.answer_tokens or None,
                "answer_tokens": request.answer_tokens or None,
                "outcome": outcome,
                "reason": error.message if error else request.last_reason,
            },
        )

    def _update_metrics(
        self, request: RequestState, answered: bool, error: IbisheadError | None
    ) -> None:
        # The platform has no request classes, so the route name serves as the class.
        team, group = TeamId(request.service), ClassName(request.route.name)
        progress = request.progress
        self._metrics.observe(Measure.WAIT, team, group, request.turn_wait)
        if request.quota_wait:
            self._metrics.observe(Measure.QUOTA_WAIT, team, group, request.quota_wait)
        if progress.response_started:
            first = progress.response_started - request.started
            self._metrics.observe(Measure.FIRST_TOKEN, team, group, first)
        if progress.max_gap:
            self._metrics.observe(Measure.BETWEEN_TOKENS, team, group, progress.max_gap)
        match error:
            case None if answered:
                end = Outcome.COMPLETED
            case Refused() | Unavailable() | NotFound():
                end = Outcome.NOT_RUN
            case _:
                end = Outcome.UNKNOWN
        self._metrics.count_request(team, group, end)
