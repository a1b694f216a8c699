"""How requests with a prompt part have fared at one gateway."""

import pytest

from ibishead.decisions.crashes import PartUse
from ibishead.decisions.partuses import MAX_PARTS, MAX_SINGLE, PartUses
from ibishead.ids import PartKey
from ibishead.routing.prompts import (
    PromptKeys,
    is_content_key,
    make_content_key,
    make_prompt_keys,
)

A, B, OWN = PartKey("a"), PartKey("b"), PartKey("own")
CONTENT = make_content_key(("POST",), b"body")
KEYS = PromptKeys(OWN, (A, B), content=CONTENT)


@pytest.mark.parametrize(
    ("complete", "ended_at", "sound_at"),
    [
        (True, 10.2, 10.2),
        (False, 10.2, None),
        (False, 11.9, None),
        (False, 12.0, 12.0),
        (False, 15.0, 12.0),
        (True, 15.0, 12.0),
    ],
)
def test_which_answers_speak_for_a_part(complete, ended_at, sound_at):
    """An engine that crashes a moment after the first event would clear the part."""
    uses = PartUses()
    uses.record_sent(KEYS)
    assert uses.record_answer(KEYS, 10.0, complete, ended_at) is (sound_at is not None)
    for key in (A, B, OWN, CONTENT):
        assert uses.read(key) == PartUse(1, sound_at)


def test_endless_new_parts_do_not_fill_the_memory():
    uses = PartUses()
    for number in range(MAX_PARTS + 100):
        uses.record_sent(PromptKeys(OWN, (PartKey(f"p{number}"),)))
    assert len(uses) == MAX_PARTS + 1
    assert uses.read(PartKey("p0")) == PartUse()


def test_endless_new_contents_fill_no_memory_and_displace_no_part():
    """Each request has a content of its own, so the uses of the parts would be lost."""
    uses = PartUses()
    uses.record_sent(KEYS)
    for number in range(MAX_PARTS):
        keys = make_prompt_keys((), content=make_content_key((str(number),), b""))
        uses.record_sent(keys)
    assert len(uses) == MAX_SINGLE + 2
    assert uses.read(A) == PartUse(1)
    assert uses.read(CONTENT) == PartUse()


@pytest.mark.parametrize(
    ("names", "expected"),
    [
        ([], None),
        (["x"], PromptKeys(PartKey("x"))),
        (["a", "a", "b", "own"], PromptKeys(OWN, (A, B))),
    ],
)
def test_keys_of_a_prompt(names, expected):
    assert make_prompt_keys(names) == expected


@pytest.mark.parametrize(
    ("fields", "body", "same"),
    [
        (("POST", "/x"), b"body", True),
        (("POST", "/x"), b"other", False),
        (("POST", "/y"), b"body", False),
        (("POST/", "x"), b"body", False),
        (("POST", "/x", ""), b"body", False),
        (("POST",), b"/xbody", False),
    ],
)
def test_which_requests_have_the_same_content(fields, body, same):
    """Sound requests would be refused with one that crashes engines."""
    key = make_content_key(("POST", "/x"), b"body")
    assert (make_content_key(fields, body) == key) is same


def test_no_part_can_be_named_like_a_content():
    """A caller would get the request of another one refused."""
    assert is_content_key(CONTENT)
    (part,) = make_prompt_keys([CONTENT, "own"]).shared
    assert part != CONTENT
    assert not is_content_key(part)


def test_a_long_name_of_a_part_is_hashed():
    (key,) = make_prompt_keys(["x" * 5000, "own"]).shared
    assert len(key) < 50
