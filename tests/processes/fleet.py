"""Small fleet on loopback, with each program running as a process of its own."""

import asyncio
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import msgspec
from tests.processes.programs import (
    LOOPBACK,
    ROOT,
    TIMEOUT_SECONDS,
    Program,
    reserve_port,
)
from tests.processes.relay import Relay

from ibishead.errors import LinkLost
from ibishead.links import Endpoint
from ibishead.standin.calls import Mix, Verdict, plan_calls
from ibishead.standin.ledger import Record, RecordKind, read_ledger_file
from ibishead.standin.load import Caller
from ibishead.webclient import ClientConnection

__all__ = ["CALLER_KEY", "OPERATOR_KEY", "Fleet", "Hop", "Target", "render_document"]

CALLER_KEY = "loft-key"
OPERATOR_KEY = "kata-key"
ADMIN_KEY = "admin-key"

#: Options of engines with the most dangerous faults: requests for a missing adapter are
#: served by the base model under the adapter's name, and some loads falsely report
#: success.
FAULTY_ENGINE_OPTIONS = ("--ignores-unknown-adapter", "--false-load", "0.1")

DOMAINS = ("szeged-a", "szolnok-b", "kecskemet-c", "baja-d")


def render(template: str, values: Mapping[str, object]) -> str:
    """Return a template of the demo with its @NAME@ placeholders replaced."""
    text = (ROOT / "demo" / template).read_text()
    for name, value in values.items():
        text = text.replace(f"@{name}@", str(value))
    return text


def digest(key: str) -> str:
    """Return the SHA-256 of a key, as stored in settings and documents."""
    return hashlib.sha256(key.encode()).hexdigest()


def render_document(template: str) -> str:
    """Return a service document of the demo with the keys of the fleet."""
    keys = {"CALLER_KEY": digest(CALLER_KEY), "OPERATOR_KEY": digest(OPERATOR_KEY)}
    return render(template, keys)


@dataclass
class Target:
    """A target and its agent.

    :param port: port of the target; it stays the same across restarts.
    """

    program: Program
    agent: Program
    port: int
    ledger_file: Path

    @property
    def ledger(self) -> list[Record]:
        """The target's records, including those from before restarts."""
        return read_ledger_file(self.ledger_file)


@dataclass(frozen=True)
class Reply:
    """Response of the operator API.

    :param status: HTTP status; 0 if there was no response.
    :param value: decoded JSON body.
    """

    status: int
    value: dict[str, object]


class Hop(Enum):
    """Connection between two programs that can be routed through a relay."""

    ENTRY_AGENT = "entry-agent"
    AGENT_TARGET = "agent-target"
    ENTRY_CONTROL = "entry-control"
    AGENT_CONTROL = "agent-control"


@dataclass
class FleetOptions:
    """Number of programs in a fleet, and the speed of its targets.

    :param slots: adapter slots of each engine.
    :param batch: batch size of each engine.
    :param token_time: base duration of an engine step, in seconds.
    :param delay: duration of an execution by a plain service, in seconds.
    :param engine_options: further command line options of the engines.
    :param relayed: connections that are routed through a relay.
    """

    controls: int = 3
    entries: int = 2
    engines: int = 3
    slots: int = 2
    batch: int = 8
    token_time: float = 0.005
    delay: float = 0.05
    engine_options: tuple[str, ...] = FAULTY_ENGINE_OPTIONS
    relayed: frozenset[Hop] = frozenset()


