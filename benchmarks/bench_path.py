"""CPU time of a request and of a streamed token on the way through the system.

Run with ``python -m benchmarks.bench_path``; it prints JSON and ends with status 1
when a bound is exceeded. The floors are measured in the same run: a bare h11
pass-through of the same request, and one message over websockets with CBOR.
"""

import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
from tests.processes.fleet import Fleet, FleetOptions
from tests.processes.programs import LOOPBACK, Program
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from benchmarks.process_usage import read_cpu
from ibishead.codec import decode_batch, encode_batch
from ibishead.ids import RequestId, Sequence
from ibishead.links import Endpoint
from ibishead.messages import AnswerBody
from ibishead.standin.calls import Call, Mix, Verdict, plan_calls
from ibishead.standin.load import Caller, generate_load

#: Requests of one round, and rounds of each kind, which alternate.
REQUESTS = 1_000
ROUNDS = 4
WORKERS = 8

STREAMS = 100
TOKENS_A_SECOND = 3_200
STREAM_TOKENS = 320

#: Messages whose mean gives the cost of one.
MESSAGES = 10_000

#: Entry and agent together against the pass-through, both as added CPU time.
REQUEST_BOUND = 2.0

#: A streamed token's added CPU time against one websockets message.
TOKEN_BOUND = 1.0

#: Share of a core that an entry may use at the full rate of streams.
ENTRY_SHARE_BOUND = 0.5


class Cost(msgspec.Struct):
    """CPU milliseconds of one request or token, by program."""

    entry: float
    agent: float

    @property
    def both(self) -> float:
        """Entry and agent together."""
        return self.entry + self.agent


class Report(msgspec.Struct):
    """Everything measured, and the bounds that were exceeded."""

    request_ms: Cost
    pass_through_ms: float
    request_ratio: float
    token_ms: Cost
    message_ms: float
    token_ratio: float
    streams: int
    whole_streams: int
    tokens_a_second: float
    entry_share: float
    agent_share: float
    exceeded: list[str]


@dataclass(frozen=True)
class _Streaming:
    cost: Cost
    whole: int
    rate: float
    entry_share: float
    agent_share: float


async def measure_requests(folder: Path) -> tuple[Cost, float]:
    """Return a request's cost by program, and the pass-through's, in milliseconds."""
    fleet = Fleet(folder, FleetOptions(entries=1, engines=1, batch=64, token_time=0.0))
    passing = _make_pass_through(folder)
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        passing = _make_pass_through(folder, fleet.engines[0].port)
        passing.start()
        floor = Endpoint(LOOPBACK, await passing.read_port("pass-through.port"))
        path_caller = fleet.make_caller()
        floor_caller = Caller((floor,))
        pids = {
            "entry": fleet.entries[0].pid,
            "agent": fleet.engines[0].agent.pid,
            "floor": passing.pid,
        }
        used = dict.fromkeys(pids, 0.0)
        for seed in range(ROUNDS + 1):
            before = {name: read_cpu(pid) for name, pid in pids.items()}
            await _call_all(path_caller, "mester", seed)
            await _call_all(floor_caller, "", seed)
            if seed:  # the first round warms connections and the adapter
                for name, pid in pids.items():
                    used[name] += read_cpu(pid) - before[name]
        path_caller.close()
        floor_caller.close()
        scale = 1_000 / (REQUESTS * ROUNDS)
        return Cost(used["entry"] * scale, used["agent"] * scale), used["floor"] * scale
    finally:
        passing.clean_up()
        await fleet.clean_up()


