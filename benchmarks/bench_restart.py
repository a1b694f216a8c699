"""Time from start to serving after few and after many changes.

Run with ``python -m benchmarks.bench_restart [FOLDER]``; it prints JSON and ends with
status 1 when the time with snapshots grows with the number of changes. The time holds
a short election, which is the same for all.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.lone_log import make_command, open_log, propose_all

CHANGES = (500, 5_000, 50_000)
BATCH = 500
ROUNDS = 5
SNAPSHOT_ENTRIES = 1_000
NO_SNAPSHOTS = 1_000_000

#: Most that the largest history may cost against the smallest, with snapshots.
FLAT_BOUND = 3.0


class Restart(msgspec.Struct):
    """Restart after a number of changes, in milliseconds and bytes on the disk."""

    changes: int
    with_snapshots: float
    without: float
    bytes_with_snapshots: int
    bytes_without: int


class Report(msgspec.Struct):
    """All sizes, and what the largest costs against the smallest."""

    restarts: list[Restart]
    ratio: float
    ratio_without: float
    exceeded: list[str]


async def measure_restart(folder: Path, changes: int, snapshots: int) -> float:
    """Return the median milliseconds of a start after a number of changes."""
    async with open_log(folder, snapshots) as (replica, _):
        for start in range(0, changes, BATCH):
            numbers = range(start, min(changes, start + BATCH))
            await propose_all(replica, [make_command(number) for number in numbers])
    found = []
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        async with open_log(folder, snapshots) as (_, machine):
            found.append(1000 * (time.perf_counter() - begun))
            if machine.applied != changes:
                raise SystemExit(f"{machine.applied} of {changes} changes were found")
    return statistics.median(found)


async def measure(folder: Path) -> Report:
    """Measure all sizes with and without snapshots."""
    restarts = []
    for changes in CHANGES:
        on, off = folder / f"on-{changes}", folder / f"off-{changes}"
        times = (
            await measure_restart(on, changes, SNAPSHOT_ENTRIES),
            await measure_restart(off, changes, NO_SNAPSHOTS),
        )
        restarts.append(Restart(changes, *times, _count_bytes(on), _count_bytes(off)))
    first, last = restarts[0], restarts[-1]
    ratio = last.with_snapshots / first.with_snapshots
    exceeded = []
    if ratio > FLAT_BOUND:
        exceeded.append(f"restart grows {ratio:.1f} times, more than {FLAT_BOUND}")
    return Report(restarts, ratio, last.without / first.without, exceeded)


def _count_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def main() -> None:
    """Measure, print, and fail when a bound is exceeded."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
