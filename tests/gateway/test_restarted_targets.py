"""Targets that start again under their ID with other software."""

import asyncio

import msgspec
import pytest
from tests.gateway.test_pipeline import (
    ONCE,
    RESUMABLE,
    STREAM,
    WHOLE_STREAM,
    Fixture,
    UnresponsiveSteward,
    reset,
    respond,
    stream_and_reset,
    stream_completely,
)

from ibishead.clock import ManualClock
from ibishead.errors import LinkLost
from ibishead.gateway.pool import parse_address
from ibishead.gateway.restarts import CONFIRMING_STATEMENTS, RestartWatch
from ibishead.gateway.stewards import TurnOutcome
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import (
    FailureDomain,
    ModelName,
    RequestId,
    ServiceName,
    SoftwareVersion,
    TargetId,
)
from ibishead.routing.messages import EngineReport
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    TargetState,
    TargetView,
)
from ibishead.web import WebServer

HOLDINGS = (Holding(ModelName("m"), 1, (AdapterRef("a1", 1),)),)
TARGET = Registration(
    TargetId("t0"),
    ServiceName("s"),
    "127.0.0.1:9",
    FailureDomain("a"),
    4,
    TargetState.READY,
    1,
    5,
    software=SoftwareVersion("v1"),
)


class RestartingEngines(UnresponsiveSteward):
    """Links to stewards; engines start again as v2 while some requests wait there.

    :param waits: numbers of the waits during which the engine starts again.
    :ivar returned: addresses of engines whose turns were returned.
    """

    def __init__(self, fixture: Fixture, *waits: int) -> None:
        super().__init__("")
        self._view = fixture.feed.view
        self._waits = waits
        self.returned: list[str] = []

    async def request_turn(self, address: str, *_, **known) -> TurnOutcome:
        self.expected.append(0)
        if len(self.expected) in self._waits:
            (target,) = (found for found in self._view if found.address == address)
            restarted = msgspec.structs.replace(
                target, born=2, software=SoftwareVersion("v2")
            )
            self._view.merge(restarted, 0.0)
        return TurnOutcome.GRANTED

    def return_turn(self, address: str, *_) -> None:
        self.returned.append(address)


def use_engines(fixture: Fixture, *waits: int) -> RestartingEngines:
    for target in list(fixture.feed.view):
        held = msgspec.structs.replace(target, sequence=2, holdings=HOLDINGS)
        fixture.feed.view.merge(held, 0.0)
    stewards = RestartingEngines(fixture, *waits)
    fixture.pipeline._stewards = fixture.pipeline._chooser._stewards = stewards
    return stewards


def report_start(fixture: Fixture, target: TargetId, born: int) -> None:
    """Record a report of an engine, as its steward sends it."""
    report = EngineReport(target, born, HOLDINGS, free_slots=1)
    fixture.tracker.record_report(report, 0.0)


@pytest.mark.parametrize(
    ("software", "waits", "reached"),
    [
        (("v1", "v1"), (2,), ["v1"]),
        (("v1", "v1", "v1"), (2,), ["v1", "v1"]),
        (("v1", "v1"), (), ["v1", "v1"]),
    ],
)
async def test_a_stream_that_waits_for_a_turn_stays_at_its_version(
    software, waits, reached
):
    """It went on at an engine that had started again as another version meanwhile."""
    async with Fixture(
        STREAM, stream_and_reset, stream_completely, software=software, **RESUMABLE
    ) as fixture:
        stewards = use_engines(fixture, *waits)
        asked = fixture.ask(model="m/a1", **{"deadline-ms": "8000"})
        if len(reached) == 1:
            with pytest.raises(LinkLost):
                await asked
        else:
            assert await asked == (200, WHOLE_STREAM)
        assert fixture.reached == reached
        assert len(stewards.returned) == len(waits)


