"""Logs whose reader stands still, and more lines than anybody reads."""

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
    """Return both ends of a pipe and a handler that writes into it."""
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
        while piece := os.read(reader, 65536):
            data += piece
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_a_reader_that_stands_still_costs_lines_and_no_time(pipe):
    """All callers wait, as the collector of the logs hangs and the pipe is full."""
    reader, handler = pipe
    size = len(handler.format(make_record(number=100000))) + 1
    count = (2 * MAX_BUFFERED_BYTES + 65536) // size
    for number in range(count):
        handler.emit(make_record(number=number))
    seen = []
    for number in range(count, count + 40):
        seen += read_lines(reader)
        handler.emit(make_record(number=number))
    seen += read_lines(reader)
    numbers = [line["number"] for line in seen]
    assert numbers == sorted(numbers)
    assert numbers[-1] == count + 39
    lost = sum(line.get("lines_lost", 0) for line in seen)
    assert lost > 0
    assert lost + len(seen) == count + 40


@pytest.mark.parametrize("routine", [True, False])
def test_only_routine_lines_are_left_out_and_they_are_counted(routine):
    clock = ManualClock()
    budget = RoutineLineFilter(clock)
    extra = mark_routine() if routine else {}
    count = int(2 * ROUTINE_BURST_LINES)
    passed = sum(budget.filter(make_record(**extra)) for _ in range(count))
    assert passed == (ROUTINE_BURST_LINES if routine else count)
    clock.step(1.0)
    record = make_record(**extra)
    assert budget.filter(record)
    assert getattr(record, "left_out", 0) == count - passed
    more = sum(budget.filter(make_record(**extra)) for _ in range(count))
    assert more == (ROUTINE_LINES_PER_SECOND - 1 if routine else count)
