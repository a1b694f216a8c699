"""How a program takes route sets over its links to registries."""

import asyncio
from types import SimpleNamespace

import pytest

from ibishead.clock import SystemClock
from ibishead.links import Endpoint
from ibishead.routing.changes import RouteHistory
from ibishead.routing.feed import ROUTES_WAIT, RegistryFeed
from ibishead.routing.messages import (
    AskRoutes,
    MemberKind,
    MemberRecord,
    Members,
    RouteNotice,
    RoutesAnswer,
)
from ibishead.routing.routes import Repeatability, Route, RouteSet, Share

NEAR = Endpoint("10.0.0.1", 7380)
FAR = Endpoint("10.0.0.2", 7380)


def make_set(version, *prefixes):
    return RouteSet(
        version,
        tuple(
            Route(p, "h", p, Repeatability.ONCE, 1.0, 1.0, (Share("s", 1.0),))
            for p in prefixes
        ),
        (),
    )


class QueueLink:
    """A link whose other end is the test."""

    def __init__(self):
        self.sent = []
        self.peer = SimpleNamespace(host="registry")
        self.closed = False
        self._queue = asyncio.Queue()

    def send(self, message):
        self.sent.append(message)

    def abort(self):
        pass

    def tell(self, message):
        self._queue.put_nowait(message)

    async def receive(self):
        while True:
            yield await self._queue.get()

    def list_asked(self):
        return [m.held for m in self.sent if isinstance(m, AskRoutes)]


@pytest.fixture
async def feed():
    links = {NEAR: QueueLink(), FAR: QueueLink()}

    async def dial(endpoint, *_):
        return links[endpoint]

    own = MemberRecord("g", MemberKind.GATEWAY, "", 0, "zone-1")
    feed = RegistryFeed(own, (NEAR, FAR), SystemClock(), dialer=dial)
    feed.start()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    yield SimpleNamespace(feed=feed, near=links[NEAR], far=links[FAR])
    await feed.stop()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def answer(history, held, version):
    base, encoded = history.encode(held)
    return RoutesAnswer(version, encoded, base)


async def test_a_change_is_taken_where_its_base_is_held(feed):
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.tell(RouteNotice(1))
    await settle()
    feed.far.tell(answer(history, 0, 1))
    await settle()
    history.add(make_set(2, "/a/", "/b/"))
    feed.far.tell(RouteNotice(2))
    await settle()
    assert feed.far.list_asked() == [0, 1]
    feed.far.tell(answer(history, 1, 2))
    await settle()
    assert feed.feed.version == 2
    assert {r.prefix for r in feed.feed.routes.routes} == {"/a/", "/b/"}


async def test_a_change_that_comes_late_is_left_alone(feed):
    """Guards against routes of two versions in force together."""
    history = RouteHistory()
    for version, prefix in ((1, "/a/"), (2, "/b/")):
        history.add(make_set(version, prefix))
    feed.far.tell(RouteNotice(2))
    await settle()
    feed.far.tell(answer(history, 0, 2))
    await settle()
    history.add(make_set(3, "/c/"))
    feed.near.tell(answer(history, 1, 3))
    await settle()
    assert feed.feed.version == 2
    assert {r.prefix for r in feed.feed.routes.routes} == {"/b/"}


async def test_an_answer_that_cannot_be_read_is_asked_for_whole(feed):
    """Guards against a program that stays at an old version for good."""
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.tell(RouteNotice(1))
    await settle()
    feed.far.tell(answer(history, 0, 1))
    await settle()
    feed.far.tell(RouteNotice(2))
    await settle()
    feed.far.tell(RoutesAnswer(2, b"\x78damaged", 1))
    await asyncio.sleep(2 * ROUTES_WAIT)
    assert feed.feed.version == 1
    assert feed.far.list_asked()[-1] == 0


async def test_a_registry_of_the_own_failure_domain_is_asked_first(feed):
    """Guards against large sets that cross failure domains without need."""
    near = MemberRecord("r1", MemberKind.REGISTRY, NEAR.address, NEAR.port, "zone-1")
    feed.far.tell(Members((near,)))
    feed.far.tell(RouteNotice(1))
    await settle()
    feed.near.tell(RouteNotice(1))
    await asyncio.sleep(2 * ROUTES_WAIT)
    assert feed.near.list_asked()
