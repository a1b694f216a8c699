"""HTTP headers as pairs of lower-case name and value."""

from collections.abc import Iterable
from typing import TypeAlias

__all__ = ["Headers", "drop_hop_by_hop", "find_header"]

Headers: TypeAlias = tuple[tuple[str, str], ...]

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
