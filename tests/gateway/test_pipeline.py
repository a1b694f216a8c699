"""The way of a request through a gateway, with targets that fail in every way."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from ibishead.clock import SystemClock
from ibishead.decisions.holding import HOLD_LEAST
from ibishead.decisions.retry import BudgetShare
from ibishead.errors import LinkLost
from ibishead.gateway.book import TargetBook
from ibishead.gateway.choosing import LEARN_TIME
from ibishead.gateway.connection import TargetConnection
from ibishead.gateway.pipeline import Pipeline
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.stewards import StewardLinks, TurnEnd
from ibishead.headers import find_header
from ibishead.ids import FailureDomain, HostId, ModelName, ServiceName, TargetId
from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.platform.callers import PlatformCallers
from ibishead.platform.targets import PlatformTargets
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.routing.routes import Repeatability, Route, RouteSet, ServiceSpec, Share
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    TargetState,
    TargetView,
)
from ibishead.web import Exchange, WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)
HOME = FailureDomain("a")
Behaviour = Callable[[Exchange, str], Awaitable[None]]


async def answer_well(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, _own(request), b"done")


async def refuse(exchange: Exchange, request: str) -> None:
    await exchange.respond(503, (("not-executed", "1"),))


async def fail(exchange: Exchange, request: str) -> None:
    await exchange.respond(500, _own(request), b"broken")


async def refuse_late(exchange: Exchange, request: str) -> None:
    await asyncio.sleep(0.1)
    await refuse(exchange, request)


async def answer_with_limit(exchange: Exchange, request: str) -> None:
    limit = (("server-limit", "0.5"),)
    await exchange.respond(200, (*_own(request), *limit), b"done")


async def reset(exchange: Exchange, request: str) -> None:
    exchange._connection._writer.transport.abort()


async def answer_another(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, _own("other"), b"done")


async def answer_without_mark(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, (("request-id", request),), b"done")


async def answer_encoded(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, (*_own(request), ("content-encoding", "x")), b"done")


async def be_silent(exchange: Exchange, request: str) -> None:
    await exchange.disconnected.wait()


async def stream_well(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 4)


async def stream_half(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 2, b"id: 3\nda")
    exchange._connection._writer.transport.abort()


async def stream_then_stall(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 2, b"id: 3\nda")
    await exchange.disconnected.wait()


async def _stream(
    exchange: Exchange, request: str, last: int, rest: bytes | None = None
) -> None:
    first = int(find_header(exchange.request.headers, "last-event-id") or 0) + 1
    await exchange.start(200, _own(request))
    for number in range(first, last + 1):
        await exchange.send(b"id: %d\ndata: x\n\n" % number)
    if rest is None:
        await exchange.finish()
    else:
        await exchange.send(rest)
        await asyncio.sleep(0.05)


def _own(request: str):
    return (("request-id", request), ("response-stamp", "s"))


WHOLE_STREAM = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 5))


class Setting:
    """A gateway's pipeline before targets that behave as they are told, in turn."""

    def __init__(self, kind: Repeatability, *behaviours: Behaviour, **route) -> None:
        self._behaviours = list(behaviours)
        self.arrivals: list[str] = []
        member = MemberRecord(HostId("g"), MemberKind.GATEWAY, "", 0, HOME)
        clock = SystemClock()
        feed = RegistryFeed(member, (), clock)
        fields = {
            "name": "r",
            "hostname": "nets.example",
            "prefix": "/p/",
            "kind": kind,
            "timeout": 1.0,
            "objective": 0.2,
            "shares": (Share(ServiceName("s"), 1.0),),
            "gap_objective": 0.1,
        }
        services = (ServiceSpec(ServiceName("s"), "/h", 9),)
        feed.routes = RouteSet(1, (Route(**{**fields, **route}),), services)
        self.feed = feed
        self.pool, self.book = ConnectionPool(clock), TargetBook()
        self.pipeline = Pipeline(
            HOME,
            feed,
            self.book,
            self.pool,
            StewardLinks(HostId("g"), clock, print, print, print, print),
            PlatformCallers(),
            PlatformTargets(),
            clock,
            BudgetShare(0.0, 3.0),
            Metrics("gateway"),
            lambda: 0.0,
        )
        self._web = WebServer(self.pipeline.serve)
        self._targets: list[WebServer] = []

    async def __aenter__(self) -> "Setting":
        for number in range(max(1, len(self._behaviours))):
            server = WebServer(self._behave)
            endpoint = await server.start(LOOPBACK)
            self._targets.append(server)
            self.feed.view.merge(
                Registration(
                    TargetId(f"t{number}"),
                    ServiceName("s"),
                    str(endpoint),
                    HOME,
                    4,
                    TargetState.READY,
                    1,
                    1,
                ),
                0.0,
            )
        self.endpoint = await self._web.start(LOOPBACK)
        return self

    async def __aexit__(self, *_) -> None:
        self.pool.close()
        for server in (self._web, *self._targets):
            await server.stop(0.0)

    async def _behave(self, exchange: Exchange) -> None:
        request = find_header(exchange.request.headers, "request-id") or ""
        self.arrivals.append(request)
        behaviour = self._behaviours[len(self.arrivals) - 1]
        await behaviour(exchange, request)

    async def ask(self, path: str = "/p/x", **headers) -> tuple[int, bytes]:
        sent = {"host": "nets.example", "request-id": "r1", "deadline-ms": "900"}
        connection = await TargetConnection.open(self.endpoint)
        try:
            status, _ = await connection.ask(
                "POST", path, tuple({**sent, **headers}.items()), b"body"
            )
            body = b""
            while (piece := await connection.read()) is not None:
                body += piece
            return status, body
        finally:
            connection.close()


