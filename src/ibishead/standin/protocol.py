"""Request and response bodies of the HTTP API of an OpenAI-compatible engine."""

from dataclasses import dataclass
from typing import Any

import msgspec

from ibishead.standin.engine import Engine, Generation

__all__ = [
    "Completion",
    "DONE_EVENT",
    "LoadRequest",
    "UnloadRequest",
    "decode_completion",
    "render_answer",
    "render_chunk",
    "render_error",
    "render_metrics",
    "render_models",
]

#: Last event of a stream of server-sent events.
DONE_EVENT = b"data: [DONE]\n\n"

#: Token limit of requests that specify none.
DEFAULT_MAX_TOKENS = 16

#: Upper bound of the token limit, so that the work per request is bounded.
MAX_TOKENS = 100_000


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


class LoadRequest(msgspec.Struct):
    """Body of ``/v1/load_lora_adapter``."""

    lora_name: str
    lora_path: str


class UnloadRequest(msgspec.Struct):
    """Body of ``/v1/unload_lora_adapter``."""

    lora_name: str


@dataclass(frozen=True)
class Completion:
    """Decoded request for a chat or text completion.

    :param marker: last word of the prompt.
    :param prompt_words: number of words in the prompt.
    :param max_tokens: tokens to produce.
    :param chat: whether the request uses the chat API.
    """

    model: str
    marker: str
    prompt_words: int
    max_tokens: int
    stream: bool
    priority: int
    chat: bool


def decode_completion(body: bytes, chat: bool) -> Completion:
    """Decode the body of a completion request.

    :raises msgspec.DecodeError: the body is not a valid completion request.
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
        max(1, min(limit, MAX_TOKENS)),
        decoded.stream,
        decoded.priority,
        chat,
    )


def render_chunk(
    generation: Generation, completion: Completion, text: str, created: int, last: bool
) -> bytes:
    """Return one server-sent event of a streamed response."""
    choice: dict[str, Any] = {"index": 0}
    if completion.chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = "length" if last else None
    kind = "chat.completion.chunk" if completion.chat else "text_completion"
    chunk = _build_common_fields(generation, kind, created) | {"choices": [choice]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def render_answer(
    generation: Generation, completion: Completion, text: str, created: int
) -> bytes:
    """Return the body of a response that is not streamed."""
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
    common_fields = _build_common_fields(generation, kind, created)
    return msgspec.json.encode(common_fields | {"choices": [choice], "usage": usage})


def render_error(status: int, message: str) -> bytes:
    """Return the JSON body of an error response."""
    kind = "NotFoundError" if status == 404 else "BadRequestError"
    error = {"message": message, "type": kind, "param": None, "code": status}
    return msgspec.json.encode({"error": error})


def render_models(engine: Engine, created: int) -> bytes:
    """Return the list of the base model and the loaded adapters."""
    model = engine.options.model
    entries = [_build_model_entry(model, model, None, created)]
    for name, weights in engine.loaded.items():
        entries.append(_build_model_entry(name, weights, model, created))
    return msgspec.json.encode({"object": "list", "data": entries})


def render_metrics(engine: Engine, started: float, now: float, idle: bool) -> str:
    """Return the metrics in the Prometheus text format.

    :param started: POSIX time of the process start, in seconds.
    :param now: current POSIX time in seconds.
    :param idle: report an idle engine, whatever is running.
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


def _build_common_fields(
    generation: Generation, kind: str, created: int
) -> dict[str, Any]:
    prefix = "chatcmpl" if kind.startswith("chat") else "cmpl"
    return {
        "id": f"{prefix}-{generation.request_id}",
        "object": kind,
        "created": created,
        "model": generation.model,
    }


def _build_model_entry(
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
