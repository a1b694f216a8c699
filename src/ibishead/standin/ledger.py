"""Ledger of the requests that a stand-in received and executed.

Tests compare it with the responses that callers received. A ledger with a file
survives the process: each record is one line of JSON, written before the stand-in acts
on it, so that executions of a killed target are still counted.
"""

from collections import Counter, deque
from enum import Enum
from pathlib import Path

import msgspec

from ibishead.clock import Clock

__all__ = ["Ledger", "Record", "RecordKind", "read_ledger_file"]

#: Maximum number of records in memory, far above what a bounded load generator causes.
MAX_RECORDS = 200_000


class RecordKind(Enum):
    """Type of a record.

    `ORDER_REFUSED` is a rejected request to load or unload an adapter; `VIOLATION` is a
    request that was aborted because its adapter was unloaded.
    """

    RECEIVED = "received"
    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    LOADED = "loaded"
    LOAD_FAILED = "load_failed"
    UNLOADED = "unloaded"
    ORDER_REFUSED = "order_refused"
    VIOLATION = "violation"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One recorded event.

    :param at: POSIX time in seconds.
    :param request: `x-request-id` of the request; empty if it has none.
    :param key: `idempotency-key` of the request; empty if it has none.
    :param asked: model or adapter named in the request.
    :param served: adapter and version that produced the response.
    """

    at: float
    kind: RecordKind
    request: str = ""
    key: str = ""
    asked: str = ""
    served: str = ""
    detail: str = ""


class _LedgerResponse(msgspec.Struct):
    counts: dict[str, int]
    executions_by_request: dict[str, int]
    executions_by_key: dict[str, int]
    violations: list[Record]
    records: list[Record]


class Ledger:
    """Records in chronological order, with counters.

    :param file: file to which each record is appended as one line of JSON.
    """

    def __init__(self, clock: Clock, file: Path | None = None) -> None:
        self._clock = clock
        self._records: deque[Record] = deque(maxlen=MAX_RECORDS)
        self._counts: Counter[str] = Counter()
        self._by_request: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._file = file.open("ab", buffering=0) if file else None

    @property
    def records(self) -> tuple[Record, ...]:
        """The records in memory, oldest first."""
        return tuple(self._records)

    def add(
        self,
        kind: RecordKind,
        *,
        request: str = "",
        key: str = "",
        asked: str = "",
        served: str = "",
        detail: str = "",
    ) -> None:
        """Add a record with the current time."""
        now = self._clock.now().timestamp()
        record = Record(now, kind, request, key, asked, served, detail)
        self._records.append(record)
        self._counts[kind.value] += 1
        if kind is RecordKind.STARTED:
            self._by_request.update([request] if request else [])
            self._by_key.update([key] if key else [])
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")

    def count(self, kind: RecordKind) -> int:
        """Return the number of records of a kind, including ones not in memory."""
        return self._counts[kind.value]

    def count_executions(self, *, request: str = "", key: str = "") -> int:
        """Return how often this process started to execute a request.

        :param request: request id, used if there is no key.
        :param key: idempotency key.
        """
        return self._by_key[key] if key else self._by_request[request]

    def encode(self) -> bytes:
        """Return the ledger as JSON."""
        violations = [r for r in self._records if r.kind is RecordKind.VIOLATION]
        response = _LedgerResponse(
            dict(self._counts),
            dict(self._by_request),
            dict(self._by_key),
            violations,
            list(self._records),
        )
        return msgspec.json.encode(response)


def read_ledger_file(file: Path) -> list[Record]:
    """Return the records of all processes that have written to a ledger file.

    An incomplete last line, left by a killed process, is ignored.
    """
    lines = file.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Record) for line in lines]
