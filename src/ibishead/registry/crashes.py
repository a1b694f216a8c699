"""Collects the crashes of engines, and blocks the prompt parts that cause them.

Every registry collects them, so that a new leader knows them; only the leader decides.
Before it blocks a part, it asks the gateways whether answers were written on it. From
time to time it lets one gateway send one request with a blocked part. If an answer is
written on it, the part is released.
"""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable
from typing import Protocol

from ibishead.clock import Clock
from ibishead.control.log.replica import LogReplica
from ibishead.decisions.crashes import (
    Blame,
    Crash,
    CrashHistory,
    Innocent,
    PartUse,
    Suspect,
    Suspicion,
    Verdict,
    choose_gravest,
    judge_part,
)
from ibishead.decisions.partuses import PartUses
from ibishead.errors import IbisheadError
from ibishead.ids import CustomerId, HostId, PartKey
from ibishead.metrics import Metrics
from ibishead.registry.commands import BlockPart, ReleasePart, TryPart, encode_command
from ibishead.registry.state import RouteState
from ibishead.routing.messages import (
    AskPartUses,
    BlockedPart,
    EngineEnded,
    PartSound,
    PartUsesAnswer,
)
from ibishead.waiting import wait_for_event

__all__ = ["CrashWatch"]

logger = logging.getLogger(__name__)

#: Seconds between two checks for suspicions without a new crash. They take over what
#: an earlier leader left, and repeat what found no quorum.
CHECK_INTERVAL_SECONDS = 0.5

#: Seconds to wait for the answers of the gateways.
ANSWER_TIMEOUT_SECONDS = 0.25

#: Share of the gateways whose answers are needed for a decision.
MIN_ANSWERED_SHARE = 0.5

#: Time within which a change of the blocked parts has to be committed.
COMMIT_TIMEOUT_SECONDS = 1.0

#: Maximum number of parts about which gateways are asked at once.
MAX_ASKED_PARTS = 200

#: Seconds until the first trial of a blocked part, and their maximum. They double with
#: each trial. A trial that fails ends one engine.
TRIAL_SECONDS = 600.0
MAX_TRIAL_SECONDS = 86400.0


class Gateways(Protocol):
    """The gateways that are linked to this registry."""

    def list_gateways(self) -> list[HostId]:
        """Return their hosts."""

    def ask_gateways(self, question: AskPartUses) -> int:
        """Send a question to all of them, and return their number."""


