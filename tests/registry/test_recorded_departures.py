"""Departures of targets are recorded before they are acknowledged."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from tests.registry.replica_fakes import FakeReplica

from ibishead.clock import ManualClock
from ibishead.errors import Unavailable
from ibishead.ids import FailureDomain, ServiceName, TargetId
from ibishead.metrics import Metrics
from ibishead.registry.departures import DepartureWatch
from ibishead.registry.service import RedirectError, RegistryService
from ibishead.registry.state import RouteState
from ibishead.registry.watch import CHECK_INTERVAL_SECONDS
from ibishead.routing.targets import Registration, TargetState, TargetView

READY, DRAINING, GONE = TargetState.READY, TargetState.DRAINING, TargetState.GONE
SERVICE = ServiceName("plans")
T1 = TargetId("t1")


def make_registration(
    state: TargetState = READY, sequence: int = 5, born: int = 100
) -> Registration:
    domain = FailureDomain("a")
    return Registration(T1, SERVICE, "10.0.0.1:80", domain, 4, state, born, sequence)


class Replica(FakeReplica):
    """The fake with what a service logs, and reads that it can fail."""

    def leader(self):
        return None

    def expects_leader(self):
        return not self.failures

    def count_linked_voters(self):
        return 1, 1


class Scene:
    """One registry: its service, its view and the replicated state."""

    def __init__(self, state: RouteState) -> None:
        self.state, self.clock = state, ManualClock()
        self.replica, self.view = Replica(state), TargetView()
        self.published: list[Registration] = []
        self.service = RegistryService(
            state,
            self.replica,
            SimpleNamespace(view=self.view),
            SimpleNamespace(
                publish_registrations=self.published.extend,
                queue_heartbeat=lambda _: None,
            ),
            self.clock,
            Metrics("registry"),
        )
        state.on_departures = self.service.handle_departures

    def restart_all(self) -> "Scene":
        """Return a registry that knows only what the log holds."""
        state = RouteState()
        scene = Scene(state)
        state.restore(self.state.capture())
        return scene

    def is_ready(self) -> bool:
        return bool(self.view.list_ready_targets(SERVICE))


async def test_a_departure_is_not_acknowledged_before_it_is_recorded():
    """Guards against a target that relies on what one registry keeps in memory."""
    scene = Scene(RouteState())
    scene.service.announce(make_registration())
    scene.replica.failures = 9
    with pytest.raises(Unavailable):
        await scene.service.register(make_registration(DRAINING, 6))
    with pytest.raises(Unavailable):
        await scene.service.deregister(T1, 100)
    assert not scene.is_ready()
    assert [found.state for found in scene.published] == [READY, DRAINING, GONE]


@pytest.mark.parametrize("known", [True, False], ids=["known", "unknown"])
@pytest.mark.parametrize("born", [100, 0], ids=["born", "unspecified"])
@pytest.mark.parametrize("state", [DRAINING, GONE])
async def test_a_recorded_departure_holds_after_a_restart_of_all(state, born, known):
    """Guards against a delayed registration that makes the target ready again."""
    scene = Scene(RouteState())
    if known:
        scene.service.announce(make_registration(born=born))
    if state is DRAINING:
        await scene.service.register(make_registration(DRAINING, 7, born))
    else:
        await scene.service.deregister(T1, born)
    scene = scene.restart_all()
    scene.service.announce(make_registration(sequence=6, born=born))
    assert not scene.is_ready()
    scene.service.announce(make_registration(sequence=1, born=200))
    assert scene.is_ready()


async def test_a_registration_that_came_before_the_record_is_corrected():
    """Guards against a registry that applies the log after a delayed registration."""
    first, second = Scene(RouteState()), Scene(RouteState())
    await first.service.deregister(T1, 100)
    second.service.announce(make_registration())
    (command,) = first.replica.commands
    second.state.apply(1, command)
    assert not second.is_ready()
    assert [found.state for found in second.published] == [READY, GONE]


async def test_a_record_gives_way_to_what_the_target_says():
    """Guards against a countdown that a registry drops when it applies the record."""
    scene = Scene(RouteState())
    leaving = msgspec.structs.replace(make_registration(DRAINING), remaining=3.0)
    await scene.service.register(leaving)
    assert scene.view.get(T1) == leaving
    again = msgspec.structs.replace(leaving, sequence=6, remaining=2.0)
    await scene.service.register(again)
    assert scene.view.get(T1) == again
    assert len(scene.replica.commands) == 1


async def test_a_record_of_another_start_is_kept_for_that_start():
    """Guards against a deregistration that is late and acknowledged unrecorded."""
    scene = Scene(RouteState())
    scene.service.announce(make_registration(born=200))
    await scene.service.deregister(T1, 100)
    assert scene.is_ready()
    scene = scene.restart_all()
    scene.service.announce(make_registration(born=100))
    assert not scene.is_ready()


async def test_a_registry_without_a_log_redirects_a_target_that_leaves():
    """Guards against an acknowledgement by a registry that can't record anything."""
    feed = SimpleNamespace(
        view=TargetView(),
        list_log_registries=lambda: [(SimpleNamespace(operators="10.0.0.9:80"), None)],
    )
    publisher = SimpleNamespace(publish_registrations=lambda _: None)
    service = RegistryService(
        RouteState(), None, feed, publisher, ManualClock(), Metrics("registry")
    )
    await service.register(make_registration())
    with pytest.raises(RedirectError):
        await service.register(make_registration(DRAINING, 6))
    with pytest.raises(RedirectError):
        await service.deregister(T1, 100)
    assert feed.view.get(T1).state is GONE


async def test_the_leader_records_what_nobody_acknowledges():
    """Guards against a target that leaves by its answers and is ready after a kill."""
    scene = Scene(RouteState())
    watch = DepartureWatch(scene.state, scene.replica, scene.view)
    task = asyncio.create_task(watch.run())
    scene.view.merge(make_registration(), 0.0)
    leaving = scene.view.mark_leaving(T1, 100)
    await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
    assert scene.state.departures == {T1: leaving.as_departure()}
    scene.view.remove_expired(1e6, 0.0)
    await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
    assert scene.state.departures == {}
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
