"""Selection of the adapter to evict when a slot is needed."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["ReuseCounter", "SlotView", "choose_victim", "estimate_reuse"]

#: Half-life of a use. Long enough to distinguish frequently used adapters from adapters
#: used once by chance, and short enough that an adapter that was popular earlier is
#: evicted within minutes.
REUSE_HALF_LIFE_SECONDS = 60.0
#: Number of uses, at the adapter's own rate, that may be missing before its idle time
#: reduces its expected reuse. A larger value keeps adapters that were popular before a
#: change in demand for too long.
MISSED_USES = 0.7
#: Maximum number of adapters counted per agent, resident or not. Beyond it, the least
#: used are discarded.
MAX_COUNTED_ADAPTERS = 4096


@dataclass(frozen=True)
class SlotView:
    """One occupied adapter slot.

    :param digest: adapter digest, see `placement.adapter_digest`.
    :param pins: requests that the target is running, or may be running, with it.
    :param last_used: monotonic seconds.
    :param reuse: decayed use count, see `ReuseCounter.read`.
    :param waiting: number of requests queued for the adapter.
    """

    digest: int
    pins: int
    last_used: float
    reuse: float = 0.0
    waiting: int = 0


class ReuseCounter:
    """Exponentially decayed use counts of adapters.

    Counts are kept after eviction, so that an adapter that is requested often but was
    evicted once is distinguished from one that is requested for the first time.

    :param half_life: half-life of a use in seconds, `REUSE_HALF_LIFE_SECONDS` by
        default.
    """

    def __init__(self, half_life: float | None = None) -> None:
        self._half_life = REUSE_HALF_LIFE_SECONDS if half_life is None else half_life
        self._counts: dict[int, tuple[float, float]] = {}

    def observe_use(self, digest: int, now: float) -> None:
        """Count one use at a monotonic time in seconds."""
        self._counts[digest] = (self.read(digest, now) + 1.0, now)
        if len(self._counts) > MAX_COUNTED_ADAPTERS:
            self._discard_least_used(now)

    def read(self, digest: int, now: float) -> float:
        """Return the decayed count, 0 for an adapter that was never used."""
        count, counted_at = self._counts.get(digest, (0.0, now))
        return count * 0.5 ** ((now - counted_at) / self._half_life)

    def _discard_least_used(self, now: float) -> None:
        least_used = sorted(self._counts, key=lambda digest: self.read(digest, now))
        for digest in least_used[: MAX_COUNTED_ADAPTERS // 4]:
            del self._counts[digest]


def estimate_reuse(slot: SlotView, now: float) -> float:
    """Return the expected reuse of a slot's adapter, given its idle time.

    The decayed count is capped by what the time since the last use still allows, so
    that an adapter that is no longer used does not keep its slot for many half-lives.
    """
    idle = max(now - slot.last_used, 1e-3)
    return min(slot.reuse, MISSED_USES * REUSE_HALF_LIFE_SECONDS / idle)


def choose_victim(
    slots: Sequence[SlotView], now: float, *, spare_waiting: bool = False
) -> SlotView | None:
    """Return the slot to evict, or ``None`` if none may be evicted.

    A pinned slot serves a request and is never evicted. A slot with waiting requests is
    evicted last, because its eviction only moves the stall from one caller to another.

    :param now: monotonic seconds.
    :param spare_waiting: never evict a slot that requests wait for.
    """
    evictable = [
        slot
        for slot in slots
        if slot.pins == 0 and not (spare_waiting and slot.waiting)
    ]
    return min(
        evictable,
        key=lambda slot: (slot.waiting, estimate_reuse(slot, now), slot.last_used),
        default=None,
    )
