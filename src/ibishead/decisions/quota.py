"""Accounts of customers' quotas at the program that keeps them for all gateways.

Load: a customer sends several times its usual requests, through some of many gateways,
while the load balancer spreads callers unevenly. Gateways that each enforced a part of
the quota would refuse requests below it, as a part can't follow its callers. So one
program charges every request, at the moment at which it arrives.

Only one program may do so at a time. A program's accounts are credited only for time in
which it was certain to be the one, and start with what the one before has handed over,
if anything. The certain times of two programs never overlap, so that in any period all
charges together stay below the quota's rate times the period plus its burst, and at
most one credit in advance.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ibishead.ids import CustomerId
from ibishead.routing.customers import Quota

__all__ = ["QuotaAccounts", "Tolerance", "Verdict"]

#: Minimum size of an account in seconds of its rate, for quotas without a burst.
MIN_BURST_SECONDS = 0.1

#: Share of the excess of the rate that is used for charges which wait to be sent. The
#: rest is for initial credits.
LIFETIME_SHARE = 0.5

#: Share of the slack that is used for initial credits. The rest is for the last request
#: that each keeper grants, which may cost more than the balance.
CREDIT_SLACK_SHARE = 0.5

#: Maximum time after which refused callers are told to return.
MAX_RETURN_SECONDS = 5.0

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

    @property
    def credit_pause(self) -> float:
        """Seconds that must pass between two credits.

        A keeper may give its credit as late as it may charge requests.
        """
        return self.window + self.charge_lifetime + MAX_CERTAINTY_AGE_SECONDS

    def compute_credit(self, quota: Quota) -> float:
        """Return the units that a new keeper of the accounts may credit at once."""
        excess_of_rate = (1.0 - LIFETIME_SHARE) * self.window * quota.rate
        return (
            self.overage * (excess_of_rate + quota.burst)
            + CREDIT_SLACK_SHARE * self.slack
        )


@dataclass(frozen=True)
class Verdict:
    """Whether a request is within its customer's quota.

    :param wait: seconds after which the request may return, if it was refused.
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

    :ivar returns_until: monotonic seconds at which the last refused caller returns.
    """

    quota: Quota
    balance: float = 0.0
    returns_until: float = 0.0

    @property
    def size(self) -> float:
        return max(self.quota.burst, MIN_BURST_SECONDS * self.quota.rate)

    def credit(self, units: float) -> None:
        self.balance = min(self.size, self.balance + units)

    def plan_return(self, cost: float, now: float) -> float:
        """Return the seconds after which a refused caller should return.

        Callers who return as soon as a single request fits again take the place of new
        ones, and both are late or refused again. So each refused caller is given the
        time that the quota needs for those before it as well.
        """
        ready_at = now + (cost - self.balance) / self.quota.rate
        planned = self.returns_until + cost / self.quota.rate
        self.returns_until = max(ready_at, min(planned, now + MAX_RETURN_SECONDS))
        return self.returns_until - now


class QuotaAccounts:
    """Token buckets of all customers with a quota.

    :param now: monotonic seconds from which this program keeps the accounts.
    """

    def __init__(self, now: float) -> None:
        self._accounts: dict[CustomerId, _Account] = {}
        self._credited_until = now

    def set_quotas(self, quotas: Mapping[CustomerId, Quota]) -> None:
        """Replace the quotas; customers whose quota changes keep their balance."""
        accounts = {}
        for name, quota in quotas.items():
            account = self._accounts.get(name)
            if account is None:
                account = _Account(quota)
            account.quota = quota
            account.credit(0.0)
            accounts[name] = account
        self._accounts = accounts

    def give_credit(self, tolerance: Tolerance) -> None:
        """Credit all accounts in advance; at most once in `Tolerance.credit_pause`."""
        for account in self._accounts.values():
            account.credit(tolerance.compute_credit(account.quota))

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
            wait = account.plan_return(cost, self._credited_until)
            return Verdict(False, wait, account.balance)
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