class CrashWatch:
    """Finds and blocks prompt parts that crash engines.

    :param replica: this registry's log replica.
    :param draw: returns a random number in [0, 1), for the gateway of a trial.
    """

    def __init__(
        self,
        state: RouteState,
        replica: LogReplica,
        clock: Clock,
        gateways: Gateways,
        metrics: Metrics,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._state = state
        self._replica = replica
        self._clock = clock
        self._gateways = gateways
        self._metrics = metrics
        self._draw = draw
        self._history = CrashHistory()
        #: Parts on which answers were written, as told by the stewards.
        self._told_uses = PartUses()
        self._wake = asyncio.Event()
        self._numbers = itertools.count(1)
        self._question: _Question | None = None
        #: Rounds of each part at its last judgement.
        self._judged: dict[PartKey, int] = {}
        #: State of crashes and blocked parts in which nothing was left to decide.
        self._settled: tuple[int, int] | None = None
        #: Blocked parts with the monotonic seconds at which they were first seen so.
        self._seen_blocked: dict[BlockedPart, float] = {}
        self._sound: set[PartKey] = set()

    @property
    def count(self) -> int:
        """Number of crashes that are kept."""
        return len(self._history)

    def handle_message(self, message: EngineEnded | PartUsesAnswer | PartSound) -> None:
        """Handle a steward's or gateway's message."""
        match message:
            case EngineEnded():
                self._record(message)
            case PartUsesAnswer():
                question = self._question
                if question is not None and question.number == message.number:
                    question.add(message, self._clock.monotonic())
            case PartSound(part):
                self._history.clear(part, self._clock.monotonic())
                self._sound.add(part)
                self._wake.set()

    async def run(self) -> None:
        """Decide about suspicions while this registry leads, until cancelled."""
        while True:
            self._wake.clear()
            if self._replica.is_leader():
                await self._release_sound()
                while await self._decide():
                    pass
                await self._begin_trials()
            await wait_for_event(self._wake, CHECK_INTERVAL_SECONDS)

    def _record(self, message: EngineEnded) -> None:
        now = self._clock.monotonic()
        suspects = tuple(Suspect(run.keys, now - run.age) for run in message.suspects)
        for part, age in message.sound:
            self._told_uses.record_sound(part, now - age)
        crash = Crash(message.target, message.born, now - message.age, suspects)
        if self._history.record(crash):
            logger.info(
                "engine crash recorded",
                extra={
                    "target": message.target,
                    "born": message.born,
                    "suspects": len(suspects),
                    "crashes": len(self._history),
                },
            )
            self._wake.set()

    async def _decide(self) -> bool:
        """Judge the parts against which more speaks than before.

        :returns: whether one was blocked, which explains crashes with other parts.
        """
        suspicions = self._list_suspicions()
        if not suspicions:
            return False
        parts = tuple(suspicion.part for suspicion in suspicions)
        uses = await self._ask(parts)
        if uses is None:
            return False
        blamed: list[tuple[Suspicion, PartUse]] = []
        customers: dict[PartKey, CustomerId | None] = {}
        for suspicion, answered in zip(suspicions, uses, strict=True):
            use = answered.add(self._told_uses.read(suspicion.part))
            self._judged[suspicion.part] = suspicion.rounds
            verdict = judge_part(suspicion, use)
            _log_verdict(suspicion, use, verdict)
            match verdict:
                case Blame(customer):
                    blamed.append((suspicion, use))
                    customers[suspicion.part] = customer
                case Innocent() if use.sound_at is not None:
                    self._history.clear(suspicion.part, use.sound_at)
                    del self._judged[suspicion.part]
        gravest = choose_gravest(blamed)
        if gravest is None:
            return False
        return await self._block(gravest, customers[gravest.part])

    def _list_suspicions(self) -> list[Suspicion]:
        current = self._history.changes, self._state.blocked.index
        if current == self._settled:
            return []
        blocked = {b.part: b.customers for b in self._state.blocked.parts}
        found = self._history.list_suspicions(blocked)
        self._judged = {s.part: self._judged.get(s.part, 0) for s in found}
        fresh = [s for s in found if s.rounds > self._judged[s.part]]
        self._settled = None if fresh else current
        return fresh[:MAX_ASKED_PARTS]

    async def _ask(self, parts: tuple[PartKey, ...]) -> list[PartUse] | None:
        """Return how requests with some parts fared, or none if too few answer.

        The others may have seen answers on a part that all of these missed.
        """
        question = self._question = _Question(next(self._numbers), len(parts))
        question.expected = self._gateways.ask_gateways(
            AskPartUses(question.number, parts)
        )
        if question.expected:
            await wait_for_event(question.answered, ANSWER_TIMEOUT_SECONDS)
        self._question = None
        if question.answers < max(1, MIN_ANSWERED_SHARE * question.expected):
            logger.info(
                "too few gateways answer whether prompt parts are sound",
                extra={"asked": question.expected, "answers": question.answers},
            )
            return None
        return question.uses

    async def _block(self, suspicion: Suspicion, customer: CustomerId | None) -> bool:
        if not await self._propose(BlockPart(suspicion.part, customer)):
            self._judged.pop(suspicion.part, None)
            return False
        # the same crashes must not block it again once it has been removed
        self._history.clear(suspicion.part, self._clock.monotonic())
        self._metrics.count_event("prompt_part_blocked")
        logger.warning(
            "prompt part blocked",
            extra={
                "part": suspicion.part,
                "customer": customer,
                "crashes": suspicion.rounds,
                "prompts": len(suspicion.prompts),
                "seconds": round(self._clock.monotonic() - suspicion.first_at, 3),
            },
        )
        return True

    async def _release_sound(self) -> None:
        blocked = {found.part for found in self._state.blocked.parts}
        self._sound &= blocked
        for part in list(self._sound):
            if await self._propose(ReleasePart(part)):
                self._sound.discard(part)
                self._metrics.count_event("prompt_part_released")
                logger.warning("prompt part released", extra={"part": part})

    async def _begin_trials(self) -> None:
        now = self._clock.monotonic()
        self._seen_blocked = {
            found: self._seen_blocked.get(found, now)
            for found in self._state.blocked.parts
        }
        gateways = self._gateways.list_gateways()
        for found, seen_at in list(self._seen_blocked.items()):
            wait = min(TRIAL_SECONDS * 2.0**found.trials, MAX_TRIAL_SECONDS)
            if not gateways or now - seen_at < wait:
                continue
            tester = gateways[int(self._draw() * len(gateways))]
            if await self._propose(TryPart(found.part, tester)):
                logger.info(
                    "trial of a blocked prompt part",
                    extra={"part": found.part, "tester": tester},
                )

    async def _propose(self, command: BlockPart | TryPart | ReleasePart) -> bool:
        """Return whether a command was committed; it is proposed again otherwise."""
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                await self._replica.propose(encode_command(command))
        except (IbisheadError, TimeoutError) as error:
            logger.warning(
                "change of the blocked prompt parts not committed",
                extra={
                    "command": type(command).__name__,
                    "part": command.part,
                    "reason": str(error),
                },
            )
            return False
        return True


def _log_verdict(suspicion: Suspicion, use: PartUse, verdict: Verdict) -> None:
    logger.info(
        "prompt part judged",
        extra={
            "part": suspicion.part,
            "verdict": type(verdict).__name__,
            "rounds": suspicion.rounds,
            "prompts": len(suspicion.prompts),
            "other_crashes": suspicion.other_crashes,
            "requests": use.count,
        },
    )


class _Question:
    """A question to all gateways about some parts.

    :ivar answered: set when all gateways have answered.
    :ivar answers: number of those that have.
    :ivar uses: what they said together, one for each part.
    """

    def __init__(self, number: int, parts: int) -> None:
        self.number = number
        self.expected = 0
        self.answered = asyncio.Event()
        self.uses = [PartUse()] * parts
        self.answers = 0

    def add(self, answer: PartUsesAnswer, now: float) -> None:
        """Add a gateway's answer.

        :param now: monotonic seconds.
        """
        self.uses = [
            known.add(
                PartUse(
                    use.count,
                    now - use.sound_age if use.sound_age is not None else None,
                )
            )
            for known, use in zip(self.uses, answer.uses, strict=False)
        ]
        self.answers += 1
        if self.answers >= self.expected:
            self.answered.set()
