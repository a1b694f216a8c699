"""Compares who keeps the rest that an overloaded target asks for.

Run with ``python -m benchmarks.bench_rest``; it prints a Markdown table. A third of the
engines refuse all requests for some time and ask for rest. Engines that refuse look
idle, and the choice of an engine is the gateways' own.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from ibishead.decisions.choice import Candidate, Need, choose_target
from ibishead.decisions.resting import RestPeriod
from ibishead.decisions.retry import RetryBudget
from ibishead.ids import FailureDomain, TargetId

DAY_SECONDS, REFUSE_FROM, REFUSE_UNTIL = 26.0, 6.0, 15.0
REST_SECONDS, GRACE_SECONDS, MAX_SENDS = 3.0, 0.5, 3
SLOTS, RUN_SECONDS, REPORT_SECONDS = 48, 1.0, 0.5
BUDGET_SHARE, BUDGET_SLACK = 0.2, 58.0
#: Length of the window in which arrivals at an engine are counted after a rest.
BURST_SECONDS = 0.05
TRIAL_INTERVAL_SECONDS = 1.0
HOME = FailureDomain("a")


class Keeper(Enum):
    """Who keeps a rest."""

    REQUEST = "the refused request only"
    GATEWAY = "the gateway that was asked"
    EVERYONE = "all gateways, told by the steward"


@dataclass(frozen=True)
class Way:
    """A way to keep rests.

    :param trial: one request of each gateway may try each second within a rest.
    :param gradual: requests return after a rest one after the other.
    :param told: the steward tells the other gateways, which then prefer other engines.
    """

    name: str
    keeper: Keeper
    trial: bool = False
    gradual: bool = True
    told: bool = False


WAYS = (
    Way("the refused request only", Keeper.REQUEST),
    Way("the gateway, all at once afterwards", Keeper.GATEWAY, gradual=False),
    Way("the gateway", Keeper.GATEWAY),
    Way("the gateway, with a trial each second", Keeper.GATEWAY, trial=True),
    Way("**the gateway; the others prefer other engines**", Keeper.GATEWAY, told=True),
    Way("all gateways, told by the steward", Keeper.EVERYONE),
)


@dataclass
class Engine:
    """One engine.

    :ivar arrivals: time and gateway of each request.
    :ivar asked: times at which each gateway was asked for rest.
    """

    name: TargetId
    overloaded: bool
    running: list[float] = field(default_factory=list)
    reported: int = 0
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    asked: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    refusing_until: float = 0.0

    def serve(self, now: float, gateway: int) -> bool:
        """Return whether it runs a request."""
        self.arrivals.append((now, gateway))
        self.running = [end for end in self.running if end > now]
        refusing = self.overloaded and REFUSE_FROM <= now < REFUSE_UNTIL
        if refusing or len(self.running) >= SLOTS:
            self.asked[gateway].append(now)
            self.refusing_until = now + REST_SECONDS
            return False
        self.running.append(now + RUN_SECONDS)
        return True

    def count_worst_rest(self) -> int:
        """Return the most requests of a gateway within a rest."""
        by_gateway = defaultdict(list)
        for at, gateway in self.arrivals:
            by_gateway[gateway].append(at)
        return max(
            (
                sum(GRACE_SECONDS < at - rest <= REST_SECONDS for at in by_gateway[g])
                for g, rests in self.asked.items()
                for rest in rests
            ),
            default=0,
        )

    def count_burst(self) -> int:
        """Return the most arrivals in a short window after the last rests."""
        late = [at for at, _ in self.arrivals if at > REFUSE_UNTIL]
        return max(sum(0 <= x - at < BURST_SECONDS for x in late) for at in late)


class Play:
    """One day of a number of gateways and engines."""

    def __init__(self, way: Way, gateways: int, engines: int, rate: float, seed: int):
        self._way, self._draw = way, random.Random(seed)
        self._engines = [
            Engine(TargetId(f"e{n}"), n < engines // 3) for n in range(engines)
        ]
        self._by_name = {engine.name: engine for engine in self._engines}
        self._gateways = gateways
        self._rate = rate
        self._rests: dict[tuple[int, TargetId], RestPeriod] = defaultdict(RestPeriod)
        self._tried: dict[tuple[int, TargetId], float] = defaultdict(float)
        slack = max(1.0, BUDGET_SLACK / gateways)
        self._budgets = [RetryBudget(BUDGET_SHARE, slack) for _ in range(gateways)]
        self.sent = self.refused = self.refused_sends = 0

    def run(self) -> "Play":
        """Play the day."""
        now, reported = 0.0, -REPORT_SECONDS
        while now < DAY_SECONDS:
            now += self._draw.expovariate(self._rate)
            if now - reported >= REPORT_SECONDS:
                reported = now
                for engine in self._engines:
                    engine.running = [end for end in engine.running if end > now]
                    engine.reported = len(engine.running)
            self._send(now, self._draw.randrange(self._gateways))
        return self

    def _send(self, now: float, gateway: int) -> None:
        budget, avoid = self._budgets[gateway], set()
        budget.record_attempt()
        self.sent += 1
        for number in range(MAX_SENDS):
            if number and not budget.take():
                break
            name = self._choose(now, gateway, avoid)
            if name is None:
                break
            engine, key = self._by_name[name], self._key(gateway, name)
            wait = self._rests[key].take(now) if self._way.gradual else 0.0
            if engine.serve(now + wait, gateway):
                return
            self.refused_sends += 1
            avoid.add(name)
            if self._way.keeper is not Keeper.REQUEST:
                self._rests[key].begin(REST_SECONDS, now, self._draw.random())
        self.refused += 1

    def _key(self, gateway: int, name: TargetId) -> tuple[int, TargetId]:
        return (-1 if self._way.keeper is Keeper.EVERYONE else gateway, name)

    def _choose(self, now: float, gateway: int, avoid: set) -> TargetId | None:
        candidates = []
        for engine in self._engines:
            key = self._key(gateway, engine.name)
            rest = self._rests.get(key)
            resting = rest is not None and rest.left(now) > 0
            due = now - self._tried[key] >= TRIAL_INTERVAL_SECONDS
            if resting and self._way.trial and due:
                resting = False
            wait = rest.wait(now) if rest is not None and self._way.gradual else 0.0
            candidates.append(
                Candidate(
                    engine.name,
                    HOME,
                    engine.reported,
                    SLOTS,
                    resting=resting,
                    refusing=self._way.told and now < engine.refusing_until,
                    return_wait=0.0 if resting else wait,
                )
            )
        need = Need(HOME, avoid=frozenset(avoid))
        chosen = choose_target(need, candidates, self._draw.random)
        if chosen is None:
            return None
        self._tried[self._key(gateway, chosen.candidate.target)] = now
        return chosen.candidate.target

    def describe(self) -> str:
        """Return the figures as cells of a table."""
        overloaded = [engine for engine in self._engines if engine.overloaded]
        worst = max(engine.count_worst_rest() for engine in overloaded)
        back = min(at for e in overloaded for at, _ in e.arrivals if at > REFUSE_UNTIL)
        burst = max(engine.count_burst() for engine in overloaded)
        return (
            f"{self.refused / self.sent:.3f} | {self.refused_sends} | {worst} | "
            f"{back - REFUSE_UNTIL:.2f} | {burst}"
        )


def main() -> None:
    """Print the table."""
    print("| way | gateways | refused | sends refused | in a rest | back | burst |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for gateways, engines, rate in ((8, 9, 57.0), (340, 48, 300.0)):
        for way in WAYS:
            play = Play(way, gateways, engines, rate, seed=1).run()
            print(f"| {way.name} | {gateways} | {play.describe()} |", flush=True)


if __name__ == "__main__":
    main()
