"""Tests that documents are parsed in full, or rejected with a list of all faults."""

from datetime import timedelta

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ibishead.documents import (
    Adapter,
    Caller,
    RequestClass,
    Route,
    ServiceDocument,
    UnconfirmedPolicy,
    check_document,
    parse_document,
)
from ibishead.errors import ErrorCode, InvalidInput
from ibishead.messages import TargetKind

KEY = "ab" * 32
OTHER_KEY = "cd" * 32

ENGINE = f"""
[service]
name = mester
team = halo
kind = engine
model = org/base-7b
default_class = draft
stall_weight = 0.8
claim_retention = 48 h
unconfirmed = serve
adapter_source = store/{{adapter}}/{{version}}

[class:draft]
priority = 5
deadline = 30 s
idempotent = yes

[adapter:Net-1]
versions = 1, 2
default = 1
source = other/{{adapter}}/{{version}}

[adapters]
net-2 = 1 2 3

[caller:loft]
team = tisza
key_sha256 = {KEY}
share = 2.5

[operator:kata]
key_sha256 = {OTHER_KEY}
"""

PLAIN = """
[service]
name = raktar
team = halo
kind = plain
default_class = read

[class:read]
priority = 3
deadline = 500 ms
idempotent = yes

[class:issue]
priority = 9
deadline = 1.5 min
idempotent = no

[route:issue]
method = POST
path = /issues
class = issue
"""


def test_engine_document_is_parsed():
    document = parse_document(ENGINE)
    assert document == ServiceDocument(
        service="mester",
        team="halo",
        kind=TargetKind.ENGINE,
        model="org/base-7b",
        default_class="draft",
        classes={"draft": RequestClass("draft", 5, timedelta(seconds=30), True)},
        adapters={
            "net-2": Adapter("net-2", ("1", "2", "3"), "3", "store/net-2/{version}"),
            "Net-1": Adapter("Net-1", ("1", "2"), "1", "other/Net-1/{version}"),
        },
        callers=(Caller("loft", "tisza", KEY, 2.5),),
        operators=(OTHER_KEY,),
        stall_weight=0.8,
        claim_retention=timedelta(hours=48),
        unconfirmed=UnconfirmedPolicy.SERVE,
    )


def test_plain_document_is_parsed():
    document = parse_document(PLAIN)
    assert document.kind is TargetKind.PLAIN
    assert document.routes == (Route("POST", "/issues", "issue"),)
    assert document.classes["issue"].deadline == timedelta(seconds=90)
    assert not document.classes["issue"].idempotent
    assert document.unconfirmed is UnconfirmedPolicy.REFUSE


def test_three_thousand_adapters_are_parsed():
    lines = "".join(f"net-{n} = 1 2 3\n" for n in range(3000))
    document = parse_document(ENGINE.replace("net-2 = 1 2 3\n", lines))
    assert len(document.adapters) == 3001
    assert document.adapters["net-2999"].source == "store/net-2999/{version}"


