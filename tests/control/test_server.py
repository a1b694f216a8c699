"""A control replica over real sockets: submission, publication, claims, retirement."""

import json
from hashlib import sha256

import pytest
import trustme
from tests.control.lone import LoneReplica

from ibishead.control.liveness import REATTACH_GRACE_SECONDS
from ibishead.control.server import ControlServer
from ibishead.control.state import ControlState
from ibishead.control.upkeep import ROUND_SECONDS
from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import dial
from ibishead.messages import ClaimState, Hello, Publish, Role, Subscribe
from ibishead.session import SILENCE_LIMIT
from ibishead.settings import ControlSettings, KeyPair, PeerTls
from ibishead.tls import make_client_context, make_operator_context
from ibishead.webclient import ClientConnection

from .running import CLOCK, Running, follow, make_settings, poll, wait_for
from .support import make_claim, make_registration, write_document


async def start(settings: ControlSettings) -> Running:
    state = ControlState()
    replica = LoneReplica(settings.replica, state)
    server = ControlServer(settings, settings.replica, state, replica, CLOCK)
    return Running(server, await server.start())


@pytest.fixture
async def control(tmp_path):
    running = await start(make_settings(tmp_path))
    yield running
    await running.server.stop()


async def test_submission_reaches_holder_and_is_in_force(control):
    holder = follow([control], Role.ENTRY, "e1")
    await wait_for(holder.is_current)
    text = write_document()
    target = "/v1/documents/raktar?base=0&submission=s1&team=halo"
    status, data = await control.call("POST", target, text.encode())
    assert status == 200, data
    submitted = json.loads(data)
    assert submitted["revision"] == 1
    await wait_for(lambda: holder.catalog.index >= submitted["index"])
    assert holder.catalog.find_document("raktar").record.text == text
    async for _ in poll():
        if (await control.read("/v1/in-force?index=1"))["in_force"]:
            break
    assert (await control.read("/v1/documents/raktar"))["text"] == text
    history = await control.read("/v1/documents/raktar/history")
    assert [c["submission"] for c in history["changes"]] == ["s1"]
    await holder.stop()


@pytest.mark.parametrize(
    ("target", "text", "status"),
    [
        ("raktar?base=0&submission=s2&team=halo", write_document(), 409),
        ("raktar?base=1&submission=s1&team=halo", write_document(), 409),
        ("raktar?base=x&submission=s2&team=halo", write_document(), 400),
        ("raktar?base=1&team=halo", write_document(), 400),
        ("raktar?base=1&submission=s2&team=halo", "[service", 400),
        ("raktar?base=1&submission=s2&team=halo", "", 400),
        ("mester?base=0&submission=s2&team=halo", write_document(), 400),
        ("raktar?base=1&submission=s2&team=x", write_document(), 400),
        ("raktar?base=1&submission=s2&team=x", write_document(team="x"), 403),
        ("raktar?base=0&submission=s1&team=halo", write_document(), 200),
    ],
)
async def test_status_of_submission(control, target, text, status):
    first = "/v1/documents/raktar?base=0&submission=s1&team=halo"
    await control.call("POST", first, write_document().encode())
    answer = await control.call("POST", f"/v1/documents/{target}", text.encode())
    assert answer[0] == status, answer[1]
    assert (await control.read("/v1/documents"))[0]["revision"] == 1


