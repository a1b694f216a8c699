"""Settings of the registry program."""

from dataclasses import dataclass
from pathlib import Path

from ibishead.decisions.quota import Tolerance
from ibishead.ids import FailureDomain, HostId
from ibishead.links import Endpoint

__all__ = ["RegistrySettings"]


@dataclass(frozen=True)
class RegistrySettings:
    """Settings of a registry.

    :param http: endpoint of the HTTP server for targets and operators.
    :param links: endpoint of the link server for other programs.
    :param seeds: HTTP endpoints of the registries that are contacted first.
    :param seed_port: port of a registry's link server, the same on all hosts.
    :param data: data folder on a persistent disk; none on a host without one.
    :param first_start: whether the whole system starts for the first time.
    :param losses: number of hosts with a disk that may be lost at the same time.
    :param repair_after: seconds without contact after which a voter is replaced.
    :param quota_tolerance: by how much requests may exceed their customers' quotas.
    """

    host: HostId
    failure_domain: FailureDomain
    http: Endpoint
    links: Endpoint
    seeds: tuple[Endpoint, ...]
    seed_port: int
    data: Path | None
    first_start: bool
    losses: int
    repair_after: float
    quota_tolerance: Tolerance
