"""Durable state of a replica after crashes, damage and full disks."""

import logging
import os
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.fake_files import Crash, FakeFiles

from ibishead.control.agreement.peers import Configuration, Entry, EntryKind, Snapshot
from ibishead.control.agreement.raftstate import Write
from ibishead.control.log.folder import DataFolder
from ibishead.control.log.identity import Identity, load_identity, save_identity
from ibishead.control.log.records import (
    DamagedRecord,
    Record,
    TornTail,
    decode_records,
    encode_record,
)
from ibishead.control.log.storage import Storage
from ibishead.errors import ErrorCode, StorageFault
from ibishead.ids import HostId, LogIndex, ReplicaId, Term

IDENTITY = Identity(ReplicaId("szeged-a.1"))
ABC = Configuration((ReplicaId("a"), ReplicaId("b"), ReplicaId("c")))


def entry(index: int, term: int = 1, data: bytes = b"change") -> Entry:
    return Entry(LogIndex(index), Term(term), EntryKind.COMMAND, data)


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(LogIndex(index), Term(term), ABC, b"state %d" % index)


def write(*entries: Entry, term: int = 1, vote: str | None = None) -> Write:
    return Write(1, Term(term), ReplicaId(vote) if vote else None, entries)


def open_storage(files: FakeFiles) -> Storage:
    storage = Storage(files, IDENTITY)
    storage.load()
    return storage


def load(files: FakeFiles | DataFolder) -> tuple[int, str | None, list[int], int]:
    stored = Storage(files, IDENTITY).load()
    indexes = [found.index for found in stored.entries]
    return stored.term, stored.vote, indexes, stored.snapshot.index


@pytest.mark.parametrize(
    ("writes", "expected"),
    [
        ([], (0, None, [], 0)),
        ([write(term=3, vote="b")], (3, "b", [], 0)),
        ([write(entry(1), entry(2)), write(entry(3))], (1, None, [1, 2, 3], 0)),
        ([write(entry(1), entry(2)), write(entry(2, 2))], (1, None, [1, 2], 0)),
        (
            [write(entry(1), entry(2)), replace(write(), snapshot=snapshot(1))],
            (1, None, [2], 1),
        ),
        (
            [write(entry(1)), replace(write(), snapshot=snapshot(9), reset=True)],
            (1, None, [], 9),
        ),
    ],
)
def test_load_returns_the_written_state(writes: list[Write], expected: tuple) -> None:
    files = FakeFiles()
    storage = open_storage(files)
    for item in writes:
        storage.write(item)
    files.crash()
    assert load(files) == expected


def test_write_returns_after_the_sync() -> None:
    files = FakeFiles()
    storage = open_storage(files)
    files.operations.clear()
    storage.write(write(entry(1)))
    assert [item.split()[0] for item in files.operations] == ["append", "sync"]


@given(
    sizes=st.lists(st.integers(1, 900), min_size=1, max_size=8),
    countdown=st.integers(0, 40),
    every=st.integers(2, 4),
    seed=st.integers(0, 1000),
)
@settings(max_examples=400)
def test_crash_at_any_operation_keeps_acknowledged_writes(
    sizes: list[int], countdown: int, every: int, seed: int
) -> None:
    """Guards against the loss of acknowledged writes.

    The power fails at any operation, and once more during the following startup.
    """
    files = FakeFiles(seed)
    open_storage(files)
    files.countdown = countdown
    acknowledged = 0
    try:
        storage = open_storage(files)
        for position, size in enumerate(sizes, start=1):
            item = write(entry(position, data=b"\x01" * size), term=position)
            if position % every == 0:
                item = replace(item, snapshot=snapshot(position - 1))
            storage.write(item)
            acknowledged = position
    except Crash:
        pass
    files.crash()
    files.countdown = countdown // 4
    try:
        load(files)
    except Crash:
        files.crash()
    files.countdown = None
    term, _, indexes, snapshot_index = load(files)
    last = indexes[-1] if indexes else snapshot_index
    assert last in (acknowledged, acknowledged + 1)
    assert term == last
    assert indexes == list(range(snapshot_index + 1, last + 1))


