"""Measures one choice of the next request while hundreds of requests wait.

Run with ``python -m pytest benchmarks/bench_fairshare.py``; a test fails if its bound
is exceeded. The bounds allow for a busy machine.
"""

import random

import pytest

from ibishead.decisions.fairshare import FairOrder
from ibishead.decisions.turns import Turn
from ibishead.ids import CustomerId
from ibishead.routing.work import RequestWork

#: Seconds that one choice may take for each waiting request. A choice is made whenever
#: a request arrives or ends.
CHOICE_BOUND_SECONDS = 3e-6

#: Seconds that the claims of all requests may take for each of them. They are listed
#: before each choice of an order to the engine.
CLAIMS_BOUND_SECONDS = 10e-6


def make_order(waiting: int, customers: int) -> FairOrder:
    """Return an order of random requests.

    :param customers: number of customers, 0 for anonymous requests of one rank.
    """
    rng, order = random.Random(1), FairOrder()
    for number in range(waiting):
        turn = Turn(number, rng.randint(1, 5000), 100.0 + rng.uniform(0.2, 2.0))
        work = RequestWork(50)
        if customers:
            customer = CustomerId(f"c{number % customers}")
            work = RequestWork(50, (), number % 3, customer)
        order.add(turn, work, 0.06)
    return order


@pytest.mark.parametrize("waiting", [100, 500])
@pytest.mark.parametrize("customers", [0, 16, 200])
def test_choice(benchmark, waiting, customers):
    """A choice is made for each request that arrives or ends."""
    order = make_order(waiting, customers)
    assert benchmark(order.choose, 100.0) is not None
    assert benchmark.stats.stats.median < CHOICE_BOUND_SECONDS * waiting


@pytest.mark.parametrize("waiting", [100, 500])
def test_claims(benchmark, waiting):
    """Claims are listed before each order to the engine."""
    order = make_order(waiting, 16)
    assert len(benchmark(order.list_claims, 100.0)) == waiting
    assert benchmark.stats.stats.median < CLAIMS_BOUND_SECONDS * waiting
