"""Runs one attempt at the target and owes its answer in frames.

What raises before the request's bytes are written has not run. From then on only
the target's own answer ends the doubt.
"""

from collections.abc import AsyncIterator
from enum import Enum

import msgspec

from ibishead.agent.attempts import Attempt
from ibishead.agent.slots import make_lora_name
from ibishead.agent.streamtail import StreamTail
from ibishead.agent.target import TargetClient
from ibishead.errors import ErrorCode, LinkLost
from ibishead.headers import drop_hop_by_hop, find_header
from ibishead.ids import BootId, TargetId
from ibishead.webclient import ClientAnswer

__all__ = ["RunEnd", "run_attempt"]

#: Largest answer that is held back until it is whole and checked.
MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024

#: Bytes in which the first event of a stream must come.
MAX_FIRST_EVENT_BYTES = 64 * 1024

_MODEL_NOT_FOUND = 404
_SERVER_ERROR = 500


class RunEnd(Enum):
    """How a run ended, as far as the target shows."""

    COMPLETED = "completed"
    ADAPTER_MISSING = "adapter missing"
    WRONG_MODEL = "wrong model"
    FAILED = "failed"


class _ModelField(msgspec.Struct):
    model: str = ""


async def run_attempt(
    attempt: Attempt,
    client: TargetClient,
    boot: BootId | None,
    waited: tuple[float, float],
    target: TargetId,
) -> RunEnd:
    """Give the request to the target and owe all of its answer but the end.

    :param boot: in which the adapter is pinned, none for a plain service.
    :param waited: seconds in the queue, and seconds for the adapter.
    :raises TargetRestarted: nothing was sent.
    :raises LinkLost: once ``attempt.sent`` is set, the request may have run.
    """
    dispatch = attempt.dispatch
    async with client.borrow(boot, fresh=not dispatch.idempotent) as connection:
        headers = (*dispatch.headers, ("x-request-id", dispatch.request))
        attempt.sent = True
        answer = await connection.ask(
            dispatch.method, dispatch.path, headers, dispatch.body
        )
        if boot is None:
            return await _relay_plain(attempt, answer, waited, target)
        if answer.status == _MODEL_NOT_FOUND:
            await answer.read()
            return RunEnd.ADAPTER_MISSING
        if answer.status >= _SERVER_ERROR:
            await answer.read()
            return RunEnd.FAILED
        return await _relay_model(attempt, answer, waited, target)


async def _relay_plain(
    attempt: Attempt,
    answer: ClientAnswer,
    waited: tuple[float, float],
    target: TargetId,
) -> RunEnd:
    attempt.emit_head(answer.status, drop_hop_by_hop(answer.headers), target, waited)
    await _relay_rest(attempt, answer.chunks)
    return RunEnd.COMPLETED


async def _relay_model(
    attempt: Attempt,
    answer: ClientAnswer,
    waited: tuple[float, float],
    target: TargetId,
) -> RunEnd:
    content_type = find_header(answer.headers, "content-type") or ""
    streamed = content_type.startswith("text/event-stream")
    if streamed:
        attempt.tail = StreamTail()
        first = await _read_first_event(answer)
        payload = first.partition(b"data:")[2].split(b"\n", 1)[0].strip()
    else:
        first = await _read_whole(answer)
        payload = first
    # The engine names the model that made the answer. An answer of another one
    # must not reach a caller who asked for this adapter and version.
    if answer.status == 200 and not _matches_adapter(attempt, payload):
        return RunEnd.WRONG_MODEL
    attempt.emit_head(answer.status, drop_hop_by_hop(answer.headers), target, waited)
    attempt.emit_body(first)
    if streamed:
        await _relay_rest(attempt, answer.chunks)
    return RunEnd.COMPLETED


async def _relay_rest(attempt: Attempt, chunks: AsyncIterator[bytes]) -> None:
    async for chunk in chunks:
        attempt.emit_body(chunk)
        await attempt.wait_for_buffer_space()


async def _read_first_event(answer: ClientAnswer) -> bytes:
    first = b""
    async for chunk in answer.chunks:
        first += chunk
        if b"\n\n" in first:
            return first
        if len(first) > MAX_FIRST_EVENT_BYTES:
            break
    raise LinkLost(
        "the engine's stream began with no event",
        "check the engine's log",
        code=ErrorCode.TARGET_FAILED,
    )


async def _read_whole(answer: ClientAnswer) -> bytes:
    pieces: list[bytes] = []
    size = 0
    async for chunk in answer.chunks:
        pieces.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_ANSWER_BYTES:
            raise LinkLost(
                f"the engine's answer exceeds {MAX_BUFFERED_ANSWER_BYTES} bytes",
                "ask for a stream",
                code=ErrorCode.TARGET_FAILED,
            )
    return b"".join(pieces)


def _matches_adapter(attempt: Attempt, payload: bytes) -> bool:
    if attempt.adapter is None:
        return True
    try:
        answer = msgspec.json.decode(payload, type=_ModelField)
    except msgspec.DecodeError:
        return False
    return answer.model == make_lora_name(attempt.adapter)
