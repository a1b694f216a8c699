"""Which requests a host still accepts during a planned stop.

An answer that starts late in the grace period would be cut off when the host stops, and
its request must not be sent again. If the request is rejected immediately as not run,
another host serves it in full.
"""

from collections import deque
from datetime import timedelta

__all__ = ["OTHER_HOST_RETRY_AFTER", "AnswerPace", "fits_grace"]

#: Time until the first token of an answer, including everything before it.
FIRST_TOKEN_SECONDS = 1.0

#: Factor by which an answer may exceed its estimated duration and still end in time.
#: Engine batches fill up while it runs.
DURATION_FACTOR = 1.4

#: Safety margin before the end of the grace period.
MARGIN_SECONDS = 0.6

#: Retry delay for rejected callers. It is short because other hosts serve them.
OTHER_HOST_RETRY_AFTER = timedelta(seconds=0.05)

#: Estimated time per token until `MIN_ANSWERS` answers were measured.
INITIAL_SECONDS_PER_TOKEN = 0.02
MIN_ANSWERS = 4

#: Number of recent answers to consider: some seconds of a gateway's traffic.
MAX_ANSWERS = 64


class AnswerPace:
    """Estimates answer durations by the slowest of the recent answers.

    With the mean time per token, answers of engines that are slower or have fuller
    batches than others would be accepted and then cut off.
    """

    def __init__(self) -> None:
        self._seconds_per_token: deque[float] = deque(maxlen=MAX_ANSWERS)

    def record(self, seconds: float, tokens: int) -> None:
        """Record a completed answer.

        :param seconds: duration of the answer.
        :param tokens: number of tokens in the answer.
        """
        if tokens > 0:
            self._seconds_per_token.append(seconds / tokens)

    def estimate(self, tokens: int) -> float:
        """Return the estimated seconds for an answer of that many tokens."""
        measured = len(self._seconds_per_token) >= MIN_ANSWERS
        return tokens * (
            max(self._seconds_per_token) if measured else INITIAL_SECONDS_PER_TOKEN
        )


def fits_grace(expected: float, remaining: float) -> bool:
    """Return whether an answer that starts now is expected to end in time.

    :param expected: estimated seconds for the answer, 0 for a short one.
    :param remaining: seconds until the host stops.
    """
    return (
        FIRST_TOKEN_SECONDS + DURATION_FACTOR * expected + MARGIN_SECONDS <= remaining
    )
