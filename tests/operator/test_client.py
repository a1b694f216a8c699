"""Tests of the operator's HTTP client and of submitting through it."""

import asyncio

import pytest

from ibishead.clock import SystemClock
from ibishead.errors import IbisheadError, InvalidInput, OutcomeUnknown, Unavailable
from ibishead.links import Endpoint
from ibishead.operator.client import HttpClient, decode_response
from ibishead.operator.options import Command
from ibishead.operator.submitting import Submission, submit_document
from ibishead.operator.views import StatusView
from ibishead.web import WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)


async def never_respond(exchange):
    await exchange.disconnected.wait()


async def respond(exchange):
    await exchange.respond(200, (), b'{"replica": "c2"}')


async def test_unresponsive_server_is_skipped():
    """Guards against waiting forever for a server that accepts requests but hangs."""
    servers = [WebServer(never_respond), WebServer(respond)]
    endpoints = tuple([await server.start(LOOPBACK) for server in servers])
    client = HttpClient(endpoints, SystemClock(), response_timeout=0.1)
    async with asyncio.timeout(30):
        content = await client.request("GET", "/v1/status")
    assert decode_response(content, StatusView).replica == "c2"
    with pytest.raises(OutcomeUnknown):
        await client.request_once("POST", "/")
    for server in servers:
        await server.stop(grace=0.0)


@pytest.mark.parametrize(
    ("status", "body", "error", "calls"),
    [
        (500, b"{}", OutcomeUnknown, 1),
        (502, b"{}", OutcomeUnknown, 1),
        (503, b"{}", Unavailable, 2),
        (503, b'{"error": {"code": "outcome_unknown"}}', OutcomeUnknown, 1),
    ],
)
async def test_request_that_may_have_run_is_not_sent_to_the_next_server(
    status, body, error, calls
):
    """A second `ibishead replace` would replace the replacement."""
    received = []

    async def refuse(exchange):
        received.append(exchange.request)
        await exchange.respond(status, (), body)

    servers = [WebServer(refuse), WebServer(refuse)]
    endpoints = tuple([await server.start(LOOPBACK) for server in servers])
    client = HttpClient(endpoints, SystemClock())
    with pytest.raises(IbisheadError) as raised:
        await client.request_once("POST", "/")
    assert (type(raised.value), len(received)) == (error, calls)
    for server in servers:
        await server.stop(grace=0.0)


def test_response_of_unexpected_type_is_rejected():
    with pytest.raises(InvalidInput, match="same version"):
        decode_response(b"[]", StatusView)


class RecordingCommand(Command):
    """Records results and requests in the order in which they are made."""

    def print_result(self, value, text):
        self.client.events.append(f"print {text}")


class RecordingClient:
    """Records every request, and responds that it was accepted."""

    def __init__(self):
        self.events = []

    async def request(self, method, target, body=b""):
        self.events.append(f"{method} {target}")
        return b'{"service":"s","revision":1,"submission":"id-1","index":1}'


async def test_submission_id_is_printed_before_request_is_sent():
    """Guards against an unknown id if the command is killed while it sends.

    Without the id the operator could not retry the same submission.
    """
    client = RecordingClient()
    document = type("Document", (), {"service": "s", "team": "t"})()
    submission = Submission(document, "text", 0, "id-1")
    await submit_document(RecordingCommand(client, False), submission, wait=False)
    assert client.events[0] == "print submission id-1"
    assert client.events[1].startswith("POST /v1/documents/s?")
