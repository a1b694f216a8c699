"""Finds the prompt parts that crash engines, from what ran at engines that crashed.

Everything that runs at an engine ends with it, so one crash says little. A part that
crashes each engine which writes on it is found in one crash after the other, is sent to
a sound engine in between, and never lets an answer be written.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from ibishead.ids import CustomerId, PartKey, TargetId
from ibishead.routing.prompts import PromptKeys

__all__ = [
    "SETTLED_SECONDS",
    "Blame",
    "Crash",
    "CrashHistory",
    "Innocent",
    "PartUse",
    "Suspect",
    "Suspicion",
    "Undecided",
    "Verdict",
    "choose_gravest",
    "judge_part",
]

#: Number of rounds after which a part is blamed. A crash is a new round only if the
#: part was sent after the round before.
MIN_ROUNDS = 3

#: Number of rounds for a part on which answers were written before the first crash, and
#: maximum number for any part.
MAX_ROUNDS = 6

#: Number of crashes without a part that raises its number of rounds by one; each
#: doubling of it raises the number by another one. Where engines also crash for other
#: reasons, a part may be there by chance.
OTHER_CRASHES_PER_ROUND = 4

#: Minimum number of different prompts with the part that were suspected. One prompt
#: that is sent again and again says nothing about the parts it shares with others.
MIN_PROMPTS = 2

#: Rounds of other customers from which a part is blocked for everyone.
MIN_OTHER_ROUNDS = 2

#: Seconds of writing after which an answer shows that its prompt crashes no engine.
SETTLED_SECONDS = 2.0

#: Seconds for which crashes are kept, and maximum number of suspected requests kept.
KEPT_SECONDS = 3600.0
MAX_SUSPECTS = 10_000

#: Tolerance in seconds for the order of a crash and of a send after it.
ORDER_TOLERANCE_SECONDS = 0.05


@dataclass(frozen=True)
class Suspect:
    """A request that had written for a short time or not at all when its engine ended.

    :param sent_at: monotonic seconds at which it was sent to the engine.
    """

    keys: PromptKeys
    sent_at: float


@dataclass(frozen=True)
class Crash:
    """The unplanned end of an engine.

    :param target: the engine.
    :param born: distinguishes its starts.
    :param at: monotonic seconds.
    """

    target: TargetId
    born: int
    at: float
    suspects: tuple[Suspect, ...]


@dataclass
class Suspicion:
    """What speaks against one part.

    :ivar rounds: crashes with the part, each of them sent after the one before.
    :ivar prompts: the suspected prompts.
    :ivar customers: rounds by customer.
    :ivar first_at: monotonic seconds of the first crash.
    :ivar last_at: monotonic seconds of the last round.
    :ivar other_crashes: crashes without the part from its first to its last round.
    :ivar depth: largest number of parts before it in a suspected prompt.
    """

    part: PartKey
    rounds: int = 0
    prompts: set[PartKey] = field(default_factory=set)
    customers: Counter[CustomerId] = field(default_factory=Counter)
    first_at: float = 0.0
    last_at: float = 0.0
    other_crashes: int = 0
    depth: int = 0

    @property
    def is_serious(self) -> bool:
        """Whether the part may be blamed unless answers were written on it."""
        return self.rounds >= self._needed_rounds and len(self.prompts) >= MIN_PROMPTS

    @property
    def _needed_rounds(self) -> int:
        doublings = math.log2(1 + self.other_crashes / OTHER_CRASHES_PER_ROUND)
        return min(MAX_ROUNDS, MIN_ROUNDS + int(doublings))


@dataclass(frozen=True)
class PartUse:
    """How requests with a part fared at the gateways.

    :param count: number of requests.
    :param sound_at: monotonic seconds at which an answer was last written on it, for
        long enough or to its end; ``None`` if none was.
    """

    count: int = 0
    sound_at: float | None = None

    def add(self, other: "PartUse") -> "PartUse":
        """Return both uses together."""
        known = [at for at in (self.sound_at, other.sound_at) if at is not None]
        return PartUse(self.count + other.count, max(known, default=None))


@dataclass(frozen=True)
class Blame:
    """The part crashes engines.

    :param customer: the only customer whose requests with it are to be refused, or
        ``None`` if everyone's are; the empty customer stands for anonymous callers.
    """

    customer: CustomerId | None


@dataclass(frozen=True)
class Innocent:
    """An answer was written on the part since its first crash."""


@dataclass(frozen=True)
class Undecided:
    """Further crashes have to show."""


Verdict = Blame | Innocent | Undecided


def judge_part(suspicion: Suspicion, use: PartUse) -> Verdict:
    """Return what is known of a part."""
    if use.sound_at is not None and use.sound_at >= suspicion.first_at:
        return Innocent()
    once_sound = use.sound_at is not None
    if not suspicion.is_serious or (once_sound and suspicion.rounds < MAX_ROUNDS):
        return Undecided()
    # A customer that crashes engines with the parts of another one must not get these
    # refused, so the crashes of a single customer count against itself.
    most, rounds = suspicion.customers.most_common(1)[0]
    others = suspicion.rounds - rounds
    return Blame(None if others >= MIN_OTHER_ROUNDS else most)


def choose_gravest(
    blamed: Sequence[tuple[Suspicion, PartUse]],
) -> Suspicion | None:
    """Return the blamed part that is to be blocked first, or none yet.

    A part that merely came with a bad one had requests of its own as well, and was at
    engines that crashed for other reasons. While nothing tells two parts apart, a
    further crash may.
    """

    def find_share(suspicion: Suspicion, use: PartUse) -> float:
        # may exceed 1, as not all requests are known
        return suspicion.rounds / max(1, use.count)

    ranked = sorted(
        ((find_share(s, use), s.depth, s.rounds, s.part, s) for s, use in blamed),
        key=lambda found: found[:4],
        reverse=True,
    )
    if not ranked:
        return None
    gravest = ranked[0][-1]
    is_tied = len(ranked) > 1 and ranked[0][0] == ranked[1][0]
    return None if is_tied and gravest.rounds < MAX_ROUNDS else gravest


class CrashHistory:
    """The crashes of the last hour and their suspects.

    :ivar changes: rises with each change of what speaks against some part.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._crashes: deque[Crash] = deque()
        self._sound_until: dict[PartKey, float] = {}
        self._suspects = 0

    def __len__(self) -> int:
        return len(self._crashes)

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it was not known."""
        if any((c.target, c.born) == (crash.target, crash.born) for c in self._crashes):
            return False
        self.changes += 1
        self._crashes.append(crash)
        self._suspects += len(crash.suspects)
        while self._crashes and (
            crash.at - self._crashes[0].at > KEPT_SECONDS
            or self._suspects > MAX_SUSPECTS
        ):
            self._suspects -= len(self._crashes.popleft().suspects)
        self._forget_innocence()
        return True

    def clear(self, part: PartKey, at: float) -> None:
        """Record that answers were written on a part.

        :param at: monotonic seconds; no earlier crash counts against it.
        """
        self.changes += 1
        self._sound_until[part] = max(at, self._sound_until.get(part, at))

    def list_suspicions(
        self, blocked: Mapping[PartKey, Collection[CustomerId] | None]
    ) -> list[Suspicion]:
        """Return the serious suspicions.

        A crash that a blocked part explains doesn't count against another part.

        :param blocked: customers whose requests with a part are refused, ``None`` for
            everyone.
        """
        crashes = [c for c in self._crashes if not _is_explained(c, blocked)]
        crashes.sort(key=lambda crash: crash.at)
        found = (
            self._weigh(part, crashes, suspects)
            for part, suspects in _index_parts(crashes).items()
            if len(suspects) >= MIN_ROUNDS
        )
        return [suspicion for suspicion in found if suspicion.is_serious]

    def _weigh(
        self,
        part: PartKey,
        crashes: Sequence[Crash],
        found: Mapping[int, Sequence[Suspect]],
    ) -> Suspicion:
        """Return what speaks against a part.

        :param found: suspects with the part, by position of their crash.
        """
        suspicion, first, count = Suspicion(part), 0, 0
        sound_until = self._sound_until.get(part, -math.inf)
        for position, suspects in found.items():
            crash = crashes[position]
            if crash.at <= sound_until:
                continue
            newest = max(suspects, key=lambda suspect: suspect.sent_at)
            suspicion.prompts.update(suspect.keys.own for suspect in suspects)
            depth = max(suspect.keys.shared.index(part) for suspect in suspects)
            suspicion.depth = max(suspicion.depth, depth)
            count += 1
            if not suspicion.rounds:
                suspicion.first_at, first = crash.at, position
            elif newest.sent_at < suspicion.last_at - ORDER_TOLERANCE_SECONDS:
                continue
            suspicion.rounds += 1
            suspicion.customers[newest.keys.customer] += 1
            suspicion.last_at = crash.at
            suspicion.other_crashes = position - first + 1 - count
        return suspicion

    def _forget_innocence(self) -> None:
        oldest = self._crashes[0].at if self._crashes else math.inf
        self._sound_until = {
            part: at for part, at in self._sound_until.items() if at >= oldest
        }


def _index_parts(
    crashes: Sequence[Crash],
) -> dict[PartKey, dict[int, list[Suspect]]]:
    """Return the suspects with each part, by position of their crash."""
    found: dict[PartKey, dict[int, list[Suspect]]] = {}
    for position, crash in enumerate(crashes):
        for suspect in crash.suspects:
            for part in suspect.keys.shared:
                found.setdefault(part, {}).setdefault(position, []).append(suspect)
    return found


def _is_explained(
    crash: Crash, blocked: Mapping[PartKey, Collection[CustomerId] | None]
) -> bool:
    for suspect in crash.suspects:
        for part in suspect.keys.shared:
            if part not in blocked:
                continue
            customers = blocked[part]
            if customers is None or suspect.keys.customer in customers:
                return True
    return False
