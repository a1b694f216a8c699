"""HTTP server of a simulated OpenAI-compatible engine with dynamic LoRA adapters."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from ibishead.clock import Clock
from ibishead.errors import IbisheadError
from ibishead.headers import find_header
from ibishead.links import Endpoint
from ibishead.standin import protocol
from ibishead.standin.engine import (
    AdapterRequestError,
    Engine,
    EngineOptions,
    Generation,
    GenerationState,
    UnknownModelError,
)
from ibishead.standin.events import CacheEvents
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange
from ibishead.webclient import ClientConnection

__all__ = ["EngineServer", "Faults"]

#: Seconds for which `/metrics` returns the same cached response.
METRICS_CACHE_SECONDS = 0.25


@dataclass(frozen=True)
class Faults:
    """Injected faults and optional checks of an engine.

    :param load_failure: share of loads that fail with an error response, from 0 to 1.
    :param false_load: share of loads that report success without loading the adapter,
        from 0 to 1.
    :param reports_idle: `/metrics` always reports an idle engine.
    :param fencing: reject load and unload requests with an outdated fencing number.
    :param seed: seed of the random generator that selects the failing loads.
    """

    load_failure: float = 0.0
    false_load: float = 0.0
    reports_idle: bool = False
    fencing: bool = False
    seed: int = 1


class EngineServer:
    """Handles the HTTP requests of one engine process.

    :param store: address of the weight store.
    :param ledger: records the requests and their execution.
    """

    def __init__(
        self,
        options: EngineOptions,
        faults: Faults,
        store: Endpoint,
        ledger: Ledger,
        clock: Clock,
    ) -> None:
        self._engine = Engine(options)
        self._faults = faults
        self._store = store
        self._ledger = ledger
        self._clock = clock
        self._random = random.Random(faults.seed)
        self._events = CacheEvents()
        self._started = clock.now().timestamp()
        self._highest_token = 0
        self._ready = asyncio.Event()
        self._progress: dict[Generation, asyncio.Event] = {}
        self._metrics = ""
        self._metrics_at = float("-inf")

    async def run(self) -> None:
        """Run engine steps until cancelled."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            while self._engine.busy:
                await asyncio.sleep(self._engine.compute_step_time())
                self._notify_progress(self._engine.step())

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        request = exchange.request
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._complete(exchange, chat=True)
            case "POST", "/v1/completions":
                await self._complete(exchange, chat=False)
            case "POST", "/v1/load_lora_adapter":
                await self._handle_adapter_request(exchange, self._load)
            case "POST", "/v1/unload_lora_adapter":
                await self._handle_adapter_request(exchange, self._unload)
            case "GET", "/v1/models":
                body = protocol.render_models(self._engine, int(self._started))
                await respond_json(exchange, 200, body)
            case "GET", "/health":
                await respond_text(exchange, 200, "")
            case "GET", "/metrics":
                await respond_text(exchange, 200, self._render_metrics())
            case "GET", "/standin/ledger":
                await respond_json(exchange, 200, self._ledger.encode())
            case "GET", "/standin/events":
                events = self._events.list_visible(self._clock.now().timestamp())
                await respond_json(exchange, 200, msgspec.json.encode(events))
            case _:
                body = protocol.render_error(404, "Not Found")
                await respond_json(exchange, 404, body)

    # Completions -------------------------------------------------------------

    async def _complete(self, exchange: Exchange, chat: bool) -> None:
        request_id = find_header(exchange.request.headers, "x-request-id") or ""
        try:
            completion = protocol.decode_completion(exchange.request.body, chat)
        except msgspec.MsgspecError as error:
            body = protocol.render_error(400, str(error))
            await respond_json(exchange, 400, body)
            return
        self._ledger.add(
            RecordKind.RECEIVED, request=request_id, asked=completion.model
        )
        try:
            served = self._engine.resolve(completion.model)
        except UnknownModelError:
            self._ledger.add(
                RecordKind.REFUSED, request=request_id, asked=completion.model
            )
            message = f"The model `{completion.model}` does not exist."
            await respond_json(exchange, 404, protocol.render_error(404, message))
            return
        generation = Generation(
            request_id,
            completion.model,
            served,
            completion.marker,
            completion.max_tokens,
            completion.priority,
        )
        await self._generate(exchange, completion, generation)

    async def _generate(
        self,
        exchange: Exchange,
        completion: protocol.Completion,
        generation: Generation,
    ) -> None:
        self._record(RecordKind.STARTED, generation)
        self._progress[generation] = asyncio.Event()
        self._engine.submit(generation)
        self._ready.set()
        watcher = asyncio.create_task(self._cancel_on_disconnect(exchange, generation))
        try:
            if completion.stream:
                await self._stream(exchange, completion, generation)
            else:
                await self._answer(exchange, completion, generation)
        except IbisheadError:
            self._cancel(generation)
            raise
        finally:
            watcher.cancel()
            del self._progress[generation]
        if generation.state is GenerationState.FINISHED:
            self._record(RecordKind.FINISHED, generation)
            now = self._clock.now().timestamp()
            self._events.add(now, generation.weights, generation.marker)

    async def _stream(
        self,
        exchange: Exchange,
        completion: protocol.Completion,
        generation: Generation,
    ) -> None:
        created = int(self._clock.now().timestamp())
        await exchange.start(200, (("content-type", "text/event-stream"),))
        sent = 0
        while sent < generation.max_tokens:
            await self._wait_for_progress(generation, sent)
            if generation.produced == sent:
                exchange.abort()
                return
            token = generation.render_token(sent)
            sent += 1
            last = sent == generation.max_tokens
            await exchange.send(
                protocol.render_chunk(generation, completion, token, created, last)
            )
        await exchange.send(protocol.DONE_EVENT)
        await exchange.finish()

    async def _answer(
        self,
        exchange: Exchange,
        completion: protocol.Completion,
        generation: Generation,
    ) -> None:
        while not generation.ended:
            await self._wait_for_progress(generation, generation.produced)
        if generation.state is not GenerationState.FINISHED:
            exchange.abort()
            return
        text = "".join(map(generation.render_token, range(generation.produced)))
        created = int(self._clock.now().timestamp())
        body = protocol.render_answer(generation, completion, text, created)
        await respond_json(exchange, 200, body)

    async def _wait_for_progress(self, generation: Generation, seen: int) -> None:
        progress = self._progress[generation]
        while generation.produced <= seen and not generation.ended:
            progress.clear()
            await progress.wait()

    async def _cancel_on_disconnect(
        self, exchange: Exchange, generation: Generation
    ) -> None:
        await exchange.disconnected.wait()
        self._cancel(generation)

    def _cancel(self, generation: Generation) -> None:
        if not generation.ended:
            self._engine.cancel(generation)
            self._record(RecordKind.CANCELLED, generation)
        self._notify_progress([generation])

    def _notify_progress(self, generations: list[Generation]) -> None:
        for generation in generations:
            progress = self._progress.get(generation)
            if progress is not None:
                progress.set()

    def _record(self, kind: RecordKind, generation: Generation) -> None:
        self._ledger.add(
            kind,
            request=generation.request_id,
            asked=generation.model,
            served=generation.weights,
            detail=f"{generation.produced}/{generation.max_tokens}",
        )

    # Adapters ----------------------------------------------------------------

    async def _handle_adapter_request(
        self, exchange: Exchange, command: Callable[[bytes], Awaitable[str]]
    ) -> None:
        try:
            self._check_fence(exchange)
            text = await command(exchange.request.body)
        except AdapterRequestError as error:
            self._ledger.add(RecordKind.ORDER_REFUSED, detail=str(error))
            body = protocol.render_error(error.status, str(error))
            await respond_json(exchange, error.status, body)
        except msgspec.MsgspecError as error:
            body = protocol.render_error(400, str(error))
            await respond_json(exchange, 400, body)
        else:
            await respond_text(exchange, 200, text)

    def _check_fence(self, exchange: Exchange) -> None:
        token = find_header(exchange.request.headers, "x-fencing-token")
        if not self._faults.fencing or token is None:
            return
        if not token.isdigit():
            raise AdapterRequestError(400, "X-Fencing-Token is not a number.")
        if int(token) < self._highest_token:
            raise AdapterRequestError(
                409, f"Fencing token {token} is older than {self._highest_token}."
            )
        self._highest_token = int(token)

    async def _load(self, body: bytes) -> str:
        command = msgspec.json.decode(body, type=protocol.LoadRequest)
        self._engine.begin_load(command.lora_name)
        try:
            weights = await self._fetch(command.lora_path)
        except AdapterRequestError as error:
            self._engine.cancel_load(command.lora_name)
            self._record_load(RecordKind.LOAD_FAILED, command, "", str(error))
            raise
        message = f"Success: LoRA adapter '{command.lora_name}' added successfully."
        if self._random.random() < self._faults.false_load:
            self._engine.cancel_load(command.lora_name)
            self._record_load(RecordKind.LOAD_FAILED, command, "", "false success")
            return message
        self._engine.finish_load(command.lora_name, weights)
        self._record_load(RecordKind.LOADED, command, weights, command.lora_path)
        return message

    async def _fetch(self, path: str) -> str:
        fails = self._random.random() < self._faults.load_failure
        weights_path = "/".join(path.rstrip("/").split("/")[-2:])
        try:
            connection = await ClientConnection.open(self._store)
            try:
                answer = await connection.ask("GET", f"/adapters/{weights_path}")
                weights = (await answer.read()).decode()
            finally:
                connection.close()
        except IbisheadError as error:
            raise AdapterRequestError(
                500, f"Loading lora {path} failed: {error}"
            ) from error
        if fails or answer.status != 200:
            raise AdapterRequestError(500, f"Loading lora {path} failed.")
        return weights

    async def _unload(self, body: bytes) -> str:
        command = msgspec.json.decode(body, type=protocol.UnloadRequest)
        aborted = self._engine.unload(command.lora_name)
        self._ledger.add(RecordKind.UNLOADED, asked=command.lora_name)
        for generation in aborted:
            self._record(RecordKind.VIOLATION, generation)
        self._notify_progress(aborted)
        return f"Success: LoRA adapter '{command.lora_name}' removed successfully."

    def _record_load(
        self, kind: RecordKind, command: protocol.LoadRequest, weights: str, detail: str
    ) -> None:
        self._ledger.add(kind, asked=command.lora_name, served=weights, detail=detail)

    # Metrics -----------------------------------------------------------------

    def _render_metrics(self) -> str:
        now = self._clock.monotonic()
        if now - self._metrics_at >= METRICS_CACHE_SECONDS:
            self._metrics_at = now
            self._metrics = protocol.render_metrics(
                self._engine,
                self._started,
                self._clock.now().timestamp(),
                self._faults.reports_idle,
            )
        return self._metrics
