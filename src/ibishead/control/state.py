"""The control program's replicated state: documents, targets and claims.

`ControlState` is the state machine that the replicated log drives. It also records
which targets changed at which index, so that subscribers can be sent deltas.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

import msgspec

from ibishead.control.agreement.membership import SavedTargets, TargetTable
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
from ibishead.control.submissions import DocumentTable, SavedDocuments
from ibishead.errors import ErrorCode, IbisheadError, StorageFault
from ibishead.ids import Incarnation, LogIndex, ReplicaId, ServiceName, TargetId
from ibishead.messages import AskClaim, DocumentRecord, TargetRecord

__all__ = ["ControlState", "Delta"]

logger = logging.getLogger(__name__)

#: Target changes recorded for deltas; a subscriber further behind is sent all targets.
MAX_TARGET_CHANGES = 4096

#: Total length of the documents in one delta, unless a single one is longer. Together
#: with the largest accepted request body it stays below the size limit of a frame.
MAX_DELTA_CHARACTERS = 2 * 1024 * 1024


@dataclass(frozen=True)
class Delta:
    """The changes that a subscriber has not been sent.

    :param index: log index that the subscriber has reached with this delta.
    :param gone: targets with their incarnations that have ended.
    :param whole: the targets are the complete set.
    :param partial: there are more changes, to be collected from ``index`` on.
    """

    index: LogIndex
    documents: tuple[DocumentRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    gone: tuple[tuple[TargetId, Incarnation], ...] = ()
    whole: bool = False
    partial: bool = False

    @property
    def empty(self) -> bool:
        """Whether the delta carries an index only."""
        return not (self.whole or self.documents or self.targets or self.gone)


@dataclass(frozen=True)
class _TargetChange:
    index: LogIndex
    target: TargetId
    ended: Incarnation | None = None


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    applied: LogIndex
    changed: LogIndex
    documents: SavedDocuments
    targets: SavedTargets
    claims: SavedClaims
    replicas: tuple[AnnounceReplica, ...]


class ControlState:
    """The replicated state that the committed commands produce.

    :ivar applied: index of the last applied command.
    :ivar changed: index of the last command that changed what subscribers hold.
    :ivar replicas: link endpoints of the replicas that have announced themselves.
    :ivar on_change: called after each command or snapshot that changed what
        subscribers hold.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _do_nothing
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

        Failure: a log entry that raises would stop every replica at the same index,
        and again after each restart. An invalid entry gives a typed rejection.
        """
        position = LogIndex(index)
        try:
            result = self._execute(position, decode_command(command))
        except IbisheadError as error:
            result = Rejected(error.code, error.message, error.remedy)
        except Exception:
            logger.exception("log entry could not be applied", extra={"index": index})
            result = Rejected(
                ErrorCode.INTERNAL,
                f"log entry {index} could not be applied",
                "report this index together with the log record of the exception",
            )
        self.applied = position
        if self.changed == position:
            self.on_change()
        return encode_result(result)

    def capture(self) -> bytes:
        """Return the complete state, for a snapshot."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.applied,
                self.changed,
                self.documents.save(),
                self.targets.save(),
                self.claims.save(),
                tuple(self.replicas.values()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a captured one.

        A state may grow larger than a frame of a link, so that the codec of frames
        with its size limit is not used here.

        :raises StorageFault: the data is not a captured state.
        """
        try:
            saved = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.DecodeError as error:
            raise StorageFault(
                f"the snapshot can't be decoded: {error}",
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
        """Return the changes after ``index``.

        :param services: the services to include, or all of them when empty.
        """
        if index > 0 and self.changed <= index:
            return Delta(index)
        documents, reached = self._collect_documents(index, services)
        whole = index == 0 or index < self._floor
        missed = [] if whole else self._list_target_changes(index)
        changed_targets = (
            self.targets.members if whole else {c.target: None for c in missed}
        )
        targets = (
            self.targets.members[name].record
            for name in changed_targets
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

    def _collect_documents(
        self, index: LogIndex, services: frozenset[ServiceName]
    ) -> tuple[tuple[DocumentRecord, ...], LogIndex]:
        collected: list[DocumentRecord] = []
        size = 0
        reached = index
        for changed, record in self.documents.list_changed(index):
            if services and record.service not in services:
                continue
            size += len(record.text)
            # Failure: many large documents together exceed the size limit of a frame.
            # The link would break at each attempt and the holder never be served.
            if collected and size > MAX_DELTA_CHARACTERS:
                return tuple(collected), reached
            collected.append(record)
            reached = changed
        return tuple(collected), self.changed

    def _list_target_changes(self, index: LogIndex) -> list[_TargetChange]:
        # Every holder reports each second and has usually missed nothing, so that the
        # search begins at the newest change
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
            case ClaimRequest(request):
                return self._claim(request)
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
        target = command.request.target
        before = self.targets.members.get(target)
        result = self.targets.register(index, command)
        if isinstance(result, Registered) and result.incarnation == index:
            ended = before.record.incarnation if before is not None else None
            if ended is not None:
                self.claims.end_incarnation(target, ended)
            self._record_target_change(_TargetChange(index, target, ended))
        return result

    def _retire(self, index: LogIndex, command: RetireTarget) -> Result:
        before = self.targets.members.get(command.target)
        result = self.targets.retire(index, command)
        if before is not None and isinstance(result, Done):
            ended = before.record.incarnation
            self.claims.end_incarnation(command.target, ended)
            self._record_target_change(_TargetChange(index, command.target, ended))
        return result

    def _drain(self, index: LogIndex, target: TargetId) -> Result:
        result = self.targets.drain(index, target)
        if isinstance(result, Done):
            self._record_target_change(_TargetChange(index, target))
        return result

    def _claim(self, request: AskClaim) -> Result:
        is_known = self.claims.has_answer(request)
        # A claim granted to an ended incarnation would never be marked unknown
        if not is_known and not self.targets.is_live(
            request.target, request.incarnation
        ):
            return Rejected(
                ErrorCode.STALE_INCARNATION,
                f"incarnation {request.incarnation} of {request.target} is not live",
                "choose another target",
            )
        return self.claims.acquire(request)

    def _announce(self, command: AnnounceReplica) -> None:
        # A host runs one replica: a new identity on it replaces the lost one
        self.replicas = {
            known.replica: known
            for known in self.replicas.values()
            if known.host != command.host
        }
        self.replicas[command.replica] = command

    def _record_target_change(self, change: _TargetChange) -> None:
        self.changed = change.index
        self._changes.append(change)
        if len(self._changes) > MAX_TARGET_CHANGES:
            self._floor = self._changes.popleft().index


def _do_nothing() -> None:
    pass
