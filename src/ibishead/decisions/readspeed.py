"""How fast one engine reads prompts, learned from its answers.

Engines differ in speed by orders of magnitude, and slow down or are replaced while they
serve. With too low a figure prompts wait for turns that an idle engine could give at
once; with too high a one answers pause behind prompts.
"""

import statistics
from collections import deque
from itertools import combinations

__all__ = ["FIRST_RATE", "ReadSpeed"]

#: Prompt tokens in a second before anything has been learned. A guess above an engine's
#: speed would make its answers pause.
FIRST_RATE = 20_000.0

#: Tokens in a second that no estimate exceeds. Reading costs less than a millisecond
#: for a common prompt then, and other delays hide it.
MOST_RATE = 1_000_000.0

#: Answers that an estimate rests on, at least and at most. More would follow an engine
#: that slows down for longer than the few seconds in which its answers already pause.
LEAST_SAMPLES = 8
MOST_SAMPLES = 32

#: Tokens by which two prompts differ at least to be compared. Delays that don't depend
#: on the length, of some milliseconds, would decide with less.
LEAST_DIFFERENCE = 200

#: Pairs of answers without which nothing is concluded, and answers between two
#: estimates, as each costs a comparison of all pairs.
LEAST_PAIRS = 16
LEARN_INTERVAL = 4


class ReadSpeed:
    """Estimates an engine's speed from prompts that it read one at a time.

    The time to the first event is a constant plus the tokens over the speed, and more
    or less where parts of the prompt had been read before or the network was slow. The
    median slope over all pairs of answers leaves the constant out and bears a quarter
    of such outliers.

    :ivar rate: prompt tokens in a second.
    """

    def __init__(self, rate: float = FIRST_RATE) -> None:
        self.rate = rate
        self._samples: deque[tuple[int, float]] = deque(maxlen=MOST_SAMPLES)
        self._count = 0

    def note(self, tokens: int, seconds: float) -> None:
        """Take in an answer whose prompt was the only one that the engine read.

        :param seconds: from the send to the first event.
        """
        self._samples.append((tokens, seconds))
        self._count += 1
        if self._count >= LEAST_SAMPLES and self._count % LEARN_INTERVAL == 0:
            self._learn()

    def _learn(self) -> None:
        slopes = [
            (slower - quicker) / (longer - shorter)
            for (shorter, quicker), (longer, slower) in combinations(
                sorted(self._samples), 2
            )
            if longer - shorter >= LEAST_DIFFERENCE
        ]
        if len(slopes) < LEAST_PAIRS:
            return
        slope = statistics.median(slopes)
        self.rate = MOST_RATE if slope * MOST_RATE <= 1.0 else 1.0 / slope
