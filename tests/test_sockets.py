"""Connection attempts to hosts that do not answer."""

import asyncio
import contextlib
import socket

import pytest

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.ids import HostId
from ibishead.links import Endpoint, dial
from ibishead.messages import Hello, Role


@pytest.fixture
def unreachable():
    """Return the endpoint of a host whose kernel drops every SYN."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        endpoint = Endpoint(*server.getsockname())
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((endpoint.address, endpoint.port))
        yield endpoint


async def open_link(endpoint: Endpoint) -> None:
    await dial(endpoint, Hello(Role.ENTRY, HostId("g")), SystemClock())


@pytest.mark.parametrize("open_connection", [open_link, TargetConnection.open])
async def test_connect_to_a_host_without_power_fails_before_the_kernel_resends_its_syn(
    unreachable, open_connection
):
    """Repeated connection attempts reach a host that is back again sooner.

    The kernel resends a lost SYN only after 1 s.
    """
    async with asyncio.timeout(0.9):
        with pytest.raises(LinkLost):
            await open_connection(unreachable)
