"""The registry's replicated state.

The state is the route set, the floors (minimum versions) of adapters, the fencing
numbers, whether the accounts of quotas have lately been credited in advance, the
prompt parts that crash engines, the origins of streams that may be resumed, and the
departures of targets.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec

from ibishead.errors import InvalidInput, StorageFault
from ibishead.ids import CustomerId, SoftwareVersion, TargetId
from ibishead.registry.commands import (
    AddOrigins,
    BlockPart,
    Command,
    CreditMarked,
    DeparturesRecorded,
    FenceTaken,
    FloorRaised,
    OriginsRecorded,
    PartBlocked,
    PutRoutes,
    RaiseFloor,
    RecordDepartures,
    Rejected,
    ReleaseCredit,
    ReleasePart,
    RemoveDepartures,
    RemoveOrigins,
    Result,
    RoutesPut,
    TakeCredit,
    TakeFence,
    TryPart,
    decode_command,
    encode_result,
)
from ibishead.routing.changes import pack, unpack
from ibishead.routing.messages import AdapterFloor, BlockedPart, BlockedParts
from ibishead.routing.routes import RouteSet, find_moved_services
from ibishead.routing.targets import (
    Registration,
    StreamOrigin,
    TargetState,
    WeightKey,
)

__all__ = ["MAX_BLOCKED_PARTS", "MAX_DEPARTURES", "RouteState", "sort_origins"]

logger = logging.getLogger(__name__)

#: Maximum number of blocked prompt parts. Beyond it, the one blocked first is removed.
MAX_BLOCKED_PARTS = 1000

#: Maximum number of recorded departures. Beyond it, the one recorded first is removed.
MAX_DEPARTURES = 10_000


class _SavedState(msgspec.Struct, frozen=True, array_like=True):
    routes: RouteSet | None
    document: bytes
    floors: tuple[AdapterFloor, ...]
    applied: int
    credit_term: int = 0
    blocked: BlockedParts = BlockedParts(0, ())
    origins: tuple[StreamOrigin, ...] = ()
    departures: tuple[Registration, ...] = ()


class RouteState:
    """The replicated state; applying the same log gives the same state on all replicas.

    :ivar on_change: called after each command that changed routes, floors or blocked
        prompt parts.
    :ivar on_departures: called with departures that were recorded.
    :ivar document: the route set in force as submitted; empty if there is none.
    :ivar applied: log index of the last applied command.
    :ivar credit_term: term of the leader that was the last to credit the accounts of
        quotas in advance, 0 if no such credit counts any more.
    :ivar blocked: the blocked prompt parts.
    :ivar origins: the origins of streams that may be resumed. One of unknown software
        stands for the streams of other services on routes that have moved.
    :ivar departures: the latest recorded departure of each target.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _do_nothing
        self.on_departures: Callable[[tuple[Registration, ...]], None] = lambda _: None
        self.routes: RouteSet | None = None
        self.document = b""
        self.floors: dict[WeightKey, AdapterFloor] = {}
        self.applied = 0
        self.credit_term = 0
        self.blocked = BlockedParts(0, ())
        self.origins: tuple[StreamOrigin, ...] = ()
        self.departures: dict[TargetId, Registration] = {}

    @property
    def version(self) -> int:
        """Version of the route set in force, 0 if there is none."""
        return 0 if self.routes is None else self.routes.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result.

        An error results in `Rejected` and is not raised: an entry that raised would
        stop every replica at the same index, and again after each restart.
        """
        self.applied = index
        try:
            result = self._execute(index, decode_command(command))
        except Exception as error:
            logger.exception("log entry cannot be applied", extra={"index": index})
            result = Rejected(str(error))
        return encode_result(result)

    def capture(self) -> bytes:
        """Return the encoded state for a snapshot."""
        floors = tuple(self.floors.values())
        saved = _SavedState(
            self.routes,
            self.document,
            floors,
            self.applied,
            self.credit_term,
            self.blocked,
            self.origins,
            tuple(self.departures.values()),
        )
        return pack(msgspec.msgpack.encode(saved))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot.

        :raises StorageFault: the data is not a valid snapshot.
        """
        try:
            saved = msgspec.msgpack.decode(unpack(data), type=_SavedState)
        except (msgspec.DecodeError, InvalidInput) as error:
            raise StorageFault(
                f"the snapshot cannot be decoded: {error}",
                "run the version of ibishead that wrote it, or empty this data folder",
            ) from error
        self.routes = saved.routes
        self.document = saved.document
        self.floors = {floor.key: floor for floor in saved.floors}
        self.applied = saved.applied
        self.credit_term = saved.credit_term
        self.blocked = saved.blocked
        self.origins = saved.origins
        self.departures = {found.target: found for found in saved.departures}
        self.on_change()
        self.on_departures(saved.departures)

    def list_floors(self, index: int) -> tuple[AdapterFloor, ...]:
        """Return the floors that were raised after a log index."""
        return tuple(f for f in self.floors.values() if f.index > index)

    def has_departed(self, registration: Registration) -> bool:
        """Return whether the departure of a leaving target is recorded."""
        recorded = self.departures.get(registration.target)
        if recorded is None or recorded.born < registration.born:
            return False
        ended = recorded.state is TargetState.GONE
        return (
            recorded.born > registration.born
            or ended
            or recorded.state is registration.state
        )

    def _execute(self, index: int, command: Command) -> Result:
        match command:
            case PutRoutes(routes, document):
                if routes.version > self.version:
                    self._record_moves(routes)
                    self.routes, self.document = routes, document
                    self.on_change()
                return RoutesPut(self.version)
            case RaiseFloor(key, version):
                known = self.floors.get(key)
                if known is None or version > known.version:
                    self.floors[key] = AdapterFloor(key, version, index)
                    self.on_change()
                return FloorRaised(self.floors[key].version)
            case TakeFence():
                # The log index rises with every command, also across restarts
                return FenceTaken(index)
            case TakeCredit(term):
                granted = self.credit_term == 0 and self._has_quotas()
                if granted:
                    self.credit_term = term
                return CreditMarked(granted)
            case ReleaseCredit(term):
                if self.credit_term == term:
                    self.credit_term = 0
                return CreditMarked(False)
            case BlockPart() | TryPart() | ReleasePart():
                self._change_blocked(index, command)
                return PartBlocked(
                    any(found.part == command.part for found in self.blocked.parts)
                )
            case AddOrigins(origins):
                self.origins = sort_origins({*self.origins, *origins})
                return OriginsRecorded()
            case RemoveOrigins(origins):
                self.origins = sort_origins(set(self.origins).difference(origins))
                return OriginsRecorded()
            case RecordDepartures(departures):
                self._record_departures(departures)
                return DeparturesRecorded()
            case RemoveDepartures(targets):
                for target, born in targets:
                    recorded = self.departures.get(target)
                    if recorded is not None and recorded.born == born:
                        del self.departures[target]
                return DeparturesRecorded()

    def _record_moves(self, routes: RouteSet) -> None:
        """Record that streams of other services are resumed on routes that move."""
        moved = find_moved_services(self.routes, routes) if self.routes else ()
        unknown = {StreamOrigin(name, SoftwareVersion("")) for name in moved}
        self.origins = sort_origins({*self.origins, *unknown})

    def _record_departures(self, departures: tuple[Registration, ...]) -> None:
        added = tuple(found for found in departures if not self.has_departed(found))
        for departure in added:
            self.departures.pop(departure.target, None)
            self.departures[departure.target] = departure
        for target in list(self.departures)[:-MAX_DEPARTURES]:
            del self.departures[target]
        if added:
            self.on_departures(added)

    def _change_blocked(
        self, index: int, command: BlockPart | TryPart | ReleasePart
    ) -> None:
        known = {blocked.part: blocked for blocked in self.blocked.parts}
        # reinserted at the end, as the part that was changed last
        before = known.pop(command.part, None)
        match command:
            case BlockPart(part, customer):
                known[part] = _add_customer(before or BlockedPart(part, ()), customer)
            case TryPart(part, tester) if before is not None:
                known[part] = msgspec.structs.replace(
                    before, trials=before.trials + 1, tester=tester
                )
        parts = tuple(known.values())[-MAX_BLOCKED_PARTS:]
        if parts != self.blocked.parts:
            self.blocked = BlockedParts(index, parts)
            self.on_change()

    def _has_quotas(self) -> bool:
        customers = self.routes.customers if self.routes is not None else None
        return any(customer.quota is not None for customer in customers or ())


def sort_origins(origins: Iterable[StreamOrigin]) -> tuple[StreamOrigin, ...]:
    """Return origins in the same order on all replicas."""
    return tuple(sorted(origins, key=lambda o: (o.service, o.software)))


def _add_customer(blocked: BlockedPart, customer: CustomerId | None) -> BlockedPart:
    if customer is None or blocked.customers is None:
        return msgspec.structs.replace(blocked, customers=None)
    customers = tuple(sorted({*blocked.customers, customer}))
    return msgspec.structs.replace(blocked, customers=customers)


def _do_nothing() -> None:
    pass
