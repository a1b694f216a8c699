"""Settings of a gateway."""

from dataclasses import dataclass

from ibishead.decisions.retry import BudgetShare
from ibishead.ids import FailureDomain, HostId
from ibishead.links import Endpoint

__all__ = ["GatewaySettings"]


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    :param callers: endpoint on which callers' connections are accepted.
    :param readiness: endpoint on which the load balancer's readiness probes are
        answered.
    :param registries: link endpoints of the seed registries.
    :param grace: seconds between the stop signal and the kill of the process.
    :param retries: retry budget that all gateways share.
    :param charge_lifetime: seconds for which a charge to a customer's quota covers a
        request that has not been sent yet.
    :param connections: maximum number of callers' connections.
    :param link_rate: bytes per second that the host can send, ``None`` if unknown.
    :param held_bytes: bytes that may be held for callers and targets, ``None`` for no
        limit.
    """

    host: HostId
    failure_domain: FailureDomain
    callers: Endpoint
    readiness: Endpoint
    registries: tuple[Endpoint, ...]
    grace: float
    retries: BudgetShare
    charge_lifetime: float
    connections: int = 3000
    link_rate: float | None = None
    held_bytes: int | None = None
