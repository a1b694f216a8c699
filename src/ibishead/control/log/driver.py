"""Connects a replica's consensus to the clock, disk, state machine and links.

All code runs on the event loop's thread. A sync blocks the loop, so all proposals that
arrive during one sync share the next.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ibishead.clock import Clock
from ibishead.control.agreement.consensus import Consensus
from ibishead.control.agreement.peers import (
    Configuration,
    Entry,
    EntryKind,
    PeerMessage,
    Snapshot,
)
from ibishead.control.agreement.raftstate import (
    Apply,
    Output,
    ReadReady,
    ReadRefused,
    Restore,
    Send,
    Timing,
    Write,
)
from ibishead.control.log.folder import Files
from ibishead.control.log.identity import Identity
from ibishead.control.log.machine import StateMachine
from ibishead.control.log.peering import ReplicaMessage
from ibishead.control.log.storage import Storage
from ibishead.control.log.waiters import Waiters
from ibishead.errors import ErrorCode, StorageFault
from ibishead.ids import HostId, LogIndex, ReplicaId, Term

__all__ = ["DataFiles", "LogDriver", "PeerSender", "ReplicaOptions"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReplicaOptions:
    """Durations, limits and repair options of a replica.

    :param tick_seconds: duration of one tick of the consensus, in seconds.
    :param timing: durations in ticks, and limits of the log.
    :param answer_timeout: timeout of a proposal or read, in seconds.
    :param repair_after: seconds of silence after which a voter counts as lost.
    :param replace_emptied: replace a voter at once, without an operator's command, if
        its host returns with an emptied disk; the host's new replica takes its place.
    :param target_voters: number of voters that automatic repair maintains; 0 to leave
        the number as it is.
    :param snapshot_entries: applied entries between two snapshots.
    :param snapshot_bytes: bytes of applied commands between two snapshots.
    :param reserve_bytes: free disk space in bytes below which changes are refused.
    """

    tick_seconds: float = 0.05
    timing: Timing = Timing(heartbeat=2, election=20)
    answer_timeout: float = 5.0
    repair_after: float = 300.0
    replace_emptied: bool = False
    target_voters: int = 0
    snapshot_entries: int = 1000
    snapshot_bytes: int = 32 * 1024 * 1024
    reserve_bytes: int = 64 * 1024 * 1024

    @property
    def election_timeout(self) -> float:
        """Election timeout in seconds."""
        return self.timing.election * self.tick_seconds


class PeerSender(Protocol):
    """The links to the other hosts."""

    @property
    def hosts(self) -> list[HostId]:
        """All other hosts."""

    def start(self) -> None:
        """Start to connect to the other hosts."""

    async def stop(self) -> None:
        """Close all links."""

    def reaches(self, host: HostId) -> bool:
        """Return whether a link to the host is open."""

    def send(self, identity: Identity, to: ReplicaId, message: ReplicaMessage) -> bool:
        """Send to a replica, and return whether there is an open link to its host."""

    def introduce(self, identity: Identity, host: HostId) -> None:
        """Send this replica's identity to the replica on a host, whichever it is."""


class DataFiles(Files, Protocol):
    """A data folder."""

    def free_bytes(self) -> int:
        """Return the free space on the disk in bytes."""

    def close(self) -> None:
        """Close all files and release the lock."""


