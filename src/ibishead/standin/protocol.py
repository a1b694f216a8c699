"""The published protocol of an OpenAI-compatible engine: bodies in and out."""

from dataclasses import dataclass
from typing import Any

import msgspec

from ibishead.standin.engine import Engine, Generation

__all__ = [
    "Completion",
    "DONE_LINE",
    "LoadOrder",
    "UnloadOrder",
    "decode_completion",
    "render_answer",
    "render_chunk",
    "render_error",
    "render_metrics",
    "render_models",
]

#: Ends a stream of server-sent events.
DONE_LINE = b"data: [DONE]\n\n"

#: Tokens of an answer whose request names no limit.
DEFAULT_MAX_TOKENS = 16

#: More than this is cut, so that a stand-in's work is bounded.
MOST_TOKENS = 100_000


class _ChatMessage(msgspec.Struct):
    role: str
    content: Any = ""


class _CompletionBody(msgspec.Struct):
    model: str
    messages: list[_ChatMessage] | None = None
    prompt: Any = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    priority: int = 0


class LoadOrder(msgspec.Struct):
    """Body of ``/v1/load_lora_adapter``."""

    lora_name: str
    lora_path: str


class UnloadOrder(msgspec.Struct):
    """Body of ``/v1/unload_lora_adapter``."""

    lora_name: str


@dataclass(frozen=True)
class Completion:
    """What a chat or text completion asks for.

    :param word: the last word of the prompt.
    :param prompt_words: length of the prompt.
    """

    model: str
    word: str
    prompt_words: int
    max_tokens: int
    stream: bool
    priority: int
    chat: bool


def decode_completion(body: bytes, chat: bool) -> Completion:
    """Return what a request's body asks for.

    :raises msgspec.DecodeError: the body is of another shape.
    """
    decoded = msgspec.json.decode(body, type=_CompletionBody)
    if chat:
        prompt = " ".join(str(m.content) for m in decoded.messages or [])
    else:
        prompt = str(decoded.prompt or "")
    words = prompt.split()
    limit = decoded.max_tokens or decoded.max_completion_tokens or DEFAULT_MAX_TOKENS
    return Completion(
        decoded.model,
        words[-1] if words else "empty",
        len(words),
        max(1, min(limit, MOST_TOKENS)),
        decoded.stream,
        decoded.priority,
        chat,
    )


def render_chunk(
    generation: Generation, completion: Completion, text: str, created: int, last: bool
) -> bytes:
    """Return one server-sent event of a stream."""
    choice: dict[str, Any] = {"index": 0}
    if completion.chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = "length" if last else None
    kind = "chat.completion.chunk" if completion.chat else "text_completion"
    chunk = _render_head(generation, kind, created) | {"choices": [choice]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def render_answer(
    generation: Generation, completion: Completion, text: str, created: int
) -> bytes:
    """Return the body of an answer that isn't streamed."""
    choice: dict[str, Any] = {"index": 0}
    if completion.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = "length"
    usage = {
        "prompt_tokens": completion.prompt_words,
        "completion_tokens": generation.produced,
        "total_tokens": completion.prompt_words + generation.produced,
    }
    kind = "chat.completion" if completion.chat else "text_completion"
    head = _render_head(generation, kind, created)
    return msgspec.json.encode(head | {"choices": [choice], "usage": usage})


def render_error(status: int, message: str) -> bytes:
    """Return an error's JSON body."""
    kind = "NotFoundError" if status == 404 else "BadRequestError"
    error = {"message": message, "type": kind, "param": None, "code": status}
    return msgspec.json.encode({"error": error})


def render_models(engine: Engine, created: int) -> bytes:
    """Return the base model and the loaded adapters."""
    model = engine.options.model
    cards = [_render_card(model, model, None, created)]
    for name, weights in engine.loaded.items():
        cards.append(_render_card(name, weights, model, created))
    return msgspec.json.encode({"object": "list", "data": cards})


def render_metrics(engine: Engine, started: float, now: float, idle: bool) -> str:
    """Return metrics as Prometheus text.

    :param started: POSIX seconds of the process's start.
    :param idle: pretend that nothing runs.
    """
    label = f'{{model_name="{engine.options.model}"}}'
    running, waiting = (0, 0) if idle else (engine.running, engine.waiting)
    busy = "" if idle else ",".join(engine.running_adapters)
    queued = "" if idle else ",".join(engine.waiting_adapters)
    lora = (
        f'max_lora="{engine.options.slots}",running_lora_adapters="{busy}"'
        f',waiting_lora_adapters="{queued}"'
    )
    return (
        f"process_start_time_seconds {started:.6f}\n"
        f"vllm:num_requests_running{label} {running}\n"
        f"vllm:num_requests_waiting{label} {waiting}\n"
        f"vllm:lora_requests_info{{{lora}}} {now:.6f}\n"
    )


def _render_head(generation: Generation, kind: str, created: int) -> dict[str, Any]:
    prefix = "chatcmpl" if kind.startswith("chat") else "cmpl"
    return {
        "id": f"{prefix}-{generation.request}",
        "object": kind,
        "created": created,
        "model": generation.asked,
    }


def _render_card(
    name: str, root: str, parent: str | None, created: int
) -> dict[str, Any]:
    return {
        "id": name,
        "object": "model",
        "created": created,
        "owned_by": "ibishead-standin",
        "root": root,
        "parent": parent,
    }
