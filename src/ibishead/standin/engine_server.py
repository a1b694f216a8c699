"""Stand-in for an OpenAI-compatible engine with dynamic LoRA adapters, over HTTP."""

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
    Engine,
    EngineOptions,
    Generation,
    GenerationState,
    OrderError,
    UnknownModelError,
)
from ibishead.standin.events import CacheEvents
from ibishead.standin.ledger import Ledger, RecordKind
from ibishead.standin.process import respond_json, respond_text
from ibishead.web import Exchange
from ibishead.webclient import ClientConnection

__all__ = ["EngineServer", "Faults"]

#: Seconds for which `/metrics` repeats what it showed before.
REPORT_LAG = 0.25


@dataclass(frozen=True)
class Faults:
    """How this engine fails.

    :param load_failure: share of loads that are answered with an error.
    :param false_load: share of loads that are answered as done and aren't.
    :param lies_about_load: `/metrics` always shows an idle engine.
    :param fencing: orders with an old fencing number are refused.
    """

    load_failure: float = 0.0
    false_load: float = 0.0
    lies_about_load: bool = False
    fencing: bool = False
    seed: int = 1


class EngineServer:
    """One engine process.

    :param store: where weights come from.
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
        self._fence = 0
        self._ready = asyncio.Event()
        self._progress: dict[Generation, asyncio.Event] = {}
        self._metrics = ""
        self._metrics_at = float("-inf")

    async def run(self) -> None:
        """Step the engine for ever."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            while self._engine.busy:
                await asyncio.sleep(self._engine.compute_step_time())
                self._wake(self._engine.step())

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._complete(exchange, chat=True)
            case "POST", "/v1/completions":
                await self._complete(exchange, chat=False)
            case "POST", "/v1/load_lora_adapter":
                await self._obey(exchange, self._load)
            case "POST", "/v1/unload_lora_adapter":
                await self._obey(exchange, self._unload)
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
        number = find_header(exchange.request.headers, "x-request-id") or ""
        try:
            completion = protocol.decode_completion(exchange.request.body, chat)
        except msgspec.MsgspecError as error:
            body = protocol.render_error(400, str(error))
            await respond_json(exchange, 400, body)
            return
        self._ledger.add(RecordKind.RECEIVED, request=number, asked=completion.model)
        try:
            served = self._engine.resolve(completion.model)
        except UnknownModelError:
            self._ledger.add(RecordKind.REFUSED, request=number, asked=completion.model)
            message = f"The model `{completion.model}` does not exist."
            await respond_json(exchange, 404, protocol.render_error(404, message))
            return
        generation = Generation(
            number,
            completion.model,
            served,
            completion.word,
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
        self._note(RecordKind.STARTED, generation)
        self._progress[generation] = asyncio.Event()
        self._engine.submit(generation)
        self._ready.set()
        watch = asyncio.create_task(self._cancel_when_gone(exchange, generation))
        try:
            if completion.stream:
                await self._stream(exchange, completion, generation)
            else:
                await self._answer(exchange, completion, generation)
        except IbisheadError:
            self._cancel(generation)
            raise
        finally:
            watch.cancel()
            del self._progress[generation]
        if generation.state is GenerationState.FINISHED:
            self._note(RecordKind.FINISHED, generation)
            now = self._clock.now().timestamp()
            self._events.add(now, generation.served, generation.word)

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
        await exchange.send(protocol.DONE_LINE)
        await exchange.finish()

    async def _answer(
        self,
        exchange: Exchange,
        completion: protocol.Completion,
        generation: Generation,
    ) -> None:
        while not generation.over:
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
        while generation.produced <= seen and not generation.over:
            progress.clear()
            await progress.wait()

    async def _cancel_when_gone(
        self, exchange: Exchange, generation: Generation
    ) -> None:
        await exchange.disconnected.wait()
        self._cancel(generation)

    def _cancel(self, generation: Generation) -> None:
        if not generation.over:
            self._engine.cancel(generation)
            self._note(RecordKind.CANCELLED, generation)
        self._wake([generation])

    def _wake(self, generations: list[Generation]) -> None:
        for generation in generations:
            progress = self._progress.get(generation)
            if progress is not None:
                progress.set()

    def _note(self, kind: RecordKind, generation: Generation) -> None:
        self._ledger.add(
            kind,
            request=generation.request,
            asked=generation.asked,
            served=generation.served,
            detail=f"{generation.produced}/{generation.max_tokens}",
        )

    # Orders ------------------------------------------------------------------

    async def _obey(
        self, exchange: Exchange, order: Callable[[bytes], Awaitable[str]]
    ) -> None:
        try:
            self._check_fence(exchange)
            text = await order(exchange.request.body)
        except OrderError as error:
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
            raise OrderError(400, "X-Fencing-Token is no number.")
        if int(token) < self._fence:
            raise OrderError(409, f"Fencing token {token} is older than {self._fence}.")
        self._fence = int(token)

    async def _load(self, body: bytes) -> str:
        order = msgspec.json.decode(body, type=protocol.LoadOrder)
        self._engine.begin_load(order.lora_name)
        try:
            weights = await self._fetch(order.lora_path)
        except OrderError as error:
            self._engine.abandon_load(order.lora_name)
            self._note_load(RecordKind.LOAD_FAILED, order, "", str(error))
            raise
        done = f"Success: LoRA adapter '{order.lora_name}' added successfully."
        if self._random.random() < self._faults.false_load:
            self._engine.abandon_load(order.lora_name)
            self._note_load(RecordKind.LOAD_FAILED, order, "", "false success")
            return done
        self._engine.finish_load(order.lora_name, weights)
        self._note_load(RecordKind.LOADED, order, weights, order.lora_path)
        return done

    async def _fetch(self, path: str) -> str:
        fails = self._random.random() < self._faults.load_failure
        source = "/".join(path.rstrip("/").split("/")[-2:])
        try:
            connection = await ClientConnection.open(self._store)
            try:
                answer = await connection.ask("GET", f"/adapters/{source}")
                weights = (await answer.read()).decode()
            finally:
                connection.close()
        except IbisheadError as error:
            raise OrderError(500, f"Loading lora {path} failed: {error}") from error
        if fails or answer.status != 200:
            raise OrderError(500, f"Loading lora {path} failed.")
        return weights

    async def _unload(self, body: bytes) -> str:
        order = msgspec.json.decode(body, type=protocol.UnloadOrder)
        harmed = self._engine.unload(order.lora_name)
        self._ledger.add(RecordKind.UNLOADED, asked=order.lora_name)
        for generation in harmed:
            self._note(RecordKind.VIOLATION, generation)
        self._wake(harmed)
        return f"Success: LoRA adapter '{order.lora_name}' removed successfully."

    def _note_load(
        self, kind: RecordKind, order: protocol.LoadOrder, weights: str, detail: str
    ) -> None:
        self._ledger.add(kind, asked=order.lora_name, served=weights, detail=detail)

    # Reports -----------------------------------------------------------------

    def _render_metrics(self) -> str:
        now = self._clock.monotonic()
        if now - self._metrics_at >= REPORT_LAG:
            self._metrics_at = now
            self._metrics = protocol.render_metrics(
                self._engine,
                self._started,
                self._clock.now().timestamp(),
                self._faults.lies_about_load,
            )
        return self._metrics
