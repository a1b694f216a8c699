"""Requests that wait at a steward until they may be sent to its engine.

A turn is the permission to send one request to the engine.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from ibishead.clock import Clock
from ibishead.decisions.batchslots import BatchSlots
from ibishead.decisions.enginework import EngineWork
from ibishead.decisions.fairshare import FairOrder
from ibishead.decisions.keptparts import KeptParts, PartChain, chain_parts
from ibishead.decisions.readchains import ReadChains
from ibishead.decisions.readspeed import ReadSpeed
from ibishead.decisions.sendrate import SendRate
from ibishead.decisions.slowdown import SlowdownReadings
from ibishead.decisions.steptime import StepTime
from ibishead.decisions.turns import PromptWindow, Turn
from ibishead.links import Link
from ibishead.routing.messages import TurnAnswer, TurnNoted
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import WeightKey
from ibishead.routing.work import RequestWork
from ibishead.waiting import wait_for_event

__all__ = ["TurnQueue", "Waiter"]

logger = logging.getLogger(__name__)

#: Factor by which the read rate or the step time has to change, up or down, to be
#: logged again.
LOGGED_RATE_RATIO = 1.25

#: Seconds over which the slowdown of a host is averaged for the log, and averages from
#: which it is logged as slow and as usual again. Hosts that are slowed down 2.5 times
#: for 0.6 s, in 15% of the time, are seldom logged.
LOGGED_SLOWDOWN_SECONDS = 3.0
SLOW_AVERAGE = 1.75
USUAL_AVERAGE = 1.25

#: Seconds by which the delay of a new prompt has to differ from what gateways expect
#: before they are sent a new value.
DELAY_STEP_SECONDS = 0.05

#: Seconds until a request that waits for the engine's memory is considered again.
MEMORY_CHECK_SECONDS = 0.05

#: Seconds without a request whose unused share of the engine's rate limit may be used
#: afterwards in a burst.
BURST_SECONDS = 1.0

#: Minimum seconds between two log lines about turns granted out of due order.
FAIR_LOG_SECONDS = 5.0


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

    @cached_property
    def chain(self) -> PartChain:
        """The parts of its prompt, as kept parts are identified."""
        return chain_parts(self.key, self.keys, self.work.part_tokens)

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
    :ivar order: order in which the requests are granted their turns.
    :ivar slowdown: readings of the slowdown of the engine's host.
    :ivar step_time: estimate of the time of one token of each running answer.
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
        self.order = FairOrder()
        self.slowdown = SlowdownReadings()
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
        self._logged_step_time = 0.0
        self._logged_slow = False
        self._unread: Counter[Link] = Counter()
        self._running: Counter[Link] = Counter()
        #: Numbers of the requests of each gateway whose prompts are not read yet.
        self._prompts: dict[Link, set[int]] = {}
        self._logged_reordered = 0
        self._fair_logged_at = 0.0
        self._chains = ReadChains(self.window.speed)
        self.step_time = StepTime()
        #: Monotonic seconds since which the engine's speed is measured.
        self._measured_since = 0.0

    @property
    def count(self) -> int:
        """Number of requests that wait for a turn."""
        return len(self._waiting)

    def add(self, waiter: Waiter) -> None:
        """Add a request whose adapter is loaded, and grant turns that are due."""
        self._count += 1
        turn = Turn(self._count, self.count_unread(waiter), waiter.due)
        self._waiting[turn] = waiter
        self.order.add(turn, waiter.work, turn.tokens / self.window.speed.rate)
        self._grant_due()
        if turn in self._waiting:
            waiter.link.send(TurnNoted(waiter.number))
            self._wake.set()

    def can_send_in_time(self, waiter: Waiter, before: int) -> bool:
        """Return whether the rate limit lets a request be sent before it expires.

        :param before: requests that will be added to the queue before it.
        """
        now = self._clock.monotonic()
        wait = self.rate.delay(self.order.count_ahead(waiter.work) + before, now)
        return now + wait <= waiter.expires_at

    def can_ever_fit(self, waiter: Waiter) -> bool:
        """Return whether the engine's memory holds a request when nothing else runs."""
        needed = waiter.tokens + waiter.work.answer_tokens
        return not self.memory or needed <= self.memory

    def begin_work(self, waiter: Waiter, unread: int) -> None:
        """Record the work of a request that is sent now, with or without a turn.

        :param unread: prompt tokens that the engine has to read, from `count_unread`.
        """
        now = self._clock.monotonic()
        self.work.begin(
            waiter.link, waiter.number, waiter.tokens, unread, waiter.work, now
        )
        if self.memory:
            # The engine reads prompts one after the other, so the parts are there when
            # it begins the next one.
            self.kept.record_read(waiter.key, waiter.chain, now)

    def forget_work(self) -> None:
        """Forget the outstanding work and kept parts of an engine that has ended."""
        self.work, self.kept = EngineWork(), KeptParts()

    def count_unread(self, waiter: Waiter) -> int:
        """Return the prompt tokens of a request that the engine doesn't keep."""
        if not self.memory:
            return waiter.tokens
        now = self._clock.monotonic()
        self.kept.trim(self.memory - self.work.count_outside_parts(now))
        kept = self.kept.count_kept(waiter.chain, now)
        return max(0, waiter.tokens - kept)

    def record_sent(self, link: Link, tokens: int, number: int = 0) -> None:
        """Count a prompt that is sent now, with or without a turn.

        :param tokens: tokens of the prompt that the engine has to read.
        :param number: number by which the gateway identifies the request, 0 if it has
            none.
        """
        prompt = (link, number) if number else None
        if prompt is not None:
            self._prompts.setdefault(link, set()).add(number)
        self.window.take(tokens, self._clock.monotonic(), prompt)
        self._unread[link] += 1
        self._running[link] += 1
        self.slots.begin()
        self.rate.take(self._clock.monotonic())

    def record_read(
        self, link: Link, tokens: int, seconds: float, number: int = 0
    ) -> None:
        """Record that the engine has read a prompt or that its request has ended.

        :param tokens: length of the prompt.
        :param seconds: from the send to the first event, 0 if there was none.
        :param number: number of the request, 0 if it has none.
        """
        self._remove_prompt(link, number)
        if not self._unread[link]:
            # the prompt was sent over an earlier link of this gateway
            return
        self._unread[link] -= 1
        now = self._clock.monotonic()
        if not seconds or now - seconds < self._measured_since:
            # The engine may have read a part of the prompt, or it was read by an
            # earlier start of the engine.
            self._chains.discard()
            return
        slowdown = self.slowdown.mean(now - seconds, now)
        idle = not self._unread.total()
        self._chains.record(tokens, seconds, idle, now, slowdown)
        self._log_read_rate()

    def record_answer(self, tokens: int, event_tokens: int, seconds: float) -> None:
        """Record the length and the time of an answer that has ended.

        :param tokens: its length, 0 if unknown.
        :param event_tokens: tokens of one event.
        :param seconds: from its first to its last event.
        """
        now = self._clock.monotonic()
        began = now - seconds
        if not began >= self._measured_since:
            return
        slowdown = self.slowdown.mean(began, now)
        self.step_time.record(tokens, event_tokens, seconds, slowdown, now)
        if _differs(self.step_time.seconds, self._logged_step_time):
            self._logged_step_time = self.step_time.seconds
            logger.info(
                "step time changed",
                extra={"milliseconds": round(self.step_time.seconds * 1000, 2)},
            )

    def reset_speed(self) -> None:
        """Discard what was measured of an earlier start of the engine."""
        self.window.speed, self.window.slowdown = ReadSpeed(), 1.0
        self._chains = ReadChains(self.window.speed)
        self.slowdown, self.step_time = SlowdownReadings(), StepTime()
        self._measured_since = self._clock.monotonic()

    def _remove_prompt(self, link: Link, number: int) -> None:
        numbers = self._prompts.get(link, set())
        if number in numbers:
            numbers.discard(number)
            self.window.record_read((link, number))
            if self._waiting:
                self._wake.set()

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
        now = self._clock.monotonic()
        self.window.speed.relax(now)
        self.step_time.expire(now)
        self._apply_slowdown(now)
        self._log_slowdown(now)
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
        for turn in [t for t, w in self._waiting.items() if w.link is link]:
            del self._waiting[turn]
            self.order.discard(turn)
        for number in self._prompts.pop(link, set()):
            self.window.record_read((link, number))
        # The engine may still be reading prompts of this gateway for a moment.
        if self._unread.pop(link, 0):
            self._chains.discard()

    def refuse_all(self) -> None:
        """Refuse every waiting request."""
        for turn, waiter in self._waiting.items():
            waiter.answer(False)
            self._on_refused(waiter)
            self.order.discard(turn)
        self._waiting.clear()

    async def run(self) -> None:
        """Grant turns until cancelled."""
        while True:
            wait = self._grant_due()
            self._wake.clear()
            await wait_for_event(self._wake, wait)

    def _log_read_rate(self) -> None:
        rate = self.window.speed.rate
        if _differs(rate, self._logged_rate):
            self._logged_rate = rate
            logger.info(
                "prompt read rate changed", extra={"tokens_a_second": round(rate)}
            )

    def _apply_slowdown(self, now: float) -> None:
        self.window.slowdown = self.slowdown.read(now)
        self.window.set_host(self.slowdown.varies)

    def _log_slowdown(self, now: float) -> None:
        average = self.slowdown.mean(now - LOGGED_SLOWDOWN_SECONDS, now)
        slow = average >= (USUAL_AVERAGE if self._logged_slow else SLOW_AVERAGE)
        if slow != self._logged_slow:
            self._logged_slow = slow
            logger.info(
                "host of the engine slowed down"
                if slow
                else "host of the engine works as usual",
                extra={"slowdown": round(average, 2)},
            )

    def _grant_due(self) -> float | None:
        """Grant all turns that are due.

        :returns: seconds until the next turn or expiry, None if no request waits.
        """
        now = self._clock.monotonic()
        # No reports are read while the engine rests, and readings expire meanwhile.
        self._apply_slowdown(now)
        self._refuse_expired(now)
        wait = None
        while (turn := self.order.choose(now)) is not None:
            waiter = self._waiting[turn]
            unread = self.count_unread(waiter)
            space_wait = self.window.wait(unread, now)
            wait = max(space_wait, self.rate.wait(now))
            if wait > 0 or self.slots.full:
                # a wait for a slot or the rate limit doesn't depend on the length
                lacks_space = space_wait > 0 and not self.slots.full
                self.order.hold(turn if lacks_space else None)
                break
            if not self.work.admits(waiter.tokens, waiter.work, self.memory, now):
                # Memory is freed by the end of a request, which sets the wake event, or
                # by an answer that turns out shorter than expected.
                wait = MEMORY_CHECK_SECONDS
                break
            del self._waiting[turn]
            self.order.grant(turn, now)
            self.begin_work(waiter, unread)
            self.record_sent(waiter.link, unread, waiter.number)
            self._on_granted(waiter)
            waiter.answer(True)
        self._publish_delay(now)
        self._log_fair_order(now)
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
            self.order.discard(turn)
            waiter.answer(False)
            self._on_refused(waiter)

    def _log_fair_order(self, now: float) -> None:
        turns = self.order.reordered - self._logged_reordered
        if turns and now - self._fair_logged_at >= FAIR_LOG_SECONDS:
            self._logged_reordered = self.order.reordered
            self._fair_logged_at = now
            logger.info(
                "turns granted out of due order",
                extra={
                    "turns": turns,
                    "waiting": len(self._waiting),
                    "customers": self.order.customers_waiting,
                    "ranks": self.order.ranks_waiting,
                },
            )

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


def _differs(value: float, logged: float) -> bool:
    """Return whether a value has changed enough to be logged."""
    return value > LOGGED_RATE_RATIO * logged or value * LOGGED_RATE_RATIO < logged
