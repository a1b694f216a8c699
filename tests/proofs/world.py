"""Fleet in one event loop: real entry hosts, agents and control, simulated links."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from pathlib import Path

import h11
import msgspec
from tests.control.lone import LoneReplica
from tests.proofs.network import FakeNetwork
from tests.proofs.targets import TOKEN_COUNT, FakeEngine, FakePlain, FakeTarget
from tests.proofs.virtual import LoopClock

from ibishead.agent.agent import Agent
from ibishead.control.commands import (
    Accepted,
    DrainTarget,
    RetireTarget,
    SubmitDocument,
    decode_result,
    encode_command,
)
from ibishead.control.granting import PermitService
from ibishead.control.publish import Publisher
from ibishead.control.service import ControlService
from ibishead.control.state import ControlState
from ibishead.entry.host import EntryHost
from ibishead.errors import IbisheadError
from ibishead.headers import find_header
from ibishead.ids import FailureDomain, HostId, ReplicaId, ServiceName, TargetId
from ibishead.links import Endpoint
from ibishead.messages import Hello, Outcome, Role, TargetKind
from ibishead.settings import AgentSettings, EntrySettings, ListenSettings
from ibishead.web import Exchange, WebRequest

__all__ = ["Call", "World"]

CONTROL = Endpoint("127.0.0.1", 1)
CONTROL_HOST = HostId("control")
DOMAIN = FailureDomain("szeged-a")
UNUSED_LISTENER = ListenSettings(Endpoint("127.0.0.1", 9))
ADAPTERS = ("tisza", "balaton", "alfold")

ENGINE_TEXT = """
[service]
name = mester
team = halo
kind = engine
model = base
default_class = plan
adapter_source = store/{adapter}/{version}
[class:plan]
priority = 5
deadline = 20 s
idempotent = yes
[adapters]
"""

PLAIN_TEXT = """
[service]
name = raktar
team = halo
kind = plain
default_class = issue
[class:issue]
priority = 9
deadline = 20 s
idempotent = no
"""


@dataclass
class Call:
    """One call and the response that its caller received.

    :param sent: loop time at which the call was sent, in seconds.
    :param ended: whether the response is complete.
    :param answered: loop time at which the response was complete, in seconds.
    :param aborted: whether the connection was closed before the response was complete.
    :param disconnected: whether the caller disconnected.
    """

    model: str
    prompt: str
    key: str
    sent: float
    exchange: Exchange | None = None
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    ended: bool = False
    answered: float = 0.0
    aborted: bool = False
    disconnected: bool = False
    task: asyncio.Task[None] | None = None

    async def send(self, *events: h11.Event) -> None:
        """Receive the events that the entry host writes to the connection."""
        for event in events:
            self._receive(event)

    def _receive(self, event: h11.Event) -> None:
        match event:
            case h11.Response():
                self.status = event.status_code
                self.headers = tuple((k.decode(), v.decode()) for k, v in event.headers)
            case h11.Data():
                self.body += event.data
            case h11.EndOfMessage():
                self.ended = True
                self.answered = asyncio.get_running_loop().time()

    def abort(self) -> None:
        """Record that the connection was closed early."""
        self.aborted = True

    @property
    def outcome(self) -> Outcome | None:
        """Outcome reported to the caller; `None` without a response."""
        reported = find_header(self.headers, "x-ibishead-outcome")
        if reported is not None:
            return Outcome(reported)
        if self.ended and self.body.endswith(b"data: [DONE]\n\n"):
            return Outcome.COMPLETED
        return Outcome.UNKNOWN if self.status else None

    @property
    def request(self) -> str:
        """Request id, as received by the targets."""
        return find_header(self.headers, "x-ibishead-request") or ""


@dataclass
class TargetNode:
    """A target and its agent, if one is running."""

    target: TargetId
    fake: FakeTarget
    settings: AgentSettings
    agent: Agent | None = None
    endpoint: Endpoint | None = None
    stopping: asyncio.Task[None] | None = None


@dataclass
class World:
    """Two entry hosts, some engines, two plain services and control."""

    seed: int = 1
    engines: int = 2
    network: FakeNetwork = field(default_factory=FakeNetwork)
    calls: list[Call] = field(default_factory=list)
    nodes: list[TargetNode] = field(default_factory=list)
    entries: list[EntryHost | None] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._ports = itertools.count(100)
        self._submissions = itertools.count(1)
        self._revisions = {"mester": 0, "raktar": 0}
        self._clock = LoopClock()
        self._random = random.Random(self.seed)

    async def start(self) -> None:
        """Start all programs and wait until they have found every target."""
        self._start_control()
        self.submit("mester")
        self.submit("raktar")
        for number in range(self.engines):
            await self._add_target(f"engine-{number}", "mester", FakeEngine())
        for number in range(2):
            await self._add_target(f"plain-{number}", "raktar", FakePlain())
        for number in range(2):
            self.entries.append(None)
            self.start_entry(number)
        await asyncio.sleep(3.0)

    def submit(self, service: str, version: int = 1, protected: bool = False) -> None:
        """Submit and accept the next revision of a document.

        :param version: highest adapter version in the document.
        :param protected: declare requests of class `plan` as non-idempotent.
        """
        lines = [
            f"{a} = {' '.join(str(v + 1) for v in range(version))}" for a in ADAPTERS
        ]
        text = ENGINE_TEXT + "\n".join(lines) if service == "mester" else PLAIN_TEXT
        if protected:
            text = text.replace("idempotent = yes", "idempotent = no")
        command = SubmitDocument(
            ServiceName(service),
            "halo",
            self._revisions[service],
            f"s{next(self._submissions)}",
            text,
            "kata",
            0.0,
        )
        result = decode_result(self._machine.apply_next(encode_command(command)))
        assert isinstance(result, Accepted), result
        self._revisions[service] += 1

    def drain(self, node: TargetNode) -> None:
        """Drain a target, as an operator does."""
        self._machine.apply_next(encode_command(DrainTarget(node.target)))

    def retire(self, node: TargetNode) -> None:
        """Make control retire a target, whether or not its agent has failed."""
        member = self.state.targets.members.get(node.target)
        if member is not None:
            command = RetireTarget(
                node.target, member.record.incarnation, member.attachment
            )
            self._machine.apply_next(encode_command(command))

    def start_entry(self, number: int) -> None:
        """Start an entry host without any earlier state."""
        settings = EntrySettings(
            HostId(f"entry-{number}"),
            DOMAIN,
            UNUSED_LISTENER,
            UNUSED_LISTENER,
            (CONTROL,),
        )
        host = EntryHost(
            settings,
            self._clock,
            random.Random(self._random.random()),
            self.network.dial,
        )
        host.start()
        self.entries[number] = host

    async def kill_entry(self, number: int) -> None:
        """Kill an entry host together with its calls, and start it again."""
        host = self.entries[number]
        for call in self.calls:
            if call.exchange is not None and call.host is host and not call.task.done():
                call.task.cancel()
                call.aborted = True
        self.network.drop_host(HostId(f"entry-{number}"))
        await host.stop()
        self.start_entry(number)

    async def restart_agent(self, node: TargetNode) -> None:
        """Kill an agent together with its requests, and start it again."""
        if node.agent is None or node.stopping is not None:
            return
        self.network.remove(node.endpoint)
        agent, node.agent = node.agent, None
        self.network.drop_host(node.settings.host)
        await agent.stop()
        await self._start_agent(node)

    def stop_agent(self, node: TargetNode) -> None:
        """Start a planned stop of an agent, as SIGTERM does."""
        if node.agent is not None and node.stopping is None:
            node.stopping = asyncio.create_task(self._stop_agent(node))

    def call_model(
        self, entry: int, adapter: str, version: str, stream: bool, **more: object
    ) -> Call:
        """Send a model call.

        :param more: further fields of its body.
        """
        prompt = f"p{len(self.calls)}"
        model = f"mester/{adapter}" + (f"@{version}" if version else "")
        body = {"model": model, "prompt": prompt, "stream": stream, **more}
        request = WebRequest(
            "POST", "/v1/completions", "", (), msgspec.json.encode(body)
        )
        return self._send(entry, request, Call(model, prompt, "", self._now()))

    def call_plain(self, entry: int, key: str) -> Call:
        """Send a non-idempotent call; the same key sends it again."""
        headers = (("idempotency-key", key),) if key else ()
        body = f"issue {key}".encode()
        request = WebRequest("POST", "/services/raktar/issue", "", headers, body)
        return self._send(entry, request, Call("", body.decode(), key, self._now()))

    def disconnect(self, call: Call) -> None:
        """Disconnect the caller of a call."""
        call.disconnected = True
        call.exchange.disconnected.set()

    async def wait_answered(self, seconds: float = 60.0) -> None:
        """Wait until the tasks of all calls are done."""
        async with asyncio.timeout(seconds):
            while not all(call.task.done() for call in self.calls):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop all programs."""
        for host in self.entries:
            await host.stop()
        for node in self.nodes:
            if node.stopping is not None:
                node.stopping.cancel()
            if node.agent is not None:
                await node.agent.stop()

    def _now(self) -> float:
        return self._clock.monotonic()

    def _start_control(self) -> None:
        self.state = ControlState()
        self._machine = _Machine(self.state)
        replica = LoneReplica(ReplicaId("c1"), self._machine)
        publisher = Publisher(self.state, replica.lease, self._clock)
        permits = PermitService(self.state, replica, lambda *_: False, self._clock)
        service = ControlService(
            ReplicaId("c1"), self.state, replica, publisher, permits, self._clock
        )
        self.state.on_change = lambda: asyncio.get_running_loop().call_soon(
            publisher.publish
        )
        hello = Hello(Role.CONTROL, CONTROL_HOST)
        self.network.add(CONTROL, CONTROL_HOST, lambda: hello, service.serve)
        self._reviewing = asyncio.create_task(_review(permits))

    async def _add_target(self, name: str, service: str, fake: FakeTarget) -> None:
        is_engine = isinstance(fake, FakeEngine)
        settings = AgentSettings(
            host=HostId(f"agent-{name}"),
            failure_domain=DOMAIN,
            target=TargetId(name),
            service=ServiceName(service),
            kind=TargetKind.ENGINE if is_engine else TargetKind.PLAIN,
            links=UNUSED_LISTENER,
            operators=UNUSED_LISTENER,
            target_endpoint=UNUSED_LISTENER.endpoint,
            control=(CONTROL,),
            lock=Path("unused"),
            slots=2 if is_engine else 0,
            batch=3,
        )
        node = TargetNode(TargetId(name), fake, settings)
        self.nodes.append(node)
        await self._start_agent(node)

    async def _start_agent(self, node: TargetNode) -> None:
        endpoint = Endpoint("127.0.0.1", next(self._ports))
        agent = Agent(
            node.settings, endpoint, node.fake, self._clock, self.network.dial
        )
        node.agent, node.endpoint = agent, endpoint
        self.network.add(endpoint, node.settings.host, agent.make_hello, agent.serve)
        node.starting = asyncio.create_task(agent.start())

    async def _stop_agent(self, node: TargetNode) -> None:
        agent = node.agent
        await agent.drain()
        self.network.remove(node.endpoint)
        await agent.stop()
        self.network.drop_host(node.settings.host)
        node.agent = None

    def _send(self, entry: int, request: WebRequest, call: Call) -> Call:
        host = self.entries[entry]
        call.exchange = Exchange(request, call)
        call.host = host
        call.task = asyncio.create_task(self._answer(host, call))
        self.calls.append(call)
        return call

    async def _answer(self, host: EntryHost, call: Call) -> None:
        try:
            await host.pipeline.handle(call.exchange)
        except IbisheadError as error:
            if not call.exchange.started:
                await call.exchange.respond_error(error)


class _Machine:
    """State machine of the replica; tests can also apply commands to it directly."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._index = 0

    def apply(self, index: int, command: bytes) -> bytes:
        return self.apply_next(command)

    def apply_next(self, command: bytes) -> bytes:
        self._index += 1
        return self._state.apply(self._index, command)


async def _review(permits: PermitService) -> None:
    while True:
        await permits.update_leadership()
        await asyncio.sleep(0.25)


def expect_text(call: Call, version: str) -> str:
    """Return the response text that the correct adapter produces for a call."""
    adapter = call.model.partition("/")[2].partition("@")[0]
    tokens = [f"{adapter}@{version}:{call.prompt}:{n}" for n in range(TOKEN_COUNT)]
    return " ".join(tokens)