ONCE, SAFE, STREAM = Repeatability.ONCE, Repeatability.IDEMPOTENT, Repeatability.STREAM


@pytest.mark.parametrize(
    ("kind", "behaviours", "attempts", "status", "arrivals"),
    [
        (ONCE, (answer_well,), 1, 200, 1),
        (ONCE, (refuse, answer_well), 1, 200, 2),
        (ONCE, (refuse, refuse, refuse), 1, 429, 3),
        (ONCE, (reset, answer_well), 3, 502, 1),
        (ONCE, (fail, answer_well), 3, 500, 1),
        (ONCE, (answer_another, answer_well), 3, 502, 1),
        (ONCE, (answer_without_mark, answer_well), 3, 502, 1),
        (ONCE, (answer_encoded, answer_well), 3, 502, 1),
        (ONCE, (be_silent, answer_well), 3, 504, 1),
        (ONCE, (refuse, reset, answer_well), 3, 502, 2),
        (SAFE, (reset, answer_well), 2, 200, 2),
        (SAFE, (reset, answer_well), 1, 502, 1),
        # nobody is left to send it to again
        (SAFE, (reset,), 2, 502, 1),
        (SAFE, (fail, answer_well), 2, 200, 2),
        (SAFE, (fail, fail), 2, 500, 2),
        (SAFE, (answer_another, answer_well), 2, 200, 2),
        (SAFE, (reset, refuse, refuse, refuse), 2, 502, 4),
        (STREAM, (reset, stream_well), 1, 502, 1),
    ],
)
async def test_what_a_caller_hears(kind, behaviours, attempts, status, arrivals):
    """An order is committed twice, or said not to have run although it had."""
    async with Setting(kind, *behaviours, attempts=attempts) as setting:
        assert (await setting.ask())[0] == status
        assert len(setting.arrivals) == arrivals


@pytest.mark.parametrize("breaking", [stream_half, stream_then_stall])
async def test_a_resumable_stream_goes_on_elsewhere_without_a_seam(breaking):
    """A plan shows an event in half and then again, or stops in the middle."""
    changes = {"resumable": True, "attempts": 2, "timeout": 9.0}
    async with Setting(STREAM, breaking, stream_well, **changes) as setting:
        answer = await setting.ask(**{"deadline-ms": "8000"})
        assert answer == (200, WHOLE_STREAM)


async def test_a_stream_that_may_not_be_repeated_never_looks_whole():
    async with Setting(STREAM, stream_half, stream_well, attempts=2) as setting:
        with pytest.raises(LinkLost):
            await setting.ask()
        assert len(setting.arrivals) == 1


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/other/x", {}, 404),
        ("/p/x", {"host": "other.example"}, 404),
        ("/p/x", {"deadline-ms": "soon"}, 400),
    ],
)
async def test_what_leads_nowhere_is_told_and_not_sent(path, headers, status):
    async with Setting(SAFE, answer_well) as setting:
        assert (await setting.ask(path, **headers))[0] == status
        assert setting.arrivals == []


async def test_without_routes_nothing_is_denied():
    """A host that has just started tells callers that their service doesn't exist."""
    async with Setting(SAFE, answer_well) as setting:
        setting.feed.routes = None
        assert (await setting.ask())[0] == 503


async def test_a_caller_that_leaves_takes_its_request_along():
    async with Setting(SAFE, be_silent, timeout=20.0) as setting:
        connection = await TargetConnection.open(setting.endpoint)
        asking = asyncio.create_task(
            connection.ask(
                "POST", "/p/x", (("host", "nets.example"), ("request-id", "r")), b""
            )
        )
        while not setting.arrivals:
            await asyncio.sleep(0.01)
        assert setting._targets[0].connection_count == 1
        asking.cancel()
        connection.close()
        async with asyncio.timeout(0.5):
            while setting._targets[0].connection_count:
                await asyncio.sleep(0.01)


async def test_the_budget_of_second_sends_is_kept():
    """Targets that fail get three times the requests, and fail all the more."""
    behaviours = [reset, reset] * 10
    async with Setting(SAFE, *behaviours, attempts=2) as setting:
        for _ in range(10):
            assert (await setting.ask())[0] == 502
        assert len(setting.arrivals) == 10 + 3


