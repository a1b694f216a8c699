"""Per-target state of a gateway as reports age and responses arrive."""

import msgspec
import pytest

from ibishead.decisions.health import FAILURE_HALF_LIFE_SECONDS
from ibishead.decisions.keptparts import chain_parts
from ibishead.gateway.calls import TargetLoad
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import FailureDomain, ModelName, PartKey, ServiceName, TargetId
from ibishead.routing.messages import (
    EngineReport,
    FailuresTold,
    PromptDelay,
    RefusalsTold,
)
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.routes import EngineSpec
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


def describe(
    tracker: TargetTracker, now: float, key=KEY, min_version: int = 0, linked=True
):
    return tracker.make_candidate(TARGET, now, now, key, min_version, linked)


@pytest.mark.parametrize("age", [0.1, 5.0, 600.0])
def test_an_old_report_remains_valid(age):
    """A report remains valid until another one replaces it.

    Otherwise, the first callers after an idle period are refused for lack of an engine.
    """
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    assert describe(tracker, age).adapter.resident
    assert describe(tracker, age, WeightKey(MODEL, "b")).adapter.manageable


@pytest.mark.parametrize(
    ("held", "min_version", "resident", "outdated"),
    [
        (1, 0, True, False),
        (1, 2, False, True),
        (2, 2, True, False),
        (3, 2, True, False),
    ],
)
def test_an_adapter_below_the_minimum_version_is_not_resident(
    held, min_version, resident, outdated
):
    tracker = TargetTracker()
    tracker.record_report(make_report(held), 0.0)
    place = describe(tracker, 0.1, min_version=min_version).adapter
    assert (place.resident, place.outdated) == (resident, outdated)


def test_an_engine_without_a_linked_steward_serves_resident_adapters():
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    assert describe(tracker, 1.0, linked=False).adapter.resident
    other = describe(tracker, 1.0, WeightKey(MODEL, "b"), linked=False).adapter
    assert not other.manageable


def test_a_new_incarnation_has_no_statistics_of_the_previous_one():
    tracker = TargetTracker()
    tracker.record_report(make_report(born=1), 0.0)
    tracker.record_report(EngineReport(TargetId("t"), 2, ()), 1.0)
    stats = tracker.stats(msgspec.structs.replace(TARGET, born=2))
    assert (stats.incarnation, stats.report.holdings) == (2, ())


def test_reported_load_includes_requests_sent_since_and_expires():
    tracker = TargetTracker()
    stats = tracker.stats(TARGET)
    tracker.record_load(stats, TargetLoad(5, 1, 8), 10.0)
    tracker.begin_request(stats, 0)
    assert describe(tracker, 10.1).busy == 7
    assert describe(tracker, 12.0).busy == 1


def test_the_share_of_failures_decays():
    tracker = TargetTracker()
    stats = tracker.stats(TARGET)
    for _ in range(10):
        tracker.record_outcome(stats, True, 0.0)
    before, after = (
        describe(tracker, 0.0).failures,
        describe(tracker, 2 * FAILURE_HALF_LIFE_SECONDS).failures,
    )
    assert before > 0.8
    assert after == pytest.approx(before / 4)


@pytest.mark.parametrize("key", [KEY, WeightKey(MODEL)])
@pytest.mark.parametrize(("holdings", "serving"), [((), False), (None, True)])
def test_an_engine_without_the_model_does_not_serve_its_adapters(
    key, holdings, serving
):
    """Engines that have just started are idle and hold no model.

    Selected for their low load, they would keep requests waiting for the model.
    """
    tracker, report = TargetTracker(), make_report()
    tracker.record_report(
        report if holdings is None else msgspec.structs.replace(report, holdings=()),
        0.0,
    )
    place = describe(tracker, 0.1, key).adapter
    assert place.serving is serving
    assert place.resident is serving


def test_the_reported_wait_for_turns_decreases_with_time():
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    tracker.record_delay(PromptDelay(TargetId("t"), 0.5), 1.0)
    waits = [describe(tracker, now).prompt_wait for now in (1.0, 1.3, 2.0)]
    assert waits == pytest.approx([0.5, 0.2, 0.0])


def test_previously_held_adapters_are_recorded_per_incarnation():
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    empty = (Holding(MODEL, 1),)
    tracker.record_report(EngineReport(TargetId("t"), 1, empty), 1.0)
    assert describe(tracker, 1.0).adapter.recent
    assert not describe(tracker, 1.0, min_version=2).adapter.recent
    tracker.record_report(EngineReport(TargetId("t"), 2, empty), 2.0)
    assert not describe(tracker, 2.0).adapter.recent


def test_an_adapter_that_requests_wait_for_is_marked_as_wished():
    """Gateways must not have several engines load the same adapter.

    Otherwise, eight engines load one adapter, each for a different gateway. So an
    engine's pending loads include those for this gateway and for the others.
    """
    tracker, other = TargetTracker(), WeightKey(MODEL, "b")
    tracker.record_report(make_report(awaited=(other,)), 0.0)
    assert describe(tracker, 0.1, other).adapter.requested
    own = WeightKey(MODEL, "c")
    stats = tracker.stats(TARGET)
    tracker.begin_wait(stats, own)
    place = describe(tracker, 0.1, own).adapter
    assert (place.requested, place.pending_loads) == (True, 2)
    tracker.end_wait(stats, own)
    assert not describe(tracker, 0.1, own).adapter.requested


