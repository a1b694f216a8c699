"""Prompt parts that an engine keeps."""

import pytest

from ibishead.decisions.keptparts import MAX_PARTS, KeptParts, chain_parts
from ibishead.ids import ModelName, PartKey
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import WeightKey

KEY, OTHER = WeightKey(ModelName("m"), "a"), WeightKey(ModelName("m"), "b")
LENGTHS = (100, 200, 50)


def keys(*names: str) -> PromptKeys:
    *shared, own = map(PartKey, names)
    return PromptKeys(own, tuple(shared))


@pytest.mark.parametrize(
    ("weights", "prompt", "lengths", "kept"),
    [
        (KEY, keys("x", "y", "z"), LENGTHS, 350),
        (KEY, keys("x", "y", "w"), LENGTHS, 300),
        (KEY, keys("x", "w", "z"), LENGTHS, 100),
        # a part is kept only with the parts before it, and for its own weights
        (KEY, keys("y", "z"), (200, 50), 0),
        (OTHER, keys("x", "y", "z"), LENGTHS, 0),
        (KEY, keys("x", "y", "z"), (), 0),
        (KEY, None, LENGTHS, 0),
    ],
)
def test_leading_parts_are_kept(weights, prompt, lengths, kept):
    parts = KeptParts()
    parts.record_read(KEY, chain_parts(KEY, keys("x", "y", "z"), LENGTHS), 0.0)
    assert parts.count_kept(chain_parts(weights, prompt, lengths), 1.0) == kept


@pytest.mark.parametrize(("capacity", "kept"), [(350, 350), (300, 0), (-5, 0)])
def test_running_requests_evict_the_least_recently_used(capacity, kept):
    parts = KeptParts()
    for name in ("x", "v"):
        parts.record_read(KEY, chain_parts(KEY, keys(name, "y", "z"), LENGTHS), 0.0)
    parts.trim(capacity)
    assert parts.tokens <= max(0, capacity)
    assert parts.count_kept(chain_parts(KEY, keys("v", "y", "z"), LENGTHS), 0.0) == kept
    assert not parts.count_kept(chain_parts(KEY, keys("x", "y", "z"), LENGTHS), 0.0)


@pytest.mark.parametrize(("version", "kept"), [(1, 350), (2, 0), (None, 0)])
def test_parts_of_replaced_weights_are_forgotten(version, kept):
    """The engine would be expected to skip a part that it has to read."""
    parts = KeptParts()
    parts.retain({KEY: 1})
    parts.record_read(KEY, chain_parts(KEY, keys("x", "y", "z"), LENGTHS), 0.0)
    parts.retain({} if version is None else {KEY: version})
    assert parts.count_kept(chain_parts(KEY, keys("x", "y", "z"), LENGTHS), 0.0) == kept


def test_records_are_bounded_and_expire():
    parts = KeptParts(lifetime=5.0)
    for number in range(2 * MAX_PARTS):
        parts.record_read(KEY, chain_parts(KEY, keys(f"n{number}"), (10**40,)), 0.0)
    assert len(parts) == MAX_PARTS
    assert parts.count_kept(chain_parts(KEY, keys(f"n{number}"), (7,)), 5.0) == 7
    assert not parts.count_kept(chain_parts(KEY, keys(f"n{number}"), (7,)), 5.1)
