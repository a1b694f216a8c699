"""Order of waiting requests by urgency and by fair shares of customers.

Where an engine is short of turns or adapter loads, an order by due times alone gives
most of them to whoever asks most. Requests that can still be in time are ordered by
rank, then by the work that each customer was granted, then by due time.

Each rank has its own virtual time, in tokens of work (start-time fair queueing). A
customer that begins to wait starts at the present virtual time, so it has no claim for
the time in which it sent nothing. A rank that loses many more of its requests than the
more urgent ones is served first until it has its minimum share.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from ibishead.decisions.turns import FIRST_EVENT_SECONDS, Turn, choose_turn
from ibishead.ids import CustomerId
from ibishead.routing.work import RequestWork

__all__ = ["MAX_RANK", "Claim", "FairOrder", "count_work"]

#: Prompt tokens that an engine reads in the time of one answer token. A step of 6.8 to
#: 10.5 ms writes up to 64 answer tokens, and a prompt token takes 0.045 to 0.052 ms, so
#: an answer token costs as much as 2.4 to 3.2 prompt tokens.
ANSWER_TOKEN_COST = 3.0

#: Minimum served share of a rank, relative to the most urgent rank that waits. It only
#: holds for a rank that is served less often than all more urgent ones.
MIN_RELATIVE_SHARE = 0.25

#: Half-life of what was granted and lost. The overload by one customer lasts for some
#: seconds.
OUTCOME_HALF_LIFE_SECONDS = 5.0

#: Work by which a customer may lag behind the virtual time of its rank. It covers a few
#: requests in a row from a customer that otherwise uses less than its share, which an
#: engine that serves 10 requests a second couldn't serve in time by turns alone.
BURST_WORK = 8_000.0

#: Times that a prompt needs to be read by which it is chosen ahead of its due time. A
#: value of 1 allows for the reading only; the rest allows for the longer wait of a long
#: prompt for space in the window.
READ_LEAD_FACTOR = 1.2

#: Maximum work of a request. Lengths come from callers, and beside very large numbers
#: the work of other requests would be lost to rounding.
MAX_WORK = 10_000_000.0

#: Ranks beyond this one are treated like it, which bounds the state.
MAX_RANK = 15

#: Maximum number of customers, per rank, that are remembered although none of their
#: requests waits.
MAX_IDLE_CUSTOMERS = 256


def count_work(tokens: int, work: RequestWork) -> float:
    """Return the work of a request, in prompt tokens.

    :param tokens: length of its prompt.
    :param work: what it is expected to cost; an unknown answer counts as empty.
    """
    answer_work = ANSWER_TOKEN_COST * max(0, work.answer_tokens)
    return min(MAX_WORK, max(1, tokens) + answer_work)


class Claim(NamedTuple):
    """Position of a waiting request by urgency and fair shares; lower goes first.

    :param rank: its rank, -1 if this rank is to be served next.
    :param granted: work that its customer was granted, in virtual time of the rank.
    """

    rank: int
    granted: float


@dataclass(slots=True)
class _Customer:
    """What one customer was granted in one rank.

    :ivar granted: virtual time up to which the customer has been served.
    :ivar waiting: number of its requests that wait.
    """

    granted: float = 0.0
    waiting: int = 0


@dataclass(slots=True)
class _Rank:
    """Virtual time, customers and recent outcomes of one rank.

    :ivar in_time: decayed number of the requests granted in time.
    :ivar lost: decayed number of the requests that became late while they waited.
    """

    now: float = 0.0
    customers: dict[CustomerId, _Customer] = field(default_factory=dict)
    waiting: int = 0
    in_time: float = 0.0
    lost: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the outcomes by the time that has passed."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / OUTCOME_HALF_LIFE_SECONDS)
        self.in_time *= factor
        self.lost *= factor
        self.decayed_at = max(self.decayed_at, now)

    def read_share(self) -> float:
        """Return the share of the recent work that was granted in time."""
        total = self.in_time + self.lost
        return self.in_time / total if total else 1.0

    def forget_idle(self) -> None:
        """Drop customers that don't wait and lag furthest behind the virtual time."""
        idle = {name: c for name, c in self.customers.items() if not c.waiting}
        start = self.now - BURST_WORK
        dropped = [name for name, c in idle.items() if c.granted <= start]
        if len(idle) - len(dropped) > MAX_IDLE_CUSTOMERS:
            dropped = sorted(idle, key=lambda name: idle[name].granted)
            del dropped[len(idle) - MAX_IDLE_CUSTOMERS :]
        for name in dropped:
            del self.customers[name]


