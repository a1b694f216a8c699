"""Limits of messages, checks of requests, and the errors that reject them."""

import re
from http import HTTPStatus

import h11

from ibishead.errors import ErrorCode, IbisheadError, InvalidInput, TooLarge

__all__ = [
    "MAX_EVENTS_PER_TURN",
    "MAX_INTERIM_RESPONSES",
    "check_framing",
    "check_head_size",
    "check_line_ends",
    "check_response_head",
    "check_version",
    "convert_protocol_error",
    "make_body_too_large_error",
    "make_timeout_error",
]

#: Events that a client parses before other tasks of the event loop get a turn. One read
#: may hold tens of thousands of one-byte chunks.
MAX_EVENTS_PER_TURN = 64

#: Interim responses (1xx) that a server may send before its response.
MAX_INTERIM_RESPONSES = 10

#: Bytes of a header line besides name and value; significant with many short headers.
_HEADER_OVERHEAD = len(": \r\n")

#: Highest valid status code (RFC 9110, section 15).
_MAX_STATUS = 599

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def check_version(head: h11.Request) -> None:
    """Reject other major versions, whose message format differs.

    h11 accepts any digit.

    :raises InvalidInput: the status is 505.
    """
    if not head.http_version.startswith(b"1."):
        error = InvalidInput("unsupported HTTP version", "send HTTP/1.1 (RFC 9112)")
        error.status = HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
        raise error


def check_framing(head: h11.Request) -> None:
    """Reject a request that states the length of its body in two ways.

    Request smuggling: another server in the chain may find the end of the body by the
    other header, and take a part of the body for a request.

    :raises InvalidInput: both headers are present.
    """
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise InvalidInput(
            "content-length and transfer-encoding together", "send only one of them"
        )


def check_line_ends(data: bytes) -> None:
    """Reject received bytes whose header lines end with a bare line feed.

    Request smuggling: h11 ends a line there, and stricter servers do not. The two would
    see different headers, or only one of them a second request.

    :raises InvalidInput: there is such a line before the end of the headers.
    """
    end = data.find(b"\r\n\r\n")
    head = data if end < 0 else data[:end]
    if head.count(b"\n") != head.count(b"\r\n"):
        raise InvalidInput(
            "bare line feed in the headers", "end header lines with CR LF"
        )


def check_response_head(head: h11.Response | h11.InformationalResponse) -> None:
    """Reject a head that isn't one of HTTP/1.1, or is made of two.

    h11 accepts any three digits from 100 on and any version. A status above 599 is
    invalid (RFC 9110, section 15), and other major versions have other formats. Where a
    head was cut inside a line, with another one behind it, the status and the first
    headers would be taken for those of the second response.

    :raises h11.RemoteProtocolError: the status line is invalid, or the reason or a
        header holds a status line.
    """
    if not head.http_version.startswith(b"1."):
        raise h11.RemoteProtocolError("unsupported HTTP version in a status line")
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError("invalid status code")
    texts = (head.reason, *(value for _, value in head.headers))
    if any(map(_STATUS_LINE.search, texts)):
        raise h11.RemoteProtocolError("status line inside another line of a head")


def check_head_size(head: h11.Request, max_bytes: int) -> None:
    """Reject a head that is too large although it arrived in one read.

    h11 limits incomplete heads only.

    :raises TooLarge: request target and headers together exceed the limit.
    """
    size = len(head.target)
    size += sum(len(k) + len(v) + _HEADER_OVERHEAD for k, v in head.headers)
    if size > max_bytes:
        raise _make_headers_too_large_error()


def convert_protocol_error(error: h11.RemoteProtocolError) -> IbisheadError:
    """Return the error to answer for what h11 could not parse.

    The details of h11's message are left out, as they quote the request, which may
    contain a key.
    """
    if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return _make_headers_too_large_error()
    fault = str(error).partition(":")[0]
    return InvalidInput(f"invalid HTTP: {fault}", "send HTTP/1.1 (RFC 9112)")


def _make_headers_too_large_error() -> IbisheadError:
    error = TooLarge(
        "the headers are too large",
        "send fewer or shorter headers",
        code=ErrorCode.HEADERS_TOO_LARGE,
    )
    error.status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return error


def make_timeout_error() -> IbisheadError:
    """Return the error for a request that arrived too slowly."""
    error = InvalidInput(
        "the request was not received in time",
        "send the request faster or split it into smaller ones",
        code=ErrorCode.REQUEST_TIMEOUT,
    )
    error.status = HTTPStatus.REQUEST_TIMEOUT
    return error


def make_body_too_large_error(max_bytes: int) -> IbisheadError:
    """Return the error for a body that exceeds a number of bytes."""
    return TooLarge(
        f"the request body exceeds {max_bytes} bytes", "send a smaller body"
    )
