"""Order of adapter loads for requests of several customers and ranks."""

import pytest
from benchmarks.fairness import ADAPTER_LOADS, DueOrder, run_loads

from ibishead.decisions.fairshare import FairOrder


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
