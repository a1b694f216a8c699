"""An operator's key reaches as far as its team's services and no further."""

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


def write_owned(service, team, key):
    operator = f"[operator:o]\nkey_sha256 = {hash_key(key)}\n"
    return write_document(service, team) + operator


RAKTAR = write_owned("raktar", "halo", HALO)
MESTER = write_owned("mester", "other", OTHER)


class LateReplica(LoneReplica):
    """Hears of others' commands when a read is confirmed or a proposal is judged."""

    def __init__(self, name, machine):
        super().__init__(name, machine)
        self.machine = machine
        self.unheard = []

    async def confirm_read(self):
        while self.unheard:
            await super().propose(encode_command(self.unheard.pop(0)))

    async def propose(self, command):
        await self.confirm_read()
        return await super().propose(command)


@pytest.fixture
def replica():
    return LateReplica(C1, ControlState())


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
        assert await ask(endpoints.operators, target, ADMIN, text) == 200
    yield endpoints.operators
    await server.stop()


async def ask(endpoint, target, key, text=""):
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
        # Its own service, taken into another team
        (f"/v1/documents/raktar{CHANGE}", HALO, RAKTAR.replace("halo", "other"), 403),
        # Another team's service under the name of its own
        (f"/v1/documents/raktar{CHANGE}", HALO, MESTER, 400),
        ("/v1/documents/fresh?base=0&submission=s2", HALO, RAKTAR, 403),
        ("/v1/targets/t1/drain", HALO, "", 403),
        ("/v1/targets/t1/drain", ADMIN, "", 404),
        ("/v1/replicas/replace", HALO, "{}", 403),
    ],
)
async def test_reach_of_a_key(operators, target, key, text, status, caplog):
    assert await ask(operators, target, key, text) == status
    refused = [r for r in caplog.records if r.message == "key refused"]
    assert bool(refused) is (status in (401, 403) and "other" not in text)
    for secret in filter(None, (key, hash_key(key))):
        assert secret not in "".join(str(vars(record)) for record in caplog.records)


async def test_key_that_a_change_takes_away_reaches_nothing_more(operators):
    target = "/v1/documents/raktar?base={}&submission=s{}"
    without = RAKTAR.replace(hash_key(HALO), hash_key("sk-new"))
    assert await ask(operators, target.format(1, 2), HALO, without) == 200
    assert await ask(operators, target.format(2, 3), HALO, RAKTAR) == 403
    assert await ask(operators, target.format(2, 3), "sk-new", RAKTAR) == 200


@pytest.mark.parametrize("base", [2, 3])
async def test_late_replica_gives_no_reach_back(operators, replica, base):
    """An operator who has lost the key changes the document once more."""
    without = RAKTAR.replace(hash_key(HALO), hash_key("sk-new"))
    replica.unheard.append(make_submission("s2", 1, without))
    target = f"/v1/documents/raktar?base={base}&submission=s3"
    assert await ask(operators, target, HALO, RAKTAR) == 403
