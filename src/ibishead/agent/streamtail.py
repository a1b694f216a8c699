"""Last events of a model's event stream, which show whether it is complete.

A stream ends with an event that names the finish reason of the generation and a line
that marks the end of the stream. If the connection is lost between the two, the answer
is complete nevertheless.
"""

from enum import Enum
from typing import Any

import msgspec

__all__ = ["DONE_EVENT", "StreamEnd", "StreamTail"]

#: Event that marks the end of a stream.
DONE_EVENT = b"data: [DONE]\n\n"

#: Minimum number of last bytes retained. An event that does not fit counts as
#: unfinished.
RETAINED_BYTES = 64 * 1024

_SEPARATOR = b"\n\n"
_DATA = b"data:"

#: Finish reasons of a generation that ended regularly.
_FINISH_REASONS = frozenset(
    ("stop", "length", "content_filter", "tool_calls", "function_call")
)


class StreamEnd(Enum):
    """Progress of a stream when its connection was lost."""

    UNFINISHED = "unfinished"
    FINISHED = "finished"
    DONE = "done"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: dict[str, Any] | None = None


class _Options(msgspec.Struct):
    include_usage: bool = False


class _Request(msgspec.Struct):
    n: int | None = None
    stream_options: _Options | None = None


class StreamTail:
    """Retains the last bytes of one stream."""

    def __init__(self) -> None:
        self._tail = bytearray()

    def add(self, data: bytes) -> None:
        """Append the next bytes."""
        self._tail += data
        if len(self._tail) > 2 * RETAINED_BYTES:
            del self._tail[:-RETAINED_BYTES]

    def classify(self, request: bytes) -> StreamEnd:
        """Return the progress of the stream.

        :param request: body of the request that the stream answers.
        """
        *_, last, remainder = (b"", *self._tail.split(_SEPARATOR))
        if remainder or not last.startswith(_DATA):
            return StreamEnd.UNFINISHED
        if bytes(last) + _SEPARATOR == DONE_EVENT:
            return StreamEnd.DONE
        try:
            event = msgspec.json.decode(last[len(_DATA) :], type=_Event)
            parameters = msgspec.json.decode(request, type=_Request)
        except msgspec.DecodeError:
            return StreamEnd.UNFINISHED
        return (
            StreamEnd.FINISHED if _is_last(event, parameters) else StreamEnd.UNFINISHED
        )


def _is_last(event: _Event, parameters: _Request) -> bool:
    if (
        parameters.stream_options is not None
        and parameters.stream_options.include_usage
    ):
        # The usage event follows after all choices have finished
        return not event.choices and event.usage is not None
    if parameters.n not in (None, 1) or len(event.choices) != 1:
        return False
    return event.choices[0].finish_reason in _FINISH_REASONS
