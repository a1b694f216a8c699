"""In which order an agent runs what waits."""

from collections.abc import Sequence
from dataclasses import dataclass

from ibishead.ids import RequestId, TeamId

__all__ = ["Waiting", "choose_next"]


@dataclass(frozen=True)
class Waiting:
    """One request in an agent's queue.

    :param adapter: digest, 0 for a plain service.
    :param arrived: monotonic seconds.
    :param deadline: monotonic seconds.
    :param ready: its adapter is resident, or it needs none.
    """

    request: RequestId
    attempt: int
    team: TeamId
    adapter: int
    priority: int
    arrived: float
    deadline: float
    ready: bool
    share: float = 1.0


def choose_next(
    waiting: Sequence[Waiting], running: dict[int, int], now: float
) -> Waiting | None:
    """Return the request to run next, or none when no one is ready.

    :param running: requests in the target's batch for each adapter digest.
    :param now: monotonic seconds.
    """
    ready = [item for item in waiting if item.ready]
    return min(ready, key=lambda item: (-item.priority, item.arrived), default=None)
