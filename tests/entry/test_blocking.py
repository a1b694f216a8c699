"""Calls with messages that crash engines, at one entry host."""

import pytest

from ibishead.clock import ManualClock
from ibishead.entry import blocking
from ibishead.entry.blocking import MessageBlocks
from ibishead.errors import ErrorCode, OutcomeUnknown, Unavailable
from ibishead.ids import CustomerId, PartKey
from ibishead.routing.messages import EngineEnded, SuspectRun
from ibishead.routing.prompts import PromptKeys

BAD = PartKey("bad")


def make_keys(own="own", team="halo", shared=("head", "bad")):
    return PromptKeys(PartKey(own), tuple(shared), CustomerId(team))


class Scene:
    """An entry host that hears of crashes."""

    def __init__(self):
        self.clock, self.crashed = ManualClock(), 0
        self.blocks = MessageBlocks(self.clock, lambda: 0.5)

    def crash(self, times=3, team="halo", shared=("bad",)):
        for _ in range(times):
            self.clock.step(1.0)
            self.crashed += 1
            keys = make_keys(f"own{self.crashed}", team, shared)
            runs = (SuspectRun(keys, 0.3),)
            self.blocks.record_crash(EngineEnded(f"e{self.crashed}", 1, 0.1, runs))

    def is_refused(self, **keys):
        return self.blocks.find_error(make_keys(**keys), False) is not None


class FakeAttempt:
    """Records whether it was cancelled."""

    cancelled = False

    def cancel(self):
        self.cancelled = True


@pytest.mark.parametrize(
    ("times", "team", "refused"),
    [(2, "halo", False), (3, "halo", True), (3, "other", False)],
)
def test_which_calls_are_refused(times, team, refused):
    """A team would get the messages of another one refused."""
    scene = Scene()
    scene.crash(times)
    assert scene.is_refused(team=team) is refused
    assert not scene.is_refused(team=team, shared=("head",))


@pytest.mark.parametrize(
    ("may_have_run", "kind"), [(False, Unavailable), (True, OutcomeUnknown)]
)
def test_a_refusal_says_whether_the_call_may_have_run(may_have_run, kind):
    scene = Scene()
    scene.crash()
    error = scene.blocks.find_error(make_keys(), may_have_run)
    assert type(error) is kind
    assert error.code is ErrorCode.PROMPT_BLOCKED


def test_an_attempt_that_waits_is_cancelled_once_its_message_is_blocked():
    """It would be sent when its turn comes."""
    scene, waiting, begun, sound = Scene(), FakeAttempt(), FakeAttempt(), FakeAttempt()
    scene.blocks.begin_wait(waiting, make_keys())
    scene.blocks.begin_wait(begun, make_keys())
    scene.blocks.end_wait(begun)
    scene.blocks.begin_wait(sound, make_keys(shared=("head",)))
    scene.crash()
    assert [waiting.cancelled, begun.cancelled, sound.cancelled] == [True, False, False]


def test_one_call_tries_a_blocked_message_and_releases_it():
    scene = Scene()
    scene.crash()
    scene.clock.step(blocking.TRIAL_SECONDS)
    assert not scene.is_refused()
    assert scene.is_refused(), "one call is enough"
    scene.clock.step(blocking.TRIAL_SECONDS)
    assert scene.is_refused(), "the next trial is later"
    scene.blocks.record_answer(make_keys(), scene.clock.monotonic() - 1.0, True)
    assert not scene.is_refused()


def test_an_answer_written_on_a_message_since_its_first_crash_clears_it():
    scene = Scene()
    scene.crash(1)
    scene.blocks.record_answer(make_keys(), scene.clock.monotonic(), True)
    scene.crash(2)
    assert not scene.is_refused()


@pytest.mark.parametrize(("age", "refused"), [(0.5, False), (None, True)])
def test_an_entry_host_that_has_just_started_learns_what_is_sound(age, refused):
    """It would blame messages that merely came with the bad one."""
    scene = Scene()
    for number in range(3):
        scene.clock.step(1.0)
        runs = (SuspectRun(make_keys(f"own{number}", shared=("bad",)), 0.3),)
        sound = ((BAD, age),) if age is not None else ()
        report = EngineEnded(f"e{number}", 1, 0.1, runs, sound)
        scene.blocks.record_crash(report)
    assert scene.is_refused() is refused


def test_endless_bad_messages_do_not_fill_the_memory(monkeypatch):
    monkeypatch.setattr(blocking, "MAX_BLOCKED", 5)
    scene = Scene()
    for number in range(8):
        scene.crash(shared=(f"bad{number}",))
    assert len(scene.blocks._blocked) == 5
    assert not scene.is_refused(shared=("bad0",))
    assert scene.is_refused(shared=("bad7",))
