"""Matching of requests to routes, and validation of route sets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import InvalidInput
from ibishead.ids import ServiceName
from ibishead.routing.routes import (
    Repeatability,
    Route,
    RouteSet,
    ServiceSpec,
    Share,
    check_routes,
    find_moved_services,
    find_route,
    pick_service,
)

SERVICES = (ServiceSpec(ServiceName("plans"), "/up", 8),)


def make_route(prefix="/", hostname="nets.example", **changes) -> Route:
    fields = {
        "name": "r",
        "hostname": hostname,
        "prefix": prefix,
        "kind": Repeatability.IDEMPOTENT,
        "timeout": 1.0,
        "objective": 0.3,
        "shares": (Share(ServiceName("plans"), 1.0),),
    }
    return Route(**{**fields, **changes})


def make_set(*routes: Route, version=1) -> RouteSet:
    return RouteSet(version, routes, SERVICES)


@pytest.mark.parametrize(
    ("hostname", "path", "expected"),
    [
        ("nets.example", "/a/b/c", "/a/b/"),
        ("nets.example", "/a/bc", "/a/"),
        ("nets.example", "/a/b/", "/a/b/"),
        ("nets.example", "/a", None),
        ("other.example", "/a/b/c", None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_chosen(hostname, path, expected):
    routes = make_set(make_route("/a/"), make_route("/a/b/"), make_route("/z/"))
    found = find_route(routes, hostname, path)
    assert (found.prefix if found else None) == expected


@pytest.mark.parametrize(
    ("routes", "reason"),
    [
        ((make_route("/a/"), make_route("/a/")), "same host name and prefix"),
        ((make_route(shares=(Share(ServiceName("x"), 1.0),)),), "not defined"),
        ((make_route(shares=(Share(ServiceName("plans"), 0.0),)),), "add up"),
        ((make_route(timeout=0.0),), "timeout"),
        ((make_route("a/"),), "slash"),
        ((make_route(shares=(Share(ServiceName("plans"), -1.0),)),), "negative"),
    ],
)
def test_inconsistent_sets_are_rejected(routes, reason):
    with pytest.raises(InvalidInput, match=reason):
        check_routes(make_set(*routes))


@given(
    weights=st.lists(st.integers(0, 100), min_size=1, max_size=5).filter(any),
    point=st.floats(0, 1, exclude_max=True),
)
def test_share_of_zero_weight_is_never_chosen(weights, point):
    shares = tuple(Share(ServiceName(f"s{n}"), w) for n, w in enumerate(weights))
    chosen = pick_service(make_route(shares=shares), point)
    assert weights[int(chosen[1:])] > 0


@pytest.mark.parametrize(
    ("kind", "resumable", "expected"),
    [
        (Repeatability.IDEMPOTENT, False, True),
        (Repeatability.ONCE, True, False),
        (Repeatability.STREAM, False, False),
        (Repeatability.STREAM, True, True),
    ],
)
def test_repeatable_depends_on_kind_and_resumability(kind, resumable, expected):
    assert make_route(kind=kind, resumable=resumable).repeatable is expected


OLD, PLANS = (Share(ServiceName("old"), 1.0),), (Share(ServiceName("plans"), 1.0),)
IDLE = (Share(ServiceName("old"), 0.0), *PLANS)


@pytest.mark.parametrize(
    ("before", "after", "moved"),
    [
        ({"/a/": OLD}, {"/a/": OLD}, set()),
        ({"/a/": OLD}, {"/a/": PLANS}, {"plans"}),
        ({"/a/": OLD}, {"/a/": IDLE}, {"plans"}),
        ({"/a/": IDLE}, {"/a/": PLANS}, set()),
        ({"/a/": OLD}, {"/b/": PLANS}, set()),
        ({"/a/": OLD}, {"/a/": OLD, "/a/b/": PLANS}, {"plans"}),
        ({"/a/": OLD, "/a/b/": PLANS}, {"/a/": OLD}, {"old"}),
        ({"/": OLD}, {"/": OLD, "/a/b/": PLANS}, {"plans"}),
    ],
)
def test_services_to_which_paths_have_moved(before, after, moved):
    """Streams of the former service would be resumed at the present one."""
    sets = (
        make_set(*(make_route(prefix, shares=s) for prefix, s in routes.items()))
        for routes in (before, after)
    )
    assert find_moved_services(*sets) == moved
