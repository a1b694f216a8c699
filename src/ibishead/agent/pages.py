"""HTTP pages of an agent for operators and the platform."""

from ibishead.agent.registrar import ControlRegistrar
from ibishead.agent.scheduler import Scheduler
from ibishead.errors import ErrorCode, NotFound, Unavailable
from ibishead.metrics import Metrics
from ibishead.web import Exchange

__all__ = ["AgentPages"]


class AgentPages:
    """Health and metrics pages of one agent."""

    def __init__(
        self, scheduler: Scheduler, registrar: ControlRegistrar, metrics: Metrics
    ) -> None:
        self._scheduler = scheduler
        self._registrar = registrar
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request for a page.

        :raises NotFound: there is no such page.
        :raises Unavailable: from ``/readyz``, the target accepts no requests.
        """
        match exchange.request.path:
            case "/livez":
                await exchange.respond(200, (), b"live\n")
            case "/readyz":
                self._check_ready()
                await exchange.respond(200, (), b"ready\n")
            case "/metrics":
                headers, body = self._metrics.render()
                await exchange.respond(200, headers, body)
            case path:
                raise NotFound(f"no page at {path}", "use /livez, /readyz or /metrics")

    def _check_ready(self) -> None:
        if self._scheduler.draining:
            raise Unavailable(
                "the target is draining", "none is needed", code=ErrorCode.DRAINING
            )
        if not self._scheduler.healthy or not self._registrar.incarnation:
            raise Unavailable(
                "the target doesn't respond or isn't registered yet",
                "check the agent's log",
                code=ErrorCode.TARGET_FAILED,
            )
