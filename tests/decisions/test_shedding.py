"""When new connections are closed unread."""

import heapq
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.shedding import (
    MAX_PAUSE_SECONDS,
    MIN_REQUESTS,
    ConnectionShedder,
)

LINK_RATE = 1e6


def measure(shedder, lateness, rate, seconds=3.0):
    for _ in range(int(seconds / 0.1)):
        shedder.record(0.1, lateness, int(rate * 0.1))


@pytest.mark.parametrize(
    ("link_rate", "lateness", "rate", "overloaded"),
    [
        (LINK_RATE, 0.0, 0.5 * LINK_RATE, False),
        (LINK_RATE, 0.0, 0.9 * LINK_RATE, True),
        (None, 0.0, 0.9 * LINK_RATE, False),
        (LINK_RATE, 0.1, 0.0, False),
        (None, 0.6, 0.0, True),
    ],
)
def test_what_counts_as_overload(link_rate, lateness, rate, overloaded):
    """Requests would be read that can't be answered in time."""
    shedder = ConnectionShedder(link_rate)
    measure(shedder, lateness, rate)
    assert shedder.overloaded is overloaded
    measure(shedder, 0.0, 0.0)
    assert not shedder.overloaded


def test_an_overloaded_gateway_still_accepts_a_few_connections():
    """A gateway that counts as ready must take new connections."""
    shedder = ConnectionShedder(LINK_RATE)
    measure(shedder, 0.0, LINK_RATE)
    accepted = [at for at in range(100) if shedder.accept(at * 0.01)]
    assert len(accepted) == 1 / MAX_PAUSE_SECONDS
    assert shedder.count == 98


def test_a_short_pause_is_no_overload():
    shedder = ConnectionShedder(LINK_RATE)
    shedder.record(0.4, 0.3, 0)
    assert not shedder.overloaded


def test_overload_is_noticed_at_the_first_long_delay():
    """All that is accepted until then would wait behind what is late already."""
    shedder = ConnectionShedder(LINK_RATE)
    shedder.record(0.6, 0.5, 0)
    assert shedder.overloaded


#: Steps of a request in the event loop: in all, to the first read, to the send.
STEPS, READ_STEP, SEND_STEP = 12, 4, 8
DEADLINE_SECONDS = 2.0


class LatenessShedder(ConnectionShedder):
    """The decision by lateness alone, for comparison."""

    limit = 10**9

    def _is_full(self, now):
        return False


def simulate(shedder, arrivals, pace, wait=0.005, stops=()):
    """Serve connections in a loop that takes all requests one step at a time.

    :param pace: returns the requests per second that the loop can answer at a time.
    :param wait: seconds that each request waits for its target.
    :param stops: start and end of each period in which the process is stopped.
    :returns: for each arrival that was accepted, the seconds until its answer.
    """

    def skip_stops(now):
        return next((end for start, end in stops if start <= now < end), now)

    now = measured_at = 0.0
    queued, active, sent, answered = deque(sorted(arrivals)), deque(), [], []
    while queued or active or sent:
        if not active:
            due = min([*([queued[0]] if queued else []), *[s[0] for s in sent[:1]]])
            while (measured_at := measured_at + 0.1) <= due:
                shedder.record(0.1, 0.0, 0)
            measured_at -= 0.1
            now = max(now, due)
        if now - measured_at >= 0.1:
            shedder.record(now - measured_at, now - measured_at - 0.1, 0)
            measured_at = now
        now = skip_stops(now)
        while sent and sent[0][0] <= now:
            active.append((*heapq.heappop(sent)[2:], SEND_STEP))
        while queued and queued[0] <= now:
            at = queued.popleft()
            if shedder.accept(now):
                active.append((at, None, 0))
        for _ in range(len(active)):
            at, work, step = active.popleft()
            now = skip_stops(now + 1 / (STEPS * pace(now)))
            if step + 1 == READ_STEP:
                work = shedder.begin(now)
            if step + 1 == STEPS:
                shedder.end(work)
                answered.append((at, now - at))
            elif step + 1 == SEND_STEP:
                heapq.heappush(sent, (now + wait, id(work), at, work))
            else:
                active.append((at, work, step + 1))
    return answered


def send(rate, seconds, start=0.0):
    return [start + number / rate for number in range(int(rate * seconds))]


def share_in_time(answered):
    return sum(took <= DEADLINE_SECONDS for _, took in answered) / len(answered)


#: The process runs for a sixth of the time.
STOPS = [(0.12 * n + 0.02, 0.12 * (n + 1)) for n in range(200)]


