"""What is kept of a request on its way, and told of it when it ends."""

import logging
from dataclasses import dataclass, field

from ibishead.clock import Clock
from ibishead.errors import IbisheadError, NotFound, Refused, Unavailable
from ibishead.gateway.calls import Call, CallerDialect
from ibishead.gateway.sending import Progress
from ibishead.ids import ClassName, ServiceName, TargetId, TeamId
from ibishead.logsink import mark_routine
from ibishead.messages import Outcome
from ibishead.metrics import Measure, Metrics
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import Route
from ibishead.web import WebRequest

__all__ = ["ANSWERED", "CALLER_LEFT", "RequestAccounts", "RequestState"]

logger = logging.getLogger(__name__)

#: How a request may end besides with an error, whose code is told then.
ANSWERED = "answered"
CALLER_LEFT = "caller_left"


@dataclass
class RequestState:
    """One request on its way.

    :ivar since: when it began to look for a target, again after each send that broke.
    """

    call: Call
    route: Route
    service: ServiceName
    deadline: float
    started: float
    since: float
    progress: Progress
    avoid: set[TargetId] = field(default_factory=set)
    refusals: int = 0
    last: str = ""
    turn_wait: float = 0.0
    placed: str = ""
    expected: float = 0.0


class RequestAccounts:
    """Writes a line, and counts, for each request that has ended."""

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

    def note_refusal(self, request: WebRequest, error: IbisheadError) -> None:
        """Tell of a request that was refused before its route was known."""
        self._metrics.count_refusal(error.code)
        logger.info(
            "request refused",
            extra={
                "request": self._callers.find_id(request),
                "outcome": error.code.value,
                "reason": error.message,
                "routes": self._feed.version,
            },
        )

    def note_end(
        self,
        request: RequestState,
        outcome: str,
        error: IbisheadError | None = None,
    ) -> None:
        """Tell of a request that has ended.

        :param error: what its caller was told, if it got no answer of a target.
        """
        if error is not None:
            self._metrics.count_refusal(error.code)
        progress = request.progress
        self._measure(request, outcome == ANSWERED, error)
        calm = outcome == ANSWERED and not request.refusals and not progress.sends
        logger.info(
            "request ended",
            extra=(mark_routine() if calm else {})
            | {
                "request": request.call.request,
                "route": request.route.name,
                "service": request.service,
                "adapter": request.call.adapter,
                "target": progress.target,
                "sends": progress.sends,
                "refusals": request.refusals,
                "events_after": progress.last_event,
                "seconds": round(self._clock.monotonic() - request.started, 4),
                "placed": request.placed,
                "turn_wait": round(request.turn_wait, 4),
                "pause": round(progress.pause, 4),
                "first": round(progress.first - request.started, 4)
                if progress.first
                else None,
                "outcome": outcome,
                "reason": error.message if error else request.last,
            },
        )

    def _measure(
        self, request: RequestState, answered: bool, error: IbisheadError | None
    ) -> None:
        # platforms name no class of a request; its route tells the same
        team, group = TeamId(request.service), ClassName(request.route.name)
        progress = request.progress
        self._metrics.observe(Measure.WAIT, team, group, request.turn_wait)
        if progress.first:
            first = progress.first - request.started
            self._metrics.observe(Measure.FIRST_TOKEN, team, group, first)
        if progress.pause:
            self._metrics.observe(Measure.BETWEEN_TOKENS, team, group, progress.pause)
        match error:
            case None if answered:
                end = Outcome.COMPLETED
            case Refused() | Unavailable() | NotFound():
                end = Outcome.NOT_RUN
            case _:
                end = Outcome.UNKNOWN
        self._metrics.count_request(team, group, end)
