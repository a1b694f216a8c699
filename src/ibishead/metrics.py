"""Metrics of a program, exported in the text format of Prometheus.

Durations are recorded as histograms by team and class. A program has one `Metrics`.
"""

import bisect
import itertools
from collections.abc import Sequence
from enum import Enum

import aioprometheus
from aioprometheus.histogram import Histogram

from ibishead.errors import ErrorCode
from ibishead.headers import Headers
from ibishead.ids import ClassName, CustomerId, TeamId
from ibishead.messages import Outcome

__all__ = ["Measure", "Metrics"]

#: Upper bounds of the buckets for durations, which range from the time between two
#: tokens to the deadline of a request.
BUCKET_BOUNDS_SECONDS = (
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

#: Upper bounds of the buckets for the used share of a batch, from 0 to 1.
FILL_BUCKET_BOUNDS = (0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0)

#: Number of pairs of team and class with metrics of their own; a deployment has tens.
#: All further pairs share one, so that values sent by callers can't exhaust memory.
MAX_LABEL_PAIRS = 1000

#: Number of customers with counters of their own; all others share one.
MAX_CUSTOMERS = 200
_OVERFLOW_LABEL = "other"


class Measure(Enum):
    """The histograms that exist for each team and class; values are help texts."""

    WAIT = "seconds that a request waited for its turn"
    QUOTA_WAIT = "seconds that a request waited for its quota to be charged"
    LOAD_STALL = "seconds that a request waited for its adapter"
    FIRST_TOKEN = "seconds from a request to the first byte of its answer"
    BETWEEN_TOKENS = "seconds between two pieces of an answer"
    BATCH_FILL = "share of the target's batch in use when a request began to run"


class _Buckets(Histogram):
    """A histogram that updates only one bucket for each observation.

    The library's histogram updates all buckets above the value on every observation.
    This one computes the cumulative counts when the metrics are read, which happens
    every few seconds, whereas observations are made for every token.
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
    """Histograms, counters and gauges of one program.

    :param program: the program's part of every metric name, such as ``entry``.
    """

    def __init__(self, program: str) -> None:
        self._registry = aioprometheus.Registry()
        self._program = program
        self._histograms = {
            measure: aioprometheus.Histogram(
                self._full_name(_METRIC_NAMES[measure]),
                measure.value,
                registry=self._registry,
                buckets=_BUCKET_BOUNDS[measure],
            )
            for measure in Measure
        }
        self._buckets: dict[tuple[Measure, TeamId, ClassName], _Buckets] = {}
        self._label_pairs: set[tuple[TeamId, ClassName]] = set()
        self._refusals = self._make_counter("refusals_total", "refusals by code")
        self._requests = self._make_counter("requests_total", "requests by outcome")
        self._customers: set[CustomerId] = set()
        self._customer_requests = self._make_counter(
            "customer_requests_total", "requests by customer and outcome"
        )
        self._events = self._make_counter(
            "events_total", "events of the program by name"
        )
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def observe(
        self, measure: Measure, team: TeamId, request_class: ClassName, value: float
    ) -> None:
        """Add one observation; fast enough to be called for every token.

        :param value: seconds, or a share from 0 to 1 for `Measure.BATCH_FILL`.
        """
        buckets = self._buckets.get((measure, team, request_class))
        if buckets is None:
            buckets = self._get_or_create_buckets(measure, team, request_class)
        buckets.observe(value)

    def count_refusal(self, code: ErrorCode) -> None:
        """Count a refused request by its error code."""
        self._refusals.inc({"code": code.value})

    def count_request(
        self, team: TeamId, request_class: ClassName, outcome: Outcome
    ) -> None:
        """Count a request that has ended, by its outcome."""
        team, request_class = self._limit_pair(team, request_class)
        self._requests.inc(
            {"team": team, "class": request_class, "outcome": outcome.value}
        )

    def count_customer(self, customer: CustomerId, outcome: str) -> None:
        """Count a request of a customer that has ended.

        :param outcome: an error code, or a constant of the program.
        """
        if customer not in self._customers:
            if len(self._customers) >= MAX_CUSTOMERS:
                customer = CustomerId(_OVERFLOW_LABEL)
            self._customers.add(customer)
        self._customer_requests.inc({"customer": customer, "outcome": outcome})

    def count_event(self, event: str) -> None:
        """Count an event.

        :param event: the name of the event, a constant of the program.
        """
        self._events.inc({"event": event})

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value, such as the number of running requests.

        :param name: a constant of the program that is valid in a metric name.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                self._full_name(name), name.replace("_", " "), registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self, accept: Sequence[str] = ()) -> tuple[Headers, bytes]:
        """Return the headers and the body of a response with all metrics.

        :param accept: the values of the Accept header of the request.
        """
        for buckets in self._buckets.values():
            buckets.accumulate()
        body, headers = aioprometheus.render(self._registry, accept)
        return tuple((k.lower(), v) for k, v in headers.items()), body

    def _get_or_create_buckets(
        self, measure: Measure, team: TeamId, request_class: ClassName
    ) -> _Buckets:
        # The library encodes the labels as JSON on each observation, so the histogram
        # for the labels is created once and stored
        pair = self._limit_pair(team, request_class)
        buckets = self._buckets.get((measure, *pair))
        if buckets is None:
            buckets = _Buckets(*_BUCKET_BOUNDS[measure])
            labels = {"team": pair[0], "class": pair[1]}
            self._histograms[measure].set_value(labels, buckets)
            self._buckets[measure, *pair] = buckets
        return buckets

    def _limit_pair(
        self, team: TeamId, request_class: ClassName
    ) -> tuple[TeamId, ClassName]:
        pair = (team, request_class)
        if pair not in self._label_pairs:
            if len(self._label_pairs) >= MAX_LABEL_PAIRS:
                return TeamId(_OVERFLOW_LABEL), ClassName(_OVERFLOW_LABEL)
            self._label_pairs.add(pair)
        return pair

    def _make_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            self._full_name(name), help_text, registry=self._registry
        )

    def _full_name(self, name: str) -> str:
        return f"ibishead_{self._program}_{name}"


_METRIC_NAMES = {
    Measure.WAIT: "wait_seconds",
    Measure.QUOTA_WAIT: "quota_wait_seconds",
    Measure.LOAD_STALL: "load_stall_seconds",
    Measure.FIRST_TOKEN: "first_token_seconds",
    Measure.BETWEEN_TOKENS: "between_tokens_seconds",
    Measure.BATCH_FILL: "batch_fill_ratio",
}
_BUCKET_BOUNDS = {
    measure: FILL_BUCKET_BOUNDS
    if measure is Measure.BATCH_FILL
    else BUCKET_BOUNDS_SECONDS
    for measure in Measure
}
