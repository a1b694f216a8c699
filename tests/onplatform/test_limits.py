"""Targets whose rate limit applies to the requests of all gateways together."""

import asyncio
import time

import pytest
from tests.onplatform.standin import MODEL

#: Requests per second that one target accepts, and that callers send to two targets.
RATE_LIMIT = 2.0
CALLS_PER_SECOND = 20

#: Seconds from the first answer that names a limit until it must be kept, length of the
#: window in which requests are counted, and the most requests allowed in a window.
GRACE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW_SECONDS + 5

#: Seconds for which callers send, and the fewest requests that must arrive after the
#: grace period: a quarter of what the target accepts.
SEND_SECONDS = 9.0
MIN_ARRIVALS = RATE_LIMIT * (SEND_SECONDS - GRACE_SECONDS) / 4


async def send_calls(cluster, route: str, model: str) -> list[tuple[int, bytes, str]]:
    calls = []
    for number in range(int(SEND_SECONDS * CALLS_PER_SECOND)):
        gateway = cluster.gateways[number % 2]
        calls.append(asyncio.create_task(cluster.request(route, gateway, model)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return await asyncio.gather(*calls)


async def serves_all(cluster, route: str, model: str) -> bool:
    """Return whether ten requests in a row are served."""
    for number in range(10):
        answer = await cluster.request(route, cluster.gateways[number % 2], model)
        if answer[0] != 200:
            return False
    return True


def count_busiest_window(arrivals: list[float], since: float) -> int:
    """Return the most requests that arrived within any window.

    :param since: monotonic seconds before which arrivals are ignored.
    """
    late = [at for at in arrivals if at >= since]
    return max(
        sum(first <= at <= first + WINDOW_SECONDS for at in late) for first in late
    )


@pytest.mark.parametrize(
    ("route", "model", "steward"),
    [("look", "", True), ("plan", f"{MODEL}/warm", True), ("plan", MODEL, False)],
    ids=["plain", "engine", "engine-without-steward"],
)
async def test_gateways_together_respect_rate_limit(cluster, route, model, steward):
    """Without coordination, each gateway alone would use a target's whole limit."""
    targets = cluster.engines if model else cluster.plain
    if not steward:
        for side in cluster.side_hosts:
            cluster.programs["steward", side].kill()
    for target in targets:
        target.rate_limit = RATE_LIMIT
    began = time.monotonic()
    answers = await send_calls(cluster, route, model)
    for target in targets:
        assert (
            count_busiest_window(target.arrivals, began + GRACE_SECONDS)
            <= MAX_IN_WINDOW
        )
        assert (
            sum(at >= began + GRACE_SECONDS for at in target.arrivals) >= MIN_ARRIVALS
        )
    refused = {request for status, _, request in answers if status in (429, 503)}
    assert not refused & cluster.ledger.runs.keys()
    for target in targets:
        target.rate_limit = None
    async with asyncio.timeout(20.0):
        while not await serves_all(cluster, route, model):
            await asyncio.sleep(0.2)


async def test_rate_limit_ends_with_an_answer_to_any_gateway(cluster):
    """The answer without a limit may reach only a gateway that never knew the limit."""
    model = f"{MODEL}/warm"
    for target in cluster.engines:
        target.rate_limit = RATE_LIMIT / 4
    for _ in range(4):
        await cluster.request("plan", cluster.gateways[0], model)
    for target in cluster.engines:
        target.rate_limit = None
    async with asyncio.timeout(20.0):
        while (await cluster.request("plan", cluster.gateways[1], model))[0] != 200:
            await asyncio.sleep(0.2)
    answers = [
        await cluster.request("plan", cluster.gateways[1], model) for _ in range(10)
    ]
    assert [status for status, _, _ in answers] == [200] * 10
