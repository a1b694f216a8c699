"""Streams resumed after engines were replaced by another version, with real programs.

By hand, more seeds:
``RESTART_SEEDS=50 pytest tests/onplatform/test_restarted_versions.py``.
"""

import asyncio
import contextlib
import os
import random
from enum import Enum

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

from ibishead.errors import LinkLost

SEEDS = range(int(os.environ.get("RESTART_SEEDS", "1")))
EVENTS, RECEIVED, STREAMS = 30, 5, 4

#: Stands for a version where a gateway has refused to resume a stream as not run.
REFUSED = "refused"

#: Rounds of streams after a server has restarted.
ROUNDS = 4

#: Seconds for which streams are resumed after the last change; longer than a gateway
#: waits for registrations after its start.
SECONDS = 6.0


class Kill(Enum):
    """When all registries and gateways are killed, by the release of the version."""

    NEVER = "never"
    BEFORE = "before"
    DURING = "during"
    AFTER = "after"


async def restart_core(cluster: Cluster, *, stewards: bool = False) -> None:
    """Kill all registries and gateways at once, and start them again.

    :param stewards: whether the stewards are killed too.
    """
    killed = [
        program
        for (kind, _), program in cluster.programs.items()
        if stewards or kind != "steward"
    ]
    for program in killed:
        program.kill()
    for program in killed:
        program.start()


async def release(cluster, kill, pause, silence, stewards):
    """Replace all engines by another version.

    :param pause: seconds between two changes.
    :param silence: seconds until a new engine registers.
    :param stewards: whether stewards are killed too.
    """
    if kill is Kill.BEFORE:
        await restart_core(cluster, stewards=stewards)
        await asyncio.sleep(pause)
    for number, engine in enumerate(cluster.engines):
        if kill is Kill.DURING and number == 1:
            await restart_core(cluster, stewards=stewards)
        await engine.lose_power()
        await asyncio.sleep(pause)
        engine.software, engine.announces = "v2", False
        await engine.start()
        await asyncio.sleep(silence)
        engine.announces = True
        await engine.announce()
    if kill is Kill.AFTER:
        await restart_core(cluster, stewards=stewards)


async def resume(
    cluster, stream, *, named, route="advice", model=f"{MODEL}/warm", gateway=None
) -> str | None:
    """Resume a stream, and return the version that went on with it, or `REFUSED`.

    :returns: ``None`` if no gateway answered, or the answer held no event.
    """
    headers = {"last_event_id": str(RECEIVED)} | ({"resumes": stream} if named else {})
    gateway = gateway or random.choice(cluster.gateways)
    with contextlib.suppress(LinkLost, TimeoutError):
        async with asyncio.timeout(3.0):
            status, body, _ = await cluster.request(route, gateway, model, **headers)
        if status == 200 and body:
            return body.split()[4].decode()
        if status == 503:
            return REFUSED
    return None


async def resume_repeatedly(cluster, stream, named, versions):
    while True:
        versions.append(await resume(cluster, stream, named=named))
        await asyncio.sleep(0.1)


async def restart_unannounced(server: Target) -> None:
    """Start a server again as another version that doesn't register."""
    await server.lose_power()
    server.software, server.announces = "v2", False
    await server.start()


async def begin_streams(cluster, *, keeps_name=False) -> list[str]:
    """Begin streams at engines of the first version."""
    for engine in cluster.engines:
        engine.names_software, engine.keeps_name = True, keeps_name
        engine.events = EVENTS
    await cluster.wait_ready()
    model = f"{MODEL}/warm"
    return [
        await cluster.begin_stream("advice", gateway, model, RECEIVED)
        for gateway in (cluster.gateways * STREAMS)[:STREAMS]
    ]


