"""Requests through a gateway's pipeline to targets that fail in various ways."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from tests.fake_links import FakeLink

from ibishead.clock import SystemClock
from ibishead.decisions.heldbytes import AnswerBudget
from ibishead.decisions.holding import MIN_HOLD_SECONDS
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.retry import BudgetShare
from ibishead.decisions.shedding import ConnectionShedder
from ibishead.errors import LinkLost
from ibishead.gateway.blocking import PromptBlocks
from ibishead.gateway.choosing import DISCOVERY_SECONDS
from ibishead.gateway.connection import TargetConnection
from ibishead.gateway.ends import TargetEnds
from ibishead.gateway.inference import ENDED_SECONDS
from ibishead.gateway.origins import StreamOrigins
from ibishead.gateway.pipeline import Pipeline
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.quotas import QuotaClient
from ibishead.gateway.stewards import StewardLinks, TurnOutcome
from ibishead.gateway.tracker import TargetTracker
from ibishead.headers import find_header
from ibishead.ids import (
    FailureDomain,
    HostId,
    ModelName,
    PartKey,
    ReplicaId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    TargetId,
)
from ibishead.links import Endpoint
from ibishead.metrics import Metrics
from ibishead.platform.callers import PlatformCallers
from ibishead.platform.targets import PlatformTargets
from ibishead.registry.commands import PutRoutes, encode_command
from ibishead.registry.state import RouteState
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    BlockedPart,
    MemberKind,
    MemberRecord,
    ServedAnswer,
)
from ibishead.routing.prompts import make_content_key
from ibishead.routing.routes import (
    EngineSpec,
    Repeatability,
    Route,
    RouteSet,
    ServiceSpec,
    Share,
)
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    StreamOrigin,
    TargetState,
    TargetView,
)
from ibishead.web import Exchange, WebServer

LOOPBACK = Endpoint("127.0.0.1", 0)
HOME = FailureDomain("a")
Behaviour = Callable[[Exchange, str], Awaitable[None]]


async def respond(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, _make_own_headers(request), b"done")


def refuse_with_status(status: int) -> Behaviour:
    """Return a target that states that it has not run the request."""

    async def refuse_request(exchange: Exchange, request: str) -> None:
        await exchange.respond(status, (("request-id", request), ("not-executed", "1")))

    return refuse_request


refuse = refuse_with_status(503)


async def fail(exchange: Exchange, request: str) -> None:
    await exchange.respond(500, _make_own_headers(request), b"broken")


async def refuse_after_delay(exchange: Exchange, request: str) -> None:
    await asyncio.sleep(0.1)
    await refuse(exchange, request)


async def respond_with_limit(exchange: Exchange, request: str) -> None:
    limit = (("server-limit", "0.5"),)
    await exchange.respond(200, (*_make_own_headers(request), *limit), b"done")


async def reset(exchange: Exchange, request: str) -> None:
    exchange._connection._writer.transport.abort()


async def respond_to_other_request(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, _make_own_headers("other"), b"done")


async def respond_without_stamp(exchange: Exchange, request: str) -> None:
    await exchange.respond(200, (("request-id", request),), b"done")


async def respond_encoded(exchange: Exchange, request: str) -> None:
    await exchange.respond(
        200, (*_make_own_headers(request), ("content-encoding", "x")), b"done"
    )


def refuse_and_ask(text: str) -> Behaviour:
    """Return a target that refuses and asks for rest."""

    async def refuse_with_header(exchange: Exchange, request: str) -> None:
        headers = (("request-id", request), ("not-executed", "1"))
        await exchange.respond(503, (*headers, ("retry-after", text)))

    return refuse_with_header


def fail_stamped(status: int) -> Behaviour:
    """Return a target whose own failure doesn't say that the request has not run."""

    async def fail_with_status(exchange: Exchange, request: str) -> None:
        await exchange.respond(status, _make_own_headers(request), b"busy")

    return fail_with_status


async def never_respond(exchange: Exchange, request: str) -> None:
    await exchange.disconnected.wait()


async def stream_completely(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 4)


async def stream_and_reset(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 2, b"id: 3\nda")
    exchange._connection._writer.transport.abort()


def stream_unframed(last: int, rest: bytes = b"") -> Behaviour:
    """Return a target whose answer has no length and no chunks.

    :param last: number of the last whole event.
    :param rest: bytes of the event after it, before the connection ends.
    """

    async def stream(exchange: Exchange, request: str) -> None:
        writer = exchange._connection._writer
        head = "".join(f"{k}: {v}\r\n" for k, v in _make_own_headers(request))
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        writer.write(_make_events(1, last) + rest)
        await writer.drain()
        writer.close()

    return stream


async def stream_chunked_with_partial_event(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 2, b"id: 3\nda")
    await exchange.finish()


