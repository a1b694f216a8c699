"""When a gateway closes new connections unread, because it can't serve more callers.

The event loop takes every request one step further in each iteration. The time from
the accept of a connection to the first read from it therefore shows, before any answer,
how long the loop will take for the other steps. Time in which a request waits for a
target or an engine, or streams, is not part of it.
"""

import heapq
import itertools
import math
from collections import deque
from dataclasses import dataclass

__all__ = ["ConnectionShedder", "OwnWork"]

#: Time constants in seconds of the moving averages, while the value rises and while it
#: falls. Each connection that is accepted too late adds to what waits already.
RISING_SECONDS = 0.15
FALLING_SECONDS = 0.5

#: Average lateness of the event loop in seconds from which the processor is overloaded.
#: A core that is stopped for parts of each tenth of a second stays below it.
MAX_LATENESS_SECONDS = 0.3

#: Share of the link's capacity from which the link is overloaded.
MAX_LINK_SHARE = 0.8

#: Seconds without an accepted connection after which one is accepted in any case.
MAX_PAUSE_SECONDS = 0.5

#: Share of the time that callers have in which the gateway's own work is to be done.
#: The rest is for the target, and for errors of the measured pace.
WORK_SHARE = 0.4

#: Minimum and maximum of that time in seconds. Below the minimum, a single pause of a
#: throttled core would count; callers with long deadlines await a first event earlier.
MIN_WORK_SECONDS = 0.3
MAX_WORK_SECONDS = 1.0

#: Seconds that callers have before any deadline is known.
DEFAULT_CALLER_SECONDS = 2.0

#: Number of requests over which the deadlines of callers are averaged.
DEADLINE_REQUESTS = 50

#: Requests that may always be in progress. With fewer, a core that is stopped for parts
#: of each tenth of a second would have nothing to do when it runs.
MIN_REQUESTS = 12

#: Requests in progress that are accepted before a pace is measured, so that a burst of
#: 100 connections is. Counts as one measurement.
INITIAL_REQUESTS = 128

#: Time constant in seconds of the measured pace.
PACE_SECONDS = 0.5

#: Time from the accept of a connection to its answer, as a multiple of the time to the
#: first read. Each iteration of the loop takes every request one step further: about
#: four to the first read, and eight more.
ANSWER_FACTOR = 3.0

#: Multiple of the time to the first read for which a request counts after that read. It
#: is above the expected 2; one that takes longer waits for something else.
COUNTED_FACTOR = 3.0

#: Minimum seconds for which a request counts after that read. A core that runs for a
#: sixth of the time may read it at once and is then stopped between the other steps.
MIN_COUNTED_SECONDS = 0.25

#: Seconds after which an unread connection no longer counts. It was lost before it was
#: served.
MAX_UNREAD_SECONDS = 5.0

#: Multiple of the lateness of the event loop that a request takes at least, from its
#: start to its answer. At 4, requests were refused that would have taken 1.3 s of 2 s.
ANSWER_STEPS = 3

#: Measurements of the lateness that must all be high for a request to be refused. A
#: single one may be high as the host stood still, after which it is on time again.
LATE_MEASUREMENTS = 3


@dataclass(eq=False)
class OwnWork:
    """A request that was read from a new connection.

    :param until: monotonic seconds until which it counts.
    :param counted: whether it counts still.
    """

    until: float
    counted: bool = True


