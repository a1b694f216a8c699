"""Fixtures that start fleets of processes and terminate them after the test."""

from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from tests.processes.fleet import Fleet, FleetOptions

StartFleet = Callable[..., Awaitable[Fleet]]


@pytest.fixture
async def start_fleet(tmp_path) -> AsyncIterator[StartFleet]:
    """Yield a function that starts a fleet serving both documents of the demo."""
    fleets: list[Fleet] = []

    async def start(**options) -> Fleet:
        fleet = Fleet(tmp_path, FleetOptions(**options))
        fleets.append(fleet)
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.clean_up()
