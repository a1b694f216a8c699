"""Requests that wait at a steward until they may be sent to its engine.

A turn is the permission to send one request to the engine.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ibishead.clock import Clock
from ibishead.decisions.batchslots import BatchSlots
from ibishead.decisions.enginework import EngineWork
from ibishead.decisions.keptparts import KeptParts, chain_parts
from ibishead.decisions.sendrate import SendRate
from ibishead.decisions.turns import PromptWindow, Turn, choose_turn
from ibishead.links import Link
from ibishead.routing.messages import TurnAnswer, TurnNoted
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import WeightKey
from ibishead.routing.work import RequestWork
from ibishead.waiting import wait_for_event

__all__ = ["TurnQueue", "Waiter"]

logger = logging.getLogger(__name__)

#: Factor by which the read rate has to change, up or down, to be logged again.
LOGGED_RATE_RATIO = 1.25

#: Seconds by which the delay of a new prompt has to differ from what gateways expect
#: before they are sent a new value.
DELAY_STEP_SECONDS = 0.05

#: Seconds until a request that waits for the engine's memory is considered again.
MEMORY_CHECK_SECONDS = 0.05

#: Seconds without a request whose unused share of the engine's rate limit may be used
#: afterwards in a burst.
BURST_SECONDS = 1.0


@dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for its adapter and then for its turn.

    :param number: number by which the gateway identifies the request.
    :param expires_at: monotonic seconds after which the request is refused.
    :param tokens: length of its prompt.
    :param due: monotonic seconds at which its answer should begin.
    :param keys: the parts of its prompt, if it names any.
    :param work: what it is expected to cost the engine.
    """

    link: Link
    number: int
    key: WeightKey
    expires_at: float
    tokens: int
    due: float
    keys: PromptKeys | None = None
    work: RequestWork = RequestWork()

    def answer(self, granted: bool) -> None:
        """Tell the gateway whether it may send the request."""
        self.link.send(TurnAnswer(self.number, granted))


