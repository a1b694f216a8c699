"""Adaptive timeout for the answers to orders sent to an engine.

Orders are sent one at a time, so an unanswered order blocks the others until it times
out. Repeating an order is harmless, since only one of the two is accepted. An order is
therefore repeated soon after the time in which the engine usually answers.
"""

__all__ = ["OrderTimeout"]

#: Initial and maximum timeout, and minimum timeout, in seconds. The engine runs on the
#: same host and answers within milliseconds; an overloaded host takes several times as
#: long.
MAX_TIMEOUT_SECONDS = 0.15
MIN_TIMEOUT_SECONDS = 0.03

#: Timeout as a multiple of the slowest recent answer time, and the factor by which that
#: time decays with each faster answer.
TIMEOUT_FACTOR = 4.0
DECAY_FACTOR = 0.8


class OrderTimeout:
    """Derives the timeout of the next order from the times of recent answers.

    :ivar seconds: current timeout.
    """

    def __init__(self) -> None:
        self.seconds = MAX_TIMEOUT_SECONDS
        self._slowest = 0.0

    def record_answer(self, seconds: float) -> None:
        """Record how long an answer took, in seconds."""
        self._slowest = max(seconds, DECAY_FACTOR * self._slowest)
        self.seconds = min(
            MAX_TIMEOUT_SECONDS,
            max(MIN_TIMEOUT_SECONDS, TIMEOUT_FACTOR * self._slowest),
        )

    def record_timeout(self) -> None:
        """Record a timeout; the next answer may need longer."""
        self.seconds = min(MAX_TIMEOUT_SECONDS, 2 * self.seconds)
