"""Requests that wait at a steward for their turn at its engine."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ibishead.clock import Clock
from ibishead.decisions.batchslots import BatchSlots
from ibishead.decisions.sendrate import SendRate
from ibishead.decisions.turns import PromptWindow, Turn, choose_turn
from ibishead.links import Link
from ibishead.routing.messages import TurnAnswer, TurnNoted
from ibishead.routing.targets import WeightKey

__all__ = ["TurnQueue", "Waiter"]

logger = logging.getLogger(__name__)

#: Ratio of two read rates between which a change isn't worth a line in the log.
LOGGED_RATIO = 1.25

#: Seconds by which the delay of a new prompt differs from what gateways take it to be
#: until they are told anew.
DELAY_STEP = 0.05

#: Seconds without a request that an engine with a limit may make up for.
SAVED_TIME = 1.0


@dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for an adapter, and then for its turn.

    :param number: the gateway's name for it.
    :param until: monotonic seconds after which it is of no use.
    :param tokens: length of its prompt.
    :param due: monotonic seconds at which its answer should begin.
    """

    link: Link
    number: int
    key: WeightKey
    until: float
    tokens: int
    due: float

    def answer(self, given: bool) -> None:
        """Tell the gateway whether the request may be sent."""
        self.link.send(TurnAnswer(self.number, given))


class TurnQueue:
    """Gives turns as the engine's batch and its window let requests through.

    :param tell: tells gateways how many seconds a prompt that comes now would wait.
    :param drop: called with each request that got no turn in time.
    """

    def __init__(
        self,
        clock: Clock,
        tell: Callable[[float], None],
        drop: Callable[[Waiter], None],
    ) -> None:
        self.window = PromptWindow()
        self.slots = BatchSlots()
        self.rate = SendRate(SAVED_TIME)
        self._clock = clock
        self._tell = tell
        self._drop = drop
        self._waiting: dict[Turn, Waiter] = {}
        self._count = 0
        self._wake = asyncio.Event()
        self._told = 0.0
        self._told_at = 0.0
        self._logged_rate = self.window.speed.rate
        self._unread: Counter[Link] = Counter()
        self._running: Counter[Link] = Counter()
        self._alone = False

    @property
    def count(self) -> int:
        """How many requests wait for their turn."""
        return len(self._waiting)

    def add(self, waiter: Waiter) -> None:
        """Take in a request whose adapter is in place."""
        self._count += 1
        turn = Turn(self._count, waiter.tokens, waiter.due)
        self._waiting[turn] = waiter
        self._give()
        if turn in self._waiting:
            waiter.link.send(TurnNoted(waiter.number))
            self._wake.set()

    def fits(self, waiter: Waiter, before: int) -> bool:
        """Return whether the engine's limit lets a request through in time.

        :param before: requests that will join the queue before it.
        """
        now = self._clock.monotonic()
        wait = self.rate.delay(len(self._waiting) + before, now)
        return now + wait <= waiter.until

    def note_sent(self, link: Link, tokens: int) -> None:
        """Count a prompt that is sent now, with or without a turn."""
        self.window.take(tokens, self._clock.monotonic())
        self._alone = not self._unread.total()
        self._unread[link] += 1
        self._running[link] += 1
        self.slots.begin()
        self.rate.take(self._clock.monotonic())

    def note_read(self, link: Link, tokens: int, seconds: float) -> None:
        """Take in that the engine has read a prompt, or that its request has ended.

        How fast it reads shows where it had one prompt to read and no other.

        :param seconds: from the send to the first event, 0 where none came.
        """
        if not self._unread[link]:
            # sent over an earlier link
            return
        self._unread[link] -= 1
        if seconds and self._alone and not self._unread.total():
            self.window.speed.record(tokens, seconds)
            self._log_rate()

    def note_end(self, link: Link) -> None:
        """Count a request of a gateway as over."""
        if not self._running[link]:
            # sent over an earlier link
            return
        self._running[link] -= 1
        self.slots.end(1, self._clock.monotonic())
        self._wake_waiting()

    def note_report(self, requests: int) -> None:
        """Take in how many requests the engine has."""
        self.slots.record_report(requests)
        self._wake_waiting()

    def set_limit(self, rate: float | None) -> None:
        """Give no more turns than this many a second, none for no bound."""
        self.rate.limit(rate, self._clock.monotonic())
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        if self._waiting and not self.slots.full:
            self._wake.set()

    def leave(self, link: Link) -> None:
        """Forget the requests of a gateway whose link is over."""
        self.slots.end(self._running.pop(link, 0), self._clock.monotonic())
        self._waiting = {t: w for t, w in self._waiting.items() if w.link is not link}
        # what the gateway sent may still be read, for a moment
        if self._unread.pop(link, 0):
            self._alone = False

    def refuse_all(self) -> None:
        """Tell all who wait that they get no turn here."""
        for waiter in self._waiting.values():
            waiter.answer(False)
            self._drop(waiter)
        self._waiting.clear()

    async def run(self) -> None:
        """Give turns until cancelled."""
        while True:
            wait = self._give()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), wait)

    def _log_rate(self) -> None:
        rate = self.window.speed.rate
        if not 1 / LOGGED_RATIO < rate / self._logged_rate < LOGGED_RATIO:
            self._logged_rate = rate
            logger.info("read rate learned", extra={"tokens_a_second": round(rate)})

    def _give(self) -> float | None:
        """Give all turns that are due, and return the seconds until the next one."""
        now = self._clock.monotonic()
        self._drop_late(now)
        wait = None
        while (turn := choose_turn(self._waiting, now)) is not None:
            wait = max(self.window.wait(turn.tokens, now), self.rate.wait(now))
            if wait > 0 or self.slots.full:
                break
            waiter = self._waiting.pop(turn)
            self.note_sent(waiter.link, waiter.tokens)
            waiter.answer(True)
        self._publish(now)
        if not self._waiting:
            return None
        ends = min(waiter.until for waiter in self._waiting.values()) - now
        if self.slots.full:
            # the end of a request wakes those who wait
            return max(0.001, ends)
        return max(0.001, min(ends, wait or 0.0))

    def _drop_late(self, now: float) -> None:
        late = [turn for turn, waiter in self._waiting.items() if waiter.until <= now]
        for turn in late:
            waiter = self._waiting.pop(turn)
            waiter.answer(False)
            self._drop(waiter)

    def _publish(self, now: float) -> None:
        queued = sum(turn.tokens for turn in self._waiting)
        delay = self.window.delay(queued, now)
        waiting = len(self._waiting)
        delay = max(delay, self.slots.delay(waiting), self.rate.delay(waiting, now))
        believed = max(0.0, self._told - (now - self._told_at))
        if abs(delay - believed) >= DELAY_STEP:
            self._told, self._told_at = delay, now
            self._tell(delay)
