"""API keys permit the right operations and do not appear in logs."""

import logging
from datetime import timedelta

import pytest

from ibishead.documents import Caller, RequestClass, ServiceDocument
from ibishead.errors import Forbidden, Unauthorized
from ibishead.keys import (
    find_caller,
    hash_key,
    read_bearer,
    require_caller,
    require_key,
)
from ibishead.messages import TargetKind

LOFT = Caller("loft", "tisza", hash_key("sk-loft"))
SHOP = Caller("shop", "duna", hash_key("sk-shop"))


def make_document(*callers):
    classes = {"read": RequestClass("read", 1, timedelta(seconds=1), True)}
    return ServiceDocument(
        "s", "owner", TargetKind.PLAIN, "", "read", classes, callers=callers
    )


def test_hash_equals_that_of_sha256sum():
    # printf %s abc | sha256sum
    assert hash_key("abc").startswith("ba7816bf8f01cfea414140de5dae2223")


@pytest.mark.parametrize(
    ("value", "key"),
    [
        ("Bearer sk-1", "sk-1"),
        ("bearer  sk-1 ", "sk-1"),
        ("Basic sk-1", ""),
        ("sk-1", ""),
        ("", ""),
        ("Bearer", ""),
    ],
)
def test_bearer_token_is_read(value, key):
    assert read_bearer((("authorization", value),)) == key
    assert read_bearer((("x", value),)) == ""


@pytest.mark.parametrize(
    ("callers", "key", "team"),
    [
        ((LOFT, SHOP), "sk-shop", "duna"),
        ((LOFT, SHOP), "sk-sho", None),
        ((LOFT, SHOP), "", None),
        ((LOFT, SHOP), LOFT.key_sha256, None),
        ((LOFT, SHOP), "k\u00e9y\udcff", None),
        ((), "", "owner"),
    ],
)
def test_caller_is_found_by_key(callers, key, team, caplog):
    document = make_document(*callers)
    found = find_caller(document, key)
    assert (found.team if found else None) == team
    if found:
        assert require_caller(document, key) == found
        return
    with pytest.raises(Unauthorized):
        require_caller(document, key, "10.0.0.9")
    (record,) = caplog.records
    assert (record.levelno, record.peer) == (logging.WARNING, "10.0.0.9")
    assert not key or key not in str(vars(record))


@pytest.mark.parametrize(
    ("key", "error"), [("sk-loft", None), ("sk-wrong", Forbidden), ("", Unauthorized)]
)
def test_operator_key_is_required(key, error, caplog):
    allowed = {LOFT.key_sha256, SHOP.key_sha256}
    if error is None:
        assert require_key(key, allowed) == LOFT.key_sha256[:12]
        return
    with pytest.raises(error):
        require_key(key, allowed, "10.0.0.9")
    assert not key or key not in str(vars(caplog.records[0]))


def test_empty_list_of_allowed_keys_rejects_every_key():
    with pytest.raises(Forbidden):
        require_key("sk-loft", ())
