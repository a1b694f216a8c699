"""Tests that a program validates its settings in full before it starts serving."""

import asyncio

import pytest
from click.testing import CliRunner

from ibishead.settings import load_entry_settings
from ibishead.startup import make_command

SETTINGS = """
[entry]
host = e1
failure_domain = szeged-a
[http]
address = 127.0.0.1
port = 0
[operators]
address = 127.0.0.1
port = 0
[control]
replicas = 127.0.0.1:7001
"""
TLS = "[tls]\nca = settings.ini\ncertificate = settings.ini\nkey = settings.ini\n"


@pytest.fixture
def start(tmp_path, monkeypatch):
    monkeypatch.setattr("ibishead.startup.set_up_logging", lambda *_: None)
    served = []

    async def run(settings):
        await asyncio.sleep(0)
        served.append(settings.host)

    def start(text, *arguments):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        command = make_command("entry", "Serve.", load_entry_settings, run)
        result = CliRunner().invoke(command, [str(path), *arguments])
        return result.exit_code, result.stdout, result.stderr, served

    return start


def test_program_runs_with_valid_settings(start):
    assert start(SETTINGS) == (0, "", "", ["e1"])


def test_check_does_not_run_program(start):
    exit_code, stdout, _, served = start(SETTINGS, "--check-settings")
    assert (exit_code, served) == (0, [])
    assert "is valid" in stdout


@pytest.mark.parametrize(
    ("text", "shown"),
    [
        (SETTINGS + "[loggs]\n", "[loggs]: unknown section; did you mean logs?"),
        # The files are readable, but are not certificates
        (SETTINGS + TLS, "name the authority's certificate in PEM"),
    ],
)
@pytest.mark.parametrize("arguments", [(), ("--check-settings",)])
def test_faults_prevent_start(start, text, shown, arguments):
    exit_code, _, stderr, served = start(text, *arguments)
    assert (exit_code, served) == (2, [])
    assert shown in stderr