async def stream_and_stall(exchange: Exchange, request: str) -> None:
    await _stream(exchange, request, 2, b"id: 3\nda")
    await exchange.disconnected.wait()


async def _stream(
    exchange: Exchange, request: str, last: int, rest: bytes | None = None
) -> None:
    first = int(find_header(exchange.request.headers, "last-event-id") or 0) + 1
    await exchange.start(200, _make_own_headers(request))
    for number in range(first, last + 1):
        await exchange.send(_make_events(number, number))
    if rest is None:
        await exchange.finish()
    else:
        await exchange.send(rest)
        await asyncio.sleep(0.05)


def _make_events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


def _make_own_headers(request: str):
    load = ("server-load", "1,0,8,250")
    return (("request-id", request), ("response-stamp", "s"), load)


WHOLE_STREAM = _make_events(1, 4)


class AnsweringRegistry(FakeLink):
    """A link to a registry that tells the recorded origins at once.

    :param recorded: software versions of the service, ``None`` if no quorum confirms
        them.
    """

    def __init__(self, pipeline: Pipeline, recorded: tuple[str, ...] | None) -> None:
        super().__init__()
        self.pipeline = pipeline
        self.origins = None if recorded is None else tuple(map(make_origin, recorded))

    def send(self, message) -> None:
        super().send(message)
        answer = ServedAnswer(message.number, self.origins)
        asyncio.get_running_loop().call_soon(
            self.pipeline.inference.handle_answer, answer
        )


class Fixture:
    """A gateway's pipeline with targets; each request gets the next behaviour.

    :param software: software versions of the targets.
    :ivar arrivals: ids of the requests that targets received.
    :ivar reached: software versions of the targets that received them.
    :ivar services: services of those targets.
    """

    def __init__(
        self,
        kind: Repeatability,
        *behaviours: Behaviour,
        software: tuple[str, ...] = (),
        answers: AnswerBudget | None = None,
        **route,
    ) -> None:
        self._behaviours = list(behaviours)
        self._software = software or ("v1",) * max(1, len(behaviours))
        self.arrivals: list[str] = []
        self.reached: list[str] = []
        self.services: list[str] = []
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
        self.pool, self.tracker = ConnectionPool(clock), TargetTracker()
        self.quotas = QuotaClient(clock, 0.8, lambda: 0.0)
        metrics = Metrics("gateway")
        stewards = StewardLinks(HostId("g"), clock, print, print, print, print)
        self.origins = StreamOrigins(stewards, clock, metrics)
        self.blocks = PromptBlocks(HostId("g"), feed, lambda: 0.0)
        self.part_uses = PartUses()
        self.ends = TargetEnds(feed, self.pool, self.part_uses, clock)
        self.shedder = ConnectionShedder()
        self.pipeline = Pipeline(
            HOME,
            feed,
            self.tracker,
            self.pool,
            stewards,
            self.quotas,
            self.origins,
            self.blocks,
            self.part_uses,
            self.ends,
            PlatformCallers(),
            PlatformTargets(),
            clock,
            BudgetShare(0.0, 3.0),
            metrics,
            lambda: 0.0,
            self.shedder,
            answers,
        )
        self._web = WebServer(self.pipeline.serve)
        self._targets: list[WebServer] = []

    async def __aenter__(self) -> "Fixture":
        for number, software in enumerate(self._software):
            server = WebServer(self._run_behaviour)
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
                    software=SoftwareVersion(software),
                ),
                0.0,
            )
        self.endpoint = await self._web.start(LOOPBACK)
        return self

    def link_registry(self, recorded: tuple[str, ...] | None) -> AnsweringRegistry:
        """Link a registry whose log has recorded some versions of the service."""
        member = MemberRecord(
            HostId("r"),
            MemberKind.REGISTRY,
            LOOPBACK.address,
            LOOPBACK.port,
            HOME,
            replica=ReplicaId("r.1"),
        )
        self.feed.members[member.host, member.kind] = member
        link = self.feed.links[LOOPBACK] = AnsweringRegistry(self.pipeline, recorded)
        return link

    async def __aexit__(self, *_) -> None:
        await self.ends.stop()
        self.pool.close()
        for server in (self._web, *self._targets):
            await server.stop(0.0)

    async def _run_behaviour(self, exchange: Exchange) -> None:
        request = find_header(exchange.request.headers, "request-id") or ""
        self.arrivals.append(request)
        name = find_header(exchange.request.headers, "expect-instance") or ""
        target = self.feed.view.get(TargetId(name))
        self.reached.append(target.software)
        self.services.append(target.service)
        behaviour = self._behaviours[len(self.arrivals) - 1]
        await behaviour(exchange, request)

    async def ask(
        self, path: str = "/p/x", method: str = "POST", **headers
    ) -> tuple[int, bytes]:
        sent = {"host": "nets.example", "request-id": "r1", "deadline-ms": "900"}
        connection = await TargetConnection.open(self.endpoint)
        try:
            status, _ = await connection.request(
                method, path, tuple({**sent, **headers}.items()), b"body"
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
        (ONCE, (respond,), 1, 200, 1),
        (ONCE, (refuse, respond), 1, 200, 2),
        (ONCE, (refuse, refuse, refuse), 1, 429, 3),
        (ONCE, (reset, respond), 3, 502, 1),
        (ONCE, (fail, respond), 3, 500, 1),
        # to a caller these statuses promise that the request has not run
        (ONCE, (fail_stamped(503), respond), 3, 502, 1),
        (ONCE, (fail_stamped(429), respond), 3, 502, 1),
        (ONCE, (fail_stamped(408), respond), 3, 502, 1),
        (STREAM, (fail_stamped(503), stream_completely), 3, 502, 1),
        (SAFE, (fail_stamped(503), respond), 2, 200, 2),
        (ONCE, (respond_to_other_request, respond), 3, 502, 1),
        (ONCE, (respond_without_stamp, respond), 3, 502, 1),
        (ONCE, (respond_encoded, respond), 3, 502, 1),
        (ONCE, (never_respond, respond), 3, 504, 1),
        (ONCE, (refuse, reset, respond), 3, 502, 2),
        (SAFE, (reset, respond), 2, 200, 2),
        (SAFE, (reset, respond), 1, 502, 1),
        # no other target is left for a second send
        (SAFE, (reset,), 2, 502, 1),
        (SAFE, (fail, respond), 2, 200, 2),
        (SAFE, (fail, fail), 2, 500, 2),
        (SAFE, (respond_to_other_request, respond), 2, 200, 2),
        (SAFE, (reset, refuse, refuse, refuse), 2, 502, 4),
        (STREAM, (reset, stream_completely), 1, 502, 1),
    ],
)
async def test_status_and_number_of_sends(kind, behaviours, attempts, status, arrivals):
    """A request must not run twice, nor be reported as not run although it may have.

    A target may refuse, fail, reset the connection, stall or return a response that is
    not its own.
    """
    async with Fixture(kind, *behaviours, attempts=attempts) as fixture:
        assert (await fixture.ask())[0] == status
        assert len(fixture.arrivals) == arrivals


