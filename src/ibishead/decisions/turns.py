"""Scheduling of prompts to an engine, to bound the pauses of running answers.

An engine reads prompts in chunks between the tokens of its running answers. Several
long prompts in a row delay the tokens of all these answers beyond what callers accept.
Prompts therefore wait outside the engine, where the wait costs only their own callers
part of the time to the first event.
"""

import math
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from ibishead.decisions.readspeed import ReadSpeed

__all__ = ["PromptWindow", "Turn", "choose_turn"]


@dataclass(frozen=True)
class _ShareBounds:
    """Share of the accepted pause that an engine may spend on prompts."""

    initial: float
    minimum: float
    maximum: float


#: The rest of the pause is used for the tokens themselves. On a host whose work is
#: slowed for moments, prompts that were sent just before such a moment take longer than
#: expected, and more is left for that.
STEADY_HOST = _ShareBounds(0.85, 0.5, 0.9)
VARYING_HOST = _ShareBounds(0.7, 0.35, 0.8)

#: Adaptation of the share: each answer with too long a pause multiplies it by this
#: factor, any other answer adds this step. It settles where 3 answers in 100 pause;
#: engines of one kind differ in speed by a third.
SHARE_FACTOR = 0.93
SHARE_STEP = 0.002

#: Share of the accepted pause up to which an answer counts as unaffected. Engines with
#: long chunks and few of them per event exceed it when all chunks are full. Engines
#: with short chunks never do, and the limit only delays their prompts.
UNAFFECTED_SHARE = 0.78

#: Consecutive unaffected answers, while prompts wait, after which the share rises
#: beyond its maximum, and the factor by which it rises.
MIN_UNAFFECTED_ANSWERS = 64
RISE_FACTOR = 2.0

#: Pauses longer than this multiple of the accepted pause have causes other than
#: prompts, such as a lost packet or a suspended host, unless the engine was behind with
#: its prompts within these seconds before the end of the answer.
MAX_PAUSE_FACTOR = 2.0
OVERDUE_MEMORY_SECONDS = 3.0

#: Time from sending a prompt to its first event. A request whose objective ends sooner
#: is late in any case.
FIRST_EVENT_SECONDS = 0.1


@dataclass(frozen=True)
class Turn:
    """A request that waits to be sent to an engine.

    :param number: identifier of the request.
    :param tokens: prompt tokens.
    :param due: monotonic seconds by which its answer should begin.
    """

    number: int
    tokens: int
    due: float


def choose_turn(turns: Iterable[Turn], now: float) -> Turn | None:
    """Return the request to send next, or ``None`` if none waits.

    With more prompts than the engine can read in time, serving them in order of arrival
    or of due times makes all of them late. Requests that can still be in time go first,
    by due time. No prompt length starves, because the chosen request is never
    overtaken.
    """
    return min(
        turns, key=lambda t: (t.due < now + FIRST_EVENT_SECONDS, t.due), default=None
    )


class PromptWindow:
    """Sliding window of prompt tokens sent to one engine.

    A prompt stays in the window until the engine has read it. An engine that is slower
    than estimated, or slowed down for a moment, would otherwise get more prompts than
    it reads, and its running answers would pause ever longer.

    :ivar gap: length of the window in seconds, the longest pause that callers accept;
        0 disables the limit.
    :ivar speed: estimate of the engine's read rate.
    :ivar slowdown: slowdown of the engine's host at this moment.
    """

    def __init__(self, gap: float = 0.0) -> None:
        self.gap = gap
        self.speed = ReadSpeed()
        self.slowdown = 1.0
        self._bounds = STEADY_HOST
        self._share = self._bounds.initial
        self._unaffected = 0
        self._waited = False
        self._sent: deque[tuple[float, int, Hashable]] = deque()
        #: Tokens of prompts that were sent longer ago than `gap` and are not read.
        self._overdue: dict[Hashable, int] = {}
        self._unread: set[Hashable] = set()
        self._tokens = 0
        self._overdue_at = -math.inf

    @property
    def limit(self) -> int:
        """Maximum number of prompt tokens within the window."""
        return int(self.speed.rate / self.slowdown * self._share * self.gap)

    def set_host(self, varies: bool) -> None:
        """Set whether the work on the engine's host is slowed for moments."""
        bounds = VARYING_HOST if varies else STEADY_HOST
        if bounds is not self._bounds:
            self._bounds = bounds
            self._share = min(max(self._share, bounds.minimum), bounds.maximum)

    @property
    def overdue(self) -> int:
        """Number of prompts that the engine has not read within `gap` seconds."""
        return len(self._overdue)

    def take(self, tokens: int, now: float, prompt: Hashable = None) -> None:
        """Count a prompt that is being sent.

        :param prompt: identifies it in `record_read`; ``None`` if its read is never
            reported.
        """
        self._sent.append((now, tokens, prompt))
        self._tokens += tokens
        if prompt is not None:
            self._unread.add(prompt)

    def record_read(self, prompt: Hashable) -> None:
        """Record that a prompt was read, or that its request has ended."""
        self._unread.discard(prompt)
        self._tokens -= self._overdue.pop(prompt, 0)

    def record_pause(self, pause: float, now: float = math.inf) -> None:
        """Record the longest pause of an answer.

        :param pause: seconds.
        :param now: monotonic seconds at which the answer ended.
        """
        # Without a limit on pauses, every prompt is overdue at once.
        behind = self.gap > 0 and now - self._overdue_at < OVERDUE_MEMORY_SECONDS
        longest = math.inf if behind else MAX_PAUSE_FACTOR * self.gap
        if self.gap < pause <= longest:
            reduced = min(self._share, self._bounds.maximum) * SHARE_FACTOR
            self._share, self._unaffected = max(self._bounds.minimum, reduced), 0
            return
        self._unaffected = (
            self._unaffected + 1 if pause <= UNAFFECTED_SHARE * self.gap else 0
        )
        if self._share < self._bounds.maximum:
            self._share = min(self._bounds.maximum, self._share + SHARE_STEP)
        if self._waited and self._unaffected >= MIN_UNAFFECTED_ANSWERS:
            # The engine handles more prompts than it was sent while some waited.
            self._share *= RISE_FACTOR
            self._unaffected, self._waited = 0, False

    def wait(self, tokens: int, now: float) -> float:
        """Return the seconds until a prompt may be sent, 0 for immediately.

        A prompt longer than the limit is sent when the window is empty. While prompts
        are overdue the wait is at most `gap`, after which it has to be asked for again.
        """
        self._discard_expired(now)
        in_window, wait = self._tokens, 0.0
        for sent_at, size, _ in self._sent:
            if in_window + tokens <= self.limit:
                break
            in_window -= size
            wait = sent_at + self.gap - now
        if self._overdue and in_window + tokens > self.limit:
            wait = self.gap
        self._waited = self._waited or wait > 0
        return max(0.0, wait)

    def delay(self, queued: int, now: float) -> float:
        """Return a rough estimate of the seconds that a new prompt waits.

        :param queued: total tokens of the prompts queued ahead of it.
        :param now: monotonic seconds.
        """
        self._discard_expired(now)
        limit = self.limit
        if not limit:
            return 0.0
        return max(0.0, (self._tokens + queued) / limit - 0.5) * self.gap

    def _discard_expired(self, now: float) -> None:
        while self._sent and now - self._sent[0][0] >= self.gap:
            _, tokens, prompt = self._sent.popleft()
            if prompt in self._unread and prompt not in self._overdue:
                self._overdue[prompt] = tokens
                self._overdue_at = now
            else:
                self._tokens -= tokens
