"""Execution of one attempt at the target, and delivery of its answer in frames.

A request that fails before its bytes are written has not run. After that, only the
target's own answer shows whether it has run.
"""

import logging
from collections.abc import AsyncIterator
from enum import Enum

import msgspec

from ibishead.agent.attempts import Attempt
from ibishead.agent.slots import make_lora_name
from ibishead.agent.streamtail import StreamTail
from ibishead.agent.target import TargetClient
from ibishead.errors import ErrorCode, LinkLost
from ibishead.headers import (
    BodyFraming,
    drop_hop_by_hop,
    find_body_framing,
    find_header,
)
from ibishead.ids import BootId, TargetId
from ibishead.webclient import ClientAnswer

__all__ = ["RunEnd", "run_attempt"]

logger = logging.getLogger(__name__)

#: Largest answer, in bytes, that is buffered in full so that its model can be checked
#: before it is delivered.
MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024

#: Maximum size of the first event of a stream, in bytes.
MAX_FIRST_EVENT_BYTES = 64 * 1024

_MODEL_NOT_FOUND = 404
_SERVER_ERROR = 500


class RunEnd(Enum):
    """How a run ended, as far as the target's answer shows."""

    COMPLETED = "completed"
    ADAPTER_MISSING = "adapter missing"
    UNCONFIRMED = "adapter called missing, not confirmed"
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
    """Send the request to the target and emit all frames of its answer but the last.

    :param attempt: attempt to run.
    :param client: client of the target.
    :param boot: boot of the target in which the adapter is pinned, none for a plain
        service.
    :param waited: seconds in the queue, and seconds until the adapter was resident.
    :param target: id of the target, for the head frame.
    :returns: how the run ended.
    :raises TargetRestarted: the target is in another boot; nothing was sent.
    :raises LinkLost: the connection failed; if ``attempt.sent`` is set, the request may
        have run.
    """
    dispatch = attempt.dispatch
    async with client.acquire_connection(
        boot, fresh=not dispatch.idempotent
    ) as connection:
        headers = (*dispatch.headers, ("x-request-id", dispatch.request))
        attempt.sent = True
        answer = await connection.ask(
            dispatch.method, dispatch.path, headers, dispatch.body
        )
        attempt.on_head(answer.status, answer.headers)
        if boot is None:
            return await _relay_plain(attempt, answer, waited, target)
        if answer.status == _MODEL_NOT_FOUND:
            await answer.discard()
            return await _check_missing(attempt, client, boot)
        if answer.status >= _SERVER_ERROR:
            await answer.discard()
            return RunEnd.FAILED
        return await _relay_model(attempt, answer, waited, target)


async def _check_missing(
    attempt: Attempt, client: TargetClient, boot: BootId
) -> RunEnd:
    """Return how a run ended whose answer states that its adapter is missing.

    The answer names no request, so it may belong to another one. A request that must
    not run twice is only queued again if the engine doesn't list the adapter.
    """
    if attempt.dispatch.idempotent or attempt.adapter is None:
        return RunEnd.ADAPTER_MISSING
    try:
        listed = attempt.adapter in await client.list_adapters(boot)
    except LinkLost as error:
        logger.info(
            "missing adapter not confirmed",
            extra={"request": attempt.dispatch.request, "reason": error.message},
        )
        return RunEnd.UNCONFIRMED
    if listed:
        logger.warning(
            "engine lists the adapter that its answer calls missing",
            extra={"request": attempt.dispatch.request},
        )
        return RunEnd.UNCONFIRMED
    return RunEnd.ADAPTER_MISSING


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
    unframed = find_body_framing(answer.headers) is BodyFraming.CONNECTION
    if streamed:
        attempt.tail = StreamTail()
        first = await _read_first_event(answer)
        payload = first.partition(b"data:")[2].split(b"\n", 1)[0].strip()
    else:
        first = await _read_whole(answer)
        payload = first
        if unframed and content_type.startswith("application/json"):
            _check_json(payload)
    # The engine names the model that produced the answer. An answer of another model
    # must not reach a caller who requested this adapter and version.
    if answer.status == 200 and not _matches_adapter(attempt, payload):
        return RunEnd.WRONG_MODEL
    attempt.emit_head(answer.status, drop_hop_by_hop(answer.headers), target, waited)
    attempt.emit_body(first)
    if streamed:
        await _relay_rest(attempt, answer.chunks)
        if unframed and not attempt.finish_stream():
            raise _make_cut_error()
    return RunEnd.COMPLETED


async def _relay_rest(attempt: Attempt, chunks: AsyncIterator[bytes]) -> None:
    async for chunk in chunks:
        attempt.emit_body(chunk)
        await attempt.wait_for_buffer_space()


async def _read_first_event(answer: ClientAnswer) -> bytes:
    first = bytearray()
    async for chunk in answer.chunks:
        start = max(0, len(first) - 1)
        first += chunk
        if b"\n\n" in first[start:]:
            return bytes(first)
        if len(first) > MAX_FIRST_EVENT_BYTES:
            break
    raise LinkLost(
        "the engine's stream has no complete first event",
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
                "request a stream",
                code=ErrorCode.TARGET_FAILED,
            )
    return b"".join(pieces)


def _check_json(payload: bytes) -> None:
    """Check that an answer that ended with its connection is complete.

    :raises LinkLost: it isn't.
    """
    try:
        msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise _make_cut_error() from error


def _make_cut_error() -> LinkLost:
    return LinkLost(
        "the engine's answer ended with its connection before it was complete",
        "check the engine's log",
        code=ErrorCode.TARGET_FAILED,
    )


def _matches_adapter(attempt: Attempt, payload: bytes) -> bool:
    if attempt.adapter is None:
        return True
    try:
        answer = msgspec.json.decode(payload, type=_ModelField)
    except msgspec.DecodeError:
        return False
    return answer.model == make_lora_name(attempt.adapter)
