"""Estimation of the rate at which an engine reads prompts.

Engines differ in speed by orders of magnitude, and slow down or are replaced during
operation. If the estimate is too low, prompts are queued although an idle engine could
read them immediately; if it is too high, running answers pause behind prompts.
"""

import statistics
from collections import deque
from itertools import combinations

__all__ = ["INITIAL_RATE", "ReadSpeed"]

#: Initial estimate in prompt tokens per second. An estimate above an engine's speed
#: makes its answers pause.
INITIAL_RATE = 20_000.0

#: Upper bound of estimates in tokens per second. At this rate a typical prompt is read
#: in less than a millisecond, which is hidden by other delays.
MAX_RATE = 1_000_000.0

#: Minimum and maximum number of answers for an estimate. When an engine slows down, a
#: larger sample would keep the old estimate for longer than the few seconds in which
#: its answers already pause.
MIN_SAMPLES = 8
MAX_SAMPLES = 32

#: Minimum difference in length of two prompts to be compared. With a smaller one,
#: delays of some milliseconds that do not depend on the length would dominate.
MIN_TOKEN_DIFFERENCE = 200

#: Minimum number of pairs for an estimate, and number of answers between two estimates,
#: since each estimate compares all pairs.
MIN_PAIRS = 16
ESTIMATE_INTERVAL = 4


class ReadSpeed:
    """Estimates an engine's read rate from prompts that it read one at a time.

    The time to the first event is a constant plus the number of tokens divided by the
    rate, with deviations where parts of the prompt were cached or the network was slow.
    The median slope over all pairs of answers (Theil-Sen estimator) eliminates the
    constant and tolerates a quarter of such outliers.

    :ivar rate: estimated prompt tokens per second.
    """

    def __init__(self, rate: float = INITIAL_RATE) -> None:
        self.rate = rate
        self._samples: deque[tuple[int, float]] = deque(maxlen=MAX_SAMPLES)
        self._count = 0

    def record(self, tokens: int, seconds: float) -> None:
        """Record an answer whose prompt was the only one that the engine was reading.

        :param tokens: prompt tokens.
        :param seconds: time from the send to the first event.
        """
        self._samples.append((tokens, seconds))
        self._count += 1
        if self._count >= MIN_SAMPLES and self._count % ESTIMATE_INTERVAL == 0:
            self._update_rate()

    def _update_rate(self) -> None:
        slopes = [
            (longer_time - shorter_time) / (longer - shorter)
            for (shorter, shorter_time), (longer, longer_time) in combinations(
                sorted(self._samples), 2
            )
            if longer - shorter >= MIN_TOKEN_DIFFERENCE
        ]
        if len(slopes) < MIN_PAIRS:
            return
        slope = statistics.median(slopes)
        self.rate = MAX_RATE if slope * MAX_RATE <= 1.0 else 1.0 / slope
