"""A replica of the control log, as used by the rest of the control program."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from ibishead.clock import Clock
from ibishead.control.agreement.consensus import Consensus
from ibishead.control.agreement.peers import Configuration
from ibishead.control.agreement.raftstate import Role, has_quorum
from ibishead.control.log.driver import DataFiles, LogDriver, PeerSender, ReplicaOptions
from ibishead.control.log.founding import Founding
from ibishead.control.log.identity import (
    Identity,
    load_identity,
    replica_host,
    save_identity,
)
from ibishead.control.log.machine import ReplicaSet, StateMachine
from ibishead.control.log.peering import (
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
from ibishead.control.log.repair import RepairMonitor
from ibishead.control.log.replacement import REPLACE_TIMEOUT_SECONDS, replace
from ibishead.control.log.waiters import (
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

#: Interval of the introductions to each other host, in seconds.
INTRODUCE_INTERVAL_SECONDS = 0.5


class LogReplica:
    """A `Replica` that stores its log on disk.

    :param host: this replica's name in the settings.
    :param first_hosts: names of the initial voters in the settings.
    :param draw: returns a random integer from 0 to its argument minus one.
    :param draw_name: returns a globally unique string on each call.
    :param on_failure: called once, when the disk has failed and the replica stops.
    :raises StorageFault: the data folder is damaged.
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
        options: ReplicaOptions | None = None,
        on_failure: Callable[[StorageFault], None] = lambda fault: None,
    ) -> None:
        self.options = options or ReplicaOptions()
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
            self.options,
            on_failure,
        )
        self._reader = FrameReader()
        self._answers = PendingQuestions(draw(FIRST_NUMBER_BOUND))
        self._read_count = 0
        self._introduced_at = 0.0
        self._linked_rounds = 0
        self._leader_seen_at = clock.monotonic()
        self._repair = RepairMonitor(self)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> ReplicaId:
        """This replica's id in the replica set."""
        return self._identity.replica

    @property
    def core(self) -> Consensus:
        """The consensus, advanced to the current time."""
        self._driver.advance()
        return self._driver.core

    def watch_leader(self, on_change: Callable[[], None]) -> None:
        """Set the callback for changes of the known leader."""
        self._driver.on_leader_change = on_change

    async def start(self) -> None:
        """Start to participate in the consensus."""
        self._links.start()
        self._driver.schedule_flush()
        self._spawn(self._run())

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        """Propose a command, and return its result once it is committed.

        :param applied: also wait until this replica has applied it.
        :raises Unavailable: code ``NO_QUORUM`` if the command was not accepted, or
            ``OUTCOME_UNKNOWN`` if it may have been.
        :raises StorageFault: code ``STORAGE_FULL``; the command was not accepted.
        """
        if self.is_leader():
            return (await self._propose_here(command))[1]
        answer = await self._request_leader(lambda number: Forward(number, command))
        if applied:
            await self._with_timeout(self._driver.waiters.wait_applied(answer.index))
        return answer.result

    async def confirm_read(self) -> None:
        """Return once the local state includes all changes accepted before the call.

        :raises Unavailable: code ``NO_QUORUM``.
        """
        try:
            if self.is_leader():
                index = await self._with_timeout(self._read_here())
            else:
                index = (await self._request_leader(AskRead)).index
            await self._with_timeout(self._driver.waiters.wait_applied(index))
        except Unavailable as error:
            raise self._describe_no_quorum() from error

    def lease(self) -> float:
        """Return the seconds for which this replica's state counts as current."""
        return self._driver.lease()

    def led_until(self) -> float | None:
        """Return the time at which a quorum last followed this leader for certain."""
        return self._driver.led_until()

    def leader(self) -> ReplicaId | None:
        """Return the current leader, possibly this replica, or None."""
        return self.core.leader

    def expects_leader(self) -> bool:
        """Return whether a leader is known or likely to be elected soon.

        A partitioned replica has no leader for as long as the partition lasts, while an
        election ends soon after the loss of the leader. So no leader is expected after
        an election timeout without one. Until the cluster is founded, one is always
        expected.
        """
        core = self.core
        if core.leader is not None or not core.configuration.voters:
            return True
        return (
            self.clock.monotonic() - self._leader_seen_at
            <= self.options.election_timeout
        )

    def is_leader(self) -> bool:
        """Return whether this replica is a leader whose quorum still answers."""
        return self.core.role is Role.LEADER and not self._driver.failed

    def replicas(self) -> ReplicaSet:
        """Return the latest replica set in the log."""
        found = self.core.configuration
        return ReplicaSet(found.voters, found.learners)

    def count_linked_voters(self) -> tuple[int, int]:
        """Return the number of reachable voters and the number of all voters.

        Reachable are those to which a link is open, and this replica itself.
        """
        voters = self.core.configuration.all_voters
        return len(self._list_linked()), len(voters)

    async def transfer(self) -> None:
        """Transfer the leadership to the replica with the most complete log.

        :raises Unavailable: no other replica took over in time.
        """
        if not self.is_leader():
            return
        successor = self.core.transfer()
        self._driver.schedule_flush()
        deadline = self.clock.monotonic() + 2 * self.options.election_timeout
        while successor is not None and self.clock.monotonic() < deadline:
            if self.core.leader not in (None, self.name):
                return
            await asyncio.sleep(self.options.tick_seconds / 5)
        raise Unavailable(
            "no other replica took over the leadership",
            "check with `ibishead status` that the other replicas run",
            code=ErrorCode.NO_QUORUM,
        )

    async def change_replicas(self, lost: ReplicaId, host: HostId) -> ReplicaId:
        """Replace a replica by a new one on a host, and return the new one's id.

        :raises Unavailable: there is no quorum, or the host can't be reached.
        :raises Conflict: another change of the replica set is in progress.
        """
        if self.is_leader():
            return await replace(self, lost, host)
        answer = await self._request_leader(
            lambda number: AskReplace(number, lost, host),
            REPLACE_TIMEOUT_SECONDS,
            outlives_lead=True,
        )
        return answer.replica

    async def change_configuration(self, wanted: Configuration) -> None:
        """Change the replica set; return once that is committed, an exchange in full.

        :raises Unavailable: the leadership was lost before the exchange was complete.
            The next leader completes it if the joint set was committed.
        """
        core = self.core
        index = core.propose_configuration(wanted)
        await self._driver.wait_for(index, core.term)
        while core.configuration.outgoing or core.commit < core.log.configuration_index:
            if not self.is_leader():
                raise make_unknown_outcome_error()
            await asyncio.sleep(self.options.tick_seconds)

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
        """Process a frame that another replica sent to this one's link server."""
        if self._driver.failed or frame.receiver not in (self.name, ""):
            return
        # after a suspension, process the missed ticks before the queued messages
        self._driver.advance()
        message = self._reader.read(frame)
        if isinstance(message, Introduce):
            self._handle_introduction(frame, message)
        elif message is not None and self._accept_cluster(frame):
            self._handle_message(frame.sender, message)

    @property
    def _identity(self) -> Identity:
        return self._driver.identity

    # Proposals and reads -----------------------------------------------------

    async def _propose_here(self, command: bytes) -> tuple[LogIndex, bytes]:
        if not self._driver.has_space():
            raise StorageFault(
                "the disk of the control log is full",
                "free some space on it; nothing that was accepted is lost",
                code=ErrorCode.STORAGE_FULL,
                retry_after=timedelta(seconds=self.options.answer_timeout),
            )
        core = self.core
        index = core.propose([command])
        if index is None:
            raise self._describe_no_quorum()
        return index, await self._driver.wait_for(index, core.term)

    async def _read_here(self) -> LogIndex:
        self._read_count += 1
        number = self._read_count
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

    async def _request_leader(
        self,
        make_message: Callable[[int], ReplicaMessage],
        timeout_seconds: float | None = None,
        *,
        outlives_lead: bool = False,
    ) -> Any:
        leader = self.core.leader
        if leader is None or leader == self.name or self._driver.failed:
            raise self._describe_no_quorum()
        number, future = self._answers.open(leader, outlives_leadership=outlives_lead)
        try:
            if not self._links.send(self._identity, leader, make_message(number)):
                raise self._describe_no_quorum()
            return await self._with_timeout(future, timeout_seconds)
        finally:
            self._answers.close(number)

    async def _with_timeout(
        self, result: Awaitable[_T], timeout_seconds: float | None = None
    ) -> _T:
        try:
            async with asyncio.timeout(timeout_seconds or self.options.answer_timeout):
                return await result
        except TimeoutError as error:
            raise make_unknown_outcome_error() from error

    def _describe_no_quorum(self) -> Unavailable:
        ticks = self.options.timing.election + self._draw(self.options.timing.election)
        return make_no_quorum_error(ticks * self.options.tick_seconds)

    # Other replicas ----------------------------------------------------------

    def _handle_message(self, sender: ReplicaId, message: ReplicaMessage) -> None:
        match message:
            case Forward(number, command):
                self._spawn(
                    self._answer_request(
                        sender, number, self._serve_forward(number, command)
                    )
                )
            case AskRead(number):
                self._spawn(
                    self._answer_request(sender, number, self._serve_read(number))
                )
            case AskReplace(number, lost, host):
                coroutine = self._serve_replace(number, lost, host)
                self._spawn(self._answer_request(sender, number, coroutine))
            case Forwarded(number) | ReadAnswer(number) | Replaced(number):
                self._answers.settle(number, message)
            case Refuse(number, code, reason, remedy):
                wait = timedelta(seconds=self.options.election_timeout)
                error = Unavailable(reason, remedy, code=code, retry_after=wait)
                self._answers.settle(number, error)
            case Introduce():
                pass
            case _:
                self._driver.step(sender, message)

    async def _answer_request(
        self,
        sender: ReplicaId,
        number: int,
        coroutine: Coroutine[Any, Any, ReplicaMessage],
    ) -> None:
        try:
            answer = await coroutine
        except IbisheadError as error:
            answer = Refuse(number, error.code, error.message, error.remedy)
        self._links.send(self._identity, sender, answer)

    async def _serve_forward(self, number: int, command: bytes) -> ReplicaMessage:
        if not self.is_leader():
            raise self._describe_no_quorum()
        index, result = await self._propose_here(command)
        return Forwarded(number, index, result)

    async def _serve_read(self, number: int) -> ReplicaMessage:
        return ReadAnswer(number, await self._with_timeout(self._read_here()))

    async def _serve_replace(
        self, number: int, lost: ReplicaId, host: HostId
    ) -> ReplicaMessage:
        if not self.is_leader():
            raise self._describe_no_quorum()
        return Replaced(number, await replace(self, lost, host))

    def _accept_cluster(self, frame: PeerFrame) -> bool:
        if not self._identity.cluster and frame.cluster and frame.receiver:
            # the frame is addressed to this identity, so a leader has added it to the
            # cluster
            self._join(Identity(self.name, frame.cluster))
        return bool(frame.cluster) and frame.cluster == self._identity.cluster

    def _handle_introduction(self, frame: PeerFrame, message: Introduce) -> None:
        if frame.sender == self.name:
            return
        now = self.clock.monotonic()
        self.founding.record_introduction(frame.sender, frame.cluster, now)
        own = self._identity
        joined = self.founding.join_cluster(own, frame.cluster, message.founders)
        self._join(joined or self.founding.found_cluster(own))

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
        self._introduced_at = self.clock.monotonic()
        for host in self._links.hosts:
            self._links.introduce(self._identity, host)

    # Periodic work -----------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.options.tick_seconds)
            with contextlib.suppress(IbisheadError):
                self._run_round()
            if self.core.leader is not None:
                self._leader_seen_at = self.clock.monotonic()
            elif not self.expects_leader():
                # fail all waiting callers, so that they can ask another replica; a
                # transfer of the leadership takes less time than this
                self._driver.waiters.fail()
                self._answers.fail()

    def _run_round(self) -> None:
        self._driver.advance()
        if self.clock.monotonic() - self._introduced_at >= INTRODUCE_INTERVAL_SECONDS:
            self._introduce()
            self._join(self.founding.found_cluster(self._identity))
        self._answers.fail_lost(self.core.leader, self._reaches)
        self._campaign_early()
        if not self.is_leader():
            return
        if self._repair.is_due():
            self._spawn(self._repair.run())
        elif (learner := self._repair.find_promotable()) is not None:
            self._spawn(self._repair.promote(learner))
        elif (spare := self._repair.find_spare()) is not None:
            self._spawn(self._repair.add_spare(spare))

    def _campaign_early(self) -> None:
        """Start an early pre-vote when it is this replica's turn.

        The voters that are linked to a quorum do so in the order of their ids, one per
        round, so that two that start together don't split the votes.
        """
        linked = self._list_linked()
        quorum = has_quorum(self.core.configuration, linked)
        if self.name not in linked or not quorum:
            self._linked_rounds = 0
            return
        if self._linked_rounds == sorted(linked).index(self.name):
            self.core.campaign_early()
            self._driver.schedule_flush()
        self._linked_rounds += 1

    def _list_linked(self) -> list[ReplicaId]:
        voters = self.core.configuration.all_voters
        return [v for v in voters if v == self.name or self._reaches(v)]

    def _reaches(self, replica: ReplicaId) -> bool:
        return self._links.reaches(replica_host(replica))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
