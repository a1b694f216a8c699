"""Turns that a steward grants to waiting requests."""

import asyncio
import time

import pytest

from ibishead.clock import SystemClock
from ibishead.decisions.slowdown import SLOWDOWN_SECONDS
from ibishead.ids import CustomerId, ModelName, PartKey
from ibishead.routing.messages import TurnAnswer, TurnNoted
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import WeightKey
from ibishead.routing.work import RequestWork
from ibishead.steward.turns import TurnQueue, Waiter

KEY = WeightKey(ModelName("m"), "a")
GAP = 0.1


class FakeLink:
    """The end of a link at a gateway."""

    def __init__(self) -> None:
        self.sent: list = []

    def send(self, message) -> None:
        self.sent.append(message)


class QueueHarness:
    """A queue whose window admits one prompt of 1000 tokens at a time."""

    def __init__(self) -> None:
        self.clock, self.link = SystemClock(), FakeLink()
        self.delays: list[float] = []
        self.refused: list[Waiter] = []
        self.granted: list[Waiter] = []
        self.queue = TurnQueue(
            self.clock, self.delays.append, self.refused.append, self.granted.append
        )
        self.queue.window.gap = GAP

    async def __aenter__(self) -> "QueueHarness":
        self._task = asyncio.create_task(self.queue.run())
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def add(
        self,
        number: int,
        due: float = 5.0,
        wait: float = 5.0,
        customer: str = "",
        **known,
    ) -> None:
        now = self.clock.monotonic()
        known.setdefault("work", RequestWork(customer=CustomerId(customer)))
        waiter = Waiter(self.link, number, KEY, now + wait, 1000, now + due, **known)
        self.queue.add(waiter)

    def read(self, number: int) -> None:
        """Report that the engine has read a prompt."""
        self.queue.record_read(self.link, 1000, 0.01, number)

    @property
    def answers(self) -> list[tuple[int, bool]]:
        found = [m for m in self.link.sent if isinstance(m, TurnAnswer)]
        return [(m.number, m.granted) for m in found]


async def test_prompts_of_several_gateways_are_spread_over_time():
    """Running answers would pause, as each gateway knows only its own prompts."""
    async with QueueHarness() as harness:
        harness.add(1)
        harness.add(2, due=9.0)
        harness.add(3, due=4.0)
        assert harness.answers == [(1, True)]
        noted = [m.number for m in harness.link.sent if isinstance(m, TurnNoted)]
        assert noted == [2, 3]
        harness.read(1)
        assert harness.answers == [(1, True)]
        await asyncio.sleep(1.5 * GAP)
        assert harness.answers == [(1, True), (3, True)]
        harness.read(3)
        await asyncio.sleep(GAP)
        assert harness.answers == [(1, True), (3, True), (2, True)]
        assert max(harness.delays) > 0


@pytest.mark.parametrize("ended_by", ["read", "closed link"])
async def test_engine_that_is_behind_gets_no_further_prompt(ended_by):
    """Answers of a slowed engine would pause ever longer, as prompts pile up there."""
    async with QueueHarness() as harness:
        other = FakeLink()
        harness.queue.record_sent(other, 5000, 1)
        harness.add(1)
        await asyncio.sleep(3 * GAP)
        assert not harness.answers
        if ended_by == "read":
            harness.queue.record_read(other, 5000, 3 * GAP, 1)
        else:
            harness.queue.remove_link(other)
        await asyncio.sleep(GAP + 0.02)
        assert harness.answers == [(1, True)]


@pytest.mark.parametrize("blocked_seconds", [0.0, 0.1])
async def test_expired_request_is_refused_and_removed(blocked_seconds):
    """The refusal is the first thing that a loop does which was blocked meanwhile."""
    async with QueueHarness() as harness:
        harness.add(1)
        harness.add(2, wait=0.02)
        loop = asyncio.get_running_loop()
        loop.call_later(0.005, time.sleep, blocked_seconds)
        await asyncio.sleep(0.05)
        assert harness.answers == [(1, True), (2, False)]
        assert [waiter.number for waiter in harness.refused] == [2]


@pytest.mark.parametrize("sent", [0, 5000])
async def test_prompts_sent_without_a_turn_count_against_the_window(sent):
    async with QueueHarness() as harness:
        harness.queue.record_sent(harness.link, sent)
        harness.add(1)
        assert harness.answers == ([] if sent else [(1, True)])


async def test_gateway_with_closed_link_gets_no_turn():
    async with QueueHarness() as harness:
        harness.add(1)
        harness.add(2)
        harness.queue.remove_link(harness.link)
        await asyncio.sleep(2 * GAP)
        assert harness.answers == [(1, True)]


@pytest.mark.parametrize("concurrent", [False, True])
async def test_read_rate_is_measured_with_single_and_concurrent_prompts(concurrent):
    """A fast engine would seem slow when it reads two prompts at a time."""
    async with QueueHarness() as harness:
        other = FakeLink()
        harness.queue.window.gap = 0.0
        for number in range(1, 41):
            tokens = 100 * (number % 10 + 1)
            harness.queue.record_sent(harness.link, tokens)
            if concurrent:
                harness.queue.record_sent(other, 1000)
            harness.queue.record_read(harness.link, tokens, 0.03 + tokens / 80_000)
            if concurrent:
                harness.queue.record_read(other, 1000, 0.03)
        rate = harness.queue.window.speed.rate
        assert rate == pytest.approx(80_000, rel=0.05)
        harness.queue.record_sent(other, 1000)
        harness.queue.remove_link(other)
        harness.queue.record_read(other, 1000, 0.5)
        assert harness.queue.window.speed.rate == rate


