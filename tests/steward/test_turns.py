"""Requests that wait at a steward for their turn."""

import asyncio

import pytest

from ibishead.clock import SystemClock
from ibishead.ids import ModelName
from ibishead.routing.messages import TurnAnswer, TurnNoted
from ibishead.routing.targets import WeightKey
from ibishead.steward.turns import TurnQueue, Waiter

KEY = WeightKey(ModelName("m"), "a")
GAP = 0.1


class FakeLink:
    """A gateway's end of a link."""

    def __init__(self) -> None:
        self.sent: list = []

    def send(self, message) -> None:
        self.sent.append(message)


class Setting:
    """A queue whose window takes one prompt of a thousand tokens at a time."""

    def __init__(self) -> None:
        self.clock, self.link = SystemClock(), FakeLink()
        self.told: list[float] = []
        self.dropped: list[Waiter] = []
        self.queue = TurnQueue(self.clock, self.told.append, self.dropped.append)
        self.queue.window.gap = GAP

    async def __aenter__(self) -> "Setting":
        self._task = asyncio.create_task(self.queue.run())
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def add(self, number: int, due: float = 5.0, wait: float = 5.0) -> None:
        now = self.clock.monotonic()
        waiter = Waiter(self.link, number, KEY, now + wait, 1000, now + due)
        self.queue.add(waiter)

    @property
    def answers(self) -> list[tuple[int, bool]]:
        found = [m for m in self.link.sent if isinstance(m, TurnAnswer)]
        return [(m.number, m.granted) for m in found]


async def test_prompts_of_several_gateways_are_spread_over_time():
    """Running answers pause, as each gateway sees only its own prompts."""
    async with Setting() as setting:
        setting.add(1)
        setting.add(2, due=9.0)
        setting.add(3, due=4.0)
        assert setting.answers == [(1, True)]
        noted = [m.number for m in setting.link.sent if isinstance(m, TurnNoted)]
        assert noted == [2, 3]
        await asyncio.sleep(1.5 * GAP)
        assert setting.answers == [(1, True), (3, True)]
        await asyncio.sleep(GAP)
        assert setting.answers == [(1, True), (3, True), (2, True)]
        assert max(setting.told) > 0


async def test_who_gets_no_turn_in_time_is_told_and_no_longer_counted():
    async with Setting() as setting:
        setting.add(1)
        setting.add(2, wait=0.02)
        await asyncio.sleep(0.05)
        assert setting.answers == [(1, True), (2, False)]
        assert [waiter.number for waiter in setting.dropped] == [2]


@pytest.mark.parametrize("sent", [0, 5000])
async def test_prompts_sent_without_a_turn_take_their_share(sent):
    async with Setting() as setting:
        setting.queue.note_sent(setting.link, sent)
        setting.add(1)
        assert setting.answers == ([] if sent else [(1, True)])


async def test_a_gateway_that_is_gone_gets_no_turn():
    async with Setting() as setting:
        setting.add(1)
        setting.add(2)
        setting.queue.leave(setting.link)
        await asyncio.sleep(2 * GAP)
        assert setting.answers == [(1, True)]


@pytest.mark.parametrize(("crowd", "learns"), [(False, True), (True, False)])
async def test_only_prompts_that_were_read_alone_tell_the_speed(crowd, learns):
    """A quick engine passes for a slow one because prompts were read two at a time."""
    async with Setting() as setting:
        other = FakeLink()
        setting.queue.window.gap = 0.0
        for number in range(1, 41):
            tokens = 100 * (number % 10 + 1)
            setting.queue.note_sent(setting.link, tokens)
            if crowd:
                setting.queue.note_sent(other, 1000)
            setting.queue.note_read(setting.link, tokens, 0.03 + tokens / 80_000)
            if crowd:
                setting.queue.note_read(other, 1000, 0.03)
        rate = setting.queue.window.speed.rate
        assert (rate == pytest.approx(80_000, rel=0.05)) == learns
        setting.queue.note_sent(other, 1000)
        setting.queue.leave(other)
        setting.queue.note_read(other, 1000, 0.5)
        assert setting.queue.window.speed.rate == rate


async def test_requests_wait_for_a_slot_outside_the_engine():
    """Guards against running answers that more urgent requests push out."""
    async with Setting() as setting:
        setting.queue.window.gap = 0.0
        setting.queue.slots.slots = 2
        for number in range(1, 5):
            setting.add(number, due=10.0 - number)
        assert [number for number, _ in setting.answers] == [1, 2]
        assert max(setting.told) > 0
        setting.queue.note_end(setting.link)
        await asyncio.sleep(0.01)
        assert setting.answers[2:] == [(4, True)]


async def test_slots_of_a_gateway_that_is_gone_are_free():
    """Guards against slots that nobody will ever give back."""
    async with Setting() as setting:
        setting.queue.window.gap = 0.0
        setting.queue.slots.slots = 1
        other = FakeLink()
        setting.queue.note_sent(other, 10)
        setting.add(1)
        assert not setting.answers
        setting.queue.leave(other)
        setting.queue.note_report(0)
        await asyncio.sleep(0.01)
        assert setting.answers == [(1, True)]


async def test_the_report_of_an_engine_frees_slots_whose_ends_were_lost():
    async with Setting() as setting:
        setting.queue.window.gap = 0.0
        setting.queue.slots.slots = 1
        setting.queue.note_sent(setting.link, 10)
        setting.add(1)
        setting.queue.note_report(0)
        await asyncio.sleep(0.01)
        assert not setting.answers
        setting.queue.note_report(0)
        await asyncio.sleep(0.01)
        assert setting.answers == [(1, True)]


async def test_turns_keep_to_the_limit_that_the_engine_names():
    """Requests with and without turns come faster than the engine takes them."""
    limit = 20.0
    async with Setting() as setting:
        setting.queue.window.gap = 0.0
        began = setting.clock.monotonic()
        setting.queue.set_limit(limit)
        for number in range(1, 5):
            setting.add(number)
        setting.queue.note_sent(setting.link, 10)
        while len(setting.answers) < 4:
            elapsed = setting.clock.monotonic() - began
            assert len(setting.answers) <= elapsed * limit
            await asyncio.sleep(0.01)
        assert max(setting.told) >= 4 / limit
        setting.queue.set_limit(None)
        for number in range(5, 25):
            setting.add(number)
        assert len(setting.answers) == 24
