"""Errors as typed kinds with codes; each message names the remedy.

A code decides the HTTP status and, for requests, what is known of the run.
"""

from datetime import timedelta
from enum import Enum

__all__ = [
    "Conflict",
    "ErrorCode",
    "Forbidden",
    "IbisheadError",
    "InvalidInput",
    "LinkLost",
    "NotFound",
    "OutcomeUnknown",
    "Refused",
    "SettingsFault",
    "StorageFault",
    "TooLarge",
    "Unauthorized",
    "Unavailable",
]


class ErrorCode(Enum):
    """Every code that a caller, an operator or a log line can show."""

    INVALID_INPUT = "invalid_input"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_TARGET = "unknown_target"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_REUSED = "key_reused"
    KEY_REQUIRED = "key_required"
    IN_PROGRESS = "in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    REVISION_CONFLICT = "revision_conflict"
    DOCUMENT_INVALID = "document_invalid"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    NO_TARGET = "no_target"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    STALE_REVISION = "stale_revision"
    STALE_INCARNATION = "stale_incarnation"
    NEVER_RECEIVED = "never_received"
    CANCELLED = "cancelled"
    LOAD_FAILED = "load_failed"
    TARGET_FAILED = "target_failed"
    TARGET_RESTARTED = "target_restarted"
    LINK_LOST = "link_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SETTINGS_INVALID = "settings_invalid"
    STORAGE_DAMAGED = "storage_damaged"
    STORAGE_FULL = "storage_full"
    STORAGE_LOCKED = "storage_locked"
    INTERNAL = "internal"


class IbisheadError(Exception):
    """The root of all kinds.

    :param message: what went wrong.
    :param remedy: what the reader can do about it.
    :param code: overrides the kind's own code.
    :param retry_after: when to come back, for refusals.
    """

    code = ErrorCode.INTERNAL
    status = 500

    def __init__(
        self,
        message: str,
        remedy: str,
        *,
        code: ErrorCode | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
        self.retry_after = retry_after
        if code is not None:
            self.code = code


class InvalidInput(IbisheadError):
    """The input can't be understood; nothing was done with it."""

    code = ErrorCode.INVALID_INPUT
    status = 400


class Unauthorized(IbisheadError):
    """The key is missing or belongs to nobody."""

    code = ErrorCode.UNAUTHORIZED
    status = 401


class Forbidden(IbisheadError):
    """The key is known but doesn't reach this far."""

    code = ErrorCode.FORBIDDEN
    status = 403


class NotFound(IbisheadError):
    """The named thing doesn't exist."""

    code = ErrorCode.NOT_FOUND
    status = 404


class Conflict(IbisheadError):
    """The input contradicts what was accepted before."""

    code = ErrorCode.REVISION_CONFLICT
    status = 409


class TooLarge(IbisheadError):
    """The input exceeds a limit."""

    code = ErrorCode.BODY_TOO_LARGE
    status = 413


class Refused(IbisheadError):
    """The request was not run; it may be sent again after ``retry_after``."""

    code = ErrorCode.OVERLOADED
    status = 429


class Unavailable(IbisheadError):
    """A part that the request needs can't be reached; it was not run."""

    code = ErrorCode.NO_TARGET
    status = 503


class OutcomeUnknown(IbisheadError):
    """The request may have run; nobody can tell."""

    code = ErrorCode.OUTCOME_UNKNOWN
    status = 502


class LinkLost(IbisheadError):
    """The link to another program closed or went silent."""

    code = ErrorCode.LINK_LOST
    status = 503


class SettingsFault(IbisheadError):
    """Settings with one or more faults, all of them in the message."""

    code = ErrorCode.SETTINGS_INVALID


class StorageFault(IbisheadError):
    """The data folder can't be trusted or written."""

    code = ErrorCode.STORAGE_DAMAGED
