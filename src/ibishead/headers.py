"""HTTP headers as pairs of lower-case name and value."""

from collections.abc import Iterable
from enum import Enum
from typing import TypeAlias

__all__ = [
    "BodyFraming",
    "Headers",
    "drop_hop_by_hop",
    "find_body_framing",
    "find_header",
    "read_retry_after",
]

Headers: TypeAlias = tuple[tuple[str, str], ...]


class BodyFraming(Enum):
    """How the end of a response's body is marked (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: The body ends with the connection, so its end doesn't show that it is complete.
    CONNECTION = "connection"


_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, `None` if there is no such header.

    :param name: name in lower case.
    """
    return next((value for key, value in headers if key == name), None)


def read_retry_after(headers: Iterable[tuple[str, str]]) -> float | None:
    """Return the seconds in a ``Retry-After`` header, which may be out of range.

    :returns: ``None`` without such a header, or if it holds no number.
    """
    text = find_header(headers, "retry-after")
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def find_body_framing(headers: Iterable[tuple[str, str]]) -> BodyFraming:
    """Return how the end of a response's body is marked.

    :param headers: headers of a response that may have a body.
    """
    names = {name for name, _ in headers}
    if "transfer-encoding" in names:
        return BodyFraming.CHUNKS
    if "content-length" in names:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


def drop_hop_by_hop(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those that apply to one connection only."""
    pairs = list(headers)
    listed = {
        part.strip().lower()
        for key, value in pairs
        if key == "connection"
        for part in value.split(",")
    }
    dropped = _HOP_BY_HOP | listed
    return tuple((key, value) for key, value in pairs if key not in dropped)
