"""Fixture with a running cluster on loopback for tests of the whole path."""

import pytest
from tests.onplatform.standin import Cluster


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as running:
        await running.wait_ready()
        yield running
