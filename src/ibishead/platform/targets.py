"""Headers of requests to the platform's targets, and of their answers."""

import math

from ibishead.gateway.calls import Call, SendParameters, TargetHead, TargetLoad
from ibishead.headers import (
    Headers,
    drop_hop_by_hop,
    find_header,
    read_retry_after,
)

__all__ = ["PlatformTargets", "is_leaving"]

#: Headers that identify a caller to the system. The key is passed to nobody, and the
#: name of the customer is set by the system.
_IDENTITY_HEADERS = frozenset({"authorization", "tenant"})

#: Range of the priority header, from most to least urgent.
_PRIORITIES = range(10)


class PlatformTargets:
    """The targets' side of the platform's HTTP protocol."""

    def make_headers(self, call: Call, sending: SendParameters) -> Headers:
        """Return the headers with which a call is sent to a target."""
        remaining_ms = max(1, int(sending.remaining * 1000))
        headers = [
            ("host", call.hostname),
            ("request-id", call.request),
            ("deadline-ms", str(remaining_ms)),
            ("expect-instance", sending.target),
        ]
        if call.model:
            priority = min(max(sending.rank, _PRIORITIES[0]), _PRIORITIES[-1])
            headers.append(("request-priority", str(priority)))
        if sending.resume_after is not None:
            headers.append(("last-event-id", sending.resume_after))
        if sending.customer is not None:
            headers.append(("tenant", sending.customer))
        withheld = _IDENTITY_HEADERS if sending.has_customers else frozenset[str]()
        forwarded = (pair for pair in call.headers if pair[0] not in withheld)
        return (*headers, *forwarded)

    def read_head(self, call: Call, status: int, headers: Headers) -> TargetHead:
        """Return the meaning of an answer's status and headers."""
        echoed = find_header(headers, "request-id") == call.request
        stamped = find_header(headers, "response-stamp") is not None
        # 421: another target listens here now, or it lacks the weights; it ran nothing
        misdirected = status == 421
        return TargetHead(
            status,
            drop_hop_by_hop(headers),
            not_run=misdirected or find_header(headers, "not-executed") is not None,
            genuine=stamped and echoed,
            echoed=echoed,
            misdirected=misdirected,
            encoded=find_header(headers, "content-encoding") is not None,
            load=_read_load(find_header(headers, "server-load")),
            idle_time=_read_idle_timeout(find_header(headers, "keep-alive")),
            rate_limit=_read_rate_limit(find_header(headers, "server-limit")),
            retry_after=read_retry_after(headers),
            leaving=is_leaving(headers),
        )


def is_leaving(headers: Headers) -> bool:
    """Return whether an answer says that its target will end soon."""
    return find_header(headers, "server-leaving") == "1"


def _read_load(text: str | None) -> TargetLoad | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)


def _read_idle_timeout(text: str | None) -> float | None:
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def _read_rate_limit(text: str | None) -> float | None:
    try:
        rate = float(text or "")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
