"""Runs a fleet under load and injects a fault during the run."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.processes.fleet import Fleet
from tests.processes.programs import wait_until

from ibishead.standin.calls import Mix
from ibishead.standin.ledger import RecordKind
from ibishead.standin.load import CallResult, generate_load

__all__ = ["ADAPTERS", "count_records", "run_under_load"]

ADAPTERS = ("tisza@v2", "balaton@v1", "alfold@v1", "tisza@v1")

#: Time for which calls are still started after the fault.
SECONDS_AFTER_FAULT = 4.0

#: Number of calls that targets have finished before the fault.
CALLS_BEFORE_FAULT = 20


async def run_under_load(
    fleet: Fleet, inject_fault: Callable[[], Awaitable[None]], rate: float = 40.0
) -> list[CallResult]:
    """Inject a fault once calls have started and finished, and return all results."""
    mix = Mix(
        "mester",
        ADAPTERS,
        count=2_000,
        rate=rate,
        max_tokens=40,
        plain_service="raktar",
        plain_share=0.3,
    )
    caller = fleet.make_caller(resends=4)
    stop = asyncio.Event()
    load = asyncio.create_task(generate_load(caller, mix, 60.0, stop))
    await wait_until(
        "calls have started and finished",
        lambda: count_records(fleet, RecordKind.FINISHED) >= CALLS_BEFORE_FAULT,
    )
    await inject_fault()
    await asyncio.sleep(SECONDS_AFTER_FAULT)
    stop.set()
    _, results = await load
    caller.close()
    return results


def count_records(fleet: Fleet, kind: RecordKind) -> int:
    """Return the number of records of a kind in the ledgers of all targets."""
    targets = fleet.engines + fleet.plains
    return sum(1 for t in targets for record in t.ledger if record.kind is kind)
