"""Order in which an agent runs queued requests."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ibishead.ids import RequestId, TeamId

__all__ = ["FairQueue", "QueuedRequest", "choose_next", "list_late"]

#: Waiting time that raises a request by one priority.
SECONDS_PER_PRIORITY = 4.0
#: Maximum time for which requests for adapters that are already in the batch may run
#: before another request, at a stall weight of 0. It falls to 0 at a stall weight of 1.
MAX_GROUPING_SECONDS = 4.0
#: Difference in runs between teams from which the team with fewer runs goes first.
FAIR_SHARE_STEP = 4.0
#: Half-life of a run in its team's usage.
USAGE_HALF_LIFE_SECONDS = 60.0


@dataclass(frozen=True)
class QueuedRequest:
    """One request in an agent's queue.

    :param adapter: adapter digest, 0 for a plain service.
    :param arrived: monotonic seconds.
    :param deadline: monotonic seconds.
    :param ready: its adapter is resident, or it needs none.
    :param share: share of the capacity that its team is entitled to.
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
    waiting: Sequence[QueuedRequest],
    running: dict[int, int],
    now: float,
    *,
    used: Mapping[TeamId, float] | None = None,
    stall_weight: float = 0.5,
) -> QueuedRequest | None:
    """Return the request to run next, or ``None`` if none is ready.

    Requests are ordered by priority, which rises with waiting time so that none
    starves. Within a priority, teams with less usage go first. Then requests for
    adapters that are already in the batch go first, for a bounded time, because a batch
    with many adapters runs slower steps and pins more slots.

    :param running: requests in the target's batch by adapter digest.
    :param now: monotonic seconds.
    :param used: decayed runs of each team, see `FairQueue.read`.
    :param stall_weight: 0 optimizes batch efficiency only, 1 load stalls only.
    """
    ready = [item for item in waiting if item.ready]
    used = used or {}
    max_grouping = MAX_GROUPING_SECONDS * (1.0 - stall_weight)

    def rank(item: QueuedRequest) -> tuple[float, float, bool, float]:
        waited = now - item.arrived
        level = int(item.priority + waited / SECONDS_PER_PRIORITY)
        usage = used.get(item.team, 0.0) / max(item.share, 0.01)
        adds_adapter = item.adapter not in running and waited < max_grouping
        return (-level, int(usage / FAIR_SHARE_STEP), adds_adapter, item.arrived)

    return min(ready, key=rank, default=None)


def list_late(
    waiting: Sequence[QueuedRequest], now: float, seconds_per_request: float
) -> list[QueuedRequest]:
    """Return the requests that can no longer finish before their deadline.

    They should be answered with `NotRun` and a retry delay immediately, not held until
    the deadline.

    :param now: monotonic seconds.
    :param seconds_per_request: shortest expected run time.
    """
    return [item for item in waiting if now + seconds_per_request > item.deadline]


class FairQueue:
    """Decayed usage of each team, for fair shares within a priority."""

    def __init__(self) -> None:
        self._used: dict[TeamId, tuple[float, float]] = {}

    def observe_run(self, team: TeamId, now: float, cost: float = 1.0) -> None:
        """Count a run that begins.

        :param now: monotonic seconds.
        :param cost: number of runs to count; a long run may count as several.
        """
        self._used[team] = (self._read(team, now) + cost, now)

    def read(self, now: float) -> dict[TeamId, float]:
        """Return the decayed runs of each team."""
        return {team: self._read(team, now) for team in self._used}

    def _read(self, team: TeamId, now: float) -> float:
        cost, counted_at = self._used.get(team, (0.0, now))
        return cost * 0.5 ** ((now - counted_at) / USAGE_HALF_LIFE_SECONDS)
