"""The engine model batches, honours priority and shows what really served."""

import pytest

from ibishead.standin.engine import (
    Engine,
    EngineOptions,
    Generation,
    GenerationState,
    AdapterRequestError,
    UnknownModelError,
)
from ibishead.standin.store import StoreOptions, LoadTiming


def make_engine(**options) -> Engine:
    return Engine(EngineOptions(slots=2, batch=2, **options))


def load(engine: Engine, name: str) -> None:
    engine.begin_load(name)
    engine.finish_load(name, name)


def submit(engine: Engine, name: str, priority: int = 0, tokens: int = 1) -> Generation:
    generation = Generation(name, name, engine.resolve(name), "w", tokens, priority)
    engine.submit(generation)
    return generation


def test_batch_is_bounded_and_priority_goes_first():
    engine = make_engine()
    late = [submit(engine, "base-model", 5) for _ in range(2)]
    soon = [submit(engine, "base-model", 0) for _ in range(2)]
    assert engine.step() == soon
    assert engine.step() == late
    assert not engine.busy


def test_step_time_grows_with_the_batch():
    engine = make_engine()
    submit(engine, "base-model", tokens=9)
    alone = engine.compute_step_time()
    submit(engine, "base-model", tokens=9)
    assert engine.compute_step_time() > alone


@pytest.mark.parametrize(
    ("order", "status"),
    [
        (lambda e: load(e, "a"), 400),
        (lambda e: load(e, "c"), 400),
        (lambda e: e.unload("c"), 404),
    ],
    ids=["already loaded", "no slot", "unknown"],
)
def test_orders_are_refused(order, status):
    engine = make_engine()
    load(engine, "a")
    load(engine, "b")
    with pytest.raises(AdapterRequestError) as caught:
        order(engine)
    assert caught.value.status == status


@pytest.mark.parametrize("ignores", [True, False])
def test_unknown_adapter(ignores):
    engine = make_engine(ignores_unknown_adapter=ignores)
    if ignores:
        assert submit(engine, "gone").render_token(0) == "base:w:0 "
        return
    with pytest.raises(UnknownModelError):
        engine.resolve("gone")


def test_unload_aborts_what_it_serves():
    engine = make_engine()
    load(engine, "a")
    generation = submit(engine, "a", tokens=5)
    engine.step()
    assert engine.unload("a") == [generation]
    assert generation.state is GenerationState.ABORTED
    assert not engine.busy


def test_store_slows_beyond_its_limits():
    pace = LoadTiming(StoreOptions())
    burst = [pace.begin(100.0) for _ in range(8)]
    assert burst == [0.25] * 8
    # The ninth waits for its start and shares the full speed of eight
    assert pace.begin(100.0) == pytest.approx(0.25 + 0.25 * 9 / 8)
    for _ in range(9):
        pace.end()
    assert pace.begin(200.0) == 0.25
