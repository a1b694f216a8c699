"""A small deployment on loopback: the project's programs as processes, and stand-ins.

Only the standard library is used. Each host has an own address in 127.0.0.0/8, so that all
hosts use the same ports, as on the platform. The programs are started with the commands of
`deploy/system.toml` and settings like those in `DEPLOY.md`.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL = 18149, 18141, 18144
PORTS = [17380, 17395]
SERVER_PORT = 18081
HOSTNAME = "wuny96.example"
ZONES = ("szeged-a", "szolnok-b", "kecskemet-c", "baja-d")


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


# HTTP/1.1 --------------------------------------------------------------------


async def read_message(reader, *, no_body=False):
    """Return first line, headers and body of a message; None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionError("input ended inside a head") from error
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if not no_body:
        body = await _read_body(reader, headers, first.startswith("HTTP/"))
    return first, headers, body


async def _read_body(reader, headers, is_answer):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(part[:-2])
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        if is_answer:
            return await reader.read()
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("input ended inside a body") from error
    return b""


def encode_answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_request(method, path, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address, port, method, path, body=b"", headers=(), timeout=1.0):
    """Send one request over a new connection, and return status, headers and body."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            sent = (("Host", f"{address}:{port}"), *headers)
            writer.write(encode_request(method, path, sent, body))
            found = await read_message(reader)
        finally:
            writer.transport.abort()
    if found is None:
        raise ConnectionError("closed without an answer")
    first, answer_headers, answer_body = found
    return int(first.split()[1]), answer_headers, answer_body


# Programs --------------------------------------------------------------------


class Program:
    """One process of the system."""

    def __init__(self, name, role, settings, folder):
        self.name, self.folder = name, folder
        self.path = folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.command = role["run"].split()
        self.process = None

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["IBISHEAD_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process, if it runs, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def log(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    @property
    def peak_mb(self):
        """Peak of the resident memory in MB."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Hosts of the class edge with registry and gateway, and side hosts with stewards.

    :param sides: number of side hosts.
    :param gateways: number of the edge hosts that run a gateway; all run a registry.
    """

    def __init__(self, edges=3, sides=0, gateways=None, memory_mb=300):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        if not (ROOT / "target" / "app").is_dir():
            raise CannotRun("the deploy file has not been built")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _find_free_net()
        self.edges = [f"{self.net}.{n + 1}" for n in range(edges)]
        self.gateways = self.edges[: gateways or edges]
        self.sides = [f"{self.net}.{n + 51}" for n in range(sides)]
        self.memory_mb = memory_mb
        self.programs = {}
        for number, address in enumerate(self.edges):
            self._make("registry", address, number, control=True)
            if address in self.gateways:
                self._make("gateway", address, number, front=True)
        for number, address in enumerate(self.sides):
            self._make("steward", address, number)

    def server_address(self, number):
        return f"{self.net}.{number + 101}"

    def _make(self, kind, address, number, front=False, control=False):
        zone = ZONES[number % len(ZONES)]
        side = kind == "steward"
        host = f"{'side' if side else 'edge'}-{zone}-{number + 1}"
        listen = {}
        if front:
            listen |= {"front": f"{address}:{FRONT}", "readiness_addr": f"{address}:{READY}"}
        if control:
            listen |= {"control": f"{address}:{CONTROL}"}
        data = self.folder / f"data-{host}"
        settings = {
            "node_name": host,
            "role": kind,
            "machine_class": "side" if side else "edge",
            "serves": ["side"] if side else ["edge"] if front else ["control_plane"],
            "ip": address,
            "zone": zone,
            "region": "alfold",
            "zones": dict.fromkeys(ZONES, "alfold"),
            "listen": listen,
            "port_range": PORTS,
            "seeds": [f"{edge}:{CONTROL}" for edge in self.edges[:3]],
            "bootstrap": True,
            "counts_as_loss": not side,
            "limits": {
                "cpu_share": 0.968, "cores": 2, "memory_mb": self.memory_mb, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 64,
            },
            "data_dir": str(data) if control else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget": 0.2, "budget_window_s": 10,
                "retry_slack": 60, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing": True,
                "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_overage": 1.1,
                "version_ms": 5000,
            },
            "config_mode": "highest",
            "app": f"{address}:18080" if side else None,
            "backend": "mester" if side else None,
        }  # fmt: skip
        program = Program(f"{kind}-{host}", self.roles[kind], settings, self.folder)
        self.programs[kind, address] = program

    def start(self):
        for program in self.programs.values():
            program.start()

    def stop(self):
        for program in self.programs.values():
            program.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, config, timeout=20.0):
        """Send a configuration as the operator does, until it is accepted."""
        await self.call_control("POST", "/api/config/put", config, timeout)

    async def call_control(self, method, path, document, timeout=20.0):
        until = time.monotonic() + timeout
        body = json.dumps(document).encode()
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                status, _, answer = await call(random.choice(self.edges), CONTROL, method, path, body)
                if status == 200:
                    return answer
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{path} was refused: {status} {answer[:200]!r}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{path} got no answer")

    async def wait_ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        for gateway in self.gateways:
            while True:
                with contextlib.suppress(OSError, TimeoutError, ValueError):
                    if (await call(gateway, READY, "GET", "/api/ready"))[0] == 200:
                        break
                if time.monotonic() > until:
                    raise CannotRun(f"the gateway at {gateway} doesn't get ready")
                await asyncio.sleep(0.1)


def _find_free_net():
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for host, port in ((1, FRONT), (1, CONTROL), (2, FRONT), (101, SERVER_PORT)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def make_config(version=1, routes=(), services=()):
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }  # fmt: skip


def make_route(name, kind, service, **more):
    return {
        "name": name, "hostname": HOSTNAME, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
        "target_latency_ms": 300, "priority": 2, "backend": service, "max_attempts": 1, "sticky": False,
        "resumable": False, "target_gap_ms": 300, **more,
    }  # fmt: skip


# Record ----------------------------------------------------------------------


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def note(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def close(self):
        self._file.close()


def run_case(folder, case):
    """Run a case and return its exit status.

    :param case: coroutine function of the record and of whether the disruption happens; returns
        the breaks of the rule.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        breaks = asyncio.run(limited())
    except Exception as error:
        record.note(f"could not run: {type(error).__name__}: {error}")
        traceback.print_exc()
        return 2
    finally:
        record.close()
    for line in breaks[:20]:
        print(line)
    print(f"disruption {'on' if trouble else 'off'}, {len(breaks)} breaks")
    return 1 if breaks else 0
