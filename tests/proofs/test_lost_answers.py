"""Runs whose answers never come must not hold anybody for ever."""

import asyncio

from tests.proofs.targets import FakePlain
from tests.proofs.virtual import run_virtual
from tests.proofs.world import Call, World

from ibishead.messages import Outcome

#: Runs that fill the batches of both plain services, and orders enough to fill them.
PLACES = 6
FILLING = 12

#: Seconds within which every run without an answer is given up: the deadline of the
#: class, and as long as an answer may be late.
GIVEN_UP = 35.0


def _lose_answers(fake: FakePlain) -> None:
    async def answer(connection, headers, body):
        fake._begin(headers)
        await asyncio.Event().wait()

    fake.answer = answer


async def _lose_all() -> tuple[World, Call, Call]:
    world = World()
    await world.start()
    plains = [slot.fake for slot in world.slots[2:]]
    for fake in plains:
        _lose_answers(fake)
    for number in range(FILLING):
        world.call_plain(number % 2, f"lost-{number}")
    await asyncio.sleep(GIVEN_UP)
    for fake in plains:
        del fake.answer
    fresh = world.call_plain(0, "fresh")
    lost = next(c for c in world.calls if c.outcome is Outcome.UNKNOWN)
    again = world.call_plain(1, lost.key)
    await world.settle()
    await world.stop()
    return world, fresh, again


def test_runs_without_answers_leave_their_places_in_the_batch():
    """A service takes no order any more, as connections to it once fell silent."""
    world, fresh, again = run_virtual(_lose_all)
    lost = [call.outcome for call in world.calls[:FILLING]]
    assert lost.count(Outcome.UNKNOWN) == PLACES
    assert fresh.outcome is Outcome.COMPLETED
    assert fresh.answered - fresh.sent < 1.0
    assert again.outcome is Outcome.UNKNOWN
    assert again.answered - again.sent < 1.0, "held for what nobody will ever know"
