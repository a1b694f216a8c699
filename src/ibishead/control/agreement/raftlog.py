"""The in-memory log of a replica: the latest snapshot and the entries after it."""

from collections.abc import Sequence

import msgspec

from ibishead.control.agreement.peers import Configuration, Entry, EntryKind, Snapshot
from ibishead.errors import StorageFault
from ibishead.ids import LogIndex, Term

__all__ = ["EMPTY_SNAPSHOT", "RaftLog", "decode_configuration", "encode_configuration"]

EMPTY_SNAPSHOT = Snapshot(LogIndex(0), Term(0), Configuration())


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the encoding of a replica set for a log entry."""
    return msgspec.json.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Return the replica set encoded in a log entry."""
    return msgspec.json.decode(data, type=Configuration)


class RaftLog:
    """Log entries by index, from the one after ``compacted_index`` to the last.

    That index may be lower than the snapshot's: some entries that the snapshot covers
    are retained for followers that lag only slightly.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self._compacted_index = snapshot.index
        self._compacted_term = snapshot.term
        self._entries: list[Entry] = []
        self._configurations = [(snapshot.index, snapshot.configuration)]
        self.append(entries)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry, or ``compacted_index`` if there is none."""
        return LogIndex(self._compacted_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry, or that at ``compacted_index`` if there is none."""
        return self._entries[-1].term if self._entries else self._compacted_term

    @property
    def compacted_index(self) -> LogIndex:
        """Last index whose entry was discarded; its term is still known."""
        return self._compacted_index

    @property
    def configuration(self) -> Configuration:
        """The latest replica set in the log, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> LogIndex:
        """Index of the latest replica set: its entry or the snapshot."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the replica set as of an index, at or after that of the snapshot."""
        return next(c for i, c in reversed(self._configurations) if i <= index)

    def term_at(self, index: int) -> Term | None:
        """Return the term of the entry at an index, or None if it isn't known."""
        if index == self._compacted_index:
            return self._compacted_term
        if self._compacted_index < index <= self.last_index:
            return self._entries[index - self._compacted_index - 1].term
        return None

    def slice(
        self, first: int, last: int, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both inclusive.

        :param max_bytes: limit of the entries' data in bytes; at least one entry is
            returned in any case.
        """
        found = self._entries[
            first - self._compacted_index - 1 : last - self._compacted_index
        ]
        if max_bytes is None:
            return tuple(found)
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.data)
            if size > max_bytes and count:
                return tuple(found[:count])
        return tuple(found)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries.

        :raises StorageFault: the indexes don't continue that of the last entry.
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise StorageFault(
                    f"log entry {entry.index} was added directly after"
                    f" entry {self.last_index}",
                    "give this replica an empty data folder and run "
                    "`ibishead replace` for it",
                )
            self._entries.append(entry)
            if entry.kind is EntryKind.CONFIGURATION:
                found = decode_configuration(entry.data)
                self._configurations.append((entry.index, found))

    def truncate(self, first: int) -> None:
        """Remove all entries from an index on."""
        del self._entries[first - self._compacted_index - 1 :]
        while len(self._configurations) > 1 and self.configuration_index >= first:
            self._configurations.pop()

    def compact(self, snapshot: Snapshot, retain: int, retain_bytes: int = 0) -> None:
        """Replace the entries that a snapshot of the own state covers.

        :param retain: maximum number of covered entries to retain in memory.
        :param retain_bytes: maximum size of their data in bytes.
        """
        compacted_index = max(self._compacted_index, snapshot.index - retain)
        size = 0
        for index in range(snapshot.index, compacted_index, -1):
            size += len(self._entries[index - self._compacted_index - 1].data)
            if size > retain_bytes:
                compacted_index = index
                break
        self._compacted_term = self.term_at(compacted_index) or self._compacted_term
        del self._entries[: compacted_index - self._compacted_index]
        self._compacted_index = LogIndex(compacted_index)
        self.snapshot = snapshot
        later = [c for c in self._configurations if c[0] > snapshot.index]
        self._configurations = [(snapshot.index, snapshot.configuration), *later]

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the log by a snapshot of another replica.

        :returns: whether the entries after the snapshot were retained, which is so if
            the log agrees with the snapshot at its index.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, 0)
            return True
        self.__init__(snapshot)  # type: ignore[misc]
        return False

    def first_of_term(self, index: int) -> LogIndex:
        """Return the first known index with the same term as an index."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term:
            index -= 1
        return LogIndex(index)

    def last_of_term(self, term: int, below: int) -> LogIndex | None:
        """Return the last index below ``below`` whose entry has a term, if any."""
        index = min(below - 1, self.last_index)
        while index > self._compacted_index:
            found = self.term_at(index)
            if found == term:
                return LogIndex(index)
            if found is not None and found < term:
                return None
            index -= 1
        return None
