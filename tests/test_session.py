"""Answers continue over new links, with each frame delivered once and in order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.ids import RequestId, Sequence
from ibishead.messages import AnswerBody, AnswerEnd, Outcome
from ibishead.session import FrameBuffer, FrameSequence

REQUEST = RequestId("r1")


def make_body(number: int, size: int = 1) -> AnswerBody:
    return AnswerBody(REQUEST, 1, Sequence(number), bytes([number % 256]) * size)


def make_end(number: int) -> AnswerEnd:
    return AnswerEnd(REQUEST, 1, Sequence(number), Outcome.COMPLETED)


def test_buffer_holds_unacknowledged_frames():
    buffer = FrameBuffer()
    frames = [make_body(0), make_body(1), make_end(2)]
    for frame in frames:
        buffer.append(frame)
    buffer.acknowledge(Sequence(1))
    buffer.acknowledge(Sequence(1))
    assert buffer.list_from(Sequence(1)) == frames[1:]
    assert buffer.list_from(Sequence(0)) is None
    assert not buffer.delivered
    buffer.acknowledge(Sequence(3))
    assert buffer.delivered


def test_buffer_is_full_at_its_limit():
    buffer = FrameBuffer(limit=10)
    buffer.append(make_body(0, size=10))
    assert buffer.full
    buffer.acknowledge(Sequence(1))
    assert not buffer.full


def test_buffer_rejects_a_gap():
    with pytest.raises(ValueError, match="0 expected"):
        FrameBuffer().append(make_body(1))


@given(st.lists(st.integers(0, 9), max_size=60), st.integers(1, 10))
def test_frames_are_delivered_once_and_in_order(arrivals, count):
    """Despite duplicated, reordered and lost frames, a prefix is delivered in order."""
    frames = [make_body(n) for n in range(count)]
    sequence = FrameSequence()
    delivered = []
    for arrival in arrivals:
        if arrival < count:
            delivered += sequence.accept(frames[arrival])
    assert delivered == frames[: len(delivered)]
    for frame in frames:
        delivered += sequence.accept(frame)
    assert delivered == frames


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5)), max_size=30))
def test_resume_over_lossy_links_delivers_the_complete_answer(losses):
    """Links break at any frame, in either direction, any number of times."""
    frames = [make_body(n) for n in range(9)] + [make_end(9)]
    buffer, sequence = FrameBuffer(), FrameSequence()
    for frame in frames:
        buffer.append(frame)
    delivered = []
    for acknowledged, length in [*losses, (True, len(frames))]:
        missing = buffer.list_from(sequence.next_sequence)
        assert missing is not None
        for frame in missing[:length]:
            delivered += sequence.accept(frame)
        if acknowledged:
            buffer.acknowledge(sequence.next_sequence)
    assert delivered == frames
    assert buffer.delivered
