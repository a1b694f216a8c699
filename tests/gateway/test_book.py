"""What a gateway believes of a target, as reports age and answers come."""

import msgspec
import pytest

from ibishead.decisions.health import HALF_LIFE
from ibishead.gateway.book import TargetBook
from ibishead.gateway.calls import TargetLoadTold
from ibishead.ids import FailureDomain, ModelName, ServiceName, TargetId
from ibishead.routing.messages import EngineReport, FailuresTold, PromptDelay
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    TargetState,
    WeightKey,
)

MODEL = ModelName("m")
KEY = WeightKey(MODEL, "a1")
TARGET = Registration(
    TargetId("t"),
    ServiceName("s"),
    "10.0.0.1:80",
    FailureDomain("a"),
    8,
    TargetState.READY,
    1,
    1,
)


def make_report(version: int = 1, born: int = 1, **changes) -> EngineReport:
    holdings = (Holding(MODEL, 1, (AdapterRef("a1", version),)),)
    return EngineReport(TargetId("t"), born, holdings, free_slots=2, **changes)


def describe(book: TargetBook, now: float, key=KEY, least: int = 0, linked=True):
    return book.describe(TARGET, now, now, key, least, linked)


@pytest.mark.parametrize("age", [0.1, 5.0, 600.0])
def test_a_report_that_has_nothing_new_to_tell_still_counts(age):
    """The first callers after a quiet time are refused, as if no engine was there."""
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    assert describe(book, age).adapter.resident
    assert describe(book, age, WeightKey(MODEL, "b")).adapter.manageable


@pytest.mark.parametrize(
    ("held", "least", "resident", "outdated"),
    [
        (1, 0, True, False),
        (1, 2, False, True),
        (2, 2, True, False),
        (3, 2, True, False),
    ],
)
def test_an_old_version_counts_as_absent(held, least, resident, outdated):
    book = TargetBook()
    book.take_report(make_report(held), 0.0)
    place = describe(book, 0.1, least=least).adapter
    assert (place.resident, place.outdated) == (resident, outdated)


def test_an_engine_without_its_steward_serves_what_it_holds():
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    assert describe(book, 1.0, linked=False).adapter.resident
    other = describe(book, 1.0, WeightKey(MODEL, "b"), linked=False).adapter
    assert not other.manageable


def test_a_new_life_starts_without_the_notes_of_the_last():
    book = TargetBook()
    book.take_report(make_report(born=1), 0.0)
    book.take_report(EngineReport(TargetId("t"), 2, ()), 1.0)
    notes = book.notes(msgspec.structs.replace(TARGET, born=2))
    assert (notes.born, notes.report.holdings) == (2, ())


def test_told_load_counts_with_own_sends_since_and_ages():
    book = TargetBook()
    notes = book.notes(TARGET)
    book.note_told(notes, TargetLoadTold(5, 1, 8), 10.0)
    book.begin(notes, 0)
    assert describe(book, 10.1).busy == 7
    assert describe(book, 12.0).busy == 1


def test_failures_weigh_less_with_time():
    book = TargetBook()
    notes = book.notes(TARGET)
    for _ in range(10):
        book.note_outcome(notes, True, 0.0)
    before, after = describe(book, 0.0).failures, describe(book, 2 * HALF_LIFE).failures
    assert before > 0.8
    assert after == pytest.approx(before / 4)


@pytest.mark.parametrize("key", [KEY, WeightKey(MODEL)])
@pytest.mark.parametrize(("holdings", "serving"), [((), False), (None, True)])
def test_an_engine_without_the_model_is_no_place_for_its_adapters(
    key, holdings, serving
):
    """Requests wait at engines that have just started, as these are idle."""
    book, report = TargetBook(), make_report()
    book.take_report(
        report if holdings is None else msgspec.structs.replace(report, holdings=()),
        0.0,
    )
    place = describe(book, 0.1, key).adapter
    assert place.serving is serving
    assert place.resident is serving


