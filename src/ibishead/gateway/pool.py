"""Pool of idle HTTP connections to targets."""

import functools
import logging
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.gateway.connection import TargetConnection
from ibishead.ids import RequestId
from ibishead.links import Endpoint

__all__ = ["ConnectionPool"]

logger = logging.getLogger(__name__)

#: Seconds before the target's keep-alive timeout at which an idle connection is no
#: longer reused; limited to half of that timeout. The margin covers the network delay
#: and a target that starts its timer slightly earlier, so that no request is sent while
#: the target is closing the connection.
IDLE_MARGIN_SECONDS = 1.0

#: Seconds for which an idle connection is kept if the target names no timeout.
DEFAULT_IDLE_SECONDS = 4.0


class ConnectionPool:
    """Idle connections by address, reused in FIFO order.

    FIFO order keeps all connections in use. In LIFO order, the connections beyond the
    usual number expired and had to be reopened at the next burst of requests.

    :ivar opened: number of connections opened so far.
    :ivar on_early_end: called with the address of a target that ends an idle connection
        before its keep-alive timeout.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[TargetConnection]] = {}
        #: All connections by address, lent ones too; closed ones are removed later.
        self._opened: dict[str, list[TargetConnection]] = {}
        self.opened = 0
        self.on_early_end: Callable[[str], None] = lambda _: None

    async def acquire(self, address: str, request: RequestId) -> TargetConnection:
        """Return an idle connection to an address, or open a new one.

        A connection that has carried a request of the same id isn't used: a late
        response to that one couldn't be told from the response to this one.

        :raises LinkLost: the connection could not be opened; nothing was sent.
        """
        now = self._clock.monotonic()
        idle = self._idle.get(address, [])
        for connection in list(idle):
            if not _is_usable(connection, now):
                idle.remove(connection)
                connection.close()
            elif request not in connection.carried:
                idle.remove(connection)
                return connection
        return await self.open(address)

    async def open(self, address: str) -> TargetConnection:
        """Open a new connection to an address.

        :raises LinkLost: the connection could not be opened.
        """
        self.opened += 1
        connection = await TargetConnection.open(parse_address(address), self._clock)
        connection.opened_at = self._clock.monotonic()
        connection.on_idle_loss = functools.partial(
            self._handle_idle_loss, address, connection
        )
        self._opened.setdefault(address, []).append(connection)
        return connection

    def release(self, address: str, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete exchange."""
        if connection.closed:
            return
        connection.last_used = self._clock.monotonic()
        self._idle.setdefault(address, []).append(connection)

    def close_expired(self) -> None:
        """Close connections that have exceeded their idle time."""
        now = self._clock.monotonic()
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if not _is_usable(connection, now):
                    connection.close()
            self._idle[address] = [c for c in idle if not c.closed]
            if not self._idle[address]:
                del self._idle[address]

        for address, opened in list(self._opened.items()):
            self._opened[address] = [c for c in opened if not c.closed]
            if not self._opened[address]:
                del self._opened[address]

    def has_survivor(self, address: str, at: float, settle: float) -> bool:
        """Return whether the process at an address has not ended since a time.

        A connection opened before that time shows it by data received after it.

        :param at: monotonic seconds.
        :param settle: seconds after that time for which data may have been sent before.
        """
        return any(
            connection.opened_at < at and connection.received_at > at + settle
            for connection in self._opened.get(address, ())
        )

    def _handle_idle_loss(self, address: str, connection: TargetConnection) -> None:
        if connection.last_used and _is_timely(connection, self._clock.monotonic()):
            self.on_early_end(address)

    def close_address(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_address(address)


def parse_address(address: str) -> Endpoint:
    """Return the endpoint of an ``ADDRESS:PORT`` string."""
    host, _, port = address.rpartition(":")
    return Endpoint(host, int(port))


def _is_usable(connection: TargetConnection, now: float) -> bool:
    return not connection.closed and _is_timely(connection, now)


def _is_timely(connection: TargetConnection, now: float) -> bool:
    """Return whether the target's timeout for an idle connection hasn't passed yet."""
    timeout = connection.idle_time
    limit = (
        DEFAULT_IDLE_SECONDS
        if timeout is None
        else max(timeout - IDLE_MARGIN_SECONDS, timeout / 2)
    )
    return now - connection.last_used < limit
