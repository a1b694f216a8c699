"""Which adapter an agent loads next."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["LoadWish", "choose_load", "urgency"]


@dataclass(frozen=True)
class LoadWish:
    """An adapter that is not resident and that requests wait for.

    :param digest: of the adapter, see `placement.adapter_digest`.
    :param waiting: requests that wait for it.
    :param oldest: seconds that the first of them has waited.
    :param priority: the highest among them.
    :param not_before: monotonic seconds; a failed load is backed off until then.
    """

    digest: int
    waiting: int
    oldest: float
    priority: int
    not_before: float = 0.0


def urgency(wish: LoadWish) -> float:
    """Return the harm of waiting: class, age and number of those that wait."""
    return (1 + wish.priority) * (wish.oldest + 0.1) * wish.waiting


def choose_load(wishes: Sequence[LoadWish], now: float) -> LoadWish | None:
    """Return the most urgent load that may start, or none.

    :param now: monotonic seconds.
    """
    ready = [wish for wish in wishes if wish.not_before <= now]
    return max(ready, key=urgency, default=None)
