"""Three control processes on loopback that are killed, frozen and restarted."""

import asyncio
import contextlib
import json
import shutil
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from tests.processes.programs import LOOPBACK, Program, reserve_port

from ibishead.errors import LinkLost, Unavailable
from ibishead.ids import HostId
from ibishead.links import Endpoint
from ibishead.messages import ClaimState, Hello, Outcome, Role
from ibishead.subscription import Subscription
from ibishead.webclient import ClientConnection

from .running import CLOCK, poll, wait_for
from .support import make_claim, make_registration, make_settlement, write_document

NAMES = ("c1", "c2", "c3")

SETTINGS = """
[control]
replica = {name}
host = control-{name}
failure_domain = szeged-a
data = {name}.data
repair_after = {repair_after}
[links]
address = 127.0.0.1
port = {links}
[operators]
address = 127.0.0.1
port = {operators}
[peers]
{peers}
[spares]
{spares}
"""

#: Seconds for which a leader is frozen, longer than any lease.
FREEZE = 6.0


@dataclass(frozen=True)
class Reply:
    """Answer to an operator's request; status 0 if the connection was lost."""

    status: int
    value: dict


class Trio:
    """Three control programs, optionally with spares, and their addresses."""

    def __init__(
        self, folder, spares: tuple[str, ...] = (), repair_after: str = "5 min"
    ) -> None:
        names = NAMES + spares
        self.folder = folder
        self.links = {name: Endpoint(LOOPBACK, reserve_port()) for name in names}
        self.operators = {name: Endpoint(LOOPBACK, reserve_port()) for name in names}
        self.programs: dict[str, Program] = {}
        for name in names:
            path = folder / f"{name}.ini"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    links=self.links[name].port,
                    operators=self.operators[name].port,
                    repair_after=repair_after,
                    peers=self._list_links(NAMES),
                    spares=self._list_links(spares),
                )
            )
            module = "ibishead.control.main"
            self.programs[name] = Program(name, module, [str(path)], folder)

    def _list_links(self, names: tuple[str, ...]) -> str:
        return "\n".join(f"{name} = {self.links[name]}" for name in names)

    async def ask(self, name: str, method: str, target: str, body=b"") -> Reply:
        try:
            connection = await ClientConnection.open(self.operators[name])
            try:
                async with asyncio.timeout(10.0):
                    answer = await connection.ask(method, target, (), body)
                    data = await answer.read()
            finally:
                connection.close()
        except (LinkLost, TimeoutError):
            return Reply(0, {})
        return Reply(answer.status, json.loads(data))

    async def submit(
        self, name: str, submission: str, base: int, service: str = "raktar"
    ) -> Reply:
        weight = base % 100 / 100
        text = write_document(service, stall_weight=weight)
        target = f"/v1/documents/{service}?base={base}&submission={submission}"
        return await self.ask(name, "POST", target, text.encode())

    async def submit_reliably(
        self, submission: str, base: int, service: str = "raktar", start: int = 0
    ) -> Reply:
        """Submit, and repeat at one replica after the other until one answers."""
        attempt = start
        async for _ in poll(0.05):
            name = NAMES[attempt % len(NAMES)]
            reply = await self.submit(name, submission, base, service)
            if reply.status in (200, 409):
                return reply
            attempt += 1
        raise AssertionError("unreachable")

    async def find_leader(self, among: tuple[str, ...] = NAMES) -> str:
        async for _ in poll(0.05):
            for name in among:
                reply = await self.ask(name, "GET", "/v1/status")
                leader = reply.value.get("leader", "").partition(".")[0]
                if leader in among:
                    return leader
        raise AssertionError("unreachable")

    async def wait_ready(self, name: str) -> None:
        async for _ in poll(0.05):
            assert self.programs[name].running, self.programs[name].log
            try:
                connection = await ClientConnection.open(self.operators[name])
                answer = await connection.ask("GET", "/readyz")
                connection.close()
                if answer.status == 200:
                    return
            except LinkLost:
                pass

    async def read_history(self, name: str, service: str = "raktar") -> list[str]:
        target = f"/v1/documents/{service}/history"
        async for _ in poll(0.05):
            reply = await self.ask(name, "GET", target)
            if reply.status == 200:
                return [change["submission"] for change in reply.value["changes"]]
        raise AssertionError("unreachable")

    def follow(self) -> "Watcher":
        return Watcher(list(self.links.values()))


class Watcher:
    """An entry host's subscription that records each revision it receives."""

    def __init__(self, replicas: list[Endpoint]) -> None:
        hello = Hello(Role.ENTRY, HostId("e1"))
        self.revisions: list[int] = []
        self.subscription = Subscription(
            replicas, lambda: hello, CLOCK, on_change=self.note
        )
        self.subscription.start()

    def note(self) -> None:
        held = self.subscription.catalog.find_document("raktar")
        if held is not None:
            self.revisions.append(held.record.revision)

    async def wait_revision(self, revision: int) -> None:
        await wait_for(lambda: bool(self.revisions) and self.revisions[-1] >= revision)


