"""The program ``ibishead-entry``."""

import asyncio
import logging
import random
import sys
from pathlib import Path

import click

from ibishead.clock import SystemClock
from ibishead.entry.agents import AgentPool
from ibishead.entry.dispatching import Dispatcher
from ibishead.entry.pages import OperatorPages
from ibishead.entry.pipeline import Pipeline
from ibishead.errors import SettingsFault
from ibishead.logs import set_up_logging
from ibishead.messages import Hello, Role
from ibishead.metrics import Metrics
from ibishead.process import EXIT_SETTINGS, run_program, wait_for_stop
from ibishead.settings import EntrySettings, load_entry_settings, write_port_file
from ibishead.subscription import Subscription
from ibishead.tls import make_client_context, make_server_context
from ibishead.web import WebServer

__all__ = ["main", "run_entry"]

logger = logging.getLogger(__name__)

#: Seconds between saying "not ready" and refusing connections, for the balancer to
#: hear of it; it probes about once a second.
READY_NOTICE = 2.0


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
def main(settings_file: Path, check_settings: bool) -> None:
    """Take callers' requests and relay whole answers."""
    try:
        settings = load_entry_settings(settings_file)
    except SettingsFault as fault:
        click.echo(fault, err=True)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        return
    set_up_logging(settings.log_level, "entry", settings.host)
    run_program(lambda: run_entry(settings))


async def run_entry(settings: EntrySettings) -> None:
    """Serve until a planned stop, then finish every answer in progress."""
    clock = SystemClock()
    hello = Hello(Role.ENTRY, settings.host)
    peer_tls = make_client_context(settings.peer_tls) if settings.peer_tls else None
    http_tls = make_server_context(settings.http_tls) if settings.http_tls else None
    chance = random.Random()
    pool = AgentPool(lambda: hello, clock, peer_tls)
    subscription = Subscription(
        settings.control,
        lambda: hello,
        clock,
        changed=lambda: pool.follow_targets(subscription.catalog.list_targets()),
        tls=peer_tls,
        start_at=chance.randrange(len(settings.control)),
    )
    metrics = Metrics("entry")
    dispatcher = Dispatcher(
        pool, subscription.catalog, clock, settings.failure_domain, chance
    )
    pipeline = Pipeline(subscription, pool, dispatcher, clock, metrics, chance)
    pages = OperatorPages(subscription, pipeline.traces, metrics)
    callers = WebServer(pipeline.handle, settings.limits, http_tls)
    operators = WebServer(pages.handle, tls=http_tls)
    subscription.start()
    taken = await callers.start(settings.http.endpoint)
    write_port_file(settings.http, taken.port)
    write_port_file(
        settings.operators, (await operators.start(settings.operators.endpoint)).port
    )
    logger.info("entry serves", extra={"address": str(taken)})
    await wait_for_stop()
    logger.info("entry stops")
    pages.ready = False
    await asyncio.sleep(READY_NOTICE)
    await callers.stop()
    await pool.stop()
    await subscription.stop()
    await operators.stop(grace=1.0)
