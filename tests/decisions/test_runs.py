"""Runs that are suspected of having ended their engine."""

import pytest
from tests.fake_links import FakeLink

from ibishead.decisions.runs import RunTable
from ibishead.ids import PartKey
from ibishead.routing.prompts import PromptKeys

KEYS = PromptKeys(PartKey("own"), (PartKey("a"), PartKey("b")))
SENT_AT = 100.0


def begin(link, table):
    table.begin(link, 1, KEYS, SENT_AT)


def begin_answer(link, table):
    begin(link, table)
    table.begin_answer(link, 1, SENT_AT + 0.5)


def lose(link, table):
    begin_answer(link, table)
    table.end(link, 1, True, SENT_AT + 2.2)


def complete(link, table):
    begin_answer(link, table)
    table.end(link, 1, False, SENT_AT + 2.2)


def leave(link, table):
    begin_answer(link, table)
    table.end(link, 1, None, SENT_AT + 2.2)


def lose_gateway(link, table):
    begin(link, table)
    table.remove_owner(link, SENT_AT + 2.2)


def begin_without_parts(link, table):
    table.begin(link, 1, None, SENT_AT)


@pytest.mark.parametrize(
    ("act", "engine_ends_at", "suspected"),
    [
        (begin, SENT_AT + 0.3, True),
        (begin, SENT_AT + 60.0, True),
        (begin_answer, SENT_AT + 2.4, True),
        (begin_answer, SENT_AT + 2.6, False),
        (lose, SENT_AT + 2.5, True),
        (lose, SENT_AT + 3.1, True),
        (lose, SENT_AT + 3.3, False),
        (complete, SENT_AT + 2.3, False),
        (leave, SENT_AT + 2.3, False),
        (lose_gateway, SENT_AT + 2.5, True),
        (begin_without_parts, SENT_AT + 0.3, False),
    ],
)
def test_which_run_is_suspected(act, engine_ends_at, suspected):
    """A crash would be held against requests that had nothing to do with it."""
    table = RunTable()
    act(FakeLink(), table)
    runs = table.take_all(engine_ends_at)
    assert any(not run.is_settled(engine_ends_at) for run in runs) is suspected
    assert table.take_all(engine_ends_at) == []
