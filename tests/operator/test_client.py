"""The operators' client does not wait for a server that went silent."""

import asyncio

import pytest

from ibishead.clock import SystemClock
from ibishead.errors import InvalidInput, OutcomeUnknown
from ibishead.links import Endpoint
from ibishead.operator.client import HttpClient, decode_answer
from ibishead.operator.options import Command
from ibishead.operator.submitting import Submission, submit_document
from ibishead.operator.views import StatusView
from ibishead.web import WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)


async def stay_silent(exchange):
    await exchange.disconnected.wait()


async def answer(exchange):
    await exchange.respond(200, (), b'{"replica": "c2"}')


async def test_silent_server_is_passed_over():
    """An open connection goes silent for good while new ones work."""
    servers = [WebServer(stay_silent), WebServer(answer)]
    endpoints = tuple([await server.start(LOOPBACK) for server in servers])
    client = HttpClient(endpoints, SystemClock(), answer_timeout=0.1)
    async with asyncio.timeout(30):
        content = await client.ask("GET", "/v1/status")
    assert decode_answer(content, StatusView).replica == "c2"
    with pytest.raises(OutcomeUnknown):
        await client.ask_once("POST", "/")
    for server in servers:
        await server.stop(grace=0.0)


def test_answer_of_another_shape_is_refused():
    with pytest.raises(InvalidInput, match="same version"):
        decode_answer(b"[]", StatusView)


class RecordingCommand(Command):
    """Notes what is shown and what is sent, in order."""

    def show(self, value, text):
        self.client.events.append(f"show {text}")


class RecordingClient:
    """Accepts everything."""

    def __init__(self):
        self.events = []

    async def ask(self, method, target, body=b""):
        self.events.append(f"{method} {target}")
        return b'{"service":"s","revision":1,"submission":"id-1","index":1}'


async def test_submission_id_is_shown_before_anything_is_sent():
    """The command is killed while it sends, and the operator needs the id."""
    client = RecordingClient()
    document = type("Document", (), {"service": "s", "team": "t"})()
    change = Submission(document, "text", 0, "id-1")
    await submit_document(RecordingCommand(client, False), change, wait=False)
    assert client.events[0] == "show submission id-1"
    assert client.events[1].startswith("POST /v1/documents/s?")