async def test_a_request_that_waits_for_a_connection_as_a_rest_begins_is_not_sent():
    """Requests that were under way would reach a target that rests."""
    async with Fixture(ONCE, respond) as fixture:
        acquire, target = fixture.pool.acquire, fixture.feed.view.get(TargetId("t0"))

        async def begin_rest(*wanted: str) -> TargetConnection:
            now = SystemClock().monotonic()
            fixture.tracker.record_refusal(target, 3.0, 0.0, now)
            return await acquire(*wanted)

        fixture.pool.acquire = begin_rest
        assert (await fixture.ask())[0] == 429
        assert fixture.arrivals == []


@pytest.mark.parametrize(
    ("text", "arrivals"),
    [("2", 1), ("0.9", 1), ("0", 2), ("-3", 2), ("nan", 2), ("1e12", 2), ("soon", 2)],
)
async def test_a_refusal_closes_its_target_if_it_asks_for_a_valid_rest(text, arrivals):
    behaviours = (refuse_and_ask(text), respond)
    async with Fixture(ONCE, *behaviours, software=("v1",)) as fixture:
        assert (await fixture.ask())[0] == 429
        assert (await fixture.ask())[0] == (429 if arrivals == 1 else 200)
        assert len(fixture.arrivals) == arrivals


async def ask_without_stamp(exchange: Exchange, request: str) -> None:
    headers = (("request-id", request), ("retry-after", "2"))
    await exchange.respond(503, headers, b"busy")


async def ask_with_proof_only(exchange: Exchange, request: str) -> None:
    await exchange.respond(503, (("not-executed", "1"), ("retry-after", "2")))


async def ask_stamped(exchange: Exchange, request: str) -> None:
    headers = (*_make_own_headers(request), ("retry-after", "2"))
    await exchange.respond(503, headers, b"busy")


async def ask_of_another_request(exchange: Exchange, request: str) -> None:
    headers = (("request-id", "other"), ("retry-after", "2"))
    await exchange.respond(503, headers, b"busy")


@pytest.mark.parametrize(
    ("behaviour", "arrivals"),
    [
        (ask_without_stamp, 1),
        (ask_with_proof_only, 1),
        (ask_stamped, 1),
        (ask_of_another_request, 2),
    ],
)
async def test_a_rest_is_kept_whatever_proves_that_nothing_ran(behaviour, arrivals):
    async with Fixture(ONCE, behaviour, respond, software=("v1",)) as fixture:
        await fixture.ask()
        await fixture.ask()
        assert len(fixture.arrivals) == arrivals