async def resume_around_release(
    folder, kill, *, keeps_name, named, pause, silence, stewards=False
):
    """Resume streams around a release, and return the versions that went on."""
    versions: list[str | None] = []
    async with Cluster(folder) as cluster:
        streams = await begin_streams(cluster, keeps_name=keeps_name)
        tasks = [
            asyncio.create_task(resume_repeatedly(cluster, stream, named, versions))
            for stream in streams
        ]
        await release(cluster, kill, pause, silence, stewards)
        await asyncio.sleep(SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    counts = {version: versions.count(version) for version in set(versions)}
    print(
        kill, f"{keeps_name=} {named=} {pause=:.1f} {silence=:.1f} {stewards=}", counts
    )
    return set(versions)


@pytest.mark.parametrize(
    ("kill", "keeps_name", "named", "silence"),
    [
        (Kill.AFTER, False, False, 0.0),
        (Kill.DURING, False, False, 0.0),
        (Kill.BEFORE, False, False, 0.0),
        (Kill.NEVER, True, False, 0.0),
        (Kill.BEFORE, True, True, 1.2),
        (Kill.AFTER, True, True, 1.2),
    ],
)
async def test_a_stream_is_not_resumed_at_another_version_after_a_restart(
    tmp_path, kill, keeps_name, named, silence
):
    """What the restarted programs have forgotten would be taken for never run."""
    versions = await resume_around_release(
        tmp_path, kill, keeps_name=keeps_name, named=named, pause=0.3, silence=silence
    )
    assert "v2" not in versions
    assert REFUSED in versions


async def test_a_stream_of_the_only_version_is_resumed_after_a_restart(tmp_path):
    """Callers that don't name their first request would be refused for long."""
    async with Cluster(tmp_path) as cluster:
        stream, *_ = await begin_streams(cluster)
        await restart_core(cluster)
        async with asyncio.timeout(20.0):
            version = await resume(cluster, stream, named=False)
            while version in (None, REFUSED):
                await asyncio.sleep(0.1)
                version = await resume(cluster, stream, named=False)
    assert version == "v1"


@pytest.mark.parametrize("killed", [False, True])
async def test_a_stream_is_not_resumed_at_a_server_that_restarted_unseen(
    tmp_path, killed
):
    """The last registration before a restart would be taken for a current one."""
    async with Cluster(tmp_path) as cluster:
        for server in cluster.plain:
            server.names_software = server.keeps_name = server.streams = True
            server.events = EVENTS
        await cluster.wait_ready()
        gateway = cluster.gateways[0]
        stream = await cluster.begin_stream("notes", gateway, "", RECEIVED)
        if killed:
            await restart_core(cluster)
        for server in cluster.plain:
            while not await server.announce():
                await asyncio.sleep(0.05)
        for server in cluster.plain:
            await restart_unannounced(server)
        versions = set()
        for _ in range(20):
            found = await resume(cluster, stream, named=True, route="notes", model="")
            versions.add(found)
            await asyncio.sleep(0.1)
    assert "v2" not in versions


async def test_a_stream_begun_at_a_server_in_doubt_is_not_continued_at_another(
    tmp_path,
):
    """Only the gateway that lost a connection to the server knew of the doubt."""
    versions = []
    async with Cluster(tmp_path) as cluster:
        for server in cluster.plain:
            server.names_software = server.keeps_name = server.streams = True
            server.events = EVENTS
        await cluster.wait_ready()
        first, second = cluster.gateways
        await asyncio.sleep(4.0)
        sent = [asyncio.create_task(cluster.request("notes", first)) for _ in range(6)]
        await asyncio.sleep(0.3)
        restarted = cluster.plain[0]
        await restart_unannounced(restarted)
        for _ in range(ROUNDS):
            streams = await asyncio.gather(
                *(cluster.begin_stream("notes", first, "", RECEIVED) for _ in range(12))
            )
            resumed = (
                resume(
                    cluster,
                    stream,
                    named=False,
                    route="notes",
                    model="",
                    gateway=second,
                )
                for stream in streams
                if restarted.name in cluster.ledger.runs[stream]
            )
            versions += await asyncio.gather(*resumed)
        await asyncio.gather(*sent, return_exceptions=True)
    assert versions
    assert "v1" not in versions


async def test_a_stream_begun_after_an_unseen_restart_has_no_former_version(
    tmp_path,
):
    """Guards against an origin by the registration of the start before."""
    async with Cluster(tmp_path) as cluster:
        for server in cluster.plain:
            server.names_software = server.keeps_name = server.streams = True
            server.events = EVENTS
        await cluster.wait_ready()
        first, second = cluster.gateways
        whole = (cluster.request("look", g) for g in cluster.gateways for _ in range(8))
        await asyncio.gather(*whole)
        restarted = cluster.plain[0]
        await restart_unannounced(restarted)
        streams = await asyncio.gather(
            *(cluster.begin_stream("notes", first, "", RECEIVED) for _ in range(24))
        )
        begun = [s for s in streams if restarted.name in cluster.ledger.runs[s]]
        versions = await asyncio.gather(
            *(
                resume(cluster, s, named=True, route="notes", model="", gateway=second)
                for s in begun
            )
        )
    assert begun
    assert "v1" not in versions


async def test_streams_go_on_after_the_stewards_restarted_in_turn(tmp_path):
    """Guards against origins that all their holders have forgotten."""
    async with Cluster(tmp_path, engines=4) as cluster:
        for engine in cluster.engines:
            engine.names_software, engine.events = True, EVENTS
        await cluster.wait_ready()
        model = f"{MODEL}/warm"
        first, second = cluster.gateways
        streams = [
            await cluster.begin_stream("advice", first, model, RECEIVED)
            for _ in range(STREAMS)
        ]
        for host in cluster.side_hosts:
            steward = cluster.programs["steward", host]
            assert await steward.stop() == 0
            steward.start()
            await asyncio.sleep(2.0)
        versions = [
            await resume(cluster, stream, named=True, gateway=second)
            for stream in streams
        ]
    assert versions == ["v1"] * STREAMS


@pytest.mark.parametrize("seed", SEEDS)
async def test_resumed_streams_keep_their_version_around_random_releases(
    tmp_path, seed
):
    """Some order of a release and a kill would join the parts of two versions."""
    draw = random.Random(seed)
    versions = await resume_around_release(
        tmp_path,
        draw.choice(list(Kill)),
        keeps_name=draw.random() < 0.5,
        named=draw.random() < 0.3,
        pause=draw.uniform(0.0, 1.0),
        silence=draw.choice((0.0, draw.uniform(0.0, 1.5))),
        stewards=draw.random() < 0.3,
    )
    assert "v2" not in versions
    assert REFUSED in versions
