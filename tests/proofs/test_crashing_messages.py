"""A message in calls that crashes each engine which writes on it, in virtual time."""

import asyncio

from tests.proofs.targets import FakeEngine
from tests.proofs.virtual import run_virtual
from tests.proofs.world import World

#: Crashes after which the message should be known, and further ones that are tolerated.
CRASHES, MORE_CRASHES = 5, 3
CALLS, INTERVAL_SECONDS = 20, 1.0
CRASHING = {"role": "system", "content": "crash"}


class CrashingEngine(FakeEngine):
    """An engine that restarts when it has begun to write on the crashing message."""

    async def _generate(self, connection, active, asked):
        pieces = super()._generate(connection, active, asked)
        async for piece in pieces:
            yield piece
            if CRASHING in asked.get("messages", [])[:-1]:
                self.restart()


async def call_with_crashing_message() -> World:
    world = World(engines=0)
    await world.start()
    for number in range(5):
        await world._add_target(f"engine-{number}", "mester", CrashingEngine())
    await asyncio.sleep(2.0)
    for number in range(CALLS):
        user = {"role": "user", "content": f"question {number}"}
        world.call_model(number % 2, "tisza", "1", True, messages=[CRASHING, user])
        await asyncio.sleep(INTERVAL_SECONDS)
    await world.wait_answered()
    await world.stop()
    return world


def test_a_crashing_message_stops_reaching_engines():
    """Calls of one kind would end one engine after the other."""
    world = run_virtual(call_with_crashing_message)
    crashes = sum(node.fake.boot - 1 for node in world.nodes)
    assert crashes <= CRASHES + MORE_CRASHES
