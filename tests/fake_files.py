"""An in-memory disk that may lose unsynced data in a crash."""

import random

from ibishead.errors import ErrorCode, StorageFault


class Crash(Exception):
    """A simulated power failure during an operation."""


class _File:
    def __init__(self) -> None:
        self.data = b""
        self.synced = b""


class FakeFiles:
    """Implements `Files` in memory, with a power failure at any chosen operation.

    :param seed: determines how much unsynced data survives a crash.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.files: dict[str, _File] = {}
        self.synced_names: dict[str, _File] = {}
        #: Number of operations before the power failure; None for no failure.
        self.countdown: int | None = None
        self.full = False
        self.sync_fails = False
        self.operations: list[str] = []

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name].data

    def append(self, name: str, data: bytes) -> None:
        self._count(f"append {name}")
        if self.full:
            raise StorageFault("full", "free some", code=ErrorCode.STORAGE_FULL)
        self.files.setdefault(name, _File()).data += data

    def truncate(self, name: str, size: int) -> None:
        self._count(f"truncate {name}")
        self.files[name].data = self.files[name].data[:size]

    def sync(self, name: str) -> None:
        self._count(f"sync {name}")
        if self.sync_fails:
            raise StorageFault("sync failed", "check the disk")
        self.files[name].synced = self.files[name].data

    def rename(self, old: str, new: str) -> None:
        self._count(f"rename {old}")
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._count(f"remove {name}")
        del self.files[name]

    def sync_directory(self) -> None:
        self._count("sync_names")
        self.synced_names = dict(self.files)

    def free_bytes(self) -> int:
        return 0 if self.full else 1 << 40

    def close(self) -> None:
        self.countdown = None

    def crash(self) -> None:
        """Keep synced data, and a random part of unsynced data and names."""
        self.countdown = None
        names = self.synced_names
        for name in sorted(set(self.files) ^ set(names)):
            if self.random.random() < 0.5:
                names = self._swap(names, name)
        self.files = self.synced_names = names
        for file in self.files.values():
            file.data = file.synced = self._torn(file)

    def _swap(self, names: dict[str, _File], name: str) -> dict[str, _File]:
        if name in names:
            return {known: file for known, file in names.items() if known != name}
        return {**names, name: self.files[name]}

    def _torn(self, file: _File) -> bytes:
        if not file.data.startswith(file.synced):
            return file.synced
        rest = bytearray(file.data[len(file.synced) :])
        del rest[self.random.randrange(len(rest) + 1) :]
        return file.synced + bytes(rest)

    def _count(self, operation: str) -> None:
        self.operations.append(operation)
        if self.countdown is not None:
            self.countdown -= 1
            if self.countdown < 0:
                raise Crash(operation)
