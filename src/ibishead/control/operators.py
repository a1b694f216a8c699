"""The HTTP interface of a control replica for operators and the platform."""

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
from ibishead.control.machine import Replica
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

_KINDS: dict[ErrorCode, type[IbisheadError]] = {
    ErrorCode.FORBIDDEN: Forbidden,
    ErrorCode.KEY_REUSED: Conflict,
    ErrorCode.UNKNOWN_TARGET: NotFound,
}


_PLAIN: Headers = (("content-type", "text/plain"),)


@dataclass(frozen=True)
class _Page:
    headers: Headers
    body: bytes


class OperatorApi:
    """Answers operators' requests.

    :param admin_keys: SHA-256 of keys that may submit new services, drain targets
        and replace replicas; when empty, everybody may, which suits a demo only.
    :param find_waiting: returns the holders that haven't applied an index.
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
        """Answer one request.

        :raises IbisheadError: the request is refused; the web server shows why.
        """
        request = exchange.request
        try:
            value = await self._route(request)
        except IbisheadError as error:
            self._metrics.count_refusal(error.code)
            raise
        if isinstance(value, _Page):
            await exchange.respond(200, value.headers, value.body)
            return
        body = msgspec.json.encode(value)
        await exchange.respond(200, (("content-type", "application/json"),), body)

    async def _route(self, request: WebRequest) -> Any:
        segments = [unquote(part) for part in request.path.strip("/").split("/")]
        query = {name: v[-1] for name, v in parse_qs(request.query).items()}
        match request.method, segments:
            case "GET", ["livez"]:
                return _Page(_PLAIN, b"ok\n")
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
            f"there is no {request.method} {request.path}",
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
        # Failure: a replica that was cut off answers from an old state, and an
        # operator edits a revision that was replaced. Reads go through the quorum.
        await self._replica.confirm_read()
        match segments:
            case ["documents"]:
                held = self._state.documents.documents.values()
                return [describe_document(record) for record in held]
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
            f"there is no /v1/{'/'.join(segments)}",
            "see docs/OPERATIONS.md for the paths",
        )

    async def _submit(
        self, request: WebRequest, service: ServiceName, query: Mapping[str, str]
    ) -> Submitted:
        # An operator's key may have been withdrawn by a revision of which this
        # replica hasn't heard
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
                # Durable is all that is waited for; /v1/in-force tells the rest
                return Submitted(service, revision, submission, index, False)
            case StaleBase() as stale:
                raise describe_conflict(stale, command.base)
        raise IbisheadError("the log gave no answer", "report this with the log lines")

    async def _check_index(self, index: LogIndex) -> None:
        if index <= self._state.applied:
            return
        await self._replica.confirm_read()
        if index > self._state.applied:
            raise NotFound(
                f"the log has no index {index} yet",
                "ask for the index that a submission returned",
            )

    async def _replace(self, request: WebRequest) -> dict[str, str]:
        try:
            ask = msgspec.json.decode(request.body, type=Replacement)
        except msgspec.DecodeError as error:
            raise InvalidInput(
                f"the body is no replacement: {error}",
                'send {"lost": REPLICA, "host": HOST}',
            ) from error
        fresh = await self._replica.change_replicas(
            self._find_replica(ask.lost), HostId(ask.host)
        )
        return {"replica": fresh}

    def _find_replica(self, name: str) -> ReplicaId:
        # An operator knows the name in the settings; the log knows the identity
        replicas = self._replica.replicas()
        known = (*replicas.voters, *replicas.learners)
        found = [r for r in known if name in (r, r.rpartition(".")[0])]
        if len(found) != 1:
            raise NotFound(
                f"{len(found)} replicas are named {name}",
                "see `ibishead status`; it may have been replaced already",
            )
        return found[0]

    async def _propose(self, command: Command) -> Result:
        result = await propose_command(self._replica, self._clock, command)
        if isinstance(result, Rejected):
            kind = _KINDS.get(result.code, Conflict)
            raise kind(result.message, result.remedy, code=result.code)
        return result

    def _authorize(self, request: WebRequest, service: ServiceName) -> str:
        held = self._state.documents.documents.get(service)
        keys = set(self._admin_keys)
        if held is not None:
            keys.update(parse_document(held.text).operators)
        return _check_key(request, keys)

    def _require_admin(self, request: WebRequest) -> None:
        _check_key(request, set(self._admin_keys))

    def _find_document(self, service: str) -> DocumentRecord:
        record = self._state.documents.documents.get(ServiceName(service))
        if record is None:
            raise NotFound(
                f"no service {service} has a document",
                "see the services that have one, or submit with base 0",
                code=ErrorCode.UNKNOWN_SERVICE,
            )
        return record

    def _describe_claim(self, team: str, service: str, key: str) -> Any:
        found = self._state.claims.find(
            ClaimKey(TeamId(team), ServiceName(service), IdempotencyKey(key))
        )
        if found is None:
            raise NotFound(
                f"no claim is held under key {key}",
                "its retention has ended or it was never asked for",
                code=ErrorCode.UNKNOWN_REQUEST,
            )
        shown = msgspec.structs.asdict(found)
        del shown["answer_body"], shown["request"]
        return shown

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

    def _check_ready(self) -> _Page:
        if self.stopping:
            raise Unavailable(
                "the replica is stopping",
                "use another replica",
                code=ErrorCode.DRAINING,
            )
        if self._replica.lease() <= 0:
            raise Unavailable(
                "the replica has no quorum",
                "use another replica; check its links to the others",
                code=ErrorCode.NO_QUORUM,
            )
        return _Page(_PLAIN, b"ready\n")

    def _render_metrics(self, request: WebRequest) -> _Page:
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
        return _Page(*self._metrics.render((accept,) if accept else ()))


def _check_key(request: WebRequest, allowed: set[str]) -> str:
    if not allowed:
        return "anybody"
    return require_key(read_bearer(request.headers), allowed, request.peer)


def _check_names(
    service: str, team: str, written_service: str, written_team: str
) -> None:
    if written_service and written_service != service:
        raise InvalidInput(
            f"the document is for service {written_service}, not {service}",
            "submit it under the name that it holds",
            code=ErrorCode.DOCUMENT_INVALID,
        )
    if not team or (written_team and written_team != team):
        raise InvalidInput(
            f"the document is for team {written_team!r}, not {team!r}",
            "submit it for the team that it names",
            code=ErrorCode.DOCUMENT_INVALID,
        )


def _decode_text(body: bytes) -> str:
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise InvalidInput(
            "the document is no UTF-8",
            "save it as UTF-8",
            code=ErrorCode.DOCUMENT_INVALID,
        ) from error


def _read_text(query: Mapping[str, str], name: str) -> str:
    if value := query.get(name):
        return value
    raise InvalidInput(f"{name} is missing", f"add ?{name}=… to the path")


def _read_number(query: Mapping[str, str], name: str) -> int:
    text = _read_text(query, name)
    if not (text.isascii() and text.isdigit()):
        raise InvalidInput(f"{name} is no number: {text!r}", "send a whole number")
    return int(text)