@pytest.mark.parametrize("failing", [stream_and_reset, stream_and_stall])
async def test_a_resumable_stream_continues_at_another_target(failing):
    """A stream must continue at another target after the last complete event.

    Otherwise, the caller receives a truncated event and then the complete one, or the
    stream ends early.
    """
    changes = {"resumable": True, "attempts": 2, "timeout": 9.0}
    async with Fixture(STREAM, failing, stream_completely, **changes) as fixture:
        answer = await fixture.ask(**{"deadline-ms": "8000"})
        assert answer == (200, WHOLE_STREAM)


async def test_a_failed_stream_that_is_not_resumable_is_aborted():
    async with Fixture(
        STREAM, stream_and_reset, stream_completely, attempts=2
    ) as fixture:
        with pytest.raises(LinkLost):
            await fixture.ask()
        assert len(fixture.arrivals) == 1


def make_origin(software: str) -> StreamOrigin:
    return StreamOrigin(ServiceName("s"), SoftwareVersion(software))


RESUMABLE = {"resumable": True, "attempts": 2, "timeout": 9.0}


async def test_a_broken_stream_continues_only_at_the_version_that_began_it():
    """Events of two software versions don't fit together, and engines don't check."""
    software = ("v1", "v2", "v2", "v1")
    for _ in range(8):
        async with Fixture(
            STREAM, stream_and_reset, stream_completely, software=software, **RESUMABLE
        ) as fixture:
            answer = await fixture.ask(**{"deadline-ms": "8000"})
            assert answer == (200, WHOLE_STREAM)
            assert len(set(fixture.reached)) == 1


async def test_a_broken_stream_is_aborted_if_its_version_has_no_other_engine():
    async with Fixture(
        STREAM, stream_and_reset, stream_completely, software=("v1", "v2"), **RESUMABLE
    ) as fixture:
        with pytest.raises(LinkLost):
            await fixture.ask(**{"deadline-ms": "8000"})
        assert len(fixture.reached) == 1


async def test_a_request_without_events_is_resent_to_any_version():
    async with Fixture(
        STREAM, reset, stream_completely, software=("v1", "v2"), **RESUMABLE
    ) as fixture:
        answer = await fixture.ask(**{"deadline-ms": "8000"})
        assert answer == (200, WHOLE_STREAM)


BROKEN_STREAMS = [
    pytest.param(stream_unframed(2, b"id: 3\nda"), id="connection"),
    pytest.param(stream_chunked_with_partial_event, id="chunks"),
]


@pytest.mark.parametrize("broken", BROKEN_STREAMS)
async def test_a_stream_that_ends_inside_an_event_continues_elsewhere(broken):
    changes = {"resumable": True, "attempts": 2, "timeout": 9.0}
    async with Fixture(STREAM, broken, stream_completely, **changes) as fixture:
        answer = await fixture.ask(**{"deadline-ms": "8000"})
        assert answer == (200, WHOLE_STREAM)


@pytest.mark.parametrize("broken", BROKEN_STREAMS)
async def test_a_stream_that_ends_inside_an_event_is_not_framed_as_complete(broken):
    async with Fixture(STREAM, broken, stream_completely, attempts=2) as fixture:
        with pytest.raises(LinkLost):
            await fixture.ask()
        assert len(fixture.arrivals) == 1


@pytest.mark.parametrize("rest", [b"", b"id: 1\nda"], ids=["empty", "partial"])
async def test_an_unframed_stream_without_any_event_is_a_failure(rest):
    async with Fixture(STREAM, stream_unframed(0, rest)) as fixture:
        assert (await fixture.ask())[0] == 502


async def test_an_unframed_stream_that_ends_after_an_event_is_complete():
    async with Fixture(STREAM, stream_unframed(4)) as fixture:
        assert await fixture.ask() == (200, WHOLE_STREAM)
        assert len(fixture.arrivals) == 1


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/other/x", {}, 404),
        ("/p/x", {"host": "other.example"}, 404),
        ("/p/x", {"deadline-ms": "soon"}, 400),
    ],
)
async def test_a_request_without_route_or_valid_deadline_is_rejected_unsent(
    path, headers, status
):
    async with Fixture(SAFE, respond) as fixture:
        assert (await fixture.ask(path, **headers))[0] == status
        assert fixture.arrivals == []


async def test_a_gateway_without_routes_responds_unavailable():
    """A gateway without routes must respond with 503, not with 404.

    A gateway that has just started can't know that a service does not exist.
    """
    async with Fixture(SAFE, respond) as fixture:
        fixture.feed.routes = None
        assert (await fixture.ask())[0] == 503


