"""The link side of a control replica: what entries and agents ask of it."""

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeAlias, TypeVar

import msgspec

from ibishead.clock import Clock
from ibishead.control.commands import (
    AttachTarget,
    ClaimRequest,
    Command,
    Registered,
    RegisterTarget,
    Rejected,
    Result,
    SettleClaim,
    decode_result,
    encode_command,
)
from ibishead.control.granting import PermitService
from ibishead.control.machine import Replica
from ibishead.control.publish import Publisher, Subscriber
from ibishead.control.state import ControlState
from ibishead.errors import ErrorCode, IbisheadError, LinkLost, Unavailable
from ibishead.ids import Incarnation, LogIndex, ReplicaId, TargetId
from ibishead.links import Link
from ibishead.messages import (
    AskClaim,
    AskHolders,
    AskPermit,
    AskRegistration,
    ClaimAnswer,
    Holders,
    Message,
    PeerFrame,
    Refusal,
    Registration,
    ReleasePermit,
    ReportInForce,
    ResolveClaim,
    Role,
    Subscribe,
)

__all__ = ["ControlService", "propose_command"]

logger = logging.getLogger(__name__)

#: Asks in progress on one link; a peer that floods is refused, not queued.
MAX_ASKS = 1024

#: Seconds in which a command whose answer was lost is proposed again.
RETRY_LIMIT = 3.0
RETRY_PAUSE = 0.05

_Ask: TypeAlias = AskRegistration | AskClaim | ResolveClaim
_Answer = TypeVar("_Answer", ClaimAnswer, Refusal)


async def propose_command(replica: Replica, clock: Clock, command: Command) -> Result:
    """Propose a command until its result is known.

    Commands are idempotent, so a lost answer is asked for again.

    :raises Unavailable: no quorum, or no answer in time.
    """
    give_up = clock.monotonic() + RETRY_LIMIT
    while True:
        try:
            return decode_result(await replica.propose(encode_command(command)))
        except (LinkLost, Unavailable) as error:
            lost = isinstance(error, LinkLost)
            if not lost and error.code is not ErrorCode.OUTCOME_UNKNOWN:
                raise
            if clock.monotonic() >= give_up:
                raise Unavailable(
                    "the quorum hasn't answered in time",
                    "ask again",
                    code=ErrorCode.OUTCOME_UNKNOWN,
                ) from error
        await asyncio.sleep(RETRY_PAUSE)