@pytest.fixture
async def trio(tmp_path) -> AsyncIterator[Trio]:
    trio = Trio(tmp_path)
    for program in trio.programs.values():
        program.start()
    for name in NAMES:
        await trio.wait_ready(name)
    yield trio
    for program in trio.programs.values():
        program.clean_up()


async def test_leader_is_killed_while_operators_submit(trio):
    """Guards against lost or repeated changes when leaders are killed.

    Operators submit without pause, and repeat submissions that got no answer.
    """
    watcher = trio.follow()
    accepted: list[str] = []
    killed = 0
    while len(accepted) < 60 or killed < 2:
        number = len(accepted)
        submission = f"s{number}"
        pending = asyncio.create_task(
            trio.submit_reliably(submission, number, start=number)
        )
        if number in (15, 35) and killed < 2:
            leader = await trio.find_leader()
            trio.programs[leader].kill()
            killed += 1
        reply = await pending
        assert (reply.status, reply.value["revision"]) == (200, number + 1)
        accepted.append(submission)
        if number in (30, 50):
            for program in trio.programs.values():
                if not program.running:
                    program.start()
    for name in NAMES:
        await trio.wait_ready(name)
        assert await trio.read_history(name) == accepted
    await watcher.wait_revision(len(accepted))
    assert watcher.revisions == sorted(watcher.revisions)
    again = await trio.submit("c2", "s3", 3)
    assert (again.status, again.value["revision"]) == (200, 4)
    await watcher.subscription.stop()


async def test_all_restart_after_hundreds_of_changes(trio):
    """Guards against lost changes after a restart of all replicas from snapshots."""
    services = [f"service-{number}" for number in range(8)]
    count = 140

    async def change(service: str) -> None:
        for base in range(count):
            reply = await trio.submit_reliably(f"{service}-{base}", base, service)
            assert reply.value["revision"] == base + 1

    await asyncio.gather(*map(change, services))
    for program in trio.programs.values():
        program.kill()
    for program in trio.programs.values():
        program.start()
    first = await trio.submit_reliably("service-0-0", 0, "service-0")
    assert (first.status, first.value["revision"]) == (200, 1)
    for service in services:
        expected = [f"{service}-{base}" for base in range(count)]
        for name in NAMES:
            assert await trio.read_history(name, service) == expected


async def test_frozen_leader_neither_accepts_nor_serves_old_state(trio):
    """Guards against outdated answers of a former leader.

    It is frozen while the others elect a new leader, which accepts a change.
    """
    await trio.submit_reliably("s0", 0)
    old = await trio.find_leader()
    others = tuple(name for name in NAMES if name != old)
    trio.programs[old].suspend()
    reads = [
        asyncio.create_task(trio.ask(old, "GET", "/v1/documents/raktar"))
        for _ in range(5)
    ]
    late = asyncio.create_task(trio.submit(old, "late", 1))
    leader = await trio.find_leader(others)
    async for _ in poll():
        reply = await trio.submit(leader, "s1", 1)
        if reply.status == 200:
            break
        assert reply.status == 503
    await asyncio.sleep(FREEZE - 4.0)
    trio.programs[old].resume()
    for read in reads:
        reply = await read
        assert reply.status != 200 or reply.value["revision"] == 2
    assert (await late).status != 200
    assert await trio.read_history(old) == ["s0", "s1"]


def follow(
    trio: Trio, role: Role, host: str, first: int, connected=None
) -> Subscription:
    """Start a subscription to the replicas, beginning with one of them."""
    hello = Hello(role, HostId(host))
    subscription = Subscription(
        list(trio.links.values()),
        lambda: hello,
        CLOCK,
        start_at=first,
        on_connect=connected,
    )
    subscription.start()
    return subscription


def start_agent(trio: Trio, first: int) -> tuple[Subscription, asyncio.Queue]:
    """Start an agent's subscription, which registers again on each connection."""
    registrations: asyncio.Queue = asyncio.Queue()
    tasks = set()

    async def register() -> None:
        registrations.put_nowait(await agent.register(make_registration("n1").request))

    async def connected() -> None:
        tasks.add(asyncio.create_task(register()))

    agent = follow(trio, Role.AGENT, "a1", first, connected)
    return agent, registrations


