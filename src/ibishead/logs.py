"""Logs as JSON lines on standard error.

Fields come from ``extra``: ``request``, ``stage``, ``decision``, ``reason`` and
whatever else a caller names. Keys are never written.
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

#: What stands in place of a secret.
REDACTED = "(redacted)"

_SECRET_NAMES = frozenset(
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
_OWN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class RedactingFilter(logging.Filter):
    """Replaces fields, and headers within fields, whose name says they are secret."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record's extra fields; every record passes."""
        for name, value in vars(record).items():
            if name not in _OWN_FIELDS:
                setattr(record, name, _redact(name, value))
        return True


class JsonFormatter(logging.Formatter):
    """Writes one JSON object for each record.

    :param constants: fields of every line, such as program and host.
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
            if name not in _OWN_FIELDS:
                # An extra field never hides one of the line's own
                line.setdefault(name, value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        try:
            return msgspec.json.encode(line, enc_hook=str).decode()
        except (ValueError, TypeError, RecursionError):
            # A field that is no JSON, such as half a surrogate pair, costs its shape
            # but never the line
            return json.dumps({name: str(value) for name, value in line.items()})


def set_up_logging(
    level: LogLevel,
    program: str,
    host: HostId,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Send all logs of the process to one stream, and drop earlier handlers.

    :param stream: standard error by default.
    :param handler: writes the lines, in place of one that waits for the stream.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter({"program": program, "host": host}))
    handler.addFilter(RedactingFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.value.upper())
    # The library tells of every handshake; its warnings are enough
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def _redact(name: str, value: Any) -> Any:
    if name.lower() in _SECRET_NAMES:
        return REDACTED
    match value:
        case dict():
            return {key: _redact(str(key), item) for key, item in value.items()}
        case (str() as key, item):
            return (key, _redact(key, item))
        case list() | tuple():
            return [_redact("", item) for item in value]
    return value
