"""Memory of a gateway beside callers that read or send slowly, with real programs."""

import asyncio
import contextlib
import socket
from pathlib import Path

from tests.onplatform.standin import MODEL, Cluster

from ibishead.links import Endpoint

MEMORY_MB = 160

#: Callers that read nothing of streams of 12.8 MB.
READERS, EVENTS, EVENT_BYTES = 12, 200, 64_000

#: Callers that leave out the last byte of a body.
SENDERS, BODY_BYTES = 40, 1_500_000

#: Calls of others to a plain service, and streams that others read.
CALLS, STREAMS = 20, 2


def measure_memory(process: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def make_head(route: str, name: str, length: int) -> bytes:
    return (
        f"POST /{route}/x HTTP/1.1\r\nHost: nets.example\r\nRequest-Id: {name}\r\n"
        f"Deadline-Ms: 4000\r\nModel: {MODEL}/warm\r\nToken-Counts: 10,10\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def connect(gateway: Endpoint) -> socket.socket:
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(
        caller, (gateway.address, gateway.port)
    )
    return caller


async def read_nothing(gateway: Endpoint, name: str) -> None:
    with await connect(gateway) as caller:
        head = make_head("plan", name, 4)
        await asyncio.get_running_loop().sock_sendall(caller, head + b"body")
        await asyncio.Event().wait()


async def hold_last_byte(gateway: Endpoint, name: str) -> bytes:
    """Return the start of the answer to a body whose last byte isn't sent."""
    loop = asyncio.get_running_loop()
    with await connect(gateway) as caller:
        data = make_head("look", name, BODY_BYTES) + b"x" * (BODY_BYTES - 1)
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(caller, data)
        return await loop.sock_recv(caller, 4096)


async def test_memory_is_bounded_and_others_are_served(tmp_path):
    """Slow callers must not exhaust the memory of the gateway's host."""
    cluster = Cluster(tmp_path)
    cluster.host_limits = {"memory_mb": MEMORY_MB}
    async with cluster:
        await cluster.wait_ready()
        for engine in cluster.engines:
            engine.event_padding, engine.events = EVENT_BYTES, EVENTS
            engine.event_interval = 0.0
        gateway = cluster.gateways[0]
        process = cluster.programs["gateway", gateway.address].pid
        calm = highest = measure_memory(process)
        readers = [
            asyncio.create_task(read_nothing(gateway, f"read-{n}"))
            for n in range(READERS)
        ]
        senders = [
            asyncio.create_task(hold_last_byte(gateway, f"send-{n}"))
            for n in range(SENDERS)
        ]
        statuses = []
        for _ in range(CALLS):
            statuses.append((await cluster.request("look", gateway))[0])
            highest = max(highest, measure_memory(process))
            await asyncio.sleep(0.1)
        for _ in range(STREAMS):
            status, body, _ = await cluster.request("plan", gateway, f"{MODEL}/warm")
            statuses.append(status)
            assert body.count(b"\n\n") == EVENTS
        highest = max(highest, measure_memory(process))
        log = cluster.programs["gateway", gateway.address].log
        refusals = [task.result() for task in senders if task.done()]
        for task in readers + senders:
            task.cancel()
        await asyncio.gather(*readers, *senders, return_exceptions=True)
    print(f"{calm:.0f} MB, then {highest:.0f} MB, {len(refusals)} refused")
    assert statuses == [200] * (CALLS + STREAMS)
    assert highest <= MEMORY_MB
    assert refusals
    assert log.count("memory for callers used up") == 1
    assert all(answer.startswith(b"HTTP/1.1 503") for answer in refusals)
    assert not {f"send-{n}" for n in range(SENDERS)} & cluster.ledger.runs.keys()
