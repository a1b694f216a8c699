"""How many bytes of bodies and answers a gateway may hold in memory.

The budget has one part for request bodies and one for answers. In each part, what one
holder may have shrinks with what is still free, so holders that keep their bytes for
long can't use up all of it, and no number of holders has to be known beforehand.
"""

from dataclasses import dataclass

__all__ = [
    "ANSWER_RESERVE_BYTES",
    "SMALL_BODY_BYTES",
    "AnswerBudget",
    "AnswerHold",
    "BodyBudget",
    "BodyHold",
    "HeldBytes",
]

#: Share of the budget for request bodies; the rest is for answers.
BODY_SHARE = 0.5

#: Copies of a body that exist at a time: one for another attempt, and one in the write
#: buffer of the connection to a target that reads slowly.
BODY_COPIES = 2

#: Largest body for which the reserve of small bodies can be used.
SMALL_BODY_BYTES = 16 * 1024

#: Share of the bodies' part that only small bodies can use.
SMALL_SHARE = 0.25

#: Largest share of the free bytes that one answer may hold.
ANSWER_SHARE = 1 / 8

#: Bytes that a caller may hold, as a multiple of the free bytes. A caller that is alone
#: gets two thirds of a part. Its last body may exceed that, so that one of the largest
#: fits into a small budget.
CALLER_FACTOR = 2

#: Bytes that each answer may hold outside the budget. Without them, an answer could
#: wait for bytes that others hold, and those in turn for others.
ANSWER_RESERVE_BYTES = 8 * 1024

#: Room below which an answer's connection stops reading.
MIN_READ_BYTES = 1024

#: Share of a part of the budget from which it counts as used up, and the share below
#: which it is free again.
SHORT_SHARE = 7 / 8
FREE_SHARE = 1 / 2

#: Bounds in seconds of the estimate of when there is room for a refused body.
MIN_WAIT_SECONDS = 0.5
MAX_WAIT_SECONDS = 10.0


@dataclass(eq=False)
class BodyHold:
    """Bytes reserved for the body of one request.

    :param caller: address of the caller.
    :param began: monotonic seconds.
    :ivar small: bytes held in the reserve of small bodies.
    :ivar large: bytes held in the part that all bodies use.
    """

    caller: str
    began: float
    small: int = 0
    large: int = 0


