"""Slopes for docs/CAPACITY.md: what one adapter, target or idle link costs a role.

Run with ``python -m benchmarks.bench_capacity``; it prints JSON. Each slope is the
difference between two states of the same processes, divided by what was added.
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

#: Seconds for which idle processes are watched.
WATCH = 5.0

#: Seconds between an agent's reports, to entries and to control.
REPORT_INTERVAL = 1.0

CLOCK = SystemClock()


class Slope(msgspec.Struct):
    """What one more of something costs a process.

    :param bytes: of resident memory.
    :param core_share: of one core, while idle.
    """

    bytes: float
    core_share: float


class Traffic(msgspec.Struct):
    """Bytes a second on one idle link, each way."""

    to_peer: float
    from_peer: float


class Report(msgspec.Struct):
    """All slopes, by role, and the resident bytes that each role starts from."""

    empty_bytes: dict[str, int]
    idle_core_share: dict[str, float]
    per_adapter: dict[str, Slope]
    per_target: dict[str, Slope]
    per_link_of_agent: Slope
    control_link: Traffic
    agent_link: Traffic


@dataclass(frozen=True)
class _State:
    memory: dict[str, int]
    core_share: dict[str, float]


@dataclass
class _Agents:
    """Agents without targets, all behind one link server of this process."""

    control: Endpoint
    to_control: list[Link] = field(default_factory=list)
    from_entries: list[Link] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, count: int) -> None:
        """Register, and return once an entry has linked to each."""
        server = LinkServer(self._serve, _greet, CLOCK)
        endpoint = await server.start(Endpoint(LOOPBACK, 0))
        for number in range(count):
            await self._register(number, endpoint)
        await wait_until(
            "the entry has linked to all", lambda: len(self.from_entries) >= count
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
    """Return what one adapter in a document costs each role."""
    before = await _watch(fleet)
    names = "".join(f"net-{n:05d} = v1\n" for n in range(ADAPTERS))
    text = (await fleet.call_operator_api("GET", "/v1/documents/mester")).value["text"]
    document = str(text).replace("[adapters]\n", f"[adapters]\n{names}", 1)
    target = "/v1/documents/mester?base=1&submission=many"
    reply = await fleet.call_operator_api("POST", target, document.encode())
    if reply.status != 200:
        raise SystemExit(f"the document was refused: {reply}")
    await fleet.wait_in_force(reply.value["index"])
    return _compare(before, await _watch(fleet), ADAPTERS)


async def measure_targets(fleet: Fleet) -> tuple[dict[str, Slope], Traffic, Traffic]:
    """Return what one target costs each role, and the traffic of its two links."""
    before = await _watch(fleet)
    agents = _Agents(Endpoint(LOOPBACK, fleet.control_ports[0]))
    await agents.start(TARGETS)
    begin = time.monotonic(), _count(agents.to_control), _count(agents.from_entries)
    after = await _watch(fleet)
    seconds = time.monotonic() - begin[0]
    traffic = [
        Traffic(
            (now[0] - then[0]) / seconds / TARGETS,
            (now[1] - then[1]) / seconds / TARGETS,
        )
        for then, now in (
            (begin[1], _count(agents.to_control)),
            (begin[2], _count(agents.from_entries)),
        )
    ]
    for task in agents.tasks:
        task.cancel()
    for link in agents.to_control + agents.from_entries:
        await link.close()
    return _compare(before, after, TARGETS), traffic[0], traffic[1]


async def measure_links(fleet: Fleet) -> Slope:
    """Return what one idle link of an entry costs an agent."""
    before = await _watch(fleet)
    agent = fleet.engines[0].agent
    port = await agent.read_port(f"{agent.name}.links.port")
    tasks = []
    for number in range(LINKS):
        hello = Hello(Role.ENTRY, HostId(f"bench-entry-{number}"))
        link = await dial(Endpoint(LOOPBACK, port), hello, CLOCK)
        tasks.append(asyncio.create_task(_drain(link.receive())))
    after = await _watch(fleet)
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
        await asyncio.sleep(REPORT_INTERVAL)


async def _report_load(link: Link) -> None:
    report = LoadReport(TargetId("bench"), 0, 0, 8, 8, tuple(range(8)), (), 0.5)
    while not link.closed:
        link.send(report)
        await asyncio.sleep(REPORT_INTERVAL)


def _greet() -> Hello:
    return Hello(Role.AGENT, HostId("bench"), Incarnation(0))


def _count(links: list[Link]) -> tuple[int, int]:
    sent = sum(link.sent_bytes for link in links)
    return sent, sum(link.received_bytes for link in links)


async def _watch(fleet: Fleet) -> _State:
    programs: dict[str, Program] = {
        "entry": fleet.entries[0],
        "agent": fleet.engines[0].agent,
        "control": fleet.controls[0],
    }
    pids = {role: program.pid for role, program in programs.items()}
    before = {role: read_cpu(pid) for role, pid in pids.items()}
    await asyncio.sleep(WATCH)
    return _State(
        {role: read_memory(pid) for role, pid in pids.items()},
        {role: (read_cpu(pid) - before[role]) / WATCH for role, pid in pids.items()},
    )


def _compare(before: _State, after: _State, count: int) -> dict[str, Slope]:
    return {
        role: Slope(
            (after.memory[role] - before.memory[role]) / count,
            (after.core_share[role] - before.core_share[role]) / count,
        )
        for role in before.memory
    }


async def measure(folder: Path) -> Report:
    """Measure everything."""
    fleet = Fleet(folder, FleetOptions(entries=1, engines=1))
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        empty = await _watch(fleet)
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
    """Measure and print."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())


if __name__ == "__main__":
    main()
