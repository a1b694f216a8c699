"""Decides whether a failed attempt is followed by another one."""

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

#: Maximum attempts of one request that reached a target, including the first. More
#: attempts only spread an overload.
MAX_ATTEMPTS = 3

#: Maximum attempts of one request that were lost before a target received them.
MAX_LOST_ATTEMPTS = 4


@dataclass(frozen=True)
class AttemptEnd:
    """How an attempt ended.

    :param attempt: number of attempts that reached a target, including this one.
    :param remaining: seconds until the request's deadline.
    :param delivered: part of the answer was sent to the caller.
    :param not_received: the target never received the attempt, so another one adds no
        load.
    :param lost: number of attempts that no target received, including this one.
    """

    outcome: Outcome
    attempt: int
    idempotent: bool
    remaining: float
    delivered: bool = False
    not_received: bool = False
    lost: int = 0


@dataclass(frozen=True)
class RetryElsewhere:
    """Send the request to another target."""

    reason: str


@dataclass(frozen=True)
class GiveUp:
    """Report the failure to the caller.

    :param retry_after: seconds after which the caller may retry.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True)
class BudgetShare:
    """Retries to one service allowed to all gateways together.

    :param ratio: allowed retries as a share of the service's requests.
    :param slack: retries allowed in addition, in any window.
    """

    ratio: float = 0.2
    slack: float = 50.0


class RetryBudget:
    """Limits retries to a fraction of first attempts, so that they amplify no failure.

    Without a budget, all requests that fail at one target are sent to the others, which
    may then fail as well.

    :param ratio: retries earned by each first attempt.
    :param burst: retries that may accumulate, about one target's batch.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Use one retry, and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def decide_retry(
    end: AttemptEnd, budget: RetryBudget, retry_after: float
) -> RetryElsewhere | GiveUp:
    """Decide what follows a failed attempt.

    A request that may have run is repeated only if it is idempotent. Otherwise the
    failure is reported immediately, with a retry delay.

    :param retry_after: seconds to report to the caller if the request is not repeated.
    """
    repeatable = end.outcome is Outcome.NOT_RUN or end.idempotent
    if not repeatable or end.delivered:
        return GiveUp("request must not run twice", retry_after)
    exhausted = end.attempt >= MAX_ATTEMPTS or end.lost >= MAX_LOST_ATTEMPTS
    if exhausted or end.remaining <= 0:
        return GiveUp("no attempts or no time left", retry_after)
    # An attempt that no target received adds no load beyond that of the first attempt.
    if not end.not_received and not budget.take():
        return GiveUp("retry budget is exhausted", retry_after)
    return RetryElsewhere(end.outcome.value)
