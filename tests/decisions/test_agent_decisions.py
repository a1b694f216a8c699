"""Tests of eviction, load order and run order, as decided by an agent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.eviction import ReuseCounter, SlotView, choose_victim
from ibishead.decisions.loading import (
    LoadBackoff,
    LoadPermits,
    PendingLoad,
    choose_load,
    choose_loads,
)
from ibishead.decisions.queueing import FairQueue, QueuedRequest, choose_next, list_late
from ibishead.ids import RequestId, TeamId


@pytest.mark.parametrize(
    ("slots", "victim"),
    [
        ((), None),
        ((SlotView(1, 1, 0.0),), None),
        ((SlotView(1, 1, 0.0), SlotView(2, 0, 90.0, 50.0)), 2),
        # The less frequently used adapter is evicted, although it was used last.
        ((SlotView(1, 0, 80.0, 9.0), SlotView(2, 0, 90.0, 1.0)), 2),
        # A high count no longer protects an adapter that was idle for too long.
        ((SlotView(1, 0, -9000.0, 90.0), SlotView(2, 0, 90.0, 1.0)), 1),
        # A slot with waiting requests is evicted only if there is no other.
        ((SlotView(1, 0, 0.0, 0.1, waiting=1), SlotView(2, 0, 90.0, 9.0)), 2),
    ],
)
def test_choose_victim(slots, victim):
    chosen = choose_victim(slots, 100.0)
    assert (chosen.digest if chosen else None) == victim


slot_views = st.builds(
    SlotView,
    st.integers(1, 99),
    st.integers(0, 3),
    st.floats(-1e6, 100.0),
    st.floats(0.0, 1e6),
    st.integers(0, 9),
)


@given(st.lists(slot_views), st.booleans())
def test_pinned_slot_is_never_evicted(slots, spare):
    victim = choose_victim(slots, 100.0, spare_waiting=spare)
    free = [slot for slot in slots if not slot.pins and not (spare and slot.waiting)]
    if victim is None:
        assert not free
    else:
        assert victim in free


def test_reuse_count_decays():
    counter = ReuseCounter(half_life=10.0)
    for _ in range(4):
        counter.observe_use(1, 0.0)
    counter.observe_use(2, 20.0)
    assert counter.read(1, 20.0) == pytest.approx(1.0)
    assert counter.read(2, 20.0) == pytest.approx(1.0)
    assert counter.read(3, 20.0) == 0.0


def test_reuse_counter_is_bounded():
    counter = ReuseCounter()
    for digest in range(10_000):
        counter.observe_use(digest, float(digest))
    assert len(counter._counts) <= 4096
    assert counter.read(9_999, 10_000.0) > 0.9


@pytest.mark.parametrize(
    ("loads", "chosen"),
    [
        ((), None),
        ((PendingLoad(1, 1, 1.0, 5), PendingLoad(2, 4, 1.0, 5)), 2),
        ((PendingLoad(1, 1, 1.0, 9), PendingLoad(2, 1, 1.0, 0)), 1),
        # Age outweighs priority and number of requests.
        ((PendingLoad(1, 1, 60.0, 0), PendingLoad(2, 2, 1.0, 9)), 1),
        # A failed load is not retried before its delay has passed.
        ((PendingLoad(1, 9, 9.0, 9, not_before=101.0), PendingLoad(2, 1, 0.0, 0)), 2),
        ((PendingLoad(1, 9, 9.0, 9, not_before=101.0),), None),
    ],
)
def test_choose_load(loads, chosen):
    found = choose_load(loads, 100.0)
    assert (found.digest if found else None) == chosen
    assert [load.digest for load in choose_loads(loads, 100.0, 1)] == (
        [chosen] if chosen else []
    )


def test_failed_loads_back_off_and_move_requests():
    backoff = LoadBackoff()
    assert not backoff.observe_failure(1, 10.0)
    first = backoff.read(1) - 10.0
    assert backoff.observe_failure(1, 20.0)
    assert backoff.read(1) - 20.0 == 2 * first
    assert backoff.read(2) == 0.0
    backoff.observe_success(1)
    assert backoff.read(1) == 0.0


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=200))
def test_permits_respect_rate_and_concurrency(steps):
    permits = LoadPermits()
    now, running, taken = 0.0, 0, 0
    for pause, release in steps:
        now += pause
        if release and running:
            permits.release()
            running -= 1
        if permits.take(now):
            running += 1
            taken += 1
        assert running <= 8
        assert taken <= 8 + 4.0 * now + 1e-6


def item(name: str, **fields) -> QueuedRequest:
    values = {
        "attempt": 1,
        "team": TeamId("a"),
        "adapter": 1,
        "priority": 5,
        "arrived": 100.0,
        "deadline": 200.0,
        "ready": True,
    }
    return QueuedRequest(RequestId(name), **(values | fields))


@pytest.mark.parametrize(
    ("waiting", "weight", "chosen"),
    [
        ((), 0.5, None),
        ((item("a", ready=False),), 0.5, None),
        ((item("a", priority=3), item("b", priority=6)), 0.5, "b"),
        # The adapter in the batch goes first by batch efficiency, not by load stalls.
        ((item("a", arrived=99.0), item("b", adapter=8)), 0.0, "b"),
        ((item("a", arrived=99.0), item("b", adapter=8)), 1.0, "a"),
        # Grouping by adapter is limited to a bounded wait.
        ((item("a", arrived=96.5), item("b", adapter=8, arrived=96.6)), 0.5, "a"),
        # The team with less usage goes first within a priority.
        ((item("a", arrived=99.0), item("b", team=TeamId("b"))), 0.5, "b"),
    ],
)
def test_choose_next(waiting, weight, chosen):
    found = choose_next(
        waiting, {8: 3}, 100.0, used={TeamId("a"): 40.0}, stall_weight=weight
    )
    assert (found.request if found else None) == chosen


@given(
    st.integers(0, 8),
    st.floats(0.0, 1.0),
    st.lists(st.integers(1, 9), min_size=200, max_size=200),
)
def test_no_request_starves(priority, weight, steps):
    """Guards against a request that starves while higher priorities keep arriving."""
    others = [min(9, priority + step) for step in steps]
    lone = item("lone", priority=priority, arrived=0.0, adapter=3)
    queue = [lone]
    fair = FairQueue()
    for second, other in enumerate(others):
        now = float(second)
        queue.append(item(f"{second}", priority=other, arrived=now, adapter=8))
        chosen = choose_next(
            queue, {8: 7}, now, used=fair.read(now), stall_weight=weight
        )
        queue.remove(chosen)
        fair.observe_run(chosen.team, now)
    assert lone not in queue


def test_late_requests_are_found_before_their_deadline():
    late = list_late([item("a", deadline=101.0), item("b")], 100.0, 2.0)
    assert [entry.request for entry in late] == ["a"]


def test_team_usage_decays():
    fair = FairQueue()
    fair.observe_run(TeamId("a"), 0.0, cost=4.0)
    assert fair.read(0.0) == {TeamId("a"): 4.0}
    assert fair.read(60.0)[TeamId("a")] == pytest.approx(2.0)
