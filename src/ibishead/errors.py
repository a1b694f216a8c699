"""Exception classes with error codes; each message includes a remedy.

The class determines the HTTP status. The code tells callers and operators the cause
and, for requests, whether the request may have run.
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
    """All error codes, as sent to callers and operators and written to logs."""

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
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    NO_TARGET = "no_target"
    PROMPT_BLOCKED = "prompt_blocked"
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
    """The base class of all errors.

    :param message: a description of the problem.
    :param remedy: what the reader can do about it.
    :param code: replaces the default code of the class.
    :param retry_after: the delay before a retry, for refused requests.
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
    """The input is malformed or invalid; it had no effect."""

    code = ErrorCode.INVALID_INPUT
    status = 400


class Unauthorized(IbisheadError):
    """The API key is missing or unknown."""

    code = ErrorCode.UNAUTHORIZED
    status = 401


class Forbidden(IbisheadError):
    """The API key is valid but lacks permission for the operation."""

    code = ErrorCode.FORBIDDEN
    status = 403


class NotFound(IbisheadError):
    """The named resource doesn't exist."""

    code = ErrorCode.NOT_FOUND
    status = 404


class Conflict(IbisheadError):
    """The input conflicts with what was accepted earlier."""

    code = ErrorCode.REVISION_CONFLICT
    status = 409


class TooLarge(IbisheadError):
    """The input exceeds a size limit."""

    code = ErrorCode.BODY_TOO_LARGE
    status = 413


class Refused(IbisheadError):
    """The request was not run; it may be retried after ``retry_after``."""

    code = ErrorCode.OVERLOADED
    status = 429


class Unavailable(IbisheadError):
    """A component that the request needs is unreachable; the request was not run."""

    code = ErrorCode.NO_TARGET
    status = 503


class OutcomeUnknown(IbisheadError):
    """The request may or may not have run; this can't be determined."""

    code = ErrorCode.OUTCOME_UNKNOWN
    status = 502


class LinkLost(IbisheadError):
    """The link to another program was closed or timed out."""

    code = ErrorCode.LINK_LOST
    status = 503


class SettingsFault(IbisheadError):
    """The settings are invalid; the message lists all faults."""

    code = ErrorCode.SETTINGS_INVALID


class StorageFault(IbisheadError):
    """The data directory is damaged or can't be written."""

    code = ErrorCode.STORAGE_DAMAGED
