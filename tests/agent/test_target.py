"""Commands to an engine whose open connections stop responding while new ones work."""

import asyncio
import json

import pytest

from ibishead.agent import target as target_module
from ibishead.agent.slots import AdapterKey, make_lora_name
from ibishead.agent.target import IDLE_TIMEOUT_SECONDS, TargetClient
from ibishead.clock import ManualClock, SystemClock
from ibishead.errors import Unavailable
from ibishead.ids import AdapterName, BootId, Incarnation, Version
from ibishead.links import Endpoint
from ibishead.web import WebServer

KEY = AdapterKey(AdapterName("tisza"), Version("1"))
BOOT = BootId("7")


class Engine:
    """An engine that loads an adapter and can leave commands unanswered.

    :param answers: whether load commands are answered.
    :param listed: whether the adapter is listed after a load command.
    :ivar commands: number of commands received.
    """

    def __init__(self, answers: bool, listed: bool) -> None:
        self._answers = answers
        self._listed = listed
        self._loaded = False
        self.commands = 0
        self._never = asyncio.Event()

    async def serve(self, exchange) -> None:
        path = exchange.request.path
        if path == "/metrics":
            await exchange.respond(
                200, (), f"process_start_time_seconds {BOOT}".encode()
            )
        elif path == "/v1/models":
            cards = (
                [{"id": make_lora_name(KEY), "parent": "base"}] if self._loaded else []
            )
            await exchange.respond(200, (), json.dumps({"data": cards}).encode())
        else:
            self.commands += 1
            self._loaded = self._listed
            if not self._answers:
                await self._never.wait()
            await exchange.respond(200, (), b"{}")


@pytest.fixture
def short_check_interval(monkeypatch):
    monkeypatch.setattr(target_module, "LOAD_CHECK_INTERVAL_SECONDS", 0.05)


@pytest.mark.parametrize(
    ("answers", "listed", "loaded"),
    [(True, True, True), (False, True, True), (True, False, False)],
)
async def test_load_is_confirmed_by_the_adapter_list(
    short_check_interval, answers, listed, loaded
):
    """Guards against requests that wait for a load whose connection is dead."""
    engine = Engine(answers, listed)
    server = WebServer(engine.serve)
    endpoint = await server.start(Endpoint("127.0.0.1", 0))
    client = TargetClient(endpoint, True, SystemClock())
    try:
        async with asyncio.timeout(10.0):
            loading = client.load(KEY, "store", BOOT, Incarnation(1))
            if loaded:
                await loading
            else:
                with pytest.raises(Unavailable):
                    await loading
        assert engine.commands == 1
    finally:
        client.close()
        await server.stop(0.0)


@pytest.mark.parametrize(
    ("idle", "reused"),
    [(IDLE_TIMEOUT_SECONDS / 2, True), (IDLE_TIMEOUT_SECONDS * 2, False)],
)
async def test_idle_connection_expires(idle, reused):
    """Guards against requests that wait on a dead connection until their deadline."""
    server = WebServer(Engine(True, True).serve)
    endpoint = await server.start(Endpoint("127.0.0.1", 0))
    clock = ManualClock()
    client = TargetClient(endpoint, True, clock)
    try:
        async with client.acquire_connection(BOOT) as first:
            pass
        clock.step(idle)
        async with client.acquire_connection(BOOT) as second:
            assert (second is first) is reused
    finally:
        client.close()
        await server.stop(0.0)
