"""Logs as JSON lines on standard error.

Additional fields come from ``extra``: ``request``, ``stage``, ``decision``, ``reason``
and any others that the caller passes. API keys and other secrets are redacted.
"""

import json
import logging
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec

from ibishead.ids import HostId
from ibishead.settingsfile import LogLevel

__all__ = ["JsonFormatter", "RedactingFilter", "set_up_logging"]

#: Replaces the value of a secret field.
REDACTED = "(redacted)"

_SECRET_FIELDS = frozenset(
    {
        "authorization",
        "proxy-authorization",
        "api-key",
        "api_key",
        "x-api-key",
        "cookie",
        "set-cookie",
        "key",
        "key_sha256",
        "password",
        "secret",
        "token",
    }
)
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class RedactingFilter(logging.Filter):
    """Redacts fields, and headers nested in fields, that have the name of a secret."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record's extra fields, and accept every record."""
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                setattr(record, name, _redact(name, value))
        return True


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object.

    :param constants: fields added to every line, such as program and host.
    """

    def __init__(self, constants: Mapping[str, str]) -> None:
        super().__init__()
        self._constants = dict(constants)

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **self._constants,
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                # An extra field doesn't override a standard field of the same name
                line.setdefault(name, value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        try:
            return msgspec.json.encode(line, enc_hook=str).decode()
        except (ValueError, TypeError, RecursionError):
            # A value that JSON can't represent, such as a lone surrogate, must not
            # cause the line to be lost, so all values are written as strings
            return json.dumps({name: str(value) for name, value in line.items()})


def set_up_logging(
    level: LogLevel,
    program: str,
    host: HostId,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Send all logs of the process to one handler, and remove earlier handlers.

    :param level: the lowest severity that is logged.
    :param program: the name of the program, a field of every line.
    :param host: the host of the program, a field of every line.
    :param stream: the output of the default handler, which blocks while the stream
        does; standard error if not given.
    :param handler: a handler to use instead of the default one.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter({"program": program, "host": host}))
    handler.addFilter(RedactingFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.value.upper())
    # At lower levels the library logs every handshake, which is too verbose
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def _redact(name: str, value: Any) -> Any:
    if name.lower() in _SECRET_FIELDS:
        return REDACTED
    match value:
        case dict():
            return {key: _redact(str(key), item) for key, item in value.items()}
        case (str() as key, item):
            return (key, _redact(key, item))
        case list() | tuple():
            return [_redact("", item) for item in value]
    return value
