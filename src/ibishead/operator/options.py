"""Options, output and exit codes that the operator's commands have in common."""

import asyncio
import functools
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

import click
import msgspec

from ibishead.clock import SystemClock
from ibishead.errors import (
    Conflict,
    IbisheadError,
    InvalidInput,
    LinkLost,
    OutcomeUnknown,
    SettingsFault,
    Unavailable,
)
from ibishead.links import Endpoint
from ibishead.operator.client import HttpClient
from ibishead.settingsfile import parse_endpoint
from ibishead.tls import make_operator_context

__all__ = ["Command", "ExitCode", "NotInForce", "control_command", "entry_command"]

#: Default time for a command to send its request and to wait for the result.
DEFAULT_TIMEOUT_SECONDS = 30.0


class ExitCode(IntEnum):
    """Exit codes of the commands; part of the interface, see docs/OPERATIONS.md."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


class NotInForce(IbisheadError):
    """A change was accepted, but some hosts have not applied it yet."""


@dataclass(frozen=True)
class Command:
    """The client and the output format for one invocation of a command.

    :param json: whether to print JSON, one object per line, instead of text.
    """

    client: HttpClient
    json: bool

    def print_result(self, value: Any, text: str) -> None:
        """Print a result to standard output, as JSON or as text.

        :param value: the result to encode as JSON.
        :param text: the same result as text.
        """
        click.echo(msgspec.json.encode(value).decode() if self.json else text)

    def print_progress(self, text: str) -> None:
        """Print a progress message to standard error, separate from the result."""
        click.echo(text, err=True)


class _EndpointType(click.ParamType):
    name = "address:port"

    def convert(self, value: Any, param: Any, ctx: Any) -> Endpoint:
        if isinstance(value, Endpoint):
            return value
        try:
            return parse_endpoint(value)
        except InvalidInput as error:
            self.fail(str(error), param, ctx)


_CONTROL_OPTION = click.option(
    "--control",
    "servers",
    type=_EndpointType(),
    multiple=True,
    required=True,
    envvar="IBISHEAD_CONTROL",
    help="Operators' port of a control replica; repeat to try several in order.",
)
_ENTRY_OPTION = click.option(
    "--entry",
    "servers",
    type=_EndpointType(),
    multiple=True,
    required=True,
    envvar="IBISHEAD_ENTRY",
    help="Operators' port of an entry host; repeat for each host.",
)
_COMMON_OPTIONS = (
    click.option(
        "--key-file",
        type=click.Path(path_type=Path, exists=True, dir_okay=False),
        envvar="IBISHEAD_KEY_FILE",
        help="File with the operator's key.",
    ),
    click.option(
        "--ca",
        type=click.Path(path_type=Path, exists=True, dir_okay=False),
        envvar="IBISHEAD_CA",
        help="Use TLS and trust this certificate authority (PEM).",
    ),
    click.option(
        "--timeout",
        type=click.FloatRange(0.1, 3600.0),
        default=DEFAULT_TIMEOUT_SECONDS,
        show_default=True,
        help="Seconds to retry the request and to wait for the result.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Print JSON lines."),
)


def control_command(run: Callable[..., Coroutine[Any, Any, None]]) -> Callable:
    """Add the options for access to the control replicas to a command."""
    return _add_options(run, (_CONTROL_OPTION, *_COMMON_OPTIONS))


def entry_command(run: Callable[..., Coroutine[Any, Any, None]]) -> Callable:
    """Add the options for access to the entry hosts to a command."""
    return _add_options(run, (_ENTRY_OPTION, *_COMMON_OPTIONS))


def exit_with(error: IbisheadError, as_json: bool) -> None:
    """Print an error, and exit with the corresponding code.

    :param as_json: whether to print JSON to standard output instead of text to
        standard error.
    """
    if as_json:
        details = {
            "code": error.code.value,
            "message": error.message,
            "remedy": error.remedy,
        }
        click.echo(msgspec.json.encode({"error": details}).decode())
    else:
        click.echo(f"error: {error.message}\nremedy: {error.remedy}", err=True)
        if error.retry_after is not None:
            click.echo(f"retry after: {error.retry_after.seconds} s", err=True)
    sys.exit(find_exit_code(error))


def find_exit_code(error: IbisheadError) -> ExitCode:
    """Return the exit code of a command that failed with an error."""
    match error:
        case NotInForce():
            return ExitCode.NOT_IN_FORCE
        case Conflict():
            return ExitCode.CONFLICT
        case LinkLost() | Unavailable() | OutcomeUnknown():
            return ExitCode.UNREACHABLE
        case SettingsFault():
            return ExitCode.USAGE
    return ExitCode.REFUSED


def _add_options(
    run: Callable[..., Coroutine[Any, Any, None]], options: tuple[Callable, ...]
) -> Callable:
    @functools.wraps(run)
    def wrapped(
        servers: tuple[Endpoint, ...],
        key_file: Path | None,
        ca: Path | None,
        timeout: float,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        try:
            client = HttpClient(
                servers=servers,
                clock=SystemClock(),
                key=_read_key(key_file) if key_file else "",
                tls=make_operator_context(ca) if ca else None,
                timeout=timeout,
            )
            asyncio.run(run(Command(client, as_json), **arguments))
        except IbisheadError as error:
            exit_with(error, as_json)

    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def _read_key(path: Path) -> str:
    try:
        key = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        key = ""
    if not key or not key.isprintable() or " " in key:
        # The message omits the content, which may be a key with one invalid character
        raise SettingsFault(
            f"{path} contains no valid key",
            "write the key as one line of ASCII without spaces",
        )
    return key
