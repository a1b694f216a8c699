"""Log output that never blocks, and a rate limit for routine lines.

A program that blocks on its log output, because the reader of the stream is stalled,
could not serve requests in the meantime.
"""

import contextlib
import logging
import os
from collections import deque

from ibishead.clock import Clock

__all__ = ["NonBlockingHandler", "RoutineLineFilter", "mark_routine"]

#: Size in bytes of buffered lines beyond which new lines are dropped; about two
#: thousand lines.
MAX_BUFFERED_BYTES = 512 * 1024

#: Rate of routine lines that are written, and the size of a burst. A gateway at its
#: share of the planned peak load completes 15 requests per second.
ROUTINE_LINES_PER_SECOND = 100.0
ROUTINE_BURST_LINES = 400.0

_ROUTINE_FIELD = "routine"


def mark_routine() -> dict[str, bool]:
    """Return the ``extra`` of a routine line, which may be omitted at a high rate."""
    return {_ROUTINE_FIELD: True}


class RoutineLineFilter(logging.Filter):
    """Omits routine lines beyond a rate, using a token bucket.

    The next line that is written has the number of omitted lines in ``left_out``. Only
    lines about requests that completed without problems are routine; failures and
    changes of the program's view of other programs are always written.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._tokens = ROUTINE_BURST_LINES
        self._refilled_at = clock.monotonic()
        self._omitted = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        fields = vars(record)
        if fields.pop(_ROUTINE_FIELD, False) and not self._take_token():
            self._omitted += 1
            return False
        if self._omitted:
            fields["left_out"], self._omitted = self._omitted, 0
        return True

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        refill = ROUTINE_LINES_PER_SECOND * (now - self._refilled_at)
        self._tokens, self._refilled_at = (
            min(ROUTINE_BURST_LINES, self._tokens + refill),
            now,
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines that can't be written immediately are buffered and written along with a later
    line. When the buffer is full, whole lines are dropped, and the next line that is
    accepted has their number in ``lines_lost``.

    :param descriptor: the file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or buffer it if the descriptor isn't ready."""
        try:
            if self._buffered_bytes > MAX_BUFFERED_BYTES:
                self._dropped += 1
            else:
                if self._dropped:
                    record.lines_lost, self._dropped = self._dropped, 0
                line = self.format(record).encode("utf-8", "replace") + b"\n"
                self._buffer.append(line)
                self._buffered_bytes += len(line)
            self._flush()
        except Exception:
            self.handleError(record)

    def close(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        with contextlib.suppress(OSError):
            self._flush()
        super().close()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
