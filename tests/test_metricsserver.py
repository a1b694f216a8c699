"""Metrics as a scraper sees them."""

import pytest

from ibishead.gateway.connection import TargetConnection
from ibishead.ids import ClassName, TeamId
from ibishead.links import Endpoint
from ibishead.messages import Outcome
from ibishead.metrics import Measure, Metrics
from ibishead.metricsserver import MetricsServer


@pytest.mark.parametrize(("path", "status"), [("/metrics", 200), ("/other", 404)])
async def test_what_a_scraper_reads(path, status):
    metrics = Metrics("gateway")
    metrics.count_request(TeamId("plans"), ClassName("r"), Outcome.COMPLETED)
    metrics.observe(Measure.WAIT, TeamId("plans"), ClassName("r"), 0.2)
    server = MetricsServer(metrics, lambda: {"running": 3})
    endpoint = await server.start(Endpoint("127.0.0.1", 0))
    connection = await TargetConnection.open(endpoint)
    try:
        found, _ = await connection.request("GET", path, (("host", "x"),), b"")
        body = b""
        while (piece := await connection.read()) is not None:
            body += piece
    finally:
        connection.close()
        await server.stop()
    assert found == status
    if status == 200:
        text = body.decode()
        assert "ibishead_gateway_running 3" in text
        assert 'outcome="completed"' in text
        assert "ibishead_gateway_wait_seconds_bucket" in text