def test_the_wait_for_turns_fades_as_time_passes():
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    book.take_delay(PromptDelay(TargetId("t"), 0.5), 1.0)
    waits = [describe(book, now).prompt_wait for now in (1.0, 1.3, 2.0)]
    assert waits == pytest.approx([0.5, 0.2, 0.0])


def test_adapters_that_an_engine_had_are_remembered_for_its_present_life():
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    empty = (Holding(MODEL, 1),)
    book.take_report(EngineReport(TargetId("t"), 1, empty), 1.0)
    assert describe(book, 1.0).adapter.recent
    assert not describe(book, 1.0, least=2).adapter.recent
    book.take_report(EngineReport(TargetId("t"), 2, empty), 2.0)
    assert not describe(book, 2.0).adapter.recent


def test_an_adapter_that_is_waited_for_is_not_asked_for_elsewhere():
    """Eight engines fetch one adapter, each for another gateway."""
    book, other = TargetBook(), WeightKey(MODEL, "b")
    book.take_report(make_report(awaited=(other,)), 0.0)
    assert describe(book, 0.1, other).adapter.wished
    mine = WeightKey(MODEL, "c")
    notes = book.notes(TARGET)
    book.begin_ask(notes, mine)
    place = describe(book, 0.1, mine).adapter
    assert (place.wished, place.wishes) == (True, 2)
    book.end_ask(notes, mine)
    assert not describe(book, 0.1, mine).adapter.wished


def test_targets_that_are_gone_leave_no_notes():
    """A gateway is ended for its memory after weeks of engines that come and go."""
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    book.keep({TargetId("t")})
    assert describe(book, 0.1).adapter.resident
    book.keep(set())
    assert not describe(book, 0.1).adapter.resident


@pytest.mark.parametrize(("age", "wait"), [(0.0, 0.5), (0.3, 0.2), (9.0, 0.05)])
def test_a_model_on_its_way_comes_nearer_with_time(age, wait):
    """Callers are refused for seconds after the models are in place, or nearly so."""
    book = TargetBook()
    empty = msgspec.structs.replace(make_report(), holdings=(), model_wait=0.5)
    book.take_report(empty, 10.0)
    place = describe(book, 10.0 + age).adapter
    assert not place.serving
    assert place.model_wait == pytest.approx(wait)


def test_failures_that_others_met_count_here_too():
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    assert describe(book, 0.0).failures == 0.0
    book.take_failures(FailuresTold(TargetId("t"), 0.5), 0.0)
    assert describe(book, 0.0).failures == 0.5
    assert describe(book, 60.0).failures < 0.01


@pytest.mark.parametrize(
    ("mute", "heard", "unreached"),
    [(False, 0.0, False), (True, 0.0, True), (True, 9.9, False)],
)
def test_an_engine_whose_steward_is_mute_counts_while_it_brings_events(
    mute, heard, unreached
):
    """Prompts go to a host that stands still, as its engine holds their adapters."""
    book = TargetBook()
    book.take_report(make_report(), 0.0)
    book.notes(TARGET).heard_at = heard
    found = book.describe(TARGET, 10.0, 10.0, KEY, 0, True, None, mute)
    assert found.unreached is unreached


@pytest.mark.parametrize(
    ("key", "linked", "wait"),
    [(None, True, 2.0), (None, False, 2.0), (KEY, False, 2.0), (KEY, True, 0.0)],
)
def test_a_limit_is_shared_where_no_steward_keeps_it(key, linked, wait):
    """Each gateway sends a target as much as it takes from all of them."""
    book = TargetBook()
    book.note_limit(TARGET, 2.0, gateways=8, now=0.0, offset=0.5)
    assert describe(book, 0.0, key, linked=linked).share_wait == pytest.approx(wait)
    assert book.count_limited() == 1
    book.note_limit(TARGET, None, gateways=8, now=1.0, offset=0.5)
    assert describe(book, 1.0, key, linked=linked).share_wait == 0.0
    assert book.count_limited() == 0
