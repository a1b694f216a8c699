"""Outstanding work of an engine, from messages of gateways and its own reports."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.enginework import EngineWork
from ibishead.routing.work import RequestWork

WORK = RequestWork(200, upper_tokens=400)


def make(count: int, tokens: int = 1000, work: RequestWork = WORK) -> EngineWork:
    found = EngineWork()
    for number in range(1, count + 1):
        found.begin("g", number, tokens, tokens, work, 0.0)
    return found


def test_work_ends_with_reading_writing_and_the_request():
    work = make(2)
    assert work.prompt_backlog == 2000
    assert work.count_memory(0.0) == 2400
    assert work.record_read("g", 1, 0.0) == 1000
    assert work.prompt_backlog == 1000
    assert work.count_answer_backlog(2.0) == 300
    work.end("g", 1, 2.0, 100, 2.0)
    assert work.count_memory(2.0) == 1200


def test_an_answer_longer_than_expected_grows():
    """The engine would be filled beyond its memory behind a few long answers."""
    work = make(1)
    work.record_read("g", 1, 0.0)
    sizes = [work.count_memory(seconds) for seconds in (0.0, 2.0, 8.0, 40.0)]
    assert sizes == [1200, 1200, 1500, 3500]


def test_a_lost_gateway_loses_its_share():
    work = make(2)
    work.begin("other", 1, 500, 500, WORK, 0.0)
    work.remove_owner("g", 0.0)
    assert (work.prompt_backlog, work.count_memory(0.0)) == (500, 700)


@pytest.mark.parametrize(
    ("reports", "memory"),
    [
        # one deviating report may be of another moment
        ([(10, 0, 50_000), (2, 0, 2000), (2, 0, 2000)], 2400),
        ([(10, 0, 50_000)] * 3, 50_360),
        ([(2, 0, 1000)] * 3, 1360),
        # two requests don't hold that much; evictable memory may be reported, too
        ([(2, 0, 90_000)] * 3, 2910),
        # the queued ones may be preempted and need their memory again
        ([(2, 5, 1000)] * 3, 2400),
        ([(2, 0, -5)] * 3, 2400),
        ([(2, 0, 10**40)] * 3, 2400),
        ([(0, 0, 90_000)] * 3, 0),
    ],
)
def test_reports_correct_what_messages_miss(reports, memory):
    work = make(2)
    for number in (1, 2):
        work.record_read("g", number, 1000.0)
    for position, report in enumerate(reports):
        work.record_report(*report, 100_000, 1000.4 + position / 1e6)
    assert work.count_memory(1000.4) == pytest.approx(memory, abs=1)


def test_a_restarted_steward_begins_with_the_report():
    """It would fill an engine that is full already."""
    work = EngineWork()
    work.record_report(50, 10, 90_000, 100_000, 0.0)
    assert work.estimate_delay(20_000, WORK, 100_000, 0.0) > 0


@pytest.mark.parametrize(
    ("running", "tokens", "capacity", "admitted"),
    [
        (10, 1000, 0, True),
        (10, 0, 100, True),
        (0, 5000, 100, True),
        # below the sum of all upper quantiles: no slot stays idle for that case
        (10, 1000, 11 * 1300, True),
        (10, 1000, 12_000, False),
    ],
)
def test_admission_by_memory(running, tokens, capacity, admitted):
    work = RequestWork(200, upper_tokens=400) if tokens else RequestWork()
    assert make(running).admits(tokens, work, capacity, 0.0) == admitted


INTEGERS = st.integers(-(10**40), 10**40)
FLOATS = st.floats(allow_nan=True, allow_infinity=True)


@given(
    st.lists(
        st.tuples(INTEGERS, INTEGERS, INTEGERS, INTEGERS, INTEGERS, INTEGERS, FLOATS),
        max_size=20,
    )
)
def test_no_message_breaks_the_sums(messages):
    """One gateway's message must not stop the turns of the others."""
    work = EngineWork()
    for number, (tokens, unread, answer, upper, used, written, seconds) in enumerate(
        messages, 1
    ):
        cost = RequestWork(answer, (tokens,), upper_tokens=upper)
        work.begin("g", number, tokens, unread, cost, 0.0)
        work.record_read("g", number // 2, 0.1)
        work.record_report(written, tokens, used, 100_000, 0.2)
        work.end("g", number // 3, 0.3, written, seconds)
        assert 1.0 <= work.pace <= 10_000.0
        assert min(work.prompt_backlog, work.count_answer_backlog(0.4)) >= 0
        assert work.count_memory(0.4) >= 0
        assert 0.0 <= work.estimate_delay(tokens, cost, 1000, 0.4) <= 5.0
        work.find_need(tokens, cost, 0.4)


@given(st.integers(0, 70), st.integers(1, 4000), st.integers(1, 4000))
def test_more_outstanding_work_never_eases_admission(count, tokens, answer):
    """Guards against an engine that looks emptier the more it was sent."""
    cost = RequestWork(answer, upper_tokens=2 * answer)
    fewer, more = make(count, tokens, cost), make(count + 1, tokens, cost)
    assert more.find_need(tokens, cost, 0.0) >= fewer.find_need(tokens, cost, 0.0)
    assert more.prompt_backlog >= fewer.prompt_backlog
