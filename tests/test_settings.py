"""Tests that settings are loaded in full, or rejected with a list of all faults."""

import contextlib
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import SettingsFault
from ibishead.links import Endpoint
from ibishead.messages import TargetKind
from ibishead.settings import (
    ListenSettings,
    LogLevel,
    load_agent_settings,
    load_control_settings,
    load_entry_settings,
    parse_endpoint,
    write_port_file,
)
from ibishead.web import Limits

ENTRY = """
[entry]
host = e1
failure_domain = szeged-a
[http]
address = 127.0.0.1
port = 0
port_file = http.port
[operators]
address = 127.0.0.1
port = 9001
[control]
replicas = 127.0.0.1:7001, [::1]:7002
[limits]
body_bytes = 1000
connections = 10
[logs]
level = debug
"""

AGENT = """
[agent]
host = a1
failure_domain = szeged-a
target = engine-1
service = mester
kind = engine
lock = slot.lock
[links]
address = 127.0.0.1
port = 0
[target]
address = 127.0.0.1
port = 8000
slots = 4
batch = 8
fenced = yes
[loads]
failure_backoff = 500 ms
[operators]
address = 127.0.0.1
port = 0
[control]
replicas = 127.0.0.1:7001
"""

CONTROL = f"""
[control]
replica = c1
host = ch1
failure_domain = szeged-a
data = data
[links]
address = 127.0.0.1
port = 7001
[peers]
c1 = 127.0.0.1:7001
c2 = 127.0.0.1:7002
c3 = 127.0.0.1:7003
[spares]
c4 = 127.0.0.1:7004
[operators]
address = 127.0.0.1
port = 0
admin_keys_sha256 = {"ab" * 32}
"""

OPERATORS_ON_LOOPBACK = CONTROL[CONTROL.index("[operators]") :]
OPERATORS_WITHOUT_KEYS = "[operators]\naddress = 10.0.0.1\nport = 0\n"

LOADERS = [
    (ENTRY, load_entry_settings),
    (AGENT, load_agent_settings),
    (CONTROL, load_control_settings),
]


@pytest.fixture
def load(tmp_path):
    def load(text, loader):
        path = tmp_path / "settings.ini"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return loader(path)

    return load


def test_entry_settings(load, tmp_path):
    settings = load(ENTRY, load_entry_settings)
    assert settings.host == "e1"
    assert settings.failure_domain == "szeged-a"
    assert settings.http == ListenSettings(
        Endpoint("127.0.0.1", 0), tmp_path / "http.port"
    )
    assert settings.control == (Endpoint("127.0.0.1", 7001), Endpoint("::1", 7002))
    assert settings.limits == Limits(body_bytes=1000, connections=10)
    assert settings.log_level is LogLevel.DEBUG
    assert settings.peer_tls is None


def test_agent_settings(load, tmp_path):
    settings = load(AGENT, load_agent_settings)
    assert settings.kind is TargetKind.ENGINE
    assert settings.target_endpoint == Endpoint("127.0.0.1", 8000)
    assert (settings.slots, settings.batch, settings.fenced) == (4, 8, True)
    assert settings.lock == tmp_path / "slot.lock"
    assert settings.failure_backoff == timedelta(seconds=0.5)


def test_control_settings(load, tmp_path):
    settings = load(CONTROL, load_control_settings)
    assert settings.data == tmp_path / "data"
    assert list(settings.peers) == ["c1", "c2", "c3"]
    assert settings.spares == {"c4": Endpoint("127.0.0.1", 7004)}
    assert settings.admin_keys == ("ab" * 32,)


def test_tls_files(load, tmp_path):
    for name in ("ca", "cert", "key"):
        (tmp_path / name).write_text("")
    text = ENTRY + "[tls]\nca = ca\ncertificate = cert\nkey = key\n"
    settings = load(text, load_entry_settings)
    assert settings.peer_tls.ca == tmp_path / "ca"
    assert settings.peer_tls.pair.key == tmp_path / "key"
    assert settings.http_tls is None


