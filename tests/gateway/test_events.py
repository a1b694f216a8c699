"""Cutting a stream into whole events, wherever the pieces end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.gateway.events import EventCutter


def make_stream(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, count + 1))


@given(st.integers(1, 6), st.lists(st.integers(0, 200), max_size=8))
def test_every_cut_gives_the_same_bytes_in_whole_events(count, cuts):
    stream = make_stream(count)
    places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    cutter = EventCutter()
    passed = b""
    for start, end in zip(places, places[1:], strict=False):
        whole = cutter.feed(stream[start:end])
        assert whole == b"" or whole.endswith(b"\n\n")
        passed += whole
    assert passed == stream
    assert cutter.take_rest() == b""
    assert cutter.last == str(count)


@pytest.mark.parametrize(
    ("data", "last"),
    [
        (b"id:7\ndata: a\n\n", "7"),
        (b"data: a\nid: 8\n\n", "8"),
        (b"data: a\n\n", None),
        (b"id: 1\ndata: a\n\nid: 2\nda", "1"),
    ],
)
def test_the_last_whole_event_is_known(data, last):
    cutter = EventCutter()
    cutter.feed(data)
    assert cutter.last == last


def test_a_broken_event_is_not_passed_on():
    """A caller sees an event twice, the first time in half."""
    cutter = EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\ndata:") == b"id: 1\ndata: a\n\n"
    other = EventCutter(cutter.last)
    assert other.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_whole_events_are_counted():
    cutter = EventCutter()
    cutter.feed(b"id: 1\n\nid: 2\n\nid: 3")
    assert cutter.count == 2
    cutter.feed(b"\n\n")
    assert cutter.count == 3
