"""The guarantees hold when programs are killed, suspended or stopped under load."""

import asyncio
from collections.abc import Callable

import pytest
from tests.processes.fleet import Fleet
from tests.processes.guarantees import check_guarantees
from tests.processes.programs import Program
from tests.processes.under_load import run_under_load

from ibishead.standin.calls import Verdict

#: Longer than the silence after which any link is closed.
SUSPEND_SECONDS = 6.0

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


async def suspend(program: Program) -> None:
    program.suspend()
    await asyncio.sleep(SUSPEND_SECONDS)
    program.resume()


async def test_all_calls_succeed_without_faults(start_fleet):
    """Four adapters share two slots per engine, which causes constant evictions."""
    fleet = await start_fleet()
    results = await run_under_load(fleet, lambda: asyncio.sleep(0))
    check_guarantees(fleet, results).require(Verdict.WHOLE)


@pytest.mark.parametrize("victim", CHOOSE)
@pytest.mark.parametrize("fault", [kill, suspend])
async def test_guarantees_hold_after_fault(start_fleet, victim, fault):
    """A program is killed and restarted, or suspended and resumed, under load."""
    fleet = await start_fleet()
    program = CHOOSE[victim](fleet)
    results = await run_under_load(fleet, lambda: fault(program))
    check_guarantees(fleet, results)
    await fleet.wait_serving()


@pytest.mark.parametrize("victim", ["entry", "agent", "plain agent", "control"])
async def test_planned_stop_interrupts_no_calls(start_fleet, victim):
    """Guards against calls that are interrupted by a graceful stop of a program."""
    fleet = await start_fleet()
    program = CHOOSE[victim](fleet)
    statuses = []

    async def stop() -> None:
        statuses.append(await program.stop())

    results = await run_under_load(fleet, stop)
    totals = check_guarantees(fleet, results)
    # Connections to a stopped entry host are refused, and these calls are never sent
    totals.require(Verdict.WHOLE, Verdict.NOT_RUN, Verdict.UNREACHABLE)
    assert statuses == [0]
