"""Registrations of targets, kept as soft state.

Views are not agreed on between hosts: each host merges the registrations it receives.
The newest registration of the newest incarnation of a target wins, whatever the order
of arrival.
"""

from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from ibishead.ids import (
    FailureDomain,
    ModelName,
    ServiceName,
    SoftwareVersion,
    TargetId,
)

__all__ = [
    "DEPARTURE_SEQUENCE",
    "PROVISIONAL_SEQUENCE",
    "AdapterRef",
    "Holding",
    "Registration",
    "StreamOrigin",
    "TargetState",
    "TargetView",
    "WeightKey",
    "list_adapters",
    "make_departure",
]

#: Seconds without contact after which the record of a target that is gone, and of one
#: that drains, is removed. They exceed the delay of any late registration of the
#: target's last incarnation, and the time for which a draining target may go on.
GONE_RETENTION_SECONDS = 60.0
DRAINING_RETENTION_SECONDS = 600.0

#: Sequence number of a registration that an engine's steward makes until the engine
#: does so itself, lower than any of the engine's own.
PROVISIONAL_SEQUENCE = -1

#: Sequence number of a recorded departure, which gives way to all that the target says
#: of itself, other than that it is ready.
DEPARTURE_SEQUENCE = -2


class TargetState(Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class AdapterRef(msgspec.Struct, frozen=True, array_like=True):
    """One version of an adapter, as an engine lists it."""

    name: str
    version: int


class WeightKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the weights of a model, or of an adapter of it.

    :param adapter: empty for the model itself.
    """

    model: ModelName
    adapter: str = ""


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """A model that an engine has loaded, with the adapters loaded for it."""

    model: ModelName
    version: int
    adapters: tuple[AdapterRef, ...] = ()


def list_adapters(holdings: Iterable[Holding]) -> dict[WeightKey, int]:
    """Return the versions of all adapters that an engine has loaded."""
    return {
        WeightKey(holding.model, ref.name): ref.version
        for holding in holdings
        for ref in holding.adapters
    }


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """A target's description of itself at one time.

    :param address: ``ADDRESS:PORT`` where the target accepts requests.
    :param slots: number of requests that the target runs at once.
    :param born: start of the target, in milliseconds since 1970; distinguishes its
        incarnations.
    :param sequence: rises with each registration of an incarnation.
    :param warm_up: seconds for which the target remains slow after its start.
    :param remaining: seconds until the target ends, even if requests are running; none
        if not known.
    :param holdings: the loaded models and adapters.
    :param software: empty if the target has not named it.
    """

    target: TargetId
    service: ServiceName
    address: str
    domain: FailureDomain
    slots: int
    state: TargetState
    born: int
    sequence: int
    warm_up: float = 0.0
    remaining: float | None = None
    holdings: tuple[Holding, ...] = ()
    software: SoftwareVersion = SoftwareVersion("")

    @property
    def age(self) -> tuple[int, int]:
        """Sort key that orders the registrations of one target."""
        return (self.born, self.sequence)

    @property
    def is_provisional(self) -> bool:
        """Whether the target's steward made it, which doesn't know the software."""
        return self.sequence == PROVISIONAL_SEQUENCE

    @property
    def is_leaving(self) -> bool:
        """Whether the target takes no new requests and never will."""
        return self.state is not TargetState.READY

    @property
    def is_departure(self) -> bool:
        """Whether it is the record of a departure, not the target's own."""
        return self.sequence == DEPARTURE_SEQUENCE

    @property
    def names_software(self) -> bool:
        """Whether the target itself made it, and could name its software version."""
        return not self.is_provisional and not self.is_departure

    @property
    def origin(self) -> "StreamOrigin":
        """Origin of the streams that begin at the target."""
        return StreamOrigin(self.service, self.software)

    def as_departure(self) -> "Registration":
        """Return the record of a leaving target's departure, without what changes."""
        return msgspec.structs.replace(
            self,
            sequence=DEPARTURE_SEQUENCE,
            warm_up=0.0,
            remaining=None,
            holdings=(),
        )


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream, and alone may go on with it.

    :param software: empty if the target has not named it.
    """

    service: ServiceName
    software: SoftwareVersion


class TargetView:
    """The newest registration of each target that one host has received.

    A delayed registration may arrive after its target has ended and another one has
    started, at the same address or under the same name. It must not replace the newer
    target, so incarnations are ordered by their start times.
    """

    def __init__(self) -> None:
        self._known: dict[TargetId, Registration] = {}
        self._last_seen: dict[TargetId, float] = {}

    def __iter__(self) -> Iterator[Registration]:
        return iter(self._known.values())

    def get(self, target: TargetId) -> Registration | None:
        """Return the newest registration of a target, or none."""
        return self._known.get(target)

    def last_seen(self, target: TargetId) -> float:
        """Return when the target last registered or sent a heartbeat.

        :returns: monotonic seconds, 0 for an unknown target.
        """
        return self._last_seen.get(target, 0.0)

    def merge(self, registration: Registration, now: float) -> bool:
        """Merge a registration.

        An incarnation that has left the ready state never returns to it, nor one that
        has ended to draining, whatever its own registrations say and in whichever order
        they arrive.

        :param now: monotonic seconds.
        :returns: whether it replaced the known registration of its target.
        """
        known = self._known.get(registration.target)
        if (
            known is not None
            and known.born == registration.born
            and known.state is not registration.state
        ):
            self._last_seen[registration.target] = now
            later = _STATES_IN_ORDER.index(registration.state)
            if later < _STATES_IN_ORDER.index(known.state):
                return False
            # a record of a departure may not know more than that the target left
            latest = known if registration.is_departure else registration
            self._known[registration.target] = msgspec.structs.replace(
                latest,
                state=registration.state,
                sequence=max(known.sequence, registration.sequence),
            )
            return True
        if known is not None and registration.age <= known.age:
            if registration.age == known.age:
                self._last_seen[registration.target] = now
            return False
        self._known[registration.target] = registration
        self._last_seen[registration.target] = now
        return True

    def record_heartbeat(
        self, target: TargetId, born: int, sequence: int, now: float
    ) -> bool:
        """Record a heartbeat of a target.

        :param born: start of the incarnation that sent it.
        :param sequence: sequence number of the repeated registration.
        :param now: monotonic seconds.
        :returns: whether that incarnation of the target is known.
        """
        known = self._known.get(target)
        if known is None or known.born != born:
            return False
        self._last_seen[target] = now
        if sequence > known.sequence:
            self._known[target] = msgspec.structs.replace(known, sequence=sequence)
        return True

    def mark_gone(self, target: TargetId, born: int, now: float) -> Registration | None:
        """Mark a target as gone, also one that is unknown.

        :param born: start of the incarnation that ended, 0 if unspecified.
        :param now: monotonic seconds.
        :returns: the resulting registration; none if the target is already gone, or
            known in a later incarnation.
        """
        known = self._known.get(target)
        if known is None or born > known.born:
            gone = make_departure(target, born)
            self.merge(gone, now)
            return gone
        if known.state is TargetState.GONE or (born and born != known.born):
            return None
        gone = msgspec.structs.replace(
            known, state=TargetState.GONE, sequence=known.sequence + 1
        )
        self._known[target] = gone
        self._last_seen[target] = now
        return gone

    def mark_leaving(self, target: TargetId, born: int) -> Registration | None:
        """Mark a ready target as draining.

        :param born: start of the incarnation that leaves.
        :returns: the resulting registration; none if no such incarnation is ready.
        """
        known = self._known.get(target)
        if known is None or known.born != born or known.is_leaving:
            return None
        leaving = msgspec.structs.replace(known, state=TargetState.DRAINING)
        self._known[target] = leaving
        return leaving

    def list_ready_targets(self, service: ServiceName) -> list[Registration]:
        """Return the ready targets of a service.

        Of several targets at one address only the newest counts.
        """
        newest: dict[str, Registration] = {}
        for found in self._known.values():
            other = newest.get(found.address)
            if other is None or found.born > other.born:
                newest[found.address] = found
        return [
            found
            for found in newest.values()
            if found.service == service and found.state is TargetState.READY
        ]

    def find_only_version(
        self, service: ServiceName, now: float
    ) -> SoftwareVersion | None:
        """Return the software version that all targets of a service have in common.

        Targets that have left count for a while, as streams that they began may be
        resumed.

        :param now: monotonic seconds.
        :returns: ``None`` if there are several versions, or a target names none.
        """
        versions = {
            found.software
            for found in self._known.values()
            if found.service == service
            and (
                not found.is_leaving
                or now - self._last_seen[found.target] <= GONE_RETENTION_SECONDS
            )
        }
        return versions.pop() or None if len(versions) == 1 else None

    def find_by_address(self, address: str) -> Registration | None:
        """Return the newest target at an address that is not gone, or none."""
        candidates = [
            found
            for found in self._known.values()
            if found.address == address and found.state is not TargetState.GONE
        ]
        return max(candidates, key=lambda found: found.age, default=None)

    def remove_expired(self, now: float, silence: float) -> list[TargetId]:
        """Remove expired targets.

        A target expires some time after it left, or without contact.

        :param now: monotonic seconds.
        :param silence: seconds without contact after which a ready target expires.
        :returns: the removed targets.
        """
        expired = [
            name
            for name, found in self._known.items()
            if now - self._last_seen[name] > _RETENTIONS.get(found.state, silence)
        ]
        for name in expired:
            del self._known[name], self._last_seen[name]
        return expired


_RETENTIONS = {
    TargetState.GONE: GONE_RETENTION_SECONDS,
    TargetState.DRAINING: DRAINING_RETENTION_SECONDS,
}

#: A state never goes back to an earlier one within an incarnation.
_STATES_IN_ORDER = (TargetState.READY, TargetState.DRAINING, TargetState.GONE)


def make_departure(target: TargetId, born: int) -> Registration:
    """Return the record of the departure of a target of which nothing else is known.

    :param born: start of the incarnation that ended.
    """
    return Registration(
        target,
        ServiceName(""),
        "",
        FailureDomain(""),
        0,
        TargetState.GONE,
        born,
        DEPARTURE_SEQUENCE,
    )
