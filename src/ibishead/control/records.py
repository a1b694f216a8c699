"""Records with length and checksum, and what a bad one at the end means."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

__all__ = ["DamagedRecord", "Record", "TornTail", "frame", "split"]

#: Length of the payload, its checksum, then a checksum of these two.
_HEADER = struct.Struct(">IQI")
_FIELDS = struct.Struct(">IQ")
#: Smallest unit that a disk writes whole, in bytes.
_SECTOR = 512


class DamagedRecord(Exception):
    """Bytes that were synced once can't be read as a record any more.

    :param offset: where the record begins.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(f"damaged record at byte {offset}")
        self.offset = offset


@dataclass(frozen=True)
class Record:
    """A whole record."""

    payload: bytes


@dataclass(frozen=True)
class TornTail:
    """A write that a crash cut short; the file ends at ``offset`` without it."""

    offset: int


def frame(payload: bytes) -> bytes:
    """Return a record that holds the payload."""
    fields = _FIELDS.pack(len(payload), xxhash.xxh3_64_intdigest(payload))
    check = xxhash.xxh32_intdigest(fields)
    return fields + check.to_bytes(4, "big") + payload


def split(data: bytes) -> Iterator[Record | TornTail]:
    """Return the records of a file; a torn tail comes last.

    Each write to the file is one record and is synced before the next, so that only
    the last one can be torn. It is told from damage by what a crash leaves: a record
    that ends too early, or sectors that were never written and read as zeros.

    :raises DamagedRecord: a record is bad and can't have been torn.
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
    check = _HEADER.unpack_from(data, offset)[1]
    whole = len(payload) == length and xxhash.xxh3_64_intdigest(payload) == check
    return payload if whole else None


def _read_length(data: bytes, offset: int) -> int | None:
    """Return a payload's length where the header can be trusted."""
    if offset + _HEADER.size > len(data):
        return None
    length, payload_check, check = _HEADER.unpack_from(data, offset)
    fields = _FIELDS.pack(length, payload_check)
    return length if xxhash.xxh32_intdigest(fields) == check else None


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
    return _has_unwritten_sector(data, offset) and not _holds_record(data, offset + 1)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // _SECTOR + 1) * _SECTOR)
        if end - start >= _HEADER.size and not any(data[start:end]):
            return True
        start = end
    return False


def _holds_record(data: bytes, offset: int) -> bool:
    starts = range(offset, len(data) - _HEADER.size + 1)
    return any(_read(data, start) is not None for start in starts)
