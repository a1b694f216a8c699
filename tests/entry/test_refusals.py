"""Refusals before dispatch: response headers, trace, log record and metrics."""

import json
import logging
import random

import pytest

from ibishead.catalog import Catalog
from ibishead.clock import SystemClock
from ibishead.entry.agents import AgentPool
from ibishead.entry.blocking import MessageBlocks
from ibishead.entry.dispatching import Dispatcher
from ibishead.entry.pipeline import Pipeline
from ibishead.entry.placing import Placer
from ibishead.ids import FailureDomain
from ibishead.links import Endpoint
from ibishead.messages import DocumentRecord
from ibishead.metrics import Metrics
from ibishead.web import WebServer
from ibishead.webclient import ClientConnection

DOCUMENT = """
[service]
name = mester
team = halo
kind = engine
model = base
default_class = draft
adapter_source = store/{adapter}/{version}
[class:draft]
priority = 1
deadline = 1 s
idempotent = yes
[adapters]
tisza = 1 2
"""


class ConfirmedSubscription:
    """A fake subscription whose documents are confirmed by a valid lease."""

    def __init__(self):
        self.catalog = Catalog()
        self.catalog.store_document(DocumentRecord("mester", "halo", 1, DOCUMENT))

    def is_current(self):
        return True


@pytest.fixture
def metrics():
    return Metrics("entry")


@pytest.fixture
async def entry(metrics):
    clock, subscription = SystemClock(), ConfirmedSubscription()
    placer = Placer(clock, FailureDomain("szeged-a"), random.Random(1))
    pool = AgentPool(lambda: None, clock, observer=placer)
    blocks = MessageBlocks(clock)
    dispatcher = Dispatcher(pool, subscription.catalog, clock, placer, blocks)
    pipeline = Pipeline(subscription, dispatcher, placer, clock, metrics)
    server = WebServer(pipeline.handle)
    server.pipeline = pipeline
    server.endpoint = await server.start(Endpoint("127.0.0.1", 0))
    yield server
    await server.stop(grace=0.0)


def encode_body(model):
    return json.dumps({"model": model}).encode()


@pytest.mark.parametrize(
    ("body", "status", "stage", "code"),
    [
        (b"{", 400, "parse", "invalid_input"),
        (b"[]", 400, "parse", "invalid_input"),
        (b'{"model": "\xff"}', 400, "parse", "invalid_input"),
        (b"{}", 400, "parse", "invalid_input"),
        (encode_body("nobody/tisza"), 404, "resolve", "unknown_service"),
        (encode_body("mester/duna"), 404, "resolve", "unknown_adapter"),
        (encode_body("mester/tisza@9"), 404, "resolve", "unknown_version"),
        (encode_body("mester/tisza@1"), 503, "admit", "no_target"),
    ],
)
async def test_refusal_is_reported_traced_counted_and_logged(
    entry, metrics, caplog, body, status, stage, code
):
    caplog.set_level(logging.INFO)
    connection = await ClientConnection.open(entry.endpoint)
    answer = await connection.ask("POST", "/v1/chat/completions", (), body)
    error = json.loads(await answer.read())["error"]
    connection.close()
    headers = dict(answer.headers)
    assert (answer.status, error["code"]) == (status, code)
    assert error["remedy"]
    assert headers["x-ibishead-outcome"] == "not_run"
    assert ("retry-after" in headers) is (status == 503)
    trace = entry.pipeline.traces.find(headers["x-ibishead-request"])
    assert trace.outcome == "not_run"
    assert (trace.steps[-1].stage, trace.steps[-1].decision) == (stage, code)
    (line,) = [r for r in caplog.records if r.message == "request refused"]
    assert (line.request, line.stage, line.decision) == (trace.request, stage, code)
    text = metrics.render()[1].decode()
    assert f'ibishead_entry_refusals_total{{code="{code}"}} 1' in text
    assert ('outcome="not_run",team="halo"} 1' in text) is (stage == "admit")
