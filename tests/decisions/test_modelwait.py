"""Tests of how long engines of several kinds take until their model is loaded."""

import pytest

from ibishead.decisions.choice import AdapterState, Candidate, Need, choose_target
from ibishead.decisions.modelwait import (
    UNREACHABLE_WAIT_SECONDS,
    Source,
    estimate_model_wait,
    find_source,
)
from ibishead.ids import FailureDomain, ModelName, TargetId
from ibishead.routing.routes import EngineSpec, ModelSpec
from ibishead.routing.targets import WeightKey

HOME = FailureDomain("a")


def make_spec(load: float, disk: float = 0.0, megabytes: float = 65.0) -> EngineSpec:
    model = ModelSpec(ModelName("m"), megabytes, load, 0.01, disk)
    return EngineSpec(32, 1000, 66.0, 19, (model,))


@pytest.mark.parametrize(
    ("spec", "source", "since", "now", "least", "most"),
    [
        # The load was ordered recently, long ago, or not yet.
        (make_spec(0.6, 0.5), Source.DISK, 10.0, 10.1, 0.4, 0.6),
        (make_spec(0.6, 0.5), Source.DISK, 10.0, 10.6, 0.1, 0.3),
        (make_spec(0.6, 0.5), Source.DISK, None, 13.0, 0.5, 0.8),
        (make_spec(5.4, 2.2), Source.DISK, 10.0, 10.5, 1.5, 2.0),
        # The load comes from the store, also while others load.
        (make_spec(5.4, 2.2), Source.STORE, 10.0, 12.5, 2.8, 3.2),
        (make_spec(5.4, 2.2), Source.STORE, 10.0, 20.0, 2.0, 4.0),
        # The description states no load time from disk.
        (make_spec(5.4), Source.DISK, None, 0.0, 5.4, 6.0),
        # There is no description, or no model fits.
        (None, Source.DISK, None, 0.0, 1.0, 5.0),
        (make_spec(5.4, megabytes=99.0), Source.STORE, None, 0.0, 1.0, 5.0),
    ],
)
def test_wait_follows_description_and_order(spec, source, since, now, least, most):
    assert least <= estimate_model_wait(spec, source, since, now) <= most


@pytest.mark.parametrize(
    ("in_memory", "on_disk", "expected"),
    [
        ((), (), Source.STORE),
        ((), ("other",), Source.STORE),
        ((), ("m",), Source.DISK),
        (("m",), ("m",), Source.MEMORY),
    ],
)
def test_nearest_copy_is_loaded(in_memory, on_disk, expected):
    assert find_source(make_spec(5.4), in_memory, on_disk) is expected


def test_new_engine_that_fetches_its_model_is_not_chosen():
    """Guards against requests that wait at a new engine and are then rejected."""
    spec = make_spec(5.4, 2.2)
    for spent in (0.1, 2.3, 5.0, 9.0):
        wait = estimate_model_wait(spec, Source.STORE, 10.0, 10.0 + spent)
        new = AdapterState(serving=False, model_wait=wait)
        busy = AdapterState()
        candidates = [
            Candidate(TargetId("new"), HOME, 0, 48, adapter=new),
            Candidate(TargetId("busy"), HOME, 40, 48, adapter=busy),
        ]
        need = Need(HOME, WeightKey(ModelName("m"), "a1"))
        chosen = choose_target(need, candidates, lambda: 0.5)
        assert chosen is not None
        assert chosen.candidate.target == "busy"


def test_engine_that_is_ready_first_is_chosen_after_power_failure():
    """Guards against rejecting requests that an engine could accept after 0.5 s."""
    spec = make_spec(0.6, 0.5)
    waits = {
        "loads": estimate_model_wait(spec, Source.DISK, 1.0, 1.2),
        "lost": UNREACHABLE_WAIT_SECONDS,
    }
    candidates = [
        Candidate(
            TargetId(name),
            HOME,
            0,
            8,
            adapter=AdapterState(serving=False, model_wait=wait),
        )
        for name, wait in waits.items()
    ]
    need = Need(HOME, WeightKey(ModelName("m"), "a1"))
    chosen = choose_target(need, candidates, lambda: 0.5)
    assert chosen is not None
    assert chosen.candidate.target == "loads"
    assert chosen.wait < 0.6
