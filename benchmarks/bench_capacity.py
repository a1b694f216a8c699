"""Measures the cost of one adapter, target or idle link by role, for docs/CAPACITY.md.

Run with ``python -m benchmarks.bench_capacity``; it prints JSON. Each slope is the
difference in usage between two states of the same processes, divided by the number of
items added.
"""

import asyncio
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tests.processes.fleet import Fleet, FleetOptions
from tests.processes.programs import LOOPBACK, Program, wait_until

from benchmarks.process_usage import read_cpu, read_memory
from ibishead.clock import SystemClock
from ibishead.ids import FailureDomain, HostId, Incarnation, ServiceName, TargetId
from ibishead.links import Endpoint, Link, LinkServer, dial
from ibishead.messages import (
    AskRegistration,
    Hello,
    LoadReport,
    Registration,
    ReportInForce,
    Role,
    TargetKind,
)

ADAPTERS = 27_000
TARGETS = 200
LINKS = 200

#: Seconds over which the CPU time of idle processes is sampled.
SAMPLE_SECONDS = 5.0

#: Seconds between two reports of an agent, to entry hosts and to control replicas.
REPORT_INTERVAL_SECONDS = 1.0

CLOCK = SystemClock()


class Slope(msgspec.Struct):
    """Marginal cost of one item for a process.

    :ivar bytes: resident memory, in bytes.
    :ivar core_share: share of one core that is used while idle.
    """

    bytes: float
    core_share: float


class Traffic(msgspec.Struct):
    """Bytes per second in each direction of one idle link."""

    to_peer: float
    from_peer: float


class Report(msgspec.Struct):
    """Slopes by role, and the resident bytes and core share of each role when empty."""

    empty_bytes: dict[str, int]
    idle_core_share: dict[str, float]
    per_adapter: dict[str, Slope]
    per_target: dict[str, Slope]
    per_link_of_agent: Slope
    control_link: Traffic
    agent_link: Traffic


@dataclass(frozen=True)
class _Usage:
    memory: dict[str, int]
    core_share: dict[str, float]


@dataclass
class _Agents:
    """Simulated agents that share one link server in this process."""

    control: Endpoint
    to_control: list[Link] = field(default_factory=list)
    from_entries: list[Link] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, count: int) -> None:
        """Register agents and wait until the entry host has a link to each."""
        server = LinkServer(self._serve, _greet, CLOCK)
        endpoint = await server.start(Endpoint(LOOPBACK, 0))
        for number in range(count):
            await self._register(number, endpoint)
        await wait_until(
            "the entry host has a link to each agent",
            lambda: len(self.from_entries) >= count,
        )

    async def _register(self, number: int, endpoint: Endpoint) -> None:
        host = HostId(f"bench-{number}")
        link = await dial(self.control, Hello(Role.AGENT, host), CLOCK)
        self.to_control.append(link)
        link.send(
            AskRegistration(
                f"nonce-{number}",
                TargetId(f"target-{number}"),
                ServiceName("mester"),
                TargetKind.ENGINE,
                host,
                FailureDomain("szeged-a"),
                endpoint.address,
                endpoint.port,
            )
        )
        messages = link.receive()
        async for message in messages:
            if isinstance(message, Registration):
                break
        self.tasks.append(asyncio.create_task(_report_to_control(link, host)))
        self.tasks.append(asyncio.create_task(_drain(messages)))

    async def _serve(self, link: Link) -> None:
        self.from_entries.append(link)
        task = asyncio.create_task(_report_load(link))
        await _drain(link.receive())
        task.cancel()


async def measure_adapters(fleet: Fleet) -> dict[str, Slope]:
    """Return the cost of one adapter in a service document, by role."""
    before = await _sample(fleet)
    names = "".join(f"net-{n:05d} = v1\n" for n in range(ADAPTERS))
    text = (await fleet.call_operator_api("GET", "/v1/documents/mester")).value["text"]
    document = str(text).replace("[adapters]\n", f"[adapters]\n{names}", 1)
    target = "/v1/documents/mester?base=1&submission=many"
    reply = await fleet.call_operator_api("POST", target, document.encode())
    if reply.status != 200:
        raise SystemExit(f"document update failed: {reply}")
    await fleet.wait_in_force(reply.value["index"])
    return _compare(before, await _sample(fleet), ADAPTERS)


