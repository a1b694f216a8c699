"""Submissions are compare-and-set operations with a final result each."""

import msgspec
import pytest

from ibishead.codec import MAX_FRAME
from ibishead.control.commands import Accepted, Rejected, StaleBase
from ibishead.errors import ErrorCode
from ibishead.ids import ServiceName
from ibishead.messages import DocumentRecord

from .support import RAKTAR, Log, make_submission


def find_document(log: Log) -> DocumentRecord:
    return log.state.documents.documents[RAKTAR]


def test_concurrent_submissions_with_same_base():
    """Two operators edit revision 1 and submit nearly at the same time.

    The second submission must not silently revert the first.
    """
    log = Log()
    log.apply(make_submission("s1", 0))
    won = log.apply(make_submission("s2", 1, "from anna", now=20.0))
    lost = log.apply(make_submission("s3", 1, "from bela", now=21.0))
    assert won == Accepted(RAKTAR, 2, "s2", 2)
    assert lost == StaleBase(RAKTAR, 2, "s2", "kata", 20.0)
    assert find_document(log).text == "from anna"


@pytest.mark.parametrize("restart", [False, True])
def test_resend_after_many_changes(restart):
    """The answer to a submission is lost, and the tool resends it 300 changes later.

    The resend must neither be refused nor applied a second time.
    """
    log = Log()
    first = log.apply(make_submission("s1", 0, "first"))
    for base in range(1, 301):
        log.apply(make_submission(f"later-{base}", base, f"text {base}"))
    if restart:
        log.restart()
    assert log.apply(make_submission("s1", 0, "first", now=99.0)) == first
    assert find_document(log).revision == 301
    assert find_document(log).text == "text 300"
    assert len(log.state.documents.histories[RAKTAR]) == 301


def test_refusal_is_final():
    """A submission names a future base and is resent when that revision exists.

    The recorded refusal must not change to an acceptance.
    """
    log = Log()
    log.apply(make_submission("s1", 0))
    refused = log.apply(make_submission("s3", 2, "early"))
    log.apply(make_submission("s2", 1))
    assert isinstance(refused, StaleBase)
    assert log.apply(make_submission("s3", 2, "early")) == refused
    assert find_document(log).revision == 2


@pytest.mark.parametrize(
    ("command", "code"),
    [
        (make_submission("s1", 0, "another text"), ErrorCode.KEY_REUSED),
        (make_submission("s1", 1, "text"), ErrorCode.KEY_REUSED),
        (make_submission("s2", 1, team="tisza"), ErrorCode.FORBIDDEN),
    ],
)
def test_refused_submissions(command, code):
    log = Log()
    log.apply(make_submission("s1", 0))
    result = log.apply(command)
    assert isinstance(result, Rejected)
    assert result.code is code
    assert find_document(log).revision == 1


def test_invalid_entry_does_not_stop_replica():
    """A log entry can't be decoded, on any replica and after any restart.

    An exception would stop all replicas at this entry.
    """
    log = Log()
    for invalid in (b"", b"\xff" * 9, b"\x80"):
        log.index += 1
        assert log.state.apply(log.index, invalid)
    assert isinstance(log.apply(make_submission("s1", 0)), Accepted)


def test_state_larger_than_a_frame_restores():
    """The state grows beyond the size limit of a frame; replicas must still restart."""
    log = Log()
    text = "x" * 1024
    for number in range(20):
        name = ServiceName(f"{number}-" + "y" * (MAX_FRAME // 10))
        command = make_submission(f"s{number}", 0, text)
        log.apply(msgspec.structs.replace(command, service=name))
    before = log.state.capture()
    assert len(before) > MAX_FRAME
    log.restart()
    assert log.state.capture() == before


def test_deltas_and_full_state():
    log = Log()
    log.apply(make_submission("s1", 0))
    log.apply(make_submission("s2", 1, "newer"))
    missing = log.state.collect(1)
    assert [d.revision for d in missing.documents] == [2]
    assert not missing.whole
    assert log.state.collect(2).empty
    log.restart()
    assert log.state.collect(1).whole
    assert log.state.collect(2).empty
