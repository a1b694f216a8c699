"""Running a program's main coroutine: signals and exit codes."""

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from ibishead.errors import IbisheadError

__all__ = ["EXIT_FAULT", "EXIT_SETTINGS", "run_program", "wait_for_stop"]

EXIT_SETTINGS = 2
EXIT_FAULT = 1


def run_program(make_coroutine: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a program's main coroutine until it completes.

    On an `IbisheadError`, print the error to standard error and exit with `EXIT_FAULT`.

    :param make_coroutine: returns the main coroutine.
    """
    try:
        asyncio.run(make_coroutine())
    except IbisheadError as error:
        print(f"{error.code.value}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAULT)


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT, which request an orderly shutdown."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
