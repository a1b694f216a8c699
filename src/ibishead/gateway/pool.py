"""Kept connections to targets, so that few new ones are made."""

import logging

from ibishead.clock import Clock
from ibishead.gateway.connection import TargetConnection
from ibishead.links import Endpoint

__all__ = ["ConnectionPool"]

logger = logging.getLogger(__name__)

#: Seconds before the end of the target's own idle time from which a kept connection
#: isn't used any more, at most half of that time. They cover the way there and a target
#: that counts from a little earlier, so that no request crosses the target's close.
IDLE_MARGIN = 1.0

#: Seconds for which a connection is kept where the target doesn't say.
IDLE_DEFAULT = 4.0


class ConnectionPool:
    """Idle connections by address, the one that has been idle longest first.

    So all stay in use. With the last one first, those beyond the usual number ran out,
    and were opened anew at the next clump of requests.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    async def take(self, address: str) -> TargetConnection:
        """Return a connection to an address, a kept one where there is one.

        :raises LinkLost: nobody answers there; nothing was sent.
        """
        now = self._clock.monotonic()
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop(0)
            if _is_usable(connection, now):
                return connection
            connection.close()
        self.opened += 1
        return await TargetConnection.open(parse_address(address))

    def give_back(self, address: str, connection: TargetConnection) -> None:
        """Keep a connection whose exchange has ended in order."""
        if connection.closed:
            return
        connection.used = self._clock.monotonic()
        self._idle.setdefault(address, []).append(connection)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self._clock.monotonic()
        for address, kept in list(self._idle.items()):
            for connection in kept:
                if not _is_usable(connection, now):
                    connection.close()
            self._idle[address] = [c for c in kept if not c.closed]
            if not self._idle[address]:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close all kept connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self._idle):
            self.drop(address)


def parse_address(address: str) -> Endpoint:
    """Return the endpoint of ``ADDRESS:PORT``."""
    host, _, port = address.rpartition(":")
    return Endpoint(host, int(port))


def _is_usable(connection: TargetConnection, now: float) -> bool:
    if connection.closed:
        return False
    told = connection.idle_time
    limit = IDLE_DEFAULT if told is None else max(told - IDLE_MARGIN, told / 2)
    return now - connection.used < limit
