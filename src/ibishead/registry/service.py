"""What a registry does for targets and operators, whatever they speak."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from typing import TypeVar

import msgspec

from ibishead.clock import Clock
from ibishead.control.machine import Replica
from ibishead.errors import ErrorCode, IbisheadError, InvalidInput, Unavailable
from ibishead.ids import TargetId
from ibishead.metrics import Metrics
from ibishead.registry.publisher import FeedPublisher
from ibishead.registry.state import (
    Command,
    FenceTaken,
    FloorRaised,
    PutRoutes,
    RaiseFloor,
    Rejected,
    Result,
    RoutesPut,
    RouteState,
    TakeFence,
    decode_result,
    encode_command,
)
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import RouteSet, check_routes
from ibishead.routing.targets import Registration, TargetState, WeightKey

__all__ = ["ElsewhereError", "RegistryService"]

logger = logging.getLogger(__name__)

_T = TypeVar("_T")

#: Errors of a replica after which a command is certainly not in the log.
_NOT_TAKEN = frozenset({ErrorCode.NO_QUORUM, ErrorCode.STORAGE_FULL})

#: Seconds between two tries of a command that found no leader.
RETRY_PAUSE = 0.05

#: Seconds in which an operator's command is tried again. Operators ask another host
#: after a second without an answer.
COMMAND_TIME = 0.85

#: Seconds after which an operator may come back when there is no quorum.
QUORUM_WAIT = timedelta(seconds=0.3)


class ElsewhereError(IbisheadError):
    """This registry keeps no log; another one does.

    :param address: ``ADDRESS:PORT`` of the other one's operators' server.
    """

    code = ErrorCode.NOT_LEADER
    status = 307

    def __init__(self, address: str) -> None:
        super().__init__("this registry keeps no log", f"ask {address}")
        self.address = address


class RegistryService:
    """Takes statements of targets and commands of operators.

    :param replica: this registry's part of the log, none on a host without a disk.
    """

    def __init__(
        self,
        state: RouteState,
        replica: Replica | None,
        feed: RegistryFeed,
        publisher: FeedPublisher,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._replica = replica
        self._feed = feed
        self._publisher = publisher
        self._clock = clock
        self.metrics = metrics
        self._redirects = 0

    # Targets -----------------------------------------------------------------

    def announce(self, statement: Registration) -> None:
        """Take in what a target says of itself, and tell all who are linked."""
        now = self._clock.monotonic()
        known = self._feed.view.get(statement.target)
        if not self._feed.view.merge(statement, now):
            return
        if known is not None and _repeats(known, statement):
            self._publisher.note_life(statement)
            return
        logger.info(
            "target announced",
            extra={
                "target": statement.target,
                "service": statement.service,
                "address": statement.address,
                "state": statement.state.value,
                "born": statement.born,
                "sequence": statement.sequence,
            },
        )
        self._publisher.tell_own((statement,))

    def take_leave(self, target: TargetId, born: int) -> None:
        """Take in that a target has left.

        :param born: start of the life that ended, 0 where it isn't told.
        """
        left = self._feed.view.leave(target, born, self._clock.monotonic())
        if left is not None:
            logger.info("target left", extra={"target": target, "born": left.born})
            self._publisher.tell_own((left,))

    # Operators ---------------------------------------------------------------

    async def put_routes(self, routes: RouteSet, document: bytes) -> int:
        """Put a route set in force if its version is the highest.

        :param document: the set as it was sent.
        :returns: the version in force.
        :raises InvalidInput: the set is inconsistent; nothing was changed.
        :raises Unavailable: whether it was taken is not known, or it was not.
        """
        with self._log_command("put_routes", routes.version):
            check_routes(routes)
            if self._replica is not None and routes.version <= self._state.version:
                # applied here means committed, so a higher one is in force for good
                return self._state.version
            result = await self._command(PutRoutes(routes, document))
            match result:
                case RoutesPut(version):
                    return version
            raise _describe_rejection(result)

    async def read_routes(self) -> bytes:
        """Return the newest accepted set, as it was sent; empty where there is none.

        :raises Unavailable: it can't be told which one is the newest.
        """
        replica = self._need_replica()
        try:
            await self._keep_trying(replica, replica.confirm_read)
        except Unavailable as error:
            raise Unavailable(
                "no quorum confirmed in time which route set is the newest",
                "ask another registry",
                code=ErrorCode.NO_QUORUM,
                retry_after=QUORUM_WAIT,
            ) from error
        return self._state.document

    async def raise_floor(self, key: WeightKey, version: int) -> int:
        """Let no request begin on an older version, and return the floor in force.

        :raises Unavailable: whether it was taken is not known, or it was not.
        """
        with self._log_command("raise_floor", version, key):
            if version < 1:
                raise InvalidInput(f"version {version} is none", "name one above zero")
            known = self._state.floors.get(key)
            held = known.version if known is not None else 0
            if self._replica is not None and held >= version:
                return held
            result = await self._command(RaiseFloor(key, version))
            match result:
                case FloorRaised(floor):
                    return floor
            raise _describe_rejection(result)

    async def take_fence(self, holder: str) -> int:
        """Return a fencing number above all that were given before.

        :raises Unavailable: there is no quorum for it.
        """
        result = await self._command(TakeFence(holder))
        match result:
            case FenceTaken(fence):
                return fence
        raise _describe_rejection(result)

    @contextlib.contextmanager
    def _log_command(
        self, command: str, version: int, key: WeightKey | None = None
    ) -> Iterator[None]:
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
                    "weights": f"{key.model}/{key.adapter}" if key else None,
                    "version": version,
                    "outcome": outcome,
                    "leader": self._replica.leader() if self._replica else None,
                    "voters_reached": self._count_reached(),
                    "seconds": round(self._clock.monotonic() - started, 4),
                },
            )
            self.metrics.count_event(f"{command}_{outcome}")

    def _count_reached(self) -> str | None:
        if self._replica is None:
            return None
        reached, all_voters = self._replica.count_linked_voters()
        return f"{reached} of {all_voters}"

    async def _command(self, command: Command) -> Result:
        # All commands may be applied twice: versions only rise, and a fencing number
        # that nobody uses is no loss. So a command whose end isn't known is sent again.
        replica = self._need_replica()
        encoded = encode_command(command)
        result = await self._keep_trying(
            replica, lambda: replica.propose(encoded, applied=False)
        )
        return decode_result(result)

    async def _keep_trying(
        self, replica: Replica, ask: Callable[[], Awaitable[_T]]
    ) -> _T:
        """Ask the log until it answers, for as long as a leader is to be expected.

        :raises Unavailable: code ``OUTCOME_UNKNOWN`` when the log may have taken what
            was asked, else ``NO_QUORUM``.
        """
        asking = unknown = False
        try:
            async with asyncio.timeout(COMMAND_TIME):
                while True:
                    asking = True
                    try:
                        return await ask()
                    except Unavailable as error:
                        unknown = unknown or error.code not in _NOT_TAKEN
                    asking = False
                    if not replica.expects_leader():
                        break
                    await asyncio.sleep(RETRY_PAUSE)
        except TimeoutError:
            unknown = unknown or asking
        raise Unavailable(
            "no quorum answered in time",
            "send the same again, to another registry",
            code=ErrorCode.OUTCOME_UNKNOWN if unknown else ErrorCode.NO_QUORUM,
            retry_after=QUORUM_WAIT,
        )

    def _need_replica(self) -> Replica:
        if self._replica is not None:
            return self._replica
        keepers = self._feed.list_log_keepers()
        if not keepers:
            raise Unavailable(
                "no registry with a log is linked",
                "ask another registry",
                code=ErrorCode.NO_QUORUM,
                retry_after=QUORUM_WAIT,
            )
        # another one each time: one that stands still keeps its link for a while
        self._redirects += 1
        chosen, _ = keepers[self._redirects % len(keepers)]
        raise ElsewhereError(chosen.operators)


def _repeats(known: Registration, statement: Registration) -> bool:
    """Return whether nothing has changed that others have to hear of at once.

    Adapters come and go all the time, and stewards report them faster.
    """
    return _strip(known) == _strip(statement)


def _strip(statement: Registration) -> Registration:
    holdings = tuple(
        msgspec.structs.replace(holding, adapters=()) for holding in statement.holdings
    )
    # a countdown doesn't change what is known, once it has been told
    counting = statement.remaining if statement.state is TargetState.READY else None
    return msgspec.structs.replace(
        statement, sequence=0, cold=0.0, remaining=counting, holdings=holdings
    )


def _describe_rejection(result: Result) -> IbisheadError:
    reason = result.reason if isinstance(result, Rejected) else type(result).__name__
    return IbisheadError(
        f"the command was not applied: {reason}", "report it with the log of this host"
    )
