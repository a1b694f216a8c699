"""Outstanding work of one engine: prompts to read, answers to write, memory to hold.

Gateways tell a steward of each request that is sent, whose answer begins, and that
ends. The engine's own report, which may be some tenths of a second old, corrects what
these messages miss, for instance after a restart of the steward.
"""

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

from ibishead.routing.work import RequestWork

__all__ = ["EngineWork"]

#: Lengths beyond this are clamped to it, so that no single message breaks the sums.
MAX_TOKENS = 1_000_000

#: Age in seconds that a report may have when it is received. Requests that began or
#: ended within it may or may not be in the report.
REPORT_AGE_SECONDS = 0.3

#: Number of recently ended requests that are kept between two reports.
MAX_ENDED = 1024

#: Age in seconds from which a request that the engine no longer counts is dropped.
STALE_SECONDS = 1.0

#: Number of reports of which the smallest deviation counts. A single one is mostly due
#: to requests that began or ended between the report and its arrival.
COMPARED_REPORTS = 3

#: Expected rest of an answer that is longer than expected, as a share of what is
#: written. The rest of a heavy-tailed length grows with what is there.
OVERRUN_SHARE = 0.25

#: Initial tokens per second of one answer, and the weight of the newest answer.
INITIAL_PACE = 50.0
PACE_WEIGHT = 0.1
MIN_PACE, MAX_PACE = 1.0, 10_000.0

#: Minimum tokens of an answer whose pace is learned.
MIN_PACE_TOKENS = 16

#: Maximum delay in seconds that is expected for memory, and the delay where nothing is
#: known of the requests that hold it.
MAX_DELAY_SECONDS = 5.0
UNKNOWN_DELAY_SECONDS = 0.5


@dataclass
class _Request:
    """A request at the engine.

    :param prompt: tokens of its prompt.
    :param unread: tokens of the prompt that the engine has still to read.
    :param answer: expected tokens of its answer.
    :param margin: tokens between that and the upper quantile.
    :param in_parts: tokens of the prompt that belong to named parts.
    :param began_at: monotonic seconds at which it was sent.
    :param read_at: monotonic seconds at which its answer began, ``None`` before.
    """

    prompt: int
    unread: int
    answer: int
    margin: int
    in_parts: int
    began_at: float
    read_at: float | None = None

    def count_written(self, pace: float, now: float) -> float:
        """Return the estimated tokens of its answer until now."""
        if self.read_at is None or not (self.prompt or self.answer):
            return 0.0
        return min(MAX_TOKENS, pace * max(0.0, now - self.read_at))

    def count_remaining(self, written: float) -> float:
        """Return the expected tokens of its answer after those written."""
        if not self.answer:
            return 0.0
        return max(self.answer - written, OVERRUN_SHARE * written)


class _Sizes(NamedTuple):
    """Tokens that a request holds, and that it is expected to add."""

    held: float
    remaining: float