@pytest.mark.parametrize(
    ("text", "old", "new", "section", "option", "hint"),
    [
        (ENGINE, "team = halo", "taem = halo", "service", "taem", "team"),
        (ENGINE, "team = halo", "", "service", "team", "add team"),
        (ENGINE, "name = mester", "name = a@b", "service", "name", "letters"),
        (ENGINE, "kind = engine", "kind = motor", "service", "kind", "plain"),
        (ENGINE, "model = org/base-7b", "", "service", "model", "add model"),
        (ENGINE, "= draft\n", "= daft\n", "service", "default_class", "class"),
        (ENGINE, "0.8", "1.01", "service", "stall_weight", "0.0 to 1.0"),
        (ENGINE, "0.8", "nan", "service", "stall_weight", "0.0 to 1.0"),
        (ENGINE, "48 h", "48", "service", "claim_retention", "ms, s, min"),
        (ENGINE, "48 h", "400 d", "service", "claim_retention", "a year"),
        (ENGINE, "= serve", "= maybe", "service", "unconfirmed", "refuse"),
        (ENGINE, "priority = 5", "priority = 10", "class:draft", "priority", "9"),
        (ENGINE, "priority = 5", "priority = ５", "class:draft", "priority", "9"),
        (ENGINE, "30 s", "0 s", "class:draft", "deadline", "number"),
        (ENGINE, "= yes", "= true", "class:draft", "idempotent", "yes or no"),
        (ENGINE, "1, 2", "1, 1", "adapter:Net-1", "versions", "keep one"),
        (ENGINE, "1, 2", "", "adapter:Net-1", "versions", "one item"),
        (ENGINE, "default = 1", "default = 9", "adapter:Net-1", "default", "versions"),
        (ENGINE, "other/{adapter}", "{x}", "adapter:Net-1", "source", "{adapter}"),
        (ENGINE, "other/{adapter}", "}{", "adapter:Net-1", "source", "{adapter}"),
        (ENGINE, "net-2 = 1", "Net-1 = 1", "adapter:Net-1", "", "keep one"),
        (ENGINE, "net-2 = 1", "net/2 = 1", "adapters", "net/2", "letters"),
        (ENGINE, "adapter:Net-1", "adapter:Net/1", "adapter:Net/1", "", "letters"),
        (ENGINE, "2.5", "0", "caller:loft", "share", "0.001"),
        (ENGINE, KEY, "secret", "caller:loft", "key_sha256", "sha256sum"),
        (ENGINE, OTHER_KEY, "", "operator:kata", "key_sha256", "sha256sum"),
        (ENGINE, "[operator:kata]", "[oprator:kata]", "oprator:kata", "", "operator"),
        (ENGINE, "[adapters]", "[Adapters]", "Adapters", "", "adapters"),
        (ENGINE, "team = halo", "team = a\nteam = b", "service", "team", "keep one"),
        (ENGINE, "[adapters]", "[service]\nx = 1\n[adapters]", "service", "", "join"),
        (ENGINE, "team = halo", "team halo", "", "line 4", "OPTION = VALUE"),
        (ENGINE, "\n[service]", "x = 1\n[service]", "", "line 1", "[service]"),
        (
            PLAIN,
            "kind = plain",
            "kind = plain\nmodel = m",
            "service",
            "model",
            "remove",
        ),
        (
            PLAIN,
            "[route:issue]",
            "[adapters]\na = 1\n[route:issue]",
            "adapters",
            "a",
            "s",
        ),
        (PLAIN, "class = issue", "class = isue", "route:issue", "class", "add it"),
        (PLAIN, "/issues", "issues", "route:issue", "path", "starts with /"),
        (PLAIN, "POST", "PSOT", "route:issue", "method", "POST"),
        (PLAIN, "plain", "engine\nmodel = m", "route:issue", "", "remove"),
        (PLAIN, "1.5 min", "2 d", "service", "claim_retention", "172800 s"),
    ],
)
def test_fault_states_location_and_remedy(text, old, new, section, option, hint):
    assert old in text
    document, faults = check_document(text.replace(old, new, 1))
    assert document is None
    found = [f for f in faults if (f.section, f.option) == (section, option)]
    assert found, faults
    assert any(hint in fault.remedy for fault in found)


def test_all_faults_are_reported_together():
    text = ENGINE.replace("0.8", "8").replace("30 s", "soon").replace("2.5", "-1")
    with pytest.raises(InvalidInput) as caught:
        parse_document(text + "[extra]\n")
    assert caught.value.code is ErrorCode.DOCUMENT_INVALID
    for location in ("stall_weight", "deadline", "share", "[extra]"):
        assert location in caught.value.message


def test_plain_text_key_is_not_in_message():
    _, faults = check_document(ENGINE.replace(KEY, "sk-secret"))
    assert "sk-secret" not in "".join(map(str, faults))


def test_duplicate_key_of_two_callers_is_rejected():
    text = ENGINE + f"[caller:twin]\nteam = duna\nkey_sha256 = {KEY}\n"
    _, faults = check_document(text)
    assert [f.section for f in faults] == ["caller:twin"]


FRAGMENTS = st.sampled_from(
    [line + "\n" for line in ENGINE.splitlines() + PLAIN.splitlines()]
    + ["[", "]", "=", ":", "{", "%(x)s", "\r", "\x00", "\x85", "\u2028", " x\n", "[]\n"]
)


@given(st.one_of(st.text(), st.lists(FRAGMENTS | st.text(max_size=5)).map("".join)))
@example("[service]\nname\n x = 1")
@example("[]\n=")
def test_any_text_is_parsed_or_rejected(text):
    document, faults = check_document(text)
    assert (document is None) == bool(faults)
    assert all(fault.problem and fault.remedy for fault in faults)
    assert all(str(fault).isprintable() for fault in faults)
