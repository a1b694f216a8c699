"""Which adapter leaves when a slot is needed."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["SlotView", "choose_victim"]


@dataclass(frozen=True)
class SlotView:
    """One occupied adapter slot.

    :param digest: of the adapter, see `placement.adapter_digest`.
    :param pins: requests that the target is or may be running with it.
    :param last_used: monotonic seconds.
    :param reuse: aged count of uses, see `observe_use`.
    :param waiting: requests queued for it.
    """

    digest: int
    pins: int
    last_used: float
    reuse: float = 0.0
    waiting: int = 0


def choose_victim(slots: Sequence[SlotView], now: float) -> SlotView | None:
    """Return the slot to empty, or none when all are pinned.

    :param now: monotonic seconds.
    """
    free = [slot for slot in slots if slot.pins == 0]
    return min(free, key=lambda slot: slot.last_used, default=None)
