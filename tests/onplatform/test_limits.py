"""Targets that name how many requests a second they take from all gateways together."""

import asyncio
import time

import pytest
from tests.onplatform.standin import MODEL

#: Requests a second that a target takes, and that callers send to two of them.
RATE = 2.0
CALLS_A_SECOND = 20

#: Seconds from the first answer that names a limit until it has to hold, seconds over
#: which requests are counted, and what may come in them.
GRACE = 3.0
WINDOW = 4.0
ALLOWED = 1.5 * RATE * WINDOW + 5

#: Seconds for which callers send, and the requests that come after the grace, at least:
#: a quarter of what the target takes.
LENGTH = 9.0
LEAST = RATE * (LENGTH - GRACE) / 4


async def press(world, route: str, model: str) -> list[tuple[int, bytes, str]]:
    calls = []
    for number in range(int(LENGTH * CALLS_A_SECOND)):
        gateway = world.gateways[number % 2]
        calls.append(asyncio.create_task(world.ask(route, gateway, model)))
        await asyncio.sleep(1 / CALLS_A_SECOND)
    return await asyncio.gather(*calls)


async def serves_all(world, route: str, model: str) -> bool:
    """Return whether ten requests in a row are served."""
    for number in range(10):
        answer = await world.ask(route, world.gateways[number % 2], model)
        if answer[0] != 200:
            return False
    return True


def count_most(arrivals: list[float], since: float) -> int:
    """Return how many requests came within some window, at most."""
    late = [at for at in arrivals if at >= since]
    return max(sum(first <= at <= first + WINDOW for at in late) for first in late)


@pytest.mark.parametrize(
    ("route", "model", "steward"),
    [("look", "", True), ("plan", f"{MODEL}/warm", True), ("plan", MODEL, False)],
    ids=["plain", "engine", "engine-without-steward"],
)
async def test_gateways_together_send_no_more_than_a_target_takes(
    world, route, model, steward
):
    """Each gateway sends a target as much as it takes from all of them."""
    targets = world.engines if model else world.plain
    if not steward:
        for side in world.sides:
            world.programs["steward", side].kill()
    for target in targets:
        target.rate_limit = RATE
    began = time.monotonic()
    answers = await press(world, route, model)
    for target in targets:
        assert count_most(target.arrivals, began + GRACE) <= ALLOWED
        assert sum(at >= began + GRACE for at in target.arrivals) >= LEAST
    refused = {request for status, _, request in answers if status in (429, 503)}
    assert not refused & world.ledger.runs.keys()
    for target in targets:
        target.rate_limit = None
    async with asyncio.timeout(20.0):
        while not await serves_all(world, route, model):
            await asyncio.sleep(0.2)


async def test_a_limit_ends_wherever_the_answer_without_it_goes(world):
    """A limit is over, and only a gateway that never heard of it gets the answer."""
    model = f"{MODEL}/warm"
    for target in world.engines:
        target.rate_limit = RATE / 4
    for _ in range(4):
        await world.ask("plan", world.gateways[0], model)
    for target in world.engines:
        target.rate_limit = None
    async with asyncio.timeout(20.0):
        while (await world.ask("plan", world.gateways[1], model))[0] != 200:
            await asyncio.sleep(0.2)
    answers = [await world.ask("plan", world.gateways[1], model) for _ in range(10)]
    assert [status for status, _, _ in answers] == [200] * 10
