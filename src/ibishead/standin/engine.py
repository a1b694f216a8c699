"""Simulated model engine with adapter slots, continuous batching and token output.

This module does no I/O and has no timers; the caller provides time and connections.
Each token contains the name of the weights that produced it, independent of the model
name in the request.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BASE_WEIGHTS",
    "Engine",
    "EngineOptions",
    "Generation",
    "GenerationState",
    "AdapterRequestError",
    "UnknownModelError",
]

#: Name of the weights in tokens that were produced without an adapter.
BASE_WEIGHTS = "base"

#: Share by which the duration of a step grows from an empty to a full batch.
FULL_BATCH_SLOWDOWN = 0.5


class AdapterRequestError(Exception):
    """Raised when the engine rejects a request to load or unload an adapter.

    :ivar status: HTTP status of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class UnknownModelError(Exception):
    """Raised when no model or adapter with the requested name is loaded."""


class GenerationState(Enum):
    """State of a request in the engine."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    ABORTED = "aborted"


@dataclass(frozen=True)
class EngineOptions:
    """Configuration of an engine.

    :param model: name of the base model.
    :param slots: maximum number of loaded adapters.
    :param batch: maximum number of requests in the batch.
    :param token_time: base duration of a step in seconds; it grows with the number of
        requests in the batch.
    :param ignores_unknown_adapter: serve requests for unknown adapters with the base
        model.
    """

    model: str = "base-model"
    slots: int = 8
    batch: int = 8
    token_time: float = 0.005
    ignores_unknown_adapter: bool = False


@dataclass(eq=False)
class Generation:
    """One completion request in the engine.

    :param request_id: value of the `x-request-id` header.
    :param model: model name in the request.
    :param weights: adapter and version whose weights produce the tokens.
    :param marker: included in each token, to match a response to its request.
    :param priority: requests with lower values run first, as in the engine's API.
    :param produced: tokens produced so far.
    """

    request_id: str
    model: str
    weights: str
    marker: str
    max_tokens: int
    priority: int = 0
    produced: int = 0
    state: GenerationState = GenerationState.WAITING

    @property
    def ended(self) -> bool:
        """Whether the request has left the queue and the batch."""
        return self.state not in (GenerationState.WAITING, GenerationState.RUNNING)

    def render_token(self, position: int) -> str:
        """Return the token at a position, counted from 0."""
        return f"{self.weights}:{self.marker}:{position} "


class Engine:
    """Adapter slots, queue and batch of one engine process; initially empty."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self._loaded: dict[str, str] = {}
        self._loading: set[str] = set()
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []

    @property
    def loaded(self) -> dict[str, str]:
        """Names of the loaded adapters and their weights."""
        return dict(self._loaded)

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    @property
    def running_adapters(self) -> list[str]:
        """Names of adapters with requests in the batch."""
        return self._list_adapters(self._running)

    @property
    def waiting_adapters(self) -> list[str]:
        """Names of adapters with queued requests."""
        return self._list_adapters(self._waiting)

    @property
    def busy(self) -> bool:
        """Whether any request is queued or running."""
        return bool(self._running or self._waiting)

    def begin_load(self, name: str) -> None:
        """Reserve a slot for an adapter.

        :raises AdapterRequestError: the name is in use or no slot is free.
        """
        if name in self._loaded or name in self._loading or name == self.options.model:
            raise AdapterRequestError(
                400, f"The lora adapter '{name}' has already been loaded."
            )
        if len(self._loaded) + len(self._loading) >= self.options.slots:
            raise AdapterRequestError(400, "No free slot for another lora adapter.")
        self._loading.add(name)

    def finish_load(self, name: str, weights: str) -> None:
        """Store the weights in the reserved slot."""
        self._loading.discard(name)
        self._loaded[name] = weights

    def cancel_load(self, name: str) -> None:
        """Release the slot that was reserved for a failed load."""
        self._loading.discard(name)

    def unload(self, name: str) -> list[Generation]:
        """Unload an adapter and abort its requests.

        :returns: the aborted requests.
        :raises AdapterRequestError: the adapter is not loaded.
        """
        if name not in self._loaded:
            raise AdapterRequestError(
                404, f"The lora adapter '{name}' cannot be found."
            )
        del self._loaded[name]
        aborted = [g for g in self._running + self._waiting if g.model == name]
        for generation in aborted:
            self._end(generation, GenerationState.ABORTED)
        return aborted

    def resolve(self, name: str) -> str:
        """Return the name of the weights for a model name.

        :raises UnknownModelError: no such model or adapter is loaded.
        """
        if name in self._loaded:
            return self._loaded[name]
        if name == self.options.model or self.options.ignores_unknown_adapter:
            return BASE_WEIGHTS
        raise UnknownModelError(name)

    def submit(self, generation: Generation) -> None:
        """Queue a request behind those of equal priority."""
        self._waiting.append(generation)
        self._waiting.sort(key=lambda waiting: waiting.priority)

    def cancel(self, generation: Generation) -> None:
        """Cancel a request whose caller has disconnected."""
        if not generation.ended:
            self._end(generation, GenerationState.CANCELLED)

    def compute_step_time(self) -> float:
        """Return the duration of the next step in seconds."""
        admitted = min(len(self._waiting), self.options.batch - len(self._running))
        fill = (len(self._running) + admitted) / self.options.batch
        return self.options.token_time * (1.0 + FULL_BATCH_SLOWDOWN * fill)

    def step(self) -> list[Generation]:
        """Fill the batch from the queue and produce one token per running request.

        A request that received its last token is then `FINISHED`.

        :returns: the requests that received a token.
        """
        while self._waiting and len(self._running) < self.options.batch:
            generation = self._waiting.pop(0)
            generation.state = GenerationState.RUNNING
            self._running.append(generation)
        stepped = list(self._running)
        for generation in stepped:
            generation.produced += 1
            if generation.produced >= generation.max_tokens:
                self._end(generation, GenerationState.FINISHED)
        return stepped

    def _list_adapters(self, generations: list[Generation]) -> list[str]:
        return sorted({g.model for g in generations if g.model in self._loaded})

    def _end(self, generation: Generation, state: GenerationState) -> None:
        if generation in self._running:
            self._running.remove(generation)
        if generation in self._waiting:
            self._waiting.remove(generation)
        generation.state = state
