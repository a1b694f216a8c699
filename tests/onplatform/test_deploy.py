"""Where the deploy file places the programs."""

import tomllib
from pathlib import Path

ROLES = tomllib.loads(
    Path(__file__).parents[2].joinpath("deploy/system.toml").read_text()
)["roles"]


def test_operators_have_two_hosts_in_each_failure_domain():
    """Orders wait for seconds behind calls to the one host that stands still."""
    assert ROLES["registry"]["count"] >= 2