class BodyBudget:
    """The part of the budget for request bodies.

    :param limit: bytes, ``None`` for no limit.
    :ivar held: bytes held.
    :ivar refused: number of reservations for which there was no room.
    """

    def __init__(self, limit: int | None) -> None:
        self._limit = limit
        self._small_limit = int((limit or 0) * SMALL_SHARE)
        self._large_limit = (limit or 0) - self._small_limit
        self._small = 0
        self._large = 0
        self._callers: dict[str, int] = {}
        self._count = 0
        self._sum_began = 0.0
        self.refused = 0

    @property
    def held(self) -> int:
        """Bytes held."""
        return self._small + self._large

    @property
    def is_short(self) -> bool:
        """Whether nearly all bytes that large bodies can use are held."""
        return (
            self._limit is not None and self._large >= SHORT_SHARE * self._large_limit
        )

    @property
    def is_free(self) -> bool:
        """Whether many of the bytes that large bodies can use are free."""
        return self._limit is None or self._large <= FREE_SHARE * self._large_limit

    def reserve(self, hold: BodyHold, size: int) -> bool:
        """Make a hold cover a body; without room, it stays as it is.

        :param size: bytes of the body, as far as known.
        """
        if self._limit is None:
            return True
        needed = BODY_COPIES * size
        if needed <= hold.small + hold.large:
            return True
        if not hold.large and size <= SMALL_BODY_BYTES:
            more = needed - hold.small
            if self._small + more <= self._small_limit:
                self._small += more
                hold.small = needed
                return True
        more, free = needed - hold.large, self._large_limit - self._large
        of_caller = self._callers.get(hold.caller, 0)
        if more > free or of_caller >= CALLER_FACTOR * free:
            self.refused += 1
            return False
        if not hold.large:
            self._count += 1
            self._sum_began += hold.began
        self._callers[hold.caller] = of_caller + more
        self._large += more
        self._small -= hold.small
        hold.large, hold.small = needed, 0
        return True

    def release(self, hold: BodyHold) -> None:
        """Release all bytes of a hold."""
        self._small -= hold.small
        if hold.large:
            self._large -= hold.large
            _subtract(self._callers, hold.caller, hold.large)
            self._count -= 1
            self._sum_began -= hold.began
        hold.small = hold.large = 0

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until there may be room for a refused body.

        The mean age of what is held now is also the mean time that it remains, if holds
        end at a steady rate.
        """
        age = now - self._sum_began / self._count if self._count else 0.0
        return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, age))


class AnswerBudget:
    """The part of the budget for answers.

    :param limit: bytes, ``None`` for no limit.
    :ivar paused: number of answers whose connections don't read at present.
    """

    def __init__(self, limit: int | None) -> None:
        self.limit = limit
        self.shared = 0
        self.held = 0
        self.callers: dict[str, int] = {}
        self.paused = 0

    def open(self, caller: str, most: int | None = None) -> "AnswerHold":
        """Return a new hold.

        :param caller: the customer, or the address of an anonymous caller.
        :param most: bytes that the hold may have at most, ``None`` for no own limit.
        """
        return AnswerHold(self, caller, most)

    @property
    def is_short(self) -> bool:
        """Whether nearly all bytes are held."""
        return self.limit is not None and self.shared >= SHORT_SHARE * self.limit

    @property
    def is_free(self) -> bool:
        """Whether many bytes are free."""
        return self.limit is None or self.shared <= FREE_SHARE * self.limit


class AnswerHold:
    """Bytes of one answer that were received and not yet passed on.

    :ivar held: bytes held, the reserve included.
    :ivar paused: whether the answer's connection doesn't read.
    """

    __slots__ = ("_budget", "_caller", "_most", "held", "paused")

    def __init__(self, budget: AnswerBudget, caller: str, most: int | None) -> None:
        self._budget = budget
        self._caller = caller
        self._most = most
        self.held = 0
        self.paused = False

    @property
    def room(self) -> int | None:
        """Bytes that may be added at present, ``None`` for any number."""
        budget, most = self._budget, self._most
        left = None if most is None else max(0, most - self.held)
        if budget.limit is None:
            return left
        free = budget.limit - budget.shared
        shared = max(0, self.held - ANSWER_RESERVE_BYTES)
        grant = min(
            int(ANSWER_SHARE * free) - shared,
            (CALLER_FACTOR * free - budget.callers.get(self._caller, 0))
            // (CALLER_FACTOR + 1),
        )
        room = max(0, ANSWER_RESERVE_BYTES - self.held) + max(0, grant)
        return room if left is None else min(room, left)

    def add(self, size: int) -> None:
        """Hold more bytes; the caller of this method keeps to `room`."""
        self._change(size)

    def try_add(self, size: int) -> bool:
        """Hold more bytes if there is room, and return whether there was."""
        room = self.room
        if room is not None and size > room:
            return False
        self._change(size)
        return True

    def resize(self, size: int) -> bool:
        """Hold just a number of bytes; without room for more, hold what was held."""
        if size <= self.held:
            self._change(size - self.held)
            return True
        return self.try_add(size - self.held)

    def remove(self, size: int) -> None:
        """Release some bytes."""
        self._change(-size)

    def must_pause(self) -> bool:
        """Return whether to stop reading, and count the answer as paused if so."""
        room = self.room
        if not self.paused and room is not None and room < MIN_READ_BYTES:
            self.paused = True
            self._budget.paused += 1
        return self.paused

    def may_go_on(self) -> bool:
        """Return whether to read on, and count the answer as reading if so.

        Half of what the answer may hold has to be free, so that the connection isn't
        paused again at once. An answer that holds nothing may always go on.
        """
        room = self.room
        if self.paused and (
            self.held <= ANSWER_RESERVE_BYTES // 2 or room is None or room >= self.held
        ):
            self._go_on()
        return not self.paused

    def close(self) -> None:
        """Release all bytes."""
        self._change(-self.held)
        if self.paused:
            self._go_on()

    def _go_on(self) -> None:
        self.paused = False
        self._budget.paused -= 1

    def _change(self, size: int) -> None:
        before = self.held
        after = self.held = before + size
        budget = self._budget
        budget.held += size
        if before <= ANSWER_RESERVE_BYTES and after <= ANSWER_RESERVE_BYTES:
            return
        shared = max(0, after - ANSWER_RESERVE_BYTES)
        shared -= max(0, before - ANSWER_RESERVE_BYTES)
        budget.shared += shared
        if shared > 0:
            budget.callers[self._caller] = budget.callers.get(self._caller, 0) + shared
        elif shared < 0:
            _subtract(budget.callers, self._caller, -shared)


class HeldBytes:
    """The budget of a gateway.

    :param limit: bytes, ``None`` for no limit.
    :ivar short: whether the budget was used up when last checked.
    """

    def __init__(self, limit: int | None = None) -> None:
        bodies = None if limit is None else int(limit * BODY_SHARE)
        self.bodies = BodyBudget(bodies)
        self.answers = AnswerBudget(
            None if limit is None or bodies is None else limit - bodies
        )
        self.short = False
        self._refused = 0

    def check(self) -> bool:
        """Update `short`, and return whether it has changed.

        The budget is used up while bodies are refused or nearly all of a part is held.
        """
        before, refused = self.short, self.bodies.refused > self._refused
        self._refused = self.bodies.refused
        if refused or self.bodies.is_short or self.answers.is_short:
            self.short = True
        elif self.bodies.is_free and self.answers.is_free:
            self.short = False
        return self.short != before


def _subtract(amounts: dict[str, int], key: str, amount: int) -> None:
    left = amounts[key] - amount
    if left:
        amounts[key] = left
    else:
        del amounts[key]
