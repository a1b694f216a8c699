"""Prompt parts that crash each engine which writes on them, with real programs.

By hand, more seeds: ``PART_SEEDS=50 pytest tests/onplatform/test_crashing_parts.py``.
"""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
from tests.onplatform.crashtraffic import (
    CALM_SECONDS,
    HEAD,
    SECONDS,
    SOUND_CALLERS,
    Traffic,
    check_play,
    crash_engines,
    disturb,
    join_gateway,
    kill_core,
    kill_gateways,
    kill_stewards,
    leave_alone,
    run_play,
    suspend_gateways,
)
from tests.onplatform.standin import Cluster

SEEDS = range(int(os.environ.get("PART_SEEDS", "1")))
#: Crashes after which a part has to be known.
CRASHES = 5
BAD_CALLERS = 3


@dataclass(frozen=True)
class Scenario:
    """One way in which crashing parts come.

    :param bad: the parts.
    :param position: their position in a prompt.
    :param disturb: what happens besides.
    """

    engines: int = 5
    bad: tuple[str, ...] = ("bad00001",)
    position: int = 1
    disturb: Callable[[Cluster, random.Random], Awaitable[None]] = leave_alone

    def make_parts(self, draw: random.Random) -> list[str]:
        """Return the shared parts of a prompt that crashes its engine."""
        parts = [HEAD, f"{draw.randrange(40):08x}"]
        parts[self.position] = draw.choice(self.bad)
        return parts


SCENARIOS = {
    "middle": Scenario(),
    "first": Scenario(position=0),
    "few engines": Scenario(engines=2),
    "several parts": Scenario(bad=("bad00001", "bad00002", "bad00003")),
    "gateways killed": Scenario(disturb=kill_gateways),
    "stewards killed": Scenario(disturb=kill_stewards),
    "core killed": Scenario(disturb=kill_core),
    "gateway joins": Scenario(disturb=join_gateway),
    "gateways suspended": Scenario(disturb=suspend_gateways),
    "engines crash as well": Scenario(disturb=crash_engines),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
async def test_a_crashing_part_stops_reaching_engines(tmp_path, name, seed):
    """Requests of one kind would end one engine after the other."""
    await run_scenario(tmp_path, SCENARIOS[name], random.Random(seed))


@pytest.mark.parametrize("seed", SEEDS)
async def test_soak_of_crashing_parts(tmp_path, seed):
    """What each scenario guards against, with failures that overlap."""
    draw = random.Random(seed)
    scenario = Scenario(
        engines=draw.randrange(2, 7),
        bad=tuple(f"bad{n:05x}" for n in range(draw.choice((1, 1, 2, 3)))),
        position=draw.randrange(2),
        disturb=disturb,
    )
    await run_scenario(tmp_path, scenario, draw)


async def send_bad(traffic: Traffic, end: float, scenario: Scenario) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < traffic.find_end(scenario.bad, end, CRASHES):
        for _ in range(2):
            parts = scenario.make_parts(traffic.draw)
            if await traffic.send(traffic.make_prompt(parts)):
                break
        await asyncio.sleep(traffic.draw.uniform(0.1, 0.5))


async def run_scenario(tmp_path, scenario: Scenario, draw: random.Random) -> None:
    async with Cluster(tmp_path, engines=scenario.engines) as cluster:
        await cluster.wait_ready()
        cluster.crashing_parts.update(scenario.bad)
        traffic = Traffic(cluster, draw)

        async def send_all_bad(end: float) -> None:
            senders = (send_bad(traffic, end, scenario) for _ in range(BAD_CALLERS))
            await asyncio.gather(*senders)

        play = await run_play(
            traffic, scenario.bad, CRASHES, scenario.disturb, send_all_bad
        )
    check_play(play)


@pytest.mark.parametrize("seed", SEEDS)
async def test_engines_that_crash_by_themselves_cost_sound_callers_nothing(
    tmp_path, seed
):
    """The parts that ran at engines which crashed anyway would be refused."""
    draw, loop = random.Random(seed), asyncio.get_running_loop()
    async with Cluster(tmp_path, engines=5) as cluster:
        await cluster.wait_ready()
        traffic, started = Traffic(cluster, draw), loop.time()
        end = started + CALM_SECONDS + SECONDS
        disturbance = asyncio.create_task(crash_engines(cluster, draw))
        await asyncio.gather(
            *(traffic.send_sound(end) for _ in range(SOUND_CALLERS)),
        )
        disturbance.cancel()
        await asyncio.gather(disturbance, return_exceptions=True)
        logs = [p.log for (kind, _), p in cluster.programs.items() if kind == "gateway"]
    print(f"begun {traffic.share_begun(started, end):.2f}")
    assert len(cluster.ledger.crashes) >= 5
    assert not any("prompt_blocked" in log for log in logs)