async def test_a_disconnecting_caller_closes_the_connection_to_the_target():
    async with Fixture(SAFE, never_respond, timeout=20.0) as fixture:
        connection = await TargetConnection.open(fixture.endpoint)
        task = asyncio.create_task(
            connection.request(
                "POST", "/p/x", (("host", "nets.example"), ("request-id", "r")), b""
            )
        )
        while not fixture.arrivals:
            await asyncio.sleep(0.01)
        assert fixture._targets[0].connection_count == 1
        task.cancel()
        connection.close()
        async with asyncio.timeout(0.5):
            while fixture._targets[0].connection_count:
                await asyncio.sleep(0.01)


async def test_resends_are_limited_by_the_retry_budget():
    """Resends must be limited, as they multiply the load on failing targets.

    Otherwise, failing targets receive three times the requests and fail more often.
    """
    behaviours = [reset, reset] * 10
    async with Fixture(SAFE, *behaviours, attempts=2) as fixture:
        for _ in range(10):
            assert (await fixture.ask())[0] == 502
        assert len(fixture.arrivals) == 10 + 3


@pytest.mark.parametrize("unknown", ["routes", "targets"])
async def test_requests_are_held_until_routes_and_targets_are_known(unknown):
    """Requests must be held until routes and targets are known.

    Otherwise, callers are refused shortly after a start of all programs.
    """
    async with Fixture(SAFE, respond, objective=1.0) as fixture:
        feed = fixture.feed
        routes, targets = feed.routes, list(feed.view)
        if unknown == "routes":
            feed.routes = None
        else:
            feed.view = TargetView()
        task = asyncio.create_task(fixture.ask())
        await asyncio.sleep(0.1)
        assert not task.done()
        feed.routes = routes
        feed.routes_known.set()
        for target in targets:
            feed.view.merge(target, 0.0)
        assert (await task)[0] == 200


async def test_a_held_request_is_dropped_when_its_caller_disconnects():
    """A request held for routes must be dropped when its caller disconnects.

    Otherwise, it reaches a target half a second after the caller has disconnected.
    """
    async with Fixture(SAFE, respond) as fixture:
        feed = fixture.feed
        routes, feed.routes = feed.routes, None
        connection = await TargetConnection.open(fixture.endpoint)
        head = (("host", "nets.example"), ("request-id", "r"))
        task = asyncio.create_task(connection.request("POST", "/p/x", head, b""))
        await asyncio.sleep(0.1)
        task.cancel()
        connection.close()
        await asyncio.sleep(0.1)
        feed.routes = routes
        feed.routes_known.set()
        await asyncio.sleep(0.1)
        assert not fixture.arrivals


async def test_requests_are_not_held_for_targets_after_discovery():
    async with Fixture(SAFE, respond) as fixture:
        fixture.feed.view = TargetView()
        fixture.pipeline._chooser._started_at -= DISCOVERY_SECONDS
        async with asyncio.timeout(MIN_HOLD_SECONDS / 2):
            assert (await fixture.ask())[0] == 429


@pytest.mark.parametrize(("behaviour", "failed"), [(respond, False), (fail, True)])
async def test_a_relayed_failure_counts_against_its_target(behaviour, failed):
    """A relayed error response must count as a failure of its target.

    A target that returns errors immediately appears idle and would receive most
    requests.
    """
    async with Fixture(ONCE, behaviour) as fixture:
        await fixture.ask()
        target = next(iter(fixture.feed.view))
        stats = fixture.tracker.stats(target)
        assert (stats.failures.read(SystemClock().monotonic()) > 0.1) == failed