async def test_a_stream_avoids_an_engine_whose_report_shows_a_later_start():
    """Its registration names the software of the former start."""
    async with Fixture(
        STREAM, stream_and_reset, stream_completely, software=("v1", "v1"), **RESUMABLE
    ) as fixture:
        use_engines(fixture)
        for target in list(fixture.feed.view):
            report_start(fixture, target.target, 2)
        with pytest.raises(LinkLost):
            await fixture.ask(model="m/a1", **{"deadline-ms": "8000"})
        assert len(fixture.reached) == 1


@pytest.mark.parametrize(("born", "known"), [(1, True), (2, False)])
async def test_a_stream_from_an_engine_with_a_later_start_has_no_origin(born, known):
    """It was recorded as begun by the software of the former start."""
    async with Fixture(
        STREAM, stream_completely, software=("v1",), **RESUMABLE
    ) as fixture:
        use_engines(fixture)
        report_start(fixture, TargetId("t0"), born)
        await fixture.ask(model="m/a1", **{"deadline-ms": "8000"})
        origin = await fixture.origins.find(RequestId("r1"))
        assert (origin is not None) == known


async def test_a_report_of_a_later_start_outlives_the_former_registration():
    """It was dropped, so the engine looked idle with its former holdings."""
    async with Fixture(STREAM, stream_completely, software=("v1",)) as fixture:
        (target,) = fixture.feed.view
        report_start(fixture, target.target, 2)
        assert fixture.tracker.is_outdated(target)
        assert fixture.tracker.stats(target).report is not None
        report_start(fixture, target.target, 1)
        assert fixture.tracker.stats(target).report.born == 2


class Surviving:
    """A pool with a connection that survives from a given time on."""

    def __init__(self, clock: ManualClock, since: float) -> None:
        self._clock = clock
        self._since = since

    def has_survivor(self, address: str, at: float, settle: float) -> bool:
        return self._clock.monotonic() >= max(self._since, at + settle)


NEVER = float("inf")


@pytest.mark.parametrize(
    ("lost", "now", "changes", "survivor", "report", "certain"),
    [
        (False, 10.0, {}, NEVER, None, True),
        (True, 10.0, {}, 0.0, None, False),
        (True, 10.2, {}, 0.0, None, True),
        (True, 99.0, {}, NEVER, None, False),
        (True, 12.0, {"sequence": 5 + CONFIRMING_STATEMENTS - 1}, NEVER, None, False),
        (True, 12.0, {"sequence": 5 + CONFIRMING_STATEMENTS}, NEVER, None, True),
        (True, 10.0, {"born": 2, "sequence": 1}, NEVER, None, True),
        (True, 12.0, {}, NEVER, (1, 10.4), False),
        (True, 12.0, {}, NEVER, (1, 10.6), True),
        (True, 12.0, {}, NEVER, (2, 10.6), False),
    ],
)
def test_a_lost_connection_puts_a_registration_in_doubt(
    lost, now, changes, survivor, report, certain
):
    """Streams went on at a target that had started again with other software."""
    clock, view = ManualClock(), TargetView()
    tracker = TargetTracker()
    watch = RestartWatch(view, tracker, Surviving(clock, survivor), clock)
    view.merge(TARGET, 0.0)
    clock.step(10.0)
    if lost:
        watch.record_loss(TARGET)
    clock.step(now - clock.monotonic())
    if report is not None:
        born, at = report
        tracker.record_report(EngineReport(TARGET.target, born, HOLDINGS), at)
    view.merge(msgspec.structs.replace(TARGET, **changes), now)
    assert watch.is_certain(view.get(TARGET.target)) == certain
    watch.retain_known()
    assert len(watch) == (lost and not certain)


