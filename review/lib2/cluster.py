"""Starts a small deployment on loopback with the commands of the deploy file.

Every machine has an address of its own in 127.0.0.0/8 and a temporary folder, and all
use the same ports, as on the platform. Only the standard library is used.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, FIRST_PORT, ENGINE = 18149, 18141, 18144, 17380, 18080
_USED_PORTS = (FRONT, READY, CONTROL, FIRST_PORT, FIRST_PORT + 1, ENGINE)

#: Bounds of the sheet of halo-loft.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "retry_budget": 0.2,
    "budget_window_s": 10,
    "retry_slack": 60,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "fencing": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
    "version_ms": 5000,
}


#: Seconds after which a case that hangs is ended. A case may run for 120 s.
MAX_SECONDS = 110

_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)


def limit_time():
    """Make signals and the time limit end the case with 2, after its clean-up."""

    def end(number, _):
        raise SystemExit(2)

    for number in _ENDING_SIGNALS:
        signal.signal(number, end)
    signal.alarm(MAX_SECONDS)


class Record:
    """Writes what happens to `record.txt`, with seconds since its start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class Node:
    """One role on one machine, started as a process of its own."""

    def __init__(self, cluster, role, name, address, zone, settings):
        self.cluster, self.role, self.name = cluster, role, name
        self.address, self.zone = address, zone
        self.settings = settings
        self.data = cluster.folder / f"data-{name}"
        self.log_path = cluster.folder / f"{role}-{name}.log"
        self.process = None
        self.bootstrap = True

    def start(self):
        if self.settings.get("data_dir"):
            self.data.mkdir(exist_ok=True)
        path = self.cluster.folder / f"{self.role}-{self.name}.json"
        path.write_text(json.dumps({**self.settings, "bootstrap": self.bootstrap}))
        self.bootstrap = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["IBISHEAD_SETTINGS"] = str(path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.cluster.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def wipe(self):
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self.data, ignore_errors=True)

    @property
    def log(self):
        return self.log_path.read_text(errors="replace")


class Cluster:
    """A deployment: machines with a registry, with a gateway, and with a steward.

    :param disks: machines with a disk and a registry, each in a zone of its own.
    :param gateways: of these, the first ones run a gateway, too.
    :param engines: machines beside engines, each with a steward.
    """

    def __init__(self, disks=4, gateways=0, engines=0, service="mester"):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: spec["run"].split()
            for role, spec in deploy["roles"].items()
        }
        prefix = _find_free_prefix(disks, engines)
        zones = [f"zone-{n}" for n in range(disks)]
        self.edges = [f"{prefix}.{n + 1}" for n in range(disks)]
        self.sides = [f"{prefix}.{n + 101}" for n in range(engines)]
        self.prefix = prefix
        self.registries, self.gateways, self.stewards = [], [], []
        for n, address in enumerate(self.edges):
            name = f"edge-{n + 1}"
            settings = self._make_settings(name, address, zones, n, disk=True)
            data = str(self.folder / f"data-{name}")
            self.registries.append(
                Node(
                    self,
                    "registry",
                    name,
                    address,
                    zones[n],
                    {**settings, "role": "registry", "data_dir": data},
                )
            )
            if n < gateways:
                self.gateways.append(
                    Node(
                        self,
                        "gateway",
                        name,
                        address,
                        zones[n],
                        {**settings, "role": "gateway"},
                    )
                )
        for n, address in enumerate(self.sides):
            name = f"side-{n + 1}"
            settings = self._make_settings(name, address, zones, n, disk=False)
            settings |= {
                "role": "steward",
                "app": f"{address}:{ENGINE}",
                "backend": service,
            }
            self.stewards.append(
                Node(self, "steward", name, address, zones[n % disks], settings)
            )

    @property
    def nodes(self):
        return self.registries + self.gateways + self.stewards

    def _make_settings(self, name, address, zones, number, disk):
        return {
            "node_name": name,
            "machine_class": "edge" if disk else "side",
            "serves": ["edge", "control_plane"] if disk else ["side"],
            "ip": address,
            "zone": zones[number % len(zones)],
            "region": "alfold",
            "zones": {zone: "alfold" for zone in zones},
            "listen": {
                "front": f"{address}:{FRONT}",
                "readiness_addr": f"{address}:{READY}",
                "control": f"{address}:{CONTROL}",
            },
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "seeds": [f"{edge}:{CONTROL}" for edge in self.edges[:3]],
            "counts_as_loss": disk,
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 64,
            },
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self):
        for node in self.nodes:
            node.start()

    def stop(self):
        """End all processes that were started, and remove the temporary folder."""
        for number in _ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.kill()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def _find_free_prefix(disks, engines):
    for _ in range(50):
        prefix = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        hosts = [n + 1 for n in range(disks)] + [n + 101 for n in range(engines)]
        if all(_is_free(f"{prefix}.{host}") for host in hosts):
            return prefix
    raise SystemExit(2)


def _is_free(address):
    for port in _USED_PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def ask(address, method, path, body=None, headers=None, port=CONTROL, timeout=1.0):
    """Send one request and return status, headers and body; status 0 without one."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def call_operator(address, method, path, body=None, timeout=1.0):
    """Call the operator's API, and follow two redirects as the operator does."""
    for _ in range(3):
        status, headers, content = ask(address, method, path, body, timeout=timeout)
        if status != 307:
            break
        found = re.match(r"http://([^:/]+):\d+(/.*)", headers.get("Location", ""))
        if not found:
            break
        address, path = found[1], found[2]
    return status, content


def make_config(version, **changes):
    """Return a configuration like the one of halo-loft, with its five routes."""

    def route(name, kind, service, **more):
        return {
            "name": name,
            "hostname": "lofts.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "backend": service,
            "max_attempts": 1,
            **more,
        }

    config = {
        "version": version,
        "routes": [
            route("repair-plan", "streaming", "mester", sticky=True, timeout_ms=15000),
            route(
                "mesh-advice",
                "streaming",
                "mester",
                timeout_ms=30000,
                target_latency_ms=1000,
                max_attempts=2,
                resumable=True,
                target_gap_ms=300,
            ),
            route("twine-issue", "non_idempotent", "raktar"),
            route("stock-look", "idempotent", "raktar", max_attempts=2),
        ],
        "services": [
            {
                "name": "mester",
                "health_path": "/healthz",
                "max_conns": 320,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 48,
                    "kv_capacity": 121912,
                    "stride": 3,
                    "weights_mb": 66600.0,
                    "adapter_slots": 19,
                    "loads_per_s": 4.2,
                    "models": [
                        {
                            "name": "m0",
                            "weights_mb": 65100.0,
                            "load_s": 5.4,
                            "adapters": 3000,
                            "adapter_size_mb": 12.0,
                            "warm_s": 1.1,
                            "disk_s": 2.2,
                        }
                    ],
                },
            },
            {
                "name": "raktar",
                "health_path": "/healthz",
                "max_conns": 120,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return {**config, **changes}