@pytest.mark.parametrize(
    ("text", "old", "new", "place"),
    [
        (ENTRY, "[entry]", "[entri]", "[entry]: the section is missing"),
        (ENTRY, "host = e1", "", "[entry] host: missing"),
        (ENTRY, "host =", "hots =", "did you mean host?"),
        (ENTRY, "127.0.0.1\nport = 0", "localhost\nport = 0", "[http] address"),
        (ENTRY, "port = 9001", "port = 65536", "[operators] port"),
        (ENTRY, "port = 9001", "port = -1", "[operators] port"),
        (ENTRY, "127.0.0.1:7001", "127.0.0.1:0", "[control] replicas"),
        (ENTRY, "127.0.0.1:7001", "127.0.0.1", "[control] replicas"),
        (ENTRY, "port = 0", "port = 9001", "taken by [http]"),
        (ENTRY, "= 1000", "= 100000000", "[limits] body_bytes"),
        (ENTRY, "body_bytes", "body_size", "[limits] body_size"),
        (ENTRY, "= debug", "= loud", "[logs] level"),
        (ENTRY, "[logs]", "[tls]\nca = no\n[logs]", "[tls] ca: not a readable file"),
        (ENTRY, "[logs]", "[tls]\nkey = no\n[logs]", "[tls] key: certificate and key"),
        (AGENT, "slots = 4", "", "[target] slots: missing"),
        (AGENT, "kind = engine", "kind = plain", "[target] slots: unknown"),
        (AGENT, "port = 8000", "port = 0", "[target] port"),
        (AGENT, "lock = slot.lock", "", ""),
        (AGENT, "fenced = yes", "fenced = 1", "[target] fenced"),
        (AGENT, "500 ms", "0.5", "[loads] failure_backoff"),
        (CONTROL, "c3 = 127.0.0.1:7003", "", "[peers]: 2 replicas"),
        (CONTROL, "replica = c1", "replica = c9", "[control] replica"),
        (CONTROL, "c4 =", "c3 =", "[spares] c3: also listed in [peers]"),
        (CONTROL, "7004", "7003", "[peers]: two replicas share"),
        (CONTROL, "ab" * 32, "secret", "[operators] admin_keys_sha256"),
        (
            CONTROL,
            OPERATORS_ON_LOOPBACK,
            OPERATORS_WITHOUT_KEYS,
            "[operators] admin_keys_sha256: missing",
        ),
    ],
)
def test_fault_states_its_location(load, text, old, new, place):
    assert old in text
    loader = dict(LOADERS)[text]
    changed = text.replace(old, new, 1)
    if not place:
        # Only a target that is not fenced requires a lock
        load(changed, loader)
        changed = changed.replace("fenced = yes", "")
        place = "[agent] lock: missing"
    with pytest.raises(SettingsFault) as caught:
        load(changed, loader)
    assert place in caught.value.message
    assert "secret" not in str(caught.value)


def test_all_faults_are_reported_together(load):
    text = ENTRY.replace("host = e1", "").replace("9001", "x") + "[more]\n"
    with pytest.raises(SettingsFault) as caught:
        load(text, load_entry_settings)
    for place in ("[entry] host", "[operators] port", "[more]"):
        assert place in caught.value.message


def test_unreadable_file_is_a_fault(load, tmp_path):
    with pytest.raises(SettingsFault, match="can't be read"):
        load(b"\xff\xfe", load_entry_settings)
    with pytest.raises(SettingsFault, match="can't be read"):
        load_entry_settings(tmp_path / "absent")


def test_port_file_contains_the_port(tmp_path):
    listen = ListenSettings(Endpoint("127.0.0.1", 0), tmp_path / "port")
    write_port_file(listen, 4711)
    assert (tmp_path / "port").read_text() == "4711\n"
    assert [path.name for path in tmp_path.iterdir()] == ["port"]
    write_port_file(ListenSettings(listen.endpoint), 4711)


@pytest.mark.parametrize("text", ["127.0.0.1:80", "[::1]:80"])
def test_endpoint_text_round_trips(text):
    assert str(parse_endpoint(text)) == text


@given(
    base=st.sampled_from(LOADERS),
    edits=st.lists(st.tuples(st.integers(0, 40), st.text(max_size=20)), max_size=4),
)
def test_any_text_is_loaded_or_rejected(tmp_path_factory, base, edits):
    text, loader = base
    lines = text.splitlines()
    for number, line in edits:
        lines[number % len(lines)] = line
    path = tmp_path_factory.getbasetemp() / "fuzz.ini"
    path.write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    with contextlib.suppress(SettingsFault):
        loader(path)
