"""Tests of placement and of an entry host's view of its targets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.placement import PlacementQuery, TargetView, place
from ibishead.decisions.views import EntryView, TargetIndex
from ibishead.ids import FailureDomain, TargetId
from ibishead.messages import LoadReport

DOMAIN = FailureDomain("szeged-a")


def view(name: str, **fields) -> TargetView:
    return TargetView(TargetId(name), DOMAIN, **fields)


def report(name: str, **fields) -> LoadReport:
    values = {
        "running": 0,
        "queued": 0,
        "slots": 8,
        "batch": 8,
        "resident": (),
        "loading": (),
        "seconds_per_request": 2.0,
    }
    return LoadReport(TargetId(name), **(values | fields))


HOT = frozenset({7})


@pytest.mark.parametrize(
    ("targets", "chosen"),
    [
        # A holder is preferred to an idle target.
        ((view("a", resident=HOT, running=6), view("b")), "a"),
        ((view("a", loading=HOT, running=6), view("b")), "a"),
        # Of two holders, the one with the shorter queue is chosen.
        ((view("a", resident=HOT, queued=20), view("b", resident=HOT)), "b"),
        # A long queue at the only holder justifies a copy.
        ((view("a", resident=HOT, running=8, queued=60), view("b")), "b"),
        # It does not while the store has a backlog: the copy would delay many loads.
        (
            (
                view("a", resident=HOT, running=8, queued=2),
                view("b", seconds_per_load=3.0, pending_loads=8),
            ),
            "a",
        ),
        # Requests that wait for their adapters do not count as load of a holder.
        (
            (
                view("a", resident=HOT, running=4, queued=20, stalled=20),
                view("b", resident=HOT, running=8),
            ),
            "a",
        ),
        # A slow holder is avoided in favour of another.
        (
            (
                view("a", resident=HOT, seconds_per_request=9.0),
                view("b", resident=HOT, running=7, seconds_per_request=1.0),
            ),
            "b",
        ),
    ],
)
def test_place(targets, chosen):
    assert place(PlacementQuery(7), targets, lambda: 0.5).target == chosen


@pytest.mark.parametrize("adapter", [3, 77, 4099])
def test_entry_hosts_choose_same_new_holder(adapter):
    """Guards against loading a rare adapter on several targets.

    It is requested at several entry hosts at once.
    """
    targets = [view(f"t{number}", coldest=1.0) for number in range(9)]
    hosts = [random.Random(seed) for seed in range(20)]
    chosen = {
        place(PlacementQuery(adapter), targets, host.random).target for host in hosts
    }
    assert len(chosen) == 1


views = st.builds(
    view,
    st.sampled_from([f"t{number}" for number in range(12)]),
    running=st.integers(0, 16),
    queued=st.integers(0, 200),
    recent_dispatches=st.integers(0, 50),
    stalled=st.integers(0, 50),
    batch=st.integers(0, 16),
    resident=st.frozensets(st.integers(1, 5)),
    loading=st.frozensets(st.integers(1, 5)),
    seconds_per_request=st.floats(0.0, 100.0),
    seconds_per_load=st.floats(0.0, 100.0),
    pending_loads=st.integers(0, 100),
    free_slots=st.integers(0, 8),
    coldest=st.floats(0.0, 1e6),
    reachable=st.booleans(),
    draining=st.booleans(),
)


@given(
    st.lists(views, unique_by=lambda item: item.target),
    st.integers(0, 6),
    st.floats(0.0, 1.0),
    st.frozensets(st.sampled_from([TargetId(f"t{number}") for number in range(12)])),
)
def test_unusable_target_is_never_chosen(targets, adapter, weight, avoid):
    query = PlacementQuery(adapter, weight, avoid=avoid)
    usable = {
        item.target
        for item in targets
        if item.reachable and not item.draining and item.target not in avoid
    }
    placed = place(query, targets, lambda: 0.5)
    assert (placed.target in usable) if usable else placed is None


def test_burst_between_two_reports_is_spread():
    """Guards against sending a burst to one target until its next load report.

    Forty requests without an adapter arrive between two reports.
    """
    entry = EntryView()
    for name in "abcd":
        entry.add(TargetId(name), DOMAIN)
        entry.observe(report(name), 0.0)
    counts = dict.fromkeys("abcd", 0)
    for _ in range(40):
        placed = entry.place(PlacementQuery(0), lambda: 0.5)
        counts[placed.target] += 1
        entry.record_dispatch(placed.target, 0, 1.0)
    assert max(counts.values()) <= 16


def test_own_dispatch_counts_until_a_report_can_include_it():
    entry = EntryView(lag=0.1)
    entry.add(TargetId("a"), DOMAIN)
    entry.record_dispatch(TargetId("a"), 7, 1.0)
    entry.observe(report("a"), 1.05)
    (seen,) = entry.all()
    assert (seen.recent_dispatches, seen.loading, seen.pending_loads) == (1, HOT, 1)
    entry.observe(report("a", running=1, resident=(7,)), 1.2)
    (seen,) = entry.all()
    assert (seen.recent_dispatches, seen.resident, seen.pending_loads) == (0, HOT, 0)


def test_all_targets_are_considered_when_no_candidate_is_usable():
    entry = EntryView()
    for number in range(40):
        entry.add(TargetId(f"t{number}"), DOMAIN)
        entry.observe(report(f"t{number}"), 0.0)
    for item in entry.candidates(7):
        entry.set_reachable(item.target, False)
    assert entry.place(PlacementQuery(7), lambda: 0.5) is not None


def test_all_copies_of_a_popular_adapter_are_used():
    """Guards against using only some copies of an adapter that many targets hold."""
    entry = EntryView()
    for number in range(40):
        entry.add(TargetId(f"t{number}"), DOMAIN)
        held = (7,) if number % 2 else ()
        entry.observe(report(f"t{number}", resident=held), 0.0)
    rng = random.Random(1)
    chosen = {entry.place(PlacementQuery(7), rng.random).target for _ in range(500)}
    assert chosen == {TargetId(f"t{number}") for number in range(1, 40, 2)}


@given(
    st.lists(
        st.tuples(
            st.integers(0, 30),
            st.sampled_from(["add", "remove", "hold"]),
            st.frozensets(st.integers(1, 9), max_size=4),
        )
    )
)
def test_index_finds_holders_among_known_targets_only(changes):
    index = TargetIndex()
    held: dict[TargetId, frozenset[int]] = {}
    for number, change, digests in changes:
        target = TargetId(f"t{number}")
        match change:
            case "add":
                index.add(target)
                held.setdefault(target, frozenset())
            case "remove":
                index.remove(target)
                held.pop(target, None)
            case "hold" if target in held:
                index.set_held(target, digests)
                held[target] = digests
    for digest in range(1, 10):
        found = index.find(digest)
        holders = {target for target, digests in held.items() if digest in digests}
        assert len(found) == len(set(found))
        assert set(found) <= set(held)
        assert len(holders & set(found)) >= min(len(holders), 6)
        assert bool(found) == bool(held)
