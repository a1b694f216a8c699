"""Targets that start again under their ID with other software."""

import msgspec
import pytest
from tests.gateway.test_pipeline import (
    RESUMABLE,
    STREAM,
    WHOLE_STREAM,
    Fixture,
    UnresponsiveSteward,
    stream_and_reset,
    stream_completely,
)

from ibishead.errors import LinkLost
from ibishead.gateway.stewards import TurnOutcome
from ibishead.ids import ModelName, RequestId, SoftwareVersion, TargetId
from ibishead.routing.messages import EngineReport
from ibishead.routing.targets import AdapterRef, Holding

HOLDINGS = (Holding(ModelName("m"), 1, (AdapterRef("a1", 1),)),)


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
