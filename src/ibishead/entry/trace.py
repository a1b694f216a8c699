"""Record of each stage's decisions on a request, for `ibishead explain`."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from ibishead.ids import RequestId

__all__ = ["Step", "Trace", "TraceStore"]

#: Maximum number of traces stored. At five requests a second per entry host they cover
#: half an hour.
MAX_TRACES = 10_000


class Step(msgspec.Struct, frozen=True):
    """One decision on a request.

    :param at: seconds since the request was received.
    """

    at: float
    stage: str
    decision: str
    reason: str


@dataclass
class Trace:
    """The decisions on one request so far.

    :param received: when the request was received, in monotonic seconds.
    """

    request: RequestId
    received: float
    steps: list[Step] = field(default_factory=list)
    outcome: str = "in progress"

    def add(self, now: float, stage: str, decision: str, reason: str = "") -> None:
        """Append a decision made at ``now``, in monotonic seconds."""
        self.steps.append(Step(round(now - self.received, 4), stage, decision, reason))


class TraceStore:
    """The traces of the most recent requests.

    :param limit: number of traces stored before the oldest is evicted.
    """

    def __init__(self, limit: int = MAX_TRACES) -> None:
        self._limit = limit
        self._traces: OrderedDict[RequestId, Trace] = OrderedDict()

    def open(self, request: RequestId, now: float) -> Trace:
        """Store a new trace, evicting the oldest ones beyond the limit."""
        trace = Trace(request, now)
        self._traces[request] = trace
        while len(self._traces) > self._limit:
            self._traces.popitem(last=False)
        return trace

    def find(self, request: RequestId) -> Trace | None:
        """Return the trace of a request, or ``None``."""
        return self._traces.get(request)