@pytest.mark.parametrize("lacking", ["routes", "targets"])
async def test_a_gateway_that_is_learning_keeps_its_first_callers(lacking):
    """After a start of all programs callers are refused who come a moment too early."""
    async with Setting(SAFE, answer_well, objective=1.0) as setting:
        feed = setting.feed
        routes, targets = feed.routes, list(feed.view)
        if lacking == "routes":
            feed.routes = None
        else:
            feed.view = TargetView()
        asking = asyncio.create_task(setting.ask())
        await asyncio.sleep(0.1)
        assert not asking.done()
        feed.routes = routes
        feed.routes_known.set()
        for target in targets:
            feed.view.merge(target, 0.0)
        assert (await asking)[0] == 200


async def test_who_leaves_while_routes_are_learned_is_not_sent_on():
    """A request reaches a target half a second after its caller has left."""
    async with Setting(SAFE, answer_well) as setting:
        feed = setting.feed
        routes, feed.routes = feed.routes, None
        connection = await TargetConnection.open(setting.endpoint)
        head = (("host", "nets.example"), ("request-id", "r"))
        asking = asyncio.create_task(connection.ask("POST", "/p/x", head, b""))
        await asyncio.sleep(0.1)
        asking.cancel()
        connection.close()
        await asyncio.sleep(0.1)
        feed.routes = routes
        feed.routes_known.set()
        await asyncio.sleep(0.1)
        assert not setting.arrivals


async def test_nobody_waits_for_a_target_where_all_has_been_learned():
    async with Setting(SAFE, answer_well) as setting:
        setting.feed.view = TargetView()
        setting.pipeline._chooser._began -= LEARN_TIME
        async with asyncio.timeout(HOLD_LEAST / 2):
            assert (await setting.ask())[0] == 429


@pytest.mark.parametrize(("behaviour", "failed"), [(answer_well, False), (fail, True)])
async def test_a_failure_that_is_passed_on_counts_against_its_target(behaviour, failed):
    """A target that answers errors at once looks idle, and gets most requests."""
    async with Setting(ONCE, behaviour) as setting:
        await setting.ask()
        target = next(iter(setting.feed.view))
        notes = setting.book.notes(target)
        assert (notes.failures.read(SystemClock().monotonic()) > 0.1) == failed


class MuteSteward:
    """Links to stewards, of which the one of a single address has gone mute.

    :ivar sent: addresses of engines that requests were sent to without a turn.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.sent: list[str] = []

    def is_mute(self, address: str) -> bool:
        return address == self._address

    def reaches(self, address: str) -> bool:
        return address != self._address

    async def ask_turn(self, address: str, *_, **__) -> TurnEnd:
        return TurnEnd.GIVEN

    def begin_use(self, address: str, *_) -> None:
        self.sent.append(address)

    def end_use(self, *_) -> None:
        pass

    def note_read(self, *_) -> None:
        pass


@pytest.mark.parametrize("alive", [False, True])
async def test_a_host_that_stands_still_gets_no_prompts(alive):
    """Callers wait for an engine until they leave, though another one is idle."""
    async with Setting(STREAM, stream_well, stream_well) as setting:
        still, other = list(setting.feed.view)
        for target, adapters in ((still, (AdapterRef("a1", 1),)), (other, ())):
            holdings = (Holding(ModelName("m"), 1, adapters),)
            setting.feed.view.merge(
                msgspec.structs.replace(target, sequence=2, holdings=holdings), 0.0
            )
        stewards = MuteSteward(still.address)
        setting.pipeline._stewards = setting.pipeline._chooser._stewards = stewards
        if alive:
            notes = setting.book.notes(still)
            notes.heard_at = SystemClock().monotonic() + 60.0
        answer = await setting.ask(model="m/a1")
        assert answer == (200, WHOLE_STREAM)
        assert stewards.sent == ([still.address] if alive else [])


async def test_who_finds_only_a_host_that_stands_still_is_refused_at_once():
    """A caller waits for an engine on a host that stands still until he leaves."""
    async with Setting(STREAM, stream_well, timeout=9.0) as setting:
        still = next(iter(setting.feed.view))
        holdings = (Holding(ModelName("m"), 1, (AdapterRef("a1", 1),)),)
        setting.feed.view.merge(
            msgspec.structs.replace(still, sequence=2, holdings=holdings), 0.0
        )
        stewards = MuteSteward(still.address)
        setting.pipeline._stewards = setting.pipeline._chooser._stewards = stewards
        assert (await setting.ask(model="m/a1"))[0] == 429
        assert stewards.sent == setting.arrivals == []


async def test_what_a_limit_does_not_let_through_in_time_is_refused_at_once():
    """A caller waits until its deadline for a target that takes one request in 2 s."""
    async with Setting(SAFE, answer_with_limit) as setting:
        setting._behaviours *= 9
        answers = [(await setting.ask())[0] for _ in range(4)]
    assert answers == [200, 200, 429, 429]
    assert len(setting.arrivals) == 2


async def test_a_late_request_is_still_sent_where_no_limit_holds_it_back():
    """A target refuses late, and the request is refused with another one idle."""
    behaviours = (refuse_late, answer_well)
    async with Setting(SAFE, *behaviours, objective=0.01) as setting:
        assert (await setting.ask())[0] == 200
