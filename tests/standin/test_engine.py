"""Tests of the simulated engine's batching, priorities and adapter slots."""

import pytest

from ibishead.standin.engine import (
    AdapterRequestError,
    Engine,
    EngineOptions,
    Generation,
    GenerationState,
    UnknownModelError,
)
from ibishead.standin.store import LoadTiming, StoreOptions


def make_engine(**options) -> Engine:
    return Engine(EngineOptions(slots=2, batch=2, **options))


def load(engine: Engine, name: str) -> None:
    engine.begin_load(name)
    engine.finish_load(name, name)


def submit(engine: Engine, name: str, priority: int = 0, tokens: int = 1) -> Generation:
    generation = Generation(name, name, engine.resolve(name), "w", tokens, priority)
    engine.submit(generation)
    return generation


def test_batch_is_bounded_and_ordered_by_priority():
    engine = make_engine()
    low = [submit(engine, "base-model", 5) for _ in range(2)]
    high = [submit(engine, "base-model", 0) for _ in range(2)]
    assert engine.step() == high
    assert engine.step() == low
    assert not engine.busy


def test_step_time_grows_with_the_batch():
    engine = make_engine()
    submit(engine, "base-model", tokens=9)
    single = engine.compute_step_time()
    submit(engine, "base-model", tokens=9)
    assert engine.compute_step_time() > single


@pytest.mark.parametrize(
    ("command", "status"),
    [
        (lambda e: load(e, "a"), 400),
        (lambda e: load(e, "c"), 400),
        (lambda e: e.unload("c"), 404),
    ],
    ids=["already loaded", "no slot", "unknown"],
)
def test_invalid_adapter_requests_are_rejected(command, status):
    engine = make_engine()
    load(engine, "a")
    load(engine, "b")
    with pytest.raises(AdapterRequestError) as caught:
        command(engine)
    assert caught.value.status == status


@pytest.mark.parametrize("ignored", [True, False])
def test_unknown_adapter(ignored):
    engine = make_engine(ignores_unknown_adapter=ignored)
    if ignored:
        assert submit(engine, "gone").render_token(0) == "base:w:0 "
        return
    with pytest.raises(UnknownModelError):
        engine.resolve("gone")


def test_unload_aborts_requests_of_the_adapter():
    engine = make_engine()
    load(engine, "a")
    generation = submit(engine, "a", tokens=5)
    engine.step()
    assert engine.unload("a") == [generation]
    assert generation.state is GenerationState.ABORTED
    assert not engine.busy


def test_store_limits_rate_and_concurrency():
    timing = LoadTiming(StoreOptions())
    burst = [timing.begin(100.0) for _ in range(8)]
    assert burst == [0.25] * 8
    # The ninth load waits for a token and exceeds the concurrency at full speed
    assert timing.begin(100.0) == pytest.approx(0.25 + 0.25 * 9 / 8)
    for _ in range(9):
        timing.end()
    assert timing.begin(200.0) == 0.25
