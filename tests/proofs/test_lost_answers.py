"""Requests without a response must not occupy the batch indefinitely."""

import asyncio

from tests.proofs.targets import FakePlain
from tests.proofs.virtual import run_virtual
from tests.proofs.world import Call, World

from ibishead.messages import Outcome

#: Combined batch size of both plain services, and enough requests to fill it.
BATCH_CAPACITY = 6
CALLS = 12

#: Time within which every request without a response is cancelled: the deadline of the
#: class plus the time by which a response may be late.
CANCEL_SECONDS = 35.0


def _suppress_answers(fake: FakePlain) -> None:
    async def answer(connection, headers, body):
        fake._begin(headers)
        await asyncio.Event().wait()

    fake.answer = answer


async def _call_without_answers() -> tuple[World, Call, Call]:
    world = World()
    await world.start()
    plains = [node.fake for node in world.nodes[2:]]
    for fake in plains:
        _suppress_answers(fake)
    for number in range(CALLS):
        world.call_plain(number % 2, f"lost-{number}")
    await asyncio.sleep(CANCEL_SECONDS)
    for fake in plains:
        del fake.answer
    new_call = world.call_plain(0, "fresh")
    lost = next(c for c in world.calls if c.outcome is Outcome.UNKNOWN)
    retry = world.call_plain(1, lost.key)
    await world.wait_answered()
    await world.stop()
    return world, new_call, retry


def test_runs_without_answers_release_their_batch_places():
    """Guards against a plain service that permanently accepts no more requests.

    Requests whose connections stopped responding kept occupying its batch.
    """
    world, new_call, retry = run_virtual(_call_without_answers)
    lost = [call.outcome for call in world.calls[:CALLS]]
    assert lost.count(Outcome.UNKNOWN) == BATCH_CAPACITY
    assert new_call.outcome is Outcome.COMPLETED
    assert new_call.answered - new_call.sent < 1.0
    assert retry.outcome is Outcome.UNKNOWN
    assert retry.answered - retry.sent < 1.0, (
        "a retry waited for an outcome that cannot be known"
    )
