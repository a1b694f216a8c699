"""Programs as real processes that a test starts, signals and ends by process id."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

__all__ = ["GIVE_UP", "LOOPBACK", "ROOT", "Program", "reserve_port", "wait_until"]

LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]

#: Seconds after which a condition counts as never met; a bound for a broken build,
#: far above anything that a test waits for.
GIVE_UP = 60.0

_T = TypeVar("_T")


_reserved: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that the system has found free, and keep it from others.

    The socket stays bound but never listens; a program that binds it with
    SO_REUSEADDR, as asyncio does, may listen there.
    """
    holder = socket.socket()
    holder.bind((LOOPBACK, 0))
    # Only now, or the system could choose a port that another holder keeps
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved.append(holder)
    return int(holder.getsockname()[1])


async def wait_until(what: str, condition: Callable[[], _T]) -> _T:
    """Return the first true value of a condition.

    :param what: named in the failure.
    """
    async with asyncio.timeout(GIVE_UP):
        while not (value := condition()):
            await asyncio.sleep(0.02)
        return value
    raise AssertionError(what)


class Program:
    """One program of the system, which may be started again after it has ended.

    :param module: that holds its `main`.
    :param environment: variables that it gets beside those of the tests.
    :param folder: where its log and port files go.
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
        """What all lives of the program have logged."""
        return (self.folder / f"{self.name}.log").read_text()

    @property
    def pid(self) -> int:
        """The process id of the life that runs."""
        assert self._process is not None, f"{self.name} doesn't run"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process is there, frozen or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a new life."""
        assert not self.running, f"{self.name} runs already"
        # A former life's port must not be taken for this one's
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
        """Return the port that this life has written to a file."""

        def read() -> int:
            assert self.running, f"{self.name} ended early:\n{self.log[-2000:]}"
            path = self.folder / file
            return int(path.read_text()) if path.exists() else 0

        return await wait_until(f"{self.name} opens its port", read)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        os.kill(self.pid, number)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        assert self._process is not None
        self.send(signal.SIGKILL)
        self._process.wait()

    async def stop(self) -> int:
        """Ask for a graceful stop, and return the exit status."""
        self.send(signal.SIGTERM)
        return await self.wait_ended()

    async def wait_ended(self) -> int:
        """Return the exit status once the process has ended."""
        process = self._process
        assert process is not None
        await wait_until(f"{self.name} ends", lambda: process.poll() is not None)
        return process.returncode

    def clean_up(self) -> None:
        """End whatever is left of the process."""
        if self.running:
            self.kill()
