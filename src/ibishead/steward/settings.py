"""Settings of a steward."""

from dataclasses import dataclass

from ibishead.ids import FailureDomain, HostId, ServiceName
from ibishead.links import Endpoint

__all__ = ["StewardSettings"]


@dataclass(frozen=True)
class StewardSettings:
    """Settings of a steward.

    :param links: endpoint on which the steward accepts links from gateways.
    :param registries: link endpoints of the seed registries.
    :param engine: ``ADDRESS:PORT`` of the engine on this host.
    :param service: service that the engine belongs to.
    """

    host: HostId
    failure_domain: FailureDomain
    links: Endpoint
    registries: tuple[Endpoint, ...]
    engine: str
    service: ServiceName
