"""Accounts of customers' quotas at the program that keeps them for all gateways.

Load: a customer sends several times its usual requests, through some of many gateways,
while the load balancer spreads callers unevenly. Gateways that each enforced a part of
the quota would refuse requests below it, as a part can't follow its callers. So one
program charges every request, at the moment at which it arrives.

Only one program may do so at a time. A program's accounts are credited only for time in
which it was certain to be the one, and start empty. The certain times of two programs
never overlap, so that in any period all charges together stay below the quota's rate
times the period plus its burst.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ibishead.ids import CustomerId
from ibishead.routing.customers import Quota

__all__ = ["Leadership", "QuotaAccounts", "Tolerance", "Verdict"]

#: Minimum size of an account in seconds of its rate, for quotas without a burst.
MIN_BURST_SECONDS = 0.1

#: Share of the excess of the rate that is used for charges which wait to be sent. The
#: rest is for initial credits.
LIFETIME_SHARE = 0.5

#: Share of the slack that is used for initial credits. The rest is for the last request
#: that each keeper grants, which may cost more than the balance.
CREDIT_SLACK_SHARE = 0.5

#: Maximum time in seconds since the program was last certain to keep the accounts, for
#: it to charge requests. A program that was suspended must not use its balances.
MAX_CERTAINTY_AGE_SECONDS = 0.7


@dataclass(frozen=True)
class Tolerance:
    """By how much the requests sent in a window may exceed the quotas.

    :param window: seconds of a window.
    :param overage: permitted excess, as a share of what the quota allows in a window.
    :param slack: permitted excess on top, in the unit of the quota.
    """

    window: float
    overage: float
    slack: float = 0.0

    @property
    def charge_lifetime(self) -> float:
        """Seconds for which a charge covers a request that has not been sent.

        Requests that are sent in a window were charged in it or in one lifetime before.
        """
        return LIFETIME_SHARE * self.window * self.overage

    def compute_credit(self, quota: Quota) -> float:
        """Return the units that a new keeper of the accounts may credit at once."""
        excess_of_rate = (1.0 - LIFETIME_SHARE) * self.window * quota.rate
        return (
            self.overage * (excess_of_rate + quota.burst)
            + CREDIT_SLACK_SHARE * self.slack
        )


@dataclass
class Leadership:
    """Leaders of the log as one replica saw them, to bound initial credits.

    While no leader is known, requests wait at the gateways. The initial credit lets
    them pass when the next one takes over. It is given at most once in a window: only
    to a leader that directly follows one that has led for longer than a window.

    :param term: the latest term whose leader was seen.
    :param seen_at: monotonic seconds at which that leader was first seen.
    """

    term: int = 0
    seen_at: float = 0.0

    def record(self, term: int, now: float) -> None:
        """Record the current term of a known leader."""
        if term != self.term:
            self.term, self.seen_at = term, now

    def allows_credit(self, term: int, now: float, window: float) -> bool:
        """Return whether the leader of a new term may credit its accounts at once."""
        return self.term > 0 and term == self.term + 1 and now - self.seen_at > window


@dataclass(frozen=True)
class Verdict:
    """Whether a request is within its customer's quota.

    :param wait: seconds until the quota admits the request, if it was refused.
    :param balance: units that the customer may use at once, negative if it has used
        more; ``None`` if it has no quota.
    """

    granted: bool
    wait: float = 0.0
    balance: float | None = None


@dataclass
class _Account:
    """Balance of one customer in the unit of its quota.

    It may become negative by one request, since a request can cost more than the burst.
    """

    quota: Quota
    balance: float = 0.0

    @property
    def size(self) -> float:
        return max(self.quota.burst, MIN_BURST_SECONDS * self.quota.rate)

    def credit(self, units: float) -> None:
        self.balance = min(self.size, self.balance + units)


def _give_no_credit(quota: Quota) -> float:
    return 0.0


class QuotaAccounts:
    """Token buckets of all customers with a quota.

    :param now: monotonic seconds from which this program keeps the accounts.
    :param compute_credit: returns the units that an account holds at first, see
        `Tolerance.compute_credit`.
    """

    def __init__(
        self, now: float, compute_credit: Callable[[Quota], float] = _give_no_credit
    ) -> None:
        self._accounts: dict[CustomerId, _Account] = {}
        self._credited_until = now
        self._compute_credit = compute_credit

    def set_quotas(self, quotas: Mapping[CustomerId, Quota]) -> None:
        """Replace the quotas; customers whose quota changes keep their balance."""
        accounts = {}
        for name, quota in quotas.items():
            account = self._accounts.get(name)
            if account is None:
                account = _Account(quota, self._compute_credit(quota))
            account.quota = quota
            account.credit(0.0)
            accounts[name] = account
        self._accounts = accounts
        # a customer that is removed and added again gets no second credit
        self._compute_credit = _give_no_credit

    def advance(self, certain_until: float) -> None:
        """Credit all accounts for the time up to a moment.

        :param certain_until: monotonic seconds up to which it is certain that no other
            program has kept the accounts.
        """
        seconds = certain_until - self._credited_until
        if seconds <= 0:
            return
        self._credited_until = certain_until
        for account in self._accounts.values():
            account.credit(seconds * account.quota.rate)

    def is_certain(self, now: float) -> bool:
        """Return whether requests may be charged."""
        return now - self._credited_until <= MAX_CERTAINTY_AGE_SECONDS

    def charge(self, customer: CustomerId, cost: float) -> Verdict:
        """Charge a request, or refuse it if the balance is used up.

        A customer that has no quota any more is not charged.
        """
        account = self._accounts.get(customer)
        if account is None:
            return Verdict(True)
        if account.balance <= 0:
            missing = cost - account.balance
            return Verdict(False, missing / account.quota.rate, account.balance)
        account.balance -= cost
        return Verdict(True, balance=account.balance)

    def list_balances(self) -> dict[CustomerId, float]:
        """Return the balance of each customer."""
        return {name: account.balance for name, account in self._accounts.items()}

    def add_balances(self, balances: Mapping[CustomerId, float]) -> None:
        """Add balances that another program has handed over and uses no more."""
        for name, balance in balances.items():
            if name in self._accounts:
                self._accounts[name].credit(balance)

    def give_back(self, customer: CustomerId, cost: float) -> None:
        """Return the charge of a request that has not run."""
        account = self._accounts.get(customer)
        if account is not None:
            account.credit(cost)
