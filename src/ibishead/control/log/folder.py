"""A locked data folder on disk, with explicit syncs."""

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from ibishead.errors import ErrorCode, StorageFault

__all__ = ["DataFolder", "Files"]

_LOCK_FILE = "lock"
_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Files(Protocol):
    """The file operations that `Storage` needs, by names of files in one folder.

    Nothing is durable before its sync: `sync` for a file's content, `sync_directory`
    for the creation, renaming and removal of files.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's content."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if it is missing.

        :raises StorageFault: code ``STORAGE_FULL``, and the file is unchanged.
        """

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Make a file's content durable.

        :raises StorageFault: the disk failed, and the content on it is unknown.
        """

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_directory(self) -> None:
        """Make created, renamed and removed file names durable.

        :raises StorageFault: the disk failed.
        """


class DataFolder:
    """A data folder locked for this process.

    :param path: the folder, created if it is missing.
    :raises StorageFault: another process has locked the folder, or it can't be opened.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor = -1
        try:
            if not path.is_dir():
                path.mkdir(parents=True)
                _sync_directory(path.parent)
            self._lock_descriptor = os.open(
                path / _LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as error:
            raise _make_fault(error, f"can't open the data folder {path}") from error
        try:
            # two processes on one folder could vote twice in a term
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_descriptor)
            raise StorageFault(
                f"the data folder {path} is in use by another process",
                "stop the other ibishead-control, or give each its own data folder",
                code=ErrorCode.STORAGE_LOCKED,
            ) from error

    def names(self) -> list[str]:
        """Return the names of all files except the lock file, sorted."""
        return sorted(p.name for p in self._path.iterdir() if p.name != _LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        try:
            return (self._path / name).read_bytes()
        except OSError as error:
            raise _make_fault(error, f"can't read {self._path / name}") from error

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if it is missing.

        :raises StorageFault: code ``STORAGE_FULL``, and the file is unchanged.
        """
        try:
            descriptor = self._open_file(name)
            size = os.fstat(descriptor).st_size
        except OSError as error:
            raise _make_fault(error, f"can't open {self._path / name}") from error
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(descriptor, rest) :]
        except OSError as error:
            # remove the part that was written, or the next record would follow it
            self.truncate(name, size)
            raise _make_fault(error, f"can't write {self._path / name}") from error

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        try:
            os.ftruncate(self._open_file(name), size)
        except OSError as error:
            raise _make_fault(error, f"can't truncate {self._path / name}") from error

    def sync(self, name: str) -> None:
        """Make a file's content durable.

        :raises StorageFault: the disk failed, and the content on it is unknown.
        """
        try:
            os.fsync(self._open_file(name))
        except OSError as error:
            raise _make_sync_fault(error, self._path / name) from error

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self._close_file(old)
        self._close_file(new)
        try:
            (self._path / old).replace(self._path / new)
        except OSError as error:
            raise _make_fault(error, f"can't rename {self._path / old}") from error

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        try:
            (self._path / name).unlink()
        except OSError as error:
            raise _make_fault(error, f"can't remove {self._path / name}") from error

    def sync_directory(self) -> None:
        """Make created, renamed and removed file names durable.

        :raises StorageFault: the disk failed.
        """
        try:
            _sync_directory(self._path)
        except OSError as error:
            raise _make_sync_fault(error, self._path) from error

    def free_bytes(self) -> int:
        """Return the free space on the disk in bytes."""
        found = os.statvfs(self._path)
        return found.f_bavail * found.f_frsize

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close_file(name)
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _open_file(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = os.open(self._path / name, flags, 0o600)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_sync_fault(error: OSError, path: Path) -> StorageFault:
    # after a failed sync the kernel may mark the lost pages as clean, and a second sync
    # would succeed without writing them; so this error code must never be retried
    return StorageFault(
        f"can't sync {path}: {error}",
        "check the disk, then restart this replica or replace it",
    )


def _make_fault(error: OSError, problem: str) -> StorageFault:
    if error.errno in _FULL_ERRNOS:
        return StorageFault(
            f"{problem}: the disk is full",
            "free some space on it; nothing that was accepted is lost",
            code=ErrorCode.STORAGE_FULL,
        )
    return StorageFault(
        f"{problem}: {error}", "check the disk and the folder's owner and permissions"
    )
