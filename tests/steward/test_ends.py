"""Which ends of engines are told to the registries, and what is said of each."""

from dataclasses import replace

import pytest
from tests.fake_feed import FakeFeed
from tests.fake_links import FakeLink

from ibishead.clock import ManualClock
from ibishead.ids import FailureDomain, PartKey, ServiceName, TargetId
from ibishead.routing.crashreports import KEPT_SECONDS, MAX_SUSPECTS
from ibishead.routing.messages import EngineEnded
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import Registration, TargetState
from ibishead.steward.ends import EngineEnds
from ibishead.steward.engine import EngineState

ADDRESS = "127.0.0.1:9"
STATE = EngineState(1, 0, False, ())
KEYS = PromptKeys(PartKey("own"), (PartKey("bad"),))


class Scene:
    """An engine that runs one request since 0.3 s, which has begun 0.1 s ago."""

    def __init__(self):
        self.clock, self.feed = ManualClock(), FakeFeed()
        self.ends = EngineEnds(self.feed, self.clock)
        self.link = FakeLink()
        self.register(TargetState.READY)
        self.read(STATE)
        self.ends.runs.begin(self.link, 1, KEYS, self.clock.monotonic())
        self.clock.step(0.2)
        self.ends.runs.begin_answer(self.link, 1, self.clock.monotonic())
        self.clock.step(0.1)

    def register(self, state, born=1):
        self.feed.view.merge(
            Registration(
                TargetId("t1"),
                ServiceName("s"),
                ADDRESS,
                FailureDomain("a"),
                8,
                state,
                born,
                2 if state is TargetState.DRAINING else 1,
            ),
            self.clock.monotonic(),
        )

    def read(self, state):
        self.ends.record_state(state, self.feed.view.find_by_address(ADDRESS))


def end_at_once(scene):
    scene.ends.record_gone()


def start_again_between_two_reports(scene):
    scene.read(replace(STATE, born=2))


def be_unreachable_for_a_moment(scene):
    scene.read(STATE)


def end_after_draining(scene):
    scene.read(replace(STATE, draining=True))
    scene.ends.record_gone()


def end_after_deregistering(scene):
    scene.register(TargetState.DRAINING)
    scene.ends.record_gone()


def end_twice(scene):
    scene.ends.record_gone()
    scene.ends.record_gone()


def end_with_nothing_running(scene):
    scene.ends.end_run(scene.link, 1, False, scene.clock.monotonic())
    scene.ends.record_gone()


@pytest.mark.parametrize(
    ("act", "told"),
    [
        (end_at_once, 1),
        (start_again_between_two_reports, 1),
        (be_unreachable_for_a_moment, 0),
        (end_after_draining, 0),
        (end_after_deregistering, 0),
        (end_twice, 1),
        (end_with_nothing_running, 0),
    ],
)
def test_which_ends_are_told(act, told):
    """Planned ends would count against what ran, or crashes would go unseen."""
    scene = Scene()
    act(scene)
    assert len(scene.feed.sent) == told
    for message in scene.feed.sent:
        assert (message.target, message.born) == ("t1", 1)
        assert [(run.keys, run.age) for run in message.suspects] == [(KEYS, 0.3)]


def test_the_end_is_dated_by_the_first_lost_answer():
    """A resend right after the crash would seem to come before it."""
    scene = Scene()
    scene.ends.end_run(scene.link, 1, True, scene.clock.monotonic())
    scene.clock.step(0.25)
    scene.ends.record_gone()
    (message,) = scene.feed.sent
    assert message.age == 0.25


@pytest.mark.parametrize(("seconds", "repeated"), [(5.0, 1), (KEPT_SECONDS + 1, 0)])
def test_a_registry_that_is_linked_later_is_told(seconds, repeated):
    """Crashes would be forgotten when all registries start again."""
    scene, link = Scene(), FakeLink()
    scene.ends.record_gone()
    scene.clock.step(seconds)
    scene.ends.greet_registry(link)
    assert len(link.sent) == repeated
    for message in link.sent:
        assert message.age == seconds
        assert message.suspects[0].age == round(seconds + 0.3, 3)


def test_the_newest_suspects_are_told_of_very_many():
    scene = Scene()
    for number in range(2, MAX_SUSPECTS + 50):
        scene.clock.step(0.001)
        scene.ends.runs.begin(scene.link, number, KEYS, scene.clock.monotonic())
    scene.ends.record_gone()
    (message,) = scene.feed.sent
    assert isinstance(message, EngineEnded)
    ages = [run.age for run in message.suspects]
    assert len(ages) == MAX_SUSPECTS
    assert ages == sorted(ages)


@pytest.mark.parametrize(
    ("failed", "seconds", "sound"), [(False, 0.1, True), (True, 0.1, False)]
)
def test_answers_that_were_written_at_the_engine_are_told(failed, seconds, sound):
    """Gateways that have restarted remember none of them."""
    scene = Scene()
    scene.ends.end_run(scene.link, 1, failed, scene.clock.monotonic())
    scene.clock.step(seconds)
    scene.ends.runs.begin(scene.link, 2, KEYS, scene.clock.monotonic())
    scene.ends.record_gone()
    (message,) = scene.feed.sent
    assert [part for part, _ in message.sound] == (["bad", "own"] if sound else [])
