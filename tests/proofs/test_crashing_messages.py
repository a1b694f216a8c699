"""Messages and calls that crash each engine which writes on them, in virtual time."""

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
CRASHING_PROMPT = "crash"
#: Crashes after which a call that is sent again should be known.
CALL_CRASHES = 3


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
            shared, prompt = asked.get("messages", [])[:-1], asked["prompt"]
            if CRASHING in shared or prompt == CRASHING_PROMPT:
                self.restart()


def make_messages(*shared: dict, text: str) -> list[dict]:
    return [*shared, {"role": "user", "content": text}]


async def call_engines(make_bad, disturb=None) -> World:
    """Send calls that may crash engines, and sound ones besides.

    :param make_bad: returns adapter and further fields of the n-th of the former.
    """
    world = World(engines=0)
    await world.start()
    for number in range(5):
        await world._add_target(f"engine-{number}", "mester", CrashingEngine())
    await asyncio.sleep(2.0)
    for number in range(CALLS):
        entry = number % 2
        adapter, fields = make_bad(number)
        world.call_model(entry, adapter, "1", True, **fields)
        sound = make_messages(SYSTEM, text=f"sound {number}")
        world.call_model(entry, "tisza", "1", True, messages=sound)
        await asyncio.sleep(INTERVAL_SECONDS)
        if disturb is not None:
            await disturb(world, number)
    await world.wait_answered()
    await world.stop()
    return world


def make_conversations(*shared: dict):
    """Return what makes calls of which each asks another question."""

    def make(number: int) -> tuple[str, dict]:
        messages = make_messages(*shared, text=f"question {number}")
        return "tisza", {"messages": messages}

    return make


def list_later_outcomes(world: World, count: int = CRASHES) -> list[Outcome | None]:
    """Return the outcomes of the sound calls since all hosts should know the bad ones.

    That is from twice the time that they have after the crashes that count.
    """
    crashes = sorted(at for node in world.nodes[2:] for at in node.fake.restarted_at)
    since = crashes[:count][-1] + 2 * CONTACT_SECONDS
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
    world = run_virtual(lambda: call_engines(make_conversations(*shared), disturb))
    crashes = sum(node.fake.boot - 1 for node in world.nodes)
    assert crashes <= CRASHES + MORE_CRASHES
    assert any(b"prompt_blocked" in call.body for call in world.calls[0::2])
    later = list_later_outcomes(world)
    assert len(later) >= 5
    assert later.count(Outcome.COMPLETED) >= share * len(later)


@pytest.mark.parametrize(
    "adapters", [("tisza",), ("tisza", "balaton")], ids=["one adapter", "two"]
)
@pytest.mark.parametrize(
    "messages",
    [
        {},
        {"messages": make_messages(text="q")},
        {"messages": make_messages(SYSTEM, text="q")},
    ],
    ids=["no message", "one", "two"],
)
def test_a_call_that_crashes_engines_each_time_stops_reaching_them(messages, adapters):
    """One caller would end one engine after the other."""

    def repeat(number: int) -> tuple[str, dict]:
        adapter = adapters[number % len(adapters)]
        return adapter, {"prompt": CRASHING_PROMPT, **messages}

    world = run_virtual(lambda: call_engines(repeat))
    crashes = sum(node.fake.boot - 1 for node in world.nodes)
    assert crashes <= CALL_CRASHES + MORE_CRASHES
    assert any(b"prompt_blocked" in call.body for call in world.calls[0::2])
    later = list_later_outcomes(world, CALL_CRASHES)
    assert len(later) >= 5
    assert set(later) == {Outcome.COMPLETED}


@pytest.mark.parametrize(
    "make_sound",
    [
        make_conversations(SYSTEM, SYSTEM),
        lambda _: ("tisza", {"prompt": "alike"}),
    ],
    ids=["shared message", "calls alike"],
)
def test_engines_that_crash_by_themselves_get_no_call_refused(make_sound):
    """Sound calls that have something in common would be refused."""
    world = run_virtual(lambda: call_engines(make_sound, restart_engine))
    assert not any(b"prompt_blocked" in call.body for call in world.calls)
