"""Entry point of the program ``ibishead-entry``."""

import asyncio
import logging
import random

from ibishead.clock import SystemClock
from ibishead.entry.host import EntryHost
from ibishead.process import wait_for_stop
from ibishead.settings import EntrySettings, load_entry_settings, write_port_file
from ibishead.startup import make_command
from ibishead.tls import make_server_context
from ibishead.web import WebServer

__all__ = ["main", "run_entry"]

logger = logging.getLogger(__name__)

#: Seconds between reporting "not ready" and refusing connections, so that the load
#: balancer, which probes about once a second, stops sending requests first.
READINESS_NOTICE_SECONDS = 2.0


async def run_entry(settings: EntrySettings) -> None:
    """Serve until a stop is requested, then drain the answers in progress."""
    host = EntryHost(settings, SystemClock(), random.Random())
    tls = make_server_context(settings.http_tls) if settings.http_tls else None
    callers = WebServer(host.pipeline.handle, settings.limits, tls)
    operators = WebServer(host.pages.handle, tls=tls)
    host.start()
    bound = await callers.start(settings.http.endpoint)
    write_port_file(settings.http, bound.port)
    write_port_file(
        settings.operators, (await operators.start(settings.operators.endpoint)).port
    )
    logger.info("entry host is serving callers", extra={"address": str(bound)})
    await wait_for_stop()
    logger.info("entry host is stopping")
    host.pages.ready = False
    callers.begin_stop()
    await asyncio.sleep(READINESS_NOTICE_SECONDS)
    await callers.stop()
    await host.stop()
    await operators.stop(grace=1.0)


main = make_command(
    "entry",
    "Accept callers' requests and relay complete answers.",
    load_entry_settings,
    run_entry,
)
