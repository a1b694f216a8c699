"""Latency measurements of answers, for the histograms by team and class."""

from collections.abc import Callable

from ibishead.ids import ClassName, TeamId
from ibishead.messages import AnswerBody, AnswerHead
from ibishead.metrics import Measure, Metrics
from ibishead.session import Frame

__all__ = ["AnswerTimer"]


class AnswerTimer:
    """Measures the latencies of one request's answer from its frames.

    :param monotonic: returns the time in monotonic seconds.
    :param received: when the request was received, in the same seconds.
    """

    def __init__(
        self,
        metrics: Metrics,
        monotonic: Callable[[], float],
        received: float,
        team: TeamId,
        request_class: ClassName,
    ) -> None:
        self._metrics = metrics
        self._monotonic = monotonic
        self._received = received
        self._team = team
        self._class = request_class
        self._last_body: float | None = None

    def record(self, frame: Frame) -> None:
        """Record a frame's latencies.

        Frames of a retried attempt continue the measurements of the attempts before it.
        """
        match frame:
            case AnswerHead(queued=queued, stall=stall):
                self._observe(Measure.WAIT, queued)
                self._observe(Measure.LOAD_STALL, stall)
            case AnswerBody():
                self._record_body(self._monotonic())

    def _record_body(self, now: float) -> None:
        if self._last_body is None:
            self._observe(Measure.FIRST_TOKEN, now - self._received)
        else:
            self._observe(Measure.BETWEEN_TOKENS, now - self._last_body)
        self._last_body = now

    def _observe(self, measure: Measure, value: float) -> None:
        self._metrics.observe(measure, self._team, self._class, value)
