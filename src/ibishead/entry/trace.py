"""What each stage decided about a request, and why, for `ibishead explain`."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from ibishead.ids import RequestId

__all__ = ["Step", "Trace", "TraceBook"]

#: Requests remembered; at five a second for each entry host this is half an hour.
MAX_TRACES = 10_000


class Step(msgspec.Struct, frozen=True):
    """One decision.

    :param at: seconds since the request came.
    """

    at: float
    stage: str
    decision: str
    reason: str


@dataclass
class Trace:
    """The decisions on one request so far.

    :param began: monotonic seconds.
    """

    request: RequestId
    began: float
    steps: list[Step] = field(default_factory=list)
    outcome: str = "in progress"

    def add(self, now: float, stage: str, decision: str, reason: str = "") -> None:
        """Note a decision made now."""
        self.steps.append(Step(round(now - self.began, 4), stage, decision, reason))


class TraceBook:
    """The traces of recent requests."""

    def __init__(self, limit: int = MAX_TRACES) -> None:
        self._limit = limit
        self._traces: OrderedDict[RequestId, Trace] = OrderedDict()

    def open(self, request: RequestId, now: float) -> Trace:
        """Begin the trace of a request."""
        trace = Trace(request, now)
        self._traces[request] = trace
        while len(self._traces) > self._limit:
            self._traces.popitem(last=False)
        return trace

    def find(self, request: RequestId) -> Trace | None:
        """Return a trace, or none."""
        return self._traces.get(request)
