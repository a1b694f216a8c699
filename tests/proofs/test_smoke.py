"""Smoke test of calls through the simulated network and targets."""

import msgspec
from tests.proofs.virtual import run_virtual
from tests.proofs.world import World, expect_text

from ibishead.messages import Outcome


async def _call_everything() -> World:
    world = World()
    await world.start()
    world.call_model(0, "tisza", "1", stream=False)
    world.call_model(1, "balaton", "", stream=True)
    world.call_plain(0, "k1")
    await world.wait_answered()
    world.call_plain(1, "k1")
    await world.wait_answered()
    await world.stop()
    return world


def test_calls_are_answered():
    world = run_virtual(_call_everything)
    complete, stream, plain, repeated = world.calls
    assert [call.outcome for call in world.calls] == [Outcome.COMPLETED] * 4
    assert msgspec.json.decode(complete.body)["text"] == expect_text(complete, "1")
    assert stream.body.count(b"balaton@1") == 12
    assert plain.body == repeated.body == b"ran issue k1"
    assert sum(len(node.fake.runs) for node in world.nodes[2:]) == 1
