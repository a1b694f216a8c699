"""The registry's operations for targets and operators, independent of the protocol."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from typing import TypeVar

import msgspec

from ibishead.clock import Clock
from ibishead.control.log.machine import Replica
from ibishead.errors import ErrorCode, IbisheadError, InvalidInput, Unavailable
from ibishead.ids import TargetId
from ibishead.metrics import Metrics
from ibishead.registry.commands import (
    Command,
    DeparturesRecorded,
    FenceTaken,
    FloorRaised,
    PutRoutes,
    RaiseFloor,
    RecordDepartures,
    Rejected,
    Result,
    RoutesPut,
    TakeFence,
    decode_result,
    encode_command,
)
from ibishead.registry.publisher import FeedPublisher
from ibishead.registry.state import RouteState
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import RouteSet, check_routes
from ibishead.routing.targets import (
    Registration,
    StreamOrigin,
    TargetState,
    WeightKey,
    make_departure,
)

__all__ = ["RedirectError", "RegistryService"]

logger = logging.getLogger(__name__)

_T = TypeVar("_T")

#: Error codes of a replica that prove that a command was not appended to the log.
_NOT_APPENDED = frozenset({ErrorCode.NO_QUORUM, ErrorCode.STORAGE_FULL})

#: Delay before a command that found no leader is retried.
RETRY_INTERVAL_SECONDS = 0.05

#: Time for which a command is retried. Operators try another host after one second
#: without an answer.
COMMAND_TIMEOUT_SECONDS = 0.85

#: Retry delay suggested to callers when there is no quorum.
NO_QUORUM_RETRY_AFTER = timedelta(seconds=0.3)


class RedirectError(IbisheadError):
    """This registry has no log replica; the caller is redirected to one that has.

    :param address: ``ADDRESS:PORT`` of that registry's HTTP server.
    """

    code = ErrorCode.NOT_LEADER
    status = 307

    def __init__(self, address: str) -> None:
        super().__init__(
            "this registry has no log replica", f"send the request to {address}"
        )
        self.address = address


class RegistryService:
    """Handles registrations of targets and commands of operators.

    :param replica: this registry's log replica; none on a host without a disk.
    :param on_announced: called with each registration of a target that changed
        something.
    """

    def __init__(
        self,
        state: RouteState,
        replica: Replica | None,
        feed: RegistryFeed,
        publisher: FeedPublisher,
        clock: Clock,
        metrics: Metrics,
        on_announced: Callable[[Registration], None] = lambda _: None,
    ) -> None:
        self._state = state
        self._replica = replica
        self._feed = feed
        self._publisher = publisher
        self._clock = clock
        self.metrics = metrics
        self._on_announced = on_announced
        self._redirect_count = 0

    # Targets -----------------------------------------------------------------

    def announce(self, registration: Registration) -> None:
        """Merge a target's registration, and send it to subscribers if it changed.

        A registration that repeats the last one is sent as a heartbeat.
        """
        now = self._clock.monotonic()
        known = self._feed.view.get(registration.target)
        if not self._feed.view.merge(registration, now):
            return
        if known is not None and _is_heartbeat(known, registration):
            self._publisher.queue_heartbeat(registration)
            return
        logger.info(
            "target registration changed",
            extra={
                "target": registration.target,
                "service": registration.service,
                "address": registration.address,
                "state": registration.state.value,
                "born": registration.born,
                "sequence": registration.sequence,
                "software": registration.software,
            },
        )
        self._publisher.publish_registrations((registration,))
        self._on_announced(registration)

    async def register(self, registration: Registration) -> None:
        """Handle a target's own registration; return once it may be acknowledged.

        What it says takes effect at once. That the target leaves is acknowledged only
        when the log has recorded it, as the target then relies on it.

        :raises Unavailable: the departure was not committed, or its outcome is unknown.
        """
        self.announce(registration)
        if registration.is_leaving:
            await self._record_departure(registration)

    async def deregister(self, target: TargetId, born: int) -> None:
        """Mark a target as gone; return once the log has recorded it.

        :param born: start of the incarnation that ended, 0 if unspecified.
        :raises Unavailable: the departure was not committed, or its outcome is unknown.
        """
        view = self._feed.view
        gone = view.mark_gone(target, born, self._clock.monotonic())
        if gone is not None:
            logger.info(
                "target deregistered", extra={"target": target, "born": gone.born}
            )
            self._publisher.publish_registrations((gone,))
        known = view.get(target)
        same = known is not None and born in (0, known.born)
        await self._record_departure(
            known if known is not None and same else make_departure(target, born)
        )

    def handle_departures(self, departures: tuple[Registration, ...]) -> None:
        """Merge departures that the log has recorded, and send what they change."""
        now = self._clock.monotonic()
        changed = tuple(r for r in departures if self._feed.view.merge(r, now))
        if changed:
            self._publisher.publish_registrations(changed)

    async def _record_departure(self, registration: Registration) -> None:
        if self._replica is not None and self._state.has_departed(registration):
            return
        command = RecordDepartures((registration.as_departure(),))
        fields = {"target": registration.target, "born": registration.born}
        with self._log_command("record_departure", **fields):
            result = await self._run_command(command)
            if not isinstance(result, DeparturesRecorded):
                raise _convert_rejection(result)

    # Operators ---------------------------------------------------------------

    async def put_routes(self, routes: RouteSet, document: bytes) -> int:
        """Put a route set in force if its version is the highest.

        :param document: the route set as the operator submitted it.
        :returns: the version in force.
        :raises InvalidInput: the set is inconsistent; nothing was changed.
        :raises Unavailable: the command was not committed, or its outcome is unknown.
        """
        with self._log_command("put_routes", version=routes.version):
            check_routes(routes)
            if self._replica is not None and routes.version <= self._state.version:
                # A version applied here is committed, so it is never superseded by
                # this lower one
                return self._state.version
            result = await self._run_command(PutRoutes(routes, document))
            match result:
                case RoutesPut(version):
                    return version
            raise _convert_rejection(result)

    async def read_routes(self) -> bytes:
        """Return the newest accepted route set as submitted; empty if there is none.

        :raises Unavailable: no quorum confirmed which route set is the newest.
        """
        replica = self._require_replica()
        try:
            await self._retry(replica, replica.confirm_read)
        except Unavailable as error:
            raise Unavailable(
                "no quorum confirmed in time which route set is the newest",
                "send the request to another registry",
                code=ErrorCode.NO_QUORUM,
                retry_after=NO_QUORUM_RETRY_AFTER,
            ) from error
        return self._state.document

    async def list_origins(self) -> tuple[StreamOrigin, ...]:
        """Return the origins of streams that were recorded before the call.

        :raises Unavailable: no quorum confirmed them.
        """
        replica = self._require_replica()
        await self._retry(replica, replica.confirm_read)
        return self._state.origins

    async def raise_floor(self, key: WeightKey, version: int) -> int:
        """Raise the minimum version on which new requests may start.

        :returns: the minimum version in force.
        :raises InvalidInput: the version is below 1.
        :raises Unavailable: the command was not committed, or its outcome is unknown.
        """
        weights = f"{key.model}/{key.adapter}"
        with self._log_command("raise_floor", weights=weights, version=version):
            if version < 1:
                raise InvalidInput(
                    f"version {version} is invalid", "send a version above zero"
                )
            known = self._state.floors.get(key)
            current = known.version if known is not None else 0
            if self._replica is not None and current >= version:
                return current
            result = await self._run_command(RaiseFloor(key, version))
            match result:
                case FloorRaised(floor):
                    return floor
            raise _convert_rejection(result)

    async def take_fence(self, holder: str) -> int:
        """Allocate a fencing number higher than all earlier ones.

        :raises Unavailable: no quorum answered.
        """
        result = await self._run_command(TakeFence(holder))
        match result:
            case FenceTaken(fence):
                return fence
        raise _convert_rejection(result)

    @contextlib.contextmanager
    def _log_command(self, command: str, **fields: object) -> Iterator[None]:
        started = self._clock.monotonic()
        outcome = "caller_left"
        try:
            yield
            outcome = "accepted"
        except IbisheadError as error:
            outcome = error.code.value
            raise
        finally:
            logger.info(
                "command answered",
                extra={
                    "command": command,
                    **fields,
                    "outcome": outcome,
                    "leader": self._replica.leader() if self._replica else None,
                    "voters_reached": self._format_reached(),
                    "seconds": round(self._clock.monotonic() - started, 4),
                },
            )
            self.metrics.count_event(f"{command}_{outcome}")

    def _format_reached(self) -> str | None:
        if self._replica is None:
            return None
        reached, all_voters = self._replica.count_linked_voters()
        return f"{reached} of {all_voters}"

    async def _run_command(self, command: Command) -> Result:
        # Commands may safely be applied twice: versions only rise, and an unused
        # fencing number does no harm. So a command of unknown outcome is retried.
        replica = self._require_replica()
        encoded = encode_command(command)
        result = await self._retry(
            replica, lambda: replica.propose(encoded, applied=False)
        )
        return decode_result(result)

    async def _retry(
        self, replica: Replica, operation: Callable[[], Awaitable[_T]]
    ) -> _T:
        """Retry a log operation until it succeeds, while a leader is expected.

        :raises Unavailable: the time is up, or no leader is expected. The code is
            ``OUTCOME_UNKNOWN`` if the log may have accepted the operation, else
            ``NO_QUORUM``.
        """
        in_progress = outcome_unknown = False
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
                while True:
                    in_progress = True
                    try:
                        return await operation()
                    except Unavailable as error:
                        outcome_unknown = (
                            outcome_unknown or error.code not in _NOT_APPENDED
                        )
                    in_progress = False
                    if not replica.expects_leader():
                        break
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        except TimeoutError:
            outcome_unknown = outcome_unknown or in_progress
        raise Unavailable(
            "no quorum answered in time",
            "resend the same request to another registry",
            code=ErrorCode.OUTCOME_UNKNOWN if outcome_unknown else ErrorCode.NO_QUORUM,
            retry_after=NO_QUORUM_RETRY_AFTER,
        )

    def _require_replica(self) -> Replica:
        if self._replica is not None:
            return self._replica
        candidates = self._feed.list_log_registries()
        if not candidates:
            raise Unavailable(
                "no registry with a log replica is connected",
                "send the request to another registry",
                code=ErrorCode.NO_QUORUM,
                retry_after=NO_QUORUM_RETRY_AFTER,
            )
        # Redirects rotate, because a hung registry's link stays up for a while
        self._redirect_count += 1
        chosen, _ = candidates[self._redirect_count % len(candidates)]
        raise RedirectError(chosen.operators)


def _is_heartbeat(known: Registration, registration: Registration) -> bool:
    """Return whether a registration changes nothing that must be sent at once.

    Changes of adapters are left out: they are frequent, and stewards report them
    faster.
    """
    return _strip_volatile(known) == _strip_volatile(registration)


def _strip_volatile(registration: Registration) -> Registration:
    holdings = tuple(
        msgspec.structs.replace(holding, adapters=())
        for holding in registration.holdings
    )
    # The countdown of a target that is no longer ready has been published before, so
    # its progress is not a change
    remaining = (
        registration.remaining if registration.state is TargetState.READY else None
    )
    return msgspec.structs.replace(
        registration, sequence=0, warm_up=0.0, remaining=remaining, holdings=holdings
    )


def _convert_rejection(result: Result) -> IbisheadError:
    reason = result.reason if isinstance(result, Rejected) else type(result).__name__
    return IbisheadError(
        f"the command was not applied: {reason}",
        "report this error with the log of this host",
    )
