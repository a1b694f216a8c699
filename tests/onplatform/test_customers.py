"""Customers over the whole path: real processes, stand-in targets."""

import asyncio
import contextlib
import itertools
import random
import signal

import pytest
from tests.processes.programs import TIMEOUT_SECONDS

from ibishead.errors import LinkLost
from ibishead.headers import find_header

KEY = {"authorization": "Token key-1"}
RATE, BURST = 20.0, 10.0


def make_customers(*more, **changes):
    loft = {"name": "loft", "api_keys": ["key-1", "key-2"], **changes}
    return [loft, {"name": "crew", "api_keys": ["key-3"]}, *more]


async def put_customers(cluster, version, customers):
    config = cluster.make_config(version, tenants=customers)
    return await cluster.call_as_operator("/api/config/put", config)


async def wait_for_status(cluster, status, **headers):
    """Wait until both gateways answer with a status."""
    async with asyncio.timeout(5.0):
        for gateway in cluster.gateways:
            while (await cluster.request("look", gateway, **headers))[0] != status:
                await asyncio.sleep(0.05)


async def test_keys_decide_who_is_served_and_as_whom(cluster):
    assert await put_customers(cluster, 2, make_customers()) == 200
    await wait_for_status(cluster, 401)
    status, _, request = await cluster.request("look", tenant="crew", **KEY)
    assert status == 200
    seen = cluster.ledger.headers[request]
    assert [v for k, v in seen if k == "tenant"] == ["loft"]
    assert find_header(seen, "authorization") is None
    status, _, request = await cluster.request("issue", authorization="Token key-9")
    assert status == 401
    assert request not in cluster.ledger.runs


async def test_key_is_accepted_everywhere_as_soon_as_it_is_acknowledged(cluster):
    """A caller that is told 401 for a new key doesn't come back."""
    for version in range(2, 8):
        key = f"new-{version}"
        customers = make_customers({"name": "new", "api_keys": [key]})
        assert await put_customers(cluster, version, customers) == 200
        for gateway in cluster.gateways:
            sent = {"authorization": f"Token {key}"}
            assert (await cluster.request("look", gateway, **sent))[0] == 200


async def test_removed_key_and_customer_are_refused_within_seconds(cluster):
    assert await put_customers(cluster, 2, make_customers()) == 200
    await wait_for_status(cluster, 200, **KEY)
    assert await put_customers(cluster, 3, make_customers()[1:]) == 200
    await wait_for_status(cluster, 401, **KEY)


@pytest.mark.parametrize(
    "customers",
    [
        make_customers({"name": "third", "api_keys": ["key-1"]}),
        make_customers({"name": "loft", "api_keys": []}),
        make_customers(rate_per_s=-1),
    ],
)
async def test_invalid_customers_are_refused_and_change_nothing(cluster, customers):
    assert await put_customers(cluster, 9, customers) == 400
    assert (await cluster.request("look"))[0] == 200


async def press(cluster, seconds):
    """Send twice what the quota allows through both gateways.

    :returns: loop times at which a request was answered with success.
    """
    loop, served = asyncio.get_running_loop(), []
    draw = random.Random(7)

    async def send(gateway):
        try:
            status, _, _ = await cluster.request("look", gateway, **KEY)
        except LinkLost:
            return
        if status == 200:
            served.append(loop.time())

    end, tasks = loop.time() + seconds, []
    while loop.time() < end:
        # one of the gateways gets most of the callers
        gateway = cluster.gateways[draw.random() < 0.2]
        tasks.append(asyncio.create_task(send(gateway)))
        await asyncio.sleep(0.5 / RATE)
    await asyncio.gather(*tasks)
    return served


@pytest.mark.parametrize("fault", [None, "keeper killed"])
async def test_quota_holds_over_all_gateways_together(cluster, fault):
    """Gateways that count for themselves would let pass as many quotas as there are."""
    customers = make_customers(unit="requests", rate_per_s=RATE, burst=BURST)
    assert await put_customers(cluster, 2, customers) == 200
    await wait_for_status(cluster, 200, **KEY)
    await asyncio.sleep(1.0)
    task = asyncio.create_task(press(cluster, 6.0))
    if fault is not None:
        await asyncio.sleep(2.0)
        find_keeper(cluster).send(signal.SIGKILL)
    served = await task
    spans = itertools.combinations(served, 2)
    excess = max(
        sum(1 for at in served if start <= at <= end) - (RATE * (end - start) + BURST)
        for start, end in spans
    )
    # lifetime of a charge, initial credit, one request of each keeper, and the time
    # between the charge and the answer
    assert excess <= 0.8 * RATE + 2 + 0.2 * RATE
    assert len(served) >= (0.75 if fault else 0.9) * RATE * 6.0


async def test_planned_stop_of_the_keeper_refuses_no_request_below_the_quota(cluster):
    """With empty accounts, each restart of the leader would refuse some callers."""
    customers = make_customers(unit="requests", rate_per_s=RATE, burst=BURST)
    assert await put_customers(cluster, 2, customers) == 200
    await wait_for_status(cluster, 200, **KEY)
    await asyncio.sleep(1.0)
    tasks = []
    for number in range(60):
        if number == 20:
            find_keeper(cluster).send(signal.SIGTERM)
        gateway = cluster.gateways[number % 2]
        tasks.append(asyncio.create_task(cluster.request("look", gateway, **KEY)))
        await asyncio.sleep(1.0 / (0.75 * RATE))
    answers = await asyncio.gather(*tasks)
    assert [status for status, _, _ in answers] == [200] * 60


async def test_callers_that_return_after_all_programs_were_killed_are_served(cluster):
    """The accounts of the first keeper after a power failure would all be empty."""
    customers = make_customers(unit="requests", rate_per_s=RATE, burst=BURST)
    assert await put_customers(cluster, 2, customers) == 200
    await wait_for_status(cluster, 200, **KEY)
    for program in cluster.programs.values():
        program.kill()
    for program in cluster.programs.values():
        program.start()

    async def call_until_charged(gateway):
        while True:
            with contextlib.suppress(LinkLost):
                status, _, _ = await cluster.request("look", gateway, **KEY)
                if status != 503:
                    return status
            await asyncio.sleep(0.05)

    callers = [call_until_charged(cluster.gateways[n % 2]) for n in range(8)]
    async with asyncio.timeout(TIMEOUT_SECONDS):
        assert await asyncio.gather(*callers) == [200] * 8


def find_keeper(cluster):
    keepers = [
        program
        for (kind, _), program in cluster.programs.items()
        if kind == "registry" and is_keeper(program.log)
    ]
    assert len(keepers) == 1
    return keepers[0]


def is_keeper(log):
    return log.rfind("quota accounts taken over") > log.rfind("quota accounts given up")