@dataclass(slots=True, eq=False)
class _Entry:
    """A waiting request.

    :ivar latest: monotonic seconds until which it can be granted in time, ahead of
        `FIRST_EVENT_SECONDS`.
    :ivar start: time by which the requests of a customer are ordered.
    :ivar late: whether it was too late to be granted in time.
    """

    turn: Turn
    latest: float
    start: float
    rank: int
    name: CustomerId
    customer: _Customer
    work: float
    late: bool = False


class FairOrder:
    """Waiting requests, and the order in which they are granted.

    Without customers and with a single rank the order is that of `choose_turn`.

    :ivar reordered: number of requests granted before the one that `choose_turn` would
        have chosen.
    """

    def __init__(self) -> None:
        self.reordered = 0
        self._entries: dict[Turn, _Entry] = {}
        self._ranks: dict[int, _Rank] = {}
        #: Waiting requests by customer, without the anonymous ones.
        self._named: Counter[CustomerId] = Counter()
        self._held: Turn | None = None
        self._earliest: Turn | None = None

    @property
    def active(self) -> bool:
        """Whether waiting requests name a customer or differ in rank."""
        return bool(self._named) or self.ranks_waiting > 1

    @property
    def customers_waiting(self) -> int:
        """Number of customers with waiting requests."""
        return len(self._named)

    @property
    def ranks_waiting(self) -> int:
        """Number of ranks with waiting requests."""
        return sum(1 for rank in self._ranks.values() if rank.waiting)

    def __contains__(self, turn: Turn) -> bool:
        return turn in self._entries

    def add(self, turn: Turn, work: RequestWork, read_seconds: float = 0.0) -> None:
        """Add a request.

        :param read_seconds: time in which the engine reads its prompt.
        """
        number = _clamp_rank(work)
        rank = self._ranks.setdefault(number, _Rank())
        customer = rank.customers.setdefault(work.customer, _Customer())
        if not customer.waiting:
            customer.granted = max(customer.granted, rank.now - BURST_WORK)
        customer.waiting += 1
        rank.waiting += 1
        if work.customer:
            self._named[work.customer] += 1
        self._entries[turn] = _Entry(
            turn,
            turn.due - read_seconds,
            turn.due - READ_LEAD_FACTOR * read_seconds,
            number,
            work.customer,
            customer,
            count_work(turn.tokens, work),
        )

    def count_ahead(self, work: RequestWork) -> int:
        """Return about how many waiting requests go before a new one.

        These are the more urgent ones and, of each other customer of its rank, as many
        as its own customer would have waiting.

        :param work: what the new request is expected to cost.
        """
        number = _clamp_rank(work)
        ahead = sum(rank.waiting for n, rank in self._ranks.items() if n < number)
        if (rank := self._ranks.get(number)) is None:
            return ahead
        own = rank.customers.get(work.customer)
        waiting = own.waiting if own is not None else 0
        others = (c.waiting for c in rank.customers.values() if c is not own)
        return ahead + waiting + sum(min(count, waiting + 1) for count in others)

    def discard(self, turn: Turn) -> None:
        """Remove a request that no longer waits, if it does."""
        entry = self._entries.pop(turn, None)
        if entry is None:
            return
        if turn == self._held:
            self._held = None
        rank = self._ranks[entry.rank]
        entry.customer.waiting -= 1
        rank.waiting -= 1
        if entry.name:
            self._named[entry.name] -= 1
            if not self._named[entry.name]:
                del self._named[entry.name]
        if not entry.customer.waiting:
            rank.forget_idle()

    def hold(self, turn: Turn | None) -> None:
        """Choose a request again until it is granted, removed or late.

        Long prompts wait longer for space, and would be overtaken meanwhile.

        :param turn: the request, ``None`` to release the one that is held.
        """
        self._held = turn if self.active else None

    def grant(self, turn: Turn, now: float, work: float | None = None) -> None:
        """Remove a request that is granted now, and charge its customer.

        :param now: monotonic seconds.
        :param work: work to charge, if it isn't that of the request.
        """
        entry = self._entries[turn]
        rank = self._ranks[entry.rank]
        rank.now = max(rank.now, entry.customer.granted)
        entry.customer.granted += entry.work if work is None else work
        rank.decay(now)
        if not entry.late:
            rank.in_time += 1.0
        if self.active and self._earliest not in (None, turn):
            self.reordered += 1
        self._earliest = None
        self.discard(turn)

    def choose(self, now: float) -> Turn | None:
        """Return the request to grant next, or ``None`` if none waits.

        :param now: monotonic seconds.
        """
        self._record_late(now)
        if not self.active:
            self._held = None
            return choose_turn(self._entries, now)
        return self._choose_fair()

    def list_claims(self, now: float) -> dict[Turn, Claim]:
        """Return the claims of the requests that can be in time.

        :param now: monotonic seconds at which they could be granted.
        :returns: empty where the order is that of `choose_turn`.
        """
        self._record_late(now)
        timely = [entry for entry in self._entries.values() if not entry.late]
        if not timely or not self.active:
            return {}
        first = self._choose_rank(sorted({entry.rank for entry in timely}))
        return {
            entry.turn: Claim(
                -1 if entry.rank == first else entry.rank, entry.customer.granted
            )
            for entry in timely
        }

    def _record_late(self, now: float) -> None:
        limit = now + FIRST_EVENT_SECONDS
        for entry in self._entries.values():
            if entry.latest < limit and not entry.late:
                entry.late = True
                rank = self._ranks[entry.rank]
                rank.decay(now)
                rank.lost += 1.0

    def _choose_fair(self) -> Turn | None:
        first: dict[int, _Entry] = {}
        late: _Entry | None = None
        earliest: _Entry | None = None
        for entry in self._entries.values():
            if entry.late:
                if late is None or _order_late(entry) < _order_late(late):
                    late = entry
                continue
            if earliest is None or entry.turn.due < earliest.turn.due:
                earliest = entry
            best = first.get(entry.rank)
            if best is None or (
                entry.start < best.start
                if entry.customer is best.customer
                else (entry.customer.granted, entry.start)
                < (best.customer.granted, best.start)
            ):
                first[entry.rank] = entry
        self._earliest = earliest.turn if earliest is not None else None
        held = self._entries.get(self._held) if self._held is not None else None
        if held is not None and not (held.late and first):
            return held.turn
        self._held = None
        if first:
            return first[self._choose_rank(sorted(first))].turn
        return late.turn if late is not None else None

    def _choose_rank(self, ranks: list[int]) -> int:
        """Return the rank to serve next.

        :param ranks: ranks with requests that can be in time, most urgent first.
        """
        lowest = self._ranks[ranks[0]].read_share()
        minimum = MIN_RELATIVE_SHARE * lowest
        for rank in ranks[1:]:
            share = self._ranks[rank].read_share()
            if share < min(minimum, lowest):
                return rank
            lowest = min(lowest, share)
        return ranks[0]


def _clamp_rank(work: RequestWork) -> int:
    return min(max(work.rank, 0), MAX_RANK)


def _order_late(entry: _Entry) -> tuple[int, float, float]:
    return (entry.rank, entry.customer.granted, entry.start)
