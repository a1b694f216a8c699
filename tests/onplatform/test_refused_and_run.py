"""Requests that may run once, at targets that send extra answers, with real programs.

By hand, more seeds: ``REFUSED_SEEDS=50 pytest FILE``. A seed's case is the one at its
remainder by the number of cases.
"""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from weakref import WeakKeyDictionary

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.headers import Headers, find_header
from ibishead.web import Exchange

SEEDS = range(int(os.environ.get("REFUSED_SEEDS", "1")))
SECONDS, PAUSE_SECONDS, MAX_RETRY_SECONDS = 9.0, 0.02, 0.3
SLOW_SECONDS, DEADLINES_MS = 0.6, (300, 2000, 4000)
NOT_RUN_STATUSES = (408, 421, 429, 503)
ROUTES = (
    ("issue", ""),
    ("plan", f"{MODEL}/a1"),
    ("issue", ""),
    ("plan", f"{MODEL}/a2"),
)


class Fault(Enum):
    """What a faulty target does at a share of its requests."""

    LATE = "a copy of its answer is sent before the next answer on the connection"
    AT_ONCE = "a copy of its answer follows it"
    UNNAMED = "a refusal without an id is sent before the answer"
    LAST = "the last refusal sent to anybody is sent before the answer"
    FAILURE = "it runs and is answered 500 or 504"
    BROKEN = "it runs and its answer is cut off"
    LOST = "it runs and gets no answer"
    SLOW = "it runs and is answered after some deadlines"


@dataclass(frozen=True)
class Case:
    """Faults of the targets, and what else goes on.

    :param disturbed: gateways are suspended and killed.
    :param bounds: bounds of the programs' settings files.
    """

    faults: tuple[Fault, ...]
    disturbed: bool = False
    bounds: tuple[tuple[str, float], ...] = ()


EXTRA = (Fault.LATE, Fault.AT_ONCE, Fault.UNNAMED, Fault.LAST)
CASES = (
    Case(EXTRA, disturbed=True),
    Case((Fault.LATE,)),
    Case((Fault.AT_ONCE,)),
    Case((Fault.UNNAMED,)),
    Case((Fault.LAST,)),
    Case((Fault.FAILURE,)),
    Case((Fault.BROKEN, Fault.LOST, Fault.SLOW), disturbed=True),
    Case(tuple(Fault), disturbed=True, bounds=(("retry_slack", 2.0),)),
)


def encode(status: int, headers: Headers) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers)]
    return "\r\n".join((*lines, "content-length: 0", "", "")).encode()


