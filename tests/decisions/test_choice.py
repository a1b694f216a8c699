"""Tests of target selection under the loads that it is designed for."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.choice import (
    AdapterState,
    Candidate,
    Need,
    choose_target,
    estimate_delay,
)
from ibishead.ids import FailureDomain, ModelName, TargetId
from ibishead.routing.targets import WeightKey

HERE, THERE = FailureDomain("here"), FailureDomain("there")
KEY = WeightKey(ModelName("m"), "a1")

#: Requests per second while an engine restarts, slightly above the others' capacity.
CALLERS = 120


def make(name: str, busy: int = 0, **changes) -> Candidate:
    fields = {"domain": HERE, "slots": 8}
    return Candidate(TargetId(name), busy=busy, **{**fields, **changes})


def choose(*candidates: Candidate, need: Need | None = None, draw=lambda: 0.0):
    chosen = choose_target(need or Need(HERE, run_time=0.1), candidates, draw)
    return chosen.candidate.target if chosen else None


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ((make("a", 5), make("b", 1)), "b"),
        ((make("a", 0, unreachable=True), make("b", 9)), "b"),
        ((make("a", 0, failures=1.0), make("b", 7)), "b"),
        ((make("a", 0, relative_run_time=4.0), make("b", 0, domain=THERE)), "a"),
        ((make("a", 6, relative_run_time=4.0), make("b", 6)), "b"),
        ((make("a", 0, prompt_backlog=20_000), make("b", 4)), "b"),
        ((make("a", 0, domain=THERE), make("b", 0)), "b"),
        ((make("a", 0, rate_limit_wait=1.0), make("b", 9)), "b"),
        ((make("a", 0, resting=True), make("b", 40)), "b"),
        ((make("a", 0, resting=True),), None),
        ((make("a", 0, refusing=True), make("b", 7)), "b"),
        ((make("a", 0, refusing=True), make("b", 0, failures=0.5)), "a"),
        ((make("a", 0, refusing=True),), "a"),
        ((make("a", 0, return_wait=1.0), make("b", 9)), "b"),
        ((), None),
    ],
)
def test_least_delay_is_chosen(candidates, expected):
    assert choose(*candidates) == expected


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ((make("a", 8, slowdown=2.5), make("b", 10)), "b"),
        ((make("a", 0, read_rate=5_000.0), make("b", 4)), "b"),
        ((make("a", 0, slowdown=2.5, read_rate=10_000.0), make("b", 4)), "b"),
        # The slowdown has passed once the prompt is sent.
        ((make("a", 0, slowdown=2.5), make("b", 0, prompt_wait=0.6)), "a"),
        ((make("a", 4, step_time=0.06), make("b", 20, step_time=0.02)), "b"),
        ((make("a", 4, step_time=0.06), make("b", 20)), "b"),
        ((make("a", 4, step_time=0.06), make("b", 20, step_time=0.09)), "a"),
        ((make("a", 4, step_time=0.02), make("b", 6)), "a"),
    ],
)
def test_speed_of_the_moment_and_expected_pauses_count(candidates, expected):
    """Guards against engines that are slow or whose answers pause, though idle."""
    need = Need(HERE, KEY, prompt_tokens=2_000, gap_objective=0.25, event_tokens=3)
    slots = [replace(candidate, slots=64) for candidate in candidates]
    assert choose(*slots, need=need) == expected


@given(st.lists(st.tuples(st.integers(0, 99), st.integers(0, 9_000)), min_size=1))
def test_equal_speeds_change_no_choice(loads):
    """Guards against other choices where nothing is known of engines' speeds."""
    known = [make(f"e{n}", b, prompt_backlog=p) for n, (b, p) in enumerate(loads)]
    needs = Need(HERE, KEY), Need(HERE, KEY, prompt_tokens=900, gap_objective=0.01)
    changes = [estimate_delay(needs[1], c) - estimate_delay(needs[0], c) for c in known]
    assert changes == pytest.approx([changes[0]] * len(changes))