class UnresponsiveSteward:
    """Links to stewards, of which the one for the given address is unresponsive.

    :ivar sent: addresses of engines that requests were sent to without a turn.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.sent: list[str] = []
        self.expected: list[int] = []

    def is_unresponsive(self, address: str) -> bool:
        return address == self._address

    def is_available(self, address: str) -> bool:
        return address != self._address

    def take_number(self) -> int:
        return 1

    async def request_turn(self, address: str, *_, **known) -> TurnOutcome:
        self.expected.append(known["work"].answer_tokens)
        return TurnOutcome.GRANTED

    def begin_use(self, address: str, *_) -> None:
        self.sent.append(address)

    def end_use(self, *_) -> None:
        pass

    def notify_prompt_read(self, *read) -> None:
        self.read = read


@pytest.mark.parametrize("responsive", [False, True])
async def test_a_frozen_host_receives_no_prompts(responsive):
    """Prompts must not be sent to a frozen host while another engine is idle.

    The callers would wait there until they disconnect.
    """
    async with Fixture(STREAM, stream_completely, stream_completely) as fixture:
        frozen, other = list(fixture.feed.view)
        for target, adapters in ((frozen, (AdapterRef("a1", 1),)), (other, ())):
            holdings = (Holding(ModelName("m"), 1, adapters),)
            fixture.feed.view.merge(
                msgspec.structs.replace(target, sequence=2, holdings=holdings), 0.0
            )
        stewards = UnresponsiveSteward(frozen.address)
        fixture.pipeline._stewards = fixture.pipeline._chooser._stewards = stewards
        if responsive:
            stats = fixture.tracker.stats(frozen)
            stats.last_data_at = SystemClock().monotonic() + 60.0
        answer = await fixture.ask(model="m/a1")
        assert answer == (200, WHOLE_STREAM)
        assert stewards.sent == ([frozen.address] if responsive else [])
        # The steward shares the slowdown that an answer tells with all gateways.
        assert stewards.read[-1] == 2.5


async def ask_engine(
    cache_tokens: int, headers: list[dict[str, str]], *behaviours: Behaviour
) -> tuple[list[int], list[int]]:
    """Return the statuses and the answers' expected tokens of some requests."""
    async with Fixture(STREAM, *behaviours, software=("v1",)) as fixture:
        spec = EngineSpec(8, cache_tokens, 1.0, 4, event_tokens=10)
        services = (ServiceSpec(ServiceName("s"), "/h", 9, spec),)
        routes = fixture.feed.routes
        fixture.feed.routes = msgspec.structs.replace(routes, services=services)
        (engine,) = fixture.feed.view
        holdings = (Holding(ModelName("m"), 1, (AdapterRef("a1", 1),)),)
        fixture.feed.view.merge(
            msgspec.structs.replace(engine, sequence=2, holdings=holdings), 0.0
        )
        stewards = UnresponsiveSteward("")
        fixture.pipeline._stewards = fixture.pipeline._chooser._stewards = stewards
        statuses = []
        for sent in headers:
            with contextlib.suppress(LinkLost):
                statuses.append((await fixture.ask(model="m/a1", **sent))[0])
        return statuses, stewards.expected


@pytest.mark.parametrize(
    ("headers", "behaviour", "expected"),
    [
        ({}, stream_completely, 0),
        ({"token-counts": "900,500"}, stream_completely, 50),
        ({"token-counts": "900,30"}, stream_completely, 30),
        # nothing is learned of an answer that was cut before its expected length
        ({"token-counts": "900,500"}, stream_and_reset, 0),
    ],
)
async def test_expected_answers_are_learned_from_complete_ones(
    headers, behaviour, expected
):
    """Stewards would not know what a request costs, or take cut answers as short."""
    _, found = await ask_engine(0, [headers] * 8, *[behaviour] * 8)
    assert found[0] == 0
    assert expected * 0.7 <= found[-1] <= expected * 1.3


@pytest.mark.parametrize(("cache_tokens", "status"), [(0, 200), (400, 429), (900, 200)])
async def test_a_request_larger_than_the_engines_memory_is_refused(
    cache_tokens, status
):
    """It would wait at one engine after another for a turn that never comes."""
    headers = [{"token-counts": "500,100"}]
    statuses, expected = await ask_engine(cache_tokens, headers, stream_completely)
    assert statuses == [status]
    assert len(expected) == (status == 200)


async def test_a_request_is_refused_if_the_only_host_is_frozen():
    """A request must be refused if the only engine is on a frozen host.

    Otherwise, the caller waits there until it disconnects.
    """
    async with Fixture(STREAM, stream_completely, timeout=9.0) as fixture:
        frozen = next(iter(fixture.feed.view))
        holdings = (Holding(ModelName("m"), 1, (AdapterRef("a1", 1),)),)
        fixture.feed.view.merge(
            msgspec.structs.replace(frozen, sequence=2, holdings=holdings), 0.0
        )
        stewards = UnresponsiveSteward(frozen.address)
        fixture.pipeline._stewards = fixture.pipeline._chooser._stewards = stewards
        assert (await fixture.ask(model="m/a1"))[0] == 429
        assert stewards.sent == fixture.arrivals == []


async def test_a_request_that_a_rate_limit_delays_too_long_is_refused():
    """A request must be refused if the rate limit delays it too long.

    Otherwise, a caller waits until its deadline for a target that accepts one request
    in 2 s.
    """
    async with Fixture(SAFE, respond_with_limit) as fixture:
        fixture._behaviours *= 9
        answers = [(await fixture.ask())[0] for _ in range(4)]
    assert answers == [200, 200, 429, 429]
    assert len(fixture.arrivals) == 2


async def test_a_late_request_is_sent_if_no_rate_limit_applies():
    """A request that was refused late must be sent to another idle target.

    A negative time left must not count as exceeded where no rate limit applies.
    """
    behaviours = (refuse_after_delay, respond)
    async with Fixture(SAFE, *behaviours, objective=0.01) as fixture:
        assert (await fixture.ask())[0] == 200


