"""Measures the time from start to serving against the length of the history.

Run with ``python -m benchmarks.bench_restart [FOLDER]``; it prints JSON and exits with
status 1 if the time with snapshots grows with the number of changes. The time includes
a short election, which takes equally long for all sizes.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.lone_log import make_command, open_log, propose_all

CHANGE_COUNTS = (500, 5_000, 50_000)
PROPOSALS_PER_BATCH = 500
ROUNDS = 5
SNAPSHOT_ENTRIES = 1_000
NO_SNAPSHOTS = 1_000_000

#: Maximum restart time after the most changes, with snapshots, as a multiple of that
#: after the fewest.
MAX_GROWTH = 3.0


class Restart(msgspec.Struct):
    """Restart times in milliseconds, and bytes on disk, after a number of changes."""

    changes: int
    with_snapshots: float
    without: float
    bytes_with_snapshots: int
    bytes_without: int


class Report(msgspec.Struct):
    """Results for all sizes, and the ratios of the largest to the smallest."""

    restarts: list[Restart]
    ratio: float
    ratio_without: float
    exceeded: list[str]


async def measure_restart(folder: Path, changes: int, snapshots: int) -> float:
    """Return the median milliseconds of a start after a number of changes.

    :param snapshots: entries after which a snapshot is taken.
    """
    async with open_log(folder, snapshots) as (replica, _):
        for start in range(0, changes, PROPOSALS_PER_BATCH):
            numbers = range(start, min(changes, start + PROPOSALS_PER_BATCH))
            await propose_all(replica, [make_command(number) for number in numbers])
    durations = []
    for _ in range(ROUNDS):
        start_time = time.perf_counter()
        async with open_log(folder, snapshots) as (_, machine):
            durations.append(1000 * (time.perf_counter() - start_time))
            if machine.applied != changes:
                raise SystemExit(
                    f"{machine.applied} of {changes} changes were recovered from disk"
                )
    return statistics.median(durations)


async def measure(folder: Path) -> Report:
    """Measure all sizes with and without snapshots.

    :param folder: directory for the logs.
    """
    restarts = []
    for changes in CHANGE_COUNTS:
        with_folder, without_folder = (
            folder / f"on-{changes}",
            folder / f"off-{changes}",
        )
        times = (
            await measure_restart(with_folder, changes, SNAPSHOT_ENTRIES),
            await measure_restart(without_folder, changes, NO_SNAPSHOTS),
        )
        restarts.append(
            Restart(
                changes, *times, _count_bytes(with_folder), _count_bytes(without_folder)
            )
        )
    first, last = restarts[0], restarts[-1]
    ratio = last.with_snapshots / first.with_snapshots
    exceeded = []
    if ratio > MAX_GROWTH:
        exceeded.append(f"restart time grows {ratio:.1f} times, more than {MAX_GROWTH}")
    return Report(restarts, ratio, last.without / first.without, exceeded)


def _count_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def main() -> None:
    """Print the report as JSON and exit with status 1 if a bound is exceeded."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
