"""Model-based test of the replicated state.

Two replicas apply the same log; one of them is restored from snapshots at any time.
Operators submit on old revisions and resend old submissions. Entry hosts request the
same claims, and report outcomes late and repeatedly.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

from ibishead.catalog import Catalog
from ibishead.control.claims import ClaimKey
from ibishead.control.commands import (
    Accepted,
    AdvanceTime,
    Command,
    DrainTarget,
    Registered,
    Result,
    RetireTarget,
    StaleBase,
    SubmitDocument,
    decode_result,
    encode_command,
)
from ibishead.control.state import ControlState
from ibishead.ids import Generation, Incarnation, LogIndex, TargetId
from ibishead.messages import ClaimAnswer, ClaimState, Outcome, Publish

from .support import (
    RAKTAR,
    make_claim,
    make_registration,
    make_settlement,
    make_submission,
    write_document,
)

T1 = TargetId("t1")

KEYS = st.sampled_from(["k1", "k2", "k3"])

#: Resends of the first agent's registration are the most frequent, as a new agent
#: ends every open claim.
NONCES = st.sampled_from([0, 0, 0, 0, 1, 2])

#: Proofs that a request did not run are the most frequent: they allow a new grant,
#: while the other outcomes are final.
OUTCOMES = (Outcome.NOT_RUN, Outcome.NOT_RUN, Outcome.COMPLETED, Outcome.UNKNOWN)


class ControlStateMachine(RuleBasedStateMachine):
    submissions = Bundle("submissions")
    claims = Bundle("claims")

    def __init__(self) -> None:
        super().__init__()
        self.index = 0
        self.replicas = [ControlState(), ControlState()]
        self.catalogs = [Catalog(), Catalog()]
        self.answers: dict[str, tuple[SubmitDocument, Result]] = {}
        self.accepted: list[str] = []
        self.proofs: set[tuple[str, int]] = set()
        self.granted: dict[tuple[str, int], str] = {}
        self.completed: set[str] = set()
        self.last_revisions: dict[int, int] = {}

    @property
    def state(self) -> ControlState:
        return self.replicas[0]

    def apply(self, command: Command) -> Result:
        self.index += 1
        data = encode_command(command)
        results = {state.apply(self.index, data) for state in self.replicas}
        assert len(results) == 1
        return decode_result(results.pop())

    @rule(target=submissions, revisions_behind=st.integers(0, 3))
    def submit(self, revisions_behind):
        base = max(0, len(self.accepted) - revisions_behind)
        name = f"s{len(self.answers)}"
        text = write_document(stall_weight=len(self.answers) / 1000)
        command = make_submission(name, base, text)
        result = self.apply(command)
        if base == len(self.accepted):
            assert isinstance(result, Accepted)
            assert result.revision == base + 1
            self.accepted.append(name)
        else:
            assert isinstance(result, StaleBase)
            assert result.submission == self.accepted[-1]
        self.answers[name] = (command, result)
        return name

    @rule(name=submissions)
    def resend_submission(self, name):
        command, first = self.answers[name]
        assert self.apply(command) == first

    @rule(nonce=NONCES)
    def register(self, nonce):
        before = self.state.targets.members.get(T1)
        result = self.apply(make_registration(f"n{nonce}"))
        if isinstance(result, Registered) and before is not None:
            assert result.incarnation >= before.record.incarnation

    @rule(back=st.integers(0, 4))
    def retire(self, back):
        member = self.state.targets.members.get(T1)
        attachment = LogIndex(member.attachment - back) if member else LogIndex(1)
        self.apply(RetireTarget(T1, Incarnation(1), attachment))

    @rule()
    def drain(self):
        self.apply(DrainTarget(T1))

    @rule(target=claims, request=st.integers(0, 1), key=KEYS)
    def ask_claim(self, request, key):
        member = self.state.targets.members.get(T1)
        incarnation = member.record.incarnation if member else 1
        answer = self.apply(make_claim(f"r{request}", incarnation, key=key))
        if not isinstance(answer, ClaimAnswer):
            return multiple()
        if key in self.completed:
            assert answer.state is ClaimState.COMPLETED
        if answer.state is ClaimState.GRANTED:
            self.note_grant(key, answer)
        return answer

    def note_grant(self, key: str, answer: ClaimAnswer) -> None:
        # A generation has one holder. A new generation needs the proof that the
        # attempts of all earlier ones did not run.
        holder = self.granted.setdefault((key, answer.generation), answer.holder)
        assert holder == answer.holder == answer.request
        for generation in range(1, answer.generation):
            assert (key, generation) in self.proofs

    @rule(claim=claims, outcome=st.sampled_from(OUTCOMES))
    def settle_claim(self, claim, outcome):
        key = ClaimKey(claim.team, claim.service, claim.key)
        held = self.state.claims.find(key)
        assert held is not None
        command = make_settlement(
            claim.holder, outcome, Generation(claim.generation), claim.key
        )
        answer = self.apply(command)
        assert isinstance(answer, ClaimAnswer)
        if held.generation == claim.generation:
            if answer.state is ClaimState.NOT_RUN:
                self.proofs.add((claim.key, claim.generation))
            if answer.state is ClaimState.COMPLETED:
                self.completed.add(claim.key)

    @rule(seconds=st.floats(0.0, 1.0))
    def advance(self, seconds):
        step = AdvanceTime(self.state.claims.time, seconds)
        self.apply(step)
        self.apply(step)

    @rule()
    def restart(self):
        data = self.replicas[1].capture()
        assert data == self.replicas[0].capture()
        self.replicas[1] = ControlState()
        self.replicas[1].restore(data)

    @rule(holder=st.integers(0, 1), replica=st.integers(0, 1))
    def publish(self, holder, replica):
        catalog = self.catalogs[holder]
        delta = self.replicas[replica].collect(LogIndex(catalog.index))
        message = Publish(
            delta.index,
            1.0,
            delta.documents,
            delta.targets,
            delta.gone,
            delta.whole,
        )
        # A delta may arrive twice, over an old link and a new one
        catalog.apply(message)
        catalog.apply(message)
        held = catalog.find_document(RAKTAR)
        newest = self.state.documents.documents.get(RAKTAR)
        assert (held.record if held else None) == newest
        assert catalog.list_targets() == [
            member.record for member in self.state.targets.members.values()
        ]

    @invariant()
    def every_submission_is_applied_once(self):
        history = self.state.documents.histories.get(RAKTAR, [])
        assert [change.submission for change in history] == self.accepted

    @invariant()
    def revisions_increase(self):
        for number, catalog in enumerate(self.catalogs):
            held = catalog.find_document(RAKTAR)
            revision = held.record.revision if held else 0
            assert revision >= self.last_revisions.get(number, 0)
            self.last_revisions[number] = revision


TestControlState = ControlStateMachine.TestCase
TestControlState.settings = settings(max_examples=200, stateful_step_count=40)
