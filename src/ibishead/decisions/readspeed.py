"""Estimation of the rate at which an engine reads prompts.

Engines differ in speed by orders of magnitude, and slow down or are replaced during
operation. If the estimate is too low, prompts are queued although an idle engine could
read them immediately; if it is too high, running answers pause behind prompts.
"""

import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

__all__ = ["INITIAL_RATE", "MAX_RATE", "ReadSpeed", "find_weighted_quantile"]

#: Initial estimate in prompt tokens per second. An estimate above an engine's speed
#: makes its answers pause.
INITIAL_RATE = 20_000.0

#: Bounds of estimates in tokens per second. At the upper one a typical prompt is read
#: in less than a millisecond, which is hidden by other delays; at the lower one no
#: prompt is read within an objective.
MIN_RATE = 100.0
MAX_RATE = 1_000_000.0

#: Minimum and maximum number of answers for an estimate. A larger sample would keep the
#: old estimate for longer when an engine gradually slows down.
MIN_SAMPLES = 8
MAX_SAMPLES = 32

#: Minimum difference in length of two prompts to be compared. With a smaller one,
#: delays of some milliseconds that do not depend on the length would dominate.
MIN_TOKEN_DIFFERENCE = 200

#: Minimum number of pairs for an estimate without queued prompts, minimum tokens of
#: queued prompts for one without pairs, and number of answers between two estimates,
#: since each estimate compares all pairs.
MIN_PAIRS = 16
MIN_QUEUED_TOKENS = 4_000
ESTIMATE_INTERVAL = 4

#: Minimum tokens of a sample whose time, less the constant part, shows the rate by
#: itself. In shorter ones the error of the constant part dominates.
MIN_DIRECT_TOKENS = 1_500

#: Weight of the newest estimate; the rest is that of the one before. Without it, the
#: slowest of six simulated recoveries took 10.7 s at 5 prompts a second, with it 2.8 s.
ESTIMATE_WEIGHT = 0.7

#: A change of speed: the median of the newest samples, at least this many over at least
#: this time, takes longer or shorter than expected by this factor. A host that is
#: slowed down for 0.6 s affects fewer samples. The time of samples with fewer tokens is
#: mostly the constant part.
CHANGE_SAMPLES = 5
MIN_CHANGE_TOKENS = 500
CHANGE_SECONDS = 1.0
CHANGE_RATIO = 1.8

#: Initial and maximum estimate of the constant part of the time to a first event: the
#: network and the steps of the first event.
INITIAL_CONSTANT = 0.05
MAX_CONSTANT = 1.0

#: Share of the samples with a shorter constant part than the estimate. Samples whose
#: prompts waited inside the engine show too long a part and must not raise it.
CONSTANT_QUANTILE = 0.25

#: Bounds of a valid sample. Values arrive over links and are not trusted.
MAX_TOKENS = 10_000_000
MAX_SECONDS = 60.0

#: Half-life in seconds of the distance between an estimate below `INITIAL_RATE` and
#: that rate while no sample shows a rate. An engine that is passed over for a wrong
#: estimate reads no prompts that could correct it. An estimate above that rate falls
#: likewise once it is based on none of the samples: prompts of equal length, each alone
#: at the engine, show no rate and would never correct it.
RECOVERY_HALF_LIFE_SECONDS = 20.0


@dataclass(frozen=True)
class _Sample:
    """Prompts that the engine read one after the other.

    :param at: monotonic seconds of the last prompt's first event.
    :param queued: the time contains no constant part, as all prompts were queued behind
        another one.
    """

    at: float
    tokens: int
    seconds: float
    queued: bool


