"""Documents and targets to subscribers, as deltas under a lease.

Each replica serves the subscribers that are linked to it. It books until when each
of them may act on what it holds, so that it can tell when a change is in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ibishead.clock import Clock
from ibishead.control.state import ControlState, Delta
from ibishead.ids import HostId, LogIndex, ServiceName
from ibishead.messages import Publish, ReportInForce, Subscribe

__all__ = ["LEASE", "Publisher", "Subscriber"]

#: Seconds for which a holder may act on its documents without hearing more. A
#: leader is replaced in less, so that holders don't notice; it also bounds how long
#: a silent holder delays that a change is in force.
LEASE = 4.0

#: Seconds in which a holder must have applied what was sent, or its lease isn't
#: renewed: one that hangs would otherwise delay every change for ever.
APPLY_LIMIT = 2.0


@dataclass(eq=False)
class Subscriber:
    """One holder of documents on a live link.

    :param index: where it stands once it has applied all that was sent.
    :param reported: where it said that it stands.
    :param number: of its last report.
    :param behind_since: monotonic seconds of the oldest delta not reported, if any.
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
class _Departed:
    host: HostId
    reported: LogIndex
    lease_until: float


@dataclass
class _Deltas:
    state: ControlState
    known: dict[tuple[LogIndex, frozenset[ServiceName]], Delta] = field(
        default_factory=dict
    )

    def find(self, subscriber: Subscriber) -> Delta:
        key = (subscriber.index, subscriber.services)
        if key not in self.known:
            self.known[key] = self.state.collect(*key)
        return self.known[key]


class Publisher:
    """The subscribers of one replica.

    :param vouch: returns the seconds for which this replica vouches for its state.
    """

    def __init__(
        self, state: ControlState, vouch: Callable[[], float], clock: Clock
    ) -> None:
        self._state = state
        self._vouch = vouch
        self._clock = clock
        self._subscribers: set[Subscriber] = set()
        self._departed: list[_Departed] = []

    def __len__(self) -> int:
        return len(self._subscribers)

    def subscribe(self, ask: Subscribe, send: Callable[[Publish], None]) -> Subscriber:
        """Send what the asker is missing, and from now on every change."""
        index = LogIndex(ask.index)
        subscriber = Subscriber(ask.host, frozenset(ask.services), send, index, index)
        self._subscribers.add(subscriber)
        self._send(subscriber, self._state.collect(index, subscriber.services))
        return subscriber

    def leave(self, subscriber: Subscriber) -> None:
        """Forget a holder whose link is over, but not the lease that it has."""
        self._subscribers.discard(subscriber)
        now = self._clock.monotonic()
        self._departed = [d for d in self._departed if d.lease_until > now]
        # Failure: a holder whose link broke acts on old documents until its lease
        # runs out. A change that was called in force before would seem to revert.
        if subscriber.lease_until > now:
            self._departed.append(
                _Departed(subscriber.host, subscriber.reported, subscriber.lease_until)
            )

    def report(self, subscriber: Subscriber, report: ReportInForce) -> None:
        """Note where a holder stands, and renew its lease."""
        subscriber.reported = LogIndex(max(subscriber.reported, report.index))
        subscriber.number = max(subscriber.number, report.number)
        if subscriber.reported >= subscriber.index:
            subscriber.behind_since = None
        self._send(
            subscriber, self._state.collect(subscriber.index, subscriber.services)
        )

    def publish(self) -> None:
        """Send all subscribers what has changed since they were last sent anything."""
        deltas = _Deltas(self._state)
        for subscriber in self._subscribers:
            delta = deltas.find(subscriber)
            if not delta.empty:
                self._send(subscriber, delta)

    def list_waiting(self, index: LogIndex) -> list[HostId]:
        """Return the holders with a live lease that haven't applied ``index``."""
        # Holders hear of what concerns them only, so none ever reports the index of
        # a claim; they are current once they have the last change before it.
        if index <= self._state.applied:
            index = min(index, self._state.changed)
        now = self._clock.monotonic()
        holders: Iterable[Subscriber | _Departed] = (
            *self._subscribers,
            *self._departed,
        )
        waiting = {
            holder.host
            for holder in holders
            if holder.lease_until > now and holder.reported < index
        }
        return sorted(waiting)

    def _send(self, subscriber: Subscriber, delta: Delta) -> None:
        now = self._clock.monotonic()
        # A holder that lacks a part may still hold what was replaced
        lease = 0.0 if delta.partial else self._choose_lease(subscriber, now)
        if not delta.empty and subscriber.behind_since is None:
            subscriber.behind_since = now
        subscriber.index = delta.index
        # The holder counts from when it sent its report, which was before now, so
        # its lease ends before the one that is booked here.
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
        if since is not None and now - since > APPLY_LIMIT:
            return 0.0
        return LEASE if self._vouch() > 0 else 0.0