class FaultyTarget(Target):
    """A target that is full now and then, and has faults.

    :ivar faults: its faults, one of which is drawn for a request that meets one.
    :ivar share: share of its requests that meet a fault.
    :ivar full: whether it refuses nearly all requests.
    :ivar extra: number of extra answers that it sent.
    :ivar arrived: how often each request reached it, run or not.
    """

    faults: tuple[Fault, ...] = ()
    share = 0.0
    full = False

    def prepare(self, draw: random.Random) -> None:
        self.draw, self.extra, self._last = draw, 0, b""
        self.arrived: Counter[str] = Counter()
        self._late: WeakKeyDictionary[object, bytes] = WeakKeyDictionary()

    def _write(self, exchange: Exchange, data: bytes) -> None:
        if data:
            self.extra += 1
            exchange._connection._writer.write(data)

    async def _run(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        request = find_header(headers, "request-id") or ""
        self.arrived[request] += 1
        own: Headers = (("request-id", request),)
        fault = None
        if self.faults and self.draw.random() < self.share:
            fault = self.draw.choice(self.faults)
        self._write(exchange, self._late.pop(exchange._connection, b""))
        match fault:
            case Fault.UNNAMED:
                self._write(exchange, encode(503, (("not-executed", "1"),)))
            case Fault.LAST:
                self._write(exchange, self._last)
        if self.draw.random() < (0.8 if self.full else 0.03):
            status = self.draw.choice((503, 503, 429, 421))
            own += (("not-executed", "1"),)
            self._last = copy = encode(status, own)
            await exchange.respond(status, own)
        else:
            copy = encode(200, (*own, ("response-stamp", self.name)))
            await self._run_faultily(exchange, request, fault)
        match fault:
            case Fault.LATE:
                self._late[exchange._connection] = copy
            case Fault.AT_ONCE:
                self._write(exchange, copy)

    async def _run_faultily(
        self, exchange: Exchange, request: str, fault: Fault | None
    ) -> None:
        if fault in (None, *EXTRA):
            await super()._run(exchange)
            return
        self.cluster.ledger.record(request, self.name)
        own = (("request-id", request), ("response-stamp", self.name))
        await asyncio.sleep(self.work_seconds)
        match fault:
            case Fault.FAILURE:
                await exchange.respond(self.draw.choice((500, 504)), own, b"failed")
                return
            case Fault.BROKEN:
                await exchange.start(200, (*own, ("content-length", "100")))
                await exchange.send(b"id: 1\ndata: t1\n\nid: 2")
            case Fault.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
                await exchange.respond(200, own, b"id: 1\ndata: t1\n\n")
                return
        exchange.abort()


class Caller:
    """Sends requests over kept connections, and waits as it is told."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self._cluster, self._number = cluster, number
        self._connection: TargetConnection | None = None
        self.statuses: dict[str, int] = {}

    async def run_until(self, end: float) -> None:
        draw, count = random.Random(self._number), 0
        while time.monotonic() < end:
            count += 1
            request = f"{self._number}-{count}"
            status, wait = 0, 0.0
            try:
                async with asyncio.timeout(6.0):
                    deadline = draw.choice(DEADLINES_MS)
                    status, wait = await self._send(request, deadline)
            except (LinkLost, TimeoutError):
                self._close()
            self.statuses[request] = status
            await asyncio.sleep(draw.uniform(0.0, 2 * PAUSE_SECONDS) + wait)
        self._close()

    async def _send(self, request: str, deadline_ms: int) -> tuple[int, float]:
        route, model = ROUTES[self._number % len(ROUTES)]
        gateway = self._cluster.gateways[self._number // len(ROUTES) % 2]
        if self._connection is None or self._connection.closed:
            self._connection = await TargetConnection.open(gateway)
        headers = [("host", "nets.example"), ("request-id", request)]
        headers += [("deadline-ms", str(deadline_ms))]
        if model:
            headers += [("model", model), ("token-counts", "10,10")]
        status, answer = await self._connection.request(
            "POST", f"/{route}/x", tuple(headers), b"body"
        )
        while await self._connection.read() is not None:
            pass
        wait = float(find_header(answer, "retry-after") or 0.0)
        return status, min(MAX_RETRY_SECONDS, wait)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()


async def fill(target: FaultyTarget, draw: random.Random, end: float) -> None:
    while time.monotonic() < end:
        await asyncio.sleep(draw.uniform(0.5, 2.0))
        target.full = True
        await asyncio.sleep(draw.uniform(0.2, 1.0))
        target.full = False


async def disturb_gateways(cluster: Cluster, draw: random.Random, end: float) -> None:
    while time.monotonic() < end:
        program = cluster.programs["gateway", draw.choice(cluster.gateways).address]
        if draw.random() < 0.6:
            program.suspend()
            await asyncio.sleep(draw.uniform(0.1, 0.8))
            program.resume()
        else:
            program.kill()
            await asyncio.sleep(draw.uniform(0.0, 0.2))
            program.start()
        await asyncio.sleep(draw.uniform(0.2, 1.5))


def add_targets(cluster: Cluster, case: Case, draw: random.Random) -> None:
    """Give a cluster six plain targets and its engines, of which some are faulty."""
    net = cluster.plain[0].endpoint.address.rpartition(".")[0]
    cluster.plain = [
        FaultyTarget(cluster, f"{net}.{21 + n}", "stock", False) for n in range(6)
    ]
    cluster.engines = [
        FaultyTarget(cluster, host, "plans", True) for host in cluster.side_hosts
    ]
    for number, target in enumerate(cluster.plain + cluster.engines):
        target.prepare(random.Random(draw.random()))
        if number % 3:
            target.faults, target.share = case.faults, draw.choice((0.1, 0.3, 0.6))


def report(
    cluster: Cluster, statuses: dict[str, int], is_counted: Callable[[str], bool]
) -> tuple[str, list[str], list[str]]:
    """Return counts, the requests refused though they ran, and those that ran twice."""
    answered = {r: s for r, s in statuses.items() if is_counted(r)}
    runs = {r: names for r, names in cluster.ledger.runs.items() if is_counted(r)}
    refused = [r for r, s in answered.items() if s in NOT_RUN_STATUSES and r in runs]
    twice = [r for r, names in runs.items() if len(names) > 1]
    counts = dict(sorted(Counter(answered.values()).items()))
    return f"REFUSED {len(refused)} TWICE {len(twice)} of {counts}", refused, twice


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_request_that_ran_is_refused_or_runs_again(tmp_path, seed):
    """Extra answers of targets were taken for answers to the request at hand."""
    case, draw = CASES[seed % len(CASES)], random.Random(seed)
    cluster = Cluster(tmp_path, engines=3)
    cluster.bounds = dict(case.bounds)
    add_targets(cluster, case, draw)
    async with cluster:
        faults = [(t, t.faults) for t in cluster.plain + cluster.engines]
        for target, _ in faults:
            target.faults = ()
        await cluster.wait_ready()
        for target, faulty in faults:
            target.faults = faulty
        end = time.monotonic() + SECONDS
        callers = [Caller(cluster, n) for n in range(draw.choice((32, 48, 64)))]
        tasks = [fill(target, draw, end) for target, _ in faults]
        if case.disturbed:
            tasks.append(disturb_gateways(cluster, draw, end))
        await asyncio.gather(*(c.run_until(end) for c in callers), *tasks)
        statuses = {r: s for c in callers for r, s in c.statuses.items()}
        extra = sum(target.extra for target, _ in faults)
        again = sum(n > 1 for target, _ in faults for n in target.arrived.values())
        found: list[str] = []
        for name, remainder in (("plain", 0), ("engines", 1)):
            line, refused, twice = report(
                cluster,
                statuses,
                lambda r, k=remainder: r[0] != "r" and int(r.split("-")[0]) % 2 == k,
            )
            print(f"\nseed {seed} {name}: {line}; extra {extra}, again {again}", end="")
            found += refused + twice
        assert not found
        assert not again, "a request reached a target again, where its answers mix"
        assert Counter(statuses.values())[200]
