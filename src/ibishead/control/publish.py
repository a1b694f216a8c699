"""Publication of documents and targets to subscribers, as deltas under a lease.

Each replica serves the subscribers that are linked to it. It records until when each
of them may act on the state it holds, to determine when a change is in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ibishead.clock import Clock
from ibishead.control.state import ControlState, Delta
from ibishead.ids import HostId, LogIndex, ServiceName
from ibishead.messages import Publish, ReportInForce, Subscribe

__all__ = ["LEASE_SECONDS", "Publisher", "Subscriber"]

#: Time for which a holder may act on its documents without a renewal. An election
#: takes less, so that holders keep their leases through it. The value also bounds for
#: how long a silent holder delays that a change is in force.
LEASE_SECONDS = 4.0

#: Time in which a holder must have applied what was sent, or its lease isn't renewed.
#: Otherwise a holder that hangs would delay every change indefinitely.
MAX_APPLY_SECONDS = 2.0


@dataclass(eq=False)
class Subscriber:
    """A holder of documents that is linked to this replica.

    :param index: log index that it reaches by applying all that was sent.
    :param reported: log index that it has reported as applied.
    :param number: number of its last report.
    :param lease_until: monotonic seconds at which its lease ends at the latest.
    :param behind_since: monotonic seconds at which the oldest delta that it hasn't
        reported was sent, if there is one.
    """

    host: HostId
    services: frozenset[ServiceName]
    send: Callable[[Publish], None]
    index: LogIndex
    reported: LogIndex
    number: int = 0
    lease_until: float = 0.0
    behind_since: float | None = None


@dataclass(frozen=True)
class _FormerSubscriber:
    host: HostId
    reported: LogIndex
    lease_until: float


@dataclass
class _DeltaCache:
    state: ControlState
    cached: dict[tuple[LogIndex, frozenset[ServiceName]], Delta] = field(
        default_factory=dict
    )

    def find(self, subscriber: Subscriber) -> Delta:
        key = (subscriber.index, subscriber.services)
        if key not in self.cached:
            self.cached[key] = self.state.collect(*key)
        return self.cached[key]


class Publisher:
    """Publishes state changes to the subscribers of one replica.

    :param get_lease: returns the remaining seconds of this replica's own lease.
    """

    def __init__(
        self, state: ControlState, get_lease: Callable[[], float], clock: Clock
    ) -> None:
        self._state = state
        self._get_lease = get_lease
        self._clock = clock
        self._subscribers: set[Subscriber] = set()
        self._former_subscribers: list[_FormerSubscriber] = []

    def __len__(self) -> int:
        return len(self._subscribers)

    def subscribe(
        self, request: Subscribe, send: Callable[[Publish], None]
    ) -> Subscriber:
        """Add a subscriber, and send it the changes after the index that it holds."""
        index = LogIndex(request.index)
        subscriber = Subscriber(
            request.host, frozenset(request.services), send, index, index
        )
        self._subscribers.add(subscriber)
        self._send(subscriber, self._state.collect(index, subscriber.services))
        return subscriber

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove a subscriber whose link has closed, but remember its lease."""
        self._subscribers.discard(subscriber)
        now = self._clock.monotonic()
        self._former_subscribers = [
            f for f in self._former_subscribers if f.lease_until > now
        ]
        # Failure: a holder whose link broke acts on old documents until its lease
        # expires. A change reported as in force before that would appear to revert.
        if subscriber.lease_until > now:
            self._former_subscribers.append(
                _FormerSubscriber(
                    subscriber.host, subscriber.reported, subscriber.lease_until
                )
            )

    def handle_report(self, subscriber: Subscriber, report: ReportInForce) -> None:
        """Record the index that a holder has applied, and renew its lease."""
        subscriber.reported = LogIndex(max(subscriber.reported, report.index))
        subscriber.number = max(subscriber.number, report.number)
        if subscriber.reported >= subscriber.index:
            subscriber.behind_since = None
        self._send(
            subscriber, self._state.collect(subscriber.index, subscriber.services)
        )

    def publish(self) -> None:
        """Send every subscriber the changes since its last delta, if there are any."""
        deltas = _DeltaCache(self._state)
        for subscriber in self._subscribers:
            delta = deltas.find(subscriber)
            if not delta.empty:
                self._send(subscriber, delta)

    def list_lagging(self, index: LogIndex) -> list[HostId]:
        """Return the holders with an unexpired lease that haven't applied ``index``."""
        # Holders are sent only what concerns them, so none ever reports the index of a
        # claim. They are current once they have the last published change before it.
        if index <= self._state.applied:
            index = min(index, self._state.changed)
        now = self._clock.monotonic()
        holders: Iterable[Subscriber | _FormerSubscriber] = (
            *self._subscribers,
            *self._former_subscribers,
        )
        lagging = {
            holder.host
            for holder in holders
            if holder.lease_until > now and holder.reported < index
        }
        return sorted(lagging)

    def _send(self, subscriber: Subscriber, delta: Delta) -> None:
        now = self._clock.monotonic()
        # A holder that lacks a part of the changes may still hold replaced documents
        lease = 0.0 if delta.partial else self._choose_lease(subscriber, now)
        if not delta.empty and subscriber.behind_since is None:
            subscriber.behind_since = now
        subscriber.index = delta.index
        # The holder counts its lease from when it sent its report, which was earlier,
        # so that its lease ends before the one recorded here.
        subscriber.lease_until = max(subscriber.lease_until, now + lease)
        subscriber.send(
            Publish(
                delta.index,
                lease,
                delta.documents,
                delta.targets,
                delta.gone,
                delta.whole,
                subscriber.number,
            )
        )

    def _choose_lease(self, subscriber: Subscriber, now: float) -> float:
        since = subscriber.behind_since
        if since is not None and now - since > MAX_APPLY_SECONDS:
            return 0.0
        return LEASE_SECONDS if self._get_lease() > 0 else 0.0
