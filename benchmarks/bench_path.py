"""Measures CPU time per request and per streamed token in entry host and agent.

Run with ``python -m benchmarks.bench_path``; it prints JSON and exits with status 1
if a bound is exceeded. The baselines are measured in the same run: a minimal h11
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

#: Requests in one round, and rounds for each of system and baseline, which alternate.
REQUESTS = 1_000
ROUNDS = 4
WORKERS = 8

STREAMS = 100
TOKENS_PER_SECOND = 3_200
STREAM_TOKENS = 320

#: Messages over which the cost of one message is averaged.
MESSAGES = 10_000

#: Maximum CPU time per request of entry host and agent together, as a multiple of
#: that of the pass-through.
MAX_REQUEST_RATIO = 2.0

#: Maximum CPU time per streamed token of entry host and agent together, as a multiple
#: of that of one websockets message.
MAX_TOKEN_RATIO = 1.0

#: Maximum share of a core that an entry host may use at the full token rate.
MAX_ENTRY_SHARE = 0.5


class Cost(msgspec.Struct):
    """CPU milliseconds per request or token, by program."""

    entry: float
    agent: float

    @property
    def both(self) -> float:
        """Return the sum for entry host and agent, in CPU milliseconds."""
        return self.entry + self.agent


class Report(msgspec.Struct):
    """All measurements, and the bounds that were exceeded."""

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
    complete: int
    rate: float
    entry_share: float
    agent_share: float


async def measure_requests(folder: Path) -> tuple[Cost, float]:
    """Return the CPU milliseconds per request by program, and of the pass-through."""
    fleet = Fleet(folder, FleetOptions(entries=1, engines=1, batch=64, token_time=0.0))
    pass_through = _make_pass_through(folder)
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        pass_through = _make_pass_through(folder, fleet.engines[0].port)
        pass_through.start()
        baseline = Endpoint(LOOPBACK, await pass_through.read_port("pass-through.port"))
        path_caller = fleet.make_caller()
        baseline_caller = Caller((baseline,))
        pids = {
            "entry": fleet.entries[0].pid,
            "agent": fleet.engines[0].agent.pid,
            "floor": pass_through.pid,
        }
        cpu_seconds = dict.fromkeys(pids, 0.0)
        for seed in range(ROUNDS + 1):
            before = {name: read_cpu(pid) for name, pid in pids.items()}
            await _call_all(path_caller, "mester", seed)
            await _call_all(baseline_caller, "", seed)
            if seed:  # the first round opens connections and loads the adapter
                for name, pid in pids.items():
                    cpu_seconds[name] += read_cpu(pid) - before[name]
        path_caller.close()
        baseline_caller.close()
        scale = 1_000 / (REQUESTS * ROUNDS)
        return Cost(
            cpu_seconds["entry"] * scale, cpu_seconds["agent"] * scale
        ), cpu_seconds["floor"] * scale
    finally:
        pass_through.clean_up()
        await fleet.clean_up()


async def measure_streams(folder: Path) -> _Streaming:
    """Return the cost of a token at the full token rate."""
    # With a full batch a step of the stand-in engine takes 1.5 times the token time,
    # and its own work for 100 streams takes about a fifth of the token interval.
    token_time = STREAMS / TOKENS_PER_SECOND / 1.5 * 0.8
    shape = FleetOptions(entries=1, engines=1, batch=STREAMS, token_time=token_time)
    fleet = Fleet(folder, shape)
    try:
        await fleet.start()
        await fleet.submit_all()
        await fleet.wait_serving()
        entry, agent = fleet.entries[0].pid, fleet.engines[0].agent.pid
        caller = fleet.make_caller(timeout=120.0)
        before = read_cpu(entry), read_cpu(agent)
        start = time.monotonic()
        mix = Mix(
            "mester", ("alfold@v1",), STREAMS, streams=1.0, max_tokens=STREAM_TOKENS
        )
        summary, results = await generate_load(caller, mix, duration=60.0)
        seconds = time.monotonic() - start
        cpu_seconds = read_cpu(entry) - before[0], read_cpu(agent) - before[1]
        caller.close()
    finally:
        await fleet.clean_up()
    tokens = max(1, summary.tokens)
    return _Streaming(
        Cost(cpu_seconds[0] / tokens * 1_000, cpu_seconds[1] / tokens * 1_000),
        sum(1 for result in results if result.verdict is Verdict.WHOLE),
        tokens / seconds,
        cpu_seconds[0] / seconds,
        cpu_seconds[1] / seconds,
    )


async def measure_message() -> float:
    """Return the CPU milliseconds of one small message, for both ends together."""
    received = asyncio.Event()
    message = AnswerBody(RequestId("r" * 32), 1, Sequence(7), b"x" * 200)

    async def receive_all(socket: ServerConnection) -> None:
        for _ in range(MESSAGES):
            decode_batch(await socket.recv(decode=False))
        received.set()

    async with serve(receive_all, LOOPBACK, 0, compression=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        uri = f"ws://{LOOPBACK}:{port}/"
        async with connect(uri, compression=None, proxy=None) as socket:
            start = time.process_time()
            for _ in range(MESSAGES):
                await socket.send(encode_batch([message]))
            await received.wait()
            return (time.process_time() - start) / MESSAGES * 1_000


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
        raise SystemExit(f"request to a target did not succeed: {result}")


def _make_pass_through(folder: Path, target_port: int = 0) -> Program:
    arguments = [str(target_port), str(folder / "pass-through.port")]
    return Program("pass-through", "benchmarks.passthrough", arguments, folder)


def _find_exceeded(request: float, token: float, stream: _Streaming) -> list[str]:
    exceeded = []
    if request > MAX_REQUEST_RATIO:
        exceeded.append(f"a request costs {request:.2f} times a pass-through request")
    if token > MAX_TOKEN_RATIO:
        exceeded.append(f"a streamed token costs {token:.2f} times a message")
    if stream.entry_share > MAX_ENTRY_SHARE:
        exceeded.append(f"the entry host uses {stream.entry_share:.2f} of a core")
    if stream.complete < STREAMS:
        exceeded.append(f"only {stream.complete} of {STREAMS} streams were complete")
    return exceeded


async def measure(folder: Path) -> Report:
    """Run all measurements.

    :param folder: directory for the files of the programs.
    """
    for name in ("requests", "streams"):
        (folder / name).mkdir()
    request, baseline = await measure_requests(folder / "requests")
    stream = await measure_streams(folder / "streams")
    message = await measure_message()
    request_ratio = request.both / baseline
    token_ratio = stream.cost.both / message
    return Report(
        request,
        baseline,
        request_ratio,
        stream.cost,
        message,
        token_ratio,
        STREAMS,
        stream.complete,
        stream.rate,
        stream.entry_share,
        stream.agent_share,
        _find_exceeded(request_ratio, token_ratio, stream),
    )


def main() -> None:
    """Print the report as JSON and exit with status 1 if a bound is exceeded."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(measure(Path(folder)))
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
