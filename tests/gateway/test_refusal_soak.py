"""Requests of random fate through a gateway: what is refused never runs."""

import asyncio
import os
import random
from collections import Counter

import msgspec
import pytest
from tests.gateway.test_customer_requests import LIMITED, FakeKeeper
from tests.gateway.test_late_responses import LATE_REFUSAL
from tests.gateway.test_pipeline import (
    ONCE,
    PARTS,
    SAFE,
    STREAM,
    Fixture,
    _make_own_headers,
    block_part,
    fail_stamped,
    reset,
    stream_completely,
)

from ibishead.decisions.retry import BudgetShare
from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.gateway.sending import NOT_RUN_STATUSES
from ibishead.routing.messages import QuotaKept
from ibishead.web import Exchange

REQUESTS = 200
CONCURRENT = 24
#: Longest time that a target works on a request, in seconds.
LONGEST_RUN = 0.8


class RandomTargets:
    """Targets that refuse, fail, stall or answer, and send late refusals.

    :param failures: statuses of answers to requests that have run.
    :ivar runs: how often each request has run.
    """

    def __init__(self, draw: random.Random, failures: tuple[int, ...]) -> None:
        self._draw = draw
        self._failures = failures
        self._earlier: dict[object, str] = {}
        self.runs: Counter[str] = Counter()

    async def __call__(self, exchange: Exchange, request: str) -> None:
        connection = exchange._connection
        earlier = self._earlier.get(connection)
        self._earlier[connection] = request
        if earlier is not None and self._draw.random() < 0.3:
            late = LATE_REFUSAL.replace(b"r1", earlier.encode())
            connection._writer.write(late)
        await asyncio.sleep(self._draw.choice((0.0, 0.0, 0.02, 0.1)))
        if self._draw.random() < 0.3:
            await self._refuse(exchange, request)
            return
        self.runs[request] += 1
        await asyncio.sleep(
            self._draw.choice((0.0, 0.01, 0.05, 0.05, 0.2, LONGEST_RUN))
        )
        match self._draw.randrange(10):
            case 0:
                await reset(exchange, request)
            case 1:
                behaviour = fail_stamped(self._draw.choice(self._failures))
                await behaviour(exchange, request)
            case 2:
                limit = ("server-limit", str(self._draw.choice((20, 100, 200))))
                headers = (*_make_own_headers(request), limit)
                await exchange.respond(200, headers, b"done")
            case _:
                await stream_completely(exchange, request)

    async def _refuse(self, exchange: Exchange, request: str) -> None:
        headers = (("request-id", request), ("not-executed", "1"))
        if self._draw.random() < 0.05:
            headers += (("retry-after", "0.2"),)
        await exchange.respond(self._draw.choice((421, 429, 503)), headers)


class RandomKeeper(FakeKeeper):
    """A keeper of quotas that grants most charges, some late and some never."""

    def __init__(self, client, draw: random.Random) -> None:
        super().__init__(client)
        self._draw = draw

    def send(self, message) -> None:
        self.granted = [self._draw.random() < 0.9 for _ in message.demands]
        if self._draw.random() < 0.9:
            delay = self._draw.choice((0.0, 0.01, 0.1))
            asyncio.get_running_loop().call_later(delay, super().send, message)


async def ask(fixture: Fixture, draw: random.Random, request: str) -> int | None:
    """Return the status of the answer, ``None`` without a whole one."""
    headers = {
        "host": "nets.example",
        "request-id": request,
        "deadline-ms": str(draw.choice((30, 100, 300, 600, 900))),
        "authorization": "Token k3",
        **(PARTS if draw.random() < 0.3 else {}),
    }
    connection = await TargetConnection.open(fixture.endpoint)
    patience = draw.choice((0.05, 0.2, 5.0, 5.0))
    try:
        async with asyncio.timeout(patience):
            status, _ = await connection.request(
                "POST", "/p/x", tuple(headers.items()), b"body"
            )
            while await connection.read() is not None:
                pass
            return status
    except (LinkLost, TimeoutError):
        return None
    finally:
        connection.close()


async def change_at_random(fixture: Fixture, draw: random.Random) -> None:
    while True:
        await asyncio.sleep(draw.choice((0.05, 0.1)))
        if draw.random() < 0.1:
            block_part(fixture)
        else:
            fixture.feed.blocked = {}
            fixture.blocks.apply()
        fixture.quotas._lifetime = draw.choice((0.0, 0.05, 0.8))


@pytest.mark.parametrize("kind", [ONCE, SAFE, STREAM])
@pytest.mark.parametrize("seed", range(1, 1 + int(os.environ.get("SOAK_SEEDS", "1"))))
async def test_refused_requests_never_run_and_others_run_once(kind, seed):
    draw = random.Random(seed)
    # Failures of repeatable requests are relayed as they are
    failures = (500, 502) if kind is SAFE else (408, 429, 500, 503)
    targets = RandomTargets(draw, failures)
    behaviours = [targets] * REQUESTS * 6
    async with Fixture(
        kind, *behaviours, software=("v1",) * 4, attempts=3, objective=0.3
    ) as fixture:
        fixture.pipeline._retry_share = BudgetShare(1.0, REQUESTS)
        routes = msgspec.structs.replace(fixture.feed.routes, customers=(LIMITED,))
        fixture.feed.routes = routes
        fixture.quotas.handle_message(RandomKeeper(fixture.quotas, draw), QuotaKept(1))
        changes = asyncio.create_task(change_at_random(fixture, draw))
        limit = asyncio.Semaphore(CONCURRENT)
        statuses: dict[str, int | None] = {}

        async def send(request: str) -> None:
            async with limit:
                statuses[request] = await ask(fixture, draw, request)

        await asyncio.gather(*(send(f"q{number}") for number in range(REQUESTS)))
        changes.cancel()
        await asyncio.sleep(2 * LONGEST_RUN)
        counts = Counter(statuses.values())
        print(f"seed {seed} {kind.name}: {dict(counts)}, {sum(targets.runs.values())}")
        refused = {r for r, status in statuses.items() if status in NOT_RUN_STATUSES}
        assert refused
        assert not refused & set(targets.runs)
        if kind is not SAFE:
            assert max(targets.runs.values()) == 1
