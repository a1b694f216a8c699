"""Links from a gateway to stewards that respond, are unresponsive or disconnect."""

import asyncio
import time

import pytest

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.gateway.stewards import ACK_TIMEOUT_SECONDS, StewardLinks, TurnOutcome
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
    """A link to a steward that responds to a request for a turn by ``answers``.

    ``answers(number)`` returns the messages; an unresponsive steward returns none.
    """

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


class Fixture:
    """Steward links of a gateway with one steward."""

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
        self._connected = False
        self.dial_error: Exception = TimeoutError()

    async def _dial(self, *_):
        if self._connected:
            raise LinkLost("gone", "wait") from self.dial_error
        self._connected = True
        return self.link

    async def __aenter__(self) -> "Fixture":
        self.links.connect(STEWARD)
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_) -> None:
        await self.links.stop()

    async def request_turn(self, wait: float = 0.4) -> TurnOutcome:
        number = self.links.take_number()
        return await self.links.request_turn(ADDRESS, KEY, 0, number=number, wait=wait)


@pytest.mark.parametrize(
    ("answers", "expected", "available"),
    [
        (lambda n: [TurnAnswer(n, True)], TurnOutcome.GRANTED, True),
        (lambda n: [TurnNoted(n), TurnAnswer(n, True)], TurnOutcome.GRANTED, True),
        (lambda n: [TurnNoted(n), TurnAnswer(n, False)], TurnOutcome.LATE, True),
        (lambda n: [TurnNoted(n)], TurnOutcome.LATE, True),
        (lambda n: [], TurnOutcome.UNRESPONSIVE, False),
    ],
)
async def test_the_outcome_of_a_request_for_a_turn(answers, expected, available):
    """A steward that acknowledges nothing must be skipped.

    Otherwise, requests wait for seconds at a steward whose host is frozen.
    """
    async with Fixture(answers) as fixture:
        assert await fixture.request_turn() is expected
        assert fixture.links.is_available(ADDRESS) is available


async def test_a_turn_granted_after_the_timeout_is_returned():
    async with Fixture(lambda n: [TurnNoted(n)]) as fixture:
        assert await fixture.request_turn(wait=0.05) is TurnOutcome.LATE
        request = next(m for m in fixture.link.sent if isinstance(m, AskTurn))
        fixture.link.inbox.put_nowait(TurnAnswer(request.number, True))
        await asyncio.sleep(0.01)
        assert PromptRead(0, 0.0, request.number) in fixture.link.sent
        assert EndUse(KEY, number=request.number) in fixture.link.sent


async def test_a_withdrawn_turn_ends_its_wait_and_is_returned_once_granted():
    """A request would wait for an engine that rests, and the turn would be lost."""
    async with Fixture(lambda n: [TurnNoted(n)]) as fixture:
        waiting = asyncio.create_task(fixture.request_turn(wait=30.0))
        await asyncio.sleep(0.01)
        request = next(m for m in fixture.link.sent if isinstance(m, AskTurn))
        fixture.links.withdraw_turns("127.0.0.1:8")
        assert not waiting.done()
        fixture.links.withdraw_turns(ADDRESS)
        fixture.link.inbox.put_nowait(TurnAnswer(request.number, True))
        assert await waiting is TurnOutcome.LATE
        await asyncio.sleep(0.01)
        assert fixture.link.sent.count(EndUse(KEY, number=request.number)) == 1


async def test_a_lost_link_ends_the_wait_for_a_turn():
    async with Fixture(lambda n: [TurnNoted(n)]) as fixture:
        turn_task = asyncio.create_task(fixture.request_turn(wait=30.0))
        await asyncio.sleep(0.01)
        fixture.link.inbox.put_nowait(None)
        assert await turn_task is TurnOutcome.LATE


async def test_reported_delays_are_forwarded():
    async with Fixture(lambda n: []) as fixture:
        delay = PromptDelay(TargetId("t"), 0.3)
        fixture.link.inbox.put_nowait(delay)
        await asyncio.sleep(0.01)
        assert fixture.delays == [delay]


async def test_a_turn_granted_while_its_request_is_cancelled_is_returned():
    """The caller disconnects when the turn was granted but not yet taken.

    Otherwise, the slot and the adapter remain in use at the steward.
    """
    async with Fixture(lambda n: [TurnNoted(n)]) as fixture:
        turn_task = asyncio.create_task(fixture.request_turn(wait=30.0))
        await asyncio.sleep(0.01)
        request = next(m for m in fixture.link.sent if isinstance(m, AskTurn))
        fixture.links._finish_turn(request.number, True)
        turn_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await turn_task
        assert EndUse(KEY, number=request.number) in fixture.link.sent


@pytest.mark.parametrize(
    ("silenced", "dial_error", "mute"),
    [
        (True, TimeoutError(), True),
        (True, ConnectionRefusedError(), False),
        (False, TimeoutError(), False),
    ],
)
async def test_a_steward_whose_link_timed_out_is_unresponsive(
    silenced, dial_error, mute
):
    """Prompts must not be sent to a host that has been frozen for seconds."""
    async with Fixture(lambda n: []) as fixture:
        fixture.dial_error = dial_error
        fixture.link.timed_out = silenced
        fixture.link.inbox.put_nowait(None)
        await asyncio.sleep(0.3)
        assert fixture.links.is_unresponsive(ADDRESS) is mute


async def test_a_blocked_event_loop_does_not_make_a_steward_unresponsive():
    """A blocked event loop must not make a steward count as unresponsive.

    On a busy host, an acknowledgement is read only after the time-out has expired, and
    callers would be refused.
    """
    async with asyncio.timeout(10):
        async with Fixture(lambda number: []) as fixture:
            turn_task = asyncio.create_task(fixture.request_turn())
            while not fixture.link.sent:
                await asyncio.sleep(0)
            number = fixture.link.sent[-1].number

            def read(iterations: int) -> None:
                if iterations:
                    asyncio.get_running_loop().call_soon(read, iterations - 1)
                else:
                    fixture.link.inbox.put_nowait(TurnNoted(number))
                    fixture.link.inbox.put_nowait(TurnAnswer(number, True))

            # A message passes through the socket and the link before it is read.
            read(3)
            time.sleep(2 * ACK_TIMEOUT_SECONDS)
            assert await turn_task is TurnOutcome.GRANTED
