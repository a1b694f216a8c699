"""Which requests a host that is about to stop still takes.

Load: a planned stop while answers run for seconds. Harm: an answer that begins late in
the grace is cut at its end, and its request may not be sent again. Refused at once, as
not run, it is served whole by another host.
"""

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

#: Seconds of one token before any answer was seen, and the share by which the slowest
#: pace fades with each further answer.
FIRST_PACE = 0.02
PACE_FADE = 0.01


class AnswerPace:
    """The most seconds that answers take for each token that they may have.

    Failure: most answers end long before their last allowed token. By their mean, one
    that uses all of them seems to take half its time, and is cut.
    """

    def __init__(self) -> None:
        self._pace = FIRST_PACE

    def note(self, seconds: float, tokens: int) -> None:
        """Count a whole answer.

        :param tokens: most tokens that it could have had.
        """
        if tokens > 0:
            self._pace = max(seconds / tokens, self._pace * (1 - PACE_FADE))

    def expect(self, tokens: int) -> float:
        """Return the seconds that an answer of that many tokens takes."""
        return tokens * self._pace


def fits_grace(expected: float, remaining: float) -> bool:
    """Return whether an answer that begins now likely ends before the host does.

    :param expected: seconds that the answer takes, 0 for a short one.
    :param remaining: seconds until the host ends.
    """
    return BEGIN_TIME + SPREAD * expected + MARGIN <= remaining