def test_statistics_on_deregistered_targets_are_discarded():
    """Statistics must not accumulate as engines come and go.

    Otherwise, a gateway is killed after weeks for exceeding its memory limit.
    """
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    tracker.retain({TargetId("t")})
    assert describe(tracker, 0.1).adapter.resident
    tracker.retain(set())
    assert not describe(tracker, 0.1).adapter.resident


@pytest.mark.parametrize(("age", "wait"), [(0.0, 0.5), (0.3, 0.2), (9.0, 0.05)])
def test_the_wait_for_a_loading_model_decreases_with_time(age, wait):
    """The expected wait for a model must decrease as time passes.

    Otherwise, callers are refused for seconds although the model is loaded or
    almost loaded.
    """
    tracker = TargetTracker()
    empty = msgspec.structs.replace(make_report(), holdings=(), model_wait=0.5)
    tracker.record_report(empty, 10.0)
    place = describe(tracker, 10.0 + age).adapter
    assert not place.serving
    assert place.model_wait == pytest.approx(wait)


def test_failures_reported_by_the_steward_are_counted():
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    assert describe(tracker, 0.0).failures == 0.0
    tracker.record_failures(FailuresTold(TargetId("t"), 0.5), 0.0)
    assert describe(tracker, 0.0).failures == 0.5
    assert describe(tracker, 60.0).failures < 0.01


@pytest.mark.parametrize(
    ("seconds", "at", "refusing"),
    [(3.0, 2.9, True), (3.0, 3.1, False), (1e12, 1.0, False), (-3.0, 1.0, False)],
)
def test_a_rest_asked_of_another_gateway_is_a_hint_for_its_time(seconds, at, refusing):
    """It must not close the engine, which may take requests of this gateway."""
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    tracker.record_refusals(RefusalsTold(TargetId("t"), seconds), 0.0)
    candidate = describe(tracker, at)
    assert (candidate.refusing, candidate.resting) == (refusing, False)


@pytest.mark.parametrize(
    ("mute", "heard", "unreached"),
    [(False, 0.0, False), (True, 0.0, True), (True, 9.9, False)],
)
def test_an_engine_with_an_unresponsive_steward_counts_while_it_sends_data(
    mute, heard, unreached
):
    """Prompts must not be sent to a frozen host because its engine holds the adapter.

    An engine with an unresponsive steward counts only while it sends data.
    """
    tracker = TargetTracker()
    tracker.record_report(make_report(), 0.0)
    tracker.stats(TARGET).last_data_at = heard
    found = tracker.make_candidate(TARGET, 10.0, 10.0, KEY, 0, True, None, mute)
    assert found.unreachable is unreached


@pytest.mark.parametrize(
    ("key", "linked", "wait"),
    [(None, True, 2.0), (None, False, 2.0), (KEY, False, 2.0), (KEY, True, 0.0)],
)
def test_a_limit_is_divided_among_gateways_unless_a_steward_enforces_it(
    key, linked, wait
):
    """Without a share per gateway, the gateways together exceed a target's limit."""
    tracker = TargetTracker()
    tracker.record_limit(TARGET, 2.0, gateways=8, now=0.0, offset=0.5)
    assert describe(tracker, 0.0, key, linked=linked).rate_limit_wait == pytest.approx(
        wait
    )
    assert tracker.count_limited() == 1
    tracker.record_limit(TARGET, None, gateways=8, now=1.0, offset=0.5)
    assert describe(tracker, 1.0, key, linked=linked).rate_limit_wait == 0.0
    assert tracker.count_limited() == 0


@pytest.mark.parametrize(
    ("reported", "age", "backlog"),
    [
        (0, 0.1, 300),
        (5000, 0.0, 5200),
        # what is probably read by now doesn't count
        (5000, 0.1, 3200),
        (5000, 0.5, 300),
        (50_000, 0.7, 300),
        (-9, 0.1, 300),
    ],
)
def test_backlog_covers_the_prompts_of_other_gateways(reported, age, backlog):
    """Gateways would all choose an engine that is behind with others' prompts."""
    tracker = TargetTracker()
    stats = tracker.stats(TARGET)
    tracker.begin_request(stats, 100)
    tracker.record_report(make_report(prompt_backlog=reported), 0.0)
    tracker.begin_request(stats, 200)
    assert describe(tracker, age).prompt_backlog == backlog


@pytest.mark.parametrize(
    ("cache_tokens", "age", "kept"), [(0, 1.0, 0), (1000, 1.0, 350), (1000, 60.0, 0)]
)
def test_sent_parts_count_as_kept_for_a_while(cache_tokens, age, kept):
    tracker = TargetTracker()
    keys = PromptKeys(PartKey("own"), (PartKey("shared"),))
    chain = chain_parts(KEY, keys, (300, 50))
    tracker.record_parts(tracker.stats(TARGET), KEY, chain, 0.0)
    spec = EngineSpec(8, cache_tokens, 1.0, 1)
    found = tracker.make_candidate(TARGET, age, age, KEY, 0, True, spec, chain=chain)
    assert found.kept_tokens == kept


def test_run_time_is_learned_by_route():
    """A slow route would make a fast one of the same service avoid busy targets."""
    tracker = TargetTracker()
    stats = tracker.stats(TARGET)
    tracker.record_duration("s", stats, 1.0, "slow")
    tracker.record_duration("s", stats, 0.1, "fast")
    assert tracker.mean_duration("s", "fast") == 0.1
    assert tracker.mean_duration("s", "new") == tracker.mean_duration("s")
