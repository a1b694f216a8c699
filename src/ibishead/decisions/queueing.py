"""In which order an agent runs what waits."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ibishead.ids import RequestId, TeamId

__all__ = ["FairQueue", "Waiting", "choose_late", "choose_next"]

#: Seconds of waiting that raise a request by one priority.
SECONDS_PER_PRIORITY = 4.0
#: Seconds for which others may go before a request to fill the batch with adapters
#: that run already, at a stall weight of 0; none at 1.
MAX_GROUPING = 4.0
#: Runs by which teams may differ before the one with fewer goes first.
FAIR_STEP = 4.0
#: Seconds after which a run counts half in its team's account.
FAIR_HALF_LIFE = 60.0


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
    waiting: Sequence[Waiting],
    running: dict[int, int],
    now: float,
    *,
    used: Mapping[TeamId, float] | None = None,
    stall_weight: float = 0.5,
) -> Waiting | None:
    """Return the request to run next, or none when no one is ready.

    Classes go first and age, so that none starves; teams within a class go by what they
    have used; then adapters that run already go first, for a bounded wait, as a batch
    of many adapters steps slower and pins more slots.

    :param running: requests in the target's batch for each adapter digest.
    :param now: monotonic seconds.
    :param used: runs of each team, aged, see `FairQueue.read`.
    """
    ready = [item for item in waiting if item.ready]
    used = used or {}
    patience = MAX_GROUPING * (1.0 - stall_weight)

    def rank(item: Waiting) -> tuple[float, float, bool, float]:
        waited = now - item.arrived
        level = int(item.priority + waited / SECONDS_PER_PRIORITY)
        spent = used.get(item.team, 0.0) / max(item.share, 0.01)
        foreign = item.adapter not in running and waited < patience
        return (-level, int(spent / FAIR_STEP), foreign, item.arrived)

    return min(ready, key=rank, default=None)


def choose_late(
    waiting: Sequence[Waiting], now: float, seconds_per_request: float
) -> list[Waiting]:
    """Return the requests that can no longer end in time.

    They are to be answered `NotRun` at once, with a time to come back, not held until
    their deadline.
    """
    return [item for item in waiting if now + seconds_per_request > item.deadline]


class FairQueue:
    """Counts what each team has run lately, for shares within a class."""

    def __init__(self) -> None:
        self._used: dict[TeamId, tuple[float, float]] = {}

    def observe_run(self, team: TeamId, now: float, cost: float = 1.0) -> None:
        """Count a run that begins.

        :param cost: runs it counts for; a long one may count for several.
        """
        self._used[team] = (self._read(team, now) + cost, now)

    def read(self, now: float) -> dict[TeamId, float]:
        """Return the aged runs of each team."""
        return {team: self._read(team, now) for team in self._used}

    def _read(self, team: TeamId, now: float) -> float:
        cost, at = self._used.get(team, (0.0, now))
        return cost * 0.5 ** ((now - at) / FAIR_HALF_LIFE)
