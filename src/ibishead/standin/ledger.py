"""What a stand-in saw and did, for tests to compare with what callers were told.

With a file the ledger outlives the process: each record is one JSON line, written
before the stand-in acts on it, so that a killed target's executions still count.
"""

from collections import Counter, deque
from enum import Enum
from pathlib import Path

import msgspec

from ibishead.clock import Clock

__all__ = ["Ledger", "Record", "RecordKind", "read_ledger_file"]

#: Records kept in memory; a bounded load generator stays far below.
RECORDS_KEPT = 200_000


class RecordKind(Enum):
    """What a record is about."""

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
    """One thing that happened.

    :param at: POSIX seconds.
    :param request: the request's `x-request-id`, empty if it had none.
    :param key: its `idempotency-key`.
    :param asked: the model or adapter named by the request or order.
    :param served: the adapter and version that really answered.
    """

    at: float
    kind: RecordKind
    request: str = ""
    key: str = ""
    asked: str = ""
    served: str = ""
    detail: str = ""


class _Page(msgspec.Struct):
    counts: dict[str, int]
    executions_by_request: dict[str, int]
    executions_by_key: dict[str, int]
    violations: list[Record]
    records: list[Record]


class Ledger:
    """Records in order, counted.

    :param file: also append each record there, as one JSON line.
    """

    def __init__(self, clock: Clock, file: Path | None = None) -> None:
        self._clock = clock
        self._records: deque[Record] = deque(maxlen=RECORDS_KEPT)
        self._counts: Counter[str] = Counter()
        self._by_request: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._file = file.open("ab", buffering=0) if file else None

    @property
    def records(self) -> tuple[Record, ...]:
        """All records still kept, oldest first."""
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
        """Note what happens now."""
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
        """Return how many records of the kind there were."""
        return self._counts[kind.value]

    def count_executions(self, *, request: str = "", key: str = "") -> int:
        """Return how often this life has started the key, or else the request."""
        return self._by_key[key] if key else self._by_request[request]

    def encode(self) -> bytes:
        """Return the ledger as JSON."""
        violations = [r for r in self._records if r.kind is RecordKind.VIOLATION]
        page = _Page(
            dict(self._counts),
            dict(self._by_request),
            dict(self._by_key),
            violations,
            list(self._records),
        )
        return msgspec.json.encode(page)


def read_ledger_file(file: Path) -> list[Record]:
    """Return the records of all lives of a stand-in that wrote to the file.

    A last line that a kill cut off is left out.
    """
    lines = file.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Record) for line in lines]
