"""Messages are decoded as they were encoded, and invalid frames are rejected."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead import messages
from ibishead.codec import decode_batch, encode, encode_batch
from ibishead.errors import ErrorCode, InvalidInput
from ibishead.ids import (
    AdapterName,
    HostId,
    RequestId,
    Revision,
    Sequence,
    ServiceName,
    TargetId,
    TeamId,
    Version,
)

DOCUMENT = messages.DocumentRecord(
    ServiceName("mester"), TeamId("association"), Revision(3), "[service]\n"
)

MESSAGES = [
    messages.Hello(messages.Role.ENTRY, HostId("h1")),
    messages.Acknowledge(RequestId("r1"), 1, Sequence(4)),
    messages.AnswerHead(
        RequestId("r1"),
        1,
        Sequence(0),
        200,
        (("content-type", "text/event-stream"),),
        AdapterName("net"),
        Version("2"),
        TargetId("t1"),
    ),
    messages.AnswerBody(RequestId("r1"), 1, Sequence(1), b"\x00\xff"),
    messages.NotRun(RequestId("r1"), 1, ErrorCode.STALE_REVISION, "old", 0.5, DOCUMENT),
    messages.Publish(7, 3.0, (DOCUMENT,), full_state=True),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trip(message):
    assert decode_batch(encode_batch([message, message])) == [message, message]


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff",
        encode("text"),
        encode([["NoSuchMessage", 1]]),
        encode([["Ping", "one"]]),
        encode([["Ping"]]),
        encode([["AnswerBody", "r", 1, 0, "not bytes"]]),
    ],
)
def test_invalid_frame_is_rejected(frame):
    with pytest.raises(InvalidInput):
        decode_batch(frame)


@given(st.binary(max_size=200))
def test_any_frame_is_decoded_or_rejected(frame):
    with contextlib.suppress(InvalidInput):
        assert isinstance(decode_batch(frame), list)
