"""Targets whose answers say that they leave, with real programs."""

import asyncio

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

#: Seconds after an answer that says so within which a gateway must stop.
DRAIN_SECONDS = 2.0

CALLS_PER_SECOND = 30
SEND_SECONDS = 5.0

PLAIN, ENGINE = ("look", ""), ("plan", f"{MODEL}/warm")


async def send_calls(
    cluster: Cluster, route: str, model: str, seconds: float, gateways=(0, 1)
) -> list[int]:
    """Send requests to gateways in turn, and return the statuses."""
    tasks = []
    for number in range(int(seconds * CALLS_PER_SECOND)):
        gateway = cluster.gateways[gateways[number % len(gateways)]]
        tasks.append(asyncio.create_task(cluster.request(route, gateway, model)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def list_targets(cluster: Cluster, model: str) -> list[Target]:
    targets = cluster.engines if model else cluster.plain
    return sorted(targets, key=lambda target: not target.adapters)


@pytest.mark.parametrize("announces", [True, False], ids=["ready", "silent"])
@pytest.mark.parametrize("leaving", [1, 2], ids=["one", "all"])
@pytest.mark.parametrize(("route", "model"), [PLAIN, ENGINE], ids=["plain", "engine"])
async def test_a_target_whose_answers_say_that_it_leaves_gets_no_requests(
    cluster, route, model, leaving, announces
):
    """A target whose statements are lost or late would get requests until its end."""
    targets = list_targets(cluster, model)
    for target in targets[:leaving]:
        target.leaving, target.announces = True, announces
    statuses = await send_calls(cluster, route, model, SEND_SECONDS)
    assert any(target.leaving_answers for target in targets[:leaving])
    assert [t.list_late_sends(DRAIN_SECONDS) for t in targets] == [[], []]
    if leaving == 1:
        assert set(statuses) == {200}


@pytest.mark.parametrize(("route", "model"), [PLAIN, ENGINE], ids=["plain", "engine"])
async def test_a_gateway_without_registries_stops_by_itself(cluster, route, model):
    for edge in cluster.edge_hosts:
        cluster.programs["registry", edge].kill()
    target = list_targets(cluster, model)[0]
    target.leaving = True
    await send_calls(cluster, route, model, SEND_SECONDS)
    assert target.leaving_answers
    assert target.list_late_sends(DRAIN_SECONDS) == []


@pytest.mark.parametrize(("route", "model"), [PLAIN, ENGINE], ids=["plain", "engine"])
async def test_an_answer_to_one_gateway_stops_all(cluster, route, model):
    """Each gateway would begin answers at a target of which others know better."""
    targets = list_targets(cluster, model)
    for target in targets:
        target.leaving = True
    await send_calls(cluster, route, model, 0.5, gateways=(0,))
    leaving = [target for target in targets if target.leaving_answers]
    await asyncio.sleep(0.5)
    before = [len(target.sends) for target in leaving]
    await send_calls(cluster, route, model, 1.0, gateways=(1,))
    assert [len(target.sends) for target in leaving] == before


@pytest.mark.parametrize("keeps_name", [False, True], ids=["new-id", "same-id"])
async def test_a_new_start_of_a_target_that_left_is_used(cluster, keeps_name):
    route, model = ENGINE
    for engine in cluster.engines:
        engine.leaving = True
    await send_calls(cluster, route, model, 0.5)
    for engine in cluster.engines:
        engine.leaving, engine.keeps_name = False, keeps_name
        await engine.lose_power()
        await engine.start()
    async with asyncio.timeout(10.0):
        while (await cluster.request(route, model=model))[0] != 200:
            await asyncio.sleep(0.2)
