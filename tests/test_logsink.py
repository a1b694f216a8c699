"""Tests of log output to a stalled reader, and of the rate limit for routine lines."""

import json
import logging
import os

import pytest

from ibishead.clock import ManualClock
from ibishead.logs import JsonFormatter
from ibishead.logsink import (
    MAX_BUFFERED_BYTES,
    ROUTINE_BURST_LINES,
    ROUTINE_LINES_PER_SECOND,
    NonBlockingHandler,
    RoutineLineFilter,
    mark_routine,
)


def make_record(**extra) -> logging.LogRecord:
    record = logging.makeLogRecord({"msg": "request ended", "level": logging.INFO})
    vars(record).update(extra)
    return record


@pytest.fixture
def pipe():
    """Return the read end of a pipe, and a handler that writes to the other end."""
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer)
    handler.setFormatter(JsonFormatter({}))
    yield reader, handler
    handler.close()
    os.close(reader)
    os.close(writer)


def read_lines(reader: int) -> list[dict]:
    os.set_blocking(reader, False)
    data = b""
    try:
        while chunk := os.read(reader, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_stalled_reader_loses_lines_without_blocking_the_writer(pipe):
    """Guards against callers that wait because a log write blocks.

    The log collector hangs, so that the pipe is full.
    """
    reader, handler = pipe
    size = len(handler.format(make_record(number=100000))) + 1
    count = (2 * MAX_BUFFERED_BYTES + 65536) // size
    for number in range(count):
        handler.emit(make_record(number=number))
    received = []
    for number in range(count, count + 40):
        received += read_lines(reader)
        handler.emit(make_record(number=number))
    received += read_lines(reader)
    numbers = [line["number"] for line in received]
    assert numbers == sorted(numbers)
    assert numbers[-1] == count + 39
    lost = sum(line.get("lines_lost", 0) for line in received)
    assert lost > 0
    assert lost + len(received) == count + 40


@pytest.mark.parametrize("routine", [True, False])
def test_only_routine_lines_are_omitted_and_counted(routine):
    clock = ManualClock()
    line_filter = RoutineLineFilter(clock)
    extra = mark_routine() if routine else {}
    count = int(2 * ROUTINE_BURST_LINES)
    passed = sum(line_filter.filter(make_record(**extra)) for _ in range(count))
    assert passed == (ROUTINE_BURST_LINES if routine else count)
    clock.step(1.0)
    record = make_record(**extra)
    assert line_filter.filter(record)
    assert getattr(record, "left_out", 0) == count - passed
    more = sum(line_filter.filter(make_record(**extra)) for _ in range(count))
    assert more == (ROUTINE_LINES_PER_SECOND - 1 if routine else count)
