"""Whether a stream whose connection was lost is complete."""

import pytest

from ibishead.agent.streamtail import DONE_EVENT, RETAINED_BYTES, StreamEnd, StreamTail

OPEN = b'data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}'
LAST = OPEN.replace(b"null", b'"stop"')
USAGE = b'data: {"choices":[],"usage":{"total_tokens":3}}'
PLAIN_REQUEST = b'{"model":"m","stream":true}'


@pytest.mark.parametrize(
    ("pieces", "request_body", "expected"),
    [
        ([], PLAIN_REQUEST, StreamEnd.UNFINISHED),
        ([OPEN, b"\n\n"], PLAIN_REQUEST, StreamEnd.UNFINISHED),
        ([OPEN, b"\n\n", LAST, b"\n\n"], PLAIN_REQUEST, StreamEnd.FINISHED),
        ([OPEN, b"\n\n", LAST[:40], LAST[40:] + b"\n\n"], b"{}", StreamEnd.FINISHED),
        ([LAST, b"\n\n", DONE_EVENT], PLAIN_REQUEST, StreamEnd.DONE),
        ([LAST], PLAIN_REQUEST, StreamEnd.UNFINISHED),
        ([LAST, b"\n\n", DONE_EVENT[:9]], PLAIN_REQUEST, StreamEnd.UNFINISHED),
        ([LAST.replace(b"stop", b"abort"), b"\n\n"], b"{}", StreamEnd.UNFINISHED),
        ([LAST, b"\n\n"], b'{"n":2}', StreamEnd.UNFINISHED),
        ([LAST, b"\n\n"], b'{"n":1}', StreamEnd.FINISHED),
        (
            [LAST, b"\n\n"],
            b'{"stream_options":{"include_usage":true}}',
            StreamEnd.UNFINISHED,
        ),
        (
            [LAST, b"\n\n", USAGE, b"\n\n"],
            b'{"n":2,"stream_options":{"include_usage":true}}',
            StreamEnd.FINISHED,
        ),
        ([LAST, b"\n\n"], b"no json", StreamEnd.UNFINISHED),
        ([b"data: no json\n\n"], b"{}", StreamEnd.UNFINISHED),
        ([b": a comment\n\n"], b"{}", StreamEnd.UNFINISHED),
        ([OPEN + b"\n\n"] * 2000 + [LAST, b"\n\n"], b"{}", StreamEnd.FINISHED),
        ([b"data: " + b"x" * 3 * RETAINED_BYTES, b"\n\n"], b"{}", StreamEnd.UNFINISHED),
    ],
)
def test_stream_is_complete_once_it_has_a_finish_reason(pieces, request_body, expected):
    tail = StreamTail()
    for piece in pieces:
        tail.add(piece)
    assert tail.classify(request_body) is expected
