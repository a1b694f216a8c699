"""Runs whose answers never arrive must not block other requests indefinitely."""

import asyncio

from tests.proofs.targets import FakePlain
from tests.proofs.virtual import run_virtual
from tests.proofs.world import Call, World

from ibishead.messages import Outcome

#: Batch places of both plain services together, and enough requests to fill them.
BATCH_PLACES = 6
CALLS = 12

#: Seconds within which every run without an answer is cancelled: the deadline of the
#: class plus the time by which an answer may be late.
CANCEL_SECONDS = 35.0


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
    for number in range(CALLS):
        world.call_plain(number % 2, f"lost-{number}")
    await asyncio.sleep(CANCEL_SECONDS)
    for fake in plains:
        del fake.answer
    new_call = world.call_plain(0, "fresh")
    lost = next(c for c in world.calls if c.outcome is Outcome.UNKNOWN)
    retry = world.call_plain(1, lost.key)
    await world.settle()
    await world.stop()
    return world, new_call, retry


def test_runs_without_answers_release_their_batch_places():
    """Guards against a plain service that accepts no requests any more.

    Connections to it stopped responding once, and their runs still occupied its batch.
    """
    world, new_call, retry = run_virtual(_lose_all)
    lost = [call.outcome for call in world.calls[:CALLS]]
    assert lost.count(Outcome.UNKNOWN) == BATCH_PLACES
    assert new_call.outcome is Outcome.COMPLETED
    assert new_call.answered - new_call.sent < 1.0
    assert retry.outcome is Outcome.UNKNOWN
    assert retry.answered - retry.sent < 1.0, (
        "a retry waited for an outcome that can't be known"
    )
