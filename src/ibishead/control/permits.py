"""Which load from the weight store may start now.

The load it is for: thousands of adapters on a store that serves about four loads a
second. Beyond eight in flight every load gets slower, so waiting in turn here is
shorter than being served late. The leader keeps all of it in memory.
"""

from collections import deque
from dataclasses import dataclass

from ibishead.ids import Incarnation, TargetId
from ibishead.messages import AskPermit, PermitAnswer, ReleasePermit

__all__ = ["LoadId", "PermitBook", "TAKEOVER_PAUSE"]

#: Loads that may start in any one second: what the store serves.
RATE = 4
RATE_WINDOW = 1.0

#: Loads at once, beyond which the store slows all of them.
IN_FLIGHT = 8

#: Seconds that a permit lasts at its holder: eight times a load at full speed.
LIFETIME = 2.0

#: Seconds that a permit may be on its way; a link is given up after less silence.
DELIVERY_LIMIT = 2.5

#: Seconds for which an ask stands; agents repeat it every second.
ASK_LIFETIME = 3.0

#: Asks that one target may have waiting. It can load as many adapters as it has
#: slots, so more is a fault that must not fill the leader's memory.
ASKS_PER_TARGET = 64

#: Seconds that a new leader grants nothing. Its predecessor's permits are unknown
#: to it and must all have run out: the last may have been granted just now.
TAKEOVER_PAUSE = LIFETIME + DELIVERY_LIMIT


@dataclass(frozen=True)
class LoadId:
    """One load of one life of an agent."""

    target: TargetId
    incarnation: Incarnation
    number: int


@dataclass
class _Wish:
    urgency: float
    order: int
    expires: float


class PermitBook:
    """The permits of one term of leadership.

    :param opens: monotonic seconds before which nothing is granted.
    """

    def __init__(self, opens: float) -> None:
        self._opens = opens
        self._wishes: dict[LoadId, _Wish] = {}
        self._granted: dict[LoadId, float] = {}
        self._starts: deque[float] = deque()
        self._asked = 0

    @property
    def in_flight(self) -> int:
        """Permits that haven't been released or run out."""
        return len(self._granted)

    @property
    def waiting(self) -> int:
        """Asks that haven't been granted."""
        return len(self._wishes)

    def ask(self, ask: AskPermit, now: float) -> PermitAnswer | None:
        """Queue an ask, or repeat the grant whose answer may have been lost.

        :param now: monotonic seconds.
        """
        self._expire(now)
        load = LoadId(ask.target, ask.incarnation, ask.number)
        ends = self._granted.get(load)
        if ends is not None:
            # Only what is left of it: counted afresh at the holder, it would
            # outlast what is booked here.
            left = ends - now - DELIVERY_LIMIT
            return _answer(load, left) if left > 0 else None
        known = self._wishes.get(load)
        if known is not None:
            known.urgency = ask.urgency
            known.expires = now + ASK_LIFETIME
        elif self._count_wishes(ask.target) < ASKS_PER_TARGET:
            self._asked += 1
            self._wishes[load] = _Wish(ask.urgency, self._asked, now + ASK_LIFETIME)
        return None

    def release(self, release: ReleasePermit, now: float) -> None:
        """Free the permit of a load that has ended, or withdraw the ask."""
        self._expire(now)
        load = LoadId(release.target, release.incarnation, release.number)
        self._granted.pop(load, None)
        self._wishes.pop(load, None)

    def grant(self, now: float) -> list[PermitAnswer]:
        """Grant what may start now, the most harmful wait first.

        Harm grows while an adapter is waited for, and agents ask again with what
        it has grown to, so that nobody waits for ever.
        """
        self._expire(now)
        granted: list[PermitAnswer] = []
        while self._wishes and self._may_start(now):
            load = min(self._wishes, key=self._rank)
            del self._wishes[load]
            self._granted[load] = now + LIFETIME + DELIVERY_LIMIT
            self._starts.append(now)
            granted.append(_answer(load, LIFETIME))
        return granted

    def find_next(self, now: float) -> float | None:
        """Return when `grant` is next worth calling, none while nothing waits."""
        if not self._wishes:
            return None
        moment = max(now, self._opens)
        if len(self._starts) >= RATE:
            moment = max(moment, self._starts[-RATE] + RATE_WINDOW)
        if len(self._granted) >= IN_FLIGHT:
            moment = max(moment, min(self._granted.values()))
        return moment

    def _may_start(self, now: float) -> bool:
        # Failure: a leader is replaced while its permits are in use. Both together
        # would exceed what the store bears, and every load in flight would slow.
        if now < self._opens:
            return False
        return len(self._starts) < RATE and len(self._granted) < IN_FLIGHT

    def _expire(self, now: float) -> None:
        while self._starts and self._starts[0] + RATE_WINDOW <= now:
            self._starts.popleft()
        # A holder that died releases nothing
        for load in [load for load, ends in self._granted.items() if ends <= now]:
            del self._granted[load]
        for load in [load for load, w in self._wishes.items() if w.expires <= now]:
            del self._wishes[load]

    def _rank(self, load: LoadId) -> tuple[float, int]:
        wish = self._wishes[load]
        return (-wish.urgency, wish.order)

    def _count_wishes(self, target: TargetId) -> int:
        return sum(load.target == target for load in self._wishes)


def _answer(load: LoadId, lifetime: float) -> PermitAnswer:
    return PermitAnswer(load.target, load.incarnation, load.number, lifetime)
