"""Each program is killed, frozen and stopped under load; no promise may break."""

import asyncio
from collections.abc import Callable

import pytest
from tests.processes.fleet import Fleet
from tests.processes.programs import Program
from tests.processes.promises import check_promises
from tests.processes.striking import run_under_load

from ibishead.standin.calls import Verdict

#: Seconds for which a program is frozen: longer than any silence that a link bears.
FREEZE = 6.0

CHOOSE: dict[str, Callable[[Fleet], Program]] = {
    "entry": lambda fleet: fleet.entries[0],
    "agent": lambda fleet: fleet.engines[0].agent,
    "engine": lambda fleet: fleet.engines[0].program,
    "plain agent": lambda fleet: fleet.plains[0].agent,
    "plain service": lambda fleet: fleet.plains[0].program,
    "control": lambda fleet: fleet.controls[0],
}


async def kill(program: Program) -> None:
    program.kill()
    program.start()


async def freeze(program: Program) -> None:
    program.freeze()
    await asyncio.sleep(FREEZE)
    program.thaw()


async def test_calls_without_faults_are_all_whole(start_fleet):
    """Four adapters share two slots an engine, so adapters come and go all the time."""
    fleet = await start_fleet()
    results = await run_under_load(fleet, lambda: asyncio.sleep(0))
    check_promises(fleet, results).keep(Verdict.WHOLE)


@pytest.mark.parametrize("victim", CHOOSE)
@pytest.mark.parametrize("strike", [kill, freeze])
async def test_strike_breaks_no_promise(start_fleet, victim, strike):
    """A program dies and comes back, or freezes and goes on, under load."""
    fleet = await start_fleet()
    program = CHOOSE[victim](fleet)
    results = await run_under_load(fleet, lambda: strike(program))
    check_promises(fleet, results)
    await fleet.wait_serving()


@pytest.mark.parametrize("victim", ["entry", "agent", "plain agent", "control"])
async def test_planned_stop_cuts_nothing(start_fleet, victim):
    """A program is asked to stop while it carries streams and plain calls."""
    fleet = await start_fleet()
    program = CHOOSE[victim](fleet)
    statuses = []

    async def stop() -> None:
        statuses.append(await program.stop())

    results = await run_under_load(fleet, stop)
    tally = check_promises(fleet, results)
    # A call that finds a stopped entry's port closed was never sent
    tally.keep(Verdict.WHOLE, Verdict.NOT_RUN, Verdict.UNREACHABLE)
    assert statuses == [0]