def hash_key(key: str) -> str:
    return sha256(key.encode()).hexdigest()


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [
        ("documents/raktar?base=0&submission=s1&team=halo", "", 401),
        ("documents/raktar?base=0&submission=s1&team=halo", "wrong", 403),
        ("documents/raktar?base=0&submission=s1&team=halo", "kata", 403),
        ("documents/raktar?base=0&submission=s1&team=halo", "admin", 200),
        ("documents/mester?base=1&submission=s2&team=halo", "kata", 200),
        ("documents/mester?base=1&submission=s2&team=halo", "admin", 200),
        ("documents/mester?base=1&submission=s2&team=halo", "wrong", 403),
        ("targets/t1/drain", "kata", 403),
        ("targets/t1/drain", "admin", 404),
        ("replicas/replace", "kata", 403),
        ("replicas/replace", "admin", 400),
    ],
)
async def test_access_by_key(tmp_path, caplog, target, key, status):
    """An operator's key gives access only to the documents that list it."""
    settings = make_settings(tmp_path, admin_keys=(hash_key("admin"),))
    control = await start(settings)
    mester = write_document("mester") + (
        f"[operator:kata]\nkey_sha256 = {hash_key('kata')}\n"
    )
    first = "/v1/documents/mester?base=0&submission=s0&team=halo"
    assert (await control.call("POST", first, mester.encode(), "admin"))[0] == 200
    name = "mester" if "mester" in target else "raktar"
    text = write_document(name)
    answer = await control.call("POST", f"/v1/{target}", text.encode(), key)
    assert answer[0] == status, answer[1]
    assert "wrong" not in caplog.text
    await control.server.stop()


async def test_target_of_stopped_agent_is_retired(control):
    """An agent stops; its target must be removed from every entry host's catalogue.

    The agent's claims must become unknown without any further request.
    """
    holder = follow([control], Role.ENTRY, "e1")
    agent = follow([control], Role.AGENT, "a1")
    registration = await agent.register(make_registration("n1").request)
    again = await agent.register(make_registration("n1").request)
    assert again == registration
    await wait_for(lambda: holder.catalog.find_target("t1") is not None)
    claim = await holder.claim(make_claim("r1", registration.incarnation).request, 5.0)
    assert claim.state is ClaimState.GRANTED
    other = await holder.claim(make_claim("r2", registration.incarnation).request, 5.0)
    assert other.state is ClaimState.RUNNING
    await agent.stop()
    await wait_for(lambda: holder.catalog.find_target("t1") is None)
    shown = await control.read("/v1/requests/halo/raktar/k1")
    assert shown["state"] == "unknown"
    await holder.stop()


async def test_target_of_silent_agent_is_retired(control):
    """An agent's host freezes: its link stays open, but no messages arrive on it."""
    assert SILENCE_LIMIT + REATTACH_GRACE_SECONDS + ROUND_SECONDS < 5.0
    holder = follow([control], Role.ENTRY, "e1")
    link = await dial(control.links, Hello(Role.AGENT, HostId("a1")), CLOCK)
    link.send(make_registration("n1").request)
    await wait_for(lambda: holder.catalog.find_target("t1") is not None)
    await wait_for(lambda: holder.catalog.find_target("t1") is None)
    await link.close()
    await holder.stop()


async def test_tls_on_both_servers(tmp_path):
    """Links need a client certificate of the authority in the settings."""
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
    certificate.cert_chain_pems[0].write_to_path(tmp_path / "certificate.pem")
    pair = KeyPair(tmp_path / "certificate.pem", tmp_path / "key.pem")
    peer = PeerTls(tmp_path / "ca.pem", pair)
    control = await start(make_settings(tmp_path, peer_tls=peer, http_tls=pair))
    hello = Hello(Role.ENTRY, HostId("e1"))
    with pytest.raises(LinkLost):
        await dial(control.links, hello, CLOCK)
    with pytest.raises(LinkLost):
        await dial(control.links, hello, CLOCK, tls=make_operator_context(peer.ca))
    link = await dial(control.links, hello, CLOCK, tls=make_client_context(peer))
    link.send(Subscribe(hello.host, hello.role))
    messages = link.receive()
    assert isinstance(await anext(messages), Publish)
    connection = await ClientConnection.open(
        control.operators, make_operator_context(peer.ca)
    )
    assert (await connection.ask("GET", "/livez")).status == 200
    connection.close()
    await link.close()
    await control.server.stop()


async def test_health_and_status_paths(control):
    for path in ("/livez", "/readyz", "/metrics"):
        assert (await control.call("GET", path))[0] == 200
    assert (await control.read("/v1/status"))["leader"] == "c1"
    assert (await control.call("GET", "/v1/nothing"))[0] == 404
    control.server.begin_stop()
    assert (await control.call("GET", "/readyz"))[0] == 503
