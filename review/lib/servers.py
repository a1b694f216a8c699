"""Stand-in for the servers of a plain service, by the platform's pages."""

import asyncio
import contextlib
import json
import random
import time

from harness import CONTROL, SERVER_PORT, call, encode_answer, read_message


class PlainServer:
    """One server: slots, a short queue, one request at a time on a connection.

    :param address: its own loopback address.
    :param record: where arrivals, runs and answers are noted.
    :ivar runs: for each request that it began to work on, how often.
    """

    def __init__(self, deployment, address, service, zone, record, slots=6, queue=2, work_ms=60.0, seed=0):
        self.deployment, self.address, self.service = deployment, address, service
        self.zone, self.record, self.slots, self.queue = zone, record, slots, queue
        self.work_ms = work_ms
        self.draw = random.Random(seed)
        self.born = int(time.time() * 1000)
        self.name = f"i-{self.draw.getrandbits(40):010x}"
        self.runs = {}
        self.arrivals = self.refused = 0
        self._free = asyncio.Semaphore(slots)
        self._present = 0
        self._sequence = 0
        self._server = None
        self._beat = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, SERVER_PORT)
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        if self._beat is not None:
            self._beat.cancel()
            await asyncio.gather(self._beat, return_exceptions=True)
        if self._server is not None:
            self._server.close()

    async def _send_heartbeats(self):
        while True:
            self._sequence += 1
            body = {
                "backend": self.service, "address": f"{self.address}:{SERVER_PORT}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold_ms": 0, "models": [],
                "seq": self._sequence, "born": self.born,
            }  # fmt: skip
            for edge in random.sample(self.deployment.edges, len(self.deployment.edges)):
                with contextlib.suppress(OSError, TimeoutError, ValueError):
                    path = f"/api/instances/{self.name}/heartbeat"
                    status, _, _ = await call(edge, CONTROL, "POST", path, json.dumps(body).encode())
                    if status == 200:
                        break
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        try:
            while (found := await read_message(reader)) is not None:
                await self._answer(connection, *found)
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass  # also cancelled at the end of the case
        finally:
            writer.close()

    async def _answer(self, connection, first, headers, body):
        method, path, _ = first.split()
        if path == "/healthz":
            return await connection.send(encode_answer(200, (("Instance-Id", self.name),)))
        request = headers.get("request-id", "")
        self.arrivals += 1
        await self.before_answer(connection, request)
        own = (("Request-Id", request), ("Server-Load", self._describe_load()))
        if headers.get("expect-instance", self.name) != self.name:
            return await connection.send(encode_answer(421, (*own, ("Not-Executed", "1"))))
        if self._present >= self.slots + self.queue:
            self.refused += 1
            self.record.note(f"server {self.name} refuses {request}: full")
            refusal = encode_answer(503, (*own, ("Not-Executed", "1")))
            await connection.send(refusal)
            return await self.after_answer(connection, request, refusal)
        self._present += 1
        try:
            async with self._free:
                self.runs[request] = self.runs.get(request, 0) + 1
                self.record.note(f"server {self.name} runs {request}")
                await asyncio.sleep(self.draw.uniform(0.5, 1.5) * self.work_ms / 1000)
        finally:
            self._present -= 1
        stamp = ("Response-Stamp", f"{self.name}.{request}")
        answer = encode_answer(200, (*own, stamp), b"x" * 800)
        await connection.send(answer)
        await self.after_answer(connection, request, answer)

    def _describe_load(self):
        running = min(self._present, self.slots)
        return f"{running},{self._present - running},{self.slots}"

    async def before_answer(self, connection, request):
        """Called when a request has arrived."""

    async def after_answer(self, connection, request, answer):
        """Called when an answer was sent."""


class Connection:
    """A connection of a caller to a server.

    :ivar late: a second copy of an answer that is still to come.
    """

    def __init__(self, writer):
        self._writer = writer
        self.late = b""

    async def send(self, data):
        self._writer.write(data)
        await self._writer.drain()
