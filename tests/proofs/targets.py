"""Simulated targets with ledgers, which replace `agent.target.TargetClient`."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import msgspec

from ibishead.agent.slots import AdapterKey, make_lora_name
from ibishead.agent.target import EngineSample, TargetRestarted
from ibishead.errors import LinkLost, Unavailable
from ibishead.headers import find_header
from ibishead.ids import BootId
from ibishead.webclient import ClientAnswer

__all__ = ["FakeEngine", "FakePlain", "Run"]

#: Duration of one step of a target.
STEP_SECONDS = 0.05

#: Tokens in each response.
TOKEN_COUNT = 6

#: Time for which an engine continues a request after its client has disconnected.
CANCEL_DELAY_SECONDS = 0.4


@dataclass
class Run:
    """One execution of a request by a target.

    :param request: request id.
    :param key: idempotency key.
    :param started_at: loop time of the start, in seconds.
    :param served: adapter that produced the response.
    """

    request: str
    key: str
    started_at: float
    served: str = ""
    finished: bool = False


@dataclass
class FakeTarget:
    """Base of the simulated engines and plain services.

    :ivar boot: number of the current boot, from 1.
    :ivar runs: ledger of all executions, kept across boots.
    :ivar violations: adapters that were unloaded while in use.
    :ivar frozen_until: loop time until which the target does not respond.
    """

    boot: int = 1
    runs: list[Run] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    frozen_until: float = 0.0

    def restart(self) -> None:
        """Restart with a new boot; only the ledger is kept."""
        self.boot += 1

    def freeze(self, seconds: float) -> None:
        """Stop responding for a number of seconds."""
        self.frozen_until = asyncio.get_running_loop().time() + seconds

    def close(self) -> None:
        """Do nothing, as there are no connections to close."""

    async def check_reachable(self) -> None:
        await self._step(self.boot)

    @contextlib.asynccontextmanager
    async def acquire_connection(self, boot, fresh=False):
        actual = self.boot
        await self._step(actual)
        if boot is not None and boot != BootId(str(actual)):
            raise TargetRestarted("restarted", "none")
        connection = _Connection(self, actual)
        try:
            yield connection
        finally:
            connection.open = False

    async def _step(self, boot: int, seconds: float = STEP_SECONDS) -> None:
        await asyncio.sleep(seconds)
        wait = self.frozen_until - asyncio.get_running_loop().time()
        if wait > 0:
            await asyncio.sleep(wait)
        if boot != self.boot:
            raise LinkLost("the target restarted", "none")

    def _begin(self, headers) -> Run:
        run = Run(
            find_header(headers, "x-request-id") or "",
            find_header(headers, "idempotency-key") or "",
            asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        return run


@dataclass
class _Connection:
    target: "FakeTarget"
    boot: int
    open: bool = True

    async def ask(self, method, path, headers=(), body=b""):
        await self.target._step(self.boot)
        return await self.target.answer(self, headers, body)


class FakePlain(FakeTarget):
    """Plain service that executes every request and echoes its body."""

    async def answer(self, connection, headers, body):
        run = self._begin(headers)
        await self._step(connection.boot)
        run.finished = True

        async def chunks():
            yield b"ran " + body

        return ClientAnswer(200, (("content-type", "text/plain"),), chunks())


class FakeEngine(FakeTarget):
    """Engine with adapter slots that are empty after each boot.

    :ivar loads_fail: whether loads fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loads_fail = False
        self._resident: set[str] = set()
        self._active: list[tuple[Run, str]] = []

    def restart(self) -> None:
        super().restart()
        self._resident.clear()
        self._active.clear()

    async def sample(self) -> EngineSample:
        await self._step(self.boot)
        busy = {_parse(name) for _, name in self._active}
        return EngineSample(BootId(str(self.boot)), len(busy), 0, frozenset(busy))

    async def list_adapters(self, boot):
        await self._step(self.boot)
        self._check_boot(boot)
        return [_parse(name) for name in sorted(self._resident)]

    async def load(self, key, source, boot, incarnation) -> None:
        self._check_boot(boot)
        await self._step(self.boot, 0.25)
        if self.loads_fail:
            raise Unavailable("load failed", "none")
        self._resident.add(make_lora_name(key))

    async def unload(self, key, boot, incarnation) -> None:
        self._check_boot(boot)
        name = make_lora_name(key)
        if any(served == name for _, served in self._active):
            self.violations.append(name)
        self._resident.discard(name)
        await self._step(self.boot)

    async def answer(self, connection, headers, body):
        asked = msgspec.json.decode(body)
        name = asked["model"]
        if name not in self._resident:
            return ClientAnswer(404, (), _iterate([b"no such model"]))
        run = self._begin(headers)
        run.served = name
        active = (run, name)
        self._active.append(active)
        kind = "text/event-stream" if asked.get("stream") else "application/json"
        pieces = self._generate(connection, active, asked)
        if not asked.get("stream"):
            pieces = _join_events(pieces, name)
        return ClientAnswer(200, (("content-type", kind),), pieces)

    async def _generate(self, connection, active, asked):
        run, name = active
        boot = connection.boot
        try:
            for number in range(TOKEN_COUNT):
                await self._step(boot)
                token = f"{name}:{asked['prompt']}:{number}"
                event = msgspec.json.encode({"model": name, "text": token})
                yield b"data: " + event + b"\n\n"
            run.finished = True
            yield b"data: [DONE]\n\n"
        finally:
            # An engine continues for some time after its client has disconnected
            if run.finished:
                self._end(active)
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(CANCEL_DELAY_SECONDS, self._end, active)

    def _end(self, active) -> None:
        if active in self._active:
            self._active.remove(active)

    def _check_boot(self, boot) -> None:
        if boot != BootId(str(self.boot)):
            raise TargetRestarted("restarted", "none")


def _parse(name: str) -> AdapterKey:
    adapter, _, version = name.partition("@")
    return AdapterKey(adapter, version)


async def _iterate(pieces):
    for piece in pieces:
        yield piece


async def _join_events(pieces, name):
    events = [piece async for piece in pieces]
    texts = [
        msgspec.json.decode(event[len(b"data: ") :])["text"] for event in events[:-1]
    ]
    yield msgspec.json.encode({"model": name, "text": " ".join(texts)})
