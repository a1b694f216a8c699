"""How long an engine without a model needs until it holds one.

After a loss of power, or when empty engines are added, some hold their model again
within tenths of a second and others need seconds. What the service's description says
of loads tells them apart, by where the engine's copy lies.
"""

from collections.abc import Collection
from enum import Enum

from ibishead.ids import ModelName
from ibishead.routing.routes import EngineSpec

__all__ = ["LOST_WAIT", "Source", "expect_model", "expect_start", "find_source"]

#: Seconds that count for an engine that its steward can't reach. Restarts take some
#: seconds, and nobody knows whether one is under way.
LOST_WAIT = 4.0

#: Seconds from the start of an engine to the order for its model: the steward reads a
#: report and needs a fencing number.
START_TIME = 0.3

#: Seconds that an order and the report of its end take.
ORDER_TIME = 0.1

#: Seconds of a load where the description doesn't say.
LOAD_TIME = 3.0

#: Share of its time so far that a load which is overdue takes longer, at least. Loads
#: from the store take in proportion longer while others run, and nobody says how many.
OVERDUE_SHARE = 0.3


class Source(Enum):
    """Where the copy lies that an engine loads a model from."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


def find_source(
    spec: EngineSpec | None,
    in_memory: Collection[ModelName],
    on_disk: Collection[ModelName],
) -> Source:
    """Return where an engine finds the model that it is ordered to load."""
    fitting = spec.list_fitting() if spec is not None else []
    if fitting and fitting[0].name in in_memory:
        return Source.MEMORY
    if fitting and fitting[0].name in on_disk:
        return Source.DISK
    return Source.STORE


def expect_start(spec: EngineSpec | None) -> float:
    """Return the seconds until an engine of which nothing is known holds its model.

    Most such engines have been restarted, and their disks hold what they had. One that
    is new takes longer than this, until its steward has told more.
    """
    return START_TIME + _find_load_time(spec, Source.DISK)


def expect_model(
    spec: EngineSpec | None, source: Source, since: float | None, now: float
) -> float:
    """Return the seconds until an engine holds its model, by what its steward knows.

    :param since: when the order for the model was given, none where it wasn't.
    :param now: monotonic seconds, as `since`.
    """
    whole = ORDER_TIME + _find_load_time(spec, source)
    if since is None:
        return whole
    spent = now - since
    return max(whole - spent, ORDER_TIME, OVERDUE_SHARE * spent)


def _find_load_time(spec: EngineSpec | None, source: Source) -> float:
    fitting = spec.list_fitting() if spec is not None else []
    if not fitting:
        return LOAD_TIME
    model = fitting[0]
    times = {Source.MEMORY: model.warm_time, Source.DISK: model.disk_time}
    return times.get(source, 0.0) or model.load_time or LOAD_TIME
