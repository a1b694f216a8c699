"""Programs accept only peers with certificates of their own authority."""

import ssl

import pytest
import trustme

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost, SettingsFault
from ibishead.ids import HostId
from ibishead.links import Endpoint, LinkServer, dial
from ibishead.messages import Hello, ReportInForce, Role
from ibishead.settingsfile import KeyPair, PeerTls
from ibishead.tls import (
    make_client_context,
    make_operator_context,
    make_server_context,
)
from ibishead.web import WebServer
from ibishead.webclient import ClientConnection

LOOPBACK = Endpoint("127.0.0.1", 0)
ENTRY = Hello(Role.ENTRY, HostId("e1"))
AGENT = Hello(Role.AGENT, HostId("a1"))
CLOCK = SystemClock()


def write_files(folder, authority, address="127.0.0.1"):
    folder.mkdir()
    certificate = authority.issue_cert(address)
    authority.cert_pem.write_to_path(folder / "ca")
    certificate.private_key_pem.write_to_path(folder / "key")
    for blob in certificate.cert_chain_pems:
        blob.write_to_path(folder / "certificate", append=True)
    return PeerTls(folder / "ca", KeyPair(folder / "certificate", folder / "key"))


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    folder = tmp_path_factory.mktemp("tls")
    own, foreign = trustme.CA(), trustme.CA()
    return {
        "own": write_files(folder / "own", own),
        "foreign": write_files(folder / "foreign", foreign),
        # Trusts the right authority, but presents a certificate of another one
        "mixed": PeerTls(
            folder / "own" / "ca", write_files(folder / "x", foreign).pair
        ),
        "elsewhere": write_files(folder / "elsewhere", own, "10.9.9.9"),
    }


@pytest.fixture
async def listen(files):
    async def echo(link):
        async for message in link.receive():
            link.send(message)

    servers = []

    async def listen(name):
        tls = make_server_context(files[name].pair, files[name].ca)
        server = LinkServer(echo, lambda: AGENT, CLOCK, tls=tls)
        servers.append(server)
        return await server.start(LOOPBACK)

    yield listen
    for server in servers:
        await server.stop()


async def test_link_over_mutual_tls(files, listen):
    endpoint = await listen("own")
    link = await dial(endpoint, ENTRY, CLOCK, tls=make_client_context(files["own"]))
    link.send(ReportInForce(HostId("e1"), 7))
    async for message in link.receive():
        assert message == ReportInForce(HostId("e1"), 7)
        break
    await link.close()


@pytest.mark.parametrize(
    ("server", "client"),
    [
        ("foreign", "own"),
        ("own", "foreign"),
        ("own", "mixed"),
        # The right authority, but a certificate for another IP address
        ("elsewhere", "own"),
    ],
)
async def test_untrusted_peer_is_rejected(files, listen, server, client):
    endpoint = await listen(server)
    with pytest.raises(LinkLost):
        await dial(endpoint, ENTRY, CLOCK, tls=make_client_context(files[client]))


async def test_client_without_certificate_is_rejected(files, listen):
    endpoint = await listen("own")
    with pytest.raises(LinkLost):
        await dial(endpoint, ENTRY, CLOCK, tls=make_operator_context(files["own"].ca))


async def test_client_without_tls_is_rejected(listen):
    endpoint = await listen("own")
    with pytest.raises(LinkLost):
        await dial(endpoint, ENTRY, CLOCK)


async def test_http_over_tls(files):
    async def answer(exchange):
        await exchange.respond(200, (), exchange.request.body)

    server = WebServer(answer, tls=make_server_context(files["own"].pair))
    endpoint = await server.start(LOOPBACK)
    trusted = make_operator_context(files["own"].ca)
    connection = await ClientConnection.open(endpoint, trusted)
    answer = await connection.ask("POST", "/", (), b"hello")
    assert await answer.read() == b"hello"
    connection.close()
    with pytest.raises(LinkLost):
        await ClientConnection.open(
            endpoint, make_operator_context(files["foreign"].ca)
        )
    await server.stop(grace=1.0)


def test_errors_for_invalid_files_name_the_remedy(files, tmp_path):
    own = files["own"]
    with pytest.raises(SettingsFault, match="its own key"):
        make_server_context(KeyPair(own.pair.certificate, files["foreign"].pair.key))
    (tmp_path / "empty").write_text("")
    with pytest.raises(SettingsFault, match="authority"):
        make_operator_context(tmp_path / "empty")
    assert make_server_context(own.pair).verify_mode is ssl.CERT_NONE
