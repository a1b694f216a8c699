"""HTTP interface of a control replica for operators and the platform."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from ibishead.clock import Clock
from ibishead.control.claims import ClaimKey
from ibishead.control.commands import (
    Accepted,
    Command,
    DrainTarget,
    Rejected,
    Result,
    StaleBase,
    SubmitDocument,
)
from ibishead.control.log.machine import Replica
from ibishead.control.publish import Publisher
from ibishead.control.service import propose_command
from ibishead.control.state import ControlState
from ibishead.control.views import (
    History,
    InForce,
    Replacement,
    Status,
    Submitted,
    describe_change,
    describe_conflict,
    describe_document,
)
from ibishead.documents import parse_document
from ibishead.errors import (
    Conflict,
    ErrorCode,
    Forbidden,
    IbisheadError,
    InvalidInput,
    NotFound,
    Unavailable,
)
from ibishead.headers import Headers, find_header
from ibishead.ids import (
    HostId,
    IdempotencyKey,
    LogIndex,
    ReplicaId,
    Revision,
    ServiceName,
    SubmissionId,
    TargetId,
    TeamId,
)
from ibishead.keys import read_bearer, require_key
from ibishead.messages import DocumentRecord
from ibishead.metrics import Metrics
from ibishead.web import Exchange, WebRequest

__all__ = ["OperatorApi"]

_ERROR_CLASSES: dict[ErrorCode, type[IbisheadError]] = {
    ErrorCode.FORBIDDEN: Forbidden,
    ErrorCode.KEY_REUSED: Conflict,
    ErrorCode.UNKNOWN_TARGET: NotFound,
}


_TEXT_HEADERS: Headers = (("content-type", "text/plain"),)


@dataclass(frozen=True)
class _RawResponse:
    headers: Headers
    body: bytes


class OperatorApi:
    """Handles the HTTP requests of operators and the platform.

    :param find_waiting: returns the hosts that may not have applied an index.
    :param admin_keys: SHA-256 digests of the keys that may submit new services, drain
        targets and replace replicas; when empty, no key is required, which is
        suitable for demonstrations only.
    :ivar stopping: the replica is stopping and reports that it isn't ready.
    """

    def __init__(
        self,
        name: ReplicaId,
        state: ControlState,
        replica: Replica,
        publisher: Publisher,
        find_waiting: Callable[[LogIndex], Awaitable[list[HostId]]],
        clock: Clock,
        admin_keys: frozenset[str] = frozenset(),
    ) -> None:
        self.stopping = False
        self._name = name
        self._state = state
        self._replica = replica
        self._publisher = publisher
        self._find_waiting = find_waiting
        self._clock = clock
        self._admin_keys = admin_keys
        self._metrics = Metrics("control")

    async def answer(self, exchange: Exchange) -> None:
        """Handle one request.

        :raises IbisheadError: the request is refused; the web server sends the reason.
        """
        request = exchange.request
        try:
            value = await self._route(request)
        except IbisheadError as error:
            self._metrics.count_refusal(error.code)
            raise
        if isinstance(value, _RawResponse):
            await exchange.respond(200, value.headers, value.body)
            return
        body = msgspec.json.encode(value)
        await exchange.respond(200, (("content-type", "application/json"),), body)

    async def _route(self, request: WebRequest) -> Any:
        segments = [unquote(part) for part in request.path.strip("/").split("/")]
        query = {name: values[-1] for name, values in parse_qs(request.query).items()}
        match request.method, segments:
            case "GET", ["livez"]:
                return _RawResponse(_TEXT_HEADERS, b"ok\n")
            case "GET", ["readyz"]:
                return self._check_ready()
            case "GET", ["metrics"]:
                return self._render_metrics(request)
            case "POST", ["v1", "documents", service]:
                return await self._submit(request, ServiceName(service), query)
            case "POST", ["v1", "targets", target, "drain"]:
                self._require_admin(request)
                return await self._propose(DrainTarget(TargetId(target)))
            case "POST", ["v1", "replicas", "replace"]:
                self._require_admin(request)
                return await self._replace(request)
            case "GET", ["v1", *rest]:
                return await self._read(rest, query)
        raise NotFound(
            f"unknown method or path: {request.method} {request.path}",
            "see docs/OPERATIONS.md for the paths",
        )

    async def _read(self, segments: list[str], query: Mapping[str, str]) -> Any:
        match segments:
            case ["status"]:
                return self._describe_status()
            case ["in-force"]:
                index = LogIndex(_read_number(query, "index"))
                await self._check_index(index)
                waiting = await self._find_waiting(index)
                return InForce(not waiting, waiting)
        # Failure: a partitioned replica answers from an old state, and an operator
        # edits a revision that was replaced. Reads are confirmed by the quorum.
        await self._replica.confirm_read()
        match segments:
            case ["documents"]:
                records = self._state.documents.documents.values()
                return [describe_document(record) for record in records]
            case ["documents", service]:
                return describe_document(self._find_document(service), text=True)
            case ["documents", service, "history"]:
                self._find_document(service)
                changes = self._state.documents.histories[ServiceName(service)]
                return History(service, [describe_change(c) for c in changes])
            case ["targets"]:
                members = self._state.targets.members.values()
                return [msgspec.structs.asdict(member.record) for member in members]
            case ["requests", team, service, key]:
                return self._describe_claim(team, service, key)
        raise NotFound(
            f"unknown path: /v1/{'/'.join(segments)}",
            "see docs/OPERATIONS.md for the paths",
        )

    async def _submit(
        self, request: WebRequest, service: ServiceName, query: Mapping[str, str]
    ) -> Submitted:
        # An operator's key may have been revoked by a revision that this replica
        # hasn't applied yet
        await self._replica.confirm_read()
        operator = self._authorize(request, service)
        text = _decode_text(request.body)
        document = parse_document(text)
        team = query.get("team") or document.team
        _check_names(service, team, document.service, document.team)
        command = SubmitDocument(
            service,
            TeamId(team),
            Revision(_read_number(query, "base")),
            SubmissionId(_read_text(query, "submission")),
            text,
            operator,
            self._clock.now().timestamp(),
        )
        match await self._propose(command):
            case Accepted(_, revision, submission, index):
                self._metrics.count_event("submission")
                # Only durability is awaited; /v1/in-force reports the rest
                return Submitted(service, revision, submission, index, False)
            case StaleBase() as stale:
                raise describe_conflict(stale, command.base)
        raise IbisheadError(
            "the log gave an unexpected result", "report this with the log records"
        )

    async def _check_index(self, index: LogIndex) -> None:
        if index <= self._state.applied:
            return
        await self._replica.confirm_read()
        if index > self._state.applied:
            raise NotFound(
                f"log index {index} does not exist yet",
                "use the index that a submission returned",
            )

    async def _replace(self, request: WebRequest) -> dict[str, str]:
        try:
            replacement = msgspec.json.decode(request.body, type=Replacement)
        except msgspec.DecodeError as error:
            raise InvalidInput(
                f"the body is not a valid replacement: {error}",
                'send {"lost": REPLICA, "host": HOST}',
            ) from error
        new = await self._replica.change_replicas(
            self._find_replica(replacement.lost), HostId(replacement.host)
        )
        return {"replica": new}

    def _find_replica(self, name: str) -> ReplicaId:
        # Operators use the name in the settings, the log uses the identity
        replicas = self._replica.replicas()
        known = (*replicas.voters, *replicas.learners)
        found = [r for r in known if name in (r, r.rpartition(".")[0])]
        if len(found) != 1:
            raise NotFound(
                f"{len(found)} replicas match the name {name}",
                "see `ibishead status`; the replica may have been replaced already",
            )
        return found[0]

    async def _propose(self, command: Command) -> Result:
        result = await propose_command(self._replica, self._clock, command)
        if isinstance(result, Rejected):
            error_class = _ERROR_CLASSES.get(result.code, Conflict)
            raise error_class(result.message, result.remedy, code=result.code)
        return result

    def _authorize(self, request: WebRequest, service: ServiceName) -> str:
        record = self._state.documents.documents.get(service)
        keys = set(self._admin_keys)
        if record is not None:
            keys.update(parse_document(record.text).operators)
        return _check_key(request, keys)

    def _require_admin(self, request: WebRequest) -> None:
        _check_key(request, set(self._admin_keys))

    def _find_document(self, service: str) -> DocumentRecord:
        record = self._state.documents.documents.get(ServiceName(service))
        if record is None:
            raise NotFound(
                f"service {service} has no document",
                "list the services that have one, or submit a new one with base 0",
                code=ErrorCode.UNKNOWN_SERVICE,
            )
        return record

    def _describe_claim(self, team: str, service: str, key: str) -> Any:
        found = self._state.claims.find(
            ClaimKey(TeamId(team), ServiceName(service), IdempotencyKey(key))
        )
        if found is None:
            raise NotFound(
                f"there is no claim with key {key}",
                "its retention period has ended, or it was never requested",
                code=ErrorCode.UNKNOWN_REQUEST,
            )
        view = msgspec.structs.asdict(found)
        del view["answer_body"], view["request"]
        return view

    def _describe_status(self) -> Status:
        replicas = self._replica.replicas()
        return Status(
            self._name,
            self._replica.leader() or "",
            self._state.applied,
            list(replicas.voters),
            list(replicas.learners),
            len(self._publisher),
            len(self._state.claims),
            self._replica.lease(),
        )

    def _check_ready(self) -> _RawResponse:
        if self.stopping:
            raise Unavailable(
                "the replica is stopping",
                "use another replica",
                code=ErrorCode.DRAINING,
            )
        if self._replica.lease() <= 0:
            raise Unavailable(
                "the replica has no contact with a quorum",
                "use another replica; check the links between the replicas",
                code=ErrorCode.NO_QUORUM,
            )
        return _RawResponse(_TEXT_HEADERS, b"ready\n")

    def _render_metrics(self, request: WebRequest) -> _RawResponse:
        gauges = {
            "applied_index": self._state.applied,
            "subscribers": len(self._publisher),
            "targets": len(self._state.targets.members),
            "claims": len(self._state.claims),
            "leading": self._replica.is_leader(),
        }
        for name, value in gauges.items():
            self._metrics.set_gauge(name, value)
        accept = find_header(request.headers, "accept")
        return _RawResponse(*self._metrics.render((accept,) if accept else ()))


def _check_key(request: WebRequest, allowed: set[str]) -> str:
    if not allowed:
        return "anybody"
    return require_key(read_bearer(request.headers), allowed, request.peer)


def _check_names(
    service: str, team: str, document_service: str, document_team: str
) -> None:
    if document_service and document_service != service:
        raise InvalidInput(
            f"the document is for service {document_service}, not {service}",
            "submit it under the service name in the document",
            code=ErrorCode.DOCUMENT_INVALID,
        )
    if not team or (document_team and document_team != team):
        raise InvalidInput(
            f"the document is for team {document_team!r}, not {team!r}",
            "submit it for the team named in the document",
            code=ErrorCode.DOCUMENT_INVALID,
        )


def _decode_text(body: bytes) -> str:
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise InvalidInput(
            "the document is not valid UTF-8",
            "save it as UTF-8",
            code=ErrorCode.DOCUMENT_INVALID,
        ) from error


def _read_text(query: Mapping[str, str], name: str) -> str:
    if value := query.get(name):
        return value
    raise InvalidInput(
        f"query parameter {name} is missing", f"add {name}=… to the query"
    )


def _read_number(query: Mapping[str, str], name: str) -> int:
    text = _read_text(query, name)
    if not (text.isascii() and text.isdigit()):
        raise InvalidInput(
            f"query parameter {name} is not a whole number: {text!r}",
            "send decimal digits",
        )
    return int(text)
