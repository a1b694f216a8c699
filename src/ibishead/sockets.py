"""Options of TCP sockets that make a silent path known."""

import asyncio
import socket

__all__ = ["watch_socket"]

#: Milliseconds for which sent bytes may stay without acknowledgement. A path that has
#: gone silent is known within this time instead of the system's many minutes.
USER_TIMEOUT = 1800

#: Seconds of quiet until the path is probed, between two probes, and lost probes until
#: the connection is over: a path that goes silent during a long run is known in 4 s.
PROBE_IDLE = 2
PROBE_INTERVAL = 1
PROBE_COUNT = 2


def watch_socket(transport: asyncio.BaseTransport) -> None:
    """Let the system notice a path that has gone silent without a reset."""
    found = transport.get_extra_info("socket")
    if found is None:
        return
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_USER_TIMEOUT", USER_TIMEOUT),
        ("TCP_KEEPIDLE", PROBE_IDLE),
        ("TCP_KEEPINTVL", PROBE_INTERVAL),
        ("TCP_KEEPCNT", PROBE_COUNT),
    ):
        # not every system that asyncio runs on has all of them
        if hasattr(socket, name):
            found.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