async def measure_streams(folder: Path) -> _Streaming:
    """Return what a token costs at the full rate of streams."""
    # The stand-in's step takes half as long again with a full batch, and its own
    # work for a hundred streams takes about a fifth of the time between two
    token_time = STREAMS / TOKENS_A_SECOND / 1.5 * 0.8
    shape = FleetOptions(entries=1, engines=1, batch=STREAMS, token_time=token_time)
    fleet = Fleet(folder, shape)
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        entry, agent = fleet.entries[0].pid, fleet.engines[0].agent.pid
        caller = fleet.make_caller(timeout=120.0)
        before = read_cpu(entry), read_cpu(agent)
        begin = time.monotonic()
        mix = Mix(
            "mester", ("alfold@v1",), STREAMS, streams=1.0, max_tokens=STREAM_TOKENS
        )
        summary, results = await generate_load(caller, mix, duration=60.0)
        seconds = time.monotonic() - begin
        used = read_cpu(entry) - before[0], read_cpu(agent) - before[1]
        caller.close()
    finally:
        await fleet.clean_up()
    tokens = max(1, summary.tokens)
    return _Streaming(
        Cost(used[0] / tokens * 1_000, used[1] / tokens * 1_000),
        sum(1 for result in results if result.verdict is Verdict.WHOLE),
        tokens / seconds,
        used[0] / seconds,
        used[1] / seconds,
    )


async def measure_message() -> float:
    """Return the CPU milliseconds of one small message, both ends together."""
    received = asyncio.Event()
    message = AnswerBody(RequestId("r" * 32), 1, Sequence(7), b"x" * 200)

    async def take(socket: ServerConnection) -> None:
        for _ in range(MESSAGES):
            decode_batch(await socket.recv(decode=False))
        received.set()

    async with serve(take, LOOPBACK, 0, compression=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        uri = f"ws://{LOOPBACK}:{port}/"
        async with connect(uri, compression=None, proxy=None) as socket:
            begin = time.process_time()
            for _ in range(MESSAGES):
                await socket.send(encode_batch([message]))
            await received.wait()
            return (time.process_time() - begin) / MESSAGES * 1_000


async def _call_all(caller: Caller, service: str, seed: int) -> None:
    mix = Mix(
        service, ("tisza@v1",), REQUESTS, streams=0.0, max_tokens=1, seed=seed + 1
    )
    calls = iter(plan_calls(mix))

    async def work() -> None:
        for call in calls:
            await _call_once(caller, call)

    await asyncio.gather(*(work() for _ in range(WORKERS)))


async def _call_once(caller: Caller, call: Call) -> None:
    result = await caller.call(call)
    if result.verdict is not Verdict.WHOLE:
        raise SystemExit(f"a call failed: {result}")


def _make_pass_through(folder: Path, target_port: int = 0) -> Program:
    arguments = [str(target_port), str(folder / "pass-through.port")]
    return Program("pass-through", "benchmarks.passthrough", arguments, folder)


def _find_exceeded(request: float, token: float, stream: _Streaming) -> list[str]:
    found = []
    if request > REQUEST_BOUND:
        found.append(f"a request costs {request:.2f} times the pass-through")
    if token > TOKEN_BOUND:
        found.append(f"a streamed token costs {token:.2f} messages")
    if stream.entry_share > ENTRY_SHARE_BOUND:
        found.append(f"the entry uses {stream.entry_share:.2f} of a core")
    if stream.whole < STREAMS:
        found.append(f"only {stream.whole} of {STREAMS} streams were whole")
    return found


async def measure(folder: Path) -> Report:
    """Measure everything."""
    for name in ("requests", "streams"):
        (folder / name).mkdir()
    request, floor = await measure_requests(folder / "requests")
    stream = await measure_streams(folder / "streams")
    message = await measure_message()
    request_ratio = request.both / floor
    token_ratio = stream.cost.both / message
    return Report(
        request,
        floor,
        request_ratio,
        stream.cost,
        message,
        token_ratio,
        STREAMS,
        stream.whole,
        stream.rate,
        stream.entry_share,
        stream.agent_share,
        _find_exceeded(request_ratio, token_ratio, stream),
    )


def main() -> None:
    """Measure, print, and fail when a bound is exceeded."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
