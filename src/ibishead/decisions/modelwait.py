"""Estimates of how long an engine takes until its model is loaded.

After a power failure, or when empty engines are added, some engines have their model
loaded within tenths of a second and others take seconds. The load times in the
service's description, for the location of the engine's copy, distinguish them.
"""

from collections.abc import Collection
from enum import Enum

from ibishead.ids import ModelName
from ibishead.routing.routes import EngineSpec

__all__ = [
    "UNREACHABLE_WAIT_SECONDS",
    "Source",
    "estimate_model_wait",
    "estimate_start_wait",
    "find_source",
]

#: Assumed wait in seconds for an engine that its steward cannot reach. A restart takes
#: some seconds, and it is unknown whether one is in progress.
UNREACHABLE_WAIT_SECONDS = 4.0

#: Time from the start of an engine until its model load is ordered: the steward first
#: reads a report and obtains a fencing number.
START_SECONDS = 0.3

#: Time for an order and for the report of its completion.
ORDER_SECONDS = 0.1

#: Load time if the description does not state one.
DEFAULT_LOAD_SECONDS = 3.0

#: Minimum remaining time of an overdue load, as a share of its time so far. Loads from
#: the store slow down in proportion to the number of concurrent loads, which is
#: unknown.
MIN_OVERDUE_SHARE = 0.3


class Source(Enum):
    """Location of the copy that an engine loads a model from."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


def find_source(
    spec: EngineSpec | None,
    in_memory: Collection[ModelName],
    on_disk: Collection[ModelName],
) -> Source:
    """Return where an engine finds the model that it is ordered to load.

    :param in_memory: models of which the engine has a copy in memory.
    :param on_disk: models of which the engine has a copy on disk.
    """
    fitting = spec.list_fitting() if spec is not None else []
    if fitting and fitting[0].name in in_memory:
        return Source.MEMORY
    if fitting and fitting[0].name in on_disk:
        return Source.DISK
    return Source.STORE


def estimate_start_wait(spec: EngineSpec | None) -> float:
    """Return the estimated seconds until an unknown engine has its model loaded.

    Most such engines were restarted and still have the model on disk. A new engine
    takes longer than this estimate, until its steward reports more.
    """
    return START_SECONDS + _find_load_time(spec, Source.DISK)


def estimate_model_wait(
    spec: EngineSpec | None, source: Source, since: float | None, now: float
) -> float:
    """Return the estimated seconds until an engine has its model loaded.

    :param source: location of the copy, as known to the engine's steward.
    :param since: monotonic seconds when the load was ordered, ``None`` if it was not.
    :param now: monotonic seconds.
    """
    total = ORDER_SECONDS + _find_load_time(spec, source)
    if since is None:
        return total
    elapsed = now - since
    return max(total - elapsed, ORDER_SECONDS, MIN_OVERDUE_SHARE * elapsed)


def _find_load_time(spec: EngineSpec | None, source: Source) -> float:
    fitting = spec.list_fitting() if spec is not None else []
    if not fitting:
        return DEFAULT_LOAD_SECONDS
    model = fitting[0]
    seconds_by_source = {Source.MEMORY: model.warm_time, Source.DISK: model.disk_time}
    return seconds_by_source.get(source, 0.0) or model.load_time or DEFAULT_LOAD_SECONDS
