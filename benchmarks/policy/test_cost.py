"""What a placement costs at the planned size, and how that grows.

Run with ``python -m pytest benchmarks/policy/test_cost.py -s``; not part of the tests,
because it measures wall time.
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
#: Seconds that a decision may take at p99.
LIMIT = 100e-6


def _make_view(targets: int, chance: random.Random) -> EntryView:
    view = EntryView()
    for number in range(targets):
        target = TargetId(f"target-{number}")
        view.add(target, FailureDomain(f"domain-{number % 4}"))
        resident = tuple(chance.randrange(1, ADAPTERS) for _ in range(SLOTS - 1))
        # Digest 1 is the hottest adapter, held by every fourth target.
        hot = (1,) if number % 4 == 0 else ()
        view.observe(
            LoadReport(target, 4, 2, SLOTS, 8, resident + hot, (), 2.0), float(number)
        )
    return view


def _measure(targets: int) -> tuple[float, float]:
    chance = random.Random(1)
    view = _make_view(targets, chance)
    times = []
    for number in range(DECISIONS):
        adapter = 1 if number % 5 == 0 else chance.randrange(1, ADAPTERS)
        begin = time.perf_counter()
        placed = view.place(PlacementQuery(adapter), chance.random)
        times.append(time.perf_counter() - begin)
        assert placed is not None
    times.sort()
    return times[DECISIONS // 2], times[DECISIONS * 99 // 100]


def test_cost_stays_below_its_limit_and_grows_slowly():
    """A decision at 600 targets costs little more than one at 75."""
    _, small = _measure(75)
    half, large = _measure(600)
    print(f"75 targets p99 {small * 1e6:.0f} us")
    print(f"600 targets p50 {half * 1e6:.0f} us, p99 {large * 1e6:.0f} us")
    assert large <= LIMIT
    assert large < 4 * small


@pytest.mark.parametrize("targets", [75, 600])
def test_report_and_dispatch(targets, benchmark):
    """A report and an own dispatch cost the same at any size."""
    view = _make_view(targets, random.Random(1))
    report = LoadReport(TargetId("target-3"), 4, 2, SLOTS, 8, tuple(range(9)), (), 2.0)

    moments = itertools.count(1000)

    def act() -> None:
        now = float(next(moments))
        view.observe(report, now)
        view.record_dispatch(TargetId("target-3"), 77, now)

    benchmark(act)
