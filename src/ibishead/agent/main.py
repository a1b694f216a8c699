"""The program ``ibishead-agent``."""

import asyncio
import fcntl
import logging
import os
import sys
import uuid
from pathlib import Path

import click

from ibishead.agent.gate import GateState
from ibishead.agent.pages import AgentPages
from ibishead.agent.reception import Reception
from ibishead.agent.registrar import ControlRegistrar
from ibishead.agent.scheduler import Scheduler, TargetShape
from ibishead.agent.target import TargetClient
from ibishead.clock import SystemClock
from ibishead.documents import Unconfirmed
from ibishead.errors import ErrorCode, SettingsFault, StorageFault
from ibishead.ids import Incarnation
from ibishead.links import Endpoint, Link, LinkServer
from ibishead.logs import set_up_logging
from ibishead.messages import AskRegistration, Hello, Role, TargetKind
from ibishead.metrics import Metrics
from ibishead.process import EXIT_SETTINGS, run_program, wait_for_stop
from ibishead.settings import AgentSettings, load_agent_settings, write_port_file
from ibishead.subscription import Subscription
from ibishead.tls import make_client_context, make_server_context
from ibishead.web import WebServer

__all__ = ["main", "run_agent"]

logger = logging.getLogger(__name__)


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
def main(settings_file: Path, check_settings: bool) -> None:
    """Stand beside one target, as its only client."""
    try:
        settings = load_agent_settings(settings_file)
    except SettingsFault as fault:
        click.echo(fault, err=True)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        return
    set_up_logging(settings.log_level, "agent", settings.host)
    run_program(lambda: run_agent(settings))


class Agent:
    """The parts of an agent, wired to one another."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics("agent")
        tls = make_client_context(settings.peer_tls) if settings.peer_tls else None
        self.subscription = Subscription(
            settings.control,
            self.greet,
            self.clock,
            services=(settings.service,),
            changed=self._review,
            connected=self._attach,
            tls=tls,
        )
        is_engine = settings.kind is TargetKind.ENGINE
        shape = TargetShape(settings.target, is_engine, settings.batch, settings.slots)
        client = TargetClient(settings.target_endpoint, has_boot=is_engine)
        self.registrar: ControlRegistrar | None = None
        self._shape = shape
        self._client = client
        self.scheduler: Scheduler | None = None

    def announce(self, endpoint: Endpoint) -> None:
        """Prepare the registration, now that the port is known."""
        settings = self.settings
        endpoint = settings.announce or endpoint
        announcement = AskRegistration(
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
        self.registrar = ControlRegistrar(self.subscription, announcement, self.clock)
        self.scheduler = Scheduler(
            self._shape, self._client, self.registrar, self.clock
        )

    def tell_gate(self) -> GateState:
        """Return what the gate must know at this moment."""
        assert self.registrar is not None
        assert self.scheduler is not None
        catalog = self.subscription.catalog
        held = catalog.find_document(self.settings.service)
        record = catalog.find_target(self.settings.target)
        return GateState(
            incarnation=self.registrar.incarnation,
            draining=self.scheduler.draining
            or self.registrar.superseded.is_set()
            or (record is not None and record.draining),
            document=None if held is None else held.record,
            current=self.subscription.is_current(),
            unconfirmed=(
                Unconfirmed.REFUSE if held is None else held.document.unconfirmed
            ),
        )

    def greet(self) -> Hello:
        """Return what this agent says of itself on each link."""
        incarnation = self.registrar.incarnation if self.registrar else Incarnation(0)
        return Hello(Role.AGENT, self.settings.host, incarnation)

    def _review(self) -> None:
        if self.registrar is not None:
            self.registrar.review()

    async def _attach(self) -> None:
        if self.registrar is not None:
            self.registrar.attach()


async def run_agent(settings: AgentSettings) -> None:
    """Serve until a planned stop or until another agent has taken over.

    :raises StorageFault: another agent of this host's slot runs.
    """
    lock = _lock_slot(settings.lock)
    agent = Agent(settings)
    tls = None
    if settings.peer_tls is not None:
        tls = make_server_context(settings.peer_tls.pair, settings.peer_tls.ca)
    reception: Reception | None = None

    async def serve(link: Link) -> None:
        assert reception is not None
        await reception.serve(link)

    server = LinkServer(serve, agent.greet, agent.clock, tls=tls)
    taken = await server.start(settings.links.endpoint)
    agent.announce(taken)
    assert agent.registrar is not None
    assert agent.scheduler is not None
    reception = Reception(
        agent.scheduler, agent.tell_gate, agent.registrar.owned, agent.clock
    )
    pages = AgentPages(agent.scheduler, agent.registrar, agent.metrics)
    operators = WebServer(pages.handle)
    agent.subscription.start()
    agent.scheduler.start()
    await agent.registrar.register()
    reporting = asyncio.create_task(reception.report_for_ever())
    write_port_file(settings.links, taken.port)
    write_port_file(
        settings.operators, (await operators.start(settings.operators.endpoint)).port
    )
    logger.info("agent serves", extra={"address": str(taken)})
    await _wait_for_end(agent.registrar)
    logger.info("agent stops")
    await agent.scheduler.finish()
    reporting.cancel()
    await server.stop()
    await agent.scheduler.stop()
    await agent.subscription.stop()
    await operators.stop(grace=1.0)
    if lock is not None:
        os.close(lock)


async def _wait_for_end(registrar: ControlRegistrar) -> None:
    ends = [
        asyncio.create_task(wait_for_stop()),
        asyncio.create_task(registrar.superseded.wait()),
    ]
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    for task in ends:
        task.cancel()


def _lock_slot(path: Path | None) -> int | None:
    # Two agents of one slot would both order the target about, and many targets
    # don't check who orders. A frozen agent keeps the lock: its queued orders may
    # still leave when it thaws, so nobody may take over before it has ended.
    if path is None:
        return None
    handle = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(handle)
        raise StorageFault(
            f"another agent holds {path}",
            "end that agent first, also when it seems frozen",
            code=ErrorCode.STORAGE_LOCKED,
        ) from error
    return handle
