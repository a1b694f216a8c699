"""A gateway's links to stewards that answer, are silent, or go."""

import asyncio
import time

import pytest

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.gateway.stewards import HEARD_TIME, StewardLinks, TurnEnd
from ibishead.ids import FailureDomain, HostId, ModelName, TargetId
from ibishead.messages import Hello, Role
from ibishead.routing.messages import (
    AskTurn,
    EndUse,
    MemberKind,
    MemberRecord,
    PromptDelay,
    PromptRead,
    TurnAnswer,
    TurnNoted,
)
from ibishead.routing.targets import WeightKey

KEY = WeightKey(ModelName("m"), "a")
ADDRESS = "127.0.0.1:9"
STEWARD = MemberRecord(
    HostId("side"),
    MemberKind.STEWARD,
    "127.0.0.1",
    1,
    FailureDomain("a"),
    target=ADDRESS,
)


class FakeLink:
    """A link to a steward that answers by ``answers``, none for silence."""

    def __init__(self, answers) -> None:
        self.peer = Hello(Role.AGENT, HostId("side"))
        self.closed = False
        self.timed_out = False
        self.sent: list = []
        self.inbox: asyncio.Queue = asyncio.Queue()
        self._answers = answers

    def send(self, message) -> None:
        self.sent.append(message)
        if isinstance(message, AskTurn):
            for answer in self._answers(message.number):
                self.inbox.put_nowait(answer)

    async def receive(self):
        while (message := await self.inbox.get()) is not None:
            yield message

    def abort(self) -> None:
        self.closed = True


class Setting:
    """Links to one steward."""

    def __init__(self, answers) -> None:
        self.link = FakeLink(answers)
        self.delays: list[PromptDelay] = []
        self.links = StewardLinks(
            HostId("g"),
            SystemClock(),
            print,
            self.delays.append,
            print,
            print,
            self._dial,
        )
        self._dialled = False
        self.refusal: Exception = TimeoutError()

    async def _dial(self, *_):
        if self._dialled:
            raise LinkLost("gone", "wait") from self.refusal
        self._dialled = True
        return self.link

    async def __aenter__(self) -> "Setting":
        self.links.meet(STEWARD)
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_) -> None:
        await self.links.stop()

    async def ask(self, wait: float = 0.4) -> TurnEnd:
        return await self.links.ask_turn(ADDRESS, KEY, 0, wait=wait)


@pytest.mark.parametrize(
    ("answers", "expected", "reached"),
    [
        (lambda n: [TurnAnswer(n, True)], TurnEnd.GIVEN, True),
        (lambda n: [TurnNoted(n), TurnAnswer(n, True)], TurnEnd.GIVEN, True),
        (lambda n: [TurnNoted(n), TurnAnswer(n, False)], TurnEnd.LATE, True),
        (lambda n: [TurnNoted(n)], TurnEnd.LATE, True),
        (lambda n: [], TurnEnd.MUTE, False),
    ],
)
async def test_the_end_of_a_wait(answers, expected, reached):
    """Requests wait seconds for a steward whose host stands still."""
    async with Setting(answers) as setting:
        assert await setting.ask() is expected
        assert setting.links.reaches(ADDRESS) is reached


async def test_a_turn_that_comes_too_late_is_given_back():
    async with Setting(lambda n: [TurnNoted(n)]) as setting:
        assert await setting.ask(wait=0.05) is TurnEnd.LATE
        asked = next(m for m in setting.link.sent if isinstance(m, AskTurn))
        setting.link.inbox.put_nowait(TurnAnswer(asked.number, True))
        await asyncio.sleep(0.01)
        assert PromptRead(0, 0.0) in setting.link.sent
        assert EndUse(KEY) in setting.link.sent


async def test_a_link_that_ends_ends_the_wait():
    async with Setting(lambda n: [TurnNoted(n)]) as setting:
        waiting = asyncio.create_task(setting.ask(wait=30.0))
        await asyncio.sleep(0.01)
        setting.link.inbox.put_nowait(None)
        assert await waiting is TurnEnd.LATE


async def test_delays_are_passed_on():
    async with Setting(lambda n: []) as setting:
        delay = PromptDelay(TargetId("t"), 0.3)
        setting.link.inbox.put_nowait(delay)
        await asyncio.sleep(0.01)
        assert setting.delays == [delay]


async def test_a_turn_that_comes_as_its_caller_leaves_is_given_back():
    """Guards against a slot and an adapter that stay in use for nobody."""
    async with Setting(lambda n: [TurnNoted(n)]) as setting:
        waiting = asyncio.create_task(setting.ask(wait=30.0))
        await asyncio.sleep(0.01)
        asked = next(m for m in setting.link.sent if isinstance(m, AskTurn))
        setting.links._end_wait(asked.number, True)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert EndUse(KEY) in setting.link.sent


@pytest.mark.parametrize(
    ("silenced", "refusal", "mute"),
    [
        (True, TimeoutError(), True),
        (True, ConnectionRefusedError(), False),
        (False, TimeoutError(), False),
    ],
)
async def test_a_steward_whose_link_went_silent_stays_mute(silenced, refusal, mute):
    """Guards against prompts for a host that has stood still for seconds."""
    async with Setting(lambda n: []) as setting:
        setting.refusal = refusal
        setting.link.timed_out = silenced
        setting.link.inbox.put_nowait(None)
        await asyncio.sleep(0.3)
        assert setting.links.is_mute(ADDRESS) is mute


async def test_a_gateway_that_is_late_itself_doesnt_take_its_steward_for_mute():
    """Callers are refused, as a busy host reads its stewards' answers too late."""
    async with asyncio.timeout(10):
        async with Setting(lambda number: []) as setting:
            asking = asyncio.create_task(setting.ask())
            while not setting.link.sent:
                await asyncio.sleep(0)
            number = setting.link.sent[-1].number

            def read(turns: int) -> None:
                if turns:
                    asyncio.get_running_loop().call_soon(read, turns - 1)
                else:
                    setting.link.inbox.put_nowait(TurnNoted(number))
                    setting.link.inbox.put_nowait(TurnAnswer(number, True))

            # an answer passes through the socket and the link before it is read
            read(3)
            time.sleep(2 * HEARD_TIME)
            assert await asking is TurnEnd.GIVEN
