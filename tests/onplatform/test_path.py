"""The whole path on the platform's wire: real processes, stand-in targets."""

import asyncio
import signal

from tests.onplatform.standin import MODEL, SLOTS

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 7))


async def test_a_calm_day_is_served(world):
    """Plain, unrepeatable and streamed requests, with more adapters than slots."""
    calls = [
        world.ask("plan", world.gateways[n % 2], f"{MODEL}/a{n % 11}")
        for n in range(44)
    ]
    calls += [world.ask(route) for route in ("issue", "look") for _ in range(10)]
    answers = await asyncio.gather(*calls)
    assert [status for status, _, _ in answers] == [200] * len(answers)
    for _, body, request in answers[:44]:
        assert body == STREAM, request
    for _, body, request in answers[44:]:
        assert body == f"done {request} body".encode()
    runs = world.ledger.runs
    assert all(len(runs[request]) == 1 for _, _, request in answers)
    for engine in world.engines:
        assert engine.most_held <= SLOTS
        assert len({holder for holder, _ in engine.fences}) == 1


async def test_routes_change_at_once_and_stale_ones_change_nothing(world):
    fewer = world.make_config(7)
    fewer["routes"] = fewer["routes"][1:]
    assert await world.operate("/api/config/put", fewer) == 200
    assert await world.operate("/api/config/put", world.make_config(5)) == 200
    async with asyncio.timeout(2.0):
        for gateway in world.gateways:
            while (await world.ask("plan", gateway))[0] != 404:
                await asyncio.sleep(0.05)
    broken = world.make_config(9)
    broken["routes"][0]["timeout_ms"] = 0
    assert await world.operate("/api/config/put", broken) == 400
    for registry in world.registries:
        while True:
            status, body = await world.call(registry, "GET", "/api/config/get")
            if status == 200:
                break
            assert status in (307, 503)
            if status == 307:
                break
            await asyncio.sleep(0.1)
        assert status == 307 or b'"version": 7' in body


async def test_a_new_adapter_version_is_served_without_a_gap(world):
    key = f"{MODEL}/hot"
    assert (await world.ask("plan", model=key))[0] == 200
    world.newest["hot"] = 2
    body = {"model": MODEL, "adapter": "hot", "version": 2}
    assert await world.operate("/api/version-put", body) == 200
    end = asyncio.get_running_loop().time() + 5.0
    while asyncio.get_running_loop().time() < end:
        assert (await world.ask("plan", model=key))[0] == 200
    holders = [e for e in world.engines if "hot" in e.adapters]
    assert holders
    assert all(engine.adapters["hot"] == 2 for engine in holders)


async def test_what_may_run_once_is_not_sent_again(world):
    """A material issue is recorded twice."""
    for target in world.plain:
        target.losing = True
    answers = await asyncio.gather(*(world.ask("issue") for _ in range(5)))
    assert {status for status, _, _ in answers} == {502}
    assert all(len(world.ledger.runs[request]) == 1 for _, _, request in answers)


async def test_a_refusal_says_truly_that_nothing_ran(world):
    for target in world.plain:
        target.refusing = True
    answers = await asyncio.gather(*(world.ask("issue") for _ in range(5)))
    assert {status for status, _, _ in answers} <= {429, 503}
    assert not any(request in world.ledger.runs for _, _, request in answers)


async def test_a_planned_stop_of_a_gateway_cuts_nothing(world):
    """A mender's plan breaks off in the middle while a host is updated."""
    for engine in world.engines:
        engine.events, engine.event_pause = 30, 0.05
    calls = [
        asyncio.create_task(world.ask("plan", world.gateways[0], f"{MODEL}/warm"))
        for _ in range(6)
    ]
    await asyncio.sleep(0.3)
    program = world.programs["gateway", world.edges[0]]
    program.send(signal.SIGTERM)
    await asyncio.sleep(0.5)
    late = await world.ask("look", world.gateways[0])
    assert late[0] == 200
    answers = await asyncio.gather(*calls)
    assert [status for status, _, _ in answers] == [200] * 6
    assert all(body.count(b"\n\n") == 30 for _, body, _ in answers)
    assert await program.wait_ended() == 0


async def test_a_leaving_target_gets_no_new_requests(world):
    leaving, staying = world.plain
    leaving.state = "draining"
    assert await leaving.announce()
    await asyncio.sleep(0.3)
    answers = await asyncio.gather(*(world.ask("look") for _ in range(20)))
    ran = {world.ledger.runs[request][0] for _, _, request in answers}
    assert ran == {staying.name}


async def test_a_killed_steward_leaves_its_engine_in_use(world):
    """Every request for a resident adapter fails while one small process is down."""
    assert (await world.ask("plan", model=f"{MODEL}/warm"))[0] == 200
    for address in world.sides:
        world.programs["steward", address].kill()
    assert (await world.ask("plan", model=f"{MODEL}/warm"))[0] == 200


async def test_a_registry_that_lost_its_disk_votes_again(world):
    """Two disks are lost in turn, and all that was accepted is still read back."""
    for lost, address in enumerate(world.edges[:2], 1):
        program = world.programs["registry", address]
        program.kill()
        data = world.folder / f"data-edge-{address.rpartition('.')[2]}"
        for file in sorted(data.iterdir()):
            file.unlink()
        config = world.make_config(lost + 1)
        again = world.make_program("registry", address)
        again.start()
        await world.wait_replaced(lost)
        assert await world.operate("/api/config/put", config) == 200
    async with asyncio.timeout(10.0):
        while True:
            status, body = await world.call(
                world.registries[3], "GET", "/api/config/get"
            )
            if status == 200:
                break
            await asyncio.sleep(0.1)
    assert b'"version": 3' in body
