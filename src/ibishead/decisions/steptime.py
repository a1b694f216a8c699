"""Estimation of the time that an engine needs for one token of each running answer."""

import statistics
from collections import deque

__all__ = ["StepTime", "is_valid_step_time"]

#: Number of answers for an estimate, minimum and maximum. A change of speed shows when
#: half of them are new, within some seconds at the rate at which engines answer.
MIN_SAMPLES = 4
MAX_SAMPLES = 24

#: Minimum tokens after the first event of an answer. In shorter ones, delays of the
#: network dominate.
MIN_TOKENS = 16
MAX_TOKENS = 10_000_000

#: Seconds after which an estimate is discarded if no answer has confirmed it. An engine
#: that is passed over for too long a step time answers nothing that could correct it.
VALID_SECONDS = 20.0

#: Bounds of a valid step time in seconds.
MIN_STEP_SECONDS = 1e-5
MAX_STEP_SECONDS = 10.0


def is_valid_step_time(seconds: float) -> bool:
    """Return whether a step time is in range; not a number is not."""
    return MIN_STEP_SECONDS <= seconds <= MAX_STEP_SECONDS


class StepTime:
    """Median of the time per token in recent answers.

    The time includes the prompts that the engine reads between two tokens. Their share
    cannot be told from the tokens' own: an engine reads a chunk in a step that also
    writes a token. The median tolerates answers whose callers or gateways read slowly.

    :ivar seconds: estimated time of one token, 0 if unknown.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._recorded_at = 0.0

    def expire(self, now: float) -> None:
        """Discard the estimate if no answer has confirmed it for a while.

        :param now: monotonic seconds.
        """
        if self._samples and now - self._recorded_at > VALID_SECONDS:
            self._samples.clear()
            self.seconds = 0.0

    def record(
        self,
        tokens: int,
        event_tokens: int,
        seconds: float,
        slowdown: float = 1.0,
        now: float = 0.0,
    ) -> None:
        """Record an answer.

        :param tokens: length of the answer, 0 if unknown.
        :param event_tokens: tokens of one event.
        :param seconds: from the first to the last event.
        :param slowdown: mean slowdown of the host in this time.
        :param now: monotonic seconds.
        """
        steps = tokens - event_tokens
        if not MIN_TOKENS <= steps <= MAX_TOKENS:
            return
        step = seconds / steps / slowdown
        if not is_valid_step_time(step):
            return
        self._samples.append(step)
        self._recorded_at = now
        if len(self._samples) >= MIN_SAMPLES:
            self.seconds = statistics.median(self._samples)
