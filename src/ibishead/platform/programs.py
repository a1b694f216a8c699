"""The programs as the platform starts them, each with its settings file's path.

Each imports only what it runs: a start costs a host's processor by the module, and all
programs of a fleet that is started anew start at once.
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
from ibishead.logsink import LineBudget, PatientHandler
from ibishead.metrics import Metrics
from ibishead.metricsserver import MetricsServer
from ibishead.platform.settings import PlatformSettings, load_platform_settings
from ibishead.process import EXIT_SETTINGS, run_program, wait_for_stop
from ibishead.routing.feed import RegistryFeed
from ibishead.settingsfile import LogLevel

__all__ = ["main"]

logger = logging.getLogger(__name__)

#: Names the settings file.
SETTINGS_VARIABLE = "IBISHEAD_SETTINGS"

#: Seconds between two looks at the settings file, which may change without a signal.
RELOAD_INTERVAL = 1.0


async def run_gateway(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Serve callers until a planned stop."""
    from ibishead.gateway.server import Gateway
    from ibishead.platform.callers import PlatformCallers
    from ibishead.platform.targets import PlatformTargets

    gateway = Gateway(
        settings.gateway(), BootClock(), PlatformCallers(), PlatformTargets()
    )
    page = MetricsServer(gateway.metrics, gateway.list_gauges)
    async with _show_metrics(page, settings, metrics_port):
        await _run("gateway", gateway.start, gateway.stop, gateway.feed, path)


async def run_steward(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Give orders to this host's engine until a planned stop."""
    from ibishead.platform.engines import PlatformEngine
    from ibishead.steward.server import StewardServer

    own = settings.steward()
    host, _, port = own.engine.rpartition(":")
    engine = PlatformEngine(Endpoint(host, int(port)))
    server = StewardServer(own, BootClock(), engine)
    page = MetricsServer(Metrics("steward"), server.list_gauges)
    async with _show_metrics(page, settings, metrics_port):
        await _run("steward", server.start, server.stop, server.feed, path)


async def run_registry(
    settings: PlatformSettings, path: Path, metrics_port: int | None = None
) -> None:
    """Take part in the registry until a planned stop, or until the disk fails.

    :raises StorageFault: the data folder is damaged, or its disk has failed.
    """
    from ibishead.platform.doors import make_door
    from ibishead.registry.server import Registry

    failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def note_failure(fault: StorageFault) -> None:
        if not failure.done():
            failure.set_exception(fault)

    registry = Registry(settings.registry(), BootClock(), make_door, note_failure)
    page = MetricsServer(registry.metrics, registry.list_gauges)
    async with _show_metrics(page, settings, metrics_port):
        await _run(
            "registry", registry.start, registry.stop, registry.feed, path, failure
        )


@contextlib.asynccontextmanager
async def _show_metrics(
    page: MetricsServer, settings: PlatformSettings, port: int | None
) -> AsyncIterator[None]:
    if port is None:
        yield
        return
    try:
        await page.start(Endpoint(settings.ip, port))
    except OSError as error:
        # callers are served without metrics too
        logger.warning("no metrics", extra={"port": port, "reason": str(error)})
    try:
        yield
    finally:
        await page.stop()


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
    ending = asyncio.create_task(wait_for_stop())
    await start()
    logger.info("started", extra={"program_name": program})
    reloading = asyncio.create_task(_reload(feed, path, changed))
    await asyncio.wait(
        (ending, failure) if failure is not None else (ending,),
        return_when=asyncio.FIRST_COMPLETED,
    )
    logger.info("stops", extra={"program_name": program})
    reloading.cancel()
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
            logger.warning("settings not read", extra={"reason": fault.message})
        else:
            if frozenset(found) != seeds:
                logger.info("settings read", extra={"seeds": len(found)})
                seeds = frozenset(found)
                feed.replace_seeds(found)
        changed.clear()
        try:
            await asyncio.wait_for(changed.wait(), RELOAD_INTERVAL)
        except TimeoutError:
            continue


_Run = Callable[[PlatformSettings, Path, int | None], Coroutine[Any, Any, None]]

_PROGRAMS: dict[str, _Run] = {
    "gateway": run_gateway,
    "registry": run_registry,
    "steward": run_steward,
}


@click.command()
@click.argument("program", type=click.Choice(sorted(_PROGRAMS)))
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.option("--metrics-port", type=int, help="Port of the metrics; none without it.")
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
    handler = PatientHandler(sys.stdout.fileno())
    handler.addFilter(LineBudget(BootClock()))
    set_up_logging(LogLevel.INFO, program, HostId(settings.node_name), handler=handler)
    run_program(lambda: _PROGRAMS[program](settings, path, metrics_port))
