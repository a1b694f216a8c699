"""One replica of the control log, as the rest of the control program uses it."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from ibishead.clock import Clock
from ibishead.control import repair
from ibishead.control.consensus import Consensus
from ibishead.control.driver import DataFiles, LogDriver, Pace, PeerSender
from ibishead.control.founding import Founding
from ibishead.control.identity import (
    Identity,
    load_identity,
    replica_host,
    save_identity,
)
from ibishead.control.machine import ReplicaSet, StateMachine
from ibishead.control.peering import (
    AskRead,
    AskReplace,
    Forward,
    Forwarded,
    FrameReader,
    Introduce,
    ReadAnswer,
    Refuse,
    Replaced,
    ReplicaMessage,
)
from ibishead.control.peers import Configuration
from ibishead.control.raftstate import Role, has_quorum
from ibishead.control.waiters import (
    FIRST_NUMBER_BOUND,
    PendingQuestions,
    make_no_quorum_error,
    make_unknown_outcome_error,
)
from ibishead.errors import ErrorCode, IbisheadError, StorageFault, Unavailable
from ibishead.ids import HostId, LogIndex, ReplicaId
from ibishead.messages import PeerFrame

__all__ = ["LogReplica"]

logger = logging.getLogger(__name__)

_T = TypeVar("_T")

#: Seconds between two introductions to each other host.
INTRODUCE_INTERVAL = 0.5


class LogReplica:
    """A `Replica` with its log on a disk.

    :param host: this replica's name in the settings.
    :param first_hosts: names of the first voters in the settings.
    :param draw: returns a number from 0 up to its argument, less one.
    :param draw_name: returns text that no two calls anywhere return alike.
    :param on_failure: called once, when the disk has failed and nothing goes on.
    :raises StorageFault: the folder is damaged.
    """

    def __init__(
        self,
        host: HostId,
        first_hosts: tuple[HostId, ...],
        machine: StateMachine,
        files: DataFiles,
        links: PeerSender,
        clock: Clock,
        draw: Callable[[int], int],
        draw_name: Callable[[], str],
        pace: Pace | None = None,
        on_failure: Callable[[StorageFault], None] = lambda fault: None,
    ) -> None:
        self.pace = pace or Pace()
        self.clock = clock
        self.founding = Founding(first_hosts, draw_name)
        self._files = files
        self._links = links
        self._draw = draw
        self._driver = LogDriver(
            load_identity(files, host, draw_name),
            machine,
            files,
            links,
            clock,
            draw,
            self.pace,
            on_failure,
        )
        self._reader = FrameReader()
        self._answers = PendingQuestions(draw(FIRST_NUMBER_BOUND))
        self._reads = 0
        self._introduced = 0.0
        self._linked_rounds = 0
        self._led_at = clock.monotonic()
        self._repair = repair.Watch(self)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> ReplicaId:
        """This replica's identity in the log."""
        return self._identity.replica

    @property
    def core(self) -> Consensus:
        """The consensus, caught up with the clock."""
        self._driver.advance()
        return self._driver.core

    async def start(self) -> None:
        """Begin to take part."""
        self._links.start()
        self._driver.schedule_flush()
        self._spawn(self._run())

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        """Return the command's result, once committed.

        :param applied: wait until it is applied here too.
        :raises Unavailable: code ``NO_QUORUM`` when it was not taken, or
            ``OUTCOME_UNKNOWN`` when nothing is known of it.
        :raises StorageFault: code ``STORAGE_FULL``; it was not taken.
        """
        if self.is_leader():
            return (await self._propose_here(command))[1]
        answer = await self._ask(lambda number: Forward(number, command))
        if applied:
            await self._bound(self._driver.waiters.wait_applied(answer.index))
        return answer.result

    async def confirm_read(self) -> None:
        """Return once the local state holds all that was accepted before the call.

        :raises Unavailable: code ``NO_QUORUM``.
        """
        try:
            if self.is_leader():
                index = await self._bound(self._read_here())
            else:
                index = (await self._ask(AskRead)).index
            await self._bound(self._driver.waiters.wait_applied(index))
        except Unavailable as error:
            raise self._describe_no_quorum() from error

    def lease(self) -> float:
        """Return the seconds for which this replica may vouch for its state."""
        return self._driver.lease()

    def leader(self) -> ReplicaId | None:
        """Return the leader this replica follows, itself included."""
        return self.core.leader

    def expects_leader(self) -> bool:
        """Return whether a leader is known or may be within the time of an election.

        A replica that is cut off has no leader for as long as that lasts, while an
        election ends soon after the leader is lost. Until the log is founded one is
        always expected.
        """
        core = self.core
        if core.leader is not None or not core.configuration.voters:
            return True
        return self.clock.monotonic() - self._led_at <= self.pace.election

    def is_leader(self) -> bool:
        """Return whether this replica leads and its quorum still answers."""
        return self.core.role is Role.LEADER and not self._driver.failed

    def replicas(self) -> ReplicaSet:
        """Return the replica set in force."""
        found = self.core.configuration
        return ReplicaSet(found.voters, found.learners)

    def count_linked_voters(self) -> tuple[int, int]:
        """Return how many voters a link leads to, itself included, and all voters."""
        return len(self._list_linked()), len(self.core.configuration.voters)

    async def transfer(self) -> None:
        """Hand the leadership to the replica that is furthest along.

        :raises Unavailable: no other replica took it in time.
        """
        if not self.is_leader():
            return
        successor = self.core.transfer()
        self._driver.schedule_flush()
        limit = self.clock.monotonic() + 2 * self.pace.election
        while successor is not None and self.clock.monotonic() < limit:
            if self.core.leader not in (None, self.name):
                return
            await asyncio.sleep(self.pace.tick / 5)
        raise Unavailable(
            "no other replica took the leadership",
            "check with `ibishead status` that the other replicas run",
            code=ErrorCode.NO_QUORUM,
        )

    async def change_replicas(self, lost: ReplicaId, host: HostId) -> ReplicaId:
        """Replace a replica by a new one on the host, and return the new one's id.

        :raises Unavailable: no quorum, or the host can't be reached.
        :raises Conflict: another change of the replica set is under way.
        """
        if self.is_leader():
            return await repair.replace(self, lost, host)
        answer = await self._ask(
            lambda number: AskReplace(number, lost, host),
            repair.REPLACE_LIMIT,
            outlives_lead=True,
        )
        return answer.replica

    async def change_configuration(self, wanted: Configuration) -> None:
        """Change the replica set by one replica, and return once that is committed."""
        core = self.core
        index = core.propose_configuration(wanted)
        await self._driver.wait_for(index, core.term)

    async def stop(self) -> None:
        """Close links and the data folder."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._driver.waiters.fail()
        self._answers.fail()
        await self._links.stop()
        self._files.close()

    def receive_frame(self, frame: PeerFrame) -> None:
        """Take in what another replica sent to this one's link server."""
        if self._driver.failed or frame.receiver not in (self.name, ""):
            return
        # what waited during a freeze must not be acted on before the ticks are
        self._driver.advance()
        message = self._reader.read(frame)
        if isinstance(message, Introduce):
            self._meet(frame, message)
        elif message is not None and self._accept_cluster(frame):
            self._take(frame.sender, message)

    @property
    def _identity(self) -> Identity:
        return self._driver.identity

    # Proposals and reads -----------------------------------------------------

    async def _propose_here(self, command: bytes) -> tuple[LogIndex, bytes]:
        if not self._driver.has_room():
            raise StorageFault(
                "the disk of the control log is full",
                "free some room on it; nothing that was accepted is lost",
                code=ErrorCode.STORAGE_FULL,
                retry_after=timedelta(seconds=self.pace.answer),
            )
        core = self.core
        index = core.propose([command])
        if index is None:
            raise self._describe_no_quorum()
        return index, await self._driver.wait_for(index, core.term)

    async def _read_here(self) -> LogIndex:
        self._reads += 1
        number = self._reads
        future: asyncio.Future[LogIndex | None]
        future = asyncio.get_running_loop().create_future()
        self._driver.reads[number] = future
        self.core.read(number)
        self._driver.schedule_flush()
        try:
            index = await future
        finally:
            self._driver.reads.pop(number, None)
        if index is None:
            raise self._describe_no_quorum()
        return index

    async def _ask(
        self,
        make: Callable[[int], ReplicaMessage],
        limit: float | None = None,
        *,
        outlives_lead: bool = False,
    ) -> Any:
        leader = self.core.leader
        if leader is None or leader == self.name or self._driver.failed:
            raise self._describe_no_quorum()
        number, future = self._answers.open(leader, outlives_leadership=outlives_lead)
        try:
            if not self._links.send(self._identity, leader, make(number)):
                raise self._describe_no_quorum()
            return await self._bound(future, limit)
        finally:
            self._answers.close(number)

    async def _bound(self, waiting: Awaitable[_T], limit: float | None = None) -> _T:
        try:
            async with asyncio.timeout(limit or self.pace.answer):
                return await waiting
        except TimeoutError as error:
            raise make_unknown_outcome_error() from error

    def _describe_no_quorum(self) -> Unavailable:
        ticks = self.pace.timing.election + self._draw(self.pace.timing.election)
        return make_no_quorum_error(ticks * self.pace.tick)

    # Other replicas ----------------------------------------------------------

    def _take(self, sender: ReplicaId, message: ReplicaMessage) -> None:
        match message:
            case Forward(number, command):
                self._spawn(self._serve(sender, number, self._forward(number, command)))
            case AskRead(number):
                self._spawn(self._serve(sender, number, self._tell_index(number)))
            case AskReplace(number, lost, host):
                work = self._tell_replaced(number, lost, host)
                self._spawn(self._serve(sender, number, work))
            case Forwarded(number) | ReadAnswer(number) | Replaced(number):
                self._answers.settle(number, message)
            case Refuse(number, code, reason, remedy):
                wait = timedelta(seconds=self.pace.election)
                error = Unavailable(reason, remedy, code=code, retry_after=wait)
                self._answers.settle(number, error)
            case Introduce():
                pass
            case _:
                self._driver.step(sender, message)

    async def _serve(
        self,
        sender: ReplicaId,
        number: int,
        work: Coroutine[Any, Any, ReplicaMessage],
    ) -> None:
        try:
            answer = await work
        except IbisheadError as error:
            answer = Refuse(number, error.code, error.message, error.remedy)
        self._links.send(self._identity, sender, answer)

    async def _forward(self, number: int, command: bytes) -> ReplicaMessage:
        if not self.is_leader():
            raise self._describe_no_quorum()
        index, result = await self._propose_here(command)
        return Forwarded(number, index, result)

    async def _tell_index(self, number: int) -> ReplicaMessage:
        return ReadAnswer(number, await self._bound(self._read_here()))

    async def _tell_replaced(
        self, number: int, lost: ReplicaId, host: HostId
    ) -> ReplicaMessage:
        if not self.is_leader():
            raise self._describe_no_quorum()
        return Replaced(number, await repair.replace(self, lost, host))

    def _accept_cluster(self, frame: PeerFrame) -> bool:
        if not self._identity.cluster and frame.cluster and frame.receiver:
            # a leader knows this very identity, so it has taken this replica in
            self._join(Identity(self.name, frame.cluster))
        return bool(frame.cluster) and frame.cluster == self._identity.cluster

    def _meet(self, frame: PeerFrame, message: Introduce) -> None:
        if frame.sender == self.name:
            return
        now = self.clock.monotonic()
        self.founding.note(frame.sender, frame.cluster, now)
        own = self._identity
        joined = self.founding.join(own, frame.cluster, message.founders)
        self._join(joined or self.founding.found(own))

    def _join(self, identity: Identity | None) -> None:
        if identity is None:
            return
        logger.info("joined cluster %s as %s", identity.cluster, identity.replica)
        try:
            save_identity(self._files, identity)
            self._driver.load(identity)
        except StorageFault as fault:
            self._driver.fail(fault)
        self._introduce()

    def _introduce(self) -> None:
        self._introduced = self.clock.monotonic()
        for host in self._links.hosts:
            self._links.introduce(self._identity, host)

    # Time --------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.pace.tick)
            with contextlib.suppress(IbisheadError):
                self._do_round()
            if self.core.leader is not None:
                self._led_at = self.clock.monotonic()
            elif not self.expects_leader():
                # whoever waits may ask elsewhere; a hand-over takes less than this
                self._driver.waiters.fail()
                self._answers.fail()

    def _do_round(self) -> None:
        self._driver.advance()
        if self.clock.monotonic() - self._introduced >= INTRODUCE_INTERVAL:
            self._introduce()
            self._join(self.founding.found(self._identity))
        self._answers.fail_lost(self.core.leader, self._reaches)
        self._hasten_election()
        if not self.is_leader():
            return
        if self._repair.is_due():
            self._spawn(self._repair.run())
        elif (learner := self._repair.find_missing()) is not None:
            self._spawn(self._repair.promote(learner))
        elif (spare := self._repair.find_spare()) is not None:
            self._spawn(self._repair.take_spare(spare))

    def _hasten_election(self) -> None:
        """Let the voters that are linked ask for votes one after the other.

        One a round, so that two that start together don't share the votes.
        """
        linked = self._list_linked()
        quorum = has_quorum(self.core.configuration.voters, linked)
        if self.name not in linked or not quorum:
            self._linked_rounds = 0
            return
        if self._linked_rounds == sorted(linked).index(self.name):
            self.core.hasten()
            self._driver.schedule_flush()
        self._linked_rounds += 1

    def _list_linked(self) -> list[ReplicaId]:
        voters = self.core.configuration.voters
        return [v for v in voters if v == self.name or self._reaches(v)]

    def _reaches(self, replica: ReplicaId) -> bool:
        return self._links.reaches(replica_host(replica))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
