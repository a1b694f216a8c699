"""Estimation of the length of an answer before it is written.

Answers that look alike differ in length by orders of magnitude, and their lengths are
heavy-tailed. All learning is therefore done on logarithms. A caller may give a hint,
which is right at its median and often far off; how far to follow it is learned as well.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["AnswerContext", "AnswerLengths", "LengthEstimate"]

#: Lengths and hints beyond this are clamped to it. No engine of any deployment holds a
#: request of that size.
MAX_TOKENS = 1_000_000

#: Maximum logarithm of a hint where there is no history.
MAX_UNCONFIRMED = math.log(4096)

#: Number of histories that are kept. One takes about 0.3 kB, and a gateway has 160 MB.
MAX_HISTORIES = 8192

#: Answers after which a history counts as much as the more general ones before it.
PRIOR_ANSWERS = 6.0

#: Minimum weight of the newest answer in a history.
MIN_LEARNING_RATE = 0.03

#: Bound of one deviation in log space. It limits how far one answer moves a history.
MAX_DEVIATION = 3.0

#: Differences in log space between hint and history that delimit the classes in which
#: trust in hints is learned. Hints that are far off are mostly far from the history.
HINT_CLASSES = (0.5, 1.2)

#: Prior of the weight of a hint, and the answers after which the learned one counts as
#: much.
INITIAL_HINT_WEIGHT = 0.5
HINT_PRIOR_ANSWERS = 10.0

#: Share of answers that are not longer than the upper quantile, and the step in log
#: space by which it adapts.
UPPER_SHARE = 0.9
UPPER_STEP = 0.1

#: Initial logarithm of the ratio of the upper quantile to the median, that of a
#: log-normal distribution with a deviation of 0.8.
INITIAL_UPPER = 1.0

#: Initial ratio of the mean to the median, of the same distribution.
INITIAL_MEAN_RATIO = 1.35


@dataclass(frozen=True)
class LengthEstimate:
    """Estimated length of an answer in tokens.

    :param mean: expected value, 0 if nothing is known.
    :param upper: length that 9 of 10 answers do not exceed.
    """

    mean: int = 0
    upper: int = 0


@dataclass(frozen=True)
class AnswerContext:
    """What is known of a request before its answer.

    :param subject: the last shared part of its prompt; empty if it has none.
    :param hint: the caller's estimate in tokens, or ``None``.
    :param limit: maximum length in tokens, 0 for none.
    """

    route: str
    customer: str = ""
    subject: str = ""
    adapter: str = ""
    hint: int | None = None
    limit: int = 0


@dataclass
class _History:
    """Moving average of a logarithm or of a deviation from one."""

    count: int = 0
    mean: float = 0.0

    def record(self, value: float) -> None:
        self.count += 1
        rate = max(1.0 / self.count, MIN_LEARNING_RATE)
        self.mean += rate * (value - self.mean)


@dataclass
class _HintTrust:
    """Regression of an answer's deviation from its history on that of its hint."""

    count: int = 0
    product: float = 0.0
    square: float = 0.0

    def record(self, hinted: float, actual: float) -> None:
        self.count += 1
        rate = max(1.0 / self.count, MIN_LEARNING_RATE)
        self.product += rate * (hinted * actual - self.product)
        self.square += rate * (hinted * hinted - self.square)

    @property
    def weight(self) -> float:
        """Share of the difference between hint and history to follow, 0 to 1."""
        if self.square < 1e-9:
            return INITIAL_HINT_WEIGHT
        learned = min(1.0, max(0.0, self.product / self.square))
        share = self.count / (self.count + HINT_PRIOR_ANSWERS)
        return share * learned + (1.0 - share) * INITIAL_HINT_WEIGHT


@dataclass
class _RouteHistory(_History):
    """History of a route, with the errors of its estimates.

    :ivar mean_ratio: mean ratio of a length to its estimated median.
    :ivar upper: upper quantile of the logarithm of that ratio.
    """

    trust: tuple[_HintTrust, ...] = field(
        default_factory=lambda: tuple(
            _HintTrust() for _ in range(len(HINT_CLASSES) + 1)
        )
    )
    mean_ratio: float = INITIAL_MEAN_RATIO
    upper: float = INITIAL_UPPER


