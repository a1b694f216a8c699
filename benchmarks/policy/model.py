"""Engines, their agents and the weight store on a virtual clock.

An engine runs a batch whose step time grows with its size and with the adapters in
it; all running requests advance one token a step. The store starts 4 loads a second;
each takes a quarter of a second, and longer in proportion beyond 8 in flight.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.policy.workloads import Request
from ibishead.decisions.eviction import ReuseCounter, SlotView, estimate_reuse
from ibishead.decisions.loading import LoadBackoff, PendingLoad
from ibishead.decisions.queueing import FairQueue, QueuedRequest
from ibishead.ids import FailureDomain, RequestId, TargetId
from ibishead.messages import LoadReport

__all__ = ["Calendar", "Engine", "Store", "step_time"]

BATCH = 8
SLOTS = 8
STORE_RATE = 4.0
STORE_BURST = 8.0
STORE_IN_FLIGHT = 8
LOAD_SECONDS = 0.25
#: Weight of the newest run in the measured means.
SMOOTHING = 0.05
LOAD_SMOOTHING = 0.2


def step_time(running: int, adapters: int) -> float:
    """Return the seconds that one step of a batch takes."""
    return 0.020 + 0.001 * running + 0.001 * (adapters - 1)


class Calendar:
    """The virtual clock and what is to happen."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._number = 0

    def call_at(self, at: float, action: Callable[..., None], *args: object) -> None:
        """Have an action called at a moment."""
        self._number += 1
        heapq.heappush(self._events, (max(at, self.now), self._number, action, args))

    def run(self, until: float) -> None:
        """Play everything up to a moment."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)


class Store:
    """The weight store; orders beyond its rate wait in the order they came."""

    def __init__(self, calendar: Calendar, chance: random.Random) -> None:
        self._calendar = calendar
        self._chance = chance
        self._tokens = STORE_BURST
        self._at = 0.0
        self.in_flight = 0
        self.loads = 0
        self.failures = 0.0

    def order(self, done: Callable[[bool], None]) -> None:
        """Order one load; ``done`` is told whether it succeeded."""
        now = self._calendar.now
        self.loads += 1
        self.in_flight += 1
        self._tokens = min(STORE_BURST, self._tokens + (now - self._at) * STORE_RATE)
        self._at = now
        self._tokens -= 1.0
        wait = max(0.0, -self._tokens / STORE_RATE)
        # An order that waits for its turn takes a place in flight as well.
        length = LOAD_SECONDS * max(1.0, self.in_flight / STORE_IN_FLIGHT)
        failed = self._chance.random() < self.failures
        self._calendar.call_at(now + wait + length, self._end, done, not failed)

    def _end(self, done: Callable[[bool], None], succeeded: bool) -> None:
        self.in_flight -= 1
        done(succeeded)


@dataclass
class Slot:
    """One resident adapter."""

    pins: int = 0
    last_used: float = 0.0


@dataclass
class Fill:
    """How fully an engine's batches were used, as sums over its steps."""

    steps: float = 0.0
    tokens: float = 0.0
    adapters: float = 0.0