@pytest.mark.parametrize(
    ("origin", "software", "status"),
    [
        ("v2", ("v1", "v2", "v1"), 200),
        ("v2", ("v1", "v1"), 503),
        # the version that began the stream is unknown, so that none can be picked
        (None, ("v1", "v1"), 503),
        # targets that name no version
        (None, ("", ""), 503),
        ("v2", ("", ""), 503),
    ],
)
async def test_a_resumed_stream_runs_only_at_the_version_that_began_it(
    origin, software, status
):
    async with Fixture(
        STREAM, stream_completely, software=software, **RESUMABLE
    ) as fixture:
        if origin is not None:
            fixture.origins.record(RequestId("r0"), make_origin(origin), 9.0)
        headers = {"last-event-id": "2", "resumes": "r0"}
        answer = await fixture.ask(**headers)
        assert answer[0] == status
        assert fixture.reached == ([origin] if status == 200 else [])


@pytest.mark.parametrize(
    ("software", "recorded", "shares", "status"),
    [
        (("v1", "v1"), ("v1",), ("s",), 200),
        (("v1", "v2"), ("v1", "v2"), ("s",), 503),
        (("v1", ""), ("v1", ""), ("s",), 503),
        (("", ""), ("",), ("s",), 503),
        (("v1", "v1"), ("v1",), ("s", "other"), 503),
        # what a gateway that has just started doesn't know
        (("v2", "v2"), ("v1", "v2"), ("s",), 503),
        (("v2", "v2"), ("v1",), ("s",), 503),
        # what is not recorded yet
        (("v1", "v2"), ("v1",), ("s",), 503),
        (("v1", ""), ("v1",), ("s",), 503),
        (("v1", "v1"), (), ("s",), 503),
        # no quorum
        (("v1", "v1"), None, ("s",), 503),
    ],
)
async def test_a_stream_resumed_without_its_first_request_needs_a_sole_version(
    software, recorded, shares, status
):
    parts = tuple(Share(ServiceName(name), 1.0) for name in shares)
    async with Fixture(
        STREAM, stream_completely, software=software, shares=parts, **RESUMABLE
    ) as fixture:
        fixture.link_registry(recorded)
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == status
        assert len(fixture.reached) == (status == 200)


@pytest.mark.parametrize("former", [(), (Share(ServiceName("old"), 0.0),)])
async def test_a_stream_begun_at_a_former_service_of_its_route_is_not_continued(former):
    """Its caller got the rest from the service to which the route leads now."""
    parts = (*former, Share(ServiceName("s"), 1.0))
    async with Fixture(
        STREAM, stream_completely, software=("v1",), shares=parts, **RESUMABLE
    ) as fixture:
        link, routes = fixture.link_registry(("v1",)), fixture.feed.routes
        (route,) = routes.routes
        shares = (Share(ServiceName("old"), 1.0),)
        former_route = msgspec.structs.replace(route, shares=shares)
        state = RouteState()
        for version, found in ((1, former_route), (2, route)):
            changed = msgspec.structs.replace(routes, version=version, routes=(found,))
            state.apply(version, encode_command(PutRoutes(changed, b"")))
        link.origins += state.origins
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == 503
        assert fixture.reached == []


async def test_an_origin_is_not_inferred_without_a_registry():
    """A gateway that is cut off would go by what it has heard before."""
    async with Fixture(
        STREAM, stream_completely, software=("v1", "v1"), **RESUMABLE
    ) as fixture:
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == 503
        assert fixture.reached == []


async def test_a_version_that_has_left_counts_when_a_stream_is_resumed():
    async with Fixture(
        STREAM, stream_completely, software=("v1", "v2"), **RESUMABLE
    ) as fixture:
        fixture.link_registry(("v1",))
        fixture.feed.view.mark_gone(TargetId("t1"), 1, SystemClock().monotonic())
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == 503
        assert fixture.reached == []


@pytest.mark.parametrize(("seconds", "status"), [(0.0, 503), (ENDED_SECONDS, 200)])
async def test_a_target_that_may_have_started_again_may_be_of_another_version(
    seconds, status
):
    """A stream that it began before its registration would be taken for a known one."""
    async with Fixture(
        STREAM, stream_completely, software=("v1", "v1"), **RESUMABLE
    ) as fixture:
        fixture.link_registry(("v1",))
        target = fixture.feed.view.get(TargetId("t1"))
        seen_at = SystemClock().monotonic() - seconds
        fixture.feed.view.record_heartbeat(target.target, 1, 1, seen_at)
        fixture.pipeline.restarts.record_loss(target)
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == status


