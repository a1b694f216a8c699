"""Customers that share a deployment: their API keys, priorities and quotas.

Of the keys, programs know only the digests.
"""

import hmac
import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from ibishead.errors import InvalidInput, Unauthorized
from ibishead.ids import CustomerId, KeyDigest
from ibishead.keys import hash_key

__all__ = [
    "Customer",
    "CustomerKeys",
    "Quota",
    "QuotaUnit",
    "check_customers",
]


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """Limit of a customer's requests at all gateways together, as a token bucket.

    :param rate: units per second.
    :param burst: units that may be used beyond the rate after a pause.
    :param default_tokens: tokens of a request that doesn't say how many it needs.
    """

    unit: QuotaUnit
    rate: float
    burst: float
    default_tokens: int = 0

    def cost(self, tokens: int | None) -> float:
        """Return what a request costs, in the quota's unit.

        :param tokens: prompt tokens and maximum answer tokens of the request, ``None``
            if it doesn't say.
        """
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS:
                return float(self.default_tokens if tokens is None else tokens)


class Customer(msgspec.Struct, frozen=True, array_like=True):
    """A customer of the deployment.

    :param keys: digests of its API keys.
    :param rank: priority of its requests, which replaces that of their route; 0 is the
        most urgent, ``None`` keeps the route's.
    :param quota: ``None`` for no limit.
    """

    name: CustomerId
    keys: tuple[KeyDigest, ...]
    rank: int | None = None
    quota: Quota | None = None


class CustomerKeys:
    """Finds the customer that holds an API key."""

    def __init__(self, customers: Iterable[Customer]) -> None:
        self._owners = {
            digest: customer for customer in customers for digest in customer.keys
        }

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or ``None``.

        The duration of the search says nothing about the keys, as callers can't choose
        the digest that is searched for.
        """
        digest = hash_key(key)
        found = self._owners.get(digest)
        if found is None or not any(
            hmac.compare_digest(digest, known) for known in found.keys
        ):
            return None
        return found

    def require(self, key: str) -> Customer:
        """Return the customer that holds a key.

        :raises Unauthorized: the key is missing or unknown.
        """
        found = self.find(key) if key else None
        if found is None:
            raise Unauthorized(
                "the API key is unknown"
                if key
                else "the API key is missing from the Authorization header",
                "send the header Authorization with a key of the current configuration",
            )
        return found


def check_customers(customers: Iterable[Customer]) -> None:
    """Check that names and keys are unique and that quotas are valid.

    :raises InvalidInput: the message names the customer at fault, but no key.
    """
    owners: dict[KeyDigest, CustomerId] = {}
    names: set[CustomerId] = set()
    for customer in customers:
        if not customer.name:
            raise _reject(customer, "its name is empty")
        if customer.name in names:
            raise _reject(customer, "another customer has the same name")
        names.add(customer.name)
        for digest in customer.keys:
            owner = owners.setdefault(digest, customer.name)
            if owner != customer.name:
                raise _reject(customer, f"customer {owner} has the same API key")
        if customer.quota is not None:
            _check_quota(customer, customer.quota)


def _check_quota(customer: Customer, quota: Quota) -> None:
    for name, value in (("rate", quota.rate), ("burst", quota.burst)):
        if not math.isfinite(value) or value < 0:
            raise _reject(customer, f"its {name} is not a number of zero or more")
    if quota.default_tokens < 0:
        raise _reject(customer, "its default number of tokens is negative")


def _reject(customer: Customer, reason: str) -> InvalidInput:
    return InvalidInput(
        f"customer {customer.name!r}: {reason}",
        "correct the customer and resend the whole set",
    )
