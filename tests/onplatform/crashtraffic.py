"""Callers' requests, some of which crash engines, and failures of programs besides."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.onplatform.standin import FRONT, MODEL, Cluster
from tests.processes.programs import Program

from ibishead.errors import LinkLost
from ibishead.gateway.connection import TargetConnection
from ibishead.links import Endpoint

#: Time within which each gateway in touch has to know of what crashes engines.
CONTACT_SECONDS = 3.0
#: Sends allowed after that.
MAX_SENDS = 3
CALM_SECONDS, SECONDS = 3.0, 14.0
SOUND_CALLERS = 8
#: Length of the failures of a soak.
DISTURBED_SECONDS = 5.0
HEAD = "5c1e07a2"


@dataclass(frozen=True)
class Prompt:
    """What a caller sends, apart from the request ID.

    :param adapter: empty for a request to a plain service.
    :param parts: names of the parts of the prompt.
    :param resume_after: last event that the caller claims to have received.
    """

    route: str
    adapter: str
    parts: tuple[str, ...] = ()
    body: str = "body"
    resume_after: str | None = None


@dataclass
class Traffic:
    """What callers have seen.

    :ivar begun: loop time of each sound request, and whether its answer began.
    """

    cluster: Cluster
    draw: random.Random
    begun: list[tuple[float, bool]] = field(default_factory=list)

    async def send(self, prompt: Prompt) -> bool:
        """Send one request under a new ID; return whether its answer began."""
        headers = [
            ("host", "nets.example"),
            ("request-id", f"{self.draw.getrandbits(32):08x}"),
            ("deadline-ms", "4000"),
        ]
        if prompt.adapter:
            headers.append(("model", f"{MODEL}/{prompt.adapter}"))
            headers.append(("token-counts", "30,10"))
        if prompt.parts:
            prefix = ",".join(f"{name}:10" for name in prompt.parts)
            headers.append(("prompt-prefix", prefix))
        if prompt.resume_after is not None:
            headers.append(("last-event-id", prompt.resume_after))
        gateways = self._list_gateways()
        if not gateways:
            return False
        try:
            connection = await TargetConnection.open(self.draw.choice(gateways))
        except LinkLost:
            return False
        try:
            async with asyncio.timeout(5.0):
                status, _ = await connection.request(
                    "POST", f"/{prompt.route}/x", tuple(headers), prompt.body.encode()
                )
                first = await connection.read()
                while await connection.read() is not None:
                    pass
            return status == 200 and bool(first)
        except (LinkLost, TimeoutError):
            return False
        finally:
            connection.close()

    def make_prompt(self, parts: list[str]) -> Prompt:
        """Return a prompt with some shared parts and one of its own."""
        own = f"{self.draw.getrandbits(32):08x}"
        adapter = f"a{self.draw.randrange(4)}"
        return Prompt(self.draw.choice(("plan", "advice")), adapter, (*parts, own))

    def make_order(self) -> Prompt:
        """Return a request to a plain service; many of them are alike."""
        return Prompt(self.draw.choice(("look", "issue")), "")

    def _list_gateways(self) -> list[Endpoint]:
        return [
            gateway
            for gateway in self.cluster.gateways
            if self.cluster.programs["gateway", gateway.address].running
        ]

    def find_end(self, bad: tuple[str, ...], end: float, count: int) -> float:
        """Return when to end, late enough for what follows the last crash that counts.

        :param bad: what crashes engines.
        :param end: loop time at which to end if no crash counts so late.
        :param count: number of crashes after which each of them has to be known.
        """
        last = [end]
        for cause in bad:
            crashes = [
                at for at, found in self.cluster.ledger.crashes if found == cause
            ]
            last += [at + 2 * CONTACT_SECONDS + 3.0 for at in crashes[:count][-1:]]
        return max(last)

    async def send_sound(
        self,
        end: float,
        bad: tuple[str, ...] = (),
        count: int = 0,
        make_prompt: Callable[[], Prompt] | None = None,
    ) -> None:
        """Send requests that crash no engine until `find_end`."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.find_end(bad, end, count):
            started = loop.time()
            prompt = make_prompt() if make_prompt else self._make_sound()
            self.begun.append((started, await self.send(prompt)))
            await asyncio.sleep(self.draw.uniform(0.0, 0.1))

    def _make_sound(self) -> Prompt:
        return self.make_prompt([HEAD, f"{self.draw.randrange(40):08x}"])

    def share_begun(self, since: float, until: float) -> float:
        found = [ok for at, ok in self.begun if since <= at < until]
        assert len(found) >= 20
        return sum(found) / len(found)


async def leave_alone(cluster: Cluster, draw: random.Random) -> None:
    pass


async def kill_gateways(cluster: Cluster, draw: random.Random) -> None:
    """Kill the gateways one after the other, each with the registry of its host."""
    await wait_for_crashes(cluster)
    await asyncio.sleep(1.0)
    for host in cluster.edge_hosts[:2]:
        for kind in ("gateway", "registry"):
            cluster.programs[kind, host].kill()
        await asyncio.sleep(0.2)
        for kind in ("registry", "gateway"):
            cluster.programs[kind, host].start()
        await asyncio.sleep(1.5)


async def kill_stewards(cluster: Cluster, draw: random.Random) -> None:
    await wait_for_crashes(cluster, 2)
    for host in draw.sample(cluster.side_hosts, 2):
        cluster.programs["steward", host].kill()
        await asyncio.sleep(0.3)
        cluster.programs["steward", host].start()


async def kill_core(cluster: Cluster, draw: random.Random) -> None:
    """Kill all gateways and registries at once."""
    ended = [p for (kind, _), p in cluster.programs.items() if kind != "steward"]
    await kill_together(cluster, ended)


