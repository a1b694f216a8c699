"""A model engine without weights: adapter slots, a continuous batch, and tokens.

Pure computation; the caller keeps the time and the connections. Each token shows
which weights produced it, whatever name the request asked for.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BASE_WEIGHTS",
    "Engine",
    "EngineOptions",
    "Generation",
    "GenerationState",
    "OrderError",
    "UnknownModelError",
]

#: Shown in tokens that no adapter had a part in.
BASE_WEIGHTS = "base"

#: How much longer one step takes with a full batch than with one request.
FULL_BATCH_COST = 0.5


class OrderError(Exception):
    """An order that the engine refuses.

    :param status: the HTTP status that says so.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class UnknownModelError(Exception):
    """No model or adapter of that name is loaded."""


class GenerationState(Enum):
    """Where a generation stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    ABORTED = "aborted"


@dataclass(frozen=True)
class EngineOptions:
    """What kind of engine this is.

    :param slots: adapters that fit at once.
    :param batch: requests that run at once.
    :param token_time: seconds of one step with a single request.
    :param ignores_unknown_adapter: serve unknown names by the base model.
    """

    model: str = "base-model"
    slots: int = 8
    batch: int = 8
    token_time: float = 0.005
    ignores_unknown_adapter: bool = False


@dataclass(eq=False)
class Generation:
    """One request in the engine.

    :param asked: the model name that the request gave.
    :param served: adapter and version whose weights answer.
    :param word: shown in each token, so that answers can be told apart.
    :param priority: lower runs earlier, as in the published protocol.
    """

    request: str
    asked: str
    served: str
    word: str
    max_tokens: int
    priority: int = 0
    produced: int = 0
    state: GenerationState = GenerationState.WAITING

    @property
    def over(self) -> bool:
        """Whether no further token will come."""
        return self.state not in (GenerationState.WAITING, GenerationState.RUNNING)

    def render_token(self, position: int) -> str:
        """Return the token at a position, from 0."""
        return f"{self.served}:{self.word}:{position} "


class Engine:
    """Slots and batch of one engine process; empty at the start."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self._loaded: dict[str, str] = {}
        self._loading: set[str] = set()
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []

    @property
    def loaded(self) -> dict[str, str]:
        """Adapter names and the weights behind each."""
        return dict(self._loaded)

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for the batch."""
        return len(self._waiting)

    @property
    def running_adapters(self) -> list[str]:
        """Names of adapters with requests in the batch."""
        return self._list_adapters(self._running)

    @property
    def waiting_adapters(self) -> list[str]:
        """Names of adapters with requests that wait for the batch."""
        return self._list_adapters(self._waiting)

    @property
    def busy(self) -> bool:
        """Whether there is anything to step."""
        return bool(self._running or self._waiting)

    def begin_load(self, name: str) -> None:
        """Reserve a slot for an adapter.

        :raises OrderError: the name is taken or no slot is free.
        """
        if name in self._loaded or name in self._loading or name == self.options.model:
            raise OrderError(400, f"The lora adapter '{name}' has already been loaded.")
        if len(self._loaded) + len(self._loading) >= self.options.slots:
            raise OrderError(400, "No free slot for another lora adapter.")
        self._loading.add(name)

    def finish_load(self, name: str, weights: str) -> None:
        """Put weights into the slot that was reserved."""
        self._loading.discard(name)
        self._loaded[name] = weights

    def abandon_load(self, name: str) -> None:
        """Free the slot of a load that failed."""
        self._loading.discard(name)

    def unload(self, name: str) -> list[Generation]:
        """Free an adapter's slot.

        :returns: generations that still needed it; they are aborted.
        :raises OrderError: the adapter isn't loaded.
        """
        if name not in self._loaded:
            raise OrderError(404, f"The lora adapter '{name}' cannot be found.")
        del self._loaded[name]
        harmed = [g for g in self._running + self._waiting if g.asked == name]
        for generation in harmed:
            self._end(generation, GenerationState.ABORTED)
        return harmed

    def resolve(self, name: str) -> str:
        """Return the weights that serve a model name.

        :raises UnknownModelError: none does.
        """
        if name in self._loaded:
            return self._loaded[name]
        if name == self.options.model or self.options.ignores_unknown_adapter:
            return BASE_WEIGHTS
        raise UnknownModelError(name)

    def submit(self, generation: Generation) -> None:
        """Take a request into the queue, behind those of its priority."""
        self._waiting.append(generation)
        self._waiting.sort(key=lambda waiting: waiting.priority)

    def cancel(self, generation: Generation) -> None:
        """Drop a request whose caller has left."""
        if not generation.over:
            self._end(generation, GenerationState.CANCELLED)

    def compute_step_time(self) -> float:
        """Return the seconds that the next step takes."""
        joining = min(len(self._waiting), self.options.batch - len(self._running))
        fill = (len(self._running) + joining) / self.options.batch
        return self.options.token_time * (1.0 + FULL_BATCH_COST * fill)

    def step(self) -> list[Generation]:
        """Fill the batch and produce one token for each request in it.

        :returns: those that got a token; the last one's state is `FINISHED`.
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
        return sorted({g.asked for g in generations if g.asked in self._loaded})

    def _end(self, generation: Generation, state: GenerationState) -> None:
        if generation in self._running:
            self._running.remove(generation)
        if generation in self._waiting:
            self._waiting.remove(generation)
        generation.state = state
