"""Small stand-ins for model engines and clients, by the platform's pages.

An engine reports, registers itself, runs streams and stops a run when its connection
closes. Only the standard library is used.
"""

import asyncio
import contextlib
import itertools
import json
import random
import socket
import struct
import time

from cluster import CONTROL, ENGINE, FRONT

MODEL = "m0"
HEARTBEAT_SECONDS = 1.2


async def read_head(reader):
    """Return the first line and the headers of a message, or `None` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:] if ":" in line]
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


class Engine:
    """A model engine at an address.

    :param registries: addresses to which it sends its heartbeats.
    :param record: writes what it runs.
    """

    def __init__(self, address, zone, registries, record, service="mester"):
        self.address, self.zone, self.service = address, zone, service
        #: Whether it serves requests that name no model.
        self.plain = False
        #: Seconds by which the first heartbeat of its next start arrives late.
        self.late_seconds = 0.0
        self._writers = set()
        self.registries, self.record = registries, record
        self.name = f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self.software = "v1"
        self.state = "ready"
        self.events = 140
        self.event_seconds = 0.1
        self.sequence = 0
        self.runs = []
        self.running = 0
        self._server = self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, ENGINE)
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, software, seconds):
        """Crash, and start again under the same ID with another software version."""
        await self.stop()
        await asyncio.sleep(seconds)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.software = software
        await self.start()
        self.record.write(f"{self.name} crashed and started again, now {software}")

    def describe(self):
        return {
            "backend": self.service,
            "address": f"{self.address}:{ENGINE}",
            "zone": self.zone,
            "version": self.software,
            "slots": 48,
            "state": self.state,
            "cold_ms": 0,
            "stage": "colocated",
            "models": []
            if self.plain
            else [{"name": MODEL, "version": 1, "adapters": []}],
            "seq": self.sequence,
            "born": self.born,
        }

    async def _send_heartbeats(self):
        late_seconds, self.late_seconds = self.late_seconds, 0.0
        while True:
            self.sequence += 1
            body = json.dumps(self.describe()).encode()
            path = f"/api/instances/{self.name}/heartbeat"
            await asyncio.sleep(late_seconds)
            for address in random.sample(self.registries, len(self.registries)):
                if await call(address, CONTROL, "POST", path, body) == 200:
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS - late_seconds)
            late_seconds = 0.0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (found := await read_head(reader)) is not None:
                line, headers = found
                method, path, _ = line.split(" ")
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._answer(method, path, headers, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method, path, headers, reader, writer):
        match method, path:
            case "GET", "/api/report":
                report = {
                    "stage": "colocated",
                    "models": self.describe()["models"],
                    "busy": False,
                    "seq": 0,
                    "queued": 0,
                    "running": self.running,
                    "kv_used": 0,
                    "kv_total": 121912,
                    "handles": 0,
                    "born": self.born,
                    "state": self.state,
                }
                return await _respond(writer, 200, json.dumps(report).encode())
            case "GET", "/healthz":
                status = 200 if self.state == "ready" else 503
                return await _respond(
                    writer, status, b"", {"Instance-Id": self.name}
                )
            case "POST", "/api/order":
                return await _respond(writer, 409)
        return await self._run(headers, reader, writer)

    async def _run(self, headers, reader, writer):
        request = headers.get("request-id", "")
        own = {"Request-Id": request}
        if headers.get("expect-instance", self.name) != self.name:
            own["Not-Executed"] = "1"
            return await _respond(writer, 421, b"", own)
        own["Response-Stamp"] = f"{self.name}.{request}"
        own["Server-Load"] = f"{self.running},0,48"
        self.runs.append(request)
        first = int(headers.get("last-event-id") or 0) + 1
        self.record.write(f"{self.name} runs {request} from event {first}")
        lines = [f"{name}: {value}" for name, value in own.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        self.running += 1
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.sleep(0.05)
            writer.write(
                ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()
            )
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: t{number} {self.software}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                done, _ = await asyncio.wait((gone,), timeout=self.event_seconds)
                if done:
                    return False
            # from the end of the answer on, bytes belong to the next request
            gone.cancel()
            await asyncio.wait((gone,))
            if not gone.cancelled():
                return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1
            gone.cancel()


class PlainServer(Engine):
    """A server without models, which answers with a short body.

    :ivar arrivals: monotonic seconds and ID of each request that reached it.
    """

    def __init__(self, address, zone, registries, record, service="raktar"):
        super().__init__(address, zone, registries, record, service)
        self.plain = True
        self.work_seconds = 0.06
        self.arrivals = []

    async def leave_unannounced(self):
        """Deregister first, and go on serving.

        A heartbeat sent before is held up on its way to one registry. Its sender calls
        the next one after a second, as it got no answer.

        :returns: the heartbeat that is still on its way, and where to.
        """
        self._beats.cancel()
        self.sequence += 1
        body = json.dumps(self.describe()).encode()
        slow, *others = self.registries
        self.record.write(f"{self.name} sends heartbeat {self.sequence}, held up to {slow}")
        await asyncio.sleep(1.0)
        path = f"/api/instances/{self.name}/heartbeat"
        await self._call_until_acknowledged(others, path, body)
        path = f"/api/instances/{self.name}/deregister"
        body_of_end = json.dumps({"born": self.born}).encode()
        await self._call_until_acknowledged(others, path, body_of_end)
        return body, slow

    async def _call_until_acknowledged(self, addresses, path, body):
        for address in addresses:
            status = await call(address, CONTROL, "POST", path, body)
            self.record.write(f"POST {path} at {address}: {status or 'no answer'}")
            if status == 200:
                return
        raise SystemExit(2)

    async def deliver(self, body, address):
        """Let a heartbeat arrive that was held up."""
        path = f"/api/instances/{self.name}/heartbeat"
        status = await call(address, CONTROL, "POST", path, body)
        self.record.write(f"the heartbeat held up arrives at {address}: {status}")

    async def _run(self, headers, reader, writer):
        request = headers.get("request-id", "")
        own = {"Request-Id": request}
        if headers.get("expect-instance", self.name) != self.name:
            own["Not-Executed"] = "1"
            return await _respond(writer, 421, b"", own)
        self.arrivals.append((time.monotonic(), request))
        self.record.write(f"{self.name} runs {request}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        own["Response-Stamp"] = f"{self.name}.{request}"
        own["Server-Load"] = f"{self.running},0,6"
        return await _respond(writer, 200, b"done " + request.encode(), own)


async def send_plain(record, gateway, route, request, deadline_ms=4000):
    """Send a client's request for a short answer, and return its status."""
    status = 0
    record.write(f"client sends {request} to {gateway}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(gateway, FRONT)
            try:
                lines = [
                    f"POST /{route}/1 HTTP/1.1",
                    "Host: lofts.example",
                    f"Request-Id: {request}",
                    f"Deadline-Ms: {deadline_ms}",
                    "Content-Length: 4",
                ]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"body")
                found = await read_head(reader)
                status = int(found[0].split(" ")[1]) if found else 0
            finally:
                writer.close()
    except (OSError, TimeoutError):
        pass
    record.write(f"client gets for {request}: {status or 'no answer'}")
    return status


