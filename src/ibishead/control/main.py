"""The program ``ibishead-control``: one control replica as a process."""

import asyncio
import logging

from ibishead.clock import Clock, SystemClock
from ibishead.control.assembly import open_replica
from ibishead.control.server import ControlServer
from ibishead.control.state import ControlState
from ibishead.errors import StorageFault
from ibishead.process import wait_for_stop
from ibishead.settings import ControlSettings, load_control_settings
from ibishead.startup import make_command

__all__ = ["main", "make_control", "run_control"]

logger = logging.getLogger(__name__)


async def run_control(settings: ControlSettings) -> None:
    """Serve until a stop is requested or the disk fails.

    :raises StorageFault: the data folder is damaged, or its disk has failed.
    """
    failure: asyncio.Future[StorageFault] = asyncio.get_running_loop().create_future()
    server = make_control(settings, SystemClock(), failure)
    stop = asyncio.create_task(wait_for_stop())
    await server.start()
    await asyncio.wait((stop, failure), return_when=asyncio.FIRST_COMPLETED)
    logger.info("control replica is stopping")
    stop.cancel()
    await server.stop()
    if failure.done():
        raise failure.result()


def make_control(
    settings: ControlSettings, clock: Clock, failure: asyncio.Future[StorageFault]
) -> ControlServer:
    """Return a control server for the replica in the data folder of the settings.

    :param failure: receives the fault when the disk fails and the replica can't
        continue.
    :raises StorageFault: the data folder is damaged or in use.
    """

    def report_failure(fault: StorageFault) -> None:
        if not failure.done():
            failure.set_result(fault)

    state = ControlState()
    replica = open_replica(settings, state, clock, report_failure)
    return ControlServer(settings, replica.name, state, replica, clock)


main = make_command(
    "control",
    "Serve documents, targets and claims from a replicated log.",
    load_control_settings,
    run_control,
)
