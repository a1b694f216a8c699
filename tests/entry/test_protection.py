"""The document, not the caller, decides which calls may run twice."""

import pytest

from ibishead.catalog import Catalog
from ibishead.entry.call import parse_call
from ibishead.entry.resolution import resolve
from ibishead.messages import DocumentRecord
from ibishead.web import WebRequest

HEAD = """
[service]
name = raktar
team = halo
kind = plain
default_class = {default}
[class:read]
priority = 1
deadline = 1 s
idempotent = yes
[class:issue]
priority = 1
deadline = 1 s
idempotent = no
"""
#: Reads unless a route says otherwise.
OPEN = HEAD.format(default="read") + "[route:i]\npath = /issues\nclass = issue\n"
POSTED = OPEN.replace("path", "method = POST\npath")
#: Protected unless a route says otherwise.
GUARDED = HEAD.format(default="issue") + "[route:s]\npath = /stock\nclass = read\n"


def resolve_call(text, method, path, headers=()):
    catalog = Catalog()
    catalog.store_document(DocumentRecord("raktar", "halo", 1, text))
    request = WebRequest(method, f"/services/raktar{path}", "", headers)
    return resolve(parse_call(request), catalog)


@pytest.mark.parametrize(
    ("text", "method", "path", "asked", "expected"),
    [
        (OPEN, "POST", "/issues", "", "issue"),
        (OPEN, "POST", "/issues/7", "", "issue"),
        (OPEN, "POST", "/issuesx", "", "read"),
        (OPEN, "POST", "/stock", "", "read"),
        (OPEN, "POST", "/stock", "issue", "issue"),
        (OPEN, "POST", "/issues", "read", "issue"),
        (POSTED, "GET", "/issues", "", "read"),
        (POSTED, "post", "/issues", "", "issue"),
        (GUARDED, "POST", "/issues", "read", "issue"),
        (GUARDED, "POST", "/other", "", "issue"),
        (GUARDED, "GET", "/stock", "", "read"),
        (GUARDED, "GET", "/stock/../issues", "", "issue"),
        (GUARDED, "GET", "/stock/%2e%2e/issues", "", "issue"),
    ],
)
def test_class_of_a_call(text, method, path, asked, expected):
    headers = (("x-ibishead-class", asked),) if asked else ()
    found = resolve_call(text, method, path, headers)
    assert found.request_class.name == expected


@pytest.mark.parametrize(
    "path",
    [
        "/%69ssues",
        "//issues",
        "/./issues",
        "/stock/../issues",
        "/stock/%2e%2e/issues",
        "/stock%2f..%2fissues",
        "/issues%2f7",
        "/stock/..//issues/",
        "/issues;v=1",
    ],
)
def test_disguised_path_keeps_its_protection(path):
    """A stock issue goes out twice, although the document protects /issues."""
    assert resolve_call(OPEN, "POST", path).request_class.name == "issue"


def test_path_is_passed_on_as_it_came():
    found = resolve_call(OPEN, "POST", "/stock/%2e%2e/issues")
    assert found.call.path == "/stock/%2e%2e/issues"
