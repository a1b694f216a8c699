"""Order of adapter loads for requests of several customers and ranks."""

import pytest
from benchmarks.fairness import ADAPTER_LOADS, DueOrder, run_loads
from tests.fake_links import FakeLink

from ibishead.decisions.fairshare import FairOrder
from ibishead.ids import CustomerId, ModelName
from ibishead.routing.targets import WeightKey
from ibishead.routing.work import RequestWork
from ibishead.steward.demands import AdapterDemands
from ibishead.steward.turns import Waiter


@pytest.mark.parametrize("name", [name for name in ADAPTER_LOADS if "15" in name])
def test_customer_with_most_callers_does_not_take_all_loads(name):
    """Guards against loads by callers served alone, which starve single callers."""
    fair = run_loads(ADAPTER_LOADS[name], FairOrder)
    present = run_loads(ADAPTER_LOADS[name], DueOrder)
    big, *others = ADAPTER_LOADS[name]
    mean = sum(fair[other] for other in others) / len(others)
    before = sum(present[other] for other in others) / len(others)
    assert mean > max(0.5, before + 0.3)
    assert 0.25 < fair[big] < present[big]


@pytest.mark.parametrize("name", [name for name in ADAPTER_LOADS if "ranks" in name])
def test_urgent_ranks_get_more_loads_and_none_starves(name):
    """Guards against a less urgent kind that is served more often for its callers."""
    fair = run_loads(ADAPTER_LOADS[name], FairOrder)
    shares = [fair[source] for source in ADAPTER_LOADS[name]]
    assert shares[0] > shares[1] - 0.05
    assert shares[1] > shares[2] - 0.05
    assert min(shares) > 0.15


def test_request_whose_load_has_failed_keeps_its_claim():
    """Guards against an urgent request that goes after all others from then on."""
    demands = AdapterDemands()
    for rank, adapter in enumerate(["urgent", "usual", "spare"]):
        work = RequestWork(rank=rank, customer=CustomerId(adapter))
        key = WeightKey(ModelName("m"), adapter)
        waiter = Waiter(FakeLink(), rank, key, 9.0, 100, 9.0, None, work)
        demands.add(waiter, 0)
    urgent, *others = demands
    demands.record_load(urgent, 0.0)
    listed = {demand.key: demand.rank for demand in demands.list_demands(0.3, 20_000.0)}
    assert all(listed[urgent] <= listed[other] for other in others)
