"""Fleets that end with their test."""

from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from tests.processes.fleet import Fleet, Shape

StartFleet = Callable[..., Awaitable[Fleet]]


@pytest.fixture
async def start_fleet(tmp_path) -> AsyncIterator[StartFleet]:
    """Yield what starts a fleet that serves both documents of the demo."""
    fleets: list[Fleet] = []

    async def start(**shape) -> Fleet:
        fleet = Fleet(tmp_path, Shape(**shape))
        fleets.append(fleet)
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        return fleet

    yield start
    for fleet in fleets:
        await fleet.clean_up()