class TurnQueue:
    """Grants turns within the engine's batch slots, prompt window and rate limit.

    :param on_delay: called with the seconds that a new prompt would wait, when these
        have changed; sends them to the gateways.
    :param on_refused: called with each request that was refused a turn.
    :param on_granted: called with each request that is granted a turn.
    :ivar window: limits the prompt tokens sent to the engine over time.
    :ivar slots: limits the requests in the engine's batch.
    :ivar rate: applies the engine's rate limit.
    :ivar work: outstanding work of the requests at the engine.
    :ivar kept: prompt parts that the engine keeps.
    :ivar memory: capacity of the engine's memory in tokens, 0 if unknown.
    """

    def __init__(
        self,
        clock: Clock,
        on_delay: Callable[[float], None],
        on_refused: Callable[[Waiter], None],
        on_granted: Callable[[Waiter], None],
    ) -> None:
        self.window = PromptWindow()
        self.slots = BatchSlots()
        self.rate = SendRate(BURST_SECONDS)
        self.work = EngineWork()
        self.kept = KeptParts()
        self.memory = 0
        self._clock = clock
        self._on_delay = on_delay
        self._on_refused = on_refused
        self._on_granted = on_granted
        self._waiting: dict[Turn, Waiter] = {}
        self._count = 0
        self._wake = asyncio.Event()
        self._published_delay = 0.0
        self._published_at = 0.0
        self._logged_rate = self.window.speed.rate
        self._unread: Counter[Link] = Counter()
        self._running: Counter[Link] = Counter()
        self._single_prompt = False

    @property
    def count(self) -> int:
        """Number of requests that wait for a turn."""
        return len(self._waiting)

    def add(self, waiter: Waiter) -> None:
        """Add a request whose adapter is loaded, and grant turns that are due."""
        self._count += 1
        turn = Turn(self._count, self._count_unread(waiter), waiter.due)
        self._waiting[turn] = waiter
        self._grant_due()
        if turn in self._waiting:
            waiter.link.send(TurnNoted(waiter.number))
            self._wake.set()

    def can_send_in_time(self, waiter: Waiter, before: int) -> bool:
        """Return whether the rate limit lets a request be sent before it expires.

        :param before: requests that will be added to the queue before it.
        """
        now = self._clock.monotonic()
        wait = self.rate.delay(len(self._waiting) + before, now)
        return now + wait <= waiter.expires_at

    def can_ever_fit(self, waiter: Waiter) -> bool:
        """Return whether the engine's memory holds a request when nothing else runs."""
        needed = waiter.tokens + waiter.work.answer_tokens
        return not self.memory or needed <= self.memory

    def begin_work(self, waiter: Waiter) -> int:
        """Record the work of a request that is sent now, with or without a turn.

        :returns: prompt tokens that the engine has to read.
        """
        unread = self._count_unread(waiter)
        now = self._clock.monotonic()
        self.work.begin(
            waiter.link, waiter.number, waiter.tokens, unread, waiter.work, now
        )
        if self.memory:
            # The engine reads prompts one after the other, so the parts are there when
            # it begins the next one.
            chain = chain_parts(waiter.key, waiter.keys, waiter.work.part_tokens)
            self.kept.record_read(waiter.key, chain, now)
        return unread

    def forget_work(self) -> None:
        """Forget the outstanding work and kept parts of an engine that has ended."""
        self.work, self.kept = EngineWork(), KeptParts()

    def _count_unread(self, waiter: Waiter) -> int:
        if not self.memory:
            return waiter.tokens
        now = self._clock.monotonic()
        self.kept.trim(self.memory - self.work.count_outside_parts(now))
        chain = chain_parts(waiter.key, waiter.keys, waiter.work.part_tokens)
        kept = self.kept.count_kept(chain, now)
        return max(0, waiter.tokens - kept)

    def record_sent(self, link: Link, tokens: int) -> None:
        """Count a prompt that is sent now, with or without a turn.

        :param tokens: tokens of the prompt that the engine has to read.
        """
        self.window.take(tokens, self._clock.monotonic())
        self._single_prompt = not self._unread.total()
        self._unread[link] += 1
        self._running[link] += 1
        self.slots.begin()
        self.rate.take(self._clock.monotonic())

    def record_read(self, link: Link, tokens: int, seconds: float) -> None:
        """Record that the engine has read a prompt or that its request has ended.

        The read rate is measured only while the engine had a single prompt to read.

        :param tokens: length of the prompt.
        :param seconds: from the send to the first event, 0 if there was none.
        """
        if not self._unread[link]:
            # the prompt was sent over an earlier link of this gateway
            return
        self._unread[link] -= 1
        if seconds and self._single_prompt and not self._unread.total():
            self.window.speed.record(tokens, seconds)
            self._log_read_rate()

    def record_end(self, link: Link) -> None:
        """Count a request of a gateway as ended."""
        if not self._running[link]:
            # the request was sent over an earlier link of this gateway
            return
        self._running[link] -= 1
        self.slots.end(1, self._clock.monotonic())
        self._wake_if_waiting()

    def record_report(self, requests: int) -> None:
        """Record how many requests the engine reports, running or queued."""
        self.slots.record_report(requests)
        self._wake_if_waiting()

    def set_rate_limit(self, rate: float | None) -> None:
        """Set the rate limit.

        :param rate: requests per second, None for no limit.
        """
        self.rate.limit(rate, self._clock.monotonic())
        self._wake_if_waiting()

    def _wake_if_waiting(self) -> None:
        if self._waiting and not self.slots.full:
            self._wake.set()

    def remove_link(self, link: Link) -> None:
        """Drop the requests of a gateway whose link is closed."""
        self.slots.end(self._running.pop(link, 0), self._clock.monotonic())
        self._waiting = {t: w for t, w in self._waiting.items() if w.link is not link}
        # the engine may still be reading prompts of this gateway for a moment, so the
        # next measurement of the read rate isn't of a single prompt
        if self._unread.pop(link, 0):
            self._single_prompt = False

    def refuse_all(self) -> None:
        """Refuse every waiting request."""
        for waiter in self._waiting.values():
            waiter.answer(False)
            self._on_refused(waiter)
        self._waiting.clear()

    async def run(self) -> None:
        """Grant turns until cancelled."""
        while True:
            wait = self._grant_due()
            self._wake.clear()
            await wait_for_event(self._wake, wait)

    def _log_read_rate(self) -> None:
        rate = self.window.speed.rate
        if not 1 / LOGGED_RATE_RATIO < rate / self._logged_rate < LOGGED_RATE_RATIO:
            self._logged_rate = rate
            logger.info(
                "prompt read rate changed", extra={"tokens_a_second": round(rate)}
            )

    def _grant_due(self) -> float | None:
        """Grant all turns that are due.

        :returns: seconds until the next turn or expiry, None if no request waits.
        """
        now = self._clock.monotonic()
        self._refuse_expired(now)
        wait = None
        while (turn := choose_turn(self._waiting, now)) is not None:
            waiter = self._waiting[turn]
            unread = self._count_unread(waiter)
            wait = max(self.window.wait(unread, now), self.rate.wait(now))
            if wait > 0 or self.slots.full:
                break
            if not self.work.admits(waiter.tokens, waiter.work, self.memory, now):
                # Memory is freed by the end of a request, which sets the wake event, or
                # by an answer that turns out shorter than expected.
                wait = MEMORY_CHECK_SECONDS
                break
            del self._waiting[turn]
            self.record_sent(waiter.link, self.begin_work(waiter))
            self._on_granted(waiter)
            waiter.answer(True)
        self._publish_delay(now)
        if not self._waiting:
            return None
        expiry = min(waiter.expires_at for waiter in self._waiting.values()) - now
        if self.slots.full:
            # the end of a running request sets the wake event
            return max(0.001, expiry)
        return max(0.001, min(expiry, wait or 0.0))

    def _refuse_expired(self, now: float) -> None:
        expired = [t for t, waiter in self._waiting.items() if waiter.expires_at <= now]
        for turn in expired:
            waiter = self._waiting.pop(turn)
            waiter.answer(False)
            self._on_refused(waiter)

    def _estimate_memory_delay(self, now: float) -> float:
        """Return the seconds until all waiting requests fit into the memory."""
        if not self.memory or not self._waiting:
            return 0.0
        waiters = self._waiting.values()
        tokens = sum(w.tokens for w in waiters)
        answers = sum(w.work.answer_tokens for w in waiters)
        return self.work.estimate_delay(tokens, RequestWork(answers), self.memory, now)

    def _publish_delay(self, now: float) -> None:
        queued = sum(turn.tokens for turn in self._waiting)
        delay = self.window.delay(queued, now)
        waiting = len(self._waiting)
        delay = max(delay, self.slots.delay(waiting), self.rate.delay(waiting, now))
        delay = max(delay, self._estimate_memory_delay(now))
        # gateways count a published delay down as time passes
        expected = max(0.0, self._published_delay - (now - self._published_at))
        if abs(delay - expected) >= DELAY_STEP_SECONDS:
            self._published_delay, self._published_at = delay, now
            self._on_delay(delay)
