"""Recovery after all programs or hosts have failed, with stand-in targets."""

import asyncio
import contextlib

import pytest
from tests.onplatform.standin import MODEL, Cluster
from tests.processes.programs import TIMEOUT_SECONDS

from ibishead.errors import LinkLost
from ibishead.links import Endpoint

#: Consecutive served calls after which service counts as recovered.
CONSECUTIVE_CALLS = 10


async def call_until_served(cluster: Cluster, gateway: Endpoint, answers: list) -> None:
    """Send requests until `CONSECUTIVE_CALLS` of them in a row are served.

    :param answers: gets status, body and request ID of each answer.
    """
    served = number = 0
    while served < CONSECUTIVE_CALLS:
        number += 1
        route, model = (
            ("plan", f"{MODEL}/a{number % 3}") if number % 2 else ("look", "")
        )
        try:
            answers.append(await cluster.request(route, gateway, model))
        except LinkLost:
            # no program listens on the port yet
            await asyncio.sleep(0.05)
            served = 0
            continue
        served = served + 1 if answers[-1][0] == 200 else 0


@pytest.mark.parametrize("engines_too", [False, True], ids=["killed", "without-power"])
async def test_service_recovers_with_accepted_routes(cluster, engines_too):
    """Callers would be refused for minutes, or served by superseded routes."""
    assert (
        await cluster.call_as_operator("/api/config/put", cluster.make_config(2)) == 200
    )
    for program in cluster.programs.values():
        program.kill()
    if engines_too:
        for engine in cluster.engines:
            await engine.lose_power()
    for program in reversed(list(cluster.programs.values())):
        program.start()
    if engines_too:
        for engine in cluster.engines:
            await engine.start()
    answers: list[tuple[int, bytes, str]] = []
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await asyncio.gather(
            *(
                call_until_served(cluster, gateway, answers)
                for gateway in cluster.gateways
            )
        )
    runs = cluster.ledger.runs
    for status, _, request in answers:
        assert status in {200, 429, 503}
        assert len(runs.get(request, ())) == (status == 200)
    status, body = 0, b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while status != 200:
            with contextlib.suppress(LinkLost):
                status, body = await cluster.call(
                    cluster.registries[3], "GET", "/api/config/get"
                )
    assert b'"version": 2' in body
    # all three adapters may be loaded on the same engine
    holders = [{holder for holder, _ in engine.fences} for engine in cluster.engines]
    assert any(holders)
    assert all(len(found) <= 1 for found in holders)
