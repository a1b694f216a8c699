"""How long engines of several makes need until they hold a model."""

import pytest

from ibishead.decisions.choice import AdapterPlace, Candidate, Need, choose_target
from ibishead.decisions.modelwait import (
    LOST_WAIT,
    Source,
    expect_model,
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
        # ordered a moment ago, long ago, not yet
        (make_spec(0.6, 0.5), Source.DISK, 10.0, 10.1, 0.4, 0.6),
        (make_spec(0.6, 0.5), Source.DISK, 10.0, 10.6, 0.1, 0.3),
        (make_spec(0.6, 0.5), Source.DISK, None, 13.0, 0.5, 0.8),
        (make_spec(5.4, 2.2), Source.DISK, 10.0, 10.5, 1.5, 2.0),
        # from the store, and while others load too
        (make_spec(5.4, 2.2), Source.STORE, 10.0, 12.5, 2.8, 3.2),
        (make_spec(5.4, 2.2), Source.STORE, 10.0, 20.0, 2.0, 4.0),
        # without a word of the disk
        (make_spec(5.4), Source.DISK, None, 0.0, 5.4, 6.0),
        # nothing is known, or nothing fits
        (None, Source.DISK, None, 0.0, 1.0, 5.0),
        (make_spec(5.4, megabytes=99.0), Source.STORE, None, 0.0, 1.0, 5.0),
    ],
)
def test_the_wait_follows_the_description_and_the_order(
    spec, source, since, now, least, most
):
    assert least <= expect_model(spec, source, since, now) <= most


@pytest.mark.parametrize(
    ("in_memory", "on_disk", "expected"),
    [
        ((), (), Source.STORE),
        ((), ("other",), Source.STORE),
        ((), ("m",), Source.DISK),
        (("m",), ("m",), Source.MEMORY),
    ],
)
def test_the_nearest_copy_is_loaded(in_memory, on_disk, expected):
    assert find_source(make_spec(5.4), in_memory, on_disk) is expected


def test_nobody_waits_at_a_new_engine_that_fetches_its_model():
    """Callers wait at an empty engine that was added, and are refused in the end."""
    spec = make_spec(5.4, 2.2)
    for spent in (0.1, 2.3, 5.0, 9.0):
        wait = expect_model(spec, Source.STORE, 10.0, 10.0 + spent)
        new = AdapterPlace(serving=False, model_wait=wait)
        busy = AdapterPlace()
        candidates = [
            Candidate(TargetId("new"), HOME, 0, 48, adapter=new),
            Candidate(TargetId("busy"), HOME, 40, 48, adapter=busy),
        ]
        need = Need(HOME, WeightKey(ModelName("m"), "a1"))
        chosen = choose_target(need, candidates, lambda: 0.5)
        assert chosen is not None
        assert chosen.candidate.target == "busy"


def test_after_a_loss_of_power_the_engine_that_is_back_first_is_chosen():
    """Callers are refused although an engine would take them in half a second."""
    spec = make_spec(0.6, 0.5)
    waits = {"loads": expect_model(spec, Source.DISK, 1.0, 1.2), "lost": LOST_WAIT}
    candidates = [
        Candidate(
            TargetId(name),
            HOME,
            0,
            8,
            adapter=AdapterPlace(serving=False, model_wait=wait),
        )
        for name, wait in waits.items()
    ]
    need = Need(HOME, WeightKey(ModelName("m"), "a1"))
    chosen = choose_target(need, candidates, lambda: 0.5)
    assert chosen is not None
    assert chosen.candidate.target == "loads"
    assert chosen.wait < 0.6
