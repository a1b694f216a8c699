"""Settings of a registry."""

from dataclasses import dataclass
from pathlib import Path

from ibishead.ids import FailureDomain, HostId
from ibishead.links import Endpoint

__all__ = ["RegistrySettings"]


@dataclass(frozen=True)
class RegistrySettings:
    """Settings of a registry.

    :param http: where targets and operators call.
    :param links: where other programs link.
    :param seeds: HTTP endpoints of the first registries.
    :param seed_port: port of a registry's link server, the same on all hosts.
    :param data: folder on a disk that lasts, or none.
    :param first_start: the whole system starts for the first time.
    :param losses: hosts with a disk that may be lost together.
    :param repair_after: seconds of silence after which a voter is replaced.
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
