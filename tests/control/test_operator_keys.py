"""An operator's key gives access to the services of its team only."""

import pytest
from tests.control.lone import LoneReplica

from ibishead.clock import SystemClock
from ibishead.control.commands import encode_command
from ibishead.control.server import ControlServer
from ibishead.control.state import ControlState
from ibishead.keys import hash_key
from ibishead.links import Endpoint
from ibishead.settings import ControlSettings, ListenSettings
from ibishead.webclient import ClientConnection

from .support import C1, make_submission, write_document

LOOPBACK = ListenSettings(Endpoint("127.0.0.1", 0))
ADMIN, HALO, OTHER = "sk-admin", "sk-halo", "sk-other"


def write_document_with_operator(service, team, key):
    operator = f"[operator:o]\nkey_sha256 = {hash_key(key)}\n"
    return write_document(service, team) + operator


RAKTAR = write_document_with_operator("raktar", "halo", HALO)
MESTER = write_document_with_operator("mester", "other", OTHER)


class LaggingReplica(LoneReplica):
    """Applies others' commands only when it confirms a read or makes a proposal."""

    def __init__(self, name, machine):
        super().__init__(name, machine)
        self.machine = machine
        self.unapplied = []

    async def confirm_read(self):
        while self.unapplied:
            await super().propose(encode_command(self.unapplied.pop(0)))

    async def propose(self, command):
        await self.confirm_read()
        return await super().propose(command)


@pytest.fixture
def replica():
    return LaggingReplica(C1, ControlState())


@pytest.fixture
async def operators(tmp_path, replica):
    settings = ControlSettings(
        C1,
        "control-1",
        "szeged-a",
        tmp_path,
        LOOPBACK,
        LOOPBACK,
        {},
        {},
        (hash_key(ADMIN),),
    )
    server = ControlServer(settings, C1, replica.machine, replica, SystemClock())
    endpoints = await server.start()
    for service, text in (("raktar", RAKTAR), ("mester", MESTER)):
        target = f"/v1/documents/{service}?base=0&submission=first-{service}"
        assert await post(endpoints.operators, target, ADMIN, text) == 200
    yield endpoints.operators
    await server.stop()


async def post(endpoint, target, key, text=""):
    connection = await ClientConnection.open(endpoint)
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    answer = await connection.ask("POST", target, headers, text.encode())
    await answer.read()
    connection.close()
    return answer.status


CHANGE = "?base=1&submission=s2"


@pytest.mark.parametrize(
    ("target", "key", "text", "status"),
    [
        (f"/v1/documents/raktar{CHANGE}", HALO, RAKTAR, 200),
        (f"/v1/documents/raktar{CHANGE}", ADMIN, RAKTAR, 200),
        (f"/v1/documents/raktar{CHANGE}", OTHER, RAKTAR, 403),
        (f"/v1/documents/raktar{CHANGE}", "sk-nobody", RAKTAR, 403),
        (f"/v1/documents/raktar{CHANGE}", hash_key(HALO), RAKTAR, 403),
        (f"/v1/documents/raktar{CHANGE}", "", RAKTAR, 401),
        # The operator's own service, moved to another team
        (f"/v1/documents/raktar{CHANGE}", HALO, RAKTAR.replace("halo", "other"), 403),
        # Another team's document, submitted under the operator's own service
        (f"/v1/documents/raktar{CHANGE}", HALO, MESTER, 400),
        ("/v1/documents/fresh?base=0&submission=s2", HALO, RAKTAR, 403),
        ("/v1/targets/t1/drain", HALO, "", 403),
        ("/v1/targets/t1/drain", ADMIN, "", 404),
        ("/v1/replicas/replace", HALO, "{}", 403),
    ],
)
async def test_access_by_key(operators, target, key, text, status, caplog):
    assert await post(operators, target, key, text) == status
    refused = [r for r in caplog.records if r.message == "key refused"]
    assert bool(refused) is (status in (401, 403) and "other" not in text)
    for secret in filter(None, (key, hash_key(key))):
        assert secret not in "".join(str(vars(record)) for record in caplog.records)


async def test_revoked_key_loses_access(operators):
    target = "/v1/documents/raktar?base={}&submission=s{}"
    without = RAKTAR.replace(hash_key(HALO), hash_key("sk-new"))
    assert await post(operators, target.format(1, 2), HALO, without) == 200
    assert await post(operators, target.format(2, 3), HALO, RAKTAR) == 403
    assert await post(operators, target.format(2, 3), "sk-new", RAKTAR) == 200


@pytest.mark.parametrize("base", [2, 3])
async def test_lagging_replica_does_not_accept_revoked_key(operators, replica, base):
    """An operator with a revoked key submits a change at a lagging replica.

    Checked against the old document, the key would restore its own access.
    """
    without = RAKTAR.replace(hash_key(HALO), hash_key("sk-new"))
    replica.unapplied.append(make_submission("s2", 1, without))
    target = f"/v1/documents/raktar?base={base}&submission=s3"
    assert await post(operators, target, HALO, RAKTAR) == 403