class ConnectionShedder:
    """Decides which new connections are accepted.

    A caller whose connection is closed unread can retry at another gateway at once,
    while a request that was read may not be repeatable, or would wait here until its
    deadline.

    :param link_rate: bytes per second that the host can send, ``None`` if unknown.
    :ivar count: number of connections that were not accepted.
    """

    def __init__(self, link_rate: float | None = None) -> None:
        self._link_rate = link_rate
        self._lateness = 0.0
        self._last_late = deque([0.0], maxlen=LATE_MEASUREMENTS)
        self._send_rate = 0.0
        self._accepted_at = -math.inf
        self._unread: deque[tuple[float, int]] = deque()
        self._read: list[tuple[float, int, OwnWork]] = []
        self._read_count = 0
        self._numbers = itertools.count()
        self._measured_at = -math.inf
        self._requests = 0.0
        self._seconds = 0.0
        self._caller_seconds = DEFAULT_CALLER_SECONDS
        self.count = 0

    @property
    def overloaded(self) -> bool:
        """Whether the processor or the link is overloaded."""
        if self._lateness > MAX_LATENESS_SECONDS:
            return True
        rate = self._link_rate
        return rate is not None and self._send_rate > MAX_LINK_SHARE * rate

    @property
    def in_progress(self) -> int:
        """Number of requests that the gateway itself has to work on."""
        return len(self._unread) + self._read_count

    @property
    def pace(self) -> float:
        """Requests per second that the gateway gets done, measured while it is busy.

        With `n` requests in the loop, one takes `n / pace` seconds.
        """
        requests = self._requests + INITIAL_REQUESTS
        return requests / (self._seconds + self._work_seconds)

    @property
    def limit(self) -> int:
        """Number of requests in progress up to which connections are accepted."""
        return max(MIN_REQUESTS, int(self.pace * self._work_seconds))

    @property
    def _work_seconds(self) -> float:
        seconds = WORK_SHARE * self._caller_seconds
        return min(MAX_WORK_SECONDS, max(MIN_WORK_SECONDS, seconds))

    def record(self, seconds: float, lateness: float, sent: int) -> None:
        """Record a measurement.

        :param seconds: time since the last measurement.
        :param lateness: seconds by which this measurement was late.
        :param sent: bytes sent since the last measurement.
        """
        if seconds <= 0:
            return
        self._lateness = _average(self._lateness, lateness, seconds)
        self._last_late.append(lateness)
        self._send_rate = _average(self._send_rate, sent / seconds, seconds)

    def record_deadline(self, seconds: float) -> None:
        """Record how much time a caller gives a request.

        :param seconds: time from the start of the request to its deadline.
        """
        seconds = min(seconds, MAX_WORK_SECONDS / WORK_SHARE)
        self._caller_seconds += (seconds - self._caller_seconds) / DEADLINE_REQUESTS

    def accept(self, now: float) -> bool:
        """Return whether to accept a new connection.

        :param now: monotonic seconds.
        """
        self._forget(now)
        full = self.overloaded or self._is_full(now)
        if full and now - self._accepted_at < MAX_PAUSE_SECONDS:
            self.count += 1
            return False
        self._accepted_at = now
        self._unread.append((now, self.in_progress))
        return True

    def _is_full(self, now: float) -> bool:
        count = self.in_progress
        if count < MIN_REQUESTS or not self._unread:
            return count >= self.limit
        # What waits longest tells of a slow-down before it is read
        requests, seconds = self._measure_oldest(now)
        return count >= self.limit or count * seconds >= requests * self._work_seconds

    def begin(self, now: float) -> OwnWork:
        """Record that the oldest unread connection was read from.

        :param now: monotonic seconds.
        """
        self._forget(now)
        if not self._unread:
            return OwnWork(now, counted=False)
        if self.in_progress >= MIN_REQUESTS:
            requests, seconds = self._measure_oldest(now)
            self._requests += requests
            self._seconds += seconds
        accepted_at, _ = self._unread.popleft()
        counted = max(MIN_COUNTED_SECONDS, COUNTED_FACTOR * (now - accepted_at))
        work = OwnWork(now + counted)
        heapq.heappush(self._read, (work.until, next(self._numbers), work))
        self._read_count += 1
        return work

    def end(self, work: OwnWork) -> None:
        """Record that a request is answered, or that its connection is lost or idle."""
        if work.counted:
            work.counted = False
            self._read_count -= 1

    def is_late(self, seconds: float) -> bool:
        """Return whether a request can't be answered in time.

        :param seconds: time until the request's deadline.
        """
        late = self._lateness > MAX_LATENESS_SECONDS
        return late and ANSWER_STEPS * min(self._last_late) > seconds

    def _measure_oldest(self, now: float) -> tuple[float, float]:
        """Return what the oldest unread connection tells of the pace.

        :returns: mean of the requests in progress while it waited, and seconds from its
            accept to its answer if the loop goes on as it did.
        """
        accepted_at, count = self._unread[0]
        return (count + self.in_progress) / 2, ANSWER_FACTOR * (now - accepted_at)

    def _forget(self, now: float) -> None:
        left = math.exp(min(0.0, self._measured_at - now) / PACE_SECONDS)
        self._measured_at = now
        self._requests *= left
        self._seconds *= left
        while self._unread and now - self._unread[0][0] > MAX_UNREAD_SECONDS:
            self._unread.popleft()
        while self._read and self._read[0][0] <= now:
            self.end(heapq.heappop(self._read)[2])


def _average(average: float, value: float, seconds: float) -> float:
    constant = RISING_SECONDS if value > average else FALLING_SECONDS
    return average + (1.0 - math.exp(-seconds / constant)) * (value - average)
