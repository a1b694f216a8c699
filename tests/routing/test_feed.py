"""How a program receives route sets over its links to registries."""

import asyncio
from types import SimpleNamespace

import pytest

from ibishead.clock import SystemClock
from ibishead.links import Endpoint
from ibishead.routing.changes import RouteHistory
from ibishead.routing.feed import (
    REFRESH_TIMEOUT_SECONDS,
    ROUTES_TIMEOUT_SECONDS,
    RegistryFeed,
)
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
    """A link whose messages are queued by the test."""

    def __init__(self):
        self.sent = []
        self.peer = SimpleNamespace(host="registry")
        self.closed = False
        self._queue = asyncio.Queue()

    def send(self, message):
        self.sent.append(message)

    def abort(self):
        pass

    def deliver(self, message):
        self._queue.put_nowait(message)

    async def receive(self):
        while True:
            yield await self._queue.get()

    def list_requested_versions(self):
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


async def test_change_to_the_held_version_is_applied(feed):
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.deliver(RouteNotice(1))
    await settle()
    feed.far.deliver(answer(history, 0, 1))
    await settle()
    history.add(make_set(2, "/a/", "/b/"))
    feed.far.deliver(RouteNotice(2))
    await settle()
    assert feed.far.list_requested_versions() == [0, 1]
    feed.far.deliver(answer(history, 1, 2))
    await settle()
    assert feed.feed.version == 2
    assert {r.prefix for r in feed.feed.routes.routes} == {"/a/", "/b/"}


async def test_late_change_to_an_older_version_is_ignored(feed):
    """Guards against routes of two versions in force together."""
    history = RouteHistory()
    for version, prefix in ((1, "/a/"), (2, "/b/")):
        history.add(make_set(version, prefix))
    feed.far.deliver(RouteNotice(2))
    await settle()
    feed.far.deliver(answer(history, 0, 2))
    await settle()
    history.add(make_set(3, "/c/"))
    feed.near.deliver(answer(history, 1, 3))
    await settle()
    assert feed.feed.version == 2
    assert {r.prefix for r in feed.feed.routes.routes} == {"/b/"}


async def test_whole_set_is_requested_after_an_unreadable_answer(feed):
    """Guards against a program that stays at an old version forever."""
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.deliver(RouteNotice(1))
    await settle()
    feed.far.deliver(answer(history, 0, 1))
    await settle()
    feed.far.deliver(RouteNotice(2))
    await settle()
    feed.far.deliver(RoutesAnswer(2, b"\x78damaged", 1))
    await asyncio.sleep(2 * ROUTES_TIMEOUT_SECONDS)
    assert feed.feed.version == 1
    assert feed.far.list_requested_versions()[-1] == 0


async def test_registry_in_the_own_failure_domain_is_preferred(feed):
    """Guards against sending large sets across failure domains unnecessarily."""
    near = MemberRecord("r1", MemberKind.REGISTRY, NEAR.address, NEAR.port, "zone-1")
    feed.far.deliver(Members((near,)))
    feed.far.deliver(RouteNotice(1))
    await settle()
    feed.near.deliver(RouteNotice(1))
    await asyncio.sleep(2 * ROUTES_TIMEOUT_SECONDS)
    assert feed.near.list_requested_versions()


async def test_requests_that_arrive_together_share_one_question_to_the_leader(feed):
    """Requests with invented keys must not load the registries."""
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.deliver(answer(history, 0, 1))
    await settle()
    calls = [asyncio.create_task(feed.feed.refresh_routes(feed.near)) for _ in range(9)]
    await settle()
    assert feed.near.list_requested_versions() == [1]
    history.add(make_set(2, "/b/"))
    feed.near.deliver(answer(history, 1, 2))
    assert await asyncio.gather(*calls) == [True] * 9
    assert feed.far.list_requested_versions() == []


async def test_request_that_arrives_during_a_question_waits_for_the_next(feed):
    """A key that was accepted after the question would be refused by its answer."""
    history = RouteHistory()
    history.add(make_set(1, "/a/"))
    feed.far.deliver(answer(history, 0, 1))
    await settle()
    first = asyncio.create_task(feed.feed.refresh_routes(feed.near))
    await settle()
    second = asyncio.create_task(feed.feed.refresh_routes(feed.near))
    feed.near.deliver(RoutesAnswer(1, b"", 1))
    assert await first is False
    history.add(make_set(2, "/b/"))
    while len(feed.near.list_requested_versions()) < 2:
        await asyncio.sleep(0.01)
    assert not second.done()
    feed.near.deliver(answer(history, 1, 2))
    assert await second is True


async def test_unanswered_question_ends_in_time(feed):
    async with asyncio.timeout(2 * REFRESH_TIMEOUT_SECONDS):
        assert await feed.feed.refresh_routes(feed.near) is False
