"""How long a request is held at a host that doesn't know yet where it may go.

After a fall of many hosts routes and targets are learned within moments of the first
election. A caller who is refused before that comes back once or twice and is then lost,
so he is held for a part of the time that he can wait.
"""

__all__ = ["expect_routes", "find_hold"]

#: Seconds for which a request is held: a share of what its caller can still wait, at
#: least and at most.
HOLD_SHARE = 0.15
HOLD_LEAST = 0.5
HOLD_MOST = 2.0

#: Seconds after which a caller may come back, at least and at most.
RETURN_LEAST = 0.5
RETURN_MOST = 4.0


def find_hold(patience: float | None) -> float:
    """Return the seconds for which a request is held.

    :param patience: seconds that the caller still waits, none where it doesn't say.
    """
    share = HOLD_SHARE * (patience or 0.0)
    return min(HOLD_MOST, max(HOLD_LEAST, share))


def expect_routes(waited: float) -> float:
    """Return the seconds after which routes are likely known.

    Nobody knows how long a quorum will take; it takes about as long as it has taken.

    :param waited: seconds since this host began without routes.
    """
    return min(RETURN_MOST, max(RETURN_LEAST, waited))
