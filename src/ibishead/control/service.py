"""Service of a control replica to entry hosts and agents, over links."""

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
from ibishead.control.log.machine import Replica
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

#: Requests in progress on one link; more are refused, not queued.
MAX_REQUESTS_PER_LINK = 1024

#: Time during which a command whose result was lost is proposed again.
RETRY_TIMEOUT_SECONDS = 3.0
RETRY_PAUSE_SECONDS = 0.05

_Request: TypeAlias = AskRegistration | AskClaim | ResolveClaim
_Answer = TypeVar("_Answer", ClaimAnswer, Refusal)


async def propose_command(replica: Replica, clock: Clock, command: Command) -> Result:
    """Propose a command, repeatedly if needed, and return its result.

    Commands are idempotent, so a command whose result was lost is proposed again.

    :raises Unavailable: no quorum, or no result within `RETRY_TIMEOUT_SECONDS`.
    """
    deadline = clock.monotonic() + RETRY_TIMEOUT_SECONDS
    while True:
        try:
            return decode_result(await replica.propose(encode_command(command)))
        except (LinkLost, Unavailable) as error:
            is_link_lost = isinstance(error, LinkLost)
            if not is_link_lost and error.code is not ErrorCode.OUTCOME_UNKNOWN:
                raise
            if clock.monotonic() >= deadline:
                raise Unavailable(
                    "no quorum of control replicas answered in time",
                    "send the request again",
                    code=ErrorCode.OUTCOME_UNKNOWN,
                ) from error
        await asyncio.sleep(RETRY_PAUSE_SECONDS)


class ControlService:
    """Serves the links of one replica.

    :param name: identity of this replica, to which targets linked here are attached.
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
        """Handle the messages of a peer until its link closes."""
        session = _Session(link)
        self._sessions.add(session)
        if link.peer.role is Role.AGENT and link.peer.incarnation:
            self._spawn(self._attach(session, link.peer.incarnation))
        try:
            async for message in link.receive():
                self._handle(session, message)
        finally:
            if session.subscriber is not None:
                self._publisher.unsubscribe(session.subscriber)
            self._sessions.discard(session)

    def list_attached(self) -> set[tuple[TargetId, LogIndex]]:
        """Return the targets whose agents are linked here, with their attachments."""
        return {
            (target, attached.attachment)
            for session in self._sessions
            for target, attached in session.attached.items()
        }

    async def reattach_targets(self) -> None:
        """Attach targets whose agents are linked here but attached to another replica.

        Failure: an agent has connected here, and its registration over its former
        link is committed late. It attaches the target to a replica without a link to
        the agent, which would retire the target though it is serving.

        :raises Unavailable: there is no quorum.
        """
        for session in list(self._sessions):
            for target, attached in list(session.attached.items()):
                member = self._state.targets.members.get(target)
                if member is None or member.record.incarnation != attached.incarnation:
                    continue
                is_current = (target, member.attachment) in self.list_attached()
                if not is_current and member.attachment > attached.attachment:
                    await self._attach(session, attached.incarnation)

    async def close_client_links(self) -> None:
        """Close the links of entry hosts and agents, so that they dial other replicas.

        Links of other replicas stay open, as the quorum may be regained over them.
        """
        links = [s.link for s in self._sessions if s.link.peer.role is not Role.CONTROL]
        await asyncio.gather(*(link.close() for link in links))

    async def stop(self) -> None:
        """Cancel the requests in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _handle(self, session: "_Session", message: Message) -> None:
        match message:
            case Subscribe():
                if session.subscriber is not None:
                    self._publisher.unsubscribe(session.subscriber)
                session.subscriber = self._publisher.subscribe(
                    message, session.link.send
                )
            case ReportInForce():
                if session.subscriber is not None:
                    self._publisher.handle_report(session.subscriber, message)
            case PeerFrame() if session.link.peer.role is Role.CONTROL:
                self._replica.receive_frame(message)
            case AskPermit():
                self._permits.handle_request(session.link, message)
            case ReleasePermit():
                self._permits.release(session.link, message)
            case AskHolders(index):
                waiting = self._publisher.list_lagging(LogIndex(index))
                session.link.send(Holders(index, self._state.applied, tuple(waiting)))
            case AskRegistration() | AskClaim() | ResolveClaim():
                self._accept_request(session, message)
            case _:
                logger.warning(
                    "unexpected message",
                    extra={
                        "peer": session.link.peer.host,
                        "kind": type(message).__name__,
                    },
                )

    def _accept_request(self, session: "_Session", request: _Request) -> None:
        # A peer that sends faster than the log commits would exhaust the memory
        if session.in_progress >= MAX_REQUESTS_PER_LINK:
            refusal = Refusal(
                _get_subject(request),
                ErrorCode.OVERLOADED,
                "too many requests in progress on this link",
                1.0,
            )
            session.link.send(_copy_number(refusal, request))
            return
        session.in_progress += 1
        self._spawn(self._answer(session, request))

    async def _answer(self, session: "_Session", request: _Request) -> None:
        try:
            match request:
                case AskRegistration():
                    command: Command = RegisterTarget(request, self._name)
                case AskClaim():
                    command = ClaimRequest(request)
                case ResolveClaim():
                    command = SettleClaim(request)
            result = await propose_command(self._replica, self._clock, command)
        except IbisheadError as error:
            refusal = self._make_refusal(_get_subject(request), error)
            session.link.send(_copy_number(refusal, request))
            return
        finally:
            session.in_progress -= 1
        match result:
            case ClaimAnswer():
                session.link.send(_copy_number(result, request))
            case Registered() if isinstance(request, AskRegistration):
                session.link.send(
                    Registration(request.nonce, request.target, result.incarnation)
                )
                session.attached[request.target] = result
            case Rejected(code, message, remedy):
                refusal = Refusal(_get_subject(request), code, f"{message}; {remedy}")
                session.link.send(_copy_number(refusal, request))

    async def _attach(self, session: "_Session", incarnation: Incarnation) -> None:
        target = self._find_target(incarnation)
        if target is None:
            return
        command = AttachTarget(target, incarnation, self._name)
        try:
            result = await propose_command(self._replica, self._clock, command)
        except IbisheadError as error:
            session.link.send(self._make_refusal(str(incarnation), error))
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

    def _make_refusal(self, subject: str, error: IbisheadError) -> Refusal:
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
    in_progress: int = 0


def _get_subject(request: _Request) -> str:
    return request.nonce if isinstance(request, AskRegistration) else request.request


def _copy_number(answer: _Answer, request: _Request) -> _Answer:
    """Return the answer with the number of the request, which its sender matches."""
    if isinstance(request, AskRegistration):
        return answer
    return msgspec.structs.replace(answer, question=request.question)
