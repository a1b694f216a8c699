"""Command line of the stand-ins, used only by tests, the demo and benchmarks."""

import asyncio
from pathlib import Path

import click
import msgspec

from ibishead.clock import SystemClock
from ibishead.links import Endpoint
from ibishead.standin.calls import Mix
from ibishead.standin.engine import EngineOptions
from ibishead.standin.engine_server import EngineServer, Faults
from ibishead.standin.ledger import Ledger
from ibishead.standin.load import Caller, generate_load
from ibishead.standin.plain import PlainService
from ibishead.standin.process import serve_until_stopped
from ibishead.standin.store import Store, StoreOptions

__all__ = ["main"]

_PORT = click.option("--port", type=int, default=0, help="0: chosen by the system.")
_PORT_FILE = click.option(
    "--port-file", type=click.Path(path_type=Path), help="File to write the port to."
)
_LEDGER_FILE = click.option(
    "--ledger-file",
    type=click.Path(path_type=Path),
    help="File to append the ledger to; it survives restarts.",
)


class _EndpointParam(click.ParamType):
    name = "address:port"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Endpoint:
        """Return the endpoint given as ADDRESS:PORT."""
        if isinstance(value, Endpoint):
            return value
        address, _, port = str(value).rpartition(":")
        if not address or not port.isdigit():
            self.fail(f"{value!r} is not of the form ADDRESS:PORT", param, ctx)
        return Endpoint(address.strip("[]"), int(port))


ENDPOINT = _EndpointParam()


@click.group()
def main() -> None:
    """Run a stand-in for an engine, a plain service, the weight store or callers."""


@main.command()
@_PORT
@_PORT_FILE
@_LEDGER_FILE
@click.option("--name", default="engine", help="Shown in logs only.")
@click.option("--model", default="base-model", help="Name of the base model.")
@click.option("--slots", type=click.IntRange(0), default=8)
@click.option("--batch", type=click.IntRange(1), default=8)
@click.option("--store", type=ENDPOINT, required=True)
@click.option("--fencing", is_flag=True, help="Reject outdated fencing numbers.")
@click.option("--token-time", type=float, default=0.005, help="Seconds.")
@click.option(
    "--load-failure", type=float, default=0.0, help="Share of loads that fail."
)
@click.option("--false-load", type=float, default=0.0, help="Share of false successes.")
@click.option("--lie-about-load", is_flag=True, help="Always report idle.")
@click.option("--ignores-unknown-adapter", is_flag=True, help="Use the base model.")
@click.option("--seed", type=int, default=1)
def engine(
    port: int,
    port_file: Path | None,
    ledger_file: Path | None,
    name: str,
    model: str,
    slots: int,
    batch: int,
    store: Endpoint,
    fencing: bool,
    token_time: float,
    load_failure: float,
    false_load: float,
    lie_about_load: bool,
    ignores_unknown_adapter: bool,
    seed: int,
) -> None:
    """Run a stand-in for an OpenAI-compatible engine with dynamic LoRA adapters."""
    options = EngineOptions(model, slots, batch, token_time, ignores_unknown_adapter)
    faults = Faults(load_failure, false_load, lie_about_load, fencing, seed)
    asyncio.run(_run_engine(options, faults, store, port, port_file, ledger_file))


async def _run_engine(
    options: EngineOptions,
    faults: Faults,
    store: Endpoint,
    port: int,
    port_file: Path | None,
    ledger_file: Path | None,
) -> None:
    clock = SystemClock()
    server = EngineServer(options, faults, store, Ledger(clock, ledger_file), clock)
    engine_task = asyncio.create_task(server.run())
    await serve_until_stopped(server.handle, port, port_file)
    engine_task.cancel()


@main.command()
@_PORT
@_PORT_FILE
@_LEDGER_FILE
@click.option("--name", default="plain", help="Shown in answers.")
@click.option("--delay", type=float, default=0.0, help="Seconds per execution.")
def plain(
    port: int,
    port_file: Path | None,
    ledger_file: Path | None,
    name: str,
    delay: float,
) -> None:
    """Run a stand-in for a plain service with an execution ledger."""
    clock = SystemClock()
    ledger = Ledger(clock, ledger_file)
    service = PlainService(name, delay, ledger, clock.now().timestamp())
    asyncio.run(serve_until_stopped(service.handle, port, port_file))


@main.command()
@_PORT
@_PORT_FILE
@_LEDGER_FILE
@click.option("--load-time", type=float, default=0.25, help="Seconds per load.")
@click.option(
    "--in-flight",
    type=click.IntRange(1),
    default=8,
    help="Concurrent loads at full speed.",
)
@click.option("--rate", type=float, default=4.0, help="Loads per second; 0: no limit.")
def store(
    port: int,
    port_file: Path | None,
    ledger_file: Path | None,
    load_time: float,
    in_flight: int,
    rate: float,
) -> None:
    """Run a stand-in for the rate-limited weight store."""
    clock = SystemClock()
    ledger = Ledger(clock, ledger_file)
    server = Store(StoreOptions(load_time, in_flight, rate), ledger, clock)
    asyncio.run(serve_until_stopped(server.handle, port, port_file))


@main.command()
@click.option("--entry", type=ENDPOINT, multiple=True, required=True)
@click.option("--key", default="", help="API key of the caller.")
@click.option("--service", default="", help="Service of the model calls.")
@click.option(
    "--adapter", multiple=True, help="NAME@VERSION, most frequently requested first."
)
@click.option("--count", type=click.IntRange(1, 100_000), default=20)
@click.option("--duration", type=click.FloatRange(0, 600), default=60.0)
@click.option(
    "--rate", type=float, default=0.0, help="Calls per second; 0: all at once."
)
@click.option("--zipf", type=float, default=1.0, help="Zipf exponent of the adapters.")
@click.option("--streams", type=click.FloatRange(0, 1), default=0.5, help="Share.")
@click.option("--max-tokens", type=click.IntRange(1), default=16)
@click.option("--plain-service", default="", help="Service of the plain calls.")
@click.option("--plain-path", default="/issue")
@click.option("--plain-share", type=click.FloatRange(0, 1), default=0.0)
@click.option("--resends", type=click.IntRange(0, 20), default=3)
@click.option("--timeout", type=click.FloatRange(0, 600), default=60.0)
@click.option("--seed", type=int, default=1)
def load(
    entry: tuple[Endpoint, ...],
    key: str,
    service: str,
    adapter: tuple[str, ...],
    count: int,
    duration: float,
    rate: float,
    zipf: float,
    streams: float,
    max_tokens: int,
    plain_service: str,
    plain_path: str,
    plain_share: float,
    resends: int,
    timeout: float,
    seed: int,
) -> None:
    """Send calls to the entry hosts and print a summary of the results as JSON."""
    mix = Mix(
        service=service,
        adapters=adapter,
        count=count,
        rate=rate,
        zipf=zipf,
        streams=streams,
        max_tokens=max_tokens,
        plain_service=plain_service,
        plain_path=plain_path,
        plain_share=plain_share,
        seed=seed,
    )
    asyncio.run(_run_load(Caller(entry, key, timeout, resends), mix, duration))


async def _run_load(caller: Caller, mix: Mix, duration: float) -> None:
    summary, _ = await generate_load(caller, mix, duration)
    caller.close()
    click.echo(msgspec.json.format(msgspec.json.encode(summary)).decode())