@pytest.mark.parametrize(
    ("pace", "stops", "before"),
    [(35, (), 0.1), (60, (), 0.1), (360, STOPS, 0.1), (500, (), 1.0)],
)
def test_what_a_flooded_gateway_accepts_is_answered_in_time(pace, stops, before):
    """Requests were accepted until the loop was late, and outlasted their callers."""
    arrivals = send(300, 11)
    old = simulate(LatenessShedder(), arrivals, lambda _: pace, stops=stops)
    new = simulate(ConnectionShedder(), arrivals, lambda _: pace, stops=stops)
    assert share_in_time(old) <= before
    assert share_in_time(new) == 1.0
    # Nor does the gateway stand idle between the requests that it accepts
    assert len(new) >= 0.75 * len(old)


def test_a_sudden_slow_down_is_followed_and_forgotten():
    """The pace measured before would admit what the slow loop can't answer."""

    def pace(now):
        return 40 if 3 <= now < 7 else 500

    answered = simulate(ConnectionShedder(), send(300, 10), pace)
    assert share_in_time(answered) == 1.0
    assert sum(at < 3 for at, _ in answered) == 900
    assert sum(at >= 7.5 for at, _ in answered) == 750
    old = simulate(LatenessShedder(), send(300, 10), pace)
    assert share_in_time(old) < 0.9


def test_a_burst_after_a_stop_is_not_accepted_whole():
    """A stopped process finds seconds of connections in its queue at once."""
    arrivals, stops = send(300, 4), [(1.0, 2.0)]
    answered = simulate(ConnectionShedder(), arrivals, lambda _: 500, stops=stops)
    assert 0.1 * 300 < sum(1.0 <= at < 2.0 for at, _ in answered) < 0.6 * 300
    # The average lateness of the loop falls below its bound after 0.7 s
    assert sum(at >= 2.8 for at, _ in answered) == 360


@pytest.mark.parametrize("earlier", [[], send(10, 4.5)])
@pytest.mark.parametrize("wait", [0.005, 5.0])
@pytest.mark.parametrize("deadline", [0.2, 60.0])
def test_a_burst_at_an_idle_gateway_is_accepted(earlier, wait, deadline):
    """Few requests show no pace; an idle gateway would count as a slow one."""
    shedder, arrivals = ConnectionShedder(), earlier + [5.0] * 100
    for _ in range(200):
        shedder.record_deadline(deadline)
    answered = simulate(shedder, arrivals, lambda _: 500, wait)
    assert len(answered) == len(arrivals)


@pytest.mark.parametrize("rate", [40, 100, 300])
def test_slow_engines_and_running_streams_do_not_count(rate):
    """A gateway with thousands of requests at slow engines would refuse callers."""
    arrivals = send(rate, 8) + [9.0] * 100
    answered = simulate(ConnectionShedder(), arrivals, lambda _: 500, wait=20.0)
    assert len(answered) == len(arrivals)


def test_requests_are_refused_only_if_the_loop_stays_late():
    """Those of persistent connections were read, and would wait until their deadlines;
    after a single stop of the host, they would be answered in time.
    """
    shedder = ConnectionShedder()
    assert not shedder.is_late(0.001)
    shedder.record(2.1, 2.0, 0)
    assert not shedder.is_late(2.0)
    measure(shedder, 0.8, 0.0)
    assert shedder.is_late(2.0)
    assert not shedder.is_late(2.5)
    shedder.record(0.1, 0.0, 0)
    assert not shedder.is_late(2.0)


@given(
    st.lists(
        st.tuples(st.sampled_from(["accept", "begin", "end"]), st.floats(0.0, 0.4)),
        max_size=300,
    ),
    st.lists(st.floats(0.0, 600.0), max_size=5),
)
def test_counts_stay_in_bounds_in_any_order(steps, deadlines):
    """A count that isn't returned, or a stall, would close a gateway for good."""
    shedder, now, works, accepted_at = ConnectionShedder(), 0.0, [], 0.0
    for seconds in deadlines:
        shedder.record_deadline(seconds)
    for name, pause in steps:
        now += pause
        if name == "accept":
            if shedder.accept(now):
                accepted_at = now
            assert now - accepted_at < MAX_PAUSE_SECONDS
        elif name == "begin":
            works.append(shedder.begin(now))
        elif works:
            shedder.end(works[0])
            shedder.end(works.pop(0))
        assert shedder.in_progress >= 0
        assert shedder.limit >= MIN_REQUESTS
        assert shedder.pace > 0
    shedder.accept(now + 6.0)
    assert shedder.in_progress <= 1 + len(works)
    assert all(shedder.accept(now + 60.0) for _ in range(MIN_REQUESTS))
