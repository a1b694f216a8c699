"""Processes that a test starts, signals and terminates by process id."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

__all__ = [
    "TIMEOUT_SECONDS",
    "LOOPBACK",
    "ROOT",
    "Program",
    "reserve_port",
    "wait_until",
]

LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]

#: Time limit of every wait. It only takes effect in a broken build; regular waits are
#: far shorter.
TIMEOUT_SECONDS = 60.0

_T = TypeVar("_T")


_reserved: list[socket.socket] = []


def reserve_port() -> int:
    """Reserve a free port and return its number.

    The socket stays bound but never listens, so that the system assigns the port to no
    other process. A program that binds the port with SO_REUSEADDR, as asyncio does, can
    still listen on it.
    """
    reservation = socket.socket()
    reservation.bind((LOOPBACK, 0))
    # Set after bind(): otherwise the system could choose an already reserved port
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved.append(reservation)
    return int(reservation.getsockname()[1])


async def wait_until(what: str, condition: Callable[[], _T]) -> _T:
    """Poll a condition and return its first true value.

    :param what: description of the condition.
    :raises TimeoutError: the condition was not met within `TIMEOUT_SECONDS`.
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not (value := condition()):
            await asyncio.sleep(0.02)
        return value
    raise AssertionError(what)


class Program:
    """One program of the system; it can be started again after it has ended.

    :param module: module with the program's `main` function.
    :param folder: directory of its log and port files.
    :param environment: environment variables added to those of the test process.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self._environment = environment or {}
        self.name = name
        self.folder = folder
        self._command = [
            sys.executable,
            "-c",
            f"from {module} import main; main()",
            *arguments,
        ]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> str:
        """The program's log, including that from before restarts."""
        return (self.folder / f"{self.name}.log").read_text()

    @property
    def pid(self) -> int:
        """Process id of the running process."""
        assert self._process is not None, f"{self.name} is not running"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process exists, suspended or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        assert not self.running, f"{self.name} is already running"
        # read_port() must not return the port of an earlier process
        for file in self.folder.glob(f"{self.name}*.port"):
            file.unlink()
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ
                | {"PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}
                | self._environment,
            )

    async def read_port(self, file: str) -> int:
        """Return the port number that the process has written to a file."""

        def read() -> int:
            assert self.running, f"{self.name} exited early:\n{self.log[-2000:]}"
            path = self.folder / file
            return int(path.read_text()) if path.exists() else 0

        return await wait_until(f"{self.name} opens its port", read)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        os.kill(self.pid, number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        assert self._process is not None
        self.send(signal.SIGKILL)
        self._process.wait()

    async def stop(self) -> int:
        """Request a graceful stop with SIGTERM and return the exit status."""
        self.send(signal.SIGTERM)
        return await self.wait_ended()

    async def wait_ended(self) -> int:
        """Wait for the process to end and return its exit status."""
        process = self._process
        assert process is not None
        await wait_until(f"{self.name} ends", lambda: process.poll() is not None)
        return process.returncode

    def clean_up(self) -> None:
        """Kill the process if it is still running."""
        if self.running:
            self.kill()