async def measure_targets(fleet: Fleet) -> tuple[dict[str, Slope], Traffic, Traffic]:
    """Return the cost of one target by role, and the traffic on its two links."""
    before = await _sample(fleet)
    agents = _Agents(Endpoint(LOOPBACK, fleet.control_ports[0]))
    await agents.start(TARGETS)
    start = (
        time.monotonic(),
        _count_bytes(agents.to_control),
        _count_bytes(agents.from_entries),
    )
    after = await _sample(fleet)
    seconds = time.monotonic() - start[0]
    traffic = [
        Traffic(
            (later[0] - earlier[0]) / seconds / TARGETS,
            (later[1] - earlier[1]) / seconds / TARGETS,
        )
        for earlier, later in (
            (start[1], _count_bytes(agents.to_control)),
            (start[2], _count_bytes(agents.from_entries)),
        )
    ]
    for task in agents.tasks:
        task.cancel()
    for link in agents.to_control + agents.from_entries:
        await link.close()
    return _compare(before, after, TARGETS), traffic[0], traffic[1]


async def measure_links(fleet: Fleet) -> Slope:
    """Return the cost to an agent of one idle link from an entry host."""
    before = await _sample(fleet)
    agent = fleet.engines[0].agent
    port = await agent.read_port(f"{agent.name}.links.port")
    tasks = []
    for number in range(LINKS):
        hello = Hello(Role.ENTRY, HostId(f"bench-entry-{number}"))
        link = await dial(Endpoint(LOOPBACK, port), hello, CLOCK)
        tasks.append(asyncio.create_task(_drain(link.receive())))
    after = await _sample(fleet)
    for task in tasks:
        task.cancel()
    return _compare(before, after, LINKS)["agent"]


async def _drain(messages: object) -> None:
    async for _ in messages:  # type: ignore[attr-defined]
        pass


async def _report_to_control(link: Link, host: HostId) -> None:
    number = 0
    while not link.closed:
        number += 1
        link.send(ReportInForce(host, 0, number))
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)


async def _report_load(link: Link) -> None:
    report = LoadReport(TargetId("bench"), 0, 0, 8, 8, tuple(range(8)), (), 0.5)
    while not link.closed:
        link.send(report)
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)


def _greet() -> Hello:
    return Hello(Role.AGENT, HostId("bench"), Incarnation(0))


def _count_bytes(links: list[Link]) -> tuple[int, int]:
    sent = sum(link.sent_bytes for link in links)
    return sent, sum(link.received_bytes for link in links)


async def _sample(fleet: Fleet) -> _Usage:
    programs: dict[str, Program] = {
        "entry": fleet.entries[0],
        "agent": fleet.engines[0].agent,
        "control": fleet.controls[0],
    }
    pids = {role: program.pid for role, program in programs.items()}
    before = {role: read_cpu(pid) for role, pid in pids.items()}
    await asyncio.sleep(SAMPLE_SECONDS)
    return _Usage(
        {role: read_memory(pid) for role, pid in pids.items()},
        {
            role: (read_cpu(pid) - before[role]) / SAMPLE_SECONDS
            for role, pid in pids.items()
        },
    )


def _compare(before: _Usage, after: _Usage, count: int) -> dict[str, Slope]:
    return {
        role: Slope(
            (after.memory[role] - before.memory[role]) / count,
            (after.core_share[role] - before.core_share[role]) / count,
        )
        for role in before.memory
    }


async def measure(folder: Path) -> Report:
    """Run all measurements.

    :param folder: directory for the files of the programs.
    """
    fleet = Fleet(folder, FleetOptions(entries=1, engines=1))
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        empty = await _sample(fleet)
        links = await measure_links(fleet)
        targets, control_link, agent_link = await measure_targets(fleet)
        adapters = await measure_adapters(fleet)
    finally:
        await fleet.clean_up()
    return Report(
        empty.memory,
        empty.core_share,
        adapters,
        targets,
        links,
        control_link,
        agent_link,
    )


def main() -> None:
    """Run all measurements and print the report as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())


if __name__ == "__main__":
    main()
