"""What must always hold, under any order of failures.

Hypothesis draws a schedule of calls and failures; the real entries, agents and
control state live through it in virtual time. Whatever a caller was told is then
compared with the targets' own ledgers.
"""

import asyncio
from collections import Counter, defaultdict

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.proofs.virtual import run_virtual
from tests.proofs.world import ADAPTERS, CONTROL_HOST, Call, Slot, World, expect_text

from ibishead.entry.dispatching import REACH_TIMEOUT_SECONDS
from ibishead.ids import HostId
from ibishead.messages import Outcome

ENTRY_NUMBERS = st.integers(0, 1)
TARGET_NUMBERS = st.integers(0, 3)
SECONDS = st.sampled_from([0.02, 0.2, 1.0, 4.0])

#: Seconds after which a leaving target may get nothing new.
LEAVE_LIMIT = 3.0

MODEL_CALLS = st.tuples(
    st.just("model"),
    ENTRY_NUMBERS,
    st.sampled_from(ADAPTERS),
    st.sampled_from(["", "1"]),
    st.booleans(),
)
PLAIN_CALLS = st.tuples(
    st.just("plain"), ENTRY_NUMBERS, st.sampled_from(["k1", "k2", "k3"])
)
WAITS = st.tuples(st.just("wait"), SECONDS)
LINK_FAULTS = st.one_of(
    st.tuples(st.just("hold"), ENTRY_NUMBERS, TARGET_NUMBERS, st.booleans(), SECONDS),
    st.tuples(st.just("silence"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut_control"), st.integers(0, 5)),
    st.tuples(st.just("heal")),
)
PROGRAM_FAULTS = st.one_of(
    st.tuples(st.just("kill_entry"), ENTRY_NUMBERS),
    st.tuples(st.just("restart_agent"), TARGET_NUMBERS),
    st.tuples(st.just("restart_target"), TARGET_NUMBERS),
    st.tuples(st.just("freeze_target"), TARGET_NUMBERS, SECONDS),
    st.tuples(st.just("fail_loads"), st.integers(0, 1), st.booleans()),
)
ACTIONS = st.one_of(
    st.tuples(st.just("leave"), st.integers(0, 9)),
    st.tuples(st.just("submit"), st.integers(1, 3)),
    st.tuples(st.just("drain"), TARGET_NUMBERS),
    st.tuples(st.just("stop_agent"), TARGET_NUMBERS),
    st.tuples(st.just("retire"), TARGET_NUMBERS),
)
# Calls are drawn most often, so that every failure meets some in progress
STEPS = st.one_of(
    MODEL_CALLS, MODEL_CALLS, PLAIN_CALLS, WAITS, LINK_FAULTS, PROGRAM_FAULTS, ACTIONS
)


class Story:
    """Runs one schedule and watches what must hold at every step."""

    def __init__(self) -> None:
        self.world = World()
        self.revisions: dict[object, int] = {}
        self.leaving: dict[object, float] = {}

    async def run(self, steps) -> World:
        world = self.world
        await world.start()
        for step in steps:
            await self.take(*step)
            self.check_revisions()
        world.network.heal()
        await world.settle()
        # What was cut off or is still being recorded gets its time
        await asyncio.sleep(10.0)
        self.check_revisions()
        await world.stop()
        return world

    async def take(self, name, *arguments) -> None:
        world = self.world
        match name, *arguments:
            case "model", entry, adapter, version, stream:
                world.call_model(entry, adapter, version, stream)
            case "plain", entry, key:
                world.call_plain(entry, key)
            case "wait", seconds:
                await asyncio.sleep(seconds)
            case "hold", entry, target, to_agent, seconds:
                ends = (HostId(f"entry-{entry}"), self.slot(target).settings.host)
                a, b = ends if to_agent else reversed(ends)
                world.network.hold(a, b, seconds)
            case "silence", entry, target:
                world.network.silence(
                    HostId(f"entry-{entry}"), self.slot(target).settings.host
                )
            case "cut", entry, target:
                world.network.cut(
                    HostId(f"entry-{entry}"), self.slot(target).settings.host
                )
            case "cut_control", number:
                hosts = [HostId("entry-0"), HostId("entry-1")]
                hosts += [slot.settings.host for slot in world.slots]
                world.network.cut(CONTROL_HOST, hosts[number])
            case ("heal",):
                world.network.heal()
            case "kill_entry", entry:
                await world.kill_entry(entry)
            case "restart_agent", target:
                await world.restart_agent(self.slot(target))
            case "restart_target", target:
                self.slot(target).fake.restart()
            case "freeze_target", target, seconds:
                self.slot(target).fake.freeze(seconds)
            case "fail_loads", target, failing:
                self.slot(target).fake.failing = failing
            case "leave", number:
                if number < len(world.calls):
                    world.leave(world.calls[number])
            case "submit", version:
                world.submit("mester", version)
            case "drain", target:
                world.drain(self.slot(target))
                self.leaving.setdefault(target, asyncio.get_running_loop().time())
            case "stop_agent", target:
                world.stop_agent(self.slot(target))
            case "retire", target:
                world.retire(self.slot(target))

    def slot(self, number: int) -> Slot:
        return self.world.slots[number]

    def check_revisions(self) -> None:
        """An accepted revision never goes down at any host, in any life of it."""
        for host in self.world.entries:
            for held in host.subscription.catalog.list_documents():
                key = (id(host), held.record.service)
                revision = held.record.revision
                assert self.revisions.get(key, 0) <= revision
                self.revisions[key] = revision


def check_world(world: World) -> None:
    for slot in world.slots[:2]:
        assert not slot.fake.violations, "an adapter was evicted while it served"
    runs = Counter()
    for slot in world.slots:
        runs.update(run.request for run in slot.fake.runs)
    started = defaultdict(list)
    for run in (run for slot in world.slots[2:] for run in slot.fake.runs if run.key):
        started[run.key].append(run.began)
    for call in world.calls:
        if call.aborted or call.left:
            continue
        assert call.outcome is not None, "a call got no answer"
        if call.outcome is Outcome.COMPLETED:
            check_answer(call)
        if call.outcome is Outcome.NOT_RUN:
            assert not runs[call.request], "told as not run, and ran"
            earlier = [began for began in started[call.key] if began < call.answered]
            assert not earlier, "an earlier sending under the key had run"
    assert all(len(times) <= 1 for times in started.values()), "ran more than once"


def check_answer(call: Call) -> None:
    assert call.ended
    if call.key:
        assert call.body == b"ran " + call.prompt.encode()
        return
    version = dict(call.headers)["x-ibishead-version"]
    asked = call.model.partition("@")[2]
    assert asked in ("", version)
    if call.body.startswith(b"data: "):
        events = call.body.split(b"\n\n")
        assert events[-2:] == [b"data: [DONE]", b""]
        texts = [msgspec.json.decode(e[len(b"data: ") :])["text"] for e in events[:-2]]
        assert " ".join(texts) == expect_text(call, version)
    else:
        assert msgspec.json.decode(call.body)["text"] == expect_text(call, version)


@settings(max_examples=200)
@given(st.lists(STEPS, min_size=10, max_size=40))
def test_promises_hold_under_any_schedule(steps):
    check_world(run_virtual(lambda: Story().run(steps)))


#: Seconds of a cut that outlasts the patience of a request without a target.
OUTAGE = 4.0 + REACH_TIMEOUT_SECONDS


def list_outcomes(*steps) -> list[Outcome | None]:
    world = run_virtual(lambda: Story().run(steps))
    check_world(world)
    return [call.outcome for call in world.calls]


def test_two_callers_under_one_key_are_both_answered():
    """Of two callers that resend under one key through one host, one gets no answer."""
    calls = [("plain", 0, "k1"), ("plain", 0, "k1"), ("plain", 1, "k1")]
    assert list_outcomes(*calls) == [Outcome.COMPLETED] * 3


def test_request_that_ran_once_is_never_told_as_not_run():
    """An engine dies under a request, and no other target can take the next attempt."""
    steps = [
        ("cut", 0, 1),
        ("wait", 4.0),
        ("model", 0, "tisza", "1", False),
        *[("wait", 0.2)] * 3,
        ("fail_loads", 0, True),
        ("restart_target", 0),
        ("wait", OUTAGE),
    ]
    assert list_outcomes(*steps) == [Outcome.UNKNOWN]


def test_request_that_waited_until_its_deadline_is_told_as_not_run():
    """No load permit comes, as the agents are cut off from control."""
    steps = [("cut_control", 2), ("cut_control", 3), ("model", 0, "tisza", "1", False)]
    steps += [("wait", 4.0)] * 6
    assert list_outcomes(*steps) == [Outcome.NOT_RUN]


def test_stream_outlives_its_link():
    """A middlebox loses track of an entry's connections in the middle of a stream."""
    steps = [("model", 0, "tisza", "1", True), *[("wait", 0.2)] * 2]
    steps += [("silence", 0, 0), ("silence", 0, 1), ("wait", 4.0)]
    assert list_outcomes(*steps) == [Outcome.COMPLETED]


def test_new_agent_doesnt_vouch_for_the_one_before():
    """An agent is killed while its engine runs a request, and both come back empty."""
    steps = [
        ("cut", 0, 1),
        ("wait", 4.0),
        ("model", 0, "tisza", "1", False),
        *[("wait", 0.2)] * 3,
        ("restart_agent", 0),
        ("fail_loads", 0, True),
        ("restart_target", 0),
        ("wait", OUTAGE),
    ]
    assert list_outcomes(*steps) == [Outcome.UNKNOWN]


def test_issue_isnt_doubled_by_an_agents_restart():
    """An agent dies while its target runs a stock issue, and is back at once."""
    call = ("plain", 0, "k1")
    steps = [call, ("wait", 0.02)]
    steps += [("wait", 0.02)] * 4
    steps += [("restart_agent", 2), ("restart_agent", 3), ("wait", 4.0), call]
    outcomes = list_outcomes(*steps)
    assert outcomes == [Outcome.UNKNOWN] * 2


def test_host_that_has_just_started_denies_nothing():
    """An entry host restarts and is asked before it has heard from control."""

    async def ask_at_once() -> int:
        world = World()
        await world.start()
        await world.kill_entry(0)
        call = world.call_model(0, "tisza", "1", stream=False)
        await world.settle()
        await world.stop()
        return call.status

    assert run_virtual(ask_at_once) == 503


async def _leave(action: str) -> World:
    world = World()
    await world.start()
    story = Story()
    story.world = world
    for _ in range(3):
        for adapter in ADAPTERS:
            world.call_model(0, adapter, "1", stream=True)
    await asyncio.sleep(0.5)
    await story.take(action, 0)
    await asyncio.sleep(LEAVE_LIMIT)
    left_at = asyncio.get_running_loop().time()
    for _ in range(20):
        world.call_model(0, "tisza", "1", stream=False)
        # The engine that is left runs 7 of them a second
        await asyncio.sleep(0.2)
    await world.settle()
    late = [run for run in world.slots[0].fake.runs if run.began > left_at]
    assert not late, "a leaving target got new work"
    await world.stop()
    return world


@pytest.mark.parametrize("action", ["drain", "stop_agent"])
def test_leaving_target_gets_no_new_work_and_cuts_nothing(action):
    """A target is drained, or its agent asked to stop, in the middle of streams."""
    world = run_virtual(lambda: _leave(action))
    check_world(world)
    assert {call.outcome for call in world.calls} == {Outcome.COMPLETED}


def test_change_reaches_every_host_and_holds():
    """A document is accepted while one entry host is cut off from control."""

    async def change() -> tuple[list[str], int]:
        world = World()
        await world.start()
        world.network.cut(CONTROL_HOST, HostId("entry-0"))
        world.submit("mester", 2)
        await asyncio.sleep(6.0)
        calls = [world.call_model(e, "tisza", "", stream=False) for e in (0, 1)]
        await world.settle()
        await world.stop()
        held = world.entries[0].subscription.catalog.find_document("mester")
        versions = [dict(c.headers)["x-ibishead-version"] for c in calls]
        return versions, held.record.revision

    assert run_virtual(change) == (["2", "2"], 2)


def test_request_that_becomes_protected_is_not_run_without_a_claim():
    """A team makes its plans run-once while an entry host is cut off from control."""

    async def call_late() -> tuple[World, Call]:
        world = World()
        await world.start()
        world.network.cut(CONTROL_HOST, HostId("entry-0"))
        world.submit("mester", protected=True)
        await asyncio.sleep(1.0)
        call = world.call_model(0, "tisza", "1", stream=False)
        await world.settle()
        await world.stop()
        return world, call

    world, call = run_virtual(call_late)
    assert call.outcome is Outcome.NOT_RUN
    assert not any(slot.fake.runs for slot in world.slots)