@dataclass
class Engine:
    """One engine and what its agent knows."""

    number: int
    service: int
    target: TargetId
    failure_domain: FailureDomain
    calendar: Calendar
    finish: Callable[["Engine", Request], None]
    slots: dict[int, Slot] = field(default_factory=dict)
    loading: set[int] = field(default_factory=set)
    waiting: dict[int, list[QueuedRequest]] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    running: dict[int, int] = field(default_factory=dict)
    size: int = 0
    queued: int = 0
    up: bool = True
    gone: bool = False
    slow: float = 1.0
    boot: int = 0
    reuse: ReuseCounter = field(default_factory=ReuseCounter)
    backoff: LoadBackoff = field(default_factory=LoadBackoff)
    fair: FairQueue = field(default_factory=FairQueue)
    fill: Fill = field(default_factory=Fill)
    counted_from: float = 0.0
    seconds_per_request: float = 3.0
    seconds_per_load: float = 0.3
    _ends: list[tuple[float, int, Request]] = field(default_factory=list)
    _progress: float = 0.0
    _at: float = 0.0
    _epoch: int = 0

    def enqueue(self, request: Request) -> None:
        """Take a request into the queue."""
        now = self.calendar.now
        name = f"{request.number}"
        self.requests[name] = request
        item = QueuedRequest(
            RequestId(name),
            request.attempt,
            request.team,
            request.adapter,
            request.priority,
            now,
            request.deadline,
            True,
        )
        self.waiting.setdefault(request.adapter, []).append(item)
        self.queued += 1
        self.reuse.observe_use(request.adapter, now)
        if request.adapter not in self.slots:
            request.stalled_since = now

    def dequeue(self, item: QueuedRequest) -> Request:
        """Take a request out of the queue, its stall summed up."""
        items = self.waiting[item.adapter]
        items.remove(item)
        if not items:
            del self.waiting[item.adapter]
        self.queued -= 1
        request = self.requests.pop(item.request)
        self._end_stall(request)
        return request

    def ready(self) -> list[QueuedRequest]:
        """Return what waits for its turn only."""
        return [item for key in self.slots for item in self.waiting.get(key, ())]

    def all_waiting(self) -> list[QueuedRequest]:
        """Return everything that waits."""
        return [item for items in self.waiting.values() for item in items]

    def stalled(self) -> int:
        """Return how many wait for their adapter."""
        return sum(
            len(items) for key, items in self.waiting.items() if key not in self.slots
        )

    def wishes(self) -> list[PendingLoad]:
        """Return the adapters that are waited for and not on their way."""
        now = self.calendar.now
        return [
            PendingLoad(
                key,
                len(items),
                now - items[0].arrived,
                max(item.priority for item in items),
                self.backoff.read(key),
            )
            for key, items in self.waiting.items()
            if key not in self.slots and key not in self.loading
        ]

    def slot_views(self) -> list[SlotView]:
        """Return the slots as eviction sees them."""
        now = self.calendar.now
        return [
            SlotView(
                key,
                slot.pins,
                slot.last_used,
                self.reuse.read(key, now),
                len(self.waiting.get(key, ())),
            )
            for key, slot in self.slots.items()
        ]

    def has_empty_slot(self) -> bool:
        """Return whether a load needs no eviction."""
        return len(self.slots) + len(self.loading) < SLOTS

    def can_load(self) -> bool:
        """Return whether a slot is empty or not pinned."""
        return self.has_empty_slot() or any(
            not slot.pins for slot in self.slots.values()
        )

    def evict(self, digest: int) -> None:
        """Empty a slot; one that serves a request is a fault of the policy."""
        if self.slots.pop(digest).pins:
            raise AssertionError("a pinned adapter was evicted")
        for item in self.waiting.get(digest, ()):
            self.requests[item.request].stalled_since = self.calendar.now

    def admit_adapter(self, digest: int) -> None:
        """Take an adapter that has arrived into its slot."""
        now = self.calendar.now
        self.loading.discard(digest)
        self.slots[digest] = Slot(last_used=now)
        for item in self.waiting.get(digest, ()):
            request = self.requests[item.request]
            self._end_stall(request)
            self.seconds_per_load += LOAD_SMOOTHING * (
                now - item.arrived - self.seconds_per_load
            )

    def start(self, item: QueuedRequest) -> None:
        """Run a request of the queue."""
        now = self.calendar.now
        request = self.dequeue(item)
        self._advance()
        slot = self.slots[item.adapter]
        slot.pins += 1
        slot.last_used = now
        self.running[item.adapter] = self.running.get(item.adapter, 0) + 1
        self.size += 1
        request.started = now
        end = self._progress + request.tokens
        heapq.heappush(self._ends, (end, request.number, request))
        self._schedule()

    def set_slow(self, factor: float) -> None:
        """Make every step take that many times as long."""
        self._advance()
        self.slow = factor
        self._schedule()

    def stop(self) -> list[Request]:
        """End the engine's process: return what it was given, and forget all."""
        self._advance()
        lost = [request for _, _, request in self._ends]
        lost += [self.dequeue(item) for item in self.all_waiting()]
        self._ends.clear()
        self.slots.clear()
        self.loading.clear()
        self.running.clear()
        self.size = 0
        self.up = False
        self.boot += 1
        self._epoch += 1
        return lost

    def report(self, victim: SlotView | None) -> LoadReport:
        """Return the load as the agent reports it."""
        empty = self.has_empty_slot()
        unpinned = sum(1 for slot in self.slots.values() if not slot.pins)
        return LoadReport(
            self.target,
            self.size,
            self.queued,
            SLOTS,
            BATCH,
            tuple(self.slots),
            tuple(self.loading),
            self.seconds_per_request,
            seconds_per_load=self.seconds_per_load,
            wishes=sum(
                1
                for key in self.waiting
                if key not in self.slots and key not in self.loading
            ),
            free_slots=SLOTS - len(self.slots) - len(self.loading) + unpinned,
            coldest=0.0
            if empty or victim is None
            else estimate_reuse(victim, self.calendar.now),
            stalled=self.stalled(),
        )

    def _end_stall(self, request: Request) -> None:
        if request.stalled_since >= 0.0:
            request.stall += self.calendar.now - request.stalled_since
            request.stalled_since = -1.0

    def _advance(self) -> None:
        now = self.calendar.now
        if self.size and now > self._at:
            steps = (now - self._at) / self._step()
            self._progress += steps
            if now > self.counted_from:
                counted = steps * min(1.0, (now - self.counted_from) / (now - self._at))
                self.fill.steps += counted
                self.fill.tokens += counted * self.size
                self.fill.adapters += counted * len(self.running)
        self._at = now

    def _step(self) -> float:
        return step_time(self.size, len(self.running)) * self.slow

    def _schedule(self) -> None:
        self._epoch += 1
        if self._ends:
            left = max(0.0, self._ends[0][0] - self._progress)
            at = self.calendar.now + left * self._step()
            self.calendar.call_at(at, self._end_first, self._epoch)

    def _end_first(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        _, _, request = heapq.heappop(self._ends)
        now = self.calendar.now
        self.slots[request.adapter].pins -= 1
        self.slots[request.adapter].last_used = now
        self.running[request.adapter] -= 1
        if not self.running[request.adapter]:
            del self.running[request.adapter]
        self.size -= 1
        self.seconds_per_request += SMOOTHING * (
            now - request.started - self.seconds_per_request
        )
        self._schedule()
        self.finish(self, request)


@dataclass
class Future:
    """When each adapter of each service will be asked for, for the clairvoyant."""

    arrivals: list[Request]
    _next: dict[tuple[int, int], deque[float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for request in self.arrivals:
            key = (request.service, request.adapter)
            self._next.setdefault(key, deque()).append(request.arrival)

    def next_use(self, service: int, adapter: int, now: float) -> float:
        """Return the next arrival after now, infinity for none."""
        moments = self._next.get((service, adapter), deque())
        while moments and moments[0] <= now:
            moments.popleft()
        return moments[0] if moments else float("inf")
