"""Which requests a host that is about to stop still takes.

An answer that begins late in the grace of a planned stop would be cut at its end, and
its request may not be sent again. Refused at once, as not run, it is served whole by
another host.
"""

from collections import deque
from datetime import timedelta

__all__ = ["ELSEWHERE_WAIT", "AnswerPace", "fits_grace"]

#: Seconds of an answer's first token and of whatever comes before it.
BEGIN_TIME = 1.0

#: How much longer than expected an answer may take, and still end in time. Batches of
#: engines fill while it runs.
SPREAD = 1.4

#: Seconds before the end of the grace that no answer should need.
MARGIN = 0.6

#: Seconds after which callers that were refused may come back; other hosts serve them.
ELSEWHERE_WAIT = timedelta(seconds=0.05)

#: Seconds of one token while fewer answers were seen than tell the pace.
FIRST_PACE = 0.02
LEAST_ANSWERS = 4

#: Answers that the pace rests on: some seconds of a gateway's traffic.
MOST_ANSWERS = 64


class AnswerPace:
    """The most seconds that the last answers took for each token.

    Failure: an answer is cut that was taken by the mean pace, as its engine is slower
    or its batch fuller than others. So the slowest of the last answers counts.
    """

    def __init__(self) -> None:
        self._paces: deque[float] = deque(maxlen=MOST_ANSWERS)

    def note(self, seconds: float, tokens: int) -> None:
        """Count a whole answer.

        :param tokens: that it had.
        """
        if tokens > 0:
            self._paces.append(seconds / tokens)

    def expect(self, tokens: int) -> float:
        """Return the seconds that an answer of that many tokens takes."""
        known = len(self._paces) >= LEAST_ANSWERS
        return tokens * (max(self._paces) if known else FIRST_PACE)


def fits_grace(expected: float, remaining: float) -> bool:
    """Return whether an answer that begins now likely ends before the host does.

    :param expected: seconds that the answer takes, 0 for a short one.
    :param remaining: seconds until the host ends.
    """
    return BEGIN_TIME + SPREAD * expected + MARGIN <= remaining
