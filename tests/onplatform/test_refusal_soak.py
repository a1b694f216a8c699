"""Real programs that stand still and end, and requests of which none may run twice."""

import asyncio
import contextlib
import os
import random
import signal
from collections import Counter

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

from ibishead.gateway.sending import NOT_RUN_STATUSES

SECONDS = 12.0
CALLERS = 24
CUSTOMERS = [
    {
        "name": "loft",
        "api_keys": ["key-1"],
        "unit": "requests",
        "rate_per_s": 60.0,
        "burst": 20.0,
    },
    {"name": "crew", "api_keys": ["key-2"]},
]


class Caller:
    """Sends requests that may run once, until a given time.

    :param statuses: status of each request that got a whole answer.
    """

    def __init__(
        self, cluster: Cluster, draw: random.Random, number: int, statuses: dict
    ) -> None:
        self._cluster = cluster
        self._draw = draw
        self._number = number
        self._count = 0
        self._statuses = statuses

    async def run(self, end: float) -> None:
        while asyncio.get_running_loop().time() < end:
            ahead = self._draw.random() < 0.1
            sent = [self._encode(last=False)] if ahead else []
            sent.append(self._encode(last=True))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self._draw.choice((0.1, 1.0, 4.0, 4.0))):
                    await self._send(sent)
            await asyncio.sleep(self._draw.choice((0.0, 0.02, 0.1)))

    def _encode(self, last: bool) -> tuple[str, bytes]:
        self._count += 1
        request = f"c{self._number}-{self._count}"
        body = b"x" * self._draw.choice((4, 4, 4, 300_000))
        stream = self._draw.random() < 0.3
        model = f"Model: {MODEL}/warm\r\nToken-Counts: 10,10\r\n" if stream else ""
        head = (
            f"POST /{'plan' if stream else 'issue'}/x HTTP/1.1\r\n"
            f"Host: nets.example\r\nRequest-Id: {request}\r\n{model}"
            f"Authorization: Token key-{self._draw.choice((1, 1, 2))}\r\n"
            f"Deadline-Ms: {self._draw.choice((200, 800, 3000))}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Connection: {'close' if last else 'keep-alive'}\r\n\r\n"
        )
        return request, head.encode() + body

    async def _send(self, sent: list[tuple[str, bytes]]) -> None:
        gateway = self._draw.choice(self._cluster.gateways)
        reader, writer = await asyncio.open_connection(gateway.address, gateway.port)
        try:
            writer.write(b"".join(data for _, data in sent))
            answers = (await reader.read(-1)).split(b"HTTP/1.1 ")[1:]
            for (request, _), answer in zip(sent, answers, strict=False):
                self._statuses[request] = int(answer[:3])
        finally:
            writer.close()


async def stand_still(target: Target, seconds: float) -> None:
    """Let a target read nothing from its connections for some time."""
    transports = [c._writer.transport for c in target._server._connections]
    for transport in transports:
        transport.pause_reading()
    await asyncio.sleep(seconds)
    for transport in transports:
        transport.resume_reading()


async def disturb(cluster: Cluster, draw: random.Random) -> None:
    targets = cluster.plain + cluster.engines
    while True:
        target = draw.choice(targets)
        match draw.randrange(6):
            case 0:
                await stand_still(target, draw.choice((0.3, 1.0, 2.0)))
            case 1:
                target.losing_answers = True
                await asyncio.sleep(0.3)
                target.losing_answers = False
            case 2 | 3:
                target.refusing = True
                await asyncio.sleep(0.5)
                target.refusing = False
            case 4:
                kinds = ("gateway", "steward", "registry", "registry")
                kind = draw.choice(kinds)
                chosen = [p for (k, _), p in cluster.programs.items() if k == kind]
                program = draw.choice(chosen)
                program.suspend()
                await asyncio.sleep(draw.choice((0.3, 1.0, 2.5)))
                program.send(signal.SIGCONT)
            case 5:
                chosen = [p for (k, _), p in cluster.programs.items() if k == "gateway"]
                program = draw.choice(chosen)
                program.kill()
                program.start()
        await asyncio.sleep(draw.choice((0.0, 0.2, 0.5)))


@pytest.mark.parametrize("seed", range(1, 1 + int(os.environ.get("SOAK_SEEDS", "1"))))
async def test_refused_requests_never_run_and_others_run_once(cluster, seed):
    draw = random.Random(seed)
    config = cluster.make_config(2, tenants=CUSTOMERS)
    assert await cluster.call_as_operator("/api/config/put", config) == 200
    for target in cluster.plain:
        target.work_seconds = 0.1
    end = asyncio.get_running_loop().time() + SECONDS
    statuses: dict[str, int] = {}
    disturbing = asyncio.create_task(disturb(cluster, draw))
    callers = [Caller(cluster, draw, number, statuses) for number in range(CALLERS)]
    await asyncio.gather(*(caller.run(end) for caller in callers))
    disturbing.cancel()
    await asyncio.gather(disturbing, return_exceptions=True)
    # what a target that stood still has in its connections may run now
    await asyncio.sleep(1.0)
    runs = {r: len(t) for r, t in cluster.ledger.runs.items() if r.startswith("c")}
    print(f"seed {seed}: {dict(Counter(statuses.values()))}, {len(runs)} run")
    refused = {r for r, status in statuses.items() if status in NOT_RUN_STATUSES}
    assert refused
    assert not refused & set(runs)
    assert max(runs.values()) == 1
