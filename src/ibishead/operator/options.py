"""Options that the commands share, how they print and what they exit with."""

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

#: Seconds that a command asks and waits by default.
DEFAULT_PATIENCE = 30.0


class ExitCode(IntEnum):
    """What the shell sees; part of the interface, see docs/OPERATIONS.md."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


class NotInForce(IbisheadError):
    """A change is accepted, but some hosts haven't applied it yet."""


@dataclass(frozen=True)
class Command:
    """What one run of a command works with.

    :param json: print JSON, one object a line, instead of text.
    """

    client: HttpClient
    json: bool

    def show(self, value: Any, text: str) -> None:
        """Print a value as JSON, or its text."""
        click.echo(msgspec.json.encode(value).decode() if self.json else text)

    def note(self, text: str) -> None:
        """Print progress where it doesn't mix with the result."""
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


_CONTROL = click.option(
    "--control",
    "servers",
    type=_EndpointType(),
    multiple=True,
    required=True,
    envvar="IBISHEAD_CONTROL",
    help="Operators' port of a control replica; several are tried in turn.",
)
_ENTRY = click.option(
    "--entry",
    "servers",
    type=_EndpointType(),
    multiple=True,
    required=True,
    envvar="IBISHEAD_ENTRY",
    help="Operators' port of an entry host; all are asked.",
)
_COMMON = (
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
        help="Use TLS, and trust this authority (PEM).",
    ),
    click.option(
        "--timeout",
        type=click.FloatRange(0.1, 3600.0),
        default=DEFAULT_PATIENCE,
        show_default=True,
        help="Seconds to ask and to wait.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Print JSON lines."),
)


def control_command(run: Callable[..., Coroutine[Any, Any, None]]) -> Callable:
    """Give a command the options that reach the control replicas."""
    return _add_options(run, (_CONTROL, *_COMMON))


def entry_command(run: Callable[..., Coroutine[Any, Any, None]]) -> Callable:
    """Give a command the options that reach the entry hosts."""
    return _add_options(run, (_ENTRY, *_COMMON))


def exit_with(error: IbisheadError, as_json: bool) -> None:
    """Show an error and end with the code that belongs to it."""
    if as_json:
        shown = {
            "code": error.code.value,
            "message": error.message,
            "remedy": error.remedy,
        }
        click.echo(msgspec.json.encode({"error": shown}).decode())
    else:
        click.echo(f"error: {error.message}\nremedy: {error.remedy}", err=True)
        if error.retry_after is not None:
            click.echo(f"come back in: {error.retry_after.seconds} s", err=True)
    sys.exit(find_exit_code(error))


def find_exit_code(error: IbisheadError) -> ExitCode:
    """Return what a command that failed with an error exits with."""
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
                patience=timeout,
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
        # The content is not shown: it may be a key with one bad character
        raise SettingsFault(
            f"{path} holds no key", "write the key as one line of ASCII without spaces"
        )
    return key