@dataclass
class Fleet:
    """The programs that one test runs.

    :param folder: directory of settings, log, port and ledger files.
    """

    folder: Path
    options: FleetOptions = field(default_factory=FleetOptions)
    controls: list[Program] = field(default_factory=list)
    entries: list[Program] = field(default_factory=list)
    engines: list[Target] = field(default_factory=list)
    plains: list[Target] = field(default_factory=list)
    store: Program | None = None
    relays: list[Relay] = field(default_factory=list)
    programs: list[Program] = field(default_factory=list)
    control_ports: list[int] = field(default_factory=list)
    entry_ports: list[int] = field(default_factory=list)

    @property
    def entry_endpoints(self) -> tuple[Endpoint, ...]:
        """Addresses of the entry hosts for callers."""
        return tuple(Endpoint(LOOPBACK, port) for port in self.entry_ports)

    def make_caller(self, timeout: float = 60.0, resends: int = 0) -> Caller:
        """Return a caller that sends to all entry hosts round-robin."""
        return Caller(self.entry_endpoints, CALLER_KEY, timeout, resends)

    async def start(self) -> None:
        """Start all programs, without submitting any documents."""
        self._start_controls()
        store_port = await self._start_store()
        self.engines = await asyncio.gather(
            *(self._start_engine(n, store_port) for n in range(self.options.engines))
        )
        self.plains = [await self._start_plain()]
        await asyncio.gather(
            *(self._start_entry(f"entry-{n}", n) for n in range(self.options.entries))
        )

    async def call_operator_api(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        key: str = ADMIN_KEY,
        control: int = 0,
    ) -> Reply:
        """Send a request to the operator API of one control replica."""
        program = self.controls[control]
        headers = (("authorization", f"Bearer {key}"),)
        try:
            port = await program.read_port(f"{program.name}.operators.port")
            connection = await ClientConnection.open(Endpoint(LOOPBACK, port))
            try:
                answer = await connection.ask(method, target, headers, body)
                return Reply(answer.status, msgspec.json.decode(await answer.read()))
            finally:
                connection.close()
        except LinkLost:
            return Reply(0, {})

    async def submit(self, template: str, base: int = 0, extra: str = "") -> Reply:
        """Submit a document of the demo until a replica accepts or rejects it.

        :param base: revision that the document is based on.
        :param extra: text appended to the document.
        """
        service = template.removesuffix(".ini")
        text = render_document(template) + extra
        target = f"/v1/documents/{service}?base={base}&submission={service}-{base}"
        for attempt in range(500):
            control = attempt % len(self.controls)
            reply = await self.call_operator_api(
                "POST", target, text.encode(), control=control
            )
            if reply.status not in (0, 503):
                return reply
            await asyncio.sleep(0.05)
        raise AssertionError(f"no replica accepted {template}: {reply}")

    async def submit_all(self) -> None:
        """Submit both documents and wait until all entry hosts and agents have them."""
        for template in ("mester.ini", "raktar.ini"):
            reply = await self.submit(template)
            assert reply.status == 200, reply
            await self.wait_in_force(reply.value["index"])

    async def wait_serving(self) -> None:
        """Wait until requests through each entry host to both services succeed."""
        for entry in self.entry_endpoints:
            caller = Caller((entry,), CALLER_KEY)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                for service in ("mester", "raktar"):
                    while not await _probe(caller, service):
                        await asyncio.sleep(0.05)
            caller.close()

    async def wait_in_force(self, index: object, control: int = 0) -> None:
        """Wait until all entry hosts and agents have the log up to an index."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                target = f"/v1/in-force?index={index}"
                reply = await self.call_operator_api("GET", target, control=control)
                if reply.value.get("in_force"):
                    return
                await asyncio.sleep(0.05)

    async def clean_up(self) -> None:
        """Terminate all remaining processes and relays."""
        for program in self.programs:
            program.clean_up()
        for relay in self.relays:
            await relay.stop()

    def silence(self) -> None:
        """Permanently stop forwarding on all open relayed connections."""
        for relay in self.relays:
            relay.silence_open()

    def count_executions(self, key: str) -> int:
        """Return the number of executions with an idempotency key, across restarts."""
        return sum(
            1
            for target in self.plains
            for record in target.ledger
            if record.kind is RecordKind.STARTED and record.key == key
        )

    def list_violations(self) -> list[Record]:
        """Return the records of requests aborted by an eviction of their adapter."""
        return [
            record
            for target in self.engines
            for record in target.ledger
            if record.kind is RecordKind.VIOLATION
        ]

    def write(self, name: str, text: str) -> Path:
        """Write a file to the fleet's directory and return its path."""
        path = self.folder / name
        path.write_text(text)
        return path

    def _start_controls(self) -> None:
        names = [f"control-{number}" for number in range(self.options.controls)]
        self.control_ports = [reserve_port() for _ in names]
        pairs = zip(names, self.control_ports, strict=True)
        peers = "\n".join(f"{name} = {LOOPBACK}:{port}" for name, port in pairs)
        for number, name in enumerate(names):
            values = {
                "NAME": name,
                "DOMAIN": DOMAINS[number % len(DOMAINS)],
                "PORT": self.control_ports[number],
                "PEERS": peers,
                "ADMIN_KEY": digest(ADMIN_KEY),
            }
            self.controls.append(self._start_program("control", "control.ini", values))

    async def _start_store(self) -> int:
        self.store = self._make_standin("store", ["store", "--rate", "0"])
        self.store.start()
        return await self.store.read_port("store.port")

    async def _start_engine(self, number: int, store_port: int) -> Target:
        options = [
            *("engine", "--store", f"{LOOPBACK}:{store_port}"),
            *("--slots", str(self.options.slots), "--batch", str(self.options.batch)),
            *("--token-time", str(self.options.token_time)),
            *self.options.engine_options,
        ]
        name = f"engine-{number}"
        return await self._start_target(name, number, "mester", options)

    async def _start_plain(self) -> Target:
        options = ["plain", "--delay", str(self.options.delay)]
        return await self._start_target("plain-0", 0, "raktar", options)

    async def _start_target(
        self, name: str, number: int, service: str, options: list[str]
    ) -> Target:
        port = reserve_port()
        ledger_file = self.folder / f"{name}.ledger"
        options += ["--port", str(port), "--ledger-file", str(ledger_file)]
        program = self._make_standin(name, options)
        program.start()
        await program.read_port(f"{name}.port")
        values = await self._build_host_values(
            f"agent-of-{name}", number, Hop.AGENT_CONTROL
        )
        values |= {
            "TARGET": name,
            "TARGET_PORT": await self._insert_relay(Hop.AGENT_TARGET, port),
            "SERVICE": service,
            "SLOTS": self.options.slots,
            "BATCH": self.options.batch,
        }
        agent = await self._start_agent(f"agent-{options[0]}.ini", values)
        return Target(program, agent, port, ledger_file)

    async def _start_agent(
        self, template: str, values: Mapping[str, object]
    ) -> Program:
        if Hop.ENTRY_AGENT not in self.options.relayed:
            return self._start_program("agent", template, values)
        relay = Relay()
        self.relays.append(relay)
        endpoint = await relay.start()
        agent_section = f"[agent]\nannounce = {endpoint}\n"
        agent = self._start_program("agent", template, values, agent_section)
        port = await agent.read_port(f"{agent.name}.links.port")
        relay.upstream = Endpoint(LOOPBACK, port)
        return agent

    async def _start_entry(self, name: str, number: int) -> None:
        # The port is fixed, so that callers can reach the entry host after a restart
        port = reserve_port()
        values = await self._build_host_values(name, number, Hop.ENTRY_CONTROL)
        program = self._start_program(
            "entry", "entry.ini", values | {"HTTP_PORT": port}
        )
        self.entries.append(program)
        self.entry_ports.append(port)
        await program.read_port(f"{name}.http.port")

    async def _build_host_values(
        self, name: str, number: int, hop: Hop
    ) -> dict[str, object]:
        ports = [await self._insert_relay(hop, port) for port in self.control_ports]
        replicas = ", ".join(f"{LOOPBACK}:{port}" for port in ports)
        domain = DOMAINS[number % len(DOMAINS)]
        return {"NAME": name, "DOMAIN": domain, "REPLICAS": replicas}

    async def _insert_relay(self, hop: Hop, port: int) -> int:
        if hop not in self.options.relayed:
            return port
        relay = Relay()
        relay.upstream = Endpoint(LOOPBACK, port)
        self.relays.append(relay)
        return (await relay.start()).port

    def _start_program(
        self,
        kind: str,
        template: str,
        values: Mapping[str, object],
        section: str | None = None,
    ) -> Program:
        name = str(values["NAME"])
        text = render(template, values)
        if section is not None:
            header = section.partition("\n")[0]
            text = text.replace(f"{header}\n", section, 1)
        settings = self.write(f"{name}.ini", text)
        program = Program(name, f"ibishead.{kind}.main", [str(settings)], self.folder)
        self.programs.append(program)
        program.start()
        return program

    def _make_standin(self, name: str, options: list[str]) -> Program:
        port_file = self.folder / f"{name}.port"
        arguments = [*options, "--port-file", str(port_file)]
        program = Program(name, "ibishead.standin.main", arguments, self.folder)
        # Added before the start, so that clean_up() also terminates it if the start of
        # the fleet fails
        self.programs.append(program)
        return program


async def _probe(caller: Caller, service: str) -> bool:
    plain = service == "raktar"
    mix = Mix(
        service,
        () if plain else ("alfold@v1",),
        1,
        streams=0.0,
        max_tokens=1,
        plain_service=service,
        plain_path="/stock",
        seed=0,
    )
    [call] = plan_calls(mix)
    return (await caller.call(call)).verdict is Verdict.WHOLE
