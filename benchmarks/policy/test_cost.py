"""Measures the time of a placement at the planned number of targets, and its growth.

Run with ``python -m pytest benchmarks/policy/test_cost.py -s``; it is not part of
the test suite, because it measures wall time.
"""

import itertools
import random
import time

import pytest

from ibishead.decisions.placement import PlacementQuery
from ibishead.decisions.views import EntryView
from ibishead.ids import FailureDomain, TargetId
from ibishead.messages import LoadReport

ADAPTERS = 49_000
SLOTS = 8
DECISIONS = 20_000
#: Maximum time of a decision at p99, in seconds.
MAX_SECONDS = 100e-6


def _make_view(targets: int, rng: random.Random) -> EntryView:
    view = EntryView()
    for number in range(targets):
        target = TargetId(f"target-{number}")
        view.add(target, FailureDomain(f"domain-{number % 4}"))
        resident = tuple(rng.randrange(1, ADAPTERS) for _ in range(SLOTS - 1))
        # Digest 1 is the most used adapter, resident on every fourth target.
        hot = (1,) if number % 4 == 0 else ()
        view.observe(
            LoadReport(target, 4, 2, SLOTS, 8, resident + hot, (), 2.0), float(number)
        )
    return view


def _measure(targets: int) -> tuple[float, float]:
    rng = random.Random(1)
    view = _make_view(targets, rng)
    times = []
    for number in range(DECISIONS):
        adapter = 1 if number % 5 == 0 else rng.randrange(1, ADAPTERS)
        start = time.perf_counter()
        placed = view.place(PlacementQuery(adapter), rng.random)
        times.append(time.perf_counter() - start)
        assert placed is not None
    times.sort()
    return times[DECISIONS // 2], times[DECISIONS * 99 // 100]


def test_placement_time_is_bounded_and_grows_slowly():
    """Guards against a placement time that grows linearly with the targets."""
    _, small = _measure(75)
    median, large = _measure(600)
    print(f"75 targets p99 {small * 1e6:.0f} us")
    print(f"600 targets p50 {median * 1e6:.0f} us, p99 {large * 1e6:.0f} us")
    assert large <= MAX_SECONDS
    assert large < 4 * small


@pytest.mark.parametrize("targets", [75, 600])
def test_report_and_dispatch(targets, benchmark):
    """Measures a report and a dispatch, whose time should not depend on the size."""
    view = _make_view(targets, random.Random(1))
    report = LoadReport(TargetId("target-3"), 4, 2, SLOTS, 8, tuple(range(9)), (), 2.0)

    clock = itertools.count(1000)

    def report_and_dispatch() -> None:
        now = float(next(clock))
        view.observe(report, now)
        view.record_dispatch(TargetId("target-3"), 77, now)

    benchmark(report_and_dispatch)
