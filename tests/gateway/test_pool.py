"""Kept connections to targets."""

import pytest

from ibishead.clock import ManualClock
from ibishead.gateway.pool import IDLE_DEFAULT, IDLE_MARGIN, ConnectionPool

ADDRESS = "127.0.0.1:9"


class FakeConnection:
    """A connection whose target tells how long it keeps it."""

    def __init__(self, idle_time: float | None = 10.0) -> None:
        self.idle_time = idle_time
        self.used = 0.0
        self.closed = False

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(
    ("told", "kept"), [(10.0, 10.0 - IDLE_MARGIN), (1.0, 0.5), (None, IDLE_DEFAULT)]
)
async def test_a_connection_is_used_while_its_target_surely_keeps_it(told, kept):
    """A request is lost, as it crosses the target's close of an idle connection."""
    clock = ManualClock()
    pool, connection = ConnectionPool(clock), FakeConnection(told)
    pool.give_back(ADDRESS, connection)
    clock.step(kept - 0.01)
    pool.sweep()
    assert not connection.closed
    clock.step(0.02)
    pool.sweep()
    assert connection.closed


async def test_all_kept_connections_stay_in_use():
    """Targets are dialled anew at each clump of requests."""
    clock = ManualClock()
    pool = ConnectionPool(clock)
    kept = [FakeConnection() for _ in range(3)]
    for connection in kept:
        pool.give_back(ADDRESS, connection)
    for _ in range(12):
        clock.step(2.0)
        pool.give_back(ADDRESS, await pool.take(ADDRESS))
        pool.sweep()
    assert not any(connection.closed for connection in kept)
    assert pool.opened == 0
