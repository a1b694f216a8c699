"""Placement of the programs in the deploy file."""

import tomllib
from pathlib import Path

ROLES = tomllib.loads(
    Path(__file__).parents[2].joinpath("deploy/system.toml").read_text()
)["roles"]


def test_each_failure_domain_has_two_registries():
    """With a single one, operators' orders wait for seconds while it is stalled."""
    assert ROLES["registry"]["count"] >= 2
