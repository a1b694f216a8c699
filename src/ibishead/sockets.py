"""TCP sockets that detect an unreachable peer within seconds."""

import asyncio
import socket
import struct

__all__ = ["connect_socket", "enable_keepalive", "reset_on_close"]

#: Seconds for the TCP handshake. The kernel resends a lost SYN only after 1 s, while a
#: new connection attempt sends one at once, so a host that has come back is reached
#: sooner: after a power failure, engines got their orders to load models 0.3 s earlier.
#: The most distant host answers in 0.04 s, and the kernels complete the handshake
#: without the programs, so that a slow program does not cause a time-out.
CONNECT_TIMEOUT_SECONDS = 0.4

#: Milliseconds for which sent bytes may stay unacknowledged. A broken network path is
#: detected within this time instead of the many minutes of the system's default.
USER_TIMEOUT_MS = 1800

#: TCP keep-alive: idle seconds before the first probe, seconds between probes, and
#: unanswered probes after which the connection is closed. A network path that breaks
#: during a long request is detected within 4 s.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


async def connect_socket(address: str, port: int) -> socket.socket:
    """Return a non-blocking socket that is connected to an IP address.

    A connection that is established by the time the limit is noticed is used, as the
    limit may pass while this program has no processor time.

    :raises OSError: the connection is refused or is not established in time.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    connecting = socket.socket(family, socket.SOCK_STREAM)
    connecting.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(connecting, (address, port))
        except TimeoutError:
            _check_connected(connecting)
    except BaseException:
        connecting.close()
        raise
    return connecting


def _check_connected(connecting: socket.socket) -> None:
    """Raise a time-out unless a connection is established."""
    try:
        connecting.getpeername()
    except OSError as error:
        raise TimeoutError(
            f"not connected within {CONNECT_TIMEOUT_SECONDS} s"
        ) from error


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the next close of a connection send a TCP reset instead of a FIN.

    A peer's host may be suspended while a request waits in its receive buffer. After
    an orderly close, the peer would still read and run the request when it resumes,
    seconds after the caller has disconnected. After a reset, the peer's first read
    fails, and its kernel may discard the unread request.
    """
    connected = transport.get_extra_info("socket")
    if connected is not None and not transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Make the kernel detect a network path that has broken without a reset."""
    connected = transport.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
    ):
        # not all of these options exist on every platform that asyncio supports
        if hasattr(socket, name):
            connected.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
