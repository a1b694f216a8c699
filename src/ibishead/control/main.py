"""``ibishead-control``: keeps documents, targets and claims."""

import asyncio
import logging
import signal
from ipaddress import ip_address
from pathlib import Path

import click

from ibishead.clock import SystemClock
from ibishead.control.lone import LoneReplica
from ibishead.control.server import ControlServer
from ibishead.control.state import ControlState
from ibishead.errors import IbisheadError, SettingsFault
from ibishead.logs import set_up_logging
from ibishead.settings import ControlSettings, load_control_settings

__all__ = ["main"]

logger = logging.getLogger(__name__)


@click.command()
@click.argument("settings", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--check-settings", is_flag=True, help="Check the settings and end.")
def main(settings: Path, check_settings: bool) -> None:
    """Run a control replica with the SETTINGS file."""
    try:
        read = load_control_settings(settings)
        _check_admin_keys(read)
        set_up_logging(read.log_level, "ibishead-control", read.host)
        if not check_settings:
            asyncio.run(_run(read))
    except IbisheadError as error:
        raise click.ClickException(str(error)) from error


def _check_admin_keys(settings: ControlSettings) -> None:
    address = settings.operators.endpoint.address
    # Without keys anybody who reaches the port could change every service
    if not settings.admin_keys and not ip_address(address).is_loopback:
        raise SettingsFault(
            f"[operators] admin_keys_sha256 is empty, but {address} is no loopback",
            "list the SHA-256 of the administrators' keys, or listen on 127.0.0.1",
        )


async def _run(settings: ControlSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    state = ControlState()
    replica = LoneReplica(settings.replica, state)
    server = ControlServer(settings, settings.replica, state, replica, SystemClock())
    endpoints = await server.start()
    logger.info("serving links on %s", endpoints.links)
    logger.info("serving operators on %s", endpoints.operators)
    await stop.wait()
    await server.stop()
