"""Checksummed records in a file, and the detection of torn writes and damage."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

__all__ = ["DamagedRecord", "Record", "TornTail", "decode_records", "encode_record"]

#: Length of the payload, checksum of the payload, checksum of these two fields.
_HEADER = struct.Struct(">IQI")
_FIELDS = struct.Struct(">IQ")
#: Smallest unit that a disk writes atomically, in bytes.
_SECTOR = 512


class DamagedRecord(Exception):
    """A record that was synced before is damaged.

    :param offset: offset of the record in the file, in bytes.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(f"damaged record at byte {offset}")
        self.offset = offset


@dataclass(frozen=True)
class Record:
    """An intact record."""

    payload: bytes


@dataclass(frozen=True)
class TornTail:
    """An incomplete record left by a crash during a write.

    :param offset: size in bytes to which the file must be truncated to remove it.
    """

    offset: int


def encode_record(payload: bytes) -> bytes:
    """Return a record that holds the payload."""
    fields = _FIELDS.pack(len(payload), xxhash.xxh3_64_intdigest(payload))
    checksum = xxhash.xxh32_intdigest(fields)
    return fields + checksum.to_bytes(4, "big") + payload


def decode_records(data: bytes) -> Iterator[Record | TornTail]:
    """Yield the records of a file, and a torn tail last if there is one.

    Each write to the file is one record and is synced before the next, so that only the
    last record can be torn. A torn record differs from a damaged one by what a crash
    leaves behind: it ends too early, or contains sectors that were never written and
    read as zeros.

    :raises DamagedRecord: a record is invalid and can't be a torn one.
    """
    offset = 0
    while offset < len(data):
        payload = _read(data, offset)
        if payload is None:
            if not _is_torn(data, offset):
                raise DamagedRecord(offset)
            yield TornTail(offset)
            return
        yield Record(payload)
        offset += _HEADER.size + len(payload)


def _read(data: bytes, offset: int) -> bytes | None:
    length = _read_length(data, offset)
    if length is None:
        return None
    start = offset + _HEADER.size
    payload = data[start : start + length]
    checksum = _HEADER.unpack_from(data, offset)[1]
    intact = len(payload) == length and xxhash.xxh3_64_intdigest(payload) == checksum
    return payload if intact else None


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the payload's length if the header is intact."""
    if offset + _HEADER.size > len(data):
        return None
    length, payload_checksum, checksum = _HEADER.unpack_from(data, offset)
    fields = _FIELDS.pack(length, payload_checksum)
    return length if xxhash.xxh32_intdigest(fields) == checksum else None


def _is_torn(data: bytes, offset: int) -> bool:
    rest = data[offset:]
    if len(rest) < _HEADER.size:
        return True
    length = _read_length(data, offset)
    if length is not None:
        end = offset + _HEADER.size + length
        if end > len(data):
            return True
        return end == len(data) and _has_unwritten_sector(data, offset)
    return _has_unwritten_sector(data, offset) and not _contains_record(
        data, offset + 1
    )


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // _SECTOR + 1) * _SECTOR)
        if end - start >= _HEADER.size and not any(data[start:end]):
            return True
        start = end
    return False


def _contains_record(data: bytes, offset: int) -> bool:
    starts = range(offset, len(data) - _HEADER.size + 1)
    return any(_read(data, start) is not None for start in starts)