async def test_requests_wait_for_a_slot_outside_the_engine():
    """An engine without a free slot preempts running answers for urgent requests."""
    async with QueueHarness() as harness:
        harness.queue.window.gap = 0.0
        harness.queue.slots.slots = 2
        for number in range(1, 5):
            harness.add(number, due=10.0 - number)
        assert [number for number, _ in harness.answers] == [1, 2]
        assert max(harness.delays) > 0
        harness.queue.record_end(harness.link)
        await asyncio.sleep(0.01)
        assert harness.answers[2:] == [(4, True)]


async def test_closed_link_releases_its_slots():
    """A gateway that is gone never reports the end of its requests."""
    async with QueueHarness() as harness:
        harness.queue.window.gap = 0.0
        harness.queue.slots.slots = 1
        other = FakeLink()
        harness.queue.record_sent(other, 10)
        harness.add(1)
        assert not harness.answers
        harness.queue.remove_link(other)
        harness.queue.record_report(0)
        await asyncio.sleep(0.01)
        assert harness.answers == [(1, True)]


async def test_engine_report_releases_slots_of_lost_request_ends():
    async with QueueHarness() as harness:
        harness.queue.window.gap = 0.0
        harness.queue.slots.slots = 1
        harness.queue.record_sent(harness.link, 10)
        harness.add(1)
        harness.queue.record_report(0)
        await asyncio.sleep(0.01)
        assert not harness.answers
        harness.queue.record_report(0)
        await asyncio.sleep(0.01)
        assert harness.answers == [(1, True)]


async def test_turns_respect_the_rate_limit_of_the_engine():
    """Requests with and without turns together would exceed the engine's limit."""
    limit = 20.0
    async with QueueHarness() as harness:
        harness.queue.window.gap = 0.0
        began = harness.clock.monotonic()
        harness.queue.set_rate_limit(limit)
        for number in range(1, 5):
            harness.add(number)
        harness.queue.record_sent(harness.link, 10)
        while len(harness.answers) < 4:
            elapsed = harness.clock.monotonic() - began
            assert len(harness.answers) <= elapsed * limit
            await asyncio.sleep(0.01)
        assert max(harness.delays) >= 4 / limit
        harness.queue.set_rate_limit(None)
        for number in range(5, 25):
            harness.add(number)
        assert len(harness.answers) == 24


async def test_customers_are_granted_turns_alternately(caplog):
    """Guards against a customer that takes every turn with many early due times."""
    caplog.set_level("INFO")
    async with QueueHarness() as harness:
        harness.queue.window.gap = 0.0
        harness.queue.slots.slots = 1
        for number in range(1, 5):
            harness.add(number, due=1.0 + number, customer="large")
        harness.add(9, due=5.0, customer="small")
        assert harness.queue.order.customers_waiting == 2
        for _ in range(4):
            harness.queue.record_end(harness.link)
            await asyncio.sleep(0.01)
        assert [number for number, _ in harness.answers] == [1, 9, 2, 3, 4]
        assert harness.queue.order.reordered == 1
        (record,) = [r for r in caplog.records if "due order" in r.message]
        assert (record.turns, record.customers) == (1, 1)


@pytest.mark.parametrize("way", ["link", "engine", "expiry"])
async def test_requests_that_no_longer_wait_leave_the_fair_order(way):
    """Guards against turns granted to requests of a lost gateway, and a leak of them.

    The customer "other" would be counted as waiting forever.
    """
    async with QueueHarness() as harness:
        harness.queue.slots.slots = 1
        harness.add(1, customer="one")
        harness.add(2, wait=0.02 if way == "expiry" else 5.0, customer="other")
        assert harness.queue.order.customers_waiting == 1
        if way == "link":
            harness.queue.remove_link(harness.link)
        elif way == "engine":
            harness.queue.refuse_all()
        await asyncio.sleep(0.05)
        assert harness.queue.order.customers_waiting == 0
        assert not harness.queue.order.active
        assert harness.queue.order.choose(0.0) is None


@pytest.mark.parametrize(
    ("memory", "granted"), [(0, 4), (2500, 2), (3700, 3), (100_000, 4)]
)
async def test_turns_are_granted_within_the_memory(memory, granted):
    """The engine would preempt running answers in the middle."""
    async with QueueHarness() as harness:
        harness.queue.window.gap, harness.queue.memory = 0.0, memory
        for number in range(1, 5):
            harness.add(number, work=RequestWork(200))
        assert len(harness.answers) == granted
        assert (max(harness.delays, default=0.0) > 0) == (granted < 4)
        harness.queue.work.end(harness.link, 1, harness.clock.monotonic())
        harness.queue.record_end(harness.link)
        await asyncio.sleep(0.02)
        assert len(harness.answers) == min(4, granted + 1)


async def test_kept_parts_do_not_count_against_the_window():
    """Prompts that the engine need not read again would wait for nothing."""
    async with QueueHarness() as harness:
        harness.queue.memory = 100_000
        known = {
            "keys": PromptKeys(PartKey("own"), (PartKey("shared"),)),
            "work": RequestWork(0, (900, 100)),
        }
        harness.add(1, **known)
        harness.add(2, **known)
        harness.add(3, **known)
        harness.add(4)
        assert harness.answers == [(1, True), (2, True), (3, True)]
        assert harness.queue.work.prompt_backlog == 1000


async def test_slowdown_ends_without_a_further_report():
    """Guards against a limit that stays reduced while the engine rests."""
    async with QueueHarness() as harness:
        usual = harness.queue.window.limit
        harness.queue.slowdown.record(50.0, harness.clock.monotonic())
        harness.queue.record_report(0)
        assert harness.queue.window.limit < usual / 40
        await asyncio.sleep(SLOWDOWN_SECONDS + 0.05)
        harness.add(1)
        assert harness.queue.window.limit == usual