class LogDriver:
    """Performs the outputs of a replica's consensus and feeds events into it.

    :param draw: returns a random integer from 0 to its argument minus one.
    :param on_failure: called once, when the disk has failed and the replica stops.
    """

    def __init__(
        self,
        identity: Identity,
        machine: StateMachine,
        files: DataFiles,
        links: PeerSender,
        clock: Clock,
        draw: Callable[[int], int],
        options: ReplicaOptions,
        on_failure: Callable[[StorageFault], None],
    ) -> None:
        self.options = options
        self.waiters = Waiters()
        self.reads: dict[int, asyncio.Future[LogIndex | None]] = {}
        self.failed: StorageFault | None = None
        #: Called when the known leader has changed.
        self.on_leader_change: Callable[[], None] = _do_nothing
        self._machine = machine
        self._files = files
        self._links = links
        self._clock = clock
        self._draw = draw
        self._on_failure = on_failure
        self._flush_scheduled = False
        self._write_scheduled = False
        self._pending_writes: list[Write] = []
        self._write_blocked = False
        self._snapshot_index = 0
        self._applied_bytes = 0
        self._has_free_space = False
        self._leader: ReplicaId | None = None
        self._replica_set = Configuration()
        self._last_tick = clock.monotonic()
        self.load(identity)

    def load(self, identity: Identity) -> None:
        """Load the stored state, and start the consensus under an identity.

        :raises StorageFault: the data folder is damaged.
        """
        self.identity = identity
        self._storage = Storage(self._files, identity)
        stored = self._storage.load()
        self.core = Consensus(identity.replica, stored, self.options.timing, self._draw)
        self._last_tick = self._clock.monotonic()
        if stored.snapshot.index:
            self._restore(stored.snapshot)

    def advance(self) -> int:
        """Advance the consensus to the current time, and return the ticks passed.

        After a suspension of the process, many ticks are due. They are processed before
        any pending input, so that a suspended leader finds that it may have been
        replaced before it answers. Ticks beyond three election timeouts are skipped, as
        they make no difference.
        """
        due_ticks = int(
            (self._clock.monotonic() - self._last_tick) / self.options.tick_seconds
        )
        if due_ticks <= 0 or self.failed:
            return 0
        self._last_tick += due_ticks * self.options.tick_seconds
        for _ in range(min(due_ticks, 3 * self.options.timing.election)):
            self.core.tick()
        self.waiters.expire(self._last_tick)
        self.schedule_flush()
        if self._pending_writes:
            self._schedule_write()
        return due_ticks

    def lease(self) -> float:
        """Return the seconds for which the applied state counts as current."""
        self.advance()
        since = self._clock.monotonic() - self._last_tick
        lease = self.core.lease() * self.options.tick_seconds - since
        return 0.0 if self.failed else max(0.0, lease)

    def led_until(self) -> float | None:
        """Return the time at which a quorum last followed this leader for certain.

        The times in which different replicas are followed for certain don't overlap: a
        replica that has voted for the next leader no longer answers the former one.

        :returns: monotonic seconds, ``None`` unless this replica leads.
        """
        self.advance()
        age = self.core.quorum_age()
        if age is None or self.failed:
            return None
        return self._last_tick - age * self.options.tick_seconds

    def step(self, sender: ReplicaId, message: PeerMessage) -> None:
        """Process a consensus message from another replica."""
        try:
            self.core.step(sender, message)
        except StorageFault as fault:
            self.fail(fault)
        self.schedule_flush()

    def has_space(self) -> bool:
        """Return whether no write is blocked by a full disk and there is free space.

        The result is cached until the next flush: all proposals before it share one
        write.
        """
        if not self._has_free_space:
            self._has_free_space = (
                self._files.free_bytes() >= self.options.reserve_bytes
            )
            self.schedule_flush()
        return self._has_free_space and not self._write_blocked

    def wait_for(self, index: LogIndex, term: Term) -> asyncio.Future[bytes]:
        """Return a future for the result of an entry that was just proposed."""
        self.schedule_flush()
        return self.waiters.add_proposal(
            index, term, self._last_tick + self.options.answer_timeout
        )

    def schedule_flush(self) -> None:
        """Perform the outputs of the consensus after the callbacks already queued."""
        if not self._flush_scheduled and not self.failed:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = self._has_free_space = False
        while outputs := self.core.take_outputs():
            for output in outputs:
                self._perform(output)
        self._take_snapshot()
        self._log_replica_set()
        self._log_leader()

    def _log_replica_set(self) -> None:
        log = self.core.log
        if log.configuration == self._replica_set:
            return
        self._replica_set = log.configuration
        logger.info(
            "replica set changed",
            extra={
                "voters": ",".join(log.configuration.voters),
                "learners": ",".join(log.configuration.learners),
                "outgoing": ",".join(log.configuration.outgoing),
                "index": log.configuration_index,
                "commit": self.core.commit,
                "role": self.core.role.value,
            },
        )

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
            self.on_leader_change()

    def _perform(self, output: Output) -> None:
        match output:
            case Send(to, message):
                self._links.send(self.identity, to, message)
            case Write():
                self._pending_writes.append(output)
                self._schedule_write()
            case Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case Restore(snapshot):
                self._restore(snapshot)
            case ReadReady(context, index):
                self._complete_read(context, index)
            case ReadRefused(context):
                self._complete_read(context, None)

    def _schedule_write(self) -> None:
        # let the links' writer tasks run first, so that followers sync concurrently
        if not self._write_scheduled:
            self._write_scheduled = True
            asyncio.get_running_loop().call_soon(self._write)

    def _write(self) -> None:
        self._write_scheduled = self._write_blocked = False
        try:
            while self._pending_writes and not self.failed:
                self._storage.write(self._pending_writes[0])
                self.core.synced(self._pending_writes.pop(0).token)
        except StorageFault as fault:
            if fault.code is ErrorCode.STORAGE_FULL:
                # nothing was acknowledged; the write is retried with the next tick
                self._write_blocked = True
                logger.warning(
                    "disk full, write to the control log will be retried",
                    extra={"reason": str(fault)},
                )
            else:
                self.fail(fault)
                return
        self.schedule_flush()

    def fail(self, fault: StorageFault) -> None:
        """Stop permanently, as the content of the disk is unknown after a fault."""
        logger.critical("control log storage failed", extra={"reason": str(fault)})
        self.failed = fault
        self.waiters.fail()
        for context in list(self.reads):
            self._complete_read(context, None)
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

    def _complete_read(self, context: int, index: LogIndex | None) -> None:
        future = self.reads.pop(context, None)
        if future is not None and not future.done():
            future.set_result(index)

    def _take_snapshot(self) -> None:
        applied = self.core.applied
        enough_entries = applied - self._snapshot_index >= self.options.snapshot_entries
        if enough_entries or self._applied_bytes >= self.options.snapshot_bytes:
            self.core.compact(applied, self._machine.capture())
            self._snapshot_index = applied
            self._applied_bytes = 0
            self.schedule_flush()


def _do_nothing() -> None:
    pass
