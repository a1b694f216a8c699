"""Tests that invalid input gets a defined HTTP response and doesn't stop the server."""

import asyncio
import contextlib

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibishead.entry.call import Call, parse_call
from ibishead.errors import IbisheadError
from ibishead.links import Endpoint
from ibishead.web import Limits, WebRequest, WebServer

LIMITS = Limits(
    header_bytes=2048,
    body_bytes=200,
    header_seconds=5.0,
    body_seconds=5.0,
    idle_seconds=5.0,
)
REQUEST = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED_REQUEST = (
    b"POST /echo HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n"
)
REQUEST_WITHOUT_BODY = b"GET /echo?q=1 HTTP/1.1\r\nhost: x\r\n\r\n"
#: Statuses allowed for arbitrary input; 500 would indicate a fault of the program.
ALLOWED_STATUSES = {200, 400, 408, 413, 431, 505}


async def echo(exchange):
    await exchange.respond(200, (), exchange.request.body)


class SharedServer:
    """A server for all examples, with a separate connection for each example."""

    def __init__(self, runner):
        self.runner = runner
        self.server = WebServer(echo, LIMITS)
        self.endpoint = runner.run(self.server.start(Endpoint("127.0.0.1", 0)))

    def send(self, data, split=0):
        return self.runner.run(self._send(data, split))

    def stop(self):
        self.runner.run(self.server.stop(grace=0.0))

    async def _send(self, data, split):
        reader, writer = await asyncio.open_connection(
            self.endpoint.address, self.endpoint.port
        )
        received = b""
        # The server may close the connection before all data is sent
        with contextlib.suppress(ConnectionError):
            for part in (data[:split], data[split:]):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            writer.write_eof()
            received = await reader.read()
        writer.close()
        while self.server.connection_count:
            await asyncio.sleep(0)
        return received


@pytest.fixture(scope="module")
def shared_server():
    with asyncio.Runner() as runner:
        shared_server = SharedServer(runner)
        yield shared_server
        shared_server.stop()


def read_statuses(received):
    """Return the statuses of the responses, and fail if one is incomplete."""
    statuses = []
    while received:
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        state.send(h11.EndOfMessage())
        state.receive_data(received)
        head = state.next_event()
        assert isinstance(head, h11.Response)
        statuses.append(head.status_code)
        while not isinstance(event := state.next_event(), h11.EndOfMessage):
            assert isinstance(event, h11.Data)
        received = state.trailing_data[0]
    return statuses


@pytest.mark.parametrize(
    ("data", "statuses"),
    [
        pytest.param(REQUEST, [200], id="good"),
        pytest.param(
            REQUEST + CHUNKED_REQUEST + REQUEST_WITHOUT_BODY,
            [200, 200, 200],
            id="pipelined",
        ),
        pytest.param(REQUEST * 30, [200] * 30, id="pipelined-flood"),
        pytest.param(REQUEST + b"rubbish\r\n\r\n", [200, 400], id="pipelined-rubbish"),
        pytest.param(REQUEST[:-1], [400], id="cut-body"),
        pytest.param(CHUNKED_REQUEST[:-3], [400], id="cut-chunks"),
        pytest.param(b"", [], id="nothing"),
        pytest.param(b"\x16\x03\x01\x02\x00\x01\x00", [400], id="tls-hello"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", [400], id="no-host"),
        pytest.param(b"GET / HTTP/9.9\r\nhost: x\r\n\r\n", [505], id="version"),
        pytest.param(
            REQUEST_WITHOUT_BODY.replace(b"1.1", b"1.0"), [200], id="old-version"
        ),
        pytest.param(REQUEST_WITHOUT_BODY.replace(b"x", b"\xff"), [400], id="no-utf-8"),
        pytest.param(
            REQUEST_WITHOUT_BODY.replace(b"q=1", b"q=\xc3\xa9"), [400], id="target"
        ),
        pytest.param(
            REQUEST_WITHOUT_BODY.replace(b"x\r", b"x\r\n y\r"), [200], id="folded"
        ),
        pytest.param(REQUEST.replace(b"5", b"201"), [413], id="large-body"),
        pytest.param(REQUEST.replace(b"5", b"9" * 19), [413], id="huge-length"),
        pytest.param(REQUEST.replace(b"5", b"9" * 1500), [400], id="endless-length"),
        pytest.param(REQUEST.replace(b"5", b"-5"), [400], id="negative-length"),
        pytest.param(
            REQUEST.replace(b"length: 5", b"length: 5\r\ncontent-length: 6"),
            [400],
            id="two-lengths",
        ),
        pytest.param(
            CHUNKED_REQUEST.replace(b"5\r\n", b"zz\r\n"), [400], id="chunk-size"
        ),
        pytest.param(
            CHUNKED_REQUEST.replace(b"5\r\n", b"ff\r\n"), [400], id="short-chunk"
        ),
        pytest.param(
            REQUEST_WITHOUT_BODY.replace(b"\r\n\r\n", b"\r\na: b" * 700 + b"\r\n\r\n"),
            [431],
            id="header-flood",
        ),
        pytest.param(b"GET /" + b"a" * 5000, [431], id="endless-target"),
        pytest.param(
            b"GET / HTTP/1.1\r\na: " + b"b" * 5000, [431], id="endless-header"
        ),
    ],
)
def test_input_has_defined_response(shared_server, data, statuses):
    assert read_statuses(shared_server.send(data)) == statuses


REQUESTS = st.lists(
    st.sampled_from([REQUEST, CHUNKED_REQUEST, REQUEST_WITHOUT_BODY]),
    min_size=1,
    max_size=3,
)


@st.composite
def draw_corrupted_requests(draw):
    data = bytearray(b"".join(draw(REQUESTS)))
    for _ in range(draw(st.integers(0, 3))):
        position = draw(st.integers(0, max(len(data) - 1, 0)))
        data[position : position + draw(st.integers(0, 3))] = draw(
            st.binary(max_size=4)
        )
    return bytes(data[: draw(st.integers(0, len(data)))])


@settings(max_examples=300)
@given(
    data=st.binary(max_size=300) | draw_corrupted_requests(), split=st.integers(0, 100)
)
def test_any_bytes_are_answered_or_connection_is_closed(shared_server, data, split):
    assert set(read_statuses(shared_server.send(data, split))) <= ALLOWED_STATUSES
    assert read_statuses(shared_server.send(REQUEST)) == [200]


HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            ["x-request-id", "idempotency-key", "authorization", "connection", "x"]
        ),
        st.text(max_size=20),
    ),
    max_size=4,
).map(tuple)
PATHS = st.sampled_from(
    ["/v1/completions", "/v1/chat/completions", "/services/", "/services/a/b", "/"]
)
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["model", "stream", "x"]), inner, max_size=3)
    ),
    max_leaves=8,
).map(lambda value: str(value).replace("'", '"').encode("utf-8", "surrogatepass"))
BODIES = st.binary(max_size=30) | JSON | st.just(b"[" * 100_000)


@given(
    path=PATHS, headers=HEADERS, body=BODIES, method=st.sampled_from(["POST", "GET"])
)
def test_any_call_is_parsed_or_rejected(path, headers, body, method):
    try:
        call = parse_call(WebRequest(method, path, "", headers, body))
    except IbisheadError as error:
        error_raised = error
    else:
        assert isinstance(call, Call)
        return
    assert 400 <= error_raised.status < 500
    assert error_raised.remedy
