"""Metrics of a program, shown to the platform in Prometheus' text format.

Times are histograms for each team and class. A program holds one `Metrics`.
"""

import bisect
import itertools
from collections.abc import Sequence
from enum import Enum

import aioprometheus
from aioprometheus.histogram import Histogram

from ibishead.errors import ErrorCode
from ibishead.headers import Headers
from ibishead.ids import ClassName, TeamId
from ibishead.messages import Outcome

__all__ = ["Measure", "Metrics"]

#: Upper bounds in seconds, from a token's gap to a deadline.
SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)

#: Upper bounds of how full a batch ran, from 0 to 1.
FILL_BUCKETS = (0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0)

#: Pairs of team and class that are told apart; a fleet has tens. The rest share one
#: pair, so that what callers send can't fill the memory.
MAX_PAIRS = 1000
_OTHER = "other"


class Measure(Enum):
    """What is measured for each team and class, with its help text."""

    WAIT = "seconds that a request waited for its turn"
    LOAD_STALL = "seconds that a request waited for its adapter"
    FIRST_TOKEN = "seconds from a request to the first byte of its answer"
    BETWEEN_TOKENS = "seconds between two pieces of an answer"
    BATCH_FILL = "share of the target's batch in use when a request began to run"


class _Buckets(Histogram):
    """The library's histogram, with one bucket touched for each observation.

    The library adds to every bucket above a value at once; here that is done when
    somebody reads, which is seconds apart rather than tokens.
    """

    def __init__(self, *bounds: float) -> None:
        super().__init__(*bounds)
        self._bounds = list(self.buckets)
        self._counts = [0] * len(self._bounds)

    def observe(self, value: float) -> None:
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self.sum += value
        self.observations += 1

    def accumulate(self) -> None:
        totals = itertools.accumulate(self._counts)
        self.buckets.update(zip(self._bounds, totals, strict=True))


class Metrics:
    """Histograms and counters of one program.

    :param program: the first part of every name, such as ``entry``.
    """

    def __init__(self, program: str) -> None:
        self._registry = aioprometheus.Registry()
        self._program = program
        self._histograms = {
            measure: aioprometheus.Histogram(
                self._name(_NAMES[measure]),
                measure.value,
                registry=self._registry,
                buckets=_BUCKETS[measure],
            )
            for measure in Measure
        }
        self._buckets: dict[tuple[Measure, TeamId, ClassName], _Buckets] = {}
        self._pairs: set[tuple[TeamId, ClassName]] = set()
        self._refusals = self._count("refusals_total", "refusals by code")
        self._requests = self._count("requests_total", "requests by outcome")
        self._events = self._count("events_total", "events of the program by name")
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def observe(
        self, measure: Measure, team: TeamId, request_class: ClassName, value: float
    ) -> None:
        """Add one observation; cheap enough for every token."""
        buckets = self._buckets.get((measure, team, request_class))
        if buckets is None:
            buckets = self._find_buckets(measure, team, request_class)
        buckets.observe(value)

    def count_refusal(self, code: ErrorCode) -> None:
        """Count a refusal by its code."""
        self._refusals.inc({"code": code.value})

    def count_request(
        self, team: TeamId, request_class: ClassName, outcome: Outcome
    ) -> None:
        """Count a request that has ended."""
        team, request_class = self._bound_pair(team, request_class)
        self._requests.inc(
            {"team": team, "class": request_class, "outcome": outcome.value}
        )

    def count_event(self, event: str) -> None:
        """Count an event by its name, a constant of the program."""
        self._events.inc({"event": event})

    def set_gauge(self, name: str, value: float) -> None:
        """Show a present value, such as running requests.

        :param name: a constant of the program, fit for a metric's name.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                self._name(name), name.replace("_", " "), registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self, accept: Sequence[str] = ()) -> tuple[Headers, bytes]:
        """Return headers and body for whoever scrapes.

        :param accept: values of the scraper's Accept header.
        """
        for buckets in self._buckets.values():
            buckets.accumulate()
        body, headers = aioprometheus.render(self._registry, accept)
        return tuple((k.lower(), v) for k, v in headers.items()), body

    def _find_buckets(
        self, measure: Measure, team: TeamId, request_class: ClassName
    ) -> _Buckets:
        # The library encodes the labels as JSON at each observation; the histogram
        # behind them is looked up once and kept
        bound = self._bound_pair(team, request_class)
        found = self._buckets.get((measure, *bound))
        if found is None:
            found = _Buckets(*_BUCKETS[measure])
            labels = {"team": bound[0], "class": bound[1]}
            self._histograms[measure].set_value(labels, found)
            self._buckets[measure, *bound] = found
        return found

    def _bound_pair(
        self, team: TeamId, request_class: ClassName
    ) -> tuple[TeamId, ClassName]:
        pair = (team, request_class)
        if pair not in self._pairs:
            if len(self._pairs) >= MAX_PAIRS:
                return TeamId(_OTHER), ClassName(_OTHER)
            self._pairs.add(pair)
        return pair

    def _count(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(self._name(name), text, registry=self._registry)

    def _name(self, name: str) -> str:
        return f"ibishead_{self._program}_{name}"


_NAMES = {
    Measure.WAIT: "wait_seconds",
    Measure.LOAD_STALL: "load_stall_seconds",
    Measure.FIRST_TOKEN: "first_token_seconds",
    Measure.BETWEEN_TOKENS: "between_tokens_seconds",
    Measure.BATCH_FILL: "batch_fill_ratio",
}
_BUCKETS = {
    measure: FILL_BUCKETS if measure is Measure.BATCH_FILL else SECONDS_BUCKETS
    for measure in Measure
}
