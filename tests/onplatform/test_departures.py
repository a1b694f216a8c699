"""Targets that leave before all registries and gateways end, with real programs."""

import asyncio
import contextlib
import json
import shutil
from dataclasses import dataclass

import pytest
from tests.onplatform.standin import Cluster, Target

from ibishead.errors import LinkLost
from ibishead.links import Endpoint

#: Seconds after an acknowledged departure within which all gateways must stop.
DRAIN_SECONDS = 2.0

#: Seconds after which the hosts are in touch with each other again.
CONTACT_SECONDS = 3.0

DOWN_SECONDS = 0.5
SENDS = 60


@dataclass(frozen=True)
class Departure:
    """How a target leaves, and what is lost then.

    :param state: what its last heartbeat says; empty if it deregisters.
    :param loses_disk: the registry that acknowledged it loses its disk.
    :param restarts: restarts of the whole core before the departure; the registries
        know nothing of the target then.
    """

    state: str = ""
    loses_disk: bool = False
    restarts: int = 0


DEPARTURES = {
    "deregistered": Departure(),
    "draining": Departure(state="draining"),
    "disk-lost": Departure(loses_disk=True),
    "draining-disk-lost": Departure(state="draining", loses_disk=True),
    "unknown": Departure(restarts=1),
}


async def call_until_acknowledged(
    cluster: Cluster, path: str, body: dict[str, object]
) -> Endpoint:
    """Call the registries in turn, and return the one that answers with success."""
    async with asyncio.timeout(10.0):
        while True:
            for registry in reversed(cluster.registries):
                with contextlib.suppress(LinkLost, TimeoutError):
                    async with asyncio.timeout(1.0):
                        status, _ = await cluster.call(
                            registry, "POST", path, json.dumps(body).encode()
                        )
                    if status == 200:
                        return registry
                await asyncio.sleep(0.05)


async def leave(cluster: Cluster, target: Target, state: str) -> Endpoint:
    """Let a target leave, and return the registry that acknowledged it."""
    path = f"/api/instances/{target.name}/"
    if not state:
        body = {"born": target.born}
        return await call_until_acknowledged(cluster, path + "deregister", body)
    body = {**target.describe(), "state": state, "seq": target.sequence + 2}
    return await call_until_acknowledged(cluster, path + "heartbeat", body)


async def restart_core(cluster: Cluster, emptied: Endpoint | None = None) -> None:
    """Kill all registries and gateways at once, and start them again.

    :param emptied: registry that loses its disk.
    """
    for (kind, _), program in cluster.programs.items():
        if kind != "steward":
            program.kill()
    if emptied is not None:
        number = emptied.address.rpartition(".")[2]
        shutil.rmtree(cluster.folder / f"data-edge-{number}")
        cluster.make_program("registry", emptied.address)
    await asyncio.sleep(DOWN_SECONDS)
    for (kind, _), program in cluster.programs.items():
        if kind != "steward":
            program.start()


@pytest.mark.parametrize("departure", DEPARTURES.values(), ids=DEPARTURES)
async def test_a_target_that_left_gets_no_requests_after_a_restart_of_the_core(
    cluster, departure
):
    """Guards against a delayed heartbeat that makes it ready again."""
    target, other = cluster.plain
    target.announces = False
    for _ in range(departure.restarts):
        await restart_core(cluster)
    acknowledging = await leave(cluster, target, departure.state)
    await asyncio.sleep(DRAIN_SECONDS)
    await restart_core(cluster, acknowledging if departure.loses_disk else None)
    delayed = {**target.describe(), "seq": target.sequence + 1}
    path = f"/api/instances/{target.name}/heartbeat"
    await call_until_acknowledged(cluster, path, delayed)
    await asyncio.sleep(CONTACT_SECONDS)
    before, served = len(target.sends), 0
    for number in range(SENDS):
        gateway = cluster.gateways[number % 2]
        status, _, request = await cluster.request("look", gateway)
        if status == 200:
            served += cluster.ledger.runs[request] == [other.name]
    assert len(target.sends) == before
    assert served == SENDS
