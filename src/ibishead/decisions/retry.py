"""Whether an attempt that ended badly is followed by another."""

from dataclasses import dataclass

from ibishead.messages import Outcome

__all__ = [
    "AttemptEnd",
    "BudgetShare",
    "GiveUp",
    "RetryBudget",
    "RetryElsewhere",
    "decide_retry",
]

#: Attempts of one request that reached a target, the first included; more only spread
#: an overload.
MAX_ATTEMPTS = 3

#: Attempts of one request that were lost before a target got them.
MAX_UNSEEN = 4


@dataclass(frozen=True)
class AttemptEnd:
    """How an attempt ended before any byte of it reached the caller.

    :param attempt: attempts so far that reached a target, this one included.
    :param remaining: seconds left until the request's deadline.
    :param unseen: the target never got it, so another attempt loads nothing twice.
    :param lost: attempts so far that no target got, this one included.
    """

    outcome: Outcome
    attempt: int
    idempotent: bool
    remaining: float
    delivered: bool = False
    unseen: bool = False
    lost: int = 0


@dataclass(frozen=True)
class RetryElsewhere:
    """Try another target."""

    reason: str


@dataclass(frozen=True)
class GiveUp:
    """Tell the caller now.

    :param retry_after: seconds after which the caller may come back.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True)
class BudgetShare:
    """What all gateways together may send again to one service.

    :param ratio: of the requests for it.
    :param slack: beyond that, in any window.
    """

    ratio: float = 0.2
    slack: float = 50.0


class RetryBudget:
    """Lets retries be a fraction of first attempts, so that none amplify a failure.

    Without a budget all that failed at one target is sent again to the others, which
    may then fail as well.

    :param ratio: retries that each first attempt earns.
    :param burst: retries that may be saved up, about one target's batch.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_attempt(self) -> None:
        """Earn a fraction of a retry with each first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry, and return whether there was one to spend."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def decide_retry(
    end: AttemptEnd, budget: RetryBudget, retry_after: float
) -> RetryElsewhere | GiveUp:
    """Decide what follows an attempt.

    A request that may have run is sent again only where it is idempotent. What is given
    up is answered at once, with the time to come back.

    :param retry_after: seconds to tell the caller when it is given up.
    """
    repeatable = end.outcome is Outcome.NOT_RUN or end.idempotent
    if not repeatable or end.delivered:
        return GiveUp("may not run twice", retry_after)
    spent = end.attempt >= MAX_ATTEMPTS or end.lost >= MAX_UNSEEN
    if spent or end.remaining <= 0:
        return GiveUp("no attempt left before the deadline", retry_after)
    # What no target has seen brings no more load than the first attempt would have.
    if not end.unseen and not budget.take():
        return GiveUp("retry budget is spent", retry_after)
    return RetryElsewhere(end.outcome.value)