def test_torn_last_record_is_truncated_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a startup failure after a power failure during a write.

    The incomplete record was never acknowledged.
    """
    files = FakeFiles()
    storage = open_storage(files)
    storage.write(write(entry(1)))
    name = files.names()[-1]
    whole = files.files[name].data
    for cut in range(1, 40):
        torn = encode_record(b"x" * 40)[:cut]
        files.files[name].data = whole + torn
        with caplog.at_level(logging.WARNING):
            assert load(files) == (1, None, [1], 0)
        assert files.files[name].data == whole
    assert "truncated a torn record of 39 bytes" in caplog.text


@pytest.mark.parametrize("position", range(0, 400, 7))
def test_damage_stops_the_replica(position: int) -> None:
    """Guards against the application of a changed command after a bit flip."""
    files = FakeFiles()
    storage = open_storage(files)
    for index in range(1, 6):
        storage.write(write(entry(index, data=b"y" * 60)))
    file = files.files[files.names()[-1]]
    position %= len(file.data)
    changed = bytearray(file.data)
    changed[position] ^= 0x40
    file.data = bytes(changed)
    with pytest.raises(StorageFault, match="ibishead replace"):
        load(files)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (encode_record(b"a") + encode_record(b"b"), [Record(b"a"), Record(b"b")]),
        (encode_record(b"a") + bytes(700), [Record(b"a"), TornTail(17)]),
        (
            encode_record(b"a") + encode_record(b"b" * 90)[:-1],
            [Record(b"a"), TornTail(17)],
        ),
        (encode_record(b"") + b"\x01", [Record(b""), TornTail(16)]),
    ],
)
def test_decode_records_detects_a_torn_tail(data: bytes, expected: list) -> None:
    assert list(decode_records(data)) == expected


@pytest.mark.parametrize("lost", [slice(0, 512), slice(512, 1024)])
def test_zeroed_sector_before_an_intact_record_is_damage(lost: slice) -> None:
    """Guards against the truncation of synced records as a torn tail.

    The disk returns zeros for a sector that has intact records after it.
    """
    data = bytearray(encode_record(b"z" * 1200) + encode_record(b"later"))
    data[lost] = bytes(512)
    with pytest.raises(DamagedRecord):
        list(decode_records(bytes(data)))


@pytest.mark.parametrize("missing", ["log-000000000002", "log-000000000001"])
def test_missing_segment_stops_the_replica(
    missing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ibishead.control.log.storage._SEGMENT_BYTES", 100)
    files = FakeFiles()
    storage = open_storage(files)
    for index in range(1, 9):
        storage.write(write(entry(index, data=b"y" * 60)))
    assert len(files.names()) > 3
    del files.files[missing]
    with pytest.raises(StorageFault, match="missing"):
        load(files)


def test_missing_log_of_a_joined_replica_stops_it() -> None:
    files = FakeFiles()
    save_identity(files, Identity(ReplicaId("a.1"), "cluster"))
    with pytest.raises(StorageFault, match="log is missing"):
        Storage(files, Identity(ReplicaId("a.1"), "cluster")).load()


def test_damaged_snapshot_stops_the_replica() -> None:
    files = FakeFiles()
    storage = open_storage(files)
    storage.write(replace(write(entry(1)), snapshot=snapshot(1)))
    name = next(n for n in files.names() if n.startswith("snapshot"))
    files.files[name].data = files.files[name].data[:-1] + b"?"
    with pytest.raises(StorageFault, match="damaged"):
        load(files)


def test_snapshot_removes_old_segments(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log that grows without bound.

    After a hundred changes with snapshots, only the last segments remain.
    """
    monkeypatch.setattr("ibishead.control.log.storage._SEGMENT_BYTES", 200)
    files = FakeFiles()
    storage = open_storage(files)
    storage.write(write(term=7, vote="b"))
    for index in range(1, 101):
        storage.write(write(entry(index), term=7, vote="b"))
        if index % 10 == 0:
            found = snapshot(index)
            storage.write(replace(write(term=7, vote="b"), snapshot=found))
    files.crash()
    assert len(files.names()) <= 4
    assert load(files) == (7, "b", [], 100)


