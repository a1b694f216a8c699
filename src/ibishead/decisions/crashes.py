"""Finds what crashes engines, from the requests that ran at engines that crashed.

Everything that runs at an engine ends with it, so one crash says little. A request that
crashes each engine which begins to answer it, or a prompt part that does, is found in
one crash after the other, is sent to a sound engine in between, and never lets an
answer be written. Requests are compared by their keys: the parts of their prompts, and
their contents, which stay the same when a request is sent again.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ibishead.ids import CustomerId, PartKey, TargetId
from ibishead.routing.prompts import PromptKeys, is_content_key

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

#: Number of rounds after which a key is blamed. A crash is a new round only if a
#: request with the key was sent after the round before.
MIN_ROUNDS = 3

#: Number of rounds for a part on which answers were written before the first crash, and
#: maximum number for any part.
MAX_ROUNDS = 6

#: Number of crashes without a part that raises its number of rounds by one; each
#: doubling of it raises the number by another one. Where engines also crash for other
#: reasons, a part may be there by chance.
OTHER_CRASHES_PER_ROUND = 4

#: Minimum number of different prompts with a part, or of different contents with a last
#: part, that were suspected. One request that is sent again and again says nothing
#: about what it shares with others.
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
    """What speaks against one part or content.

    :ivar rounds: crashes with the part, each of them sent after the one before.
    :ivar prompts: last parts of the suspected prompts with a shared part; contents of
        the suspected requests with a last part.
    :ivar customers: rounds by customer.
    :ivar first_at: monotonic seconds of the first crash.
    :ivar last_at: monotonic seconds of the last round.
    :ivar other_crashes: crashes without the part from its first to its last round.
    :ivar depth: largest number of more general keys in a suspected request.
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
        """Whether it may be blamed unless answers were written on it."""
        is_shared = self.is_content or len(self.prompts) >= MIN_PROMPTS
        return self.rounds >= self._needed_rounds and is_shared

    @property
    def is_content(self) -> bool:
        """Whether it concerns the content of a request."""
        return is_content_key(self.part)

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
    """Return the blamed part or content that is to be blocked first, or none yet.

    A content goes first, as its block refuses the fewest requests and its crashes go on
    counting against the parts of its prompt. A part that merely came with a bad one had
    requests of its own as well, and was at engines that crashed for other reasons.
    While nothing tells two parts apart, a further crash may.
    """

    def find_share(suspicion: Suspicion, use: PartUse) -> float:
        # may exceed 1, as not all requests are known
        return suspicion.rounds / max(1, use.count)

    ranked = sorted(
        (
            (s.is_content, find_share(s, use), s.depth, s.rounds, s.part, s)
            for s, use in blamed
        ),
        key=lambda found: found[:5],
        reverse=True,
    )
    if not ranked:
        return None
    gravest = ranked[0][-1]
    is_tied = len(ranked) > 1 and ranked[0][1] == ranked[1][1]
    if is_tied and not gravest.is_content and gravest.rounds < MAX_ROUNDS:
        return None
    return gravest


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
        """Record a crash, or further suspects of a known one.

        Gateways that report the crash of a target know their own requests only.

        :returns: whether anything of it was not known.
        """
        for position, known in enumerate(self._crashes):
            if (known.target, known.born) == (crash.target, crash.born):
                return self._add_suspects(position, crash.suspects)
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

    def _add_suspects(self, position: int, suspects: Sequence[Suspect]) -> bool:
        crash = self._crashes[position]
        named = {suspect.keys for suspect in crash.suspects}
        new = tuple(s for s in suspects if s.keys not in named)
        if not new:
            return False
        self.changes += 1
        self._suspects += len(new)
        self._crashes[position] = replace(crash, suspects=crash.suspects + new)
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

        A crash that a blocked part explains counts against nothing else, and one that a
        blocked content explains only against the parts of that request.

        :param blocked: customers whose requests with a part or content are refused,
            ``None`` for everyone.
        """
        left = (_remove_explained(crash, blocked) for crash in self._crashes)
        crashes = sorted((c for c in left if c is not None), key=lambda crash: crash.at)
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
            suspicion.prompts.update(_find_carrier(s.keys, part) for s in suspects)
            depth = max(suspect.keys.scopes.index(part) for suspect in suspects)
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
            for part in suspect.keys.scopes:
                found.setdefault(part, {}).setdefault(position, []).append(suspect)
    return found


def _find_carrier(keys: PromptKeys, part: PartKey) -> PartKey:
    """Return what tells apart the requests that have a part."""
    return keys.content if part == keys.own else keys.own


def _remove_explained(
    crash: Crash, blocked: Mapping[PartKey, Collection[CustomerId] | None]
) -> Crash | None:
    """Return a crash without the suspects that something blocked clears.

    :returns: ``None`` if a blocked part explains it.
    """
    if not blocked:
        return crash
    repeated = []
    for suspect in crash.suspects:
        keys = suspect.keys
        for part in keys.scopes:
            if part not in blocked:
                continue
            customers = blocked[part]
            if customers is not None and keys.customer not in customers:
                continue
            if part != keys.content:
                return None
            repeated.append(suspect)
    return replace(crash, suspects=tuple(repeated)) if repeated else crash
