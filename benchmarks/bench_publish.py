"""Measures time and traffic to put a document in force, and idle subscriber traffic.

One control replica and its simulated subscribers share this process and its event
loop, so the times include the work of both ends. Run with
``python -m benchmarks.bench_publish``; it exits with status 1 if a bound is exceeded.
"""

import asyncio
import json
import statistics
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path

from tests.control.lone import LoneReplica

from ibishead.catalog import Catalog
from ibishead.clock import SystemClock
from ibishead.control.server import ControlServer, Endpoints
from ibishead.control.state import ControlState
from ibishead.documents import parse_document
from ibishead.ids import FailureDomain, HostId, ReplicaId
from ibishead.links import Endpoint, Link, dial
from ibishead.messages import Hello, Publish, ReportInForce, Role, Subscribe
from ibishead.settings import ControlSettings, ListenSettings
from ibishead.subscription import CONTROL_HEARTBEAT, REPORT_INTERVAL
from ibishead.webclient import ClientConnection

SIZES = (10, 50, 200)
ROUNDS = 20
PARSES = 200
IDLE_SECONDS = 4.0
CLOCK = SystemClock()
LOOPBACK = ListenSettings(Endpoint("127.0.0.1", 0))

#: Bounds. The time per additional subscriber is expressed in parses of the document,
#: which are measured between the sizes: other load on the machine slows both alike, so
#: that the bound detects added work and not that load.
MAX_PARSES_PER_SUBSCRIBER = 3.0
MAX_MILLISECONDS_AT_200 = 2000.0
MAX_BYTES_PER_SUBSCRIBER = 6000
MAX_IDLE_BYTES_PER_SECOND = 1000.0


@dataclass(frozen=True)
class Measure:
    """Result for one number of subscribers.

    :ivar milliseconds: median time from sending a submission until it is in force.
    :ivar bytes_each: bytes in both directions for one change and one subscriber.
    :ivar idle_bytes: bytes per second and subscriber in both directions while idle.
    """

    subscribers: int
    milliseconds: float
    bytes_each: float
    idle_bytes: float


class SimulatedSubscriber:
    """Subscribes to the control state as entry hosts and agents do."""

    def __init__(self, name: str, link: Link) -> None:
        self._host = HostId(name)
        self._catalog = Catalog()
        self._number = 0
        self.link = link
        self.tasks = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._report_regularly()),
        ]

    @property
    def bytes(self) -> int:
        """Return the bytes sent and received in frames."""
        return self.link.sent_bytes + self.link.received_bytes

    async def _follow(self) -> None:
        self.link.send(Subscribe(self._host, Role.ENTRY))
        async for message in self.link.receive():
            if isinstance(message, Publish):
                before = self._catalog.index
                self._catalog.apply(message)
                if self._catalog.index > before:
                    self._report_in_force()

    async def _report_regularly(self) -> None:
        while True:
            self._report_in_force()
            await asyncio.sleep(REPORT_INTERVAL)

    def _report_in_force(self) -> None:
        self._number += 1
        self.link.send(ReportInForce(self._host, self._catalog.index, self._number))


async def start_control(folder: Path) -> tuple[ControlServer, Endpoints]:
    """Start a control replica whose log is in memory."""
    name = ReplicaId("c1")
    settings = ControlSettings(
        name,
        HostId("control-1"),
        FailureDomain("szeged-a"),
        folder,
        LOOPBACK,
        LOOPBACK,
        {},
        {},
    )
    state = ControlState()
    server = ControlServer(settings, name, state, LoneReplica(name, state), CLOCK)
    return server, await server.start()


async def call(
    connection: ClientConnection, method: str, target: str, body=b""
) -> dict:
    """Return the JSON response of the operator interface."""
    answer = await connection.ask(method, target, (), body)
    data = await answer.read()
    if answer.status != 200:
        raise RuntimeError(data)
    return json.loads(data)


def write_document(revision: int) -> bytes:
    """Return a service document with 100 adapters, of about 3 KB."""
    adapters = "".join(f"adapter-{n} = 1 2 3\n" for n in range(100))
    return (
        "[service]\nname = mester\nteam = halo\nkind = engine\nmodel = org/base\n"
        f"default_class = draft\nstall_weight = {revision / 1000}\n"
        "adapter_source = store/{adapter}/{version}\n"
        "[class:draft]\npriority = 5\ndeadline = 30 s\nidempotent = yes\n"
        f"[adapters]\n{adapters}"
    ).encode()


