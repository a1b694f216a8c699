"""Which target gets a request, under the loads that the choice is made for."""

import random

import pytest

from ibishead.decisions.choice import AdapterPlace, Candidate, Need, choose_target
from ibishead.ids import FailureDomain, ModelName, TargetId
from ibishead.routing.targets import WeightKey

HERE, THERE = FailureDomain("here"), FailureDomain("there")
KEY = WeightKey(ModelName("m"), "a1")


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
        ((make("a", 0, unreached=True), make("b", 9)), "b"),
        ((make("a", 0, failures=1.0), make("b", 7)), "b"),
        ((make("a", 0, pace=4.0), make("b", 0, domain=THERE)), "a"),
        ((make("a", 6, pace=4.0), make("b", 6)), "b"),
        ((make("a", 0, prompt_backlog=20_000), make("b", 4)), "b"),
        ((make("a", 0, domain=THERE), make("b", 0)), "b"),
        ((), None),
    ],
)
def test_the_least_delay_wins(candidates, expected):
    assert choose(*candidates) == expected


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        ({"a": AdapterPlace(resident=True), "b": AdapterPlace()}, "a"),
        ({"a": AdapterPlace(), "b": AdapterPlace(coming=True)}, "b"),
        ({"a": AdapterPlace(room=0, wishes=3), "b": AdapterPlace(room=2)}, "b"),
        ({"a": AdapterPlace(manageable=False), "b": AdapterPlace(wishes=5)}, "b"),
        ({"a": AdapterPlace(manageable=False)}, None),
    ],
)
def test_adapter_and_slots_are_weighed_with_load(places, expected):
    candidates = [make(name, adapter=place) for name, place in places.items()]
    assert choose(*candidates, need=Need(HERE, KEY)) == expected


def test_gateways_that_know_nothing_of_each_other_choose_the_same_engine():
    """An adapter is loaded on two engines where one would do.

    Two gateways get a request for it at the same time, and neither knows of the other.
    """
    candidates = [make(f"e{n}", adapter=AdapterPlace()) for n in range(9)]
    for number in range(50):
        need = Need(HERE, WeightKey(ModelName("m"), f"a{number}"))
        draws = [random.Random(seed).random for seed in (1, 2)]
        picks = {choose(*candidates, need=need, draw=draw) for draw in draws}
        assert len(picks) == 1


def test_equal_targets_share_a_burst():
    """A burst meets equal reports at eight gateways; one target must not get it all."""
    draw = random.Random(3).random
    counts = dict.fromkeys("abcd", 0)
    for _ in range(400):
        counts[choose(*[make(name) for name in "abcd"], draw=draw)] += 1
    assert min(counts.values()) > 60


def test_what_is_to_be_avoided_is_not_chosen():
    need = Need(HERE, avoid=frozenset({TargetId("a")}))
    assert choose(make("a"), make("b", 7), need=need) == "b"
