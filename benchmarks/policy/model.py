"""Model of engines, their agents and the weight store on a virtual clock.

An engine runs a batch whose step time grows with the number of its requests and of
their adapters; each running request advances one token per step. The store starts 4
loads per second; each takes 0.25 s, and proportionally longer beyond 8 in flight.
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

__all__ = ["Calendar", "Engine", "FutureArrivals", "Store", "step_time"]

BATCH_SIZE = 8
ADAPTER_SLOTS = 8
STORE_LOADS_PER_SECOND = 4.0
STORE_BURST = 8.0
STORE_MAX_IN_FLIGHT = 8
LOAD_SECONDS = 0.25
#: Weights of the latest sample in the moving averages of run and load times.
RUN_SMOOTHING = 0.05
LOAD_SMOOTHING = 0.2


def step_time(running: int, adapters: int) -> float:
    """Return the seconds that one step of a batch takes.

    :param running: number of requests in the batch.
    :param adapters: number of different adapters in the batch.
    """
    return 0.020 + 0.001 * running + 0.001 * (adapters - 1)


class Calendar:
    """Virtual clock with a queue of scheduled events."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0

    def call_at(self, at: float, action: Callable[..., None], *args: object) -> None:
        """Schedule a call.

        :param at: virtual time in seconds; a past time means now.
        """
        self._sequence += 1
        heapq.heappush(self._events, (max(at, self.now), self._sequence, action, args))

    def run(self, until: float) -> None:
        """Process all events up to a virtual time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)


class Store:
    """The weight store; loads beyond its rate wait in the order of their requests."""

    def __init__(self, calendar: Calendar, rng: random.Random) -> None:
        self._calendar = calendar
        self._rng = rng
        self._tokens = STORE_BURST
        self._updated_at = 0.0
        self.in_flight = 0
        self.loads = 0
        self.failures = 0.0

    def start_load(self, on_done: Callable[[bool], None]) -> None:
        """Start one load.

        :param on_done: called at its end with whether it succeeded.
        """
        now = self._calendar.now
        self.loads += 1
        self.in_flight += 1
        self._tokens = min(
            STORE_BURST,
            self._tokens + (now - self._updated_at) * STORE_LOADS_PER_SECOND,
        )
        self._updated_at = now
        self._tokens -= 1.0
        wait = max(0.0, -self._tokens / STORE_LOADS_PER_SECOND)
        # A load that waits for the rate limit counts as in flight as well.
        duration = LOAD_SECONDS * max(1.0, self.in_flight / STORE_MAX_IN_FLIGHT)
        failed = self._rng.random() < self.failures
        self._calendar.call_at(
            now + wait + duration, self._finish_load, on_done, not failed
        )

    def _finish_load(self, on_done: Callable[[bool], None], succeeded: bool) -> None:
        self.in_flight -= 1
        on_done(succeeded)


@dataclass
class Slot:
    """Adapter slot that holds a resident adapter."""

    pins: int = 0
    last_used: float = 0.0


@dataclass
class Fill:
    """Batch utilization of an engine, as sums over its steps."""

    steps: float = 0.0
    tokens: float = 0.0
    adapters: float = 0.0


@dataclass
class Engine:
    """One engine with the state of its agent.

    :ivar slots: resident adapters, by digest.
    :ivar loading: digests of adapters that are being loaded.
    :ivar waiting: queued requests by the digest of their adapter.
    :ivar running: number of running requests by the digest of their adapter.
    :ivar running_count: number of running requests.
    :ivar queued: number of queued requests.
    :ivar up: whether the process of the engine runs.
    :ivar crashed: whether its host failed for the rest of the run.
    :ivar slowdown: factor on the step time.
    :ivar boot: number of the current process, counted from 0.
    :ivar measured_from: virtual time at which measuring of the fill begins.
    """

    number: int
    service: int
    target: TargetId
    failure_domain: FailureDomain
    calendar: Calendar
    on_finished: Callable[["Engine", Request], None]
    slots: dict[int, Slot] = field(default_factory=dict)
    loading: set[int] = field(default_factory=set)
    waiting: dict[int, list[QueuedRequest]] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    running: dict[int, int] = field(default_factory=dict)
    running_count: int = 0
    queued: int = 0
    up: bool = True
    crashed: bool = False
    slowdown: float = 1.0
    boot: int = 0
    reuse: ReuseCounter = field(default_factory=ReuseCounter)
    backoff: LoadBackoff = field(default_factory=LoadBackoff)
    fair_queue: FairQueue = field(default_factory=FairQueue)
    fill: Fill = field(default_factory=Fill)
    measured_from: float = 0.0
    seconds_per_request: float = 3.0
    seconds_per_load: float = 0.3
    _completions: list[tuple[float, int, Request]] = field(default_factory=list)
    _steps_done: float = 0.0
    _updated_at: float = 0.0
    _epoch: int = 0

    def enqueue(self, request: Request) -> None:
        """Add a request to the queue."""
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
        """Remove a request from the queue and end its stall."""
        items = self.waiting[item.adapter]
        items.remove(item)
        if not items:
            del self.waiting[item.adapter]
        self.queued -= 1
        request = self.requests.pop(item.request)
        self._end_stall(request)
        return request

    def list_ready(self) -> list[QueuedRequest]:
        """Return the queued requests whose adapter is resident."""
        return [item for key in self.slots for item in self.waiting.get(key, ())]

    def list_waiting(self) -> list[QueuedRequest]:
        """Return all queued requests."""
        return [item for items in self.waiting.values() for item in items]

    def count_stalled(self) -> int:
        """Return the number of queued requests whose adapter is not resident."""
        return sum(
            len(items) for key, items in self.waiting.items() if key not in self.slots
        )

    def list_needed_loads(self) -> list[PendingLoad]:
        """Return the adapters that queued requests need, without those being loaded."""
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
        """Return the slots as input for the eviction decision."""
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
        """Return whether an adapter can be loaded without an eviction."""
        return len(self.slots) + len(self.loading) < ADAPTER_SLOTS

    def can_load(self) -> bool:
        """Return whether a slot is empty or unpinned."""
        return self.has_empty_slot() or any(
            not slot.pins for slot in self.slots.values()
        )

    def evict(self, digest: int) -> None:
        """Evict an adapter.

        :raises AssertionError: the adapter is pinned, which is an error of the policy.
        """
        if self.slots.pop(digest).pins:
            raise AssertionError("a pinned adapter was evicted")
        for item in self.waiting.get(digest, ()):
            self.requests[item.request].stalled_since = self.calendar.now

    def add_adapter(self, digest: int) -> None:
        """Make a loaded adapter resident and end the stalls of its requests."""
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
        """Start a queued request, whose adapter must be resident."""
        now = self.calendar.now
        request = self.dequeue(item)
        self._advance()
        slot = self.slots[item.adapter]
        slot.pins += 1
        slot.last_used = now
        self.running[item.adapter] = self.running.get(item.adapter, 0) + 1
        self.running_count += 1
        request.started = now
        end = self._steps_done + request.tokens
        heapq.heappush(self._completions, (end, request.number, request))
        self._schedule_completion()

    def set_slowdown(self, factor: float) -> None:
        """Set the factor on the step time."""
        self._advance()
        self.slowdown = factor
        self._schedule_completion()

    def stop(self) -> list[Request]:
        """Stop the engine's process, discard its state and return its open requests."""
        self._advance()
        lost = [request for _, _, request in self._completions]
        lost += [self.dequeue(item) for item in self.list_waiting()]
        self._completions.clear()
        self.slots.clear()
        self.loading.clear()
        self.running.clear()
        self.running_count = 0
        self.up = False
        self.boot += 1
        self._epoch += 1
        return lost

    def make_report(self, victim: SlotView | None) -> LoadReport:
        """Return a load report as the agent sends it.

        :param victim: the slot that would be evicted next.
        """
        empty = self.has_empty_slot()
        unpinned = sum(1 for slot in self.slots.values() if not slot.pins)
        return LoadReport(
            self.target,
            self.running_count,
            self.queued,
            ADAPTER_SLOTS,
            BATCH_SIZE,
            tuple(self.slots),
            tuple(self.loading),
            self.seconds_per_request,
            seconds_per_load=self.seconds_per_load,
            pending_loads=sum(
                1
                for key in self.waiting
                if key not in self.slots and key not in self.loading
            ),
            free_slots=ADAPTER_SLOTS - len(self.slots) - len(self.loading) + unpinned,
            coldest_reuse=0.0
            if empty or victim is None
            else estimate_reuse(victim, self.calendar.now),
            stalled=self.count_stalled(),
        )

    def _end_stall(self, request: Request) -> None:
        if request.stalled_since >= 0.0:
            request.stall += self.calendar.now - request.stalled_since
            request.stalled_since = -1.0

    def _advance(self) -> None:
        now = self.calendar.now
        if self.running_count and now > self._updated_at:
            steps = (now - self._updated_at) / self._step_seconds()
            self._steps_done += steps
            if now > self.measured_from:
                measured_steps = steps * min(
                    1.0, (now - self.measured_from) / (now - self._updated_at)
                )
                self.fill.steps += measured_steps
                self.fill.tokens += measured_steps * self.running_count
                self.fill.adapters += measured_steps * len(self.running)
        self._updated_at = now

    def _step_seconds(self) -> float:
        return step_time(self.running_count, len(self.running)) * self.slowdown

    def _schedule_completion(self) -> None:
        self._epoch += 1
        if self._completions:
            remaining_steps = max(0.0, self._completions[0][0] - self._steps_done)
            at = self.calendar.now + remaining_steps * self._step_seconds()
            self.calendar.call_at(at, self._finish_first, self._epoch)

    def _finish_first(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        _, _, request = heapq.heappop(self._completions)
        now = self.calendar.now
        self.slots[request.adapter].pins -= 1
        self.slots[request.adapter].last_used = now
        self.running[request.adapter] -= 1
        if not self.running[request.adapter]:
            del self.running[request.adapter]
        self.running_count -= 1
        self.seconds_per_request += RUN_SMOOTHING * (
            now - request.started - self.seconds_per_request
        )
        self._schedule_completion()
        self.on_finished(self, request)


@dataclass
class FutureArrivals:
    """Future arrivals by service and adapter, for the clairvoyant policy."""

    arrivals: list[Request]
    _next_uses: dict[tuple[int, int], deque[float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for request in self.arrivals:
            key = (request.service, request.adapter)
            self._next_uses.setdefault(key, deque()).append(request.arrival)

    def next_use(self, service: int, adapter: int, now: float) -> float:
        """Return the virtual time of the next arrival after now, infinity for none.

        Times up to now are discarded, so that now must not decrease between calls.
        """
        times = self._next_uses.get((service, adapter), deque())
        while times and times[0] <= now:
            times.popleft()
        return times[0] if times else float("inf")
