"""Settings of a gateway."""

from dataclasses import dataclass

from ibishead.decisions.retry import BudgetShare
from ibishead.ids import FailureDomain, HostId
from ibishead.links import Endpoint

__all__ = ["GatewaySettings"]


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    :param callers: where callers' connections arrive.
    :param readiness: where the balancer asks whether to send more.
    :param registries: link endpoints of the first registries.
    :param grace: seconds from the order to stop until the process is killed.
    :param retries: what all gateways together may send again.
    """

    host: HostId
    failure_domain: FailureDomain
    callers: Endpoint
    readiness: Endpoint
    registries: tuple[Endpoint, ...]
    grace: float
    retries: BudgetShare
    connections: int = 3000
