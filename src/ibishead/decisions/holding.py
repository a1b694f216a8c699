"""How long a host that has no routes yet holds a request.

After an outage of many hosts, routes and targets are learned shortly after the first
election. A caller that is rejected before then retries once or twice and then gives up,
so requests are held for part of the time that their callers can wait.
"""

__all__ = ["compute_hold", "estimate_route_wait"]

#: Time for which a request is held: a share of the caller's remaining time, within a
#: minimum and a maximum in seconds.
HOLD_SHARE = 0.15
MIN_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 2.0

#: Minimum and maximum retry delay sent to a rejected caller.
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 4.0


def compute_hold(remaining: float | None) -> float:
    """Return the seconds for which to hold a request.

    :param remaining: seconds until the caller gives up, ``None`` if it does not say.
    """
    share = HOLD_SHARE * (remaining or 0.0)
    return min(MAX_HOLD_SECONDS, max(MIN_HOLD_SECONDS, share))


def estimate_route_wait(waited: float) -> float:
    """Return the estimated seconds until routes are known.

    The time until a quorum forms is unknown; the best estimate is that it takes as much
    time again as has passed.

    :param waited: seconds since this host started without routes.
    """
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, waited))
