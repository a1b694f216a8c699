"""Composition of one agent from its parts, apart from its listening sockets."""

import asyncio
import contextlib
import uuid

from ibishead.agent.gate import GateState
from ibishead.agent.reception import Reception
from ibishead.agent.registrar import ControlRegistrar
from ibishead.agent.scheduler import Scheduler, TargetConfig
from ibishead.agent.target import TargetClient
from ibishead.clock import Clock
from ibishead.documents import UnconfirmedPolicy
from ibishead.links import Dialer, Endpoint, Link, dial
from ibishead.messages import AskRegistration, Hello, Role, TargetKind
from ibishead.metrics import Metrics
from ibishead.settings import AgentSettings
from ibishead.subscription import Subscription
from ibishead.tls import make_client_context

__all__ = ["Agent"]


#: Minimum seconds for which a draining agent keeps its links open, so that entry hosts
#: receive the load report that announces the drain before the links close.
MIN_DRAIN_SECONDS = 1.0


class Agent:
    """The only client of one target; entry hosts reach it over links.

    :param settings: settings of the agent program.
    :param endpoint: address at which entry hosts reach this agent.
    :param client: HTTP client of the target.
    :param dialer: function that opens links to the control replicas.
    """

    def __init__(
        self,
        settings: AgentSettings,
        endpoint: Endpoint,
        client: TargetClient,
        clock: Clock,
        dialer: Dialer = dial,
    ) -> None:
        self.metrics = Metrics("agent")
        self._settings = settings
        self._subscription = Subscription(
            settings.control,
            self.make_hello,
            clock,
            services=(settings.service,),
            on_change=self._handle_catalog_change,
            on_connect=self._reattach,
            tls=make_client_context(settings.peer_tls) if settings.peer_tls else None,
            dialer=dialer,
        )
        self.registrar = ControlRegistrar(
            self._subscription, _make_registration(settings, endpoint), clock
        )
        is_engine = settings.kind is TargetKind.ENGINE
        config = TargetConfig(
            settings.target,
            is_engine,
            settings.batch,
            settings.slots,
            settings.failure_backoff.total_seconds(),
        )
        self.scheduler = Scheduler(config, client, self.registrar, clock, self.metrics)
        self._reception = Reception(
            self.scheduler,
            self.read_gate_state,
            self.registrar.is_own_incarnation,
            clock,
        )
        self._report_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start running requests; return once the target is registered."""
        self._subscription.start()
        self.scheduler.start()
        await self.registrar.register()
        self._report_task = asyncio.create_task(self._reception.report_load())

    async def serve(self, link: Link) -> None:
        """Serve the link of one entry host until the link closes."""
        await self._reception.serve(link)

    async def drain(self) -> None:
        """Refuse new requests; return once all admitted attempts are delivered."""
        self.scheduler.begin_drain()
        # Dispatches in transit are refused as not run. If the links were closed first,
        # their outcome would be unknown to the entry hosts.
        await asyncio.sleep(MIN_DRAIN_SECONDS)
        await self.scheduler.drain()

    async def stop(self) -> None:
        """Stop at once, without waiting for running attempts."""
        if self._report_task is not None:
            self._report_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._report_task
        await self.scheduler.stop()
        await self._subscription.stop()

    def make_hello(self) -> Hello:
        """Return the hello message that this agent sends on each link."""
        return Hello(Role.AGENT, self._settings.host, self.registrar.incarnation)

    def read_gate_state(self) -> GateState:
        """Return the state by which the gate decides at this moment."""
        catalog = self._subscription.catalog
        held = catalog.find_document(self._settings.service)
        return GateState(
            incarnation=self.registrar.incarnation,
            draining=self.scheduler.draining or self.registrar.superseded.is_set(),
            document=None if held is None else held.record,
            current=self._subscription.is_current(),
            unconfirmed=(
                UnconfirmedPolicy.REFUSE if held is None else held.document.unconfirmed
            ),
        )

    def _handle_catalog_change(self) -> None:
        self.registrar.check_catalog()
        record = self._subscription.catalog.find_target(self._settings.target)
        if record is not None and record.draining:
            self.scheduler.begin_drain()

    async def _reattach(self) -> None:
        self.registrar.reattach()


def _make_registration(settings: AgentSettings, endpoint: Endpoint) -> AskRegistration:
    endpoint = settings.announce or endpoint
    return AskRegistration(
        uuid.uuid4().hex,
        settings.target,
        settings.service,
        settings.kind,
        settings.host,
        settings.failure_domain,
        endpoint.address,
        endpoint.port,
        settings.fenced,
    )
