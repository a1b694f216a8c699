"""Entry points of the programs that run on the platform.

Each program imports its modules when it starts and imports only those that it needs:
the processor time of a start grows with the number of modules, and all programs of a
restarted fleet start at the same time.
"""

import asyncio
import contextlib
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import click

from ibishead.clock import BootClock
from ibishead.errors import SettingsFault, StorageFault
from ibishead.ids import HostId
from ibishead.links import Endpoint
from ibishead.logs import set_up_logging
from ibishead.logsink import NonBlockingHandler, RoutineLineFilter
from ibishead.metrics import Metrics
from ibishead.metricsserver import MetricsServer
from ibishead.platform.settings import PlatformSettings, load_platform_settings
from ibishead.process import EXIT_SETTINGS, run_program, wait_for_stop
from ibishead.routing.feed import RegistryFeed
from ibishead.settingsfile import LogLevel
from ibishead.waiting import wait_for_event

__all__ = ["main"]

logger = logging.getLogger(__name__)

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "IBISHEAD_SETTINGS"

#: Seconds between two reads of the settings file, which may change without a signal.
RELOAD_INTERVAL_SECONDS = 1.0


async def run_gateway(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Run a gateway until a stop is requested.

    :param path: settings file, read again when it changes.
    :param metrics_port: port of the metrics server, None for no metrics.
    """
    from ibishead.gateway.server import Gateway
    from ibishead.platform.callers import PlatformCallers
    from ibishead.platform.targets import PlatformTargets

    gateway = Gateway(
        settings.gateway(), BootClock(), PlatformCallers(), PlatformTargets()
    )
    metrics_server = MetricsServer(gateway.metrics, gateway.list_gauges)
    async with _serve_metrics(metrics_server, settings, metrics_port):
        await _run("gateway", gateway.start, gateway.stop, gateway.feed, path)


async def run_steward(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Run a steward for the engine on this host until a stop is requested.

    :param path: settings file, read again when it changes.
    :param metrics_port: port of the metrics server, None for no metrics.
    """
    from ibishead.platform.engines import PlatformEngine
    from ibishead.steward.server import StewardServer

    steward_settings = settings.steward()
    host, _, port = steward_settings.engine.rpartition(":")
    engine = PlatformEngine(Endpoint(host, int(port)), BootClock())
    server = StewardServer(steward_settings, BootClock(), engine)
    metrics_server = MetricsServer(Metrics("steward"), server.list_gauges)
    async with _serve_metrics(metrics_server, settings, metrics_port):
        await _run("steward", server.start, server.stop, server.feed, path)


async def run_registry(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Run a registry until a stop is requested or its disk fails.

    :param path: settings file, read again when it changes.
    :param metrics_port: port of the metrics server, None for no metrics.
    :raises StorageFault: the data folder is damaged, or its disk has failed.
    """
    from ibishead.platform.httpapi import make_http_handler
    from ibishead.registry.server import Registry

    failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def record_failure(fault: StorageFault) -> None:
        if not failure.done():
            failure.set_exception(fault)

    registry = Registry(
        settings.registry(), BootClock(), make_http_handler, record_failure
    )
    metrics_server = MetricsServer(registry.metrics, registry.list_gauges)
    async with _serve_metrics(metrics_server, settings, metrics_port):
        await _run(
            "registry", registry.start, registry.stop, registry.feed, path, failure
        )


@contextlib.asynccontextmanager
async def _serve_metrics(
    server: MetricsServer, settings: PlatformSettings, port: int | None
) -> AsyncIterator[None]:
    if port is None:
        yield
        return
    try:
        await server.start(Endpoint(settings.ip, port))
    except OSError as error:
        # metrics are optional: the program serves its clients without them
        logger.warning(
            "metrics server not started", extra={"port": port, "reason": str(error)}
        )
    try:
        yield
    finally:
        await server.stop()


async def _run(
    program: str,
    start: Callable[[], Awaitable[None]],
    stop: Callable[[], Awaitable[None]],
    feed: RegistryFeed,
    path: Path,
    failure: asyncio.Future[None] | None = None,
) -> None:
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    stop_requested = asyncio.create_task(wait_for_stop())
    await start()
    logger.info("started", extra={"program_name": program})
    reload_task = asyncio.create_task(_reload(feed, path, changed))
    await asyncio.wait(
        (stop_requested, failure) if failure is not None else (stop_requested,),
        return_when=asyncio.FIRST_COMPLETED,
    )
    logger.info("stops", extra={"program_name": program})
    reload_task.cancel()
    await stop()
    logger.info("stopped", extra={"program_name": program})
    if failure is not None and failure.done():
        failure.result()


async def _reload(feed: RegistryFeed, path: Path, changed: asyncio.Event) -> None:
    seeds = frozenset[Endpoint]()
    while True:
        try:
            found = load_platform_settings(path).registries()
        except SettingsFault as fault:
            logger.warning(
                "settings file not readable, the former settings remain in use",
                extra={"reason": fault.message},
            )
        else:
            if frozenset(found) != seeds:
                logger.info("registry seeds loaded", extra={"seeds": len(found)})
                seeds = frozenset(found)
                feed.replace_seeds(found)
        changed.clear()
        await wait_for_event(changed, RELOAD_INTERVAL_SECONDS)


_RunProgram = Callable[[PlatformSettings, Path, int | None], Coroutine[Any, Any, None]]

_PROGRAMS: dict[str, _RunProgram] = {
    "gateway": run_gateway,
    "registry": run_registry,
    "steward": run_steward,
}


@click.command()
@click.argument("program", type=click.Choice(sorted(_PROGRAMS)))
@click.option(
    "--check-settings", is_flag=True, help="Check the settings file and exit."
)
@click.option(
    "--metrics-port",
    type=int,
    help="Port of the metrics server. Without it there are no metrics.",
)
def main(program: str, check_settings: bool, metrics_port: int | None) -> None:
    """Run one program of ibishead on the platform."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_platform_settings(path)
        getattr(settings, program)()
    except SettingsFault as fault:
        click.echo(f"error: {fault.message}\nremedy: {fault.remedy}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        click.echo(f"{path} is valid")
        return
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.addFilter(RoutineLineFilter(BootClock()))
    set_up_logging(LogLevel.INFO, program, HostId(settings.node_name), handler=handler)
    run_program(lambda: _PROGRAMS[program](settings, path, metrics_port))
