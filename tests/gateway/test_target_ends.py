"""Unplanned ends of targets without a steward, as one gateway notices them."""

import asyncio

import pytest
from tests.fake_feed import FakeFeed

from ibishead.clock import SystemClock
from ibishead.decisions.partuses import PartUses
from ibishead.gateway.ends import TargetEnds
from ibishead.gateway.pool import ConnectionPool
from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.links import Endpoint
from ibishead.routing.prompts import make_content_key, make_prompt_keys
from ibishead.routing.targets import Registration, TargetState
from ibishead.web import WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)
KEYS = make_prompt_keys((), content=make_content_key(("GET", "/x"), b""))
OTHER = make_prompt_keys((), content=make_content_key(("GET", "/y"), b""))


class Scene:
    """A gateway and one target."""

    async def __aenter__(self):
        self.feed, clock = FakeFeed(), SystemClock()
        self.pool = ConnectionPool(clock)
        self.ends = TargetEnds(self.feed, self.pool, PartUses(), clock)
        self.server = WebServer(self._respond)
        self.endpoint = await self.server.start(LOOPBACK)
        self.target = self.register(1, TargetState.READY)
        return self

    async def __aexit__(self, *_):
        await self.ends.stop()
        self.pool.close()
        await self.server.stop(0.0)

    def register(self, sequence, state):
        target = Registration(
            TargetId("t"),
            ServiceName("s"),
            str(self.endpoint),
            FailureDomain("a"),
            4,
            state,
            1,
            sequence,
        )
        self.feed.view.merge(target, 0.0)
        return target

    async def _respond(self, exchange):
        await exchange.respond(200, ())

    async def settle(self):
        await asyncio.gather(*self.ends._checks.values())


async def test_an_end_is_told_with_all_that_ran_there():
    """A request that crashes plain targets would be known to nobody."""
    async with Scene() as scene:
        numbers = [scene.ends.begin_run(scene.target, k) for k in (KEYS, OTHER)]
        await scene.server.stop(0.0)
        for number in numbers:
            scene.ends.end_run(scene.target, number, True)
        await scene.settle()
        (report,) = scene.feed.sent
        assert (report.target, report.born) == ("t", 1)
        assert {run.keys for run in report.suspects} == {KEYS, OTHER}
        assert scene.ends.count == 1
        assert scene.ends._runs == {}


@pytest.mark.parametrize(
    ("lost", "state", "stopped"),
    [
        (True, TargetState.READY, False),
        (False, TargetState.READY, True),
        (True, TargetState.DRAINING, True),
    ],
    ids=["connection reset", "answered", "leaving"],
)
async def test_what_is_no_unplanned_end(lost, state, stopped):
    """Sound requests would be suspected of crashing targets."""
    async with Scene() as scene:
        number = scene.ends.begin_run(scene.target, KEYS)
        if state is not TargetState.READY:
            scene.register(2, state)
        if stopped:
            await scene.server.stop(0.0)
        scene.ends.end_run(scene.target, number, lost)
        await scene.settle()
        assert scene.feed.sent == []
        assert scene.ends._runs == {}


async def test_endless_new_targets_do_not_fill_the_memory():
    async with Scene() as scene:
        for number in range(100):
            target = Registration(
                TargetId(f"t{number}"),
                ServiceName("s"),
                str(scene.endpoint),
                FailureDomain("a"),
                4,
                TargetState.READY,
                1,
                1,
            )
            for lost in (False, True):
                run = scene.ends.begin_run(target, KEYS)
                scene.ends.end_run(target, run, lost)
        await scene.settle()
        assert scene.ends._runs == {}
        assert scene.ends._checks == {}
