"""The document, not the caller, decides which calls are idempotent."""

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
#: Idempotent except for the route.
IDEMPOTENT_DEFAULT = (
    HEAD.format(default="read") + "[route:i]\npath = /issues\nclass = issue\n"
)
POST_ROUTE = IDEMPOTENT_DEFAULT.replace("path", "method = POST\npath")
#: Non-idempotent except for the route.
NON_IDEMPOTENT_DEFAULT = (
    HEAD.format(default="issue") + "[route:s]\npath = /stock\nclass = read\n"
)


def resolve_call(text, method, path, headers=()):
    catalog = Catalog()
    catalog.store_document(DocumentRecord("raktar", "halo", 1, text))
    request = WebRequest(method, f"/services/raktar{path}", "", headers)
    return resolve(parse_call(request), catalog)


@pytest.mark.parametrize(
    ("text", "method", "path", "asked", "expected"),
    [
        (IDEMPOTENT_DEFAULT, "POST", "/issues", "", "issue"),
        (IDEMPOTENT_DEFAULT, "POST", "/issues/7", "", "issue"),
        (IDEMPOTENT_DEFAULT, "POST", "/issuesx", "", "read"),
        (IDEMPOTENT_DEFAULT, "POST", "/stock", "", "read"),
        (IDEMPOTENT_DEFAULT, "POST", "/stock", "issue", "issue"),
        (IDEMPOTENT_DEFAULT, "POST", "/issues", "read", "issue"),
        (POST_ROUTE, "GET", "/issues", "", "read"),
        (POST_ROUTE, "post", "/issues", "", "issue"),
        (NON_IDEMPOTENT_DEFAULT, "POST", "/issues", "read", "issue"),
        (NON_IDEMPOTENT_DEFAULT, "POST", "/other", "", "issue"),
        (NON_IDEMPOTENT_DEFAULT, "GET", "/stock", "", "read"),
        (NON_IDEMPOTENT_DEFAULT, "GET", "/stock/../issues", "", "issue"),
        (NON_IDEMPOTENT_DEFAULT, "GET", "/stock/%2e%2e/issues", "", "issue"),
    ],
)
def test_request_class_of_a_call(text, method, path, asked, expected):
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
def test_equivalent_path_is_non_idempotent(path):
    """Equivalent spellings of a non-idempotent path are non-idempotent too.

    Otherwise a call that many services take for /issues is retried and runs twice.
    """
    assert resolve_call(IDEMPOTENT_DEFAULT, "POST", path).request_class.name == "issue"


def test_path_is_forwarded_unchanged():
    found = resolve_call(IDEMPOTENT_DEFAULT, "POST", "/stock/%2e%2e/issues")
    assert found.call.path == "/stock/%2e%2e/issues"