def test_crash_between_a_leaders_snapshot_and_the_log_reset() -> None:
    """Guards against entries that conflict with an installed snapshot.

    The power fails when the snapshot is stored and the log not yet reset.
    """
    files = FakeFiles()
    storage = open_storage(files)
    storage.write(write(entry(1), entry(2)))
    files.countdown = 5
    with pytest.raises(Crash):
        storage.write(replace(write(), snapshot=snapshot(9), reset=True))
    files.crash()
    assert load(files) == (1, None, [], 9)
    open_storage(files).write(write(entry(10)))
    assert load(files) == (1, None, [10], 9)


def test_write_on_a_full_disk_can_be_retried() -> None:
    """Guards against lost entries after a write was refused for lack of space."""
    files = FakeFiles()
    storage = open_storage(files)
    storage.write(write(entry(1)))
    files.full = True
    with pytest.raises(StorageFault, match="free some") as caught:
        storage.write(write(entry(2)))
    assert caught.value.code is ErrorCode.STORAGE_FULL
    files.full = False
    storage.write(write(entry(2)))
    files.crash()
    assert load(files) == (1, None, [1, 2], 0)


def test_failed_sync_is_final() -> None:
    """Guards against a retried sync, which succeeds although the pages are lost."""
    files = FakeFiles()
    storage = open_storage(files)
    files.sync_fails = True
    with pytest.raises(StorageFault):
        storage.write(write(entry(1)))
    files.sync_fails = False
    with pytest.raises(StorageFault, match="failed before"):
        storage.write(write(entry(1)))


def test_empty_folder_is_a_new_replica() -> None:
    """Guards against two votes in a term by a host that got a new disk.

    Under its old name it would vote a second time.
    """
    names = iter(["one", "two"])
    files = FakeFiles()
    first = load_identity(files, HostId("szeged-a"), lambda: next(names))
    files.crash()
    again = load_identity(files, HostId("szeged-a"), lambda: next(names))
    assert first == again == Identity(ReplicaId("szeged-a.one"))
    fresh = load_identity(FakeFiles(), HostId("szeged-a"), lambda: next(names))
    assert fresh.replica == "szeged-a.two"


def test_folder_without_its_identity_is_refused() -> None:
    files = FakeFiles()
    open_storage(files)
    with pytest.raises(StorageFault, match="lost its identity"):
        load_identity(files, HostId("szeged-a"), lambda: "x")


def test_folder_of_another_host_is_refused() -> None:
    files = FakeFiles()
    load_identity(files, HostId("szeged-a"), lambda: "x")
    with pytest.raises(StorageFault, match="belongs to host szeged-a"):
        load_identity(files, HostId("baja-d"), lambda: "x")


def test_folder_is_locked(tmp_path: Path) -> None:
    """Guards against a second process on the same folder."""
    folder = DataFolder(tmp_path / "data")
    with pytest.raises(StorageFault, match="in use") as caught:
        DataFolder(tmp_path / "data")
    assert caught.value.code is ErrorCode.STORAGE_LOCKED
    folder.close()
    DataFolder(tmp_path / "data").close()


def test_data_folder_keeps_written_state(tmp_path: Path) -> None:
    folder = DataFolder(tmp_path)
    identity = load_identity(folder, HostId("szeged-a"), lambda: "x")
    storage = Storage(folder, identity)
    storage.load()
    storage.write(write(entry(1), entry(2), term=4, vote="b"))
    storage.write(replace(write(entry(3), term=4, vote="b"), snapshot=snapshot(2)))
    folder.close()
    folder = DataFolder(tmp_path)
    assert load_identity(folder, HostId("szeged-a"), lambda: "y") == identity
    assert load(folder) == (4, "b", [3], 2)
    folder.close()


def test_data_folder_removes_a_partial_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a partial record when the disk fills up during a write."""
    folder = DataFolder(tmp_path)
    folder.append("log", b"whole")
    real = os.write

    def write_some(descriptor: int, data: bytes) -> int:
        if len(data) < 6:
            raise OSError(28, "No space left on device")
        return real(descriptor, data[:4])

    monkeypatch.setattr(os, "write", write_some)
    with pytest.raises(StorageFault, match="disk is full"):
        folder.append("log", b"too long")
    monkeypatch.undo()
    assert folder.read("log") == b"whole"
    folder.close()
