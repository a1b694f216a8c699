"""A request passes entry host, agent and control replica, all ports using TLS."""

import asyncio
import json
import random

import pytest
import trustme
from click.testing import CliRunner
from tests.control.lone import LoneReplica

from ibishead.agent.agent import Agent
from ibishead.agent.target import TargetClient
from ibishead.clock import SystemClock
from ibishead.control.server import ControlServer
from ibishead.control.state import ControlState
from ibishead.entry.host import EntryHost
from ibishead.errors import LinkLost
from ibishead.links import Endpoint, LinkServer, dial
from ibishead.messages import Hello, Role
from ibishead.operator.main import main
from ibishead.settings import (
    load_agent_settings,
    load_control_settings,
    load_entry_settings,
)
from ibishead.standin.ledger import Ledger
from ibishead.standin.plain import PlainService
from ibishead.tls import make_operator_context, make_server_context
from ibishead.web import WebServer
from ibishead.webclient import ClientConnection

LOOPBACK = Endpoint("127.0.0.1", 0)
CLOCK = SystemClock()
TLS = """
[tls]
ca = ca
certificate = certificate
key = key
http_certificate = certificate
http_key = key
"""
LISTEN = "address = 127.0.0.1\nport = 0\n"
CONTROL = f"""
[control]
replica = c1
host = ch1
failure_domain = szeged-a
data = data
[links]
{LISTEN}
[operators]
{LISTEN}
[peers]
c1 = 127.0.0.1:1
{TLS}
"""
AGENT = f"""
[agent]
host = a1
failure_domain = szeged-a
target = t1
service = raktar
kind = plain
lock = lock
[links]
{LISTEN}
[operators]
{LISTEN}
[target]
address = 127.0.0.1
port = TARGET_PORT
[control]
replicas = CONTROL
{TLS}
"""
ENTRY = f"""
[entry]
host = e1
failure_domain = szeged-a
[http]
{LISTEN}
[operators]
{LISTEN}
[control]
replicas = CONTROL
{TLS}
"""
DOCUMENT = """
[service]
name = raktar
team = halo
kind = plain
default_class = issue
[class:issue]
priority = 3
deadline = 20 s
idempotent = no
"""


@pytest.fixture
def folder(tmp_path):
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca")
    certificate.private_key_pem.write_to_path(tmp_path / "key")
    certificate.cert_chain_pems[0].write_to_path(tmp_path / "certificate")
    return tmp_path


@pytest.fixture
def load(folder):
    def load(text, loader, **values):
        for name, value in values.items():
            text = text.replace(name, str(value))
        path = folder / "settings.ini"
        path.write_text(text)
        return loader(path)

    return load


@pytest.fixture
async def control(load):
    settings = load(CONTROL, load_control_settings)
    state = ControlState()
    replica = LoneReplica(settings.replica, state)
    server = ControlServer(settings, settings.replica, state, replica, CLOCK)
    yield await server.start()
    await server.stop()


@pytest.fixture
async def agent(load, control):
    service = PlainService("raktar", 0.0, Ledger(CLOCK), 1.0)
    target = WebServer(service.handle)
    endpoint = await target.start(LOOPBACK)
    settings = load(
        AGENT, load_agent_settings, CONTROL=control.links, TARGET_PORT=endpoint.port
    )
    tls = make_server_context(settings.peer_tls.pair, settings.peer_tls.ca)
    links = LinkServer(
        lambda link: agent.serve(link), lambda: agent.make_hello(), CLOCK, tls=tls
    )
    links_endpoint = await links.start(LOOPBACK)
    agent = Agent(settings, links_endpoint, TargetClient(endpoint, False, CLOCK), CLOCK)
    await agent.start()
    yield links_endpoint
    await links.stop()
    await agent.stop()
    await target.stop(grace=0.0)


@pytest.fixture
async def entry(load, control, agent):
    settings = load(ENTRY, load_entry_settings, CONTROL=control.links)
    host = EntryHost(settings, CLOCK, random.Random(1))
    tls = make_server_context(settings.http_tls)
    callers = WebServer(host.pipeline.handle, tls=tls)
    host.start()
    yield await callers.start(LOOPBACK)
    await callers.stop(grace=0.0)
    await host.stop()


async def run_operator(*arguments):
    # The command runs its own event loop, so it needs a separate thread
    return await asyncio.to_thread(CliRunner().invoke, main, arguments)


async def call(entry, tls):
    connection = await ClientConnection.open(entry, tls)
    headers = (("idempotency-key", "k1"),)
    answer = await connection.ask("POST", "/services/raktar/issue", headers, b"2")
    body = await answer.read()
    connection.close()
    return answer, body


async def test_request_over_tls_is_completed(folder, control, entry):
    document = folder / "raktar.ini"
    document.write_text(DOCUMENT)
    connection_options = (
        "--control",
        str(control.operators),
        "--ca",
        str(folder / "ca"),
    )
    submitted = await run_operator(
        "submit", str(document), "--base", "0", *connection_options
    )
    assert submitted.exit_code == 0, submitted.output
    tls = make_operator_context(folder / "ca")
    async with asyncio.timeout(30):
        while (found := await call(entry, tls))[0].status == 503:
            await asyncio.sleep(0.05)
    answer, body = found
    assert answer.status == 200
    assert json.loads(body)["execution"] == 1
    assert dict(answer.headers)["x-ibishead-outcome"] == "completed"


async def test_ports_reject_clients_without_tls(control, agent, entry):
    for endpoint in (control.links, agent):
        with pytest.raises(LinkLost):
            await dial(endpoint, Hello(Role.ENTRY, "e9"), CLOCK)
    for endpoint in (control.operators, entry):
        with pytest.raises(LinkLost):
            await call(endpoint, None)


async def test_operator_command_rejects_a_foreign_authority(folder, control):
    trustme.CA().cert_pem.write_to_path(folder / "other")
    connection_options = (
        "--control",
        str(control.operators),
        "--ca",
        str(folder / "other"),
    )
    result = await run_operator("targets", "--timeout", "0.3", *connection_options)
    assert result.exit_code == 4
