"""Targets that ask for rest and leave while programs are killed, with real programs.

By hand, more seeds: ``ASKING_SEEDS=50 pytest tests/onplatform/test_asking_soak.py``.
"""

import asyncio
import contextlib
import os
import random
import signal
import time
from collections import Counter, defaultdict

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target
from tests.processes.programs import Program

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection

SEEDS = range(int(os.environ.get("ASKING_SEEDS", "1")))
SECONDS, CALLERS, PAUSE_SECONDS = 14.0, 14, 0.05
DRAIN_SECONDS, MAX_IN_REST = 2.0, 2

#: Values of the retry-after header, of which some are no request for rest.
RETRY_AFTERS = ("3", "0.8", "2", "1.2", "0", "-3", "nan", "soon", "1e12")
ROUTES = (("look", ""), ("issue", ""), ("plan", f"{MODEL}/a1"), ("advice", MODEL))


async def call_until(cluster, end, number, statuses):
    """Send requests over kept connections until each is closed."""
    draw, count, connection = random.Random(number), 0, None
    route, model = ROUTES[number % len(ROUTES)]
    while time.monotonic() < end:
        count += 1
        gateway = cluster.gateways[number // len(ROUTES) % 2]
        request = f"c{number}-{count}"
        headers = [("host", "nets.example"), ("request-id", request)]
        headers += [("deadline-ms", "4000")]
        if model:
            headers += [("model", model), ("token-counts", "10,10")]
        cluster.senders[request] = gateway
        try:
            async with asyncio.timeout(6.0):
                if connection is None or connection.closed:
                    connection = await TargetConnection.open(gateway)
                cluster.sent_at[request] = time.monotonic()
                status, _ = await connection.request(
                    "POST", f"/{route}/x", tuple(headers), b"body"
                )
                while await connection.read() is not None:
                    pass
            statuses[request] = status
        except (LinkLost, TimeoutError):
            statuses[request] = 0
            if connection is not None:
                connection.close()
            connection = None
        await asyncio.sleep(draw.uniform(0.0, 2 * PAUSE_SECONDS))
    if connection is not None:
        connection.close()


async def ask_for_rest(targets: list[Target], draw: random.Random) -> None:
    """Refuse for a while; shorter rests may follow longer ones."""
    for target in targets:
        target.retry_afters = draw.sample(RETRY_AFTERS, 3)
        target.refusal_delay = draw.choice((0.0, 0.0, 0.2))
        target.refusing = True
    await asyncio.sleep(draw.uniform(0.3, 2.0))
    for target in targets:
        target.refusing = False


async def leave(target: Target, draw: random.Random) -> None:
    """Leave by answers only, then start again under the same or another id."""
    target.leaving = True
    target.announces = draw.random() < 0.5
    await asyncio.sleep(draw.uniform(2.5, 5.0))
    late = target.list_late_sends(DRAIN_SECONDS)
    assert late == []
    target.leaving, target.announces = False, True
    target.leaving_answers.clear()
    target.keeps_name = draw.random() < 0.5
    await target.lose_power()
    target.sends.clear()
    target.rests.clear()
    await target.start()


async def disturb_program(cluster: Cluster, draw: random.Random, locks) -> None:
    """Kill, stop or suspend one program, and start it again.

    :param locks: by program; its disturbances come one after the other.
    """
    kind = draw.choice(("gateway", "steward", "registry"))
    hosts = {"gateway": 2, "registry": 4}.get(kind)
    edge = cluster.edge_hosts[:hosts] if hosts else cluster.side_hosts
    address = draw.choice(edge)
    program = cluster.programs[kind, address]
    gateway = next((g for g in cluster.gateways if g.address == address), None)
    excused = kind == "gateway" and gateway is not None
    how = draw.choice(("kill", "kill", "stop", "suspend"))
    async with locks[program]:
        if excused:
            cluster.record_disturbance(gateway)
        await disturb(program, how, draw)
        if excused:
            cluster.record_disturbance(gateway)


async def disturb(program: Program, how: str, draw: random.Random) -> None:
    match how:
        case "suspend":
            program.suspend()
            await asyncio.sleep(draw.uniform(0.2, 1.0))
            program.resume()
        case "stop":
            program.send(signal.SIGTERM)
            while program.running:
                await asyncio.sleep(0.05)
            program.start()
        case _:
            program.kill()
            await asyncio.sleep(0.1)
            program.start()


async def change_routes(cluster: Cluster, draw: random.Random) -> None:
    version = int(time.monotonic() * 1000)
    with contextlib.suppress(TimeoutError):
        await cluster.call_as_operator("/api/config/put", cluster.make_config(version))


async def is_served(cluster, route, gateway, model) -> bool:
    try:
        return (await cluster.request(route, gateway, model))[0] == 200
    except LinkLost:
        return False


async def run_soak(tmp_path, seed: int) -> None:
    draw, statuses = random.Random(seed), {}
    async with Cluster(tmp_path, engines=10 if seed % 10 == 9 else 3) as cluster:
        await cluster.wait_ready()
        end = time.monotonic() + SECONDS
        callers = [
            asyncio.create_task(call_until(cluster, end, number, statuses))
            for number in range(CALLERS)
        ]
        troubles, targets, busy = [], cluster.engines + cluster.plain, set()
        locks = defaultdict(asyncio.Lock)
        while time.monotonic() < end - 6.0:
            free = [t for t in targets if t not in busy]
            match draw.choice(("rest", "rest", "all", "leave", "program", "routes")):
                case "rest":
                    coming = ask_for_rest([draw.choice(targets)], draw)
                case "all":
                    service = draw.choice((cluster.engines, cluster.plain))
                    coming = ask_for_rest(list(service), draw)
                case "leave" if len(free) > 2:
                    target = draw.choice(free)
                    busy.add(target)
                    coming = leave(target, draw)
                case "program":
                    coming = disturb_program(cluster, draw, locks)
                case _:
                    coming = change_routes(cluster, draw)
            troubles.append(asyncio.create_task(coming))
            await asyncio.sleep(draw.uniform(0.2, 1.2))
        await asyncio.gather(*troubles)
        await asyncio.gather(*callers)
        counts = [target.count_sends_in_rests() for target in targets]
        rests = sum(len(target.rests) for target in targets)
        print(seed, Counter(statuses.values()), "in rests:", counts, "of", rests)
        assert max(counts) <= MAX_IN_REST
        assert [t.list_late_sends(DRAIN_SECONDS) for t in targets] == [[]] * len(
            targets
        )
        refused = {r for r, s in statuses.items() if s in (408, 421, 429, 503)}
        assert not refused & cluster.ledger.runs.keys()
        once = [
            names
            for request, names in cluster.ledger.runs.items()
            if request.startswith("c") and int(request[1:].split("-")[0]) % 4 in (1, 2)
        ]
        assert max(len(names) for names in once) == 1
        async with asyncio.timeout(20.0):
            for gateway in cluster.gateways:
                for route, model in ROUTES:
                    while not await is_served(cluster, route, gateway, model):
                        await asyncio.sleep(0.2)


@pytest.mark.parametrize("seed", SEEDS)
async def test_targets_that_ask_and_leave_get_no_requests(tmp_path, seed):
    """Kills, stops and changes would make gateways forget, or resend too early."""
    await run_soak(tmp_path, seed)
