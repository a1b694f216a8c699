"""What every program does at its start and end: arguments, signals, exit codes."""

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from ibishead.errors import IbisheadError

__all__ = ["EXIT_FAULT", "EXIT_SETTINGS", "run_program", "wait_for_stop"]

EXIT_SETTINGS = 2
EXIT_FAULT = 1


def run_program(make: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a program to its end, and exit with a message when it can't go on."""
    try:
        asyncio.run(make())
    except IbisheadError as error:
        print(f"{error.code.value}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAULT)


async def wait_for_stop() -> None:
    """Return when the platform asks for a planned stop (SIGTERM or SIGINT)."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
