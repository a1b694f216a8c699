"""Which adapter leaves when a slot is needed."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["ReuseCounter", "SlotView", "choose_victim", "expect_reuse"]

#: Seconds after which a use counts half. Long enough to tell the frequent from the
#: lucky, short enough that a favourite of yesterday leaves within minutes.
HALF_LIFE = 60.0
#: Uses, by the adapter's own rate, that may fail to come before its silence
#: counts against it; more keep favourites of before a shift too long.
SILENT_USES = 0.7
#: Adapters counted per agent, resident or not; the coldest are forgotten beyond.
MAX_COUNTED = 4096


@dataclass(frozen=True)
class SlotView:
    """One occupied adapter slot.

    :param digest: of the adapter, see `placement.adapter_digest`.
    :param pins: requests that the target is or may be running with it.
    :param last_used: monotonic seconds.
    :param reuse: aged count of uses, see `ReuseCounter.read`.
    :param waiting: requests queued for it.
    """

    digest: int
    pins: int
    last_used: float
    reuse: float = 0.0
    waiting: int = 0


class ReuseCounter:
    """Counts uses of adapters, older ones for less.

    The count outlives the adapter's stay in a slot, so that one which is asked for
    often but was evicted once is told from one that is asked for the first time.

    :param half_life: seconds after which a use counts half, `HALF_LIFE` by default.
    """

    def __init__(self, half_life: float | None = None) -> None:
        self._half_life = HALF_LIFE if half_life is None else half_life
        self._counts: dict[int, tuple[float, float]] = {}

    def observe_use(self, digest: int, now: float) -> None:
        """Count one use."""
        self._counts[digest] = (self.read(digest, now) + 1.0, now)
        if len(self._counts) > MAX_COUNTED:
            self._forget_coldest(now)

    def read(self, digest: int, now: float) -> float:
        """Return the aged count, 0 for an adapter that was never used."""
        count, at = self._counts.get(digest, (0.0, now))
        return count * 0.5 ** ((now - at) / self._half_life)

    def _forget_coldest(self, now: float) -> None:
        coldest = sorted(self._counts, key=lambda digest: self.read(digest, now))
        for digest in coldest[: MAX_COUNTED // 4]:
            del self._counts[digest]


def expect_reuse(slot: SlotView, now: float) -> float:
    """Return the aged uses to reckon with, its silence taken into account.

    The count is capped by what the silence since the last use still allows, so that an
    adapter that has gone out of use doesn't keep its slot for many half-lives.
    """
    silence = max(now - slot.last_used, 1e-3)
    return min(slot.reuse, SILENT_USES * HALF_LIFE / silence)


def choose_victim(
    slots: Sequence[SlotView], now: float, *, spare_waiting: bool = False
) -> SlotView | None:
    """Return the slot to empty, or none when none may be.

    A pinned slot serves a request and is never a candidate; one with waiting requests
    comes last, because its eviction only moves the stall from one caller to another.

    :param now: monotonic seconds.
    :param spare_waiting: return none rather than a slot that requests wait for.
    """
    free = [
        slot
        for slot in slots
        if slot.pins == 0 and not (spare_waiting and slot.waiting)
    ]
    return min(
        free,
        key=lambda slot: (slot.waiting, expect_reuse(slot, now), slot.last_used),
        default=None,
    )
