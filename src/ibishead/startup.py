"""The command line that the long-running programs share.

Settings are read and checked whole, TLS files included, before anything listens.
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
    """What the settings of every program hold."""

    @property
    def host(self) -> HostId:
        """The host that the program runs on."""

    @property
    def log_level(self) -> LogLevel:
        """The least severe level that is logged."""

    @property
    def peer_tls(self) -> PeerTls | None:
        """Files for links between programs."""

    @property
    def http_tls(self) -> KeyPair | None:
        """Files shown to HTTP clients."""


_S = TypeVar("_S", bound=ProgramSettings)


def make_command(
    program: str,
    summary: str,
    load: Callable[[Path], _S],
    run: Callable[[_S], Coroutine[Any, Any, None]],
) -> click.Command:
    """Return a command that loads settings and runs the program with them.

    With ``--check-settings`` it ends after the check: 0 when all is well, 2 with
    every fault on standard error otherwise.

    :param program: its name in log lines.
    :param load: raises `SettingsFault` with all faults.
    :param run: serves until a planned stop.
    """

    @click.command(name=program, help=summary)
    @click.argument("settings_file", type=click.Path(path_type=Path))
    @click.option("--check-settings", is_flag=True, help="Check the file and exit.")
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
