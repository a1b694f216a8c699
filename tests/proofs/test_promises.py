"""Guarantees that hold under any schedule of calls and failures.

Hypothesis generates schedules of calls and failures. The real entry hosts, agents and
control state run each schedule in virtual time, and the responses that callers received
are then compared with the ledgers of the targets.
"""

import asyncio
from collections import Counter, defaultdict

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.proofs.virtual import run_virtual
from tests.proofs.world import (
    ADAPTERS,
    CONTROL_HOST,
    Call,
    TargetNode,
    World,
    expect_text,
)

from ibishead.entry.dispatching import REACH_TIMEOUT_SECONDS
from ibishead.ids import HostId
from ibishead.messages import Outcome

ENTRY_NUMBERS = st.integers(0, 1)
TARGET_NUMBERS = st.integers(0, 3)
DURATIONS = st.sampled_from([0.02, 0.2, 1.0, 4.0])

#: Time after which a draining target must not receive new requests.
DRAIN_DELAY_SECONDS = 3.0

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
WAITS = st.tuples(st.just("wait"), DURATIONS)
LINK_FAULTS = st.one_of(
    st.tuples(st.just("hold"), ENTRY_NUMBERS, TARGET_NUMBERS, st.booleans(), DURATIONS),
    st.tuples(st.just("silence"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut_control"), st.integers(0, 5)),
    st.tuples(st.just("heal")),
)
PROGRAM_FAULTS = st.one_of(
    st.tuples(st.just("kill_entry"), ENTRY_NUMBERS),
    st.tuples(st.just("restart_agent"), TARGET_NUMBERS),
    st.tuples(st.just("restart_target"), TARGET_NUMBERS),
    st.tuples(st.just("freeze_target"), TARGET_NUMBERS, DURATIONS),
    st.tuples(st.just("fail_loads"), st.integers(0, 1), st.booleans()),
)
ACTIONS = st.one_of(
    st.tuples(st.just("leave"), st.integers(0, 9)),
    st.tuples(st.just("submit"), st.integers(1, 3)),
    st.tuples(st.just("drain"), TARGET_NUMBERS),
    st.tuples(st.just("stop_agent"), TARGET_NUMBERS),
    st.tuples(st.just("retire"), TARGET_NUMBERS),
)
# Calls are generated most often, so that failures occur while calls are in progress
STEPS = st.one_of(
    MODEL_CALLS, MODEL_CALLS, PLAIN_CALLS, WAITS, LINK_FAULTS, PROGRAM_FAULTS, ACTIONS
)


class Scenario:
    """Runs one schedule and checks the invariants after each step."""

    def __init__(self) -> None:
        self.world = World()
        self.revisions: dict[object, int] = {}
        self.draining: dict[object, float] = {}

    async def run(self, steps) -> World:
        world = self.world
        await world.start()
        for step in steps:
            await self.run_step(*step)
            self.check_revisions()
        world.network.heal()
        await world.wait_answered()
        # Time to complete requests that were cut off and records that are in progress
        await asyncio.sleep(10.0)
        self.check_revisions()
        await world.stop()
        return world

    async def run_step(self, name, *arguments) -> None:
        world = self.world
        match name, *arguments:
            case "model", entry, adapter, version, stream:
                world.call_model(entry, adapter, version, stream)
            case "plain", entry, key:
                world.call_plain(entry, key)
            case "wait", seconds:
                await asyncio.sleep(seconds)
            case "hold", entry, target, to_agent, seconds:
                ends = (HostId(f"entry-{entry}"), self.node(target).settings.host)
                a, b = ends if to_agent else reversed(ends)
                world.network.delay(a, b, seconds)
            case "silence", entry, target:
                world.network.silence(
                    HostId(f"entry-{entry}"), self.node(target).settings.host
                )
            case "cut", entry, target:
                world.network.partition(
                    HostId(f"entry-{entry}"), self.node(target).settings.host
                )
            case "cut_control", number:
                hosts = [HostId("entry-0"), HostId("entry-1")]
                hosts += [node.settings.host for node in world.nodes]
                world.network.partition(CONTROL_HOST, hosts[number])
            case ("heal",):
                world.network.heal()
            case "kill_entry", entry:
                await world.kill_entry(entry)
            case "restart_agent", target:
                await world.restart_agent(self.node(target))
            case "restart_target", target:
                self.node(target).fake.restart()
            case "freeze_target", target, seconds:
                self.node(target).fake.freeze(seconds)
            case "fail_loads", target, failing:
                self.node(target).fake.loads_fail = failing
            case "leave", number:
                if number < len(world.calls):
                    world.disconnect(world.calls[number])
            case "submit", version:
                world.submit("mester", version)
            case "drain", target:
                world.drain(self.node(target))
                self.draining.setdefault(target, asyncio.get_running_loop().time())
            case "stop_agent", target:
                world.stop_agent(self.node(target))
            case "retire", target:
                world.retire(self.node(target))

    def node(self, number: int) -> TargetNode:
        return self.world.nodes[number]

    def check_revisions(self) -> None:
        """Check that revisions never decrease at any entry host between restarts."""
        for host in self.world.entries:
            for held in host.subscription.catalog.list_documents():
                key = (id(host), held.record.service)
                revision = held.record.revision
                assert self.revisions.get(key, 0) <= revision
                self.revisions[key] = revision


def check_guarantees(world: World) -> None:
    for node in world.nodes[:2]:
        assert not node.fake.violations, "an adapter was evicted while it was in use"
    runs = Counter()
    for node in world.nodes:
        runs.update(run.request for run in node.fake.runs)
    started = defaultdict(list)
    for run in (run for node in world.nodes[2:] for run in node.fake.runs if run.key):
        started[run.key].append(run.started_at)
    for call in world.calls:
        if call.aborted or call.disconnected:
            continue
        assert call.outcome is not None, "a call got no response"
        if call.outcome is Outcome.COMPLETED:
            check_answer(call)
        if call.outcome is Outcome.NOT_RUN:
            assert not runs[call.request], "reported as not run but executed"
            earlier = [start for start in started[call.key] if start < call.answered]
            assert not earlier, "an earlier send with the same key was executed"
    assert all(len(times) <= 1 for times in started.values()), "executed more than once"


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
def test_guarantees_hold_under_any_schedule(steps):
    check_guarantees(run_virtual(lambda: Scenario().run(steps)))


#: Duration of a partition that exceeds the time a request waits for a target.
OUTAGE_SECONDS = 4.0 + REACH_TIMEOUT_SECONDS


def list_outcomes(*steps) -> list[Outcome | None]:
    world = run_virtual(lambda: Scenario().run(steps))
    check_guarantees(world)
    return [call.outcome for call in world.calls]


def test_concurrent_calls_with_one_key_are_all_answered():
    """Guards against a missing response when two calls through one host share a key."""
    calls = [("plain", 0, "k1"), ("plain", 0, "k1"), ("plain", 1, "k1")]
    assert list_outcomes(*calls) == [Outcome.COMPLETED] * 3


def test_request_that_may_have_run_is_not_reported_as_not_run():
    """An engine dies during a request, and no other target can run the next attempt."""
    steps = [
        ("cut", 0, 1),
        ("wait", 4.0),
        ("model", 0, "tisza", "1", False),
        *[("wait", 0.2)] * 3,
        ("fail_loads", 0, True),
        ("restart_target", 0),
        ("wait", OUTAGE_SECONDS),
    ]
    assert list_outcomes(*steps) == [Outcome.UNKNOWN]


def test_request_that_waited_until_its_deadline_is_reported_as_not_run():
    """No load permit is granted, because the agents are partitioned from control."""
    steps = [("cut_control", 2), ("cut_control", 3), ("model", 0, "tisza", "1", False)]
    steps += [("wait", 4.0)] * 6
    assert list_outcomes(*steps) == [Outcome.NOT_RUN]


def test_stream_is_resumed_after_its_link_is_lost():
    """A middlebox drops the state of an entry host's connections during a stream."""
    steps = [("model", 0, "tisza", "1", True), *[("wait", 0.2)] * 2]
    steps += [("silence", 0, 0), ("silence", 0, 1), ("wait", 4.0)]
    assert list_outcomes(*steps) == [Outcome.COMPLETED]


def test_restarted_agent_reports_no_outcome_of_earlier_requests():
    """An agent is killed while its engine runs a request, and both lose their state."""
    steps = [
        ("cut", 0, 1),
        ("wait", 4.0),
        ("model", 0, "tisza", "1", False),
        *[("wait", 0.2)] * 3,
        ("restart_agent", 0),
        ("fail_loads", 0, True),
        ("restart_target", 0),
        ("wait", OUTAGE_SECONDS),
    ]
    assert list_outcomes(*steps) == [Outcome.UNKNOWN]


def test_agent_restart_does_not_repeat_an_execution():
    """An agent restarts immediately while its target runs a non-idempotent request."""
    call = ("plain", 0, "k1")
    steps = [call, ("wait", 0.02)]
    steps += [("wait", 0.02)] * 4
    steps += [("restart_agent", 2), ("restart_agent", 3), ("wait", 4.0), call]
    outcomes = list_outcomes(*steps)
    assert outcomes == [Outcome.UNKNOWN] * 2


def test_entry_host_without_documents_is_unavailable():
    """An entry host restarts and gets a request before the documents from control."""

    async def ask_at_once() -> int:
        world = World()
        await world.start()
        await world.kill_entry(0)
        call = world.call_model(0, "tisza", "1", stream=False)
        await world.wait_answered()
        await world.stop()
        return call.status

    assert run_virtual(ask_at_once) == 503


async def _run_with_draining_target(action: str) -> World:
    world = World()
    await world.start()
    scenario = Scenario()
    scenario.world = world
    for _ in range(3):
        for adapter in ADAPTERS:
            world.call_model(0, adapter, "1", stream=True)
    await asyncio.sleep(0.5)
    await scenario.run_step(action, 0)
    await asyncio.sleep(DRAIN_DELAY_SECONDS)
    drained_at = asyncio.get_running_loop().time()
    for _ in range(20):
        world.call_model(0, "tisza", "1", stream=False)
        # The remaining engine runs 7 of these requests per second
        await asyncio.sleep(0.2)
    await world.wait_answered()
    late = [run for run in world.nodes[0].fake.runs if run.started_at > drained_at]
    assert not late, "a draining target received new requests"
    await world.stop()
    return world


@pytest.mark.parametrize("action", ["drain", "stop_agent"])
def test_draining_target_gets_no_new_requests_and_interrupts_none(action):
    """A target is drained, or its agent is stopped, while it serves streams."""
    world = run_virtual(lambda: _run_with_draining_target(action))
    check_guarantees(world)
    assert {call.outcome for call in world.calls} == {Outcome.COMPLETED}


def test_document_change_reaches_every_host_and_stays():
    """A document is accepted while one entry host is partitioned from control."""

    async def change() -> tuple[list[str], int]:
        world = World()
        await world.start()
        world.network.partition(CONTROL_HOST, HostId("entry-0"))
        world.submit("mester", 2)
        await asyncio.sleep(6.0)
        calls = [world.call_model(e, "tisza", "", stream=False) for e in (0, 1)]
        await world.wait_answered()
        await world.stop()
        held = world.entries[0].subscription.catalog.find_document("mester")
        versions = [dict(c.headers)["x-ibishead-version"] for c in calls]
        return versions, held.record.revision

    assert run_virtual(change) == (["2", "2"], 2)


def test_request_that_becomes_protected_is_not_run_without_a_claim():
    """A class becomes non-idempotent while an entry host is cut off from control."""

    async def call_late() -> tuple[World, Call]:
        world = World()
        await world.start()
        world.network.partition(CONTROL_HOST, HostId("entry-0"))
        world.submit("mester", protected=True)
        await asyncio.sleep(1.0)
        call = world.call_model(0, "tisza", "1", stream=False)
        await world.wait_answered()
        await world.stop()
        return world, call

    world, call = run_virtual(call_late)
    assert call.outcome is Outcome.NOT_RUN
    assert not any(node.fake.runs for node in world.nodes)