async def _respond(writer, status, body=b"", headers=None):
    lines = [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    head = f"HTTP/1.1 {status} X\r\n" + "\r\n".join(lines) + "\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()
    return True


async def call(address, port, method, path, body=b"", seconds=1.0):
    """Send a call over a new connection, and return its status, 0 without an answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                writer.write(head.encode() + body)
                found = await read_head(reader)
                return int(found[0].split(" ")[1]) if found else 0
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0


class Stream:
    """A client's stream over one or more attempts.

    :ivar status: status of the last attempt, 0 without an answer.
    :ivar last: id of the last event.
    :ivar first_request: the attempt that brought the first event.
    """

    numbers = itertools.count(1)

    def __init__(self, record, route="mesh-advice", deadline_ms=30000, model=True):
        self.record, self.route, self.model = record, route, model
        self.deadline = time.monotonic() + deadline_ms / 1000
        self.status, self.last, self.complete = 0, 0, False
        self.first_request = None
        self.retry_after = None
        #: Software versions that the events name.
        self.versions = set()
        self._writer = None

    async def attempt(self, gateway, name_first=True, events=None):
        """Send one attempt, and read events until its end or a number of them."""
        request = f"{next(Stream.numbers):04x}{random.randrange(16**12):012x}"
        left = int((self.deadline - time.monotonic()) * 1000)
        lines = [
            f"POST /{self.route}/1 HTTP/1.1",
            "Host: lofts.example",
            f"Request-Id: {request}",
            f"Deadline-Ms: {left}",
            "Content-Length: 4",
        ]
        if self.model:
            lines += [
                f"Model: {MODEL}",
                "Token-Counts: 20,420",
                f"Prompt-Prefix: 5c1e07a2:10,{request}:10",
            ]
        if self.last:
            lines.append(f"Last-Event-Id: {self.last}")
            if name_first:
                lines.append(f"Resumes: {self.first_request}")
        self.status, self.retry_after = 0, None
        before = self.last
        try:
            async with asyncio.timeout(max(0.1, self.deadline - time.monotonic())):
                reader, self._writer = await asyncio.open_connection(gateway, FRONT)
                self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"body")
                found = await read_head(reader)
                if found is None:
                    return
                self.status = int(found[0].split(" ")[1])
                self.retry_after = found[1].get("retry-after")
                if self.status != 200:
                    self.record.write(
                        f"client {request} at {gateway} after event {before}: "
                        f"{self.status}, Retry-After {self.retry_after}"
                    )
                    return
                await self._read_events(reader, request, events)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self.close()
            if self.status == 200:
                self.record.write(
                    f"client {request} at {gateway} after event {before}: 200, up to "
                    f"event {self.last}, {'complete' if self.complete else 'broken off'}"
                )

    async def _read_events(self, reader, request, events):
        while events is None or self.last < events:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = (await reader.readexactly(size + 2))[:-2]
            if not size:
                self.complete = True
                return
            for line in chunk.decode().split("\n"):
                if line.startswith("data:"):
                    self.versions.add(line.split(" ")[2])
                if line.startswith("id:"):
                    self.last = int(line[3:])
                    self.first_request = self.first_request or request

    def close(self):
        if self._writer is not None:
            self._writer.close()

    def reset(self):
        """Reset the connection, as on `reset_conns`."""
        if self._writer is not None:
            found = self._writer.transport.get_extra_info("socket")
            if found is not None and not self._writer.transport.is_closing():
                linger = struct.pack("ii", 1, 0)
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self._writer.transport.abort()
