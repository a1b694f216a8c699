"""Stand-in for the rate-limited weight store.

Loads start at a sustained rate with a burst; one takes a quarter of a second while
few are in flight and proportionally longer beyond.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import msgspec

from ibishead.clock import Clock
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange

__all__ = ["Store", "StoreOptions", "StorePace"]

#: Seconds over which the rate of loads is shown.
RATE_WINDOW = 1.0


@dataclass(frozen=True)
class StoreOptions:
    """How fast the store is.

    :param load_time: seconds of one load at full speed.
    :param in_flight: loads at once that don't slow each other down.
    :param rate: loads a second that may start for long; 0 for no limit.
    """

    load_time: float = 0.25
    in_flight: int = 8
    rate: float = 4.0


class StorePace:
    """When loads start and how long they take, apart from I/O."""

    def __init__(self, options: StoreOptions) -> None:
        self.options = options
        self.in_flight = 0
        self.most_in_flight = 0
        self._credit = float(options.in_flight)
        self._credit_at = 0.0
        self._started: deque[float] = deque(maxlen=10_000)

    def begin(self, now: float) -> float:
        """Take a load in.

        :returns: seconds until it is done.
        """
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self._started.append(now)
        crowding = max(1.0, self.in_flight / self.options.in_flight)
        return self._wait_for_credit(now) + self.options.load_time * crowding

    def end(self) -> None:
        """Let a load out, done or given up."""
        self.in_flight -= 1

    def count_recent(self, now: float) -> int:
        """Return the loads asked for in the last second."""
        return sum(1 for at in self._started if now - at <= RATE_WINDOW)

    def _wait_for_credit(self, now: float) -> float:
        if self.options.rate <= 0:
            return 0.0
        earned = (now - self._credit_at) * self.options.rate
        self._credit = min(float(self.options.in_flight), self._credit + earned)
        self._credit_at = now
        self._credit -= 1.0
        return max(0.0, -self._credit / self.options.rate)


class _Load(msgspec.Struct):
    in_flight: int
    most_in_flight: int
    loads_last_second: int
    loads: int


class Store:
    """Serves ``GET /adapters/NAME/VERSION``; the body is ``NAME@VERSION``."""

    def __init__(self, options: StoreOptions, ledger: Ledger, clock: Clock) -> None:
        self._pace = StorePace(options)
        self._ledger = ledger
        self._clock = clock

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        match exchange.request.path.strip("/").split("/"):
            case ["adapters", name, version]:
                await self._load(exchange, f"{name}@{version}")
            case ["standin", "ledger"]:
                await respond_json(exchange, 200, self._ledger.encode())
            case ["standin", "load"]:
                await respond_json(exchange, 200, self._encode_load())
            case ["health"]:
                await respond_text(exchange, 200, "")
            case _:
                await respond_text(exchange, 404, "no such adapter path\n")

    async def _load(self, exchange: Exchange, weights: str) -> None:
        self._ledger.add(RecordKind.STARTED, asked=weights)
        duration = self._pace.begin(self._clock.monotonic())
        try:
            await asyncio.sleep(duration)
        finally:
            self._pace.end()
        self._ledger.add(RecordKind.FINISHED, asked=weights, detail=f"{duration:.3f}")
        await respond_text(exchange, 200, weights)

    def _encode_load(self) -> bytes:
        return msgspec.json.encode(
            _Load(
                self._pace.in_flight,
                self._pace.most_in_flight,
                self._pace.count_recent(self._clock.monotonic()),
                self._ledger.count(RecordKind.STARTED),
            )
        )