def test_slowdown_of_a_plain_target_counts_by_its_run_time():
    need = Need(HERE, run_time=0.1)
    assert choose(make("a", slowdown=2.5), make("b", 3), need=need) == "b"
    assert choose(make("a", slowdown=2.5), make("b", 8), need=need) == "a"


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        ({"a": AdapterState(resident=True), "b": AdapterState()}, "a"),
        ({"a": AdapterState(), "b": AdapterState(loading=True)}, "b"),
        (
            {
                "a": AdapterState(free_slots=0, pending_loads=3),
                "b": AdapterState(free_slots=2),
            },
            "b",
        ),
        (
            {"a": AdapterState(manageable=False), "b": AdapterState(pending_loads=5)},
            "b",
        ),
        ({"a": AdapterState(manageable=False)}, None),
        (
            {
                "a": AdapterState(serving=False, model_wait=4.0),
                "b": AdapterState(pending_loads=5),
            },
            "b",
        ),
        ({"a": AdapterState(serving=False)}, "a"),
    ],
)
def test_adapter_state_and_slots_count_besides_load(places, expected):
    candidates = [make(name, adapter=place) for name, place in places.items()]
    assert choose(*candidates, need=Need(HERE, KEY)) == expected


def test_gateways_choose_same_engine_without_communication():
    """Guards against loading an adapter on two engines where one would suffice."""
    candidates = [make(f"e{n}", adapter=AdapterState()) for n in range(9)]
    for number in range(50):
        need = Need(HERE, WeightKey(ModelName("m"), f"a{number}"), run_time=1.4)
        draws = [random.Random(seed).random for seed in (1, 2)]
        picks = {choose(*candidates, need=need, draw=draw) for draw in draws}
        assert len(picks) == 1


def test_burst_is_spread_over_equal_targets():
    """Guards against a burst that goes to one target from all gateways.

    Eight gateways see the same reports at the same time.
    """
    draw = random.Random(3).random
    counts = dict.fromkeys("abcd", 0)
    for _ in range(400):
        counts[choose(*[make(name) for name in "abcd"], draw=draw)] += 1
    assert min(counts.values()) > 60


def test_avoided_target_is_not_chosen():
    need = Need(HERE, avoid=frozenset({TargetId("a")}))
    assert choose(make("a"), make("b", 7), need=need) == "b"


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        ({"a": AdapterState(), "b": AdapterState(recent=True)}, "b"),
        (
            {
                "a": AdapterState(),
                "b": AdapterState(recent=True, free_slots=2, pending_loads=1),
            },
            "b",
        ),
        (
            {
                "a": AdapterState(),
                "b": AdapterState(recent=True, free_slots=0, pending_loads=1),
            },
            "a",
        ),
        ({"a": AdapterState(resident=True), "b": AdapterState(recent=True)}, "a"),
        (
            {
                "a": AdapterState(requested=True, pending_loads=3),
                "b": AdapterState(pending_loads=1),
            },
            "a",
        ),
        ({"a": AdapterState(requested=True), "b": AdapterState(loading=True)}, "b"),
    ],
)
def test_engine_that_held_adapter_before_is_preferred(places, expected):
    candidates = [make(name, adapter=place) for name, place in places.items()]
    assert choose(*candidates, need=Need(HERE, KEY)) == expected


@pytest.mark.parametrize(("waits", "expected"), [(0.3, "a"), (0.6, "b")])
def test_another_copy_is_loaded_only_for_a_long_wait(waits, expected):
    """Guards against every engine fetching every adapter, which overloads the store."""
    holder = make("a", prompt_wait=waits, adapter=AdapterState(resident=True))
    other = make("b", adapter=AdapterState())
    assert choose(holder, other, need=Need(HERE, KEY)) == expected


@pytest.mark.parametrize("seed", [1, 2])
def test_adapters_are_rarely_fetched_more_than_once(seed):
    """Guards against fetching adapters repeatedly, which saturates the store.

    Callers then wait one second for a load.
    """
    rng = random.Random(seed)
    names, weights = range(3000), [(n + 1) ** -1.2 for n in range(3000)]
    slots: dict[str, list[str]] = {f"e{n}": [] for n in range(9)}
    held: dict[str, set[str]] = {name: set() for name in slots}
    busy = dict.fromkeys(slots, 0.0)
    requested_adapters = set()
    for adapter in map(str, rng.choices(names, weights, k=3000)):
        busy = {name: max(0.0, count - 0.115) for name, count in busy.items()}
        candidates = [
            make(
                name,
                round(busy[name]),
                slots=48,
                prompt_wait=max(0.0, 0.1 * busy[name] - 0.15),
                adapter=AdapterState(
                    resident=adapter in slots[name], recent=adapter in held[name]
                ),
            )
            for name in slots
        ]
        need = Need(HERE, WeightKey(ModelName("m"), adapter), 2.0)
        target = choose(*candidates, need=need, draw=rng.random)
        busy[target] += 1
        slots[target] = [*(a for a in slots[target] if a != adapter), adapter][-19:]
        held[target].add(adapter)
        requested_adapters.add(adapter)
    fetched = sum(len(found) for found in held.values())
    assert fetched < 1.1 * len(requested_adapters)