async def test_claims_of_several_entries_while_the_leader_is_killed(trio):
    """Guards against a claim that is granted twice.

    A caller retries an order through three entries at once; the leader is killed.
    """
    leader = await trio.find_leader()
    agent, registrations = start_agent(trio, NAMES.index(leader))
    registration = await registrations.get()
    entries = [follow(trio, Role.ENTRY, f"e{n}", n) for n in range(3)]
    for entry in entries:
        await wait_for(entry.is_current)

    async def claim(number: int, key: str):
        ask = make_claim(f"r{number}", registration.incarnation, key).request
        async for _ in poll():
            with contextlib.suppress(Unavailable):
                return await entries[number].claim(ask, 5.0)
        raise AssertionError("unreachable")

    for attempt in range(12):
        key = f"order-{attempt}"
        requests = [asyncio.create_task(claim(number, key)) for number in range(3)]
        if attempt == 4:
            trio.programs[leader].kill()
        answers = await asyncio.gather(*requests)
        granted = [a for a in answers if a.state is ClaimState.GRANTED]
        assert len(granted) == 1
        assert {a.holder for a in answers} == {granted[0].holder}
        outcome = make_settlement(granted[0].holder, Outcome.COMPLETED, key=key)
        async for _ in poll():
            with contextlib.suppress(Unavailable):
                await agent.resolve(outcome.resolve, 5.0)
                break
        for number, entry in enumerate(entries):
            later = await claim(number, key)
            assert (later.state, later.answer_body) == (ClaimState.COMPLETED, b"issued")
            assert entry.is_current() or NAMES[number] == leader
    assert await registrations.get() == registration
    for subscription in (agent, *entries):
        await subscription.stop()


async def test_planned_stop_of_the_leader(trio):
    """Guards against an outage for operators when the platform stops the leader.

    The program must also exit cleanly.
    """
    await trio.submit_reliably("s0", 0)
    old = await trio.find_leader()
    others = tuple(name for name in NAMES if name != old)
    stop = asyncio.create_task(trio.programs[old].stop())
    for number in range(1, 20):
        target = others[number % 2]
        async for _ in poll():
            reply = await trio.submit(target, f"s{number}", number)
            if reply.status != 503:
                break
        assert (reply.status, reply.value["revision"]) == (200, number + 1)
    assert await stop == 0
    assert await trio.find_leader(others) != old


async def test_change_is_in_force_although_a_replica_is_dead(trio):
    """Guards against a change that never comes in force.

    A replica is killed that may have an entry host linked to it.
    """
    watcher = trio.follow()
    old = await trio.find_leader()
    others = [name for name in NAMES if name != old]
    trio.programs[others[1]].kill()
    reply = await trio.submit_reliably("s0", 0)
    path = f"/v1/in-force?index={reply.value['index']}"
    async for _ in poll(0.05):
        if (await trio.ask(old, "GET", path)).value.get("in_force"):
            break
    await watcher.wait_revision(1)
    await watcher.subscription.stop()


async def test_lost_disk_is_replaced_before_the_next_host_is_lost(trio):
    """Guards against lost changes by two failures in succession.

    A host loses its disk and its replica is replaced; then another host is lost.
    """
    accepted = [f"s{number}" for number in range(10)]
    for number, submission in enumerate(accepted):
        await trio.submit_reliably(submission, number)
    leader = await trio.find_leader()
    lost, other = (name for name in NAMES if name != leader)
    trio.programs[lost].kill()
    shutil.rmtree(trio.folder / f"{lost}.data")
    trio.programs[lost].start()
    body = json.dumps({"lost": lost, "host": lost}).encode()
    target = "/v1/replicas/replace"
    async for _ in poll(0.05):
        reply = await trio.ask(leader, "POST", target, body)
        if reply.status == 200:
            break
        assert reply.status in (0, 503), reply
    status = await trio.ask(leader, "GET", "/v1/status")
    assert len(status.value["voters"]) == 3
    assert reply.value["replica"] in status.value["voters"]
    trio.programs[other].kill()
    assert await trio.read_history(lost) == accepted
    reply = await trio.submit_reliably("after", len(accepted))
    assert reply.value["revision"] == len(accepted) + 1


async def test_automatic_repair_before_the_next_host_is_lost(tmp_path):
    """Guards against lost changes when two hosts are lost within hours.

    A spare replaces the first one without an operator.
    """
    trio = Trio(tmp_path, spares=("c4",), repair_after="2 s")
    try:
        for program in trio.programs.values():
            program.start()
        accepted = [f"s{number}" for number in range(5)]
        for number, submission in enumerate(accepted):
            await trio.submit_reliably(submission, number)
        leader = await trio.find_leader()
        first, second = (name for name in NAMES if name != leader)
        trio.programs[first].kill()
        async for _ in poll(0.05):
            status = await trio.ask(leader, "GET", "/v1/status")
            voters = {v.partition(".")[0] for v in status.value.get("voters", ())}
            if voters == {leader, second, "c4"}:
                break
        trio.programs[second].kill()
        reply = await trio.submit_reliably("after", len(accepted))
        assert reply.value["revision"] == len(accepted) + 1
        assert await trio.read_history("c4") == [*accepted, "after"]
    finally:
        for program in trio.programs.values():
            program.clean_up()
