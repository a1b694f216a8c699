"""Where a request goes: which target, given what is known of all of them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import xxhash

from ibishead.ids import AdapterName, FailureDomain, TargetId, Version

__all__ = ["Placed", "PlacementQuery", "TargetView", "adapter_digest", "place"]


@dataclass(frozen=True)
class TargetView:
    """What an entry host knows of one target, late and corrected by itself.

    :param running: requests in the target's batch, as last reported.
    :param queued: requests waiting at its agent, as last reported.
    :param recent: own dispatches since that report.
    :param batch: requests that the target runs at once.
    :param slots: adapters that it holds at once.
    :param resident: digests of the adapters in its slots.
    :param loading: digests of the adapters on their way.
    :param seconds_per_request: measured mean time of one run.
    :param reachable: the link to its agent is alive.
    """

    target: TargetId
    failure_domain: FailureDomain
    running: int = 0
    queued: int = 0
    recent: int = 0
    batch: int = 8
    slots: int = 4
    resident: frozenset[int] = field(default_factory=frozenset)
    loading: frozenset[int] = field(default_factory=frozenset)
    seconds_per_request: float = 1.0
    reachable: bool = True
    draining: bool = False


@dataclass(frozen=True)
class PlacementQuery:
    """One request to place.

    :param adapter: digest of adapter and version, 0 for a plain service.
    :param stall_weight: 0 weighs batch efficiency only, 1 load stalls only.
    :param avoid: targets that have refused or failed this request.
    """

    adapter: int
    stall_weight: float = 0.5
    failure_domain: FailureDomain = FailureDomain("")
    avoid: frozenset[TargetId] = frozenset()


@dataclass(frozen=True)
class Placed:
    """A target and the reason it was chosen, for `explain`."""

    target: TargetId
    reason: str


def adapter_digest(adapter: AdapterName, version: Version) -> int:
    """Return the 32-bit name under which load reports list an adapter.

    :returns: 0 for no adapter, otherwise a value from 1 on.
    """
    if not adapter:
        return 0
    return xxhash.xxh32_intdigest(f"{adapter}@{version}".encode()) or 1


def place(
    query: PlacementQuery,
    targets: Sequence[TargetView],
    draw: Callable[[], float],
) -> Placed | None:
    """Choose a target, or none when no target can take the request.

    :param draw: returns a number from 0 up to 1, to break ties.
    """
    usable = [
        view
        for view in targets
        if view.reachable and not view.draining and view.target not in query.avoid
    ]
    if not usable:
        return None
    best = min(usable, key=lambda view: (_load(view), draw()))
    return Placed(best.target, "least loaded")


def _load(view: TargetView) -> float:
    return (view.running + view.queued + view.recent) / max(view.batch, 1)
