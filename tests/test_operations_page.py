"""Tests that the operators' documentation matches the programs."""

import re
from pathlib import Path

import click
import pytest

from ibishead.documents import check_document
from ibishead.errors import ErrorCode
from ibishead.operator.main import main
from ibishead.operator.options import ExitCode
from ibishead.settings import (
    load_agent_settings,
    load_control_settings,
    load_entry_settings,
)

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
TEXT = PAGE.read_text(encoding="utf-8")
LOADERS = {
    "entry": load_entry_settings,
    "agent": load_agent_settings,
    "control": load_control_settings,
}


def find_examples(kind):
    return re.findall(rf"^```ini {kind}\n(.*?)^```$", TEXT, re.DOTALL | re.MULTILINE)


@pytest.mark.parametrize("program", LOADERS)
def test_settings_example_is_valid(program, tmp_path):
    (example,) = find_examples(f"settings={program}")
    path = tmp_path / "settings.ini"
    path.write_text(example)
    assert LOADERS[program](path).host


@pytest.mark.parametrize("example", find_examples("document"))
def test_document_example_is_valid(example):
    assert check_document(example)[1] == ()


def test_limits_of_entry_example_are_the_defaults(tmp_path):
    (example,) = find_examples("settings=entry")
    path = tmp_path / "settings.ini"
    path.write_text(example)
    full = load_entry_settings(path)
    path.write_text(re.sub(r"\[limits\].*?\n\n", "", example, flags=re.DOTALL))
    assert load_entry_settings(path) == full


@pytest.mark.parametrize("code", list(ErrorCode))
def test_every_error_code_is_documented(code):
    assert re.search(rf"^\|[^|]*`{code.value}`", TEXT, re.MULTILINE)


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_and_option_is_documented(name):
    assert re.search(rf"^\| `ibishead {name}\b", TEXT, re.MULTILINE)
    for parameter in main.commands[name].params:
        if isinstance(parameter, click.Option):
            assert any(option in TEXT for option in parameter.opts)


@pytest.mark.parametrize("code", list(ExitCode))
def test_every_exit_code_is_documented(code):
    assert re.search(rf"^\| {code.value} \|", TEXT, re.MULTILINE)
