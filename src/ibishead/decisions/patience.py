"""How long an answer to an order is waited for.

Orders go one after the other, so one that gets no answer holds all others up for as
long as it is waited for. The same order given again is harmless, since only one of the
two is accepted. So it is given again soon after the time in which this engine usually
answers.
"""

__all__ = ["OrderPatience"]

#: Seconds for which an answer is waited for at first and at most, and at least. The
#: engine stands on the same host and answers within milliseconds; a host that is slowed
#: down needs some times as long.
MOST = 0.15
LEAST = 0.03

#: How often the time of the slowest of the last answers is waited for, and the factor
#: by which that time fades with each quicker answer.
FACTOR = 4.0
FADE = 0.8


class OrderPatience:
    """Learns from answers how long the next one is worth waiting for.

    :ivar seconds: the present patience.
    """

    def __init__(self) -> None:
        self.seconds = MOST
        self._slowest = 0.0

    def note_answer(self, seconds: float) -> None:
        """Take in how long an answer took."""
        self._slowest = max(seconds, FADE * self._slowest)
        self.seconds = min(MOST, max(LEAST, FACTOR * self._slowest))

    def note_silence(self) -> None:
        """Take in that no answer came in time; the next may need longer."""
        self.seconds = min(MOST, 2 * self.seconds)
