"""Control servers in the test process, and clients for them."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Sequence

from ibishead.clock import SystemClock
from ibishead.control.server import ControlServer, Endpoints
from ibishead.ids import FailureDomain, HostId, ReplicaId
from ibishead.links import Endpoint
from ibishead.messages import Hello, Role
from ibishead.settings import ControlSettings, ListenSettings
from ibishead.subscription import Subscription
from ibishead.webclient import ClientConnection

from .support import write_document

CLOCK = SystemClock()

#: Polls after which a test fails instead of hanging on a condition that is never met.
#: The number is far beyond what any condition takes.
MAX_POLLS = 3000
LOOPBACK = ListenSettings(Endpoint("127.0.0.1", 0))


class Running:
    """A started control server with its endpoints."""

    def __init__(self, server: ControlServer, endpoints: Endpoints) -> None:
        self.server = server
        self.links = endpoints.links
        self.operators = endpoints.operators

    async def call(
        self, method: str, target: str, body: bytes = b"", key: str = ""
    ) -> tuple[int, bytes]:
        connection = await ClientConnection.open(self.operators)
        headers = (("authorization", f"Bearer {key}"),) if key else ()
        answer = await connection.ask(method, target, headers, body)
        data = await answer.read()
        connection.close()
        return answer.status, data

    async def read(self, target: str):
        status, data = await self.call("GET", target)
        assert status == 200, data
        return json.loads(data)

    async def submit(self, submission: str, base: int, text: str = ""):
        target = f"/v1/documents/raktar?base={base}&submission={submission}&team=halo"
        body = (text or write_document()).encode()
        status, data = await self.call("POST", target, body)
        return status, json.loads(data)


def make_settings(folder, name: str = "c1", **changes) -> ControlSettings:
    return ControlSettings(
        ReplicaId(name),
        HostId(f"control-{name}"),
        FailureDomain("szeged-a"),
        folder,
        LOOPBACK,
        LOOPBACK,
        {},
        {},
        **changes,
    )


def follow(
    servers: Sequence[Running], role: Role, name: str, connected=None
) -> Subscription:
    hello = Hello(role, HostId(name))
    subscription = Subscription(
        [server.links for server in servers],
        lambda: hello,
        CLOCK,
        on_connect=connected,
    )
    subscription.start()
    return subscription


async def poll(pause: float = 0.01) -> AsyncIterator[None]:
    """Yield repeatedly, and fail the test after `MAX_POLLS` iterations.

    :param pause: seconds between two iterations.
    """
    for _ in range(MAX_POLLS):
        yield
        await asyncio.sleep(pause)
    raise AssertionError("the condition was not met within the polling limit")


async def wait_for(condition: Callable[[], bool]) -> None:
    async for _ in poll():
        if condition():
            return
