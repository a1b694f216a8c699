"""Servers send a second copy of some answers late, where the next answer is expected."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    FRONT,
    HOSTNAME,
    ZONES,
    CannotRun,
    Deployment,
    encode_request,
    make_config,
    make_route,
    read_message,
    run_case,
)
from servers import PlainServer

#: Doses: "garble" with "extra late" in the site file: share 0.6, x 0.03, for_s 5.0.
SERVERS = 5
FAULTY_SERVERS = 3
SHARE_OF_ANSWERS = 0.03
FAULT_SECONDS = 5.0
FAULTS_AT = (2.0, 9.0, 16.0)

CALLERS = 52
SECONDS = 23.0


class Server(PlainServer):
    """Sends a second copy of a share of its answers late, while it is faulty."""

    faults = ()
    extra = 0

    async def after_answer(self, connection, request, answer):
        faulty = any(begin <= time.monotonic() < end for begin, end in self.faults)
        if faulty and self.draw.random() < SHARE_OF_ANSWERS:
            connection.late = answer

    async def before_answer(self, connection, request):
        if connection.late:
            self.extra += 1
            status = connection.late.split()[1].decode()
            self.record.note(f"server {self.name} sends the late second copy of a {status} before it handles {request}")
            await connection.send(connection.late)
            connection.late = b""


class Caller:
    """Sends requests that may run once, one after the other, over a kept connection."""

    def __init__(self, gateway, number, record, answers):
        self.gateway, self.number, self.record, self.answers = gateway, number, record, answers
        self.draw = random.Random(1000 + number)
        self.count = 0

    async def run(self, until):
        connection = None
        while time.monotonic() < until:
            self.count += 1
            request = f"{self.number:04x}{self.count:04x}{self.draw.getrandbits(32):08x}"
            try:
                if connection is None:
                    connection = await asyncio.open_connection(self.gateway, FRONT)
                reader, writer = connection
                headers = (("Host", HOSTNAME), ("Request-Id", request), ("Deadline-Ms", "4000"))
                writer.write(encode_request("POST", "/issue/1", headers, b"twine " + request.encode()))
                self.record.note(f"caller sends {request} to {self.gateway}")
                async with asyncio.timeout(5.0):
                    found = await read_message(reader)
                status = int(found[0].split()[1]) if found else 0
                if found is None or found[1].get("connection") == "close":
                    writer.close()
                    connection = None
            except (OSError, TimeoutError):
                status, connection = 0, None
            self.answers[request] = status
            self.record.note(f"caller gets {status or 'no answer'} for {request}")
            if status in (429, 503):
                # a sound caller waits as it is told; this is the longest that it may be told
                wait = float(found[1].get("retry-after", "0.2"))
                await asyncio.sleep(min(1.0, wait))
            else:
                await asyncio.sleep(self.draw.uniform(0.0, 0.02))


async def case(record, trouble):
    deployment = Deployment(edges=3, gateways=2)
    servers = []
    try:
        deployment.start()
        for number in range(SERVERS):
            server = Server(
                deployment,
                deployment.server_address(number),
                "raktar",
                ZONES[number % 4],
                record,
                work_ms=40.0,
                seed=number,
            )
            await server.start()
            servers.append(server)
        service = {"name": "raktar", "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": False}
        await deployment.put_config(make_config(1, [make_route("issue", "non_idempotent", "raktar")], [service]))
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        answers = {}
        until = time.monotonic() + SECONDS
        if trouble:
            for server in servers[:FAULTY_SERVERS]:
                began = time.monotonic()
                server.faults = [(began + at, began + at + FAULT_SECONDS) for at in FAULTS_AT]
        callers = [
            Caller(deployment.gateways[n % len(deployment.gateways)], n, record, answers) for n in range(CALLERS)
        ]
        await asyncio.gather(*(caller.run(until) for caller in callers))
        await asyncio.sleep(1.0)
    finally:
        try:
            for server in servers:
                await server.stop()
        finally:
            deployment.stop()
    return judge(servers, answers, record)


def judge(servers, answers, record):
    runs = {}
    for server in servers:
        for request, count in server.runs.items():
            runs.setdefault(request, []).extend([server.name] * count)
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    record.note(f"requests {len(answers)}, answers {counts}, runs {sum(map(len, runs.values()))}")
    broken = sum(s in (429, 503) and r in runs for r, s in answers.items())
    print(
        f"REFUSED {broken}; requests {len(answers)}, answers {counts},"
        f" refusals by servers {sum(s.refused for s in servers)}, extra answers {sum(s.extra for s in servers)}"
    )
    twice = [f"TWICE: {request} ran at {' and '.join(where)}" for request, where in runs.items() if len(where) > 1]
    refused = [
        f"REFUSED: {request} was answered {status} and ran at {runs[request][0]}"
        for request, status in answers.items()
        if status in (408, 421, 429, 503) and request in runs
    ]
    for line in twice + refused:
        record.note(line)
    if 200 not in counts:
        raise CannotRun("no request was served")
    return twice


sys.exit(run_case(Path(__file__).parent, case))
