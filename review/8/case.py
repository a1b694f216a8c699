"""A server has deregistered, all processes of the core are killed, a heartbeat is late."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from cluster import (  # noqa: E402
    BOUNDS,
    call_operator,
    Cluster,
    limit_time,
    make_config,
    Record,
)
from standins import PlainServer, send_plain  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
#: Seconds from the deregistration to the kill, for which the processes are down, and
#: from the deregistration to the arrival of the heartbeat that was held up.
KILL_AFTER_SECONDS = 0.5
DOWN_SECONDS = 0.5
ARRIVAL_SECONDS = 2.5
SEND_SECONDS = 3.0
SEND_INTERVAL = 0.05


async def wait_ready(record, cluster):
    body = json.dumps(make_config(1))
    end, served = time.monotonic() + 25.0, 0
    while time.monotonic() < end:
        status, _ = await asyncio.to_thread(
            call_operator, cluster.edges[0], "POST", "/api/config/put", body
        )
        if status == 200:
            break
        await asyncio.sleep(0.2)
    while time.monotonic() < end and served < 10:
        for gateway in cluster.edges[:2]:
            status = await send_plain(record, gateway, "twine-issue", f"warm{served:012x}")
            served += status == 200
        await asyncio.sleep(0.1)
    return served >= 10


async def run(record, cluster):
    cluster.start()
    servers = [
        PlainServer(f"{cluster.prefix}.{150 + n}", f"zone-{n}", cluster.edges, record)
        for n in range(4)
    ]
    for server in servers:
        await server.start()
    try:
        if not await wait_ready(record, cluster):
            return 2
        await asyncio.sleep(4.0)
        leaving = servers[0]
        heartbeat, registry = await leaving.leave_unannounced()
        gone_at = time.monotonic()
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if TROUBLE:
            for node in cluster.registries + cluster.gateways:
                node.kill()
            record.write("all processes on the machines of the core are killed")
            await asyncio.sleep(DOWN_SECONDS)
            for node in cluster.registries + cluster.gateways:
                node.start()
            record.write("they are started again")
        in_touch_at = time.monotonic() + CONTACT_SECONDS
        await asyncio.sleep(gone_at + ARRIVAL_SECONDS - time.monotonic())
        await leaving.deliver(heartbeat, registry)
        await asyncio.sleep(in_touch_at + 0.5 - time.monotonic())
        first_at, sends, number = time.monotonic(), [], 0
        while time.monotonic() < first_at + SEND_SECONDS:
            number += 1
            gateway = cluster.edges[number % 2]
            sends.append(
                asyncio.create_task(
                    send_plain(record, gateway, "twine-issue", f"{number:016x}")
                )
            )
            await asyncio.sleep(SEND_INTERVAL)
        statuses = await asyncio.gather(*sends)
        late = [at for at, _ in leaving.arrivals if at > first_at]
        record.write(
            f"{number} requests sent, {statuses.count(200)} answered with 200; "
            f"{len(late)} reached {leaving.name}, {first_at - gone_at:.1f} s and more "
            f"after it was acknowledged as gone (drain_ms is {DRAIN_SECONDS} s)"
        )
        record.write("BROKEN" if late else "held")
        return int(bool(late))
    finally:
        for server in servers:
            await server.stop()


def main():
    limit_time()
    record = Record(HERE / "record.txt")
    cluster = Cluster(disks=4, gateways=2)
    code = 2
    try:
        code = asyncio.run(run(record, cluster))
    finally:
        cluster.stop()
    record.write(f"exit {code}")
    sys.exit(code)


if __name__ == "__main__":
    main()
