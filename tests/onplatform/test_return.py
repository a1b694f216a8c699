"""Back to service after everything has fallen: real processes, stand-in targets."""

import asyncio
import contextlib

import pytest
from tests.onplatform.standin import MODEL, World
from tests.processes.programs import TIMEOUT_SECONDS

from ibishead.errors import LinkLost
from ibishead.links import Endpoint

#: Calls in a row that are served before service counts as back.
IN_A_ROW = 10


async def call_until_served(world: World, gateway: Endpoint, answers: list) -> None:
    """Call as callers do who come back, until ten in a row are served."""
    served = number = 0
    while served < IN_A_ROW:
        number += 1
        route, model = (
            ("plan", f"{MODEL}/a{number % 3}") if number % 2 else ("look", "")
        )
        try:
            answers.append(await world.ask(route, gateway, model))
        except LinkLost:
            # nobody listens yet
            await asyncio.sleep(0.05)
            served = 0
            continue
        served = served + 1 if answers[-1][0] == 200 else 0


@pytest.mark.parametrize("engines_too", [False, True], ids=["killed", "without-power"])
async def test_service_returns_with_all_that_was_accepted(world, engines_too):
    """Callers are refused for minutes, or served by routes that were given up."""
    assert await world.operate("/api/config/put", world.make_config(2)) == 200
    for program in world.programs.values():
        program.kill()
    if engines_too:
        for engine in world.engines:
            await engine.lose_power()
    for program in reversed(list(world.programs.values())):
        program.start()
    if engines_too:
        for engine in world.engines:
            await engine.start()
    answers: list[tuple[int, bytes, str]] = []
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await asyncio.gather(
            *(call_until_served(world, gateway, answers) for gateway in world.gateways)
        )
    runs = world.ledger.runs
    for status, _, request in answers:
        assert status in {200, 429, 503}
        assert len(runs.get(request, ())) == (status == 200)
    status, body = 0, b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while status != 200:
            with contextlib.suppress(LinkLost):
                status, body = await world.call(
                    world.registries[3], "GET", "/api/config/get"
                )
    assert b'"version": 2' in body
    # three adapters may all be loaded at one engine
    holders = [{holder for holder, _ in engine.fences} for engine in world.engines]
    assert any(holders)
    assert all(len(found) <= 1 for found in holders)
