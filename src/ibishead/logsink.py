"""Where log lines go: a stream that may stand still, and a bound on their number.

A program that waits for the reader of its log would answer nobody.
"""

import contextlib
import logging
import os
from collections import deque

from ibishead.clock import Clock

__all__ = ["LineBudget", "PatientHandler", "mark_routine"]

#: Bytes of lines that wait for a reader; about two thousand lines.
MAX_WAITING = 512 * 1024

#: Routine lines a second that are written, and how many may come at once. A gateway at
#: its share of the planned peak ends 15 requests a second.
ROUTINE_RATE = 100.0
ROUTINE_BURST = 400.0

_ROUTINE = "routine"


def mark_routine() -> dict[str, bool]:
    """Return the extra field of a line that may be left out when there are many."""
    return {_ROUTINE: True}


class LineBudget(logging.Filter):
    """Leaves out routine lines beyond a rate, and says how many were.

    Only lines that tell of a whole request without trouble are routine; what failed,
    and what changed a belief, is always written.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._tokens = ROUTINE_BURST
        self._counted = clock.monotonic()
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        fields = vars(record)
        if fields.pop(_ROUTINE, False) and not self._take():
            self._left_out += 1
            return False
        if self._left_out:
            fields["left_out"], self._left_out = self._left_out, 0
        return True

    def _take(self) -> bool:
        now = self._clock.monotonic()
        earned = ROUTINE_RATE * (now - self._counted)
        self._tokens, self._counted = min(ROUTINE_BURST, self._tokens + earned), now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PatientHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    What the reader doesn't take is kept up to a bound and written with a later line;
    beyond it whole lines are lost, and the next one that is kept says how many.

    :param descriptor: made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._lost = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it for later."""
        try:
            if self._size > MAX_WAITING:
                self._lost += 1
            else:
                if self._lost:
                    record.lines_lost, self._lost = self._lost, 0
                line = self.format(record).encode("utf-8", "replace") + b"\n"
                self._waiting.append(line)
                self._size += len(line)
            self._write()
        except Exception:
            self.handleError(record)

    def close(self) -> None:
        """Write what the reader still takes."""
        with contextlib.suppress(OSError):
            self._write()
        super().close()

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
