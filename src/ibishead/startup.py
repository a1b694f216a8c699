"""Command line of the long-running programs.

All settings, including the TLS files, are validated before the program starts to
listen.
"""

import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol, TypeVar

import click

from ibishead.errors import SettingsFault
from ibishead.ids import HostId
from ibishead.logs import set_up_logging
from ibishead.process import EXIT_SETTINGS, run_program
from ibishead.settingsfile import KeyPair, LogLevel, PeerTls
from ibishead.tls import check_tls_files

__all__ = ["ProgramSettings", "make_command"]


class ProgramSettings(Protocol):
    """The settings that every program has."""

    @property
    def host(self) -> HostId:
        """The host that the program runs on."""

    @property
    def log_level(self) -> LogLevel:
        """The lowest severity that is logged."""

    @property
    def peer_tls(self) -> PeerTls | None:
        """TLS files for links between programs."""

    @property
    def http_tls(self) -> KeyPair | None:
        """TLS files for HTTP clients."""


_S = TypeVar("_S", bound=ProgramSettings)


def make_command(
    program: str,
    summary: str,
    load: Callable[[Path], _S],
    run: Callable[[_S], Coroutine[Any, Any, None]],
) -> click.Command:
    """Return a command that loads settings and runs the program with them.

    If the settings are invalid, the command prints all faults to standard error and
    exits with status 2. With ``--check-settings`` it validates the settings without
    running the program.

    :param program: the name of the program in log lines.
    :param summary: the help text of the command.
    :param load: loads the settings; raises `SettingsFault` if they are invalid.
    :param run: runs the program until an orderly shutdown.
    """

    @click.command(name=program, help=summary)
    @click.argument("settings_file", type=click.Path(path_type=Path))
    @click.option("--check-settings", is_flag=True, help="Validate the file and exit.")
    def command(settings_file: Path, check_settings: bool) -> None:
        try:
            settings = load(settings_file)
            check_tls_files(settings.peer_tls, settings.http_tls)
        except SettingsFault as fault:
            click.echo(f"error: {fault.message}\nremedy: {fault.remedy}", err=True)
            sys.exit(EXIT_SETTINGS)
        if check_settings:
            click.echo(f"{settings_file} is valid")
            return
        set_up_logging(settings.log_level, program, settings.host)
        run_program(lambda: run(settings))

    return command
