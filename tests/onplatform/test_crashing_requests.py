"""A request that crashes each engine which begins to answer it, with real programs.

Its caller sends it again and again, each time under a new request ID. By hand, more
seeds: ``REQUEST_SEEDS=50 pytest tests/onplatform/test_crashing_requests.py``.
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
    Prompt,
    Traffic,
    check_play,
    crash_engines,
    crash_plain,
    disturb,
    join_gateway,
    kill_all,
    kill_core,
    kill_gateways,
    kill_stewards,
    leave_alone,
    run_play,
)
from tests.onplatform.standin import Cluster

SEEDS = range(int(os.environ.get("REQUEST_SEEDS", "1")))
#: Crashes after which a request has to be known.
CRASHES = 3
BODY = "crash"
ADAPTERS = ("a0", "a1", "a2", "a3")


@dataclass(frozen=True)
class Scenario:
    """One way in which a request is repeated.

    :param parts: the parts of its prompt.
    :param adapters: adapters that it is sent to in turn.
    :param resume_after: last event that its caller claims to have received.
    :param disturb: what happens besides.
    """

    route: str = "plan"
    parts: tuple[str, ...] = (HEAD, "0000feed", "0000beef")
    adapters: tuple[str, ...] = ADAPTERS[:1]
    resume_after: str | None = None
    disturb: Callable[[Cluster, random.Random], Awaitable[None]] = leave_alone

    @property
    def is_plain(self) -> bool:
        """Whether the request is sent to a plain service."""
        return self.adapters == ("",)

    def make_prompt(self, number: int) -> Prompt:
        """Return what is sent for the n-th time."""
        adapter = self.adapters[number % len(self.adapters)]
        return Prompt(self.route, adapter, self.parts, BODY, self.resume_after)


SCENARIOS = {
    "several parts": Scenario(),
    "one part": Scenario(parts=("0000beef",)),
    "no part": Scenario(parts=()),
    "adapter changes": Scenario(adapters=ADAPTERS),
    "two attempts": Scenario(route="advice"),
    "two attempts, no part": Scenario(route="advice", parts=()),
    "resumed": Scenario(route="advice", resume_after="1"),
    "plain": Scenario(route="look", parts=(), adapters=("",)),
    "plain, once": Scenario(route="issue", parts=(), adapters=("",)),
    "plain, core killed": Scenario(
        route="look", parts=(), adapters=("",), disturb=kill_core
    ),
    "gateways killed": Scenario(disturb=kill_gateways),
    "stewards killed": Scenario(disturb=kill_stewards),
    "core killed": Scenario(disturb=kill_core),
    "all killed": Scenario(disturb=kill_all),
    "gateway joins": Scenario(disturb=join_gateway),
    "engines crash as well": Scenario(disturb=crash_engines),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
async def test_a_crashing_request_stops_reaching_engines(tmp_path, name, seed):
    """One caller would end one engine after the other."""
    await run_scenario(tmp_path, SCENARIOS[name], random.Random(seed))


@pytest.mark.parametrize("seed", SEEDS)
async def test_soak_of_crashing_requests(tmp_path, seed):
    """What each scenario guards against, with failures that overlap."""
    draw = random.Random(seed)
    scenario = Scenario(
        route=draw.choice(("plan", "advice")),
        parts=draw.choice(((), ("0000beef",), (HEAD, "0000feed", "0000beef"))),
        adapters=draw.choice((ADAPTERS[:1], ADAPTERS)),
        disturb=disturb,
    )
    await run_scenario(tmp_path, scenario, draw)


async def run_scenario(tmp_path, scenario: Scenario, draw: random.Random) -> None:
    loop = asyncio.get_running_loop()
    async with Cluster(tmp_path, engines=4) as cluster:
        await cluster.wait_ready()
        cluster.crashing_bodies.add(BODY)
        traffic = Traffic(cluster, draw)

        async def send_bad(end: float) -> None:
            number = 0
            while loop.time() < traffic.find_end((BODY,), end, CRASHES):
                await traffic.send(scenario.make_prompt(number))
                number += 1
                await asyncio.sleep(draw.uniform(0.1, 0.3))

        play = await run_play(
            traffic,
            (BODY,),
            CRASHES,
            scenario.disturb,
            send_bad,
            traffic.make_order if scenario.is_plain else None,
        )
    assert len(play.list_crashes(BODY)) >= CRASHES
    check_play(play)


@dataclass(frozen=True)
class SoundCallers:
    """Callers whose requests have something in common that might be blamed.

    :param bodies: bodies that they draw from.
    :param adapters: adapters that they draw from.
    :param named: whether their prompts name parts.
    :param plain: whether they call a plain service instead.
    """

    bodies: tuple[str, ...] = ("body",)
    adapters: tuple[str, ...] = ADAPTERS
    named: bool = True
    plain: bool = False


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "callers",
    [
        SoundCallers(),
        SoundCallers(named=False),
        SoundCallers(tuple(f"body {n}" for n in range(30)), named=False),
        SoundCallers(adapters=ADAPTERS[:1], named=False),
        SoundCallers(plain=True),
    ],
    ids=["named parts", "alike", "repeated now and then", "one adapter", "plain"],
)
async def test_engines_that_crash_by_themselves_get_no_request_refused(
    tmp_path, callers, seed
):
    """Requests that ran at engines which crashed anyway would be refused."""
    draw, loop = random.Random(seed), asyncio.get_running_loop()
    async with Cluster(tmp_path, engines=4) as cluster:
        await cluster.wait_ready()
        traffic, started = Traffic(cluster, draw), loop.time()
        end = started + CALM_SECONDS + SECONDS
        crash = crash_plain if callers.plain else crash_engines
        disturbance = asyncio.create_task(crash(cluster, draw))

        def make_prompt() -> Prompt:
            if callers.plain:
                return traffic.make_order()
            own = f"{draw.getrandbits(32):08x}"
            parts = (HEAD, f"{draw.randrange(40):08x}", own) if callers.named else ()
            return Prompt(
                draw.choice(("plan", "advice")),
                draw.choice(callers.adapters),
                parts,
                draw.choice(callers.bodies),
            )

        await asyncio.gather(
            *(
                traffic.send_sound(end, make_prompt=make_prompt)
                for _ in range(SOUND_CALLERS)
            )
        )
        disturbance.cancel()
        await asyncio.gather(disturbance, return_exceptions=True)
        logs = [p.log for (kind, _), p in cluster.programs.items() if kind == "gateway"]
    print(f"begun {traffic.share_begun(started, end):.2f}")
    assert len(cluster.ledger.crashes) >= 5
    assert not any("prompt_blocked" in log for log in logs)