class ControlService:
    """Serves the links of one replica.

    :param name: this replica, which the targets linked here are attached to.
    """

    def __init__(
        self,
        name: ReplicaId,
        state: ControlState,
        replica: Replica,
        publisher: Publisher,
        permits: PermitService,
        clock: Clock,
    ) -> None:
        self._name = name
        self._state = state
        self._replica = replica
        self._publisher = publisher
        self._permits = permits
        self._clock = clock
        self._sessions: set[_Session] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, link: Link) -> None:
        """Answer a peer until its link is over."""
        session = _Session(link)
        self._sessions.add(session)
        if link.peer.role is Role.AGENT and link.peer.incarnation:
            self._spawn(self._attach(session, link.peer.incarnation))
        try:
            async for message in link.receive():
                self._handle(session, message)
        finally:
            if session.subscriber is not None:
                self._publisher.leave(session.subscriber)
            self._sessions.discard(session)

    def list_attached(self) -> set[tuple[TargetId, LogIndex]]:
        """Return the targets whose agents are linked here, with their attachments."""
        return {
            (target, held.attachment)
            for session in self._sessions
            for target, held in session.attached.items()
        }

    async def attach_again(self) -> None:
        """Attach targets whose agents are linked here, yet count as linked elsewhere.

        Failure: an agent has moved here, and its registration over its former link
        is committed late. Whoever it is attached to now would find it gone and retire
        it, though it serves.

        :raises Unavailable: there is no quorum.
        """
        for session in list(self._sessions):
            for target, held in list(session.attached.items()):
                member = self._state.targets.members.get(target)
                if member is None or member.record.incarnation != held.incarnation:
                    continue
                seen = (target, member.attachment) in self.list_attached()
                if not seen and member.attachment > held.attachment:
                    await self._attach(session, held.incarnation)

    async def drop_links(self) -> None:
        """Close entries' and agents' links, so that they move on to another replica.

        Those of the other replicas stay: over them the quorum may be found again.
        """
        links = [s.link for s in self._sessions if s.link.peer.role is not Role.CONTROL]
        await asyncio.gather(*(link.close() for link in links))

    async def stop(self) -> None:
        """End what is still in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _handle(self, session: "_Session", message: Message) -> None:
        match message:
            case Subscribe():
                if session.subscriber is not None:
                    self._publisher.leave(session.subscriber)
                session.subscriber = self._publisher.subscribe(
                    message, session.link.send
                )
            case ReportInForce():
                if session.subscriber is not None:
                    self._publisher.report(session.subscriber, message)
            case PeerFrame() if session.link.peer.role is Role.CONTROL:
                self._replica.take_frame(message)
            case AskPermit():
                self._permits.handle_request(session.link, message)
            case ReleasePermit():
                self._permits.release(session.link, message)
            case AskHolders(index):
                waiting = self._publisher.list_waiting(LogIndex(index))
                session.link.send(Holders(index, self._state.applied, tuple(waiting)))
            case AskRegistration() | AskClaim() | ResolveClaim():
                self._accept(session, message)
            case _:
                logger.warning(
                    "unexpected message",
                    extra={
                        "peer": session.link.peer.host,
                        "kind": type(message).__name__,
                    },
                )

    def _accept(self, session: "_Session", ask: _Ask) -> None:
        # A peer that sends faster than the log commits would pile up memory here
        if session.asks >= MAX_ASKS:
            refusal = Refusal(
                _name_subject(ask), ErrorCode.OVERLOADED, "too many asks at once", 1.0
            )
            session.link.send(_number(refusal, ask))
            return
        session.asks += 1
        self._spawn(self._answer(session, ask))

    async def _answer(self, session: "_Session", ask: _Ask) -> None:
        try:
            match ask:
                case AskRegistration():
                    command: Command = RegisterTarget(ask, self._name)
                case AskClaim():
                    command = ClaimRequest(ask)
                case ResolveClaim():
                    command = SettleClaim(ask)
            result = await propose_command(self._replica, self._clock, command)
        except IbisheadError as error:
            refusal = self._refuse(_name_subject(ask), error)
            session.link.send(_number(refusal, ask))
            return
        finally:
            session.asks -= 1
        match result:
            case ClaimAnswer():
                session.link.send(_number(result, ask))
            case Registered() if isinstance(ask, AskRegistration):
                session.link.send(
                    Registration(ask.nonce, ask.target, result.incarnation)
                )
                session.attached[ask.target] = result
            case Rejected(code, message, remedy):
                refusal = Refusal(_name_subject(ask), code, f"{message}; {remedy}")
                session.link.send(_number(refusal, ask))

    async def _attach(self, session: "_Session", incarnation: Incarnation) -> None:
        target = self._find_target(incarnation)
        if target is None:
            return
        command = AttachTarget(target, incarnation, self._name)
        try:
            result = await propose_command(self._replica, self._clock, command)
        except IbisheadError as error:
            session.link.send(self._refuse(str(incarnation), error))
            return
        match result:
            case Registered():
                session.attached[target] = result
            case Rejected(code, message, remedy):
                session.link.send(
                    Refusal(str(incarnation), code, f"{message}; {remedy}")
                )

    def _find_target(self, incarnation: Incarnation) -> TargetId | None:
        for target, member in self._state.targets.members.items():
            if member.record.incarnation == incarnation:
                return target
        return None

    def _refuse(self, subject: str, error: IbisheadError) -> Refusal:
        wait = error.retry_after.total_seconds() if error.retry_after else 0.0
        leader = self._replica.leader() or ReplicaId("")
        return Refusal(subject, error.code, str(error), wait, leader)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@dataclass(eq=False)
class _Session:
    link: Link
    subscriber: Subscriber | None = None
    attached: dict[TargetId, Registered] = field(default_factory=dict)
    asks: int = 0


def _name_subject(ask: _Ask) -> str:
    return ask.nonce if isinstance(ask, AskRegistration) else ask.request


def _number(answer: _Answer, ask: _Ask) -> _Answer:
    """Return the answer with the number of the ask, for its sender to match."""
    if isinstance(ask, AskRegistration):
        return answer
    return msgspec.structs.replace(answer, question=ask.question)
