"""The registry that leads records which software versions have served."""

import asyncio
import logging

import msgspec
import pytest
from tests.registry.replica_fakes import FakeReplica

from ibishead.clock import ManualClock
from ibishead.decisions.origins import DEFAULT_LIFETIME_SECONDS, compute_lifetime
from ibishead.ids import FailureDomain, ServiceName, SoftwareVersion, TargetId
from ibishead.registry.commands import AddOrigins, PutRoutes, encode_command
from ibishead.registry.origins import OriginWatch
from ibishead.registry.state import RouteState
from ibishead.registry.watch import CHECK_INTERVAL_SECONDS
from ibishead.routing.changes import pack
from ibishead.routing.routes import Repeatability, Route, RouteSet
from ibishead.routing.targets import (
    PROVISIONAL_SEQUENCE,
    Registration,
    StreamOrigin,
    TargetState,
    TargetView,
)

LIFETIME = compute_lifetime(None)


def make_origin(software):
    return StreamOrigin(ServiceName("s"), SoftwareVersion(software))


class Scene:
    """A registry that hears of targets."""

    def __init__(self, state=None):
        self.state = state or RouteState()
        self.replica = FakeReplica(self.state)
        self.view, self.clock = TargetView(), ManualClock()
        self.watch = OriginWatch(self.state, self.replica, self.view, self.clock)

    async def __aenter__(self):
        self.task = asyncio.create_task(self.watch.run())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def register(self, software, sequence=1, target="t1", born=1):
        registration = Registration(
            TargetId(target),
            ServiceName("s"),
            "10.0.0.1:1",
            FailureDomain("a"),
            4,
            TargetState.READY,
            born,
            sequence,
            software=SoftwareVersion(software),
        )
        self.view.merge(registration, self.clock.monotonic())
        self.watch.notice((registration,))

    async def wait(self, seconds):
        """Step the clock, and wait for the next checks."""
        self.clock.step(seconds)
        await asyncio.sleep(2.5 * CHECK_INTERVAL_SECONDS)

    def end_targets(self):
        self.view.remove_expired(self.clock.monotonic() + 1e6, 0.0)

    @property
    def recorded(self):
        return {origin.software for origin in self.state.origins}


@pytest.mark.parametrize(
    ("software", "sequence", "leads", "recorded"),
    [
        ("v1", 1, True, {"v1"}),
        ("", 1, True, {""}),
        ("", PROVISIONAL_SEQUENCE, True, set()),
        ("v1", 1, False, set()),
    ],
)
async def test_the_leader_records_a_version_at_its_first_registration(
    software, sequence, leads, recorded
):
    async with Scene() as scene:
        scene.replica.leads = leads
        scene.register(software, sequence)
        await asyncio.sleep(0.01)
        assert scene.recorded == recorded


async def test_a_version_is_recorded_once_a_quorum_is_back():
    async with Scene() as scene:
        scene.replica.failures = 2
        scene.register("v1")
        await scene.wait(0.0)
        assert scene.recorded == {"v1"}


async def test_a_version_that_another_start_of_its_target_replaces_stays_recorded():
    """Its streams would be resumed at the version that serves under the same ID."""
    async with Scene() as scene:
        scene.register("v1")
        await scene.wait(0.0)
        scene.register("v2", born=2)
        await scene.wait(LIFETIME - 1.0)
        assert scene.recorded == {"v1", "v2"}
        await scene.wait(2.0)
        assert scene.recorded == {"v2"}


async def test_a_new_leader_counts_the_lifetime_from_its_own_start():
    """Its clock and memory say nothing about the time before."""
    async with Scene() as scene:
        scene.register("v1")
        await scene.wait(0.0)
        scene.end_targets()
        await scene.wait(LIFETIME - 1.0)
        scene.replica.leads = False
        await scene.wait(0.0)
        scene.replica.leads = True
        await scene.wait(2.0)
        await scene.wait(LIFETIME - 1.0)
        assert scene.recorded == {"v1"}
        await scene.wait(2.0)
        assert scene.recorded == set()


async def test_a_version_stays_recorded_for_as_long_as_a_route_lets_streams_last():
    state = RouteState()
    timeout = 2 * DEFAULT_LIFETIME_SECONDS
    stream = Repeatability.STREAM
    route = Route("r", "nets.example", "/", stream, timeout, 0.2, ())
    routes = RouteSet(1, (route,), ())
    state.apply(1, encode_command(PutRoutes(routes, b"")))
    async with Scene(state) as scene:
        scene.register("v1")
        await scene.wait(0.0)
        scene.end_targets()
        await scene.wait(timeout)
        assert scene.recorded == {"v1"}
        await scene.wait(LIFETIME)
        assert scene.recorded == set()


async def test_recorded_versions_outlive_all_processes():
    async with Scene() as scene:
        scene.register("v1")
        await scene.wait(0.0)
    restored = RouteState()
    restored.restore(scene.state.capture())
    assert [origin.software for origin in restored.origins] == ["v1"]


async def test_a_registry_upgraded_after_the_leader_knows_what_was_recorded_before():
    """A registry of the former build skipped the record and saved its state."""
    upgraded, leader = RouteState(), RouteState()
    leader.apply(1, encode_command(AddOrigins((make_origin("v1"),))))
    saved = [None, b"", [], 1, 0]
    upgraded.restore(pack(msgspec.msgpack.encode(saved)))
    async with Scene(leader) as scene:
        scene.register("v2")
        await scene.wait(0.0)
    for number, command in enumerate(scene.replica.commands, 2):
        upgraded.apply(number, command)
    assert upgraded.origins == leader.origins == (make_origin("v1"), make_origin("v2"))


async def test_a_command_that_was_not_applied_is_not_logged_as_committed(caplog):
    """An operator would look elsewhere for why streams are refused."""
    state = RouteState()
    state._execute = None
    with caplog.at_level(logging.INFO):
        async with Scene(state) as scene:
            scene.register("v1")
            await scene.wait(0.0)
    logged = {r.message for r in caplog.records if "origins of streams" in r.message}
    assert logged == {"origins of streams not committed"}