def test_further_losses_prolong_a_doubt():
    """A connection opened after the first loss says nothing of the start before it."""
    clock, view = ManualClock(), TargetView()
    pool = Surviving(clock, NEVER)
    watch = RestartWatch(view, TargetTracker(), pool, clock)
    view.merge(TARGET, 0.0)
    clock.step(10.0)
    watch.record_loss(TARGET)
    clock.step(1.0)
    view.merge(msgspec.structs.replace(TARGET, sequence=7), 11.0)
    watch.record_loss(TARGET)
    view.merge(msgspec.structs.replace(TARGET, sequence=8), 11.0)
    assert not watch.is_certain(view.get(TARGET.target))
    asked = []
    pool.has_survivor = lambda _, at, settle: asked.append(at) or False
    watch.is_certain(view.get(TARGET.target))
    assert asked == [10.0]


async def test_a_stream_does_not_go_on_at_a_target_that_started_again():
    """Until it has registered again, its registration names the former software."""
    async with Fixture(
        STREAM, stream_and_reset, stream_completely, software=("v1", "v1"), **RESUMABLE
    ) as fixture:
        for server in fixture._targets:
            await server.stop(0.0)
        await fixture.ask(**{"request-id": "r0"})
        for target in fixture.feed.view:
            restarted = WebServer(fixture._run_behaviour)
            await restarted.start(parse_address(target.address))
            fixture._targets.append(restarted)
            fixture.tracker.stats(target).unreachable_until = 0.0
        with pytest.raises(LinkLost):
            await fixture.ask(**{"deadline-ms": "8000"})
        assert len(fixture.reached) == 1
        assert await fixture.origins.find(RequestId("r1")) is None


@pytest.mark.parametrize("end", [reset, None])
async def test_a_target_that_resets_or_refuses_connections_is_in_doubt(end):
    async with Fixture(ONCE, end, software=("v1",)) as fixture:
        if end is None:
            await fixture._targets[0].stop(0.0)
        await fixture.ask()
        (target,) = fixture.feed.view
        assert not fixture.pipeline.restarts.is_certain(target)


@pytest.mark.parametrize(
    ("idle_time", "idle_for", "certain"),
    [(None, 0.0, False), (10.0, 8.0, False), (10.0, 9.5, True), (1.0, 0.6, True)],
)
async def test_an_idle_connection_that_ends_early_puts_a_target_in_doubt(
    idle_time, idle_for, certain
):
    """Guards against a restart that no request notices."""
    async with Fixture(ONCE, respond, software=("v1",)) as fixture:
        await fixture.ask()
        (target,) = fixture.feed.view
        (connection,) = fixture.pool._idle[target.address]
        connection.idle_time = idle_time
        connection.last_used -= idle_for
        await fixture._targets[0].stop(0.0)
        await asyncio.sleep(0.05)
        assert connection.closed
        assert fixture.pipeline.restarts.is_certain(target) == certain


async def test_a_connection_that_the_gateway_closes_is_no_sign_of_a_restart():
    """Guards against doubts about targets that no request needs for a while."""
    async with Fixture(ONCE, respond, software=("v1",)) as fixture:
        await fixture.ask()
        (target,) = fixture.feed.view
        fixture.pool.close_address(target.address)
        await asyncio.sleep(0.05)
        assert fixture.pipeline.restarts.is_certain(target)


@pytest.mark.parametrize(
    ("opened_at", "received_at", "survives"),
    [(1.0, 3.0, True), (1.0, 2.05, False), (1.0, 1.5, False), (2.5, 3.0, False)],
)
async def test_data_on_an_earlier_connection_shows_that_a_process_runs(
    opened_at, received_at, survives
):
    """Data on a later one may come from another start."""
    async with Fixture(ONCE, respond, software=("v1",)) as fixture:
        (target,) = fixture.feed.view
        connection = await fixture.pool.open(target.address)
        connection.opened_at, connection.received_at = opened_at, received_at
        assert fixture.pool.has_survivor(target.address, 2.0, 0.1) == survives
        connection.close()
        fixture.pool.close_expired()
        assert not fixture.pool.has_survivor(target.address, 2.0, 0.1)
