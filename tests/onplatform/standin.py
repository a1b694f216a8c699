"""A stand-in for the platform on loopback: targets, an operator and callers.

It follows the platform's published protocol. Each host has its own address in
127.0.0.0/8, so that all hosts can use the same ports.
"""

import asyncio
import contextlib
import itertools
import json
import random
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.processes.programs import Program, wait_until

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.headers import Headers, find_header
from ibishead.links import Endpoint
from ibishead.web import Exchange, WebServer
from ibishead.webclient import ClientConnection

FRONT, READY, CONTROL, FIRST_PORT = 18149, 18141, 18144, 17380
ENGINE_PORT, PLAIN_PORT = 18080, 18081
MODEL = "m0"
SLOTS = 4

_START_TIMEOUT_SECONDS = 20.0

#: Seconds after a request for rest from which requests count against it.
REST_GRACE_SECONDS = 0.5

#: Longest time that a target may want no requests; a longer one is malformed.
MAX_REST_SECONDS = 60.0
#: Last byte of the address, and port, that reserve a prefix.
_RESERVED_HOST, _RESERVED_PORT = 254, 18000


@dataclass
class Ledger:
    """Executions of requests: request ID to the names of the targets that ran it."""

    runs: dict[str, list[str]] = field(default_factory=dict)
    #: Headers of each request that was run.
    headers: dict[str, Headers] = field(default_factory=dict)
    #: Loop time and cause of each request that crashes engines, as it reaches one. The
    #: cause is a part of its prompt or its body.
    crashing_sends: list[tuple[float, str]] = field(default_factory=list)
    #: Loop time and cause of each crash.
    crashes: list[tuple[float, str]] = field(default_factory=list)

    def record(self, request: str, target: str) -> None:
        self.runs.setdefault(request, []).append(target)


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target, whether or not the target ran it.

    :param at: monotonic seconds.
    """

    at: float
    request: str
    gateway: Endpoint


@dataclass(frozen=True)
class RestAsked:
    """A target has asked a gateway for no requests.

    :param at: monotonic seconds.
    """

    at: float
    seconds: float
    gateway: Endpoint


class Target:
    """One target: a plain service, or a model engine with adapter slots."""

    def __init__(self, cluster: "Cluster", address: str, service: str, engine: bool):
        self.cluster = cluster
        self.endpoint = Endpoint(address, ENGINE_PORT if engine else PLAIN_PORT)
        self.service = service
        self.engine = engine
        #: Whether it answers with streams.
        self.streams = engine
        #: Version of its software.
        self.software = "v1"
        #: Whether its events name that version.
        self.names_software = False
        #: Whether it starts again under the same ID.
        self.keeps_name = False
        self.name = ""
        #: Whether it takes connections.
        self.serving = False
        self._reset()
        self.work_seconds = 0.02
        self.events = 6
        self.event_interval = 0.02
        #: Bytes that are added to the data of each event.
        self.event_padding = 0
        self.refusing = False
        self.losing_answers = False
        self.max_held = 0
        #: Requests per second that its answers name as its rate limit.
        self.rate_limit: float | None = None
        #: Arrival times of requests, monotonic seconds.
        self.arrivals: list[float] = []
        #: Retry-after headers of its refusals, in turn; none if empty.
        self.retry_afters: list[str] = []
        #: Number of refusals with such a header.
        self.refusals = 0
        #: Seconds until it refuses a request.
        self.refusal_delay = 0.0
        #: Whether its answers say that it leaves.
        self.leaving = False
        self.announces = True
        #: Every request for this instance or an earlier one of this target.
        self.sends: list[Arrival] = []
        self.rests: list[RestAsked] = []
        #: Monotonic seconds of the first answer to each gateway that said so.
        self.leaving_answers: dict[Endpoint, float] = {}
        self._server = WebServer(self._serve)
        self._announcer: asyncio.Task[None] | None = None
        self._crash: asyncio.Task[None] | None = None

    def _reset(self) -> None:
        """Become a new instance with no weights loaded."""
        self.born = int(time.time() * 1000)
        if not (self.keeps_name and self.name):
            self.name = f"i-{self.endpoint.address}-{self.born}"
        self.state = "ready"
        self.adapters: dict[str, int] = {}
        self.pending: dict[str, int] = {}
        self.fences: list[tuple[str, int]] = []
        self.orders = 0
        self.sequence = 0

    async def lose_power(self) -> None:
        """Stop at once and lose all weights; `start` starts a new instance."""
        await self.stop()
        self._reset()
        self._server = WebServer(self._serve)

    async def crash(self, cause: str = "") -> None:
        """Lose power, and start again after `Cluster.restart_seconds`."""
        self.cluster.ledger.crashes.append((asyncio.get_running_loop().time(), cause))
        await self.lose_power()
        await asyncio.sleep(self.cluster.restart_seconds)
        await self.start()

    def begin_crash(self, cause: str = "") -> None:
        """Crash in the background, unless it has crashed already."""
        if self._crash is None or self._crash.done():
            self._crash = asyncio.create_task(self.crash(cause))

    async def start(self) -> None:
        await self._server.start(self.endpoint)
        self.serving = True
        self._announcer = asyncio.create_task(self._announce_periodically())

    async def stop(self) -> None:
        self.serving = False
        if self._announcer is not None:
            self._announcer.cancel()
        await self._server.stop(0.0)

    async def end(self) -> None:
        """Stop for good."""
        if self._crash is not None:
            self._crash.cancel()
            await asyncio.gather(self._crash, return_exceptions=True)
        await self.stop()

    def describe(self) -> dict:
        models = []
        if self.engine:
            names = [f"{name}@{version}" for name, version in self.adapters.items()]
            models = [{"name": MODEL, "version": 1, "adapters": names}]
        return {
            "backend": self.service,
            "address": str(self.endpoint),
            "zone": "z1",
            "version": self.software,
            "slots": 8,
            "state": self.state,
            "cold_ms": 0,
            "models": models,
            "seq": self.sequence,
            "born": self.born,
        }

    def count_sends_in_rests(self) -> int:
        """Return the most requests of a gateway within a rest that it was asked for."""
        return max(
            (
                sum(
                    send.gateway == rest.gateway
                    and REST_GRACE_SECONDS <= send.at - rest.at <= rest.seconds
                    and not self.cluster.is_excused(rest.gateway, rest.at, send.at)
                    for send in self.sends
                )
                for rest in self.rests
            ),
            default=0,
        )

    def list_late_sends(self, seconds: float) -> list[Arrival]:
        """Return the requests that callers sent too late for this leaving target.

        :param seconds: time after the first answer, to the same gateway, that said so.
        """
        return [
            send
            for send in self.sends
            if self.cluster.sent_at[send.request]
            > (first := self.leaving_answers.get(send.gateway, float("inf"))) + seconds
            and not self.cluster.is_excused(send.gateway, first, send.at)
        ]

    async def announce(self) -> bool:
        if not self.announces:
            return False
        self.sequence += 1
        path = f"/api/instances/{self.name}/heartbeat"
        for registry in random.sample(self.cluster.registries, 3):
            with contextlib.suppress(LinkLost, TimeoutError):
                async with asyncio.timeout(1.0):
                    status, _ = await self.cluster.call(
                        registry, "POST", path, json.dumps(self.describe()).encode()
                    )
                if status == 200:
                    return True
        return False

    async def _announce_periodically(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(0.3)

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        match request.method, request.path:
            case "GET", "/api/report":
                await self._report(exchange)
            case "POST", "/api/order":
                await self._take_order(exchange)
            case _:
                await self._run(exchange)

    async def _report(self, exchange: Exchange) -> None:
        body = {
            "models": self.describe()["models"],
            "busy": False,
            "seq": self.orders,
            "queued": 0,
            "running": 0,
            "born": self.born,
            "pending": [f"{MODEL}/{n}@{v}" for n, v in self.pending.items()],
        }
        leaving = (("server-leaving", "1"),) if self.leaving else ()
        await exchange.respond(200, leaving, json.dumps(body).encode())

    async def _take_order(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        order = json.loads(exchange.request.body)
        self.fences.append((order["holder"], order["fence"]))
        if find_header(headers, "expect-instance") != self.name:
            await exchange.respond(421, ())
            return
        if order["expected"] != self.orders:
            await exchange.respond(409, ())
            return
        if order["fence"] < max(fence for _, fence in self.fences):
            await exchange.respond(412, ())
            return
        self.orders += 1
        name = order["adapter"]
        if order["op"] == "unload":
            self.adapters.pop(name, None)
            await exchange.respond(200, ())
            return
        version = order.get("version") or self.cluster.newest_versions.get(name, 1)
        self.pending[name] = version
        self.max_held = max(self.max_held, len(self.adapters | self.pending))
        asyncio.get_running_loop().call_later(0.05, self._complete_load, name)
        await exchange.respond(202, ())

    def _complete_load(self, name: str) -> None:
        # a power failure discards the loads in progress
        if name in self.pending:
            self.adapters[name] = self.pending.pop(name)

    def _record_send(self, request: str) -> None:
        gateway, now = self.cluster.senders.get(request), time.monotonic()
        if gateway is None:
            return
        self.sends.append(Arrival(now, request, gateway))
        if self.leaving:
            self.leaving_answers.setdefault(gateway, now)

    async def _refuse(self, exchange: Exchange, request: str, headers: Headers) -> None:
        await asyncio.sleep(self.refusal_delay)
        if self.retry_afters:
            text = self.retry_afters[self.refusals % len(self.retry_afters)]
            self.refusals += 1
            headers += (("retry-after", text),)
            with contextlib.suppress(ValueError):
                seconds, gateway = float(text), self.cluster.senders[request]
                if 0 < seconds <= MAX_REST_SECONDS:
                    self.rests.append(RestAsked(time.monotonic(), seconds, gateway))
        await exchange.respond(503, headers)

    async def _run(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        request = find_header(headers, "request-id") or ""
        own: Headers = (("request-id", request),)
        refusal = (*own, ("not-executed", "1"))
        expected = find_header(headers, "expect-instance")
        if expected is not None and expected != self.name:
            await exchange.respond(421, refusal)
            return
        self._record_send(request)
        if self.leaving:
            own += (("server-leaving", "1"),)
        if self.refusing:
            await self._refuse(exchange, request, (*own, ("not-executed", "1")))
            return
        adapter = (find_header(headers, "model") or "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            await exchange.respond(421, refusal)
            return
        self.cluster.ledger.record(request, self.name)
        self.cluster.ledger.headers[request] = headers
        self.arrivals.append(time.monotonic())
        if self.losing_answers:
            exchange.abort()
            return
        stamp = f"{self.name}.{adapter}@{self.adapters.get(adapter, 0)}"
        own += (("response-stamp", stamp),)
        if self.rate_limit is not None:
            own += (("server-limit", str(self.rate_limit)),)
        bad = self.cluster.find_crash_cause(headers, exchange.request.body)
        if bad is not None:
            now = asyncio.get_running_loop().time()
            self.cluster.ledger.crashing_sends.append((now, bad))
        if not self.streams:
            await asyncio.sleep(self.work_seconds)
            if bad is not None:
                self.begin_crash(bad)
                await exchange.disconnected.wait()
                return
            body = b"done " + request.encode() + b" " + exchange.request.body
            await exchange.respond(200, own, body)
            return
        first = int(find_header(headers, "last-event-id") or 0) + 1
        kind = (("content-type", "text/event-stream"),)
        await exchange.start(200, own + kind)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_interval)
            if bad is not None and number == first + 1:
                self.begin_crash(bad)
                await exchange.disconnected.wait()
                return
            mark = f" {self.software}" if self.names_software else ""
            mark += "x" * self.event_padding
            event = f"id: {number}\ndata: t{number}{mark}\n\n"
            await exchange.send(event.encode())
        await exchange.finish()


class Cluster:
    """Four registries, two gateways, engines with stewards, two plain targets."""

    def __init__(self, folder: Path, engines: int = 2) -> None:
        self.folder = folder
        self._prefix, self._reservation = _reserve_prefix()
        self.ledger = Ledger()
        self.newest_versions: dict[str, int] = {}
        #: Gateway to which each request of a caller was sent, and monotonic seconds.
        self.senders: dict[str, Endpoint] = {}
        self.sent_at: dict[str, float] = {}
        #: Monotonic seconds at which each gateway was killed, stopped or suspended.
        self.disturbed_at: dict[Endpoint, list[float]] = {}
        #: Headers of the answer to each of them.
        self.answers: dict[str, Headers] = {}
        #: Parts of prompts that crash each engine that begins to write on them.
        self.crashing_parts: set[str] = set()
        #: Bodies of requests that crash each engine that begins to answer them.
        self.crashing_bodies: set[str] = set()
        #: Seconds until a crashed engine runs again.
        self.restart_seconds = 1.0
        #: Limits of each host in its settings file.
        self.host_limits: dict[str, float] = {}
        #: Bounds in those files, besides the usual ones.
        self.bounds: dict[str, float] = {}
        self.edge_hosts = [f"{self._prefix}.{n}" for n in (1, 2, 3, 4)]
        self.side_hosts = [f"{self._prefix}.{11 + n}" for n in range(engines)]
        self.registries = [Endpoint(a, CONTROL) for a in self.edge_hosts]
        self.gateways = [Endpoint(a, FRONT) for a in self.edge_hosts[:2]]
        self.programs: dict[tuple[str, str], Program] = {}
        self.engines = [Target(self, a, "plans", True) for a in self.side_hosts]
        self.plain = [
            Target(self, f"{self._prefix}.{n}", "stock", False) for n in (21, 22)
        ]
        self._numbers = itertools.count(1)

    async def __aenter__(self) -> "Cluster":
        for address in self.edge_hosts:
            self.make_program("registry", address, first=True)
        for address in self.edge_hosts[:2]:
            self.make_program("gateway", address)
        for address in self.side_hosts:
            self.make_program("steward", address)
        for program in self.programs.values():
            program.start()
        for target in self.engines + self.plain:
            await target.start()
        return self

    async def __aexit__(self, *_) -> None:
        for program in self.programs.values():
            program.clean_up()
        for target in self.engines + self.plain:
            await target.end()
        self._reservation.close()

    def record_disturbance(self, gateway: Endpoint) -> None:
        """Record that a gateway is killed, stopped, started or suspended now."""
        self.disturbed_at.setdefault(gateway, []).append(time.monotonic())

    def is_excused(self, gateway: Endpoint, since: float, until: float) -> bool:
        """Return whether a gateway may have forgotten between two moments."""
        return any(since <= at <= until for at in self.disturbed_at.get(gateway, ()))

    def find_crash_cause(self, headers: Headers, body: bytes) -> str | None:
        """Return the body or the prompt part of a request that crashes engines.

        The last part belongs to the request alone and never does.
        """
        if (text := body.decode()) in self.crashing_bodies:
            return text
        entries = (find_header(headers, "prompt-prefix") or "").split(",")
        names = [entry.rpartition(":")[0] for entry in entries[:-1]]
        return next((name for name in names if name in self.crashing_parts), None)

    def make_program(self, kind: str, address: str, first: bool = False) -> Program:
        host = f"{'side' if kind == 'steward' else 'edge'}-{address.rpartition('.')[2]}"
        data = self.folder / f"data-{host}"
        settings = {
            "node_name": host,
            "ip": address,
            "zone": "z1",
            "seeds": [str(e) for e in self.registries[:3]],
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "listen": {
                "front": f"{address}:{FRONT}",
                "readiness_addr": f"{address}:{READY}",
                "control": f"{address}:{CONTROL}",
            },
            "bootstrap": first,
            "data_dir": str(data) if kind == "registry" else None,
            "app": f"{address}:{ENGINE_PORT}",
            "backend": "plans",
            "bounds": {"catch_up_s": 4, "grace_s": 8, **self.bounds},
            "limits": self.host_limits,
        }
        path = self.folder / f"{kind}-{host}.json"
        path.write_text(json.dumps(settings))
        program = Program(
            f"{kind}-{host}",
            "ibishead.platform.programs",
            [kind],
            self.folder,
            {"IBISHEAD_SETTINGS": str(path)},
        )
        self.programs[kind, address] = program
        return program

    def make_config(self, version: int, **changes) -> dict:
        def route(name: str, kind: str, service: str, **more) -> dict:
            return {
                "name": name,
                "hostname": "nets.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 5000,
                "target_latency_ms": 800,
                "priority": 1,
                "backend": service,
                "max_attempts": 1,
                **more,
            }

        config = {
            "version": version,
            "routes": [
                route("plan", "streaming", "plans"),
                route("advice", "streaming", "plans", max_attempts=2, resumable=True),
                route("notes", "streaming", "stock", max_attempts=2, resumable=True),
                route("issue", "non_idempotent", "stock"),
                route("look", "idempotent", "stock", max_attempts=2),
            ],
            "services": [
                {
                    "name": "plans",
                    "health_path": "/healthz",
                    "max_conns": 100,
                    "engine": {
                        "slots": 8,
                        "kv_capacity": 1000,
                        "weights_mb": 100.0,
                        "adapter_slots": SLOTS,
                        "models": [{"name": MODEL, "weights_mb": 90.0}],
                    },
                },
                {"name": "stock", "health_path": "/healthz", "max_conns": 100},
            ],
            "limits": {},
        }
        return {**config, **changes}

    async def call(
        self, endpoint: Endpoint, method: str, path: str, body: bytes = b"", headers=()
    ) -> tuple[int, bytes]:
        connection = await ClientConnection.open(endpoint)
        try:
            answer = await connection.ask(method, path, headers, body)
            return answer.status, await answer.read()
        finally:
            connection.close()

    async def call_as_operator(self, path: str, body: dict) -> int:
        """Repeat an operator's call at random registries until its status is < 500."""
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while True:
                registry = random.choice(self.registries)
                with contextlib.suppress(LinkLost, TimeoutError):
                    async with asyncio.timeout(1.0):
                        status, _ = await self.call(
                            registry, "POST", path, json.dumps(body).encode()
                        )
                    if status < 500:
                        return status
                await asyncio.sleep(0.1)

    async def wait_replaced(self, times: int) -> None:
        """Wait until this many lost voters have been replaced.

        :param times: number of replacements.
        """
        programs = [self.programs["registry", edge] for edge in self.edge_hosts]

        def is_replaced() -> bool:
            lines = [line for p in programs for line in p.log.splitlines()]
            # an interrupted replacement is completed when the learner becomes a voter
            done = [n for n in lines if " replaced by " in n or ' votes"' in n]
            return len(done) >= times

        await wait_until(f"{times} lost replicas are replaced", is_replaced)

    async def request(
        self, route: str, gateway: Endpoint | None = None, model: str = "", **headers
    ) -> tuple[int, bytes, str]:
        """Send one request of a caller.

        :returns: status, body and request ID.
        """
        request = f"r{next(self._numbers)}"
        sent = [("request-id", request), ("deadline-ms", "4000")]
        if model:
            sent += [("model", model), ("token-counts", "10,10")]
        sent += [(k.replace("_", "-"), v) for k, v in headers.items()]
        gateway = gateway or self.gateways[0]
        connection = await TargetConnection.open(gateway)
        self.senders[request], self.sent_at[request] = gateway, time.monotonic()
        try:
            status, self.answers[request] = await connection.request(
                "POST", f"/{route}/x", (("host", "nets.example"), *sent), b"body"
            )
            body = b""
            while (piece := await connection.read()) is not None:
                body += piece
            return status, body, request
        finally:
            connection.close()

    async def begin_stream(
        self, route: str, gateway: Endpoint, model: str, events: int
    ) -> str:
        """Begin a stream, again while it is refused, and leave after some events.

        :returns: the request ID.
        """
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while True:
                request = f"r{next(self._numbers)}"
                sent = [("host", "nets.example"), ("request-id", request)]
                sent += [("deadline-ms", "8000")]
                if model:
                    sent += [("model", model), ("token-counts", "10,10")]
                connection = await TargetConnection.open(gateway)
                try:
                    status, _ = await connection.request(
                        "POST", f"/{route}/x", tuple(sent), b"body"
                    )
                    body = b""
                    while status == 200 and body.count(b"\n\n") < events:
                        body += await connection.read() or b""
                    if status == 200:
                        return request
                finally:
                    connection.close()
                await asyncio.sleep(0.1)

    async def wait_ready(self) -> None:
        """Wait until both gateways serve all routes."""
        assert (
            await self.call_as_operator("/api/config/put", self.make_config(1)) == 200
        )
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            for gateway in self.gateways:
                for route, model in (("look", ""), ("plan", f"{MODEL}/warm")):
                    while True:
                        with contextlib.suppress(LinkLost):
                            if (await self.request(route, gateway, model))[0] == 200:
                                break
                        await asyncio.sleep(0.1)


def _reserve_prefix() -> tuple[str, socket.socket]:
    """Return the first three bytes of addresses that no other cluster uses.

    Clusters of other processes run at the same time.

    :returns: the prefix, and the socket that reserves it until it is closed.
    """
    while True:
        prefix = f"127.{random.randrange(50, 250)}.{random.randrange(1, 250)}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{prefix}.{_RESERVED_HOST}", _RESERVED_PORT))
        except OSError:
            reservation.close()
        else:
            return prefix, reservation
