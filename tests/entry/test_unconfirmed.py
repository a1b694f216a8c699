"""A host without a lease must not permanently reject calls by its documents."""

import pytest

from ibishead.catalog import Catalog
from ibishead.entry.call import parse_call
from ibishead.entry.resolution import resolve_confirmed
from ibishead.errors import ErrorCode, NotFound, Unauthorized, Unavailable
from ibishead.keys import hash_key
from ibishead.messages import DocumentRecord
from ibishead.web import WebRequest

DOCUMENT = f"""
[service]
name = raktar
team = halo
kind = plain
default_class = read
[class:read]
priority = 1
deadline = 1 s
idempotent = yes
[caller:loft]
team = halo
key_sha256 = {hash_key("sk-loft")}
"""
KEY = (("authorization", "Bearer sk-loft"),)
OTHER_KEY = (("authorization", "Bearer sk-new"),)
OTHER_CLASS = (*KEY, ("x-ibishead-class", "fast"))


def resolve_call(service, headers, current):
    catalog = Catalog()
    catalog.store_document(DocumentRecord("raktar", "halo", 1, DOCUMENT))
    request = WebRequest("GET", f"/services/{service}/stock", "", headers)
    return resolve_confirmed(parse_call(request), catalog, current)


@pytest.mark.parametrize(
    ("service", "headers", "error"),
    [
        ("fresh", KEY, NotFound),
        ("raktar", OTHER_KEY, Unauthorized),
        ("raktar", OTHER_CLASS, NotFound),
    ],
)
def test_unconfirmed_documents_reject_only_temporarily(service, headers, error):
    """Rejections by unconfirmed documents must be temporary errors.

    Otherwise a caller is told that its service does not exist, and stops retrying.
    """
    with pytest.raises(error):
        resolve_call(service, headers, current=True)
    with pytest.raises(Unavailable) as caught:
        resolve_call(service, headers, current=False)
    assert caught.value.code is ErrorCode.NO_QUORUM
    assert caught.value.retry_after


def test_unconfirmed_documents_can_still_resolve_calls():
    # The document decides whether they do, and the agent's gate enforces it
    assert resolve_call("raktar", KEY, current=False).team == "halo"