def simulate_restart(seed: int) -> float:
    """Return the longest wait, in seconds, while one of nine engines restarts.

    `CALLERS` requests per second need one adapter each. The engine has its model loaded
    after 0.6 s, and each engine loads three adapters concurrently in 0.25 s.
    """
    draw = random.Random(seed)
    names = [TargetId(f"i-{n}") for n in range(9)]
    free_at = {name: [0.0] * 3 for name in names}
    free_at[names[0]] = [0.6] * 3
    loads: dict[TargetId, list[tuple[float, float]]] = {name: [] for name in names}
    longest = 0.0
    for number in range(CALLERS):
        now = number / CALLERS
        candidates = [
            Candidate(
                name,
                HERE,
                busy=0 if name == names[0] else 12,
                slots=32,
                adapter=AdapterState(
                    free_slots=9,
                    pending_loads=sum(start > now for start, _ in loads[name]),
                    serving=name != names[0] or now >= 0.6,
                    model_wait=max(0.1, 0.6 - now),
                ),
            )
            for name in names
        ]
        need = Need(HERE, WeightKey(ModelName("m"), f"a{number}"), run_time=1.4)
        chosen = choose_target(need, candidates, draw.random)
        assert chosen is not None
        lanes = free_at[chosen.candidate.target]
        start = max(now, min(lanes))
        lanes[lanes.index(min(lanes))] = start + 0.25
        loads[chosen.candidate.target].append((start, start + 0.25))
        longest = max(longest, start + 0.25 - now)
    return longest


@pytest.mark.parametrize("seed", range(3))
def test_restarting_engine_gets_no_more_than_it_can_load_in_time(seed):
    """Guards against a restarting engine that attracts all requests as it looks idle.

    Callers then wait over a second although eight engines could serve them at once.
    """
    assert simulate_restart(seed) < 0.8


@pytest.mark.parametrize(
    ("busy", "backlog", "expected"),
    [
        (20, 0, "holder"),
        (30, 0, "holder"),
        # A queue behind the batch or a prompt backlog justifies another copy.
        (44, 0, "idle"),
        (20, 20_000, "idle"),
    ],
)
def test_busy_engine_with_adapter_is_preferred(busy, backlog, expected):
    """Guards against loading every adapter on two engines, evicting another at each."""
    holder = make(
        "holder",
        busy,
        slots=32,
        prompt_backlog=backlog,
        adapter=AdapterState(resident=True),
    )
    idle = make("idle", 0, slots=32, adapter=AdapterState())
    need = Need(HERE, KEY, run_time=1.4)
    assert choose(holder, idle, need=need) == expected


TOKENS = st.integers(0, 100_000)


@given(TOKENS, TOKENS, TOKENS, TOKENS, st.integers(0, 80), st.floats(500.0, 90_000.0))
def test_more_outstanding_work_is_never_more_attractive(
    prompt, kept, backlog, added, busy, rate
):
    """Guards against kept parts that make an engine that is behind look attractive."""
    need = Need(HERE, KEY, prompt_tokens=prompt)
    behind = make("a", busy, prompt_backlog=backlog + added, read_rate=rate)
    keeping = make("a", busy, prompt_backlog=backlog, read_rate=rate, kept_tokens=kept)
    delay = estimate_delay(need, keeping)
    assert delay <= estimate_delay(need, behind) + 1e-9
    busier = make("a", busy + 1, prompt_backlog=backlog + kept, read_rate=rate)
    assert delay <= estimate_delay(need, busier) + 1e-9
    # what was sent there before still has to be read
    assert delay >= backlog / rate


def test_kept_parts_decide_between_equal_engines():
    need = Need(HERE, KEY, prompt_tokens=2000)
    assert choose(make("a"), make("b", kept_tokens=1500), need=need) == "b"
    behind = make("b", prompt_backlog=5000, kept_tokens=2000)
    assert choose(make("a"), behind, need=need) == "a"
