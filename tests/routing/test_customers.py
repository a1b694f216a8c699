"""Keys, quotas and the validity of customers."""

import math

import pytest

from ibishead.errors import InvalidInput, Unauthorized
from ibishead.keys import hash_key
from ibishead.routing.customers import (
    Customer,
    CustomerKeys,
    Quota,
    QuotaUnit,
    check_customers,
)

LOFT = Customer("loft", (hash_key("k1"), hash_key("k2")))
CREW = Customer("crew", (hash_key("k3"),))


@pytest.mark.parametrize(
    ("key", "owner"),
    [("k1", LOFT), ("k2", LOFT), ("k3", CREW), ("k4", None), ("", None)],
)
def test_key_leads_to_its_holder(key, owner):
    assert CustomerKeys((LOFT, CREW)).find(key) == owner


@pytest.mark.parametrize(("key", "word"), [("", "missing"), ("secret", "unknown")])
def test_error_names_the_header_and_no_key(key, word):
    with pytest.raises(Unauthorized) as caught:
        CustomerKeys((LOFT,)).require(key)
    text = str(caught.value)
    assert word in text
    assert "Authorization" in text
    assert "secret" not in text


@pytest.mark.parametrize(
    ("unit", "tokens", "cost"),
    [
        (QuotaUnit.REQUESTS, 900, 1.0),
        (QuotaUnit.REQUESTS, None, 1.0),
        (QuotaUnit.TOKENS, 900, 900.0),
        (QuotaUnit.TOKENS, 0, 0.0),
        (QuotaUnit.TOKENS, None, 200.0),
    ],
)
def test_cost_of_a_request(unit, tokens, cost):
    assert Quota(unit, 1.0, 1.0, 200).cost(tokens) == cost


def limit(rate, burst, default=0):
    return Customer("c", (), None, Quota(QuotaUnit.TOKENS, rate, burst, default))


@pytest.mark.parametrize(
    "customers",
    [
        (),
        (LOFT, CREW),
        (Customer("a", ()), Customer("b", ())),
        (limit(2600.0, 0.0),),
    ],
)
def test_valid_customers(customers):
    check_customers(customers)


@pytest.mark.parametrize(
    ("customers", "named"),
    [
        ((LOFT, Customer("other", LOFT.keys[:1])), "other"),
        ((LOFT, LOFT), "loft"),
        ((Customer("", ()),), "''"),
        ((limit(-1.0, 1.0),), "'c'"),
        ((limit(1.0, -1.0),), "'c'"),
        ((limit(math.nan, 1.0),), "'c'"),
        ((limit(math.inf, 1.0),), "'c'"),
        ((limit(1.0, 1.0, -1),), "'c'"),
    ],
)
def test_invalid_customers_are_rejected_by_name(customers, named):
    with pytest.raises(InvalidInput, match=named) as caught:
        check_customers(customers)
    assert not any(digest in str(caught.value) for digest in LOFT.keys)