class AnswerLengths:
    """Learns the lengths of answers by route, customer, subject and adapter.

    The logarithm of a length is the mean of its route plus a deviation for each of the
    others, which counts the more the more answers it is based on.

    :param capacity: maximum number of histories; the least recently used are removed.
    :param use_hints: whether hints are used.
    :param use_histories: whether histories are used where there is a hint.
    """

    def __init__(
        self,
        capacity: int = MAX_HISTORIES,
        *,
        use_hints: bool = True,
        use_histories: bool = True,
    ) -> None:
        self._capacity = max(8, capacity)
        self._use_hints = use_hints
        self._use_histories = use_histories
        self._histories: OrderedDict[tuple[str, ...], _History] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histories)

    def estimate(self, context: AnswerContext) -> LengthEstimate:
        """Return the expected length of an answer."""
        route = self._histories.get(_route_key(context))
        if not isinstance(route, _RouteHistory) or not route.count:
            route = None
        median = self._estimate_median(context, route)
        if median is None:
            return LengthEstimate()
        ratio = route.mean_ratio if route else INITIAL_MEAN_RATIO
        upper = route.upper if route else INITIAL_UPPER
        limit = context.limit if 0 < context.limit <= MAX_TOKENS else MAX_TOKENS
        mean = _clamp(math.exp(median) * ratio, limit)
        return LengthEstimate(mean, max(mean, _clamp(math.exp(median + upper), limit)))

    def record(self, context: AnswerContext, tokens: int, *, complete: bool) -> None:
        """Record the length of an answer.

        :param tokens: tokens received; other than positive numbers are ignored.
        :param complete: false if the answer was cut, so that its length is at least
            this. It can only raise estimates that are lower.
        """
        if tokens <= 0:
            return
        actual = math.log(min(tokens, MAX_TOKENS))
        route = self._find_route(context)
        median = self._estimate_median(context, route if route.count else None)
        if not complete and (median is None or actual <= median):
            return
        if median is not None:
            _record_error(route, actual - median)
        hint = _read_hint(context)
        if hint is not None and route.count:
            base = self._estimate_history(context, route)
            difference = _bound(hint - base)
            _find_trust(route, difference).record(difference, actual - base)
        deviation = _bound(actual - route.mean) if route.count else 0.0
        route.record(route.mean + deviation if route.count else actual)
        for key in _list_keys(context):
            history = self._touch(key)
            shrunk = _shrink(history)
            history.record(_bound(deviation))
            deviation -= shrunk

    def _estimate_median(
        self, context: AnswerContext, route: _RouteHistory | None
    ) -> float | None:
        """Return the logarithm of the median, or ``None`` if nothing is known."""
        hint = _read_hint(context) if self._use_hints else None
        if route is None or not self._use_histories:
            # A hint that nothing confirms must not make a request look too large for
            # every engine: it would be refused, and its length never learned.
            return None if hint is None else min(hint, MAX_UNCONFIRMED)
        base = self._estimate_history(context, route)
        if hint is None:
            return base
        difference = _bound(hint - base)
        return base + _find_trust(route, difference).weight * difference

    def _estimate_history(self, context: AnswerContext, route: _RouteHistory) -> float:
        found = (self._histories.get(key) for key in _list_keys(context))
        return route.mean + sum(_shrink(history) for history in found if history)

    def _find_route(self, context: AnswerContext) -> _RouteHistory:
        key = _route_key(context)
        found = self._histories.get(key)
        if not isinstance(found, _RouteHistory):
            found = self._histories[key] = _RouteHistory()
            self._remove_excess()
        self._histories.move_to_end(key)
        return found

    def _touch(self, key: tuple[str, ...]) -> _History:
        found = self._histories.get(key)
        if found is None:
            found = self._histories[key] = _History()
            self._remove_excess()
        self._histories.move_to_end(key)
        return found

    def _remove_excess(self) -> None:
        while len(self._histories) > self._capacity:
            self._histories.popitem(last=False)


def _route_key(context: AnswerContext) -> tuple[str, ...]:
    return ("route", context.route)


def _list_keys(context: AnswerContext) -> Sequence[tuple[str, ...]]:
    names = (
        ("customer", context.customer),
        ("subject", context.subject),
        ("adapter", context.adapter),
    )
    return [(kind, context.route, name) for kind, name in names if name]


def _read_hint(context: AnswerContext) -> float | None:
    hint = context.hint
    if hint is None or not hint > 0:
        return None
    return math.log(min(hint, MAX_TOKENS))


def _find_trust(route: _RouteHistory, difference: float) -> _HintTrust:
    position = sum(abs(difference) >= bound for bound in HINT_CLASSES)
    return route.trust[position]


def _record_error(route: _RouteHistory, error: float) -> None:
    error = _bound(error)
    route.mean_ratio += MIN_LEARNING_RATE * (math.exp(error) - route.mean_ratio)
    # The quantile is where rises and falls balance.
    route.upper += UPPER_STEP * (UPPER_SHARE - (error <= route.upper))
    route.upper = min(MAX_DEVIATION, max(0.0, route.upper))


def _shrink(history: _History) -> float:
    return history.mean * history.count / (history.count + PRIOR_ANSWERS)


def _bound(deviation: float) -> float:
    return min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))


def _clamp(tokens: float, limit: int) -> int:
    return max(1, min(limit, round(min(tokens, MAX_TOKENS))))
