"""How long the parts of an answer took, for the histograms by team and class."""

from collections.abc import Callable

from ibishead.ids import ClassName, TeamId
from ibishead.messages import AnswerBody, AnswerHead
from ibishead.metrics import Measure, Metrics
from ibishead.session import Frame

__all__ = ["AnswerTimer"]


class AnswerTimer:
    """Follows the frames of one request's answer.

    :param monotonic: seconds that never go back.
    :param began: when the request came, in the same seconds.
    """

    def __init__(
        self,
        metrics: Metrics,
        monotonic: Callable[[], float],
        began: float,
        team: TeamId,
        request_class: ClassName,
    ) -> None:
        self._metrics = metrics
        self._monotonic = monotonic
        self._began = began
        self._team = team
        self._class = request_class
        self._last: float | None = None

    def note(self, frame: Frame) -> None:
        """Observe what a frame tells; a repeated attempt goes on from the first."""
        match frame:
            case AnswerHead(queued=queued, stall=stall):
                self._observe(Measure.WAIT, queued)
                self._observe(Measure.LOAD_STALL, stall)
            case AnswerBody():
                self._note_piece(self._monotonic())

    def _note_piece(self, now: float) -> None:
        if self._last is None:
            self._observe(Measure.FIRST_TOKEN, now - self._began)
        else:
            self._observe(Measure.BETWEEN_TOKENS, now - self._last)
        self._last = now

    def _observe(self, measure: Measure, value: float) -> None:
        self._metrics.observe(measure, self._team, self._class, value)
