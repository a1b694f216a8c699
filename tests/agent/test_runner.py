"""An answer is delivered only if it names the requested adapter and version."""

import contextlib

import msgspec
import pytest
from tests.agent.test_gate import DISPATCH

from ibishead.agent.attempts import Attempt
from ibishead.agent.runner import RunEnd, run_attempt
from ibishead.agent.slots import AdapterKey
from ibishead.agent.target import TargetRestarted
from ibishead.errors import LinkLost
from ibishead.headers import Headers
from ibishead.ids import BootId, TargetId
from ibishead.messages import AnswerBody
from ibishead.webclient import ClientAnswer

CHUNKS = (("transfer-encoding", "chunked"),)
JSON = "application/json"
EVENTS = "text/event-stream"
ADAPTER = AdapterKey(DISPATCH.adapter, DISPATCH.version)


class FixedAnswerTarget:
    """A target that gives the same answer to every request."""

    def __init__(
        self, status: int, kind: str, *pieces: bytes, framing: Headers = CHUNKS
    ) -> None:
        self._status = status
        self._framing = framing
        self._kind = kind
        self._pieces = pieces
        self.listed: list[AdapterKey] | Exception = []

    @contextlib.asynccontextmanager
    async def acquire_connection(self, boot, fresh=False):
        yield self

    async def list_adapters(self, boot):
        if isinstance(self.listed, Exception):
            raise self.listed
        return self.listed

    async def ask(self, method, path, headers=(), body=b""):
        async def chunks():
            for piece in self._pieces:
                yield piece

        return ClientAnswer(
            self._status, (("content-type", self._kind), *self._framing), chunks()
        )


def make_answer(model: str) -> bytes:
    return msgspec.json.encode({"model": model, "text": "plan"})


def make_event(model: str) -> bytes:
    return b"data: " + make_answer(model) + b"\n\n"


async def run(
    target: FixedAnswerTarget, idempotent: bool = True
) -> tuple[RunEnd, bytes]:
    dispatch = msgspec.structs.replace(DISPATCH, idempotent=idempotent)
    attempt = Attempt(dispatch, 0.0, ADAPTER)
    waited = (0.0, 0.0)
    end = await run_attempt(attempt, target, BootId("1"), waited, TargetId("t1"))
    frames = attempt.buffer.list_from(0)
    return end, b"".join(f.data for f in frames if isinstance(f, AnswerBody))


@pytest.mark.parametrize(
    ("status", "kind", "pieces", "expected"),
    [
        (200, JSON, [make_answer("tisza@1")], RunEnd.COMPLETED),
        (200, EVENTS, [make_event("tisza@1"), b"data: [DONE]\n\n"], RunEnd.COMPLETED),
        (
            200,
            EVENTS,
            [make_event("tisza@1")[:9], make_event("tisza@1")[9:]],
            RunEnd.COMPLETED,
        ),
        (400, JSON, [b'{"error": "bad"}'], RunEnd.COMPLETED),
        (404, JSON, [b"{}"], RunEnd.ADAPTER_MISSING),
        (500, JSON, [b"{}"], RunEnd.FAILED),
    ],
)
async def test_run_end_follows_from_the_answer(status, kind, pieces, expected):
    end, body = await run(FixedAnswerTarget(status, kind, *pieces))
    assert end is expected
    assert body == (b"".join(pieces) if expected is RunEnd.COMPLETED else b"")


@pytest.mark.parametrize(
    ("listed", "idempotent", "expected"),
    [
        ([], False, RunEnd.ADAPTER_MISSING),
        ([ADAPTER], False, RunEnd.UNCONFIRMED),
        (LinkLost("lost", "retry"), False, RunEnd.UNCONFIRMED),
        (TargetRestarted("restarted", "load again"), False, RunEnd.UNCONFIRMED),
        ([ADAPTER], True, RunEnd.ADAPTER_MISSING),
    ],
)
async def test_a_missing_adapter_is_confirmed_by_the_list(listed, idempotent, expected):
    """An answer of another request let a request that may run once run twice."""
    target = FixedAnswerTarget(404, JSON, b"{}")
    target.listed = listed
    assert (await run(target, idempotent))[0] is expected


@pytest.mark.parametrize("model", ["base", "tisza@2", "balaton@1", ""])
@pytest.mark.parametrize("kind", [JSON, EVENTS])
async def test_answer_of_another_model_is_not_delivered(kind, model):
    """Guards against answers of an engine that lost an adapter.

    It serves the base model, or another version, instead.
    """
    piece = make_answer(model) if kind == JSON else make_event(model)
    end, body = await run(FixedAnswerTarget(200, kind, piece))
    assert end is RunEnd.WRONG_MODEL
    assert body == b""


async def test_stream_without_a_complete_first_event_fails():
    with pytest.raises(LinkLost):
        await run(FixedAnswerTarget(200, EVENTS, b"data: half"))


@pytest.mark.parametrize(
    ("kind", "pieces"),
    [
        (EVENTS, [make_event("tisza@1"), make_event("tisza@1")[:9]]),
        (EVENTS, [make_event("tisza@1")]),
        (JSON, [make_answer("tisza@1")[:9]]),
    ],
)
async def test_an_unframed_answer_that_is_cut_off_is_not_complete(kind, pieces):
    with pytest.raises(LinkLost):
        await run(FixedAnswerTarget(200, kind, *pieces, framing=()))


@pytest.mark.parametrize(
    ("kind", "pieces"),
    [
        (EVENTS, [make_event("tisza@1"), b"data: [DONE]\n\n"]),
        (JSON, [make_answer("tisza@1")]),
    ],
)
async def test_a_whole_answer_without_framing_is_complete(kind, pieces):
    end, body = await run(FixedAnswerTarget(200, kind, *pieces, framing=()))
    assert end is RunEnd.COMPLETED
    assert body == b"".join(pieces)
