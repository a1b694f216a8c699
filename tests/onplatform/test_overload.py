"""A gateway that gets more new connections than it can serve, with real programs."""

import asyncio
from collections import Counter
from enum import Enum

from tests.onplatform.standin import Cluster

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.links import Endpoint

#: The gateway runs for this share of each period, so that few callers are enough.
RUN_SECONDS, STOP_SECONDS = 0.02, 0.1
CALM_RATE, FLOOD_RATE = 10, 300
CALM_SECONDS, CONTACT_SECONDS, FLOOD_SECONDS = 3.0, 3.0, 8.0
DEADLINE_SECONDS = 2.0


class End(Enum):
    """How a try ended."""

    SERVED = "served"
    UNREAD = "unread"
    FAILED = "failed"


async def try_once(gateway: Endpoint, request: str) -> End:
    """Send a request over a new connection.

    A connection that ends at once and without an answer was closed unread.
    """
    headers = (
        ("host", "nets.example"),
        ("request-id", request),
        ("deadline-ms", str(int(DEADLINE_SECONDS * 1000))),
    )
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            connection = await TargetConnection.open(gateway)
            try:
                status, _ = await connection.request("POST", "/look/x", headers, b"b")
            finally:
                connection.close()
        return End.SERVED if status == 200 else End.FAILED
    except LinkLost:
        return End.UNREAD
    except TimeoutError:
        return End.FAILED


async def send(gateway: Endpoint, name: str, rate: int, seconds: float) -> list:
    """Send requests at a rate; return when each was sent, and how it ended."""
    loop, tasks = asyncio.get_running_loop(), []
    started = loop.time()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
        at = loop.time() - started
        task = asyncio.create_task(try_once(gateway, f"{name}-{number}"))
        tasks.append((at, task))
    return [(at, await task) for at, task in tasks]


async def slow_down(program) -> None:
    while True:
        program.resume()
        await asyncio.sleep(RUN_SECONDS)
        program.suspend()
        await asyncio.sleep(STOP_SECONDS)


def share_served(ends: list[End]) -> float:
    """Return the share of the requests that were read."""
    counts = Counter(ends)
    return counts[End.SERVED] / (counts[End.SERVED] + counts[End.FAILED])


async def test_an_overloaded_gateway_serves_what_it_reads(tmp_path):
    """Requests would be read and wait until their deadlines, beside an idle gateway."""
    async with Cluster(tmp_path) as cluster:
        await cluster.wait_ready()
        for target in cluster.plain:
            target.work_seconds = 0.005
        gateway = cluster.gateways[0]
        program = cluster.programs["gateway", gateway.address]
        slowing = asyncio.create_task(slow_down(program))
        calm = await send(gateway, "calm", CALM_RATE, CALM_SECONDS)
        flood = await send(
            gateway, "flood", FLOOD_RATE, CONTACT_SECONDS + FLOOD_SECONDS
        )
        slowing.cancel()
        await asyncio.gather(slowing, return_exceptions=True)
        program.resume()
    before = share_served([end for _, end in calm])
    later = [end for at, end in flood if at >= CONTACT_SECONDS]
    print(before, Counter(later), "overloaded" in program.log)
    assert later.count(End.SERVED) > 0
    assert share_served(later) >= 0.75 * before