async def submit(connection: ClientConnection, base: int) -> float:
    """Return the seconds from sending a submission until it is in force."""
    target = f"/v1/documents/mester?base={base}&submission=s{base}&team=halo"
    start = CLOCK.monotonic()
    accepted = await call(connection, "POST", target, write_document(base))
    path = f"/v1/in-force?index={accepted['index']}"
    while not (await call(connection, "GET", path))["in_force"]:
        await asyncio.sleep(0.001)
    return CLOCK.monotonic() - start


async def measure(subscribers: int, folder: Path) -> Measure:
    """Measure one number of subscribers on a new replica."""
    server, endpoints = await start_control(folder)
    connection = await ClientConnection.open(endpoints.operators)
    clients = []
    for number in range(subscribers):
        hello = Hello(Role.ENTRY, HostId(f"e{number}"))
        link = await dial(endpoints.links, hello, CLOCK, CONTROL_HEARTBEAT)
        clients.append(SimulatedSubscriber(hello.host, link))
    await submit(connection, 0)
    before = sum(client.bytes for client in clients)
    seconds = [await submit(connection, base) for base in range(1, ROUNDS + 1)]
    transferred = sum(client.bytes for client in clients) - before
    await asyncio.sleep(0.5)
    before = sum(client.bytes for client in clients)
    await asyncio.sleep(IDLE_SECONDS)
    idle = sum(client.bytes for client in clients) - before
    for client in clients:
        for task in client.tasks:
            task.cancel()
        await client.link.close()
    connection.close()
    await server.stop()
    return Measure(
        subscribers,
        statistics.median(seconds) * 1000,
        transferred / ROUNDS / subscribers,
        idle / IDLE_SECONDS / subscribers,
    )


def measure_parse() -> float:
    """Return the median milliseconds that parsing the document takes."""
    text = write_document(1).decode()
    seconds = []
    for _ in range(PARSES):
        start = CLOCK.monotonic()
        parse_document(text)
        seconds.append(CLOCK.monotonic() - start)
    return statistics.median(seconds) * 1000


def find_slope(results: list[Measure]) -> float:
    """Return the milliseconds per additional subscriber, by least squares."""
    slope, _ = statistics.linear_regression(
        [float(result.subscribers) for result in results],
        [result.milliseconds for result in results],
    )
    return slope


def check(results: list[Measure], parse: float) -> list[str]:
    """Return a message for each bound that is exceeded.

    :param parse: milliseconds that one parse of the document takes.
    """
    exceeded = []
    if results[-1].milliseconds > MAX_MILLISECONDS_AT_200:
        exceeded.append(f"change in force after {results[-1].milliseconds:.0f} ms")
    parses = find_slope(results) / parse
    if parses > MAX_PARSES_PER_SUBSCRIBER:
        exceeded.append(f"{parses:.1f} parses per additional subscriber")
    for result in results:
        if result.bytes_each > MAX_BYTES_PER_SUBSCRIBER:
            exceeded.append(f"{result.bytes_each:.0f} bytes per change and subscriber")
        if result.idle_bytes > MAX_IDLE_BYTES_PER_SECOND:
            exceeded.append(
                f"{result.idle_bytes:.0f} idle bytes per second and subscriber"
            )
    return exceeded


async def run() -> tuple[list[Measure], float]:
    """Return the results for all sizes, and the mean milliseconds of one parse."""
    parses = [measure_parse()]
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for size in SIZES:
            results.append(await measure(size, Path(folder)))
            parses.append(measure_parse())
    return results, statistics.mean(parses)


def main() -> None:
    """Print the results as JSON lines and exit with status 1 if a bound is exceeded."""
    results, parse = asyncio.run(run())
    for result in results:
        print(json.dumps(asdict(result)))
    slope = find_slope(results)
    print(json.dumps({"milliseconds_a_subscriber": slope, "parse": parse}))
    exceeded = check(results, parse)
    if exceeded:
        sys.exit("; ".join(exceeded))


if __name__ == "__main__":
    main()
