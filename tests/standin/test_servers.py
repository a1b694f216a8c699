"""Tests of the stand-ins' HTTP interfaces and ledgers."""

import asyncio
import contextlib

import msgspec
import pytest

from ibishead.clock import SystemClock
from ibishead.errors import LinkLost
from ibishead.links import Endpoint
from ibishead.standin.engine import EngineOptions
from ibishead.standin.engine_server import EngineServer, Faults
from ibishead.standin.ledger import Ledger, RecordKind, read_ledger_file
from ibishead.standin.plain import PlainService
from ibishead.standin.store import Store, StoreOptions
from ibishead.web import WebServer
from ibishead.webclient import ClientConnection

LOOPBACK = Endpoint("127.0.0.1", 0)
CLOCK = SystemClock()


@contextlib.asynccontextmanager
async def serve(handler):
    server = WebServer(handler)
    try:
        yield await server.start(LOOPBACK)
    finally:
        await server.stop(grace=1.0)


@contextlib.asynccontextmanager
async def run_engine(faults=None, **options):
    ledger = Ledger(CLOCK)
    store = Store(StoreOptions(load_time=0.0), Ledger(CLOCK), CLOCK)
    async with serve(store.handle) as store_endpoint:
        engine = EngineServer(
            EngineOptions(token_time=0.001, **options),
            faults or Faults(),
            store_endpoint,
            ledger,
            CLOCK,
        )
        engine_task = asyncio.create_task(engine.run())
        async with serve(engine.handle) as endpoint:
            yield endpoint, ledger
        engine_task.cancel()


async def ask(endpoint, method, path, body=None, headers=()):
    connection = await ClientConnection.open(endpoint)
    try:
        encoded = b"" if body is None else msgspec.json.encode(body)
        answer = await connection.ask(method, path, headers, encoded)
        return answer.status, (await answer.read()).decode()
    finally:
        connection.close()


async def load(endpoint, name="cod@v1", token=None):
    body = {"lora_name": name, "lora_path": f"store:/{name.replace('@', '/')}"}
    headers = () if token is None else (("x-fencing-token", str(token)),)
    return await ask(endpoint, "POST", "/v1/load_lora_adapter", body, headers)


def chat(model, tokens=2, **more):
    message = {"role": "user", "content": "mend the net"}
    return {"model": model, "messages": [message], "max_tokens": tokens, **more}


async def test_engine_loads_adapters_and_completes_requests():
    async with run_engine() as (engine, ledger):
        assert (await load(engine))[0] == 200
        assert (await load(engine))[0] == 400
        path = "/v1/chat/completions"
        _, text = await ask(engine, "POST", path, chat("cod@v1"))
        content = msgspec.json.decode(text)["choices"][0]["message"]["content"]
        assert content == "cod@v1:net:0 cod@v1:net:1 "
        _, text = await ask(engine, "POST", path, chat("cod@v1", stream=True))
        lines = text.split("\n\n")
        assert [line[:6] for line in lines[:-1]] == ["data: "] * 3
        assert lines[-2] == "data: [DONE]"
        _, text = await ask(engine, "GET", "/v1/models")
        assert '"id":"cod@v1"' in text
        assert (await ask(engine, "POST", path, chat("cod@v2")))[0] == 404
        _, text = await ask(engine, "GET", "/metrics")
        assert "process_start_time_seconds" in text
        assert ledger.count(RecordKind.FINISHED) == 2
        assert ledger.count(RecordKind.VIOLATION) == 0


@pytest.mark.parametrize(
    ("faults", "status", "served"),
    [
        (Faults(load_failure=1.0), 500, "base:net:0 "),
        (Faults(false_load=1.0), 200, "base:net:0 "),
    ],
)
async def test_base_model_serves_requests_after_failed_load(faults, status, served):
    async with run_engine(faults, ignores_unknown_adapter=True) as (engine, _):
        assert (await load(engine))[0] == status
        body = {"model": "cod@v1", "prompt": "net", "max_tokens": 1}
        _, text = await ask(engine, "POST", "/v1/completions", body)
        assert msgspec.json.decode(text)["choices"][0]["text"] == served


@pytest.mark.parametrize(("fencing", "status"), [(True, 409), (False, 200)])
async def test_fencing(fencing, status):
    async with run_engine(Faults(fencing=fencing)) as (engine, _):
        assert (await load(engine, "a@1", token=7))[0] == 200
        assert (await load(engine, "b@1", token=6))[0] == status


async def test_unload_during_a_request_is_a_violation():
    async with run_engine() as (engine, ledger):
        await load(engine)
        body = chat("cod@v1", tokens=100_000)
        pending = asyncio.create_task(ask(engine, "POST", "/v1/chat/completions", body))
        while not ledger.count(RecordKind.STARTED):
            await asyncio.sleep(0)
        unload = {"lora_name": "cod@v1"}
        await ask(engine, "POST", "/v1/unload_lora_adapter", unload)
        with pytest.raises(LinkLost):
            await pending
        assert ledger.count(RecordKind.VIOLATION) == 1


async def test_disconnect_cancels_the_request():
    async with run_engine() as (engine, ledger):
        connection = await ClientConnection.open(engine)
        body = msgspec.json.encode(chat("base-model", tokens=100_000, stream=True))
        answer = await connection.ask("POST", "/v1/chat/completions", (), body)
        await anext(answer.chunks)
        connection.close()
        while not ledger.count(RecordKind.CANCELLED):
            await asyncio.sleep(0.001)


async def test_ledger_file_counts_executions_across_restarts(tmp_path):
    file = tmp_path / "ledger"
    for _ in range(2):
        plain = PlainService("raktar", 0.0, Ledger(CLOCK, file), 0.0)
        async with serve(plain.handle) as endpoint:
            headers = (("idempotency-key", "k"), ("x-request-id", "r"))
            for execution in (1, 2):
                _, text = await ask(endpoint, "PUT", "/issue?n=1", {}, headers)
                echo = msgspec.json.decode(text)
                assert (echo["method"], echo["execution"]) == ("PUT", execution)
    kinds = [record.kind for record in read_ledger_file(file)]
    assert kinds.count(RecordKind.STARTED) == 4
