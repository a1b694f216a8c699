"""Tests of batch slot accounting.

The batch is never exceeded, and no slot stays occupied after its gateway is lost.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.batchslots import INITIAL_INTERVAL_SECONDS, BatchSlots


@given(st.integers(1, 8), st.lists(st.booleans(), max_size=60))
def test_slots_are_never_exceeded(slots, steps):
    batch, running = BatchSlots(slots), 0
    for now, begins in enumerate(steps):
        if begins and not batch.full:
            batch.begin()
            running += 1
        elif not begins and running:
            batch.end(1, float(now))
            running -= 1
        assert running <= slots
        assert batch.full == (running == slots)


@pytest.mark.parametrize(
    ("active", "reported", "begun", "used"),
    [(3, 3, 0, 3), (3, 1, 0, 1), (3, 1, 1, 2), (1, 4, 0, 1)],
)
def test_report_bounds_slots_in_use(active, reported, begun, used):
    batch = BatchSlots(12)
    for _ in range(active - begun):
        batch.begin()
    batch.record_report(reported)
    assert batch.used == active - begun
    batch.record_report(reported)
    for _ in range(begun):
        batch.begin()
    assert batch.used == used


def test_engine_without_limit_is_never_full():
    batch = BatchSlots(0)
    for _ in range(500):
        batch.begin()
    assert not batch.full
    assert batch.delay(9) == 0.0


def test_delay_follows_completion_interval_of_full_batch():
    batch = BatchSlots(1)
    batch.begin()
    assert batch.delay(2) == pytest.approx(2 * INITIAL_INTERVAL_SECONDS)
    for now in range(100):
        batch.end(1, now * 0.5)
        batch.begin()
    assert batch.delay(2) == pytest.approx(1.0, rel=0.05)
