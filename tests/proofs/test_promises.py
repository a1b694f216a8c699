"""What must always hold, under any order of failures.

Hypothesis draws a schedule of calls and failures; the real entries, agents and
control state live through it in virtual time. Whatever a caller was told is then
compared with the targets' own ledgers.
"""

import asyncio
from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.proofs.virtual import run_virtual
from tests.proofs.world import ADAPTERS, CONTROL_HOST, Call, Slot, World, expect_text

from ibishead.ids import HostId
from ibishead.messages import Outcome

ENTRY_NUMBERS = st.integers(0, 1)
TARGET_NUMBERS = st.integers(0, 3)
SECONDS = st.sampled_from([0.02, 0.2, 1.0, 4.0])

#: Seconds after which a leaving target may get nothing new.
LEAVE_LIMIT = 3.0

STEPS = st.one_of(
    st.tuples(
        st.just("model"),
        ENTRY_NUMBERS,
        st.sampled_from(ADAPTERS),
        st.sampled_from(["", "1"]),
        st.booleans(),
    ),
    st.tuples(st.just("plain"), ENTRY_NUMBERS, st.sampled_from(["k1", "k2", "k3"])),
    st.tuples(st.just("wait"), SECONDS),
    st.tuples(st.just("hold"), ENTRY_NUMBERS, TARGET_NUMBERS, st.booleans(), SECONDS),
    st.tuples(st.just("silence"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut"), ENTRY_NUMBERS, TARGET_NUMBERS),
    st.tuples(st.just("cut_control"), st.integers(0, 5)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("kill_entry"), ENTRY_NUMBERS),
    st.tuples(st.just("restart_agent"), TARGET_NUMBERS),
    st.tuples(st.just("restart_target"), TARGET_NUMBERS),
    st.tuples(st.just("freeze_target"), TARGET_NUMBERS, SECONDS),
    st.tuples(st.just("fail_loads"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("leave"), st.integers(0, 9)),
    st.tuples(st.just("submit"), st.integers(1, 3)),
    st.tuples(st.just("drain"), TARGET_NUMBERS),
    st.tuples(st.just("stop_agent"), TARGET_NUMBERS),
    st.tuples(st.just("retire"), TARGET_NUMBERS),
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
    for call in world.calls:
        if call.aborted or call.left:
            continue
        assert call.outcome is not None, "a call got no answer"
        if call.outcome is Outcome.COMPLETED:
            check_answer(call)
        if call.outcome is Outcome.NOT_RUN:
            assert runs[call.request] == 0, "told as not run, and ran"
    executions = Counter(
        run.key for slot in world.slots[2:] for run in slot.fake.runs if run.key
    )
    assert all(count == 1 for count in executions.values()), "ran more than once"


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


@settings(max_examples=300)
@given(st.lists(STEPS, max_size=25))
def test_promises_hold_under_any_schedule(steps):
    check_world(run_virtual(lambda: Story().run(steps)))
