"""Calls to the platform's targets, and what their answers mean."""

import math

from ibishead.gateway.calls import Call, SendParameters, TargetHead, TargetLoad
from ibishead.headers import Headers, drop_hop_by_hop, find_header

__all__ = ["PlatformTargets"]

#: Most urgent and least urgent rank on the wire.
_RANKS = range(10)


class PlatformTargets:
    """Makes headers of sends and reads heads of answers."""

    def make_headers(self, call: Call, sending: SendParameters) -> Headers:
        """Return the headers with which a call goes to a target."""
        left = max(1, int(sending.remaining * 1000))
        own = [
            ("host", call.hostname),
            ("request-id", call.request),
            ("deadline-ms", str(left)),
            ("expect-instance", sending.target),
        ]
        if call.model:
            rank = min(max(sending.rank, _RANKS[0]), _RANKS[-1])
            own.append(("request-priority", str(rank)))
        if sending.resume_after is not None:
            own.append(("last-event-id", sending.resume_after))
        return (*own, *call.headers)

    def read_head(self, call: Call, status: int, headers: Headers) -> TargetHead:
        """Return what status and headers of an answer mean."""
        echoed = find_header(headers, "request-id")
        stamped = find_header(headers, "response-stamp") is not None
        # a target that is another one, or lacks the weights, runs nothing
        misdirected = status == 421
        return TargetHead(
            status,
            drop_hop_by_hop(headers),
            not_run=misdirected or find_header(headers, "not-executed") is not None,
            genuine=stamped and echoed == call.request,
            misdirected=misdirected,
            encoded=find_header(headers, "content-encoding") is not None,
            load=_read_load(find_header(headers, "server-load")),
            idle_time=_read_idle(find_header(headers, "keep-alive")),
            rate_limit=_read_rate(find_header(headers, "server-limit")),
        )


def _read_load(text: str | None) -> TargetLoad | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)


def _read_idle(text: str | None) -> float | None:
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def _read_rate(text: str | None) -> float | None:
    try:
        rate = float(text or "")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
