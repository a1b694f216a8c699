"""The control program's replicated state: documents, targets and claims.

`ControlState` is the state machine that the log carries. It also remembers which
targets changed at which index, so that subscribers get deltas.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

import msgspec

from ibishead.control.claims import ClaimTable, SavedClaims
from ibishead.control.commands import (
    Accepted,
    AdvanceTime,
    AnnounceReplica,
    AttachTarget,
    ClaimRequest,
    Command,
    Done,
    DrainTarget,
    Registered,
    RegisterTarget,
    Rejected,
    Result,
    RetireTarget,
    SettleClaim,
    SubmitDocument,
    decode_command,
    encode_result,
)
from ibishead.control.membership import SavedTargets, TargetTable
from ibishead.control.submissions import DocumentTable, SavedDocuments
from ibishead.errors import ErrorCode, IbisheadError, StorageFault
from ibishead.ids import Incarnation, LogIndex, ReplicaId, ServiceName, TargetId
from ibishead.messages import AskClaim, DocumentRecord, TargetRecord

__all__ = ["ControlState", "Delta"]

logger = logging.getLogger(__name__)

#: Changes of targets kept for deltas; a subscriber further behind gets all targets.
CHANGES_KEPT = 4096

#: Characters of documents in one delta, unless a single one is longer. With the
#: largest body that is accepted it stays below the bound on a link's frame.
MAX_DELTA = 2 * 1024 * 1024


@dataclass(frozen=True)
class Delta:
    """What a subscriber is missing.

    :param index: where it stands once it has this.
    :param whole: the targets are all that there are.
    :param partial: more is missing; it follows from ``index`` on.
    """

    index: LogIndex
    documents: tuple[DocumentRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    gone: tuple[tuple[TargetId, Incarnation], ...] = ()
    whole: bool = False
    partial: bool = False

    @property
    def empty(self) -> bool:
        """Whether nothing but the index has moved."""
        return not (self.whole or self.documents or self.targets or self.gone)


@dataclass(frozen=True)
class _TargetChange:
    index: LogIndex
    target: TargetId
    ended: Incarnation | None = None


class _Saved(msgspec.Struct, frozen=True, array_like=True):
    applied: LogIndex
    changed: LogIndex
    documents: SavedDocuments
    targets: SavedTargets
    claims: SavedClaims
    replicas: tuple[AnnounceReplica, ...]


class ControlState:
    """All that the quorum has agreed on.

    :ivar applied: index of the last applied command.
    :ivar changed: index of the last command that subscribers have to hear of.
    :ivar replicas: where the replicas that have announced themselves serve links.
    :ivar on_change: called after each step that subscribers have to hear of.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _ignore
        self.applied = LogIndex(0)
        self.changed = LogIndex(0)
        self.documents = DocumentTable()
        self.targets = TargetTable()
        self.claims = ClaimTable()
        self.replicas: dict[ReplicaId, AnnounceReplica] = {}
        self._changes: deque[_TargetChange] = deque()
        self._floor = LogIndex(0)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result; never raises.

        Failure: a log entry that raises would stop every replica at the same place,
        after every restart again. A bad entry is answered by a typed rejection.
        """
        position = LogIndex(index)
        try:
            result = self._execute(position, decode_command(command))
        except IbisheadError as error:
            result = Rejected(error.code, error.message, error.remedy)
        except Exception:
            logger.exception("a log entry can't be applied", extra={"index": index})
            result = Rejected(
                ErrorCode.INTERNAL,
                f"log entry {index} can't be applied",
                "report the index with the log line of the same time",
            )
        self.applied = position
        if self.changed == position:
            self.on_change()
        return encode_result(result)

    def capture(self) -> bytes:
        """Return the whole state, for a snapshot."""
        return msgspec.msgpack.encode(
            _Saved(
                self.applied,
                self.changed,
                self.documents.save(),
                self.targets.save(),
                self.claims.save(),
                tuple(self.replicas.values()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a captured one.

        A state outgrows what fits into a frame of a link, so that frames' codec and
        its bound don't apply here.

        :raises StorageFault: this is no captured state.
        """
        try:
            saved = msgspec.msgpack.decode(data, type=_Saved)
        except msgspec.DecodeError as error:
            raise StorageFault(
                f"the snapshot can't be read: {error}",
                "run the version of ibishead that wrote it, or replace this replica",
            ) from error
        self.applied = saved.applied
        self.changed = self._floor = saved.changed
        self.documents = DocumentTable(saved.documents)
        self.targets = TargetTable(saved.targets)
        self.claims = ClaimTable(saved.claims)
        self.replicas = {known.replica: known for known in saved.replicas}
        self._changes.clear()
        self.on_change()

    def collect(
        self, index: LogIndex, services: frozenset[ServiceName] = frozenset()
    ) -> Delta:
        """Return what a subscriber at ``index`` is missing.

        :param services: these only, or all when empty.
        """
        if index > 0 and self.changed <= index:
            return Delta(index)
        documents, reached = self._take_documents(index, services)
        whole = index == 0 or index < self._floor
        missed = [] if whole else self._list_missed(index)
        moved = self.targets.members if whole else {c.target: None for c in missed}
        targets = (
            self.targets.members[name].record
            for name in moved
            if name in self.targets.members
        )
        return Delta(
            reached,
            documents,
            tuple(t for t in targets if not services or t.service in services),
            tuple((c.target, c.ended) for c in missed if c.ended is not None),
            whole,
            reached < self.changed,
        )

    def _take_documents(
        self, index: LogIndex, services: frozenset[ServiceName]
    ) -> tuple[tuple[DocumentRecord, ...], LogIndex]:
        taken: list[DocumentRecord] = []
        size = 0
        reached = index
        for changed, record in self.documents.list_changed(index):
            if services and record.service not in services:
                continue
            size += len(record.text)
            # Failure: many large documents exceed what a link carries in a frame;
            # it would break at each try, and the holder would never be served.
            if taken and size > MAX_DELTA:
                return tuple(taken), reached
            taken.append(record)
            reached = changed
        return tuple(taken), self.changed

    def _list_missed(self, index: LogIndex) -> list[_TargetChange]:
        # Every holder reports each second and has missed nothing as a rule
        missed = list(takewhile(lambda c: c.index > index, reversed(self._changes)))
        return missed[::-1]

    def _execute(self, index: LogIndex, command: Command) -> Result:
        match command:
            case SubmitDocument():
                return self._submit(index, command)
            case RegisterTarget():
                return self._register(index, command)
            case AttachTarget():
                return self.targets.attach(index, command)
            case RetireTarget():
                return self._retire(index, command)
            case DrainTarget(target):
                return self._drain(index, target)
            case ClaimRequest(ask):
                return self._claim(ask)
            case SettleClaim(resolve):
                return self.claims.settle(resolve)
            case AdvanceTime(since, seconds):
                self.claims.advance(since, seconds)
            case AnnounceReplica():
                self._announce(command)
        return Done(index)

    def _submit(self, index: LogIndex, command: SubmitDocument) -> Result:
        result = self.documents.submit(index, command)
        if isinstance(result, Accepted) and result.index == index:
            self.changed = index
        return result

    def _register(self, index: LogIndex, command: RegisterTarget) -> Result:
        target = command.ask.target
        before = self.targets.members.get(target)
        result = self.targets.register(index, command)
        if isinstance(result, Registered) and result.incarnation == index:
            ended = before.record.incarnation if before is not None else None
            if ended is not None:
                self.claims.end(target, ended)
            self._note(_TargetChange(index, target, ended))
        return result

    def _retire(self, index: LogIndex, command: RetireTarget) -> Result:
        before = self.targets.members.get(command.target)
        result = self.targets.retire(index, command)
        if before is not None and isinstance(result, Done):
            ended = before.record.incarnation
            self.claims.end(command.target, ended)
            self._note(_TargetChange(index, command.target, ended))
        return result

    def _drain(self, index: LogIndex, target: TargetId) -> Result:
        result = self.targets.drain(index, target)
        if isinstance(result, Done):
            self._note(_TargetChange(index, target))
        return result

    def _claim(self, ask: AskClaim) -> Result:
        known = self.claims.holds(ask)
        # A claim for an incarnation that has ended would never be marked unknown
        if not known and not self.targets.is_live(ask.target, ask.incarnation):
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"incarnation {ask.incarnation} of {ask.target} is not live",
                "choose another target",
            )
        return self.claims.ask(ask)

    def _announce(self, command: AnnounceReplica) -> None:
        # One host has one replica: a new identity on it replaces the lost one
        self.replicas = {
            known.replica: known
            for known in self.replicas.values()
            if known.host != command.host
        }
        self.replicas[command.replica] = command

    def _note(self, change: _TargetChange) -> None:
        self.changed = change.index
        self._changes.append(change)
        if len(self._changes) > CHANGES_KEPT:
            self._floor = self._changes.popleft().index


def _ignore() -> None:
    pass
