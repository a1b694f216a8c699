"""The interface between a steward and its engine, independent of the engine's protocol.

An order asks the engine to load or to unload weights.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ibishead.errors import LinkLost
from ibishead.ids import HostId, ModelName, TargetId
from ibishead.routing.targets import AdapterRef, Holding, WeightKey

__all__ = ["Engine", "EngineGone", "EngineState", "OrderOutcome", "WeightOrder"]


class EngineGone(LinkLost):
    """Nothing listens at the engine's address, so the engine has ended."""


@dataclass(frozen=True)
class EngineState:
    """An engine's report of its own state.

    :param born: start of the engine instance in milliseconds since 1970, 0 if unknown.
    :param sequence: number of orders accepted since that start.
    :param busy: an order for a model is in progress.
    :param holdings: loaded models, each with its adapters.
    :param loading: adapters that are being loaded.
    :param running: requests that are running.
    :param queued: requests that are queued in the engine.
    :param cache_used: key-value cache in use that can't be evicted, in tokens.
    :param cache_total: capacity of the key-value cache in tokens.
    :param draining: the engine doesn't accept new requests, or soon won't.
    :param leaving: the engine says that it will end soon.
    :param in_memory: models with a copy in host memory, whether loaded or not.
    :param on_disk: models with a copy on the local disk, whether loaded or not.
    :param slowdown: how much longer work takes on the host at this moment, 1 as usual,
        or ``None`` if the engine does not say.
    """

    born: int
    sequence: int
    busy: bool
    holdings: tuple[Holding, ...]
    loading: tuple[tuple[WeightKey, AdapterRef], ...] = ()
    running: int = 0
    queued: int = 0
    cache_used: int = 0
    cache_total: int = 0
    draining: bool = False
    leaving: bool = False
    in_memory: frozenset[ModelName] = frozenset()
    on_disk: frozenset[ModelName] = frozenset()
    slowdown: float | None = None


@dataclass(frozen=True)
class WeightOrder:
    """An order to load or to unload weights.

    :param load: true to load, false to unload.
    :param version: version to load, 0 for the newest.
    :param sequence: number of orders that the engine must have accepted so far; it
        refuses the order if it has accepted another one since.
    :param holder: host to which the fencing number was issued.
    :param fence: fencing number, higher than that of every earlier holder.
    :param target: the engine instance that is meant; a restarted engine refuses it.
    """

    load: bool
    key: WeightKey
    version: int
    sequence: int
    holder: HostId
    fence: int
    target: TargetId


class OrderOutcome(Enum):
    """What is known of an order after it was sent.

    ``STARTED``: accepted and in progress. ``COMPLETED``: the engine is already in the
    ordered state. ``UNKNOWN``: no usable answer came, and the engine may still carry
    the order out. The other outcomes are refusals.
    """

    STARTED = "started"
    COMPLETED = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    IMPOSSIBLE = "impossible"
    WRONG_INSTANCE = "other_life"
    UNKNOWN = "unknown"


class Engine(Protocol):
    """Client of the model engine on this host."""

    def find_rest(self) -> float:
        """Return the seconds for which the engine has asked for no requests."""

    def end_rest(self) -> None:
        """End the rest, as the engine that asked for it has been replaced."""

    async def read_state(self) -> EngineState:
        """Return the engine's report.

        :raises EngineGone: the engine has ended.
        :raises LinkLost: the engine doesn't answer, or its answer can't be decoded.
        """

    async def read_target_id(self, health_path: str) -> TargetId | None:
        """Return the ID of the running engine instance, None if it isn't healthy.

        :param health_path: path of the engine's health check.
        :raises LinkLost: the engine doesn't answer.
        """

    async def send_order(self, order: WeightOrder, timeout: float) -> OrderOutcome:
        """Send an order and return its outcome.

        :param timeout: seconds to wait for an answer; then the outcome is unknown.
        """
