"""Durable storage of one replica's log, vote and snapshot.

The log consists of numbered segment files. Each write is one record and is synced
before `Storage.write` returns. Segments that a snapshot covers are removed.
"""

import logging
import re

import msgspec

from ibishead.control.agreement.consensus import PersistentState
from ibishead.control.agreement.peers import Configuration, Entry, Snapshot
from ibishead.control.agreement.raftstate import Write
from ibishead.control.log.folder import Files
from ibishead.control.log.identity import Identity, read_checked, write_atomically
from ibishead.control.log.records import (
    DamagedRecord,
    Record,
    TornTail,
    decode_records,
    encode_record,
)
from ibishead.errors import ErrorCode, StorageFault
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = ["Storage"]

_LOGGER = logging.getLogger(__name__)
_SEGMENT = re.compile(r"log-(\d{12})")
_SNAPSHOT = re.compile(r"snapshot-(\d{20})")
#: Size in bytes beyond which a new segment is started, so that old ones can be removed.
_SEGMENT_BYTES = 8 * 1024 * 1024
_REMEDY = (
    "keep a copy of the folder, then start this replica with an empty one and run "
    "`ibishead replace` for it"
)


class _LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One write: term and vote, and entries that replace all from the first one on.

    :param reset: all earlier entries of the log are void.
    """

    term: Term
    vote: ReplicaId | None
    entries: tuple[Entry, ...] = ()
    reset: bool = False


class Storage:
    """The durable state of a replica.

    :param files: the data folder.
    :param identity: the replica's identity; its founders are the voters until the log
        holds another replica set.
    """

    def __init__(self, files: Files, identity: Identity) -> None:
        self._files = files
        self._identity = identity
        #: Highest entry index in each segment, by segment number.
        self._segments: dict[int, int] = {}
        self._current = 0
        self._size = 0
        self._failed = False
        self._snapshot_index = -1
        self._vote: tuple[Term, ReplicaId | None] = (Term(0), None)

    def load(self) -> PersistentState:
        """Return the stored state.

        A torn last record was never acknowledged, so it is truncated.

        :raises StorageFault: anything else is damaged or missing.
        """
        snapshot = self._load_snapshot()
        entries: list[Entry] = []
        numbers = _list_numbers(self._files, _SEGMENT)
        if numbers and numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise StorageFault("a log segment is missing", _REMEDY)
        if not numbers and (self._identity.cluster or snapshot.index):
            raise StorageFault("the log is missing", _REMEDY)
        for number in numbers:
            highest = 0
            for record in self._read_segment(number, last=number == numbers[-1]):
                _replay(entries, record)
                self._vote = (record.term, record.vote)
                highest = max([highest, *(e.index for e in record.entries)])
            self._segments[number] = highest
        remaining = _entries_after(snapshot, entries)
        if numbers:
            self._current = numbers[-1]
        else:
            self._start_segment()
        if entries and not remaining:
            # the next entries won't continue the ones that were discarded here
            self._append(_LogRecord(*self._vote, reset=True))
        return PersistentState(*self._vote, snapshot, remaining)

    def write(self, write: Write) -> None:
        """Perform a write, and return once it is synced.

        :raises StorageFault: code ``STORAGE_FULL`` if the disk is full, and the same
            write may be retried; any other code is final, as the content of the disk is
            unknown from then on.
        """
        if self._failed:
            raise StorageFault("the disk has failed before", _REMEDY)
        try:
            self._write(write)
        except StorageFault as fault:
            self._failed = fault.code is not ErrorCode.STORAGE_FULL
            raise

    def _write(self, write: Write) -> None:
        if write.snapshot is not None:
            self._store_snapshot(write.snapshot)
        if write.snapshot is not None or self._size > _SEGMENT_BYTES:
            self._start_segment()
        record = _LogRecord(write.term, write.vote, write.entries, write.reset)
        self._append(record)
        self._vote = (write.term, write.vote)
        if write.snapshot is not None:
            self._remove_covered(write.snapshot.index)

    def _append(self, record: _LogRecord) -> None:
        data = encode_record(msgspec.msgpack.encode(record))
        name = _segment_name(self._current)
        self._files.append(name, data)
        self._files.sync(name)
        self._size += len(data)
        highest = max([0, *(entry.index for entry in record.entries)])
        self._segments[self._current] = max(self._segments[self._current], highest)

    def _start_segment(self) -> None:
        self._current = max(self._segments, default=0) + 1
        self._segments[self._current] = 0
        self._size = 0
        # repeat term and vote, as the segments that hold them may be removed
        self._append(_LogRecord(*self._vote))
        self._files.sync_directory()

    def _remove_covered(self, index: LogIndex) -> None:
        for number in sorted(self._segments):
            if number == self._current or self._segments[number] > index:
                break
            self._files.remove(_segment_name(number))
            # sync each removal, so that a crash can't restore an older segment only,
            # which would leave a gap
            self._files.sync_directory()
            del self._segments[number]
        for found in _list_numbers(self._files, _SNAPSHOT):
            if found < index:
                self._files.remove(_snapshot_name(found))

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index <= self._snapshot_index:
            return
        payload = msgspec.msgpack.encode(snapshot)
        write_atomically(self._files, _snapshot_name(snapshot.index), payload)
        self._snapshot_index = snapshot.index

    def _load_snapshot(self) -> Snapshot:
        numbers = _list_numbers(self._files, _SNAPSHOT)
        if not numbers:
            founding = Configuration(tuple(sorted(self._identity.founders)))
            return Snapshot(LogIndex(0), Term(0), founding)
        self._snapshot_index = numbers[-1]
        payload = read_checked(self._files, _snapshot_name(numbers[-1]))
        return msgspec.msgpack.decode(payload, type=Snapshot)

    def _read_segment(self, number: int, *, last: bool) -> list[_LogRecord]:
        name = _segment_name(number)
        data = self._files.read(name)
        self._size = len(data)
        records = []
        try:
            for found in decode_records(data):
                match found:
                    case Record(payload):
                        decoded = msgspec.msgpack.decode(payload, type=_LogRecord)
                        records.append(decoded)
                    case TornTail(offset) if last:
                        self._truncate_tail(name, offset, len(data))
                    case TornTail(offset):
                        raise DamagedRecord(offset)
        except DamagedRecord as damage:
            raise StorageFault(f"{name}: {damage}", _REMEDY) from damage
        return records

    def _truncate_tail(self, name: str, offset: int, size: int) -> None:
        _LOGGER.warning(
            "truncated a torn record of %d bytes at byte %d of %s, never acknowledged",
            size - offset,
            offset,
            name,
        )
        self._files.truncate(name, offset)
        self._files.sync(name)
        self._size = offset


def _replay(entries: list[Entry], record: _LogRecord) -> None:
    if record.reset:
        entries.clear()
    if not record.entries:
        return
    first = record.entries[0].index
    if entries and first > entries[-1].index + 1:
        raise StorageFault(f"log entry {entries[-1].index + 1} is missing", _REMEDY)
    if entries:
        del entries[max(0, first - entries[0].index) :]
    entries.extend(record.entries)


def _entries_after(snapshot: Snapshot, entries: list[Entry]) -> tuple[Entry, ...]:
    """Return the entries after a snapshot, none if the log doesn't continue it.

    A crash between the storage of a leader's snapshot and the record that resets the
    log leaves entries that conflict with the snapshot or end before it.
    """
    if not entries or entries[-1].index < snapshot.index:
        return ()
    position = snapshot.index - entries[0].index
    if position < -1:
        raise StorageFault(f"log entry {snapshot.index + 1} is missing", _REMEDY)
    if position >= 0 and entries[position].term != snapshot.term:
        return ()
    return tuple(entries[position + 1 :])


def _list_numbers(files: Files, pattern: re.Pattern[str]) -> list[int]:
    found = [pattern.fullmatch(name) for name in files.names()]
    return sorted(int(match[1]) for match in found if match)


def _segment_name(number: int) -> str:
    return f"log-{number:012d}"


def _snapshot_name(index: int) -> str:
    return f"snapshot-{index:020d}"
