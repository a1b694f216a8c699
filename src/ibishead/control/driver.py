"""Drives the consensus of one replica: clock, disk, state machine and links.

All runs on the loop's one thread. A sync blocks the loop, so everything that is
proposed while one runs shares the next.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ibishead.clock import Clock
from ibishead.control.consensus import Consensus
from ibishead.control.folder import Files
from ibishead.control.identity import Identity
from ibishead.control.machine import StateMachine
from ibishead.control.peering import ReplicaMessage
from ibishead.control.peers import Entry, EntryKind, PeerMessage, Snapshot
from ibishead.control.raftstate import (
    Apply,
    Output,
    ReadReady,
    ReadRefused,
    Restore,
    Send,
    Timing,
    Write,
)
from ibishead.control.storage import Storage
from ibishead.control.waiters import Waiters
from ibishead.errors import ErrorCode, StorageFault
from ibishead.ids import HostId, LogIndex, ReplicaId, Term

__all__ = ["DataFiles", "LogDriver", "Pace", "PeerSender"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Pace:
    """How fast a replica works, and when it gives up.

    :param tick: seconds of one tick of the consensus.
    :param answer: seconds in which a proposal or a read is answered.
    :param repair: seconds of silence after which a voter counts as lost.
    :param readmit: a voter whose host is back with an emptied disk is replaced at once
        by that host's new replica, without an operator's word.
    :param voters: voters that unattended repair keeps up, 0 to leave the number alone.
    :param snapshot_entries: applied entries between two snapshots.
    :param snapshot_bytes: bytes of applied commands between two snapshots.
    :param reserve: bytes that must stay free on the disk for changes to be taken.
    """

    tick: float = 0.05
    timing: Timing = Timing(heartbeat=2, election=20)
    answer: float = 5.0
    repair: float = 300.0
    readmit: bool = False
    voters: int = 0
    snapshot_entries: int = 1000
    snapshot_bytes: int = 32 * 1024 * 1024
    reserve: int = 64 * 1024 * 1024

    @property
    def election(self) -> float:
        """Seconds without contact until an election."""
        return self.timing.election * self.tick


class PeerSender(Protocol):
    """The links to the other hosts."""

    @property
    def hosts(self) -> list[HostId]:
        """All other hosts."""

    def start(self) -> None:
        """Begin to dial."""

    async def stop(self) -> None:
        """Close all links."""

    def reaches(self, host: HostId) -> bool:
        """Return whether a link to the host is up."""

    def send(self, identity: Identity, to: ReplicaId, message: ReplicaMessage) -> bool:
        """Send to a replica, and return whether a link leads to its host."""

    def introduce(self, identity: Identity, host: HostId) -> None:
        """Tell whoever runs on a host who runs here."""


class DataFiles(Files, Protocol):
    """A data folder."""

    def free_bytes(self) -> int:
        """Return the room that is left on the disk."""

    def close(self) -> None:
        """Close all files and let go of the lock."""


class LogDriver:
    """Does what the consensus puts out, and tells it what has happened.

    :param draw: returns a number from 0 up to its argument, less one.
    :param on_failure: called once, when the disk has failed and nothing goes on.
    """

    def __init__(
        self,
        identity: Identity,
        machine: StateMachine,
        files: DataFiles,
        links: PeerSender,
        clock: Clock,
        draw: Callable[[int], int],
        pace: Pace,
        on_failure: Callable[[StorageFault], None],
    ) -> None:
        self.pace = pace
        self.waiters = Waiters()
        self.reads: dict[int, asyncio.Future[LogIndex | None]] = {}
        self.failed: StorageFault | None = None
        self._machine = machine
        self._files = files
        self._links = links
        self._clock = clock
        self._draw = draw
        self._on_failure = on_failure
        self._flush_due = False
        self._write_due = False
        self._unwritten: list[Write] = []
        self._stuck = False
        self._snapshot_index = 0
        self._applied_bytes = 0
        self._room = False
        self._leader: ReplicaId | None = None
        self._ticked = clock.monotonic()
        self.load(identity)

    def load(self, identity: Identity) -> None:
        """Begin from what the disk holds, under an identity.

        :raises StorageFault: the folder is damaged.
        """
        self.identity = identity
        self._storage = Storage(self._files, identity)
        stored = self._storage.load()
        self.core = Consensus(identity.replica, stored, self.pace.timing, self._draw)
        self._ticked = self._clock.monotonic()
        if stored.snapshot.index:
            self._restore(stored.snapshot)

    def advance(self) -> int:
        """Let the consensus catch up with the clock, and return the ticks it took.

        A process that was frozen finds many ticks due. They pass before anything that
        waited is acted on, so that a leader which has slept learns that it may have
        been replaced before it answers. More than a few elections make no difference.
        """
        due = int((self._clock.monotonic() - self._ticked) / self.pace.tick)
        if due <= 0 or self.failed:
            return 0
        self._ticked += due * self.pace.tick
        for _ in range(min(due, 3 * self.pace.timing.election)):
            self.core.tick()
        self.waiters.expire(self._ticked)
        self.schedule_flush()
        if self._unwritten:
            self._schedule_write()
        return due

    def lease(self) -> float:
        """Return the seconds for which the applied state counts as current."""
        self.advance()
        since = self._clock.monotonic() - self._ticked
        lease = self.core.lease() * self.pace.tick - since
        return 0.0 if self.failed else max(0.0, lease)

    def step(self, sender: ReplicaId, message: PeerMessage) -> None:
        """Take in a message of another replica's consensus."""
        try:
            self.core.step(sender, message)
        except StorageFault as fault:
            self.fail(fault)
        self.schedule_flush()

    def has_room(self) -> bool:
        """Return whether the disk has taken all writes and has room for more.

        All proposals of one turn share the answer, as they share the write.
        """
        if not self._room:
            self._room = self._files.free_bytes() >= self.pace.reserve
            self.schedule_flush()
        return self._room and not self._stuck

    def wait_for(self, index: LogIndex, term: Term) -> asyncio.Future[bytes]:
        """Return the future result of an entry that was proposed just now."""
        self.schedule_flush()
        return self.waiters.add_proposal(index, term, self._ticked + self.pace.answer)

    def schedule_flush(self) -> None:
        """Do, at the end of this turn of the loop, what the consensus puts out."""
        if not self._flush_due and not self.failed:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = self._room = False
        while outputs := self.core.take():
            for output in outputs:
                self._perform(output)
        self._take_snapshot()
        self._log_leader()

    def _log_leader(self) -> None:
        if self.core.leader != self._leader:
            self._leader = self.core.leader
            logger.info(
                "leader changed",
                extra={
                    "leader": self._leader,
                    "term": self.core.term,
                    "commit": self.core.commit,
                },
            )

    def _perform(self, output: Output) -> None:
        match output:
            case Send(to, message):
                self._links.send(self.identity, to, message)
            case Write():
                self._unwritten.append(output)
                self._schedule_write()
            case Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case Restore(snapshot):
                self._restore(snapshot)
            case ReadReady(context, index):
                self._answer_read(context, index)
            case ReadRefused(context):
                self._answer_read(context, None)

    def _schedule_write(self) -> None:
        # the links' writers run first, so that followers sync at the same time
        if not self._write_due:
            self._write_due = True
            asyncio.get_running_loop().call_soon(self._write)

    def _write(self) -> None:
        self._write_due = self._stuck = False
        try:
            while self._unwritten and not self.failed:
                self._storage.write(self._unwritten[0])
                self.core.synced(self._unwritten.pop(0).token)
        except StorageFault as fault:
            if fault.code is ErrorCode.STORAGE_FULL:
                # nothing was answered; it is tried again with the next tick
                self._stuck = True
                logger.warning("control log not written", extra={"reason": str(fault)})
            else:
                self.fail(fault)
                return
        self.schedule_flush()

    def fail(self, fault: StorageFault) -> None:
        """Stop for good, as nothing is known of the disk any more."""
        logger.critical("the control log has failed", extra={"reason": str(fault)})
        self.failed = fault
        self.waiters.fail()
        for context in list(self.reads):
            self._answer_read(context, None)
        self._on_failure(fault)

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self._applied_bytes += len(entry.data)
        self.waiters.complete_proposal(entry.index, entry.term, result)
        self.waiters.advance_applied(entry.index)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._snapshot_index = snapshot.index
        self.waiters.handle_restore(snapshot.index)

    def _answer_read(self, context: int, index: LogIndex | None) -> None:
        future = self.reads.pop(context, None)
        if future is not None and not future.done():
            future.set_result(index)

    def _take_snapshot(self) -> None:
        applied = self.core.applied
        many = applied - self._snapshot_index >= self.pace.snapshot_entries
        if many or self._applied_bytes >= self.pace.snapshot_bytes:
            self.core.compact(applied, self._machine.capture())
            self._snapshot_index = applied
            self._applied_bytes = 0
            self.schedule_flush()
