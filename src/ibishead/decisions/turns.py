"""When an engine is given the next prompt, and whose prompt it is.

An engine reads prompts in pieces between the tokens of its running answers. Several
long prompts in a row delay the tokens of all these answers beyond what their callers
accept. So a prompt waits for its turn outside the engine, where the wait costs its own
caller a part of the time to the first event, and nobody else anything.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from ibishead.decisions.readspeed import ReadSpeed

__all__ = ["PromptWindow", "Turn", "choose_turn"]

#: Share of a pause that callers accept which an engine may spend on prompts, at first,
#: at least and at most. The rest goes into the tokens themselves.
FIRST_SHARE = 0.85
LEAST_SHARE = 0.5
MOST_SHARE = 0.9

#: How the share follows the pauses of answers: by this factor down with each answer
#: that paused for too long, by this step up with any other. It rests where 3 answers in
#: 100 pause; engines of one kind differ in speed by a third.
SHARE_FACTOR = 0.93
SHARE_STEP = 0.002

#: Share of an accepted pause up to which an answer counts as calm. Engines that read
#: long pieces, few for each event, go beyond it when all pieces are full; those that
#: read short ones never do, and turns only hold their prompts back.
CALM_SHARE = 0.78

#: Calm answers in a row, while prompts wait, after which the share rises beyond the
#: most above, and by which factor.
CALM_ANSWERS = 64
RISE_FACTOR = 2.0

#: Pauses of more than this many times the accepted one have other causes than prompts:
#: a lost packet, a host that stood still.
PAUSE_FACTOR = 2.0

#: Seconds from a turn to the first event, without the wait for it. A request whose
#: objective ends sooner is late whatever is done.
BEGIN_TIME = 0.1


@dataclass(frozen=True)
class Turn:
    """A request that waits to be sent to an engine.

    :param tokens: length of its prompt.
    :param due: monotonic seconds at which its answer should begin.
    """

    number: int
    tokens: int
    due: float


def choose_turn(turns: Iterable[Turn], now: float) -> Turn | None:
    """Return the request that is sent next, or none where none waits.

    With more prompts than the engine can read in time, the order of arrival or of due
    times alone makes all of them late. So those that can still be in time go first, by
    their due times; no size starves, as nobody overtakes the one that was chosen.
    """
    return min(turns, key=lambda t: (t.due < now + BEGIN_TIME, t.due), default=None)


class PromptWindow:
    """Prompt tokens given to one engine within the last moments.

    :ivar gap: seconds that the window covers, the longest pause that callers accept;
        0 lets everything through.
    :ivar speed: how fast the engine reads.
    """

    def __init__(self, gap: float = 0.0) -> None:
        self.gap = gap
        self.speed = ReadSpeed()
        self._share = FIRST_SHARE
        self._calm = 0
        self._waited = False
        self._given: deque[tuple[float, int]] = deque()
        self._sum = 0

    @property
    def limit(self) -> int:
        """Tokens that may be given within the window."""
        return int(self.speed.rate * self._share * self.gap)

    def take(self, tokens: int, now: float) -> None:
        """Count a prompt that is sent now."""
        self._given.append((now, tokens))
        self._sum += tokens

    def note_pause(self, pause: float) -> None:
        """Take in the longest pause of an answer, in seconds."""
        if self.gap < pause <= PAUSE_FACTOR * self.gap:
            lower = min(self._share, MOST_SHARE) * SHARE_FACTOR
            self._share, self._calm = max(LEAST_SHARE, lower), 0
            return
        self._calm = self._calm + 1 if pause <= CALM_SHARE * self.gap else 0
        if self._share < MOST_SHARE:
            self._share = min(MOST_SHARE, self._share + SHARE_STEP)
        if self._waited and self._calm >= CALM_ANSWERS:
            # the engine bears more than it was given, and somebody waited for it
            self._share *= RISE_FACTOR
            self._calm, self._waited = 0, False

    def wait(self, tokens: int, now: float) -> float:
        """Return the seconds until a prompt may be sent, 0 for at once.

        One that is longer than the limit is sent when nothing else is in the window.
        """
        self._forget(now)
        left, wait = self._sum, 0.0
        for given, size in self._given:
            if left + tokens <= self.limit:
                break
            left -= size
            wait = given + self.gap - now
        self._waited = self._waited or wait > 0
        return max(0.0, wait)

    def delay(self, queued: int, now: float) -> float:
        """Return the seconds that a new prompt waits, by a rough estimate.

        :param queued: tokens of the prompts that wait before it.
        """
        self._forget(now)
        limit = self.limit
        if not limit:
            return 0.0
        return max(0.0, (self._sum + queued) / limit - 0.5) * self.gap

    def _forget(self, now: float) -> None:
        while self._given and now - self._given[0][0] >= self.gap:
            self._sum -= self._given.popleft()[1]