async def test_the_version_of_a_resumable_stream_is_recorded():
    async with Fixture(
        STREAM, stream_completely, software=("v3",), **RESUMABLE
    ) as fixture:
        await fixture.ask()
        assert await fixture.origins.find(RequestId("r1")) == make_origin("v3")


async def test_an_event_id_is_of_no_concern_to_a_request_that_is_not_streamed():
    async with Fixture(SAFE, respond, software=("",)) as fixture:
        assert (await fixture.ask(**{"last-event-id": "2"}))[0] == 200


@pytest.mark.parametrize(
    ("shares", "status"),
    [
        ({"other": 9.0, "s": 1.0}, 200),
        ({"other": 9.0, "s": 0.0}, 503),
        ({"other": 9.0}, 503),
    ],
)
async def test_a_resumed_stream_stays_at_the_service_that_began_it(shares, status):
    """A split or moved route would join events of two services."""
    parts = tuple(Share(ServiceName(name), weight) for name, weight in shares.items())
    async with Fixture(
        STREAM, stream_completely, software=("v1", "v1"), shares=parts, **RESUMABLE
    ) as fixture:
        moved = msgspec.structs.replace(
            fixture.feed.view.get(TargetId("t1")),
            service=ServiceName("other"),
            sequence=2,
        )
        fixture.feed.view.merge(moved, 0.0)
        fixture.origins.record(RequestId("r0"), make_origin("v1"), 9.0)
        headers = {"last-event-id": "2", "resumes": "r0"}
        assert (await fixture.ask(**headers))[0] == status
        assert fixture.services == (["s"] if status == 200 else [])


PARTS = {"prompt-prefix": "head:10,bad:5,own:5"}


def make_content(*names: str) -> PartKey:
    """Return the content of a request of `Fixture.ask` with some prompt parts."""
    return make_content_key(("POST", "nets.example", "/p/x", "", *names), b"body")


def block_part(fixture: Fixture, part: str = "bad") -> None:
    """Block a part as if the registries had announced it."""
    key = PartKey(part)
    fixture.feed.blocked = {key: BlockedPart(key, None)}
    fixture.blocks.apply()


@pytest.mark.parametrize(
    ("part", "headers", "status"),
    [
        ("bad", PARTS, 503),
        ("head", PARTS, 503),
        ("own", PARTS, 503),
        ("other", PARTS, 200),
        ("bad", {}, 200),
        (make_content(), {}, 503),
        (make_content(), {"deadline-ms": "700"}, 503),
        (make_content(), {"request-id": "r2"}, 503),
        (make_content(), PARTS, 200),
        (make_content("head", "bad", "own"), PARTS, 503),
    ],
)
async def test_a_request_with_a_blocked_part_is_refused_unsent(part, headers, status):
    """It would crash one more engine."""
    async with Fixture(STREAM, stream_completely) as fixture:
        block_part(fixture, part)
        assert (await fixture.ask(**headers))[0] == status
        assert len(fixture.arrivals) == (status == 200)


async def test_a_part_that_is_blocked_during_a_send_prevents_the_resend():
    """The resend would crash a second engine, and could not be told as not run."""
    changes = {"resumable": True, "attempts": 2, "timeout": 9.0}

    async def block_and_reset(exchange: Exchange, request: str) -> None:
        block_part(fixture)
        await reset(exchange, request)

    async with Fixture(
        STREAM, block_and_reset, stream_completely, **changes
    ) as fixture:
        status, body = await fixture.ask(**PARTS, **{"deadline-ms": "8000"})
        assert status == 502
        assert b"prompt_blocked" in body
        assert len(fixture.arrivals) == 1


@pytest.mark.parametrize(
    ("behaviour", "sound"),
    [(stream_completely, True), (stream_and_reset, False), (fail, False)],
)
async def test_which_answers_speak_for_the_parts_of_their_prompt(behaviour, sound):
    async with Fixture(STREAM, behaviour) as fixture:
        with contextlib.suppress(LinkLost):
            await fixture.ask(**PARTS)
        await asyncio.sleep(0.01)
        use = fixture.part_uses.read(PartKey("bad"))
        assert (use.count, use.sound_at is not None) == (1, sound)


@pytest.mark.parametrize(("late", "status", "sends"), [(0.1, 200, 1), (2.0, 503, 0)])
async def test_a_request_is_refused_if_the_loop_is_too_late(late, status, sends):
    """It would wait until its deadline, where another gateway can serve it."""
    async with Fixture(ONCE, respond) as fixture:
        for _ in range(5):
            fixture.shedder.record(late + 0.1, late, 0)
        answered, body = await fixture.ask()
        assert answered == status
        assert len(fixture.arrivals) == sends
        assert (
            status == 200 or msgspec.json.decode(body)["error"]["code"] == "overloaded"
        )
