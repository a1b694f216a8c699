"""Sockets to hosts that don't answer."""

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
def deaf():
    """Return the endpoint of a host whose system drops every first packet."""
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


@pytest.mark.parametrize("open_one", [open_link, TargetConnection.open])
async def test_a_host_without_power_is_given_up_before_its_system_is_asked_again(
    deaf, open_one
):
    """A host is back, and for a second nobody talks to it."""
    async with asyncio.timeout(0.9):
        with pytest.raises(LinkLost):
            await open_one(deaf)
