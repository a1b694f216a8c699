"""Helpers of the control program's tests: commands, a log and test doubles."""

from ibishead.control.commands import (
    ClaimRequest,
    Command,
    RegisterTarget,
    Result,
    SettleClaim,
    SubmitDocument,
    decode_result,
    encode_command,
)
from ibishead.control.log.machine import ReplicaSet
from ibishead.control.state import ControlState
from ibishead.ids import (
    FailureDomain,
    Generation,
    HostId,
    IdempotencyKey,
    Incarnation,
    ReplicaId,
    RequestId,
    Revision,
    ServiceName,
    SubmissionId,
    TargetId,
    TeamId,
)
from ibishead.messages import (
    AskClaim,
    AskRegistration,
    Hello,
    Message,
    Outcome,
    ResolveClaim,
    Role,
    TargetKind,
)

HALO = TeamId("halo")
RAKTAR = ServiceName("raktar")
C1 = ReplicaId("c1")


def write_document(
    service: str = "raktar", team: str = "halo", stall_weight: float = 0.5
) -> str:
    """Return the text of a valid document of a plain service."""
    return (
        f"[service]\nname = {service}\nteam = {team}\nkind = plain\n"
        f"default_class = read\nstall_weight = {stall_weight}\n"
        "[class:read]\npriority = 3\ndeadline = 5 s\nidempotent = yes\n"
    )


def make_submission(
    submission: str, base: int, text: str = "text", team: str = "halo", now: float = 7.0
) -> SubmitDocument:
    return SubmitDocument(
        RAKTAR,
        TeamId(team),
        Revision(base),
        SubmissionId(submission),
        text,
        "kata",
        now,
    )


def make_registration(nonce: str, target: str = "t1", replica: str = "c1"):
    request = AskRegistration(
        nonce,
        TargetId(target),
        RAKTAR,
        TargetKind.PLAIN,
        HostId("h1"),
        FailureDomain("szeged-a"),
        "127.0.0.1",
        7300,
    )
    return RegisterTarget(request, ReplicaId(replica))


def make_claim(
    request: str,
    incarnation: int,
    key: str = "k1",
    digest: str = "d1",
    team: str = "halo",
    retention: float = 100.0,
) -> ClaimRequest:
    return ClaimRequest(
        AskClaim(
            RequestId(request),
            TeamId(team),
            RAKTAR,
            IdempotencyKey(key),
            digest,
            TargetId("t1"),
            Incarnation(incarnation),
            retention,
        )
    )


def make_settlement(
    request: str,
    outcome: Outcome,
    generation: int = 1,
    key: str = "k1",
    body: bytes = b"issued",
) -> SettleClaim:
    return SettleClaim(
        ResolveClaim(
            RequestId(request),
            HALO,
            RAKTAR,
            IdempotencyKey(key),
            Generation(generation),
            outcome,
            200,
            (("content-type", "text/plain"),),
            body,
        )
    )


class Log:
    """Applies commands to a state at increasing indices."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0

    def apply(self, command: Command) -> Result:
        self.index += 1
        return decode_result(self.state.apply(self.index, encode_command(command)))

    def restart(self) -> None:
        """Replace the state by a new one, restored from its snapshot."""
        data = self.state.capture()
        self.state = ControlState()
        self.state.restore(data)


class FakeReplica:
    """Replica whose role, lease and known leader a test sets."""

    def __init__(self, name: str, others: tuple[str, ...] = ()) -> None:
        self.name = ReplicaId(name)
        self.leading = False
        self.lease_seconds = 1.0
        self.known_leader: ReplicaId | None = None
        self.voters = (self.name, *map(ReplicaId, others))

    def is_leader(self) -> bool:
        return self.leading

    def leader(self) -> ReplicaId | None:
        return self.name if self.leading else self.known_leader

    def replicas(self) -> ReplicaSet:
        return ReplicaSet(self.voters)

    def lease(self) -> float:
        return self.lease_seconds

    async def confirm_read(self) -> None:
        pass


class FakeLink:
    """Link that records the messages sent to its peer."""

    def __init__(self, role: Role, host: str) -> None:
        self.peer = Hello(role, HostId(host))
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)