class EngineWork:
    """Tracks the requests at one engine.

    An owner is whatever tells apart those that number the requests, such as a link.

    :ivar pace: tokens per second of one answer.
    """

    def __init__(self) -> None:
        self.pace = INITIAL_PACE
        self._requests: dict[tuple[Hashable, int], _Request] = {}
        self._ended: deque[tuple[float, float]] = deque(maxlen=MAX_ENDED)
        self._mean_prompt = 0.0
        self._mean_answer = 0.0
        #: Deviations of the last reports: tokens and requests that are not known here,
        #: and tokens that are counted here but not held.
        self._unknown_tokens: deque[float] = deque(maxlen=COMPARED_REPORTS)
        self._surplus_tokens: deque[float] = deque(maxlen=COMPARED_REPORTS)
        self._unknown_running: deque[int] = deque(maxlen=COMPARED_REPORTS)
        self._unknown_queued: deque[int] = deque(maxlen=COMPARED_REPORTS)

    def __len__(self) -> int:
        return len(self._requests)

    def begin(
        self,
        owner: Hashable,
        number: int,
        tokens: int,
        unread: int,
        work: RequestWork,
        now: float,
    ) -> None:
        """Record that a request is sent; one without a number is not recorded.

        :param tokens: length of its prompt.
        :param unread: tokens of the prompt that the engine doesn't keep.
        :param now: monotonic seconds.
        """
        if not number:
            return
        prompt, answer = _bound(tokens), _bound(work.answer_tokens)
        unread = min(prompt, _bound(unread))
        margin = max(0, _bound(work.upper_tokens) - answer)
        in_parts = min(prompt, sum(map(_bound, work.part_tokens)))
        request = _Request(prompt, unread, answer, margin, in_parts, now)
        self._requests[owner, number] = request
        self._mean_prompt = _update(self._mean_prompt, unread)
        self._mean_answer = _update(self._mean_answer, answer)

    def record_read(self, owner: Hashable, number: int, now: float) -> int | None:
        """Record that the engine has read a prompt.

        :returns: tokens that it had to read, ``None`` if the request is not recorded.
        """
        request = self._requests.get((owner, number))
        if request is None:
            return None
        unread = request.unread
        if request.read_at is None:
            request.read_at, request.unread = now, 0
        return unread

    def end(
        self,
        owner: Hashable,
        number: int,
        now: float,
        tokens: int = 0,
        seconds: float = 0.0,
    ) -> None:
        """Record that a request has ended.

        :param tokens: length of its answer, 0 if unknown.
        :param seconds: from the first to the last event of the answer.
        """
        if tokens >= MIN_PACE_TOKENS and seconds > 0:
            pace = min(MAX_PACE, max(MIN_PACE, tokens / seconds))
            self.pace += PACE_WEIGHT * (pace - self.pace)
        request = self._requests.pop((owner, number), None)
        if request is not None:
            self._add_ended(request, now)

    def remove_owner(self, owner: Hashable, now: float) -> None:
        """Remove the requests of an owner that is gone."""
        for key in [key for key in self._requests if key[0] == owner]:
            self._add_ended(self._requests.pop(key), now)

    def record_report(
        self, running: int, queued: int, cache_used: int, capacity: int, now: float
    ) -> None:
        """Correct the requests by a report of the engine.

        :param running: requests in its batch.
        :param queued: requests in its queue.
        :param cache_used: tokens that running requests hold; ignored if it is negative
            or exceeds the capacity.
        :param capacity: the engine's memory in tokens, 0 if unknown.
        :param now: monotonic seconds.
        """
        running, queued = max(0, running), max(0, queued)
        self._drop_stale(running + queued, now)
        while self._ended and now - self._ended[0][0] > REPORT_AGE_SECONDS:
            self._ended.popleft()
        held = settled = 0.0
        for request in self._requests.values():
            size = request.prompt + request.count_written(self.pace, now)
            held += size
            if request.read_at is not None:
                settled += size * (now - request.read_at >= REPORT_AGE_SECONDS)
        valid = 0 <= cache_used <= (capacity or MAX_TOKENS)
        used = cache_used if valid and running + queued else 0
        recent = sum(tokens for _, tokens in self._ended)
        known = len(self._requests) + len(self._ended)
        unread = sum(1 for r in self._requests.values() if r.read_at is None)
        # An engine that reports no memory in use may not report memory at all. One that
        # has requests queued may have preempted some, which will need memory again.
        surplus = max(0.0, settled - used) if used and not queued else 0.0
        self._surplus_tokens.append(surplus)
        unknown = max(0, running + queued - known)
        # Memory that nobody is known to hold is that of unknown requests, or of answers
        # that are longer than estimated. An engine that also reports evictable memory
        # would otherwise get no requests.
        plausible = OVERRUN_SHARE * held
        plausible += 2.0 * used * unknown / max(1, running + queued)
        self._unknown_tokens.append(max(0.0, min(plausible, used - held - recent)))
        unknown_queued = min(unknown, max(0, queued - unread))
        self._unknown_queued.append(unknown_queued)
        self._unknown_running.append(unknown - unknown_queued)

    @property
    def prompt_backlog(self) -> int:
        """Prompt tokens sent to the engine that it has not read yet."""
        known = sum(request.unread for request in self._requests.values())
        return round(known + _least(self._unknown_queued) * self._mean_prompt)

    def count_answer_backlog(self, now: float) -> int:
        """Return the answer tokens that the requests are expected to need still."""
        sizes = self._list_sizes(now)
        unknown = _least(self._unknown_running) / 2 + _least(self._unknown_queued)
        return round(sum(s.remaining for s in sizes) + unknown * self._mean_answer)

    def count_memory(self, now: float) -> int:
        """Return the tokens that all requests are expected to hold at their ends."""
        sizes = self._list_sizes(now)
        total = sum(size.held + size.remaining for size in sizes)
        return max(0, round(total + self._deviation))

    def find_need(self, tokens: int, work: RequestWork, now: float) -> int:
        """Return the memory needed with one more request.

        It is the sum of the expected final sizes with a margin up to the upper quantile
        of that sum. The largest memory needed at one time is less, as requests end one
        after the other. It was tried and led to three times as many preemptions or
        more, because the rest of a long answer is underestimated.

        :param tokens: length of the prompt of the additional request.
        """
        answer = _bound(work.answer_tokens)
        margins = [r.margin for r in self._requests.values()]
        margins.append(max(0, _bound(work.upper_tokens) - answer))
        # Lengths are independent, so the deviation of their sum is the root of the sum
        # of squares. Adding up the upper quantiles would assume that all are long.
        margin = math.sqrt(sum(tokens * tokens for tokens in margins))
        return self.count_memory(now) + _bound(tokens) + answer + round(margin)

    def admits(self, tokens: int, work: RequestWork, capacity: int, now: float) -> bool:
        """Return whether a request fits into the engine's memory beside the others.

        :param tokens: length of its prompt.
        :param capacity: the engine's memory in tokens, 0 if unknown.
        """
        return self._find_excess(tokens, work, capacity, now) <= 0

    def estimate_delay(
        self, tokens: int, work: RequestWork, capacity: int, now: float
    ) -> float:
        """Return the expected seconds until a request fits.

        Requests are expected to end in the order of what remains of their answers.
        """
        excess: float = self._find_excess(tokens, work, capacity, now)
        if excess <= 0:
            return 0.0
        seconds = UNKNOWN_DELAY_SECONDS
        for size in sorted(self._list_sizes(now), key=lambda size: size.remaining):
            excess -= size.held + size.remaining
            seconds = size.remaining / self.pace
            if excess <= 0:
                break
        turns = 1.0 + max(0.0, excess / capacity)
        return min(MAX_DELAY_SECONDS, turns * seconds)

    def _find_excess(
        self, tokens: int, work: RequestWork, capacity: int, now: float
    ) -> int:
        """Return the tokens by which one more request exceeds the engine's memory.

        :returns: 0 where memory doesn't limit the request.
        """
        if capacity <= 0 or not (tokens > 0 or work.answer_tokens > 0):
            return 0
        if not self._requests and not self._deviation:
            return 0
        return self.find_need(tokens, work, now) - capacity

    @property
    def _deviation(self) -> float:
        """Tokens by which the engine's memory differs from what is known here."""
        return _least(self._unknown_tokens) - _least(self._surplus_tokens)

    def count_outside_parts(self, now: float) -> int:
        """Return the tokens that requests hold beside the parts of their prompts."""
        held = sum(size.held for size in self._list_sizes(now))
        held -= sum(request.in_parts for request in self._requests.values())
        return max(0, round(held + self._deviation))

    def _list_sizes(self, now: float) -> list[_Sizes]:
        sizes = []
        for request in self._requests.values():
            written = request.count_written(self.pace, now)
            remaining = request.count_remaining(written)
            sizes.append(_Sizes(request.prompt + written, remaining))
        return sizes

    def _add_ended(self, request: _Request, now: float) -> None:
        written = request.count_written(self.pace, now)
        self._ended.append((now, request.prompt + written))

    def _drop_stale(self, reported: int, now: float) -> None:
        """Drop old requests beyond those that the engine counts.

        The end of a request is not reported if its message is lost.
        """
        excess = len(self._requests) - reported
        if excess <= 0:
            return
        old = [k for k, r in self._requests.items() if now - r.began_at > STALE_SECONDS]
        for key in old[:excess]:
            del self._requests[key]


def _bound(tokens: int) -> int:
    return min(MAX_TOKENS, max(0, tokens))


def _update(mean: float, value: int) -> float:
    return value if mean <= 0 else mean + PACE_WEIGHT * (value - mean)


def _least(values: deque[float] | deque[int]) -> float:
    return min(values, default=0.0)
