"""A message in calls that crashes each engine which writes on it, in virtual time."""

import asyncio

import pytest
from tests.proofs.targets import FakeEngine
from tests.proofs.virtual import run_virtual
from tests.proofs.world import World

from ibishead.messages import Outcome

#: Crashes after which the message should be known, and further ones that are tolerated.
CRASHES, MORE_CRASHES = 5, 3
CALLS, INTERVAL_SECONDS = 30, 1.0
#: Time within which each host has to know of the message.
CONTACT_SECONDS = 3.0
CRASHING = {"role": "system", "content": "crash"}
SYSTEM = {"role": "system", "content": "advise menders"}


class CrashingEngine(FakeEngine):
    """An engine that restarts when it has begun to write on the crashing message.

    :ivar restarted_at: loop time of each restart, in seconds.
    """

    def __init__(self):
        super().__init__()
        self.restarted_at = []

    def restart(self):
        super().restart()
        self.restarted_at.append(asyncio.get_running_loop().time())

    async def _generate(self, connection, active, asked):
        pieces = super()._generate(connection, active, asked)
        async for piece in pieces:
            yield piece
            if CRASHING in asked.get("messages", [])[:-1]:
                self.restart()


def make_messages(*shared: dict, text: str) -> list[dict]:
    return [*shared, {"role": "user", "content": text}]


async def call_engines(shared: tuple[dict, ...], disturb=None) -> World:
    """Call with messages that may crash engines, and with sound ones besides."""
    world = World(engines=0)
    await world.start()
    for number in range(5):
        await world._add_target(f"engine-{number}", "mester", CrashingEngine())
    await asyncio.sleep(2.0)
    for number in range(CALLS):
        entry = number % 2
        for messages in (
            make_messages(*shared, text=f"question {number}"),
            make_messages(SYSTEM, text=f"sound {number}"),
        ):
            world.call_model(entry, "tisza", "1", True, messages=messages)
        await asyncio.sleep(INTERVAL_SECONDS)
        if disturb is not None:
            await disturb(world, number)
    await world.wait_answered()
    await world.stop()
    return world


def list_later_outcomes(world: World) -> list[Outcome | None]:
    """Return the outcomes of the sound calls since all hosts should know the message.

    That is from twice the time that they have after the crashes that count.
    """
    crashes = sorted(at for node in world.nodes[2:] for at in node.fake.restarted_at)
    since = crashes[:CRASHES][-1] + 2 * CONTACT_SECONDS
    return [call.outcome for call in world.calls[1::2] if call.sent >= since]


async def restart_entries(world: World, number: int) -> None:
    if number in (6, 10):
        await world.kill_entry(number % 4 // 2)


async def restart_engine(world: World, number: int) -> None:
    world.nodes[2 + number % 5].fake.restart()


@pytest.mark.parametrize(
    "shared",
    [(CRASHING,), (SYSTEM, CRASHING), (CRASHING, SYSTEM)],
    ids=["alone", "last", "first"],
)
@pytest.mark.parametrize(
    ("disturb", "share"),
    [(None, 1.0), (restart_entries, 0.5)],
    ids=["calm", "entries killed"],
)
def test_a_crashing_message_stops_reaching_engines(shared, disturb, share):
    """Calls of one kind would end one engine after the other."""
    world = run_virtual(lambda: call_engines(shared, disturb))
    crashes = sum(node.fake.boot - 1 for node in world.nodes)
    assert crashes <= CRASHES + MORE_CRASHES
    assert any(b"prompt_blocked" in call.body for call in world.calls[0::2])
    later = list_later_outcomes(world)
    assert len(later) >= 5
    assert later.count(Outcome.COMPLETED) >= share * len(later)


def test_engines_that_crash_by_themselves_get_no_message_refused():
    """Sound calls that share a message would be refused."""
    world = run_virtual(lambda: call_engines((SYSTEM, SYSTEM), restart_engine))
    assert not any(b"prompt_blocked" in call.body for call in world.calls)
