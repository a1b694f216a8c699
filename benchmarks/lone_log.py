"""Opens a replicated log with a single replica and data on disk, for benchmarks."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import msgspec

from ibishead.clock import SystemClock
from ibishead.control.agreement.raftstate import Timing
from ibishead.control.log.driver import ReplicaOptions
from ibishead.control.log.folder import DataFolder
from ibishead.control.log.peering import PeerLinks
from ibishead.control.log.replica import LogReplica
from ibishead.ids import HostId
from ibishead.messages import Hello, Role

__all__ = ["DocumentTable", "make_command", "open_log", "propose_all"]

HOST = HostId("one")
TIMING = Timing(heartbeat=2, election=10)

#: Services whose documents the changes replace, in rotation.
SERVICES = 100


class DocumentTable:
    """State machine that holds the latest document of each service.

    :ivar texts: documents by service number; a snapshot consists of these.
    :ivar applied: number of changes applied so far.
    """

    def __init__(self) -> None:
        self.texts: dict[int, bytes] = {}
        self.applied = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Replace the document of one service."""
        self.texts[self.applied % SERVICES] = command
        self.applied += 1
        return b""

    def capture(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode((self.applied, self.texts))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot_type = tuple[int, dict[int, bytes]]
        self.applied, self.texts = msgspec.msgpack.decode(data, type=snapshot_type)


def make_command(number: int) -> bytes:
    """Return a change of about the size of a small service document."""
    return b"%d " % number + b"x" * 400


@contextlib.asynccontextmanager
async def open_log(
    folder: Path, snapshot_entries: int = 1000
) -> AsyncIterator[tuple[LogReplica, DocumentTable]]:
    """Yield a replica that is leader and has applied all entries in its data folder.

    :param snapshot_entries: entries after which a snapshot is taken.
    """
    machine = DocumentTable()
    clock = SystemClock()
    replica = LogReplica(
        HOST,
        (HOST,),
        machine,
        DataFolder(folder),
        PeerLinks({}, Hello(Role.CONTROL, HOST), clock),
        clock,
        random.Random(1).randrange,
        lambda: f"{time.monotonic_ns():x}",
        ReplicaOptions(
            tick_seconds=0.002,
            timing=TIMING,
            answer_timeout=60.0,
            snapshot_entries=snapshot_entries,
        ),
    )
    await replica.start()
    while not replica.is_leader():
        await asyncio.sleep(0.001)
    await replica.confirm_read()
    try:
        yield replica, machine
    finally:
        await replica.stop()


async def propose_all(replica: LogReplica, commands: Sequence[bytes]) -> None:
    """Propose commands concurrently and wait until all are committed."""
    await asyncio.gather(*(replica.propose(command) for command in commands))
