"""Measures commits per second with and without group commit.

Run with ``python -m benchmarks.bench_commits [FOLDER]``, where FOLDER selects the disk;
it prints JSON and exits with status 1 if the speed-up of group commit is below its
bound. Grouped and single commits alternate.
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
from ibishead.control.log.replica import LogReplica

PROPOSERS = 64
ROUNDS = 5

#: Changes that each proposer commits in one round.
GROUPED_CHANGES = 40
SINGLE_CHANGES = 4

#: Minimum speed-up of group commit; a sync costs far more than writing an entry.
MIN_RATIO = 10.0


class Report(msgspec.Struct):
    """Medians over the rounds, in commits per second."""

    waiters: int
    grouped: float
    single: float
    ratio: float
    exceeded: list[str]


async def measure_rate(replica: LogReplica, changes: int, *, grouped: bool) -> float:
    """Return the commits per second of many concurrent proposers.

    :param changes: changes that each proposer commits.
    :param grouped: let concurrent changes share a sync; otherwise each has its own.
    """
    lock = asyncio.Lock()

    async def propose_changes() -> None:
        for number in range(changes):
            async with contextlib.nullcontext() if grouped else lock:
                await replica.propose(make_command(number))

    start = time.perf_counter()
    await asyncio.gather(*(propose_changes() for _ in range(PROPOSERS)))
    return PROPOSERS * changes / (time.perf_counter() - start)


async def measure(folder: Path) -> Report:
    """Measure grouped and single commits, alternating.

    :param folder: directory for the log.
    """
    grouped, single = [], []
    async with open_log(folder, snapshot_entries=1_000_000) as (replica, _):
        for _ in range(ROUNDS):
            single.append(await measure_rate(replica, SINGLE_CHANGES, grouped=False))
            grouped.append(await measure_rate(replica, GROUPED_CHANGES, grouped=True))
    rates = statistics.median(grouped), statistics.median(single)
    ratio = rates[0] / rates[1]
    exceeded = []
    if ratio < MIN_RATIO:
        exceeded.append(f"group commit speed-up is {ratio:.1f}, below {MIN_RATIO}")
    return Report(PROPOSERS, *rates, ratio, exceeded)


def main() -> None:
    """Print the report as JSON and exit with status 1 if a bound is exceeded."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
