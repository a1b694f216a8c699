"""Headers of requests to the platform's targets, and of their answers."""

import math

from ibishead.gateway.calls import Call, SendParameters, TargetHead, TargetLoad
from ibishead.headers import (
    Headers,
    drop_hop_by_hop,
    find_body_framing,
    find_header,
    read_retry_after,
)
from ibishead.ids import RequestId

__all__ = ["PlatformTargets", "is_leaving", "read_load"]

#: Headers that identify a caller to the system. The key is passed to nobody, and the
#: name of the customer is set by the system.
_IDENTITY_HEADERS = frozenset({"authorization", "tenant"})

#: Range of the priority header, from most to least urgent.
_PRIORITIES = range(10)

#: Maximum digits of a figure of the load header. Longer ones are no counts of requests,
#: and conversions of thousands of digits raise an error.
_MAX_LOAD_DIGITS = 6

#: Range of a valid slowdown figure, in percent. Hosts are slowed down by a few times; a
#: host that was slowed down a hundred times would answer nothing in time.
_SLOWDOWN_PERCENTS = range(10, 10_001)


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
        # Several different ids name no request
        ids = {value for name, value in headers if name == "request-id"}
        named = ids.pop() if len(ids) == 1 else None
        echoed = named == call.request
        stamped = find_header(headers, "response-stamp") is not None
        # 421: another target listens here now, or it lacks the weights; it ran nothing
        misdirected = status == 421
        refused = misdirected or find_header(headers, "not-executed") is not None
        return TargetHead(
            status,
            drop_hop_by_hop(headers),
            genuine=stamped and echoed,
            framing=find_body_framing(headers),
            echoed=echoed,
            refused=refused,
            named=RequestId(named) if named is not None else None,
            misdirected=misdirected,
            encoded=find_header(headers, "content-encoding") is not None,
            load=read_load(headers),
            idle_time=_read_idle_timeout(find_header(headers, "keep-alive")),
            rate_limit=_read_rate_limit(find_header(headers, "server-limit")),
            retry_after=read_retry_after(headers),
            leaving=is_leaving(headers),
        )


def is_leaving(headers: Headers) -> bool:
    """Return whether an answer says that its target will end soon."""
    return find_header(headers, "server-leaving") == "1"


def read_load(headers: Headers) -> TargetLoad | None:
    """Return the load that an answer reports, or ``None`` if it reports none.

    An invalid slowdown is ignored, as the other figures are still valid.
    """
    figures = (find_header(headers, "server-load") or "").split(",")
    counts = [_read_figure(figure) for figure in figures[:3]]
    if len(counts) < 3:
        return None
    running, waiting, slots = counts
    if running is None or waiting is None or slots is None:
        return None
    if len(figures) < 4 or not figures[3].strip():
        return TargetLoad(running, waiting, slots)
    percent = _read_figure(figures[3])
    if percent is None or percent not in _SLOWDOWN_PERCENTS:
        return TargetLoad(running, waiting, slots, invalid_slowdown=True)
    return TargetLoad(running, waiting, slots, percent / 100)


def _read_figure(text: str) -> int | None:
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= _MAX_LOAD_DIGITS):
        return None
    return int(digits)


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
