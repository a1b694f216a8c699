"""The registry that leads blocks prompt parts, tries them again and releases them."""

import asyncio

import pytest
from tests.registry.replica_fakes import FakeReplica

from ibishead.clock import SystemClock
from ibishead.ids import HostId, PartKey
from ibishead.metrics import Metrics
from ibishead.registry import crashes
from ibishead.registry.crashes import CrashWatch
from ibishead.registry.state import RouteState
from ibishead.routing.messages import (
    EngineEnded,
    PartSound,
    PartUsesAnswer,
    ReportedUse,
    SuspectRun,
)
from ibishead.routing.prompts import PromptKeys

BAD, HEAD = PartKey("bad"), PartKey("head")


class FakeGateways:
    """Gateways that answer each question with the same uses, or not at all."""

    def __init__(self, watch):
        self.watch, self.uses, self.silent = watch, {}, False
        self.asked = []

    def list_gateways(self):
        return [HostId("g1"), HostId("g2")]

    def ask_gateways(self, question):
        self.asked.append(question.parts)
        uses = tuple(self.uses.get(part, ReportedUse(0)) for part in question.parts)
        if not self.silent:
            loop = asyncio.get_running_loop()
            for _ in range(2):
                answer = PartUsesAnswer(question.number, uses)
                loop.call_soon(self.watch().handle_message, answer)
        return 2


class Scene:
    """A registry, and engines that crash."""

    def __init__(self):
        self.state, self.crashed = RouteState(), 0
        self.replica = FakeReplica(self.state)
        self.gateways = FakeGateways(lambda: self.watch)
        self.watch = CrashWatch(
            self.state,
            self.replica,
            SystemClock(),
            self.gateways,
            Metrics("registry"),
            lambda: 0.9,
        )

    async def __aenter__(self):
        self.task = asyncio.create_task(self.watch.run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def crash(self, shared=(HEAD, BAD), times=3, sound=()):
        """Crash engines one after the other, the last one just now."""
        for number in range(times):
            self.crashed += 1
            age = 0.3 * (times - number)
            keys = PromptKeys(PartKey(f"own{self.crashed}"), shared)
            runs = (SuspectRun(keys, age + 0.2),)
            self.watch.handle_message(
                EngineEnded(f"t{self.crashed}", 1, age, runs, sound)
            )

    @property
    def blocked(self):
        return {found.part for found in self.state.blocked.parts}


async def settle(seconds=0.05):
    await asyncio.sleep(seconds)


@pytest.mark.parametrize(
    ("uses", "blocked"),
    [
        ({HEAD: ReportedUse(9, 0.1)}, {BAD}),
        ({HEAD: ReportedUse(9, 30.0)}, {BAD}),
        ({HEAD: ReportedUse(9)}, {BAD}),
        ({HEAD: ReportedUse(9), BAD: ReportedUse(3)}, {BAD}),
        ({HEAD: ReportedUse(9, 0.1), BAD: ReportedUse(2, 0.1)}, set()),
        ({HEAD: ReportedUse(4), BAD: ReportedUse(3)}, {BAD}),
        # nothing tells them apart
        ({}, set()),
    ],
)
async def test_the_part_is_blocked_and_not_those_that_came_with_it(uses, blocked):
    """Sound requests with the same first part would be refused."""
    async with Scene() as scene:
        scene.gateways.uses = uses
        scene.crash()
        await settle()
        assert scene.blocked == blocked


async def test_nothing_is_blocked_while_too_few_gateways_answer():
    """A part on which answers were written at suspended gateways would be blocked."""
    async with Scene() as scene:
        scene.gateways.silent = True
        scene.crash(shared=(BAD,))
        await settle(crashes.ANSWER_TIMEOUT_SECONDS + 0.1)
        assert scene.blocked == set()
        scene.gateways.silent = False
        await settle(crashes.CHECK_INTERVAL_SECONDS + 0.1)
        assert scene.blocked == {BAD}


async def test_a_part_in_more_crashes_but_far_more_requests_is_not_blamed():
    """The first part of all prompts is at every engine that crashes by itself."""
    async with Scene() as scene:
        scene.gateways.uses = {HEAD: ReportedUse(200), BAD: ReportedUse(4)}
        scene.crash(shared=(HEAD,), times=2)
        scene.crash()
        await settle()
        assert scene.blocked == {BAD}


async def test_only_the_leader_blocks_and_a_later_one_takes_over():
    """The crashes that an earlier leader saw would have to happen again."""
    async with Scene() as scene:
        scene.replica.leads = False
        scene.crash(shared=(BAD,))
        await settle()
        assert scene.blocked == set()
        assert scene.gateways.asked == []
        scene.replica.leads = True
        await settle(crashes.CHECK_INTERVAL_SECONDS + 0.1)
        assert scene.blocked == {BAD}


async def test_a_block_that_found_no_quorum_is_proposed_again():
    async with Scene() as scene:
        scene.replica.failures = 1
        scene.crash(shared=(BAD,))
        await settle()
        assert scene.blocked == set()
        await settle(crashes.CHECK_INTERVAL_SECONDS + 0.1)
        assert scene.blocked == {BAD}


async def test_a_crash_that_is_told_twice_counts_once():
    """A steward repeats its crashes to each registry that is linked later."""
    async with Scene() as scene:
        for _ in range(4):
            scene.crashed = 0
            scene.crash(times=2)
        await settle()
        assert scene.watch.count == 2
        assert scene.blocked == set()


async def test_suspicions_without_new_crashes_are_not_asked_about_again():
    async with Scene() as scene:
        scene.gateways.uses = {BAD: ReportedUse(9, 30.0), HEAD: ReportedUse(9, 30.0)}
        scene.crash()
        await settle(2 * crashes.CHECK_INTERVAL_SECONDS + 0.2)
        assert len(scene.gateways.asked) == 1


async def test_a_blocked_part_is_tried_at_one_gateway_and_released(monkeypatch):
    monkeypatch.setattr(crashes, "TRIAL_SECONDS", 0.2)
    monkeypatch.setattr(crashes, "CHECK_INTERVAL_SECONDS", 0.05)
    async with Scene() as scene:
        scene.crash(shared=(BAD,))
        await settle()
        (found,) = scene.state.blocked.parts
        assert (found.trials, found.tester) == (0, "")
        await settle(0.25)
        (found,) = scene.state.blocked.parts
        assert (found.trials, found.tester) == (1, "g2")
        await settle(0.2)
        assert scene.state.blocked.parts[0].trials == 1, "the next trial is later"
        scene.watch.handle_message(PartSound(BAD))
        await settle()
        assert scene.blocked == set()


async def test_a_released_part_is_blocked_again_only_after_new_crashes():
    async with Scene() as scene:
        scene.crash(shared=(BAD,))
        await settle()
        scene.watch.handle_message(PartSound(BAD))
        await settle()
        scene.crash(shared=(BAD,), times=2)
        await settle()
        assert scene.blocked == set()


@pytest.mark.parametrize("age", [0.1, 30.0])
async def test_what_stewards_saw_counts_after_all_gateways_have_restarted(age):
    """The first part of all prompts would be blocked, as no gateway remembers it."""
    async with Scene() as scene:
        scene.crash(shared=(HEAD,), times=2, sound=((HEAD, age),))
        scene.crash(sound=((HEAD, age),))
        await settle()
        assert scene.blocked == {BAD}
