"""Commits a second with and without group commit, on the disk of the folder.

Run with ``python -m benchmarks.bench_commits [FOLDER]``; it prints JSON and ends with
status 1 when group commit gains less than its bound. Both kinds run in turns.
"""

import asyncio
import contextlib
import statistics
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.lone_log import make_command, open_log
from ibishead.control.replica import LogReplica

WAITERS = 64
ROUNDS = 5

#: Changes of each waiter in one round.
GROUPED_CHANGES = 40
SINGLE_CHANGES = 4

#: What group commit must gain at least; a sync costs far more than an entry.
RATIO_BOUND = 10.0


class Report(msgspec.Struct):
    """Medians over the rounds, in commits a second."""

    waiters: int
    grouped: float
    single: float
    ratio: float
    exceeded: list[str]


async def measure_rate(replica: LogReplica, changes: int, *, grouped: bool) -> float:
    """Return the commits a second of many waiters.

    :param grouped: let all that wait share a sync; else each has its own.
    """
    turn = asyncio.Lock()

    async def wait_for_changes() -> None:
        for number in range(changes):
            async with contextlib.nullcontext() if grouped else turn:
                await replica.propose(make_command(number))

    begun = time.perf_counter()
    await asyncio.gather(*(wait_for_changes() for _ in range(WAITERS)))
    return WAITERS * changes / (time.perf_counter() - begun)


async def measure(folder: Path) -> Report:
    """Measure both kinds in turns."""
    grouped, single = [], []
    async with open_log(folder, snapshot_entries=1_000_000) as (replica, _):
        for _ in range(ROUNDS):
            single.append(await measure_rate(replica, SINGLE_CHANGES, grouped=False))
            grouped.append(await measure_rate(replica, GROUPED_CHANGES, grouped=True))
    rates = statistics.median(grouped), statistics.median(single)
    ratio = rates[0] / rates[1]
    exceeded = []
    if ratio < RATIO_BOUND:
        exceeded.append(f"group commit gains {ratio:.1f}, less than {RATIO_BOUND}")
    return Report(WAITERS, *rates, ratio, exceeded)


def main() -> None:
    """Measure, print, and fail when a bound is exceeded."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
