"""Engines of several software versions under failures, with real programs.

By hand, more seeds: ``VERSION_SEEDS=50 pytest tests/onplatform/test_versions.py``.
"""

import asyncio
import os
import random
from dataclasses import dataclass, field

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection

SEEDS = range(int(os.environ.get("VERSION_SEEDS", "1")))
VERSIONS = ("v1", "v1", "v1", "v1.1", "v1.1", "v1.1")
EVENTS, EVENT_SECONDS = 40, 0.05
CALLERS, SECONDS, MAX_TRIES = 10, 10.0, 5

#: Engines of a stream's version that must serve during a whole try for it to count.
MIN_SERVING = 2


@dataclass
class Stream:
    """One caller's stream over all its tries.

    :ivar events: data of each event.
    :ivar first: request that brought the first event.
    :ivar resumed: number of tries that resumed the stream while two engines of its
        version served.
    :ivar continued: number of those that brought an event.
    """

    events: list[str] = field(default_factory=list)
    first: str = ""
    resumed: int = 0
    continued: int = 0

    @property
    def versions(self) -> set[str]:
        return {event.split()[1] for event in self.events}

    def add(self, text: bytes) -> None:
        number, data = text.decode().split("\n")
        assert number == f"id: {len(self.events) + 1}"
        self.events.append(data.removeprefix("data: "))


async def read_events(
    connection: TargetConnection, stream: Stream, leave_after: int
) -> None:
    """Read events until the answer ends, or leave.

    :param leave_after: number of events after which the caller leaves.
    :raises LinkLost: it was broken off.
    """
    partial = b""
    while (piece := await connection.read()) is not None:
        *events, partial = (partial + piece).split(b"\n\n")
        for event in events:
            stream.add(event)
        if len(stream.events) >= leave_after:
            return
    assert partial == b"", "a part of an event was relayed"
    # what was broken off must not look complete
    assert len(stream.events) == EVENTS


def list_serving(cluster: Cluster, stream: Stream) -> set[tuple[str, int]]:
    """Return the engines of a stream's version that serve, each with its start."""
    return {
        (engine.name, engine.born)
        for engine in cluster.engines
        if engine.serving and engine.software in stream.versions
    }


async def try_once(
    cluster: Cluster, stream: Stream, model: str, request: str, leave_after: int
) -> None:
    """Send a request for the rest of a stream to a gateway that runs."""
    headers = [("host", "nets.example"), ("request-id", request), ("model", model)]
    headers += [("deadline-ms", "9000"), ("token-counts", "10,40")]
    before = len(stream.events)
    serving = list_serving(cluster, stream)
    if before:
        headers += [("last-event-id", str(before)), ("resumes", stream.first)]
    try:
        connection = await TargetConnection.open(random.choice(cluster.gateways))
    except LinkLost:
        return
    try:
        async with asyncio.timeout(6.0):
            status, _ = await connection.request(
                "POST", "/advice/x", tuple(headers), b"body"
            )
            if status == 200:
                await read_events(connection, stream, leave_after)
    except (LinkLost, TimeoutError):
        pass
    finally:
        connection.close()
    if before:
        lasting = serving.intersection(list_serving(cluster, stream))
        counts = len(lasting) >= MIN_SERVING
        stream.resumed += counts
        stream.continued += counts and len(stream.events) > before
    elif stream.events:
        stream.first = request


async def call_until(cluster, end, number, streams, begun, draw):
    """Run one caller's streams one after the other; it leaves some midway and resumes.

    :param begun: for each try without an event before it, whether it brought one.
    """
    loop, count = asyncio.get_running_loop(), 0
    while loop.time() < end:
        stream = Stream()
        streams.append(stream)
        for _ in range(MAX_TRIES):
            count += 1
            fresh = not stream.events
            request, model = f"c{number}-{count}", f"{MODEL}/a{number}"
            leave_after = draw.choice((EVENTS, EVENTS, len(stream.events) + 9))
            await try_once(cluster, stream, model, request, leave_after)
            if fresh:
                begun.append(bool(stream.events))
            if len(stream.events) == EVENTS:
                break
            await asyncio.sleep(0.3)


async def restart_engine(engine: Target) -> None:
    await engine.lose_power()
    await asyncio.sleep(0.2)
    if engine.keeps_name:
        engine.software = "v1.1" if engine.software == "v1" else "v1"
    await engine.start()


async def disturb_until(cluster, end, draw):
    """Kill gateways, stewards and engines in turn; each is back within a second."""
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        await asyncio.sleep(draw.uniform(0.5, 1.2))
        kind = draw.choice(("gateway", "engine", "engine", "steward"))
        if kind == "engine":
            await restart_engine(draw.choice(cluster.engines))
            continue
        hosts = cluster.edge_hosts[:2] if kind == "gateway" else cluster.side_hosts
        program = cluster.programs[kind, draw.choice(hosts)]
        program.kill()
        await asyncio.sleep(0.1)
        program.start()


@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_keep_their_version_and_mostly_go_on(tmp_path, seed):
    """Callers would get streams of two versions, or none that could be resumed."""
    await run_callers(tmp_path, seed, keeps_name=False)


@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_keep_their_version_where_engines_keep_their_ids(tmp_path, seed):
    """An engine that starts again as another version would be taken for the old one."""
    await run_callers(tmp_path, seed, keeps_name=True)


async def run_callers(tmp_path, seed, *, keeps_name):
    draw = random.Random(seed)
    streams: list[Stream] = []
    begun: list[bool] = []
    async with Cluster(tmp_path, engines=len(VERSIONS)) as cluster:
        for engine, software in zip(cluster.engines, VERSIONS, strict=True):
            engine.software, engine.names_software = software, True
            engine.keeps_name = keeps_name
            engine.events, engine.event_interval = EVENTS, EVENT_SECONDS
            await engine.announce()
        await cluster.wait_ready()
        end = asyncio.get_running_loop().time() + SECONDS
        await asyncio.gather(
            disturb_until(cluster, end, draw),
            *(
                call_until(cluster, end, n, streams, begun, draw)
                for n in range(CALLERS)
            ),
        )
    assert all(len(stream.versions) <= 1 for stream in streams)
    resumed = sum(stream.resumed for stream in streams)
    continued = sum(stream.continued for stream in streams)
    print(f"begun {sum(begun)} of {len(begun)}, gone on {continued} of {resumed}")
    assert resumed
    assert continued / resumed >= 0.5 * sum(begun) / len(begun)