async def kill_all(cluster: Cluster, draw: random.Random) -> None:
    """Kill all programs at once, so that only what the log holds is known."""
    await kill_together(cluster, list(cluster.programs.values()))


async def kill_together(cluster: Cluster, ended: list[Program]) -> None:
    await wait_for_crashes(cluster)
    await asyncio.sleep(CONTACT_SECONDS)
    for program in ended:
        program.kill()
    await asyncio.sleep(0.3)
    for program in ended:
        program.start()


async def join_gateway(cluster: Cluster, draw: random.Random) -> None:
    """Add a gateway that has seen none of the crashes."""
    await wait_for_crashes(cluster)
    await asyncio.sleep(CONTACT_SECONDS)
    address = cluster.edge_hosts[2]
    cluster.make_program("gateway", address).start()
    cluster.gateways.append(Endpoint(address, FRONT))


async def suspend_gateways(cluster: Cluster, draw: random.Random) -> None:
    """Suspend each gateway in turn, so that one hears of the crashes only later."""
    for host in cluster.edge_hosts[:2]:
        program = cluster.programs["gateway", host]
        program.suspend()
        await asyncio.sleep(2.0)
        program.resume()


async def crash_engines(cluster: Cluster, draw: random.Random) -> None:
    """Crash engines besides, for no reason."""
    while True:
        await asyncio.sleep(draw.uniform(0.5, 1.5))
        draw.choice(cluster.engines).begin_crash()


async def crash_plain(cluster: Cluster, draw: random.Random) -> None:
    """Crash plain targets, for no reason."""
    while True:
        await asyncio.sleep(draw.uniform(0.5, 1.5))
        draw.choice(cluster.plain).begin_crash()


async def wait_for_crashes(cluster: Cluster, count: int = 3) -> None:
    while len(cluster.ledger.crashes) < count:
        await asyncio.sleep(0.05)


async def disturb(cluster: Cluster, draw: random.Random) -> None:
    """Kill and suspend programs in series that overlap, and crash engines besides."""
    series = draw.sample((restart_programs, suspend_gateways, crash_engines), 2)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISTURBED_SECONDS):
            await asyncio.gather(*(each(cluster, draw) for each in series))
    for program in cluster.programs.values():
        if not program.running:
            program.start()
        program.resume()


async def restart_programs(cluster: Cluster, draw: random.Random) -> None:
    while True:
        await asyncio.sleep(draw.uniform(0.3, 1.5))
        chosen = draw.sample(list(cluster.programs.values()), draw.randrange(1, 4))
        for program in chosen:
            if program.running:
                program.kill()
        await asyncio.sleep(draw.uniform(0.1, 0.5))
        for program in chosen:
            if not program.running:
                program.start()


@dataclass(frozen=True)
class Play:
    """Callers beside requests that crash engines, after their end.

    :param bad: what crashes engines.
    :param count: number of crashes after which each of them has to be known.
    :param calm: loop time of the beginning and of the end of the calm before.
    :param disturbed_until: loop time until which hosts may know less.
    :param ended_at: loop time.
    """

    traffic: Traffic
    bad: tuple[str, ...]
    count: int
    calm: tuple[float, float]
    disturbed_until: float
    ended_at: float

    def list_crashes(self, cause: str) -> list[float]:
        """Return the loop times of the crashes by one cause."""
        ledger = self.traffic.cluster.ledger
        return [at for at, found in ledger.crashes if found == cause]

    def count_late_sends(self, cause: str) -> int:
        """Return how often a cause was sent after each gateway should have known it."""
        crashes = self.list_crashes(cause)
        if len(crashes) < self.count:
            return 0
        since = max(crashes[self.count - 1], self.disturbed_until) + CONTACT_SECONDS
        sends = self.traffic.cluster.ledger.crashing_sends
        return sum(at > since and found == cause for at, found in sends)

    def find_known_at(self) -> float:
        """Return when each gateway should have known all causes."""
        last = [self.disturbed_until]
        for cause in self.bad:
            last += self.list_crashes(cause)[: self.count][-1:]
        return max(last) + CONTACT_SECONDS


async def run_play(
    traffic: Traffic,
    bad: tuple[str, ...],
    count: int,
    disturbance: Callable[[Cluster, random.Random], Awaitable[None]],
    send_bad: Callable[[float], Awaitable[None]],
    make_sound: Callable[[], Prompt] | None = None,
) -> Play:
    """Send sound requests, after a calm bad ones as well, with a disturbance besides.

    :param send_bad: sends the bad ones until `Traffic.find_end` of the given end.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    calm_until = started + CALM_SECONDS
    end = calm_until + SECONDS
    sound = [
        asyncio.create_task(traffic.send_sound(end, bad, count, make_sound))
        for _ in range(SOUND_CALLERS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    disturbing = asyncio.create_task(disturbance(traffic.cluster, traffic.draw))
    await asyncio.gather(send_bad(end), *sound)
    disturbing.cancel()
    await asyncio.gather(disturbing, return_exceptions=True)
    seconds = DISTURBED_SECONDS if disturbance is disturb else 0.0
    calm = started, calm_until
    return Play(traffic, bad, count, calm, calm_until + seconds, loop.time())


def check_play(play: Play) -> None:
    """Check that few bad requests were sent late, and that sound ones began again."""
    late = [play.count_late_sends(cause) for cause in play.bad]
    calm = play.traffic.share_begun(*play.calm)
    since = play.find_known_at() + CONTACT_SECONDS
    later = play.traffic.share_begun(since, play.ended_at)
    crashes = len(play.traffic.cluster.ledger.crashes)
    print(f"crashes {crashes}, late {late}, begun {calm:.2f} and {later:.2f}")
    assert max(late) <= MAX_SENDS
    assert later >= 0.5 * calm