class ReadSpeed:
    """Estimates an engine's read rate from prompts that it read without a pause.

    The time to the first event of a prompt at an idle engine is a constant plus the
    number of tokens divided by the rate, and so is the time of several prompts that
    queue behind each other. The slope over all pairs of such samples (Theil-Sen
    estimator) eliminates the constant. Of prompts that were all queued behind another
    one, the time has no constant part and shows the rate directly. The median of both
    kinds of slopes, weighted by tokens, tolerates a quarter of outliers, such as
    prompts with cached parts or events that were late.

    A change of speed by a large factor replaces the samples at once.

    :ivar rate: estimated prompt tokens per second.
    :ivar constant: estimated constant part of the time to the first event in seconds.
    """

    def __init__(self, rate: float = INITIAL_RATE) -> None:
        self.rate = rate
        self.constant = INITIAL_CONSTANT
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self._count = 0
        self._estimated_count = 0
        self._relaxed_at = 0.0

    def record(
        self,
        tokens: int,
        seconds: float,
        now: float = 0.0,
        queued: bool = False,
        answers: int = 1,
    ) -> None:
        """Record prompts that the engine read one after the other.

        :param tokens: total tokens of the prompts.
        :param seconds: time from the send of the first prompt to the first event of the
            last one.
        :param now: monotonic seconds.
        :param queued: all prompts were queued behind another one, and the time is from
            the first event of that one.
        :param answers: number of prompts.
        """
        if not (0 < tokens <= MAX_TOKENS and 0 <= seconds <= MAX_SECONDS):
            return
        self._samples.append(_Sample(now, tokens, seconds, queued))
        self._count += answers
        if self._estimated_count and self._adapt_to_change(now):
            return
        if (
            self._count >= MIN_SAMPLES
            and self._count - self._estimated_count >= ESTIMATE_INTERVAL
        ):
            self._update_rate(now)

    def relax(self, now: float) -> None:
        """Adjust an estimate towards the initial one if no sample shows a rate.

        :param now: monotonic seconds.
        """
        outdated = self._count - self._estimated_count >= MAX_SAMPLES
        if self.rate < INITIAL_RATE or outdated:
            passed = max(0.0, now - self._relaxed_at)
            remaining = 0.5 ** (passed / RECOVERY_HALF_LIFE_SECONDS)
            self.rate = INITIAL_RATE * (self.rate / INITIAL_RATE) ** remaining
        self._relaxed_at = now

    def _adapt_to_change(self, now: float) -> bool:
        newest: list[_Sample] = []
        for sample in reversed(self._samples):
            if sample.tokens < MIN_CHANGE_TOKENS:
                continue
            newest.append(sample)
            if len(newest) >= CHANGE_SAMPLES and now - sample.at >= CHANGE_SECONDS:
                break
        else:
            return False
        ratio = statistics.median(s.seconds / self._expect(s) for s in newest)
        if 1 / CHANGE_RATIO < ratio < CHANGE_RATIO:
            return False
        # The samples are too few for a new estimate, but the old one scaled by them is
        # closer than the old one.
        self._set_rate(self.rate / max(ratio, MIN_RATE / MAX_RATE), now)
        self.constant = min(MAX_CONSTANT, self.constant * ratio)
        self._samples = deque(reversed(newest), maxlen=MAX_SAMPLES)
        return True

    def _expect(self, sample: _Sample) -> float:
        constant = 0.0 if sample.queued else self.constant
        return constant + sample.tokens / self.rate

    def _update_rate(self, now: float) -> None:
        begun = sorted(
            (sample.tokens, sample.seconds)
            for sample in self._samples
            if not sample.queued
        )
        pairs = [
            ((longer_time - shorter_time) / (longer - shorter), longer - shorter)
            for (shorter, shorter_time), (longer, longer_time) in combinations(begun, 2)
            if longer - shorter >= MIN_TOKEN_DIFFERENCE
        ]
        queued = [(s.seconds / s.tokens, s.tokens) for s in self._samples if s.queued]
        queued_tokens = sum(tokens for _, tokens in queued)
        if len(pairs) < MIN_PAIRS and queued_tokens < MIN_QUEUED_TOKENS:
            return
        direct = [
            (max(0.0, seconds - self.constant) / tokens, tokens)
            for tokens, seconds in begun
            if tokens >= MIN_DIRECT_TOKENS
        ]
        # A sample is part of several pairs; without the factor, the pairs would
        # outweigh the other slopes by their number.
        factor = 2.0 / max(1, len(begun) - 1)
        slope = find_weighted_quantile(
            [(slope, difference * factor) for slope, difference in pairs]
            + [(slope, float(tokens)) for slope, tokens in queued + direct],
            0.5,
        )
        rate = 1.0 / max(1.0 / MAX_RATE, slope)
        if self._estimated_count:
            rate = self.rate * (rate / self.rate) ** ESTIMATE_WEIGHT
        self._set_rate(rate, now)
        if begun:
            rests = [(max(0.0, time - size / self.rate), 1.0) for size, time in begun]
            constant = find_weighted_quantile(rests, CONSTANT_QUANTILE)
            self.constant = min(MAX_CONSTANT, constant)

    def _set_rate(self, rate: float, now: float) -> None:
        self.rate = min(MAX_RATE, max(MIN_RATE, rate))
        self._estimated_count, self._relaxed_at = self._count, now


def find_weighted_quantile(
    values: Iterable[tuple[float, float]], share: float
) -> float:
    """Return the value below which a share of the total weight lies.

    :param values: pairs of value and weight, at least one.
    """
    ordered = sorted(values)
    remaining = share * sum(weight for _, weight in ordered)
    for value, weight in ordered:
        remaining -= weight
        if remaining <= 0:
            return value
    return ordered[-1][0]
