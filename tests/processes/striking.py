"""Load on a fleet, and a strike in the middle of it."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.processes.fleet import Fleet
from tests.processes.programs import wait_until

from ibishead.standin.calls import Mix
from ibishead.standin.ledger import RecordKind
from ibishead.standin.load import CallResult, generate_load

__all__ = ["ADAPTERS", "count_records", "run_under_load"]

ADAPTERS = ("tisza@v2", "balaton@v1", "alfold@v1", "tisza@v1")

#: Seconds after a strike in which calls still come.
AFTERMATH = 4.0

#: Calls that targets have finished before a strike.
CALLS_BEFORE = 20


async def run_under_load(
    fleet: Fleet, strike: Callable[[], Awaitable[None]], rate: float = 40.0
) -> list[CallResult]:
    """Strike once calls have started and finished, and return how all calls ended."""
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
        lambda: count_records(fleet, RecordKind.FINISHED) >= CALLS_BEFORE,
    )
    await strike()
    await asyncio.sleep(AFTERMATH)
    stop.set()
    _, results = await load
    caller.close()
    return results


def count_records(fleet: Fleet, kind: RecordKind) -> int:
    """Return the records of a kind in the ledgers of all targets."""
    targets = fleet.engines + fleet.plains
    return sum(1 for t in targets for record in t.ledger if record.kind is kind)
