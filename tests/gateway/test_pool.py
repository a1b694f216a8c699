"""Pool of idle connections to targets."""

import pytest

from ibishead.clock import ManualClock
from ibishead.gateway.pool import (
    DEFAULT_IDLE_SECONDS,
    IDLE_MARGIN_SECONDS,
    ConnectionPool,
)
from ibishead.ids import RequestId

ADDRESS = "127.0.0.1:9"


class FakeConnection:
    """A connection to a target that names an idle time-out."""

    def __init__(self, idle_time: float | None = 10.0) -> None:
        self.idle_time = idle_time
        self.last_used = 0.0
        self.closed = False
        self.carried: tuple[RequestId, ...] = ()

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(
    ("timeout", "usable_for"),
    [(10.0, 10.0 - IDLE_MARGIN_SECONDS), (1.0, 0.5), (None, DEFAULT_IDLE_SECONDS)],
)
async def test_a_connection_expires_before_the_target_closes_it(timeout, usable_for):
    """A connection must be retired before the target closes it.

    Otherwise, a request sent while the target closes the connection is lost.
    """
    clock = ManualClock()
    pool, connection = ConnectionPool(clock), FakeConnection(timeout)
    pool.release(ADDRESS, connection)
    clock.step(usable_for - 0.01)
    pool.close_expired()
    assert not connection.closed
    clock.step(0.02)
    pool.close_expired()
    assert connection.closed


async def test_all_idle_connections_are_reused_in_turn():
    """Connections must not expire while others are reused.

    Otherwise, new connections are opened at each burst of requests.
    """
    clock = ManualClock()
    pool = ConnectionPool(clock)
    connections = [FakeConnection() for _ in range(3)]
    for connection in connections:
        pool.release(ADDRESS, connection)
    for _ in range(12):
        clock.step(2.0)
        pool.release(ADDRESS, await pool.acquire(ADDRESS, RequestId("r")))
        pool.close_expired()
    assert not any(connection.closed for connection in connections)
    assert pool.opened == 0
