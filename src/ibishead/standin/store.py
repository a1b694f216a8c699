"""Stand-in for the rate-limited weight store.

A token bucket limits the rate at which loads start and allows bursts. A load takes a
quarter of a second by default while few loads are in flight, and proportionally longer
with more.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import msgspec

from ibishead.clock import Clock
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange

__all__ = ["Store", "StoreOptions", "LoadTiming"]

#: Period over which recent loads are counted.
RATE_WINDOW_SECONDS = 1.0


@dataclass(frozen=True)
class StoreOptions:
    """Speed of the store.

    :param load_time: duration in seconds of a load at full speed.
    :param in_flight: number of concurrent loads at full speed; also the burst size.
    :param rate: sustained loads per second; 0 for no limit.
    """

    load_time: float = 0.25
    in_flight: int = 8
    rate: float = 4.0


class LoadTiming:
    """Computes the start times and durations of loads; does no I/O."""

    def __init__(self, options: StoreOptions) -> None:
        self.options = options
        self.in_flight = 0
        self.peak_in_flight = 0
        self._tokens = float(options.in_flight)
        self._refilled_at = 0.0
        self._started: deque[float] = deque(maxlen=10_000)

    def begin(self, now: float) -> float:
        """Register the start of a load.

        :param now: monotonic time in seconds.
        :returns: seconds until the load is completed.
        """
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self._started.append(now)
        slowdown = max(1.0, self.in_flight / self.options.in_flight)
        return self._reserve_token(now) + self.options.load_time * slowdown

    def end(self) -> None:
        """Register the end of a load, completed or cancelled."""
        self.in_flight -= 1

    def count_recent(self, now: float) -> int:
        """Return the number of loads requested in the last second."""
        return sum(1 for at in self._started if now - at <= RATE_WINDOW_SECONDS)

    def _reserve_token(self, now: float) -> float:
        if self.options.rate <= 0:
            return 0.0
        refill = (now - self._refilled_at) * self.options.rate
        self._tokens = min(float(self.options.in_flight), self._tokens + refill)
        self._refilled_at = now
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self.options.rate)


class _StoreLoad(msgspec.Struct):
    in_flight: int
    most_in_flight: int
    loads_last_second: int
    loads: int


class Store:
    """Handles ``GET /adapters/NAME/VERSION``; the response body is ``NAME@VERSION``."""

    def __init__(self, options: StoreOptions, ledger: Ledger, clock: Clock) -> None:
        self._timing = LoadTiming(options)
        self._ledger = ledger
        self._clock = clock

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
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
        duration = self._timing.begin(self._clock.monotonic())
        try:
            await asyncio.sleep(duration)
        finally:
            self._timing.end()
        self._ledger.add(RecordKind.FINISHED, asked=weights, detail=f"{duration:.3f}")
        await respond_text(exchange, 200, weights)

    def _encode_load(self) -> bytes:
        return msgspec.json.encode(
            _StoreLoad(
                self._timing.in_flight,
                self._timing.peak_in_flight,
                self._timing.count_recent(self._clock.monotonic()),
                self._ledger.count(RecordKind.STARTED),
            )
        )
