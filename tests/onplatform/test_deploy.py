"""What the deploy file places."""

import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


def count_hosts(role: dict[str, object], hosts: int) -> int:
    """Return how many of a failure domain's hosts run a role."""
    if "count" in role:
        return min(int(role["count"]), hosts)
    return -int(-float(role["share"]) * hosts // 1)


@pytest.mark.parametrize("hosts", [2, 3, 4, 5, 6])
def test_each_failure_domain_has_two_registries(hosts: int) -> None:
    """One of few registries stands still, and operators meet it again and again."""
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert count_hosts(deployed["roles"]["registry"], hosts) == 2
