"""Tests of the operator's commands against fake replicas with an HTTP API."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import pytest
from click.testing import CliRunner

from ibishead.errors import Conflict, Forbidden, NotFound, Unavailable
from ibishead.links import Endpoint
from ibishead.operator.main import main
from ibishead.web import WebServer

DOCUMENT = """
[service]
name = raktar
team = halo
kind = plain
default_class = read
[class:read]
priority = 3
deadline = 1 s
idempotent = yes
"""
ACCEPTED = {
    "service": "raktar",
    "revision": 4,
    "submission": "s1",
    "index": 17,
    "in_force": False,
}
DOCUMENT_VIEW = {
    "service": "raktar",
    "team": "halo",
    "revision": 3,
    "submission": "s0",
    "operator": "kata",
    "accepted_at": 0.0,
    "text": "[service]\n",
}
TARGET = {
    "target": "t1",
    "incarnation": 8,
    "service": "raktar",
    "kind": "plain",
    "host": "a1",
    "failure_domain": "szeged-a",
    "address": "127.0.0.1",
    "port": 1,
    "fenced": False,
    "draining": True,
}
TRACE = {
    "request": "r1",
    "outcome": "not_run",
    "steps": [{"at": 0.1, "stage": "admit", "decision": "refuse", "reason": "full"}],
}

#: Stands for a connection that is aborted instead of a response.
ABORTED = object()


@dataclass
class FakeReplica:
    """A server with a fixed response for each path.

    The elements of a deque are returned one after another, and the last one repeatedly.
    """

    responses: dict[str, object]
    requests: list = field(default_factory=list)

    async def respond(self, exchange):
        request = exchange.request
        self.requests.append(request)
        response = self.responses.get(
            request.path, NotFound("nothing here", "look there")
        )
        if isinstance(response, deque):
            response = response.popleft() if len(response) > 1 else response[0]
        if response is ABORTED:
            exchange.abort()
        elif isinstance(response, Exception):
            raise response
        else:
            await exchange.respond(200, (), json.dumps(response).encode())


@dataclass
class Result:
    """The exit code and the output of a command."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def last(self):
        return json.loads(self.stdout.splitlines()[-1])


class OperatorSession:
    """Fake replicas, and the command line that is run against them."""

    def __init__(self, directory):
        self.directory = directory
        self.servers = []
        self.arguments = []

    async def add(self, responses, option="--control"):
        replica = FakeReplica(responses)
        server = WebServer(replica.respond)
        endpoint = await server.start(Endpoint("127.0.0.1", 0))
        self.servers.append(server)
        self.arguments += [option, str(endpoint)]
        return replica

    async def run(self, *arguments):
        # The command starts its own event loop, which requires a separate thread
        result = await asyncio.to_thread(
            CliRunner().invoke, main, [*arguments, *self.arguments]
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return Result(result.exit_code, result.stdout, result.stderr)

    def write(self, name, text):
        (self.directory / name).write_text(text)
        return str(self.directory / name)

    async def submit(self, *arguments):
        file = self.write("raktar.ini", DOCUMENT)
        return await self.run("submit", file, "--base", "3", *arguments)


@pytest.fixture
async def session(tmp_path):
    session = OperatorSession(tmp_path)
    yield session
    for server in session.servers:
        await server.stop(grace=0.0)


def read_submissions(replica):
    queries = [parse_qs(r.query) for r in replica.requests if r.method == "POST"]
    return [query["submission"][0] for query in queries]


async def test_submit_waits_until_in_force(session):
    waiting = {"in_force": False, "waiting_for": ["a2", "a1"]}
    replica = await session.add(
        {
            "/v1/documents/raktar": ACCEPTED,
            "/v1/in-force": deque([waiting, {"in_force": True, "waiting_for": []}]),
        }
    )
    result = await session.submit()
    assert result.exit_code == 0
    (submission,) = read_submissions(replica)
    assert result.stdout.splitlines()[0] == f"submission {submission}"
    assert "accepted raktar revision 4 at index 17" in result.stdout
    assert "in force everywhere" in result.stdout
    assert "a1, a2" in result.stderr
    sent = replica.requests[0]
    assert sent.body.decode() == DOCUMENT
    query = {"base": ["3"], "submission": [submission], "team": ["halo"]}
    assert parse_qs(sent.query) == query


async def test_retry_after_lost_response_has_same_submission_id(session):
    """Guards against applying a change twice.

    The response to a submission is lost and the command retries on the next replica.
    """
    first = await session.add({"/v1/documents/raktar": ABORTED})
    second = await session.add({"/v1/documents/raktar": ACCEPTED})
    result = await session.submit("--no-wait")
    assert result.exit_code == 0
    assert read_submissions(first) == read_submissions(second)
    assert len(set(read_submissions(second))) == 1


async def test_refusal_after_lost_response_leaves_outcome_unknown(session):
    """Guards against reporting an accepted change as refused.

    A change that revokes the operator's own key is accepted, the response is lost, and
    the retry is refused because the key is no longer valid.
    """
    await session.add({"/v1/documents/raktar": ABORTED})
    await session.add({"/v1/documents/raktar": Forbidden("unknown key", "use another")})
    result = await session.submit()
    assert result.exit_code == 4
    assert "may be accepted or not" in result.stderr


async def test_unavailable_replica_is_skipped(session):
    unavailable = Unavailable("no quorum", "ask another")
    await session.add({"/v1/documents/raktar": unavailable})
    await session.add({"/v1/documents/raktar": ACCEPTED})
    result = await session.submit("--no-wait", "--json")
    assert (result.exit_code, result.last["revision"]) == (0, 4)


@pytest.mark.parametrize(
    ("answer", "arguments", "exit_code", "shown"),
    [
        (Conflict("base 3 is old", "read revision 4"), (), 3, "read revision 4"),
        (Forbidden("not your team", "use its key"), (), 1, "use its key"),
        (NotFound("no such path", "look"), (), 1, "no such path"),
        (ABORTED, ("--timeout", "0.3"), 4, "--submission"),
        (ValueError("a fault inside"), ("--timeout", "0.3"), 4, "--submission"),
        (ACCEPTED, ("--timeout", "0.3"), 5, "a9"),
    ],
)
async def test_submit_exit_codes(session, answer, arguments, exit_code, shown):
    waiting = {"in_force": False, "waiting_for": ["a9"]}
    await session.add({"/v1/documents/raktar": answer, "/v1/in-force": waiting})
    result = await session.submit(*arguments)
    assert result.exit_code == exit_code
    assert shown in result.stderr
    as_json = await session.submit(*arguments, "--json")
    assert as_json.exit_code == exit_code
    assert shown in json.dumps(as_json.last["error"])


async def test_accepted_change_is_reported_when_in_force_is_unknown(session):
    await session.add({"/v1/documents/raktar": ACCEPTED, "/v1/in-force": ABORTED})
    result = await session.submit("--timeout", "0.3")
    assert result.exit_code == 5
    assert "is accepted" in result.stderr


async def test_faulty_document_is_not_sent(session):
    replica = await session.add({})
    file = session.write("bad.ini", DOCUMENT.replace("1 s", "soon"))
    result = await session.run("submit", file, "--base", "0")
    assert (result.exit_code, replica.requests) == (1, [])
    assert "[class:read] deadline" in result.stderr


async def test_specified_submission_id_is_sent(session):
    replica = await session.add({"/v1/documents/raktar": ACCEPTED})
    await session.submit("--no-wait", "--submission", "mine")
    assert read_submissions(replica) == ["mine"]


async def test_key_is_sent_and_not_printed(session):
    replica = await session.add({"/v1/targets": Forbidden("no", "use another key")})
    key_file = session.write("key", "sk-secret\n")
    result = await session.run("targets", "--key-file", key_file)
    assert ("authorization", "Bearer sk-secret") in replica.requests[0].headers
    assert "sk-secret" not in result.stdout + result.stderr
    bad = await session.run("targets", "--key-file", session.write("key", "sk secret"))
    assert bad.exit_code == 2
    assert "secret" not in bad.stderr


@pytest.mark.parametrize(
    ("arguments", "path", "answer", "shown"),
    [
        (("show", "raktar"), "/v1/documents/raktar", DOCUMENT_VIEW, "revision 3"),
        (("show",), "/v1/documents", [DOCUMENT_VIEW], "raktar   halo  3"),
        (
            ("history", "raktar"),
            "/v1/documents/raktar/history",
            {"service": "raktar", "changes": [DOCUMENT_VIEW]},
            "3         1970-01-01T00:00:00+00:00  kata      s0",
        ),
        (("targets",), "/v1/targets", [TARGET], "draining"),
        (("drain", "t1"), "/v1/targets/t1/drain", {}, "t1 is draining"),
        (
            ("replace", "c1", "--host", "c4"),
            "/v1/replicas/replace",
            {"replica": "c4-2"},
            "c1 is replaced by c4-2 on c4",
        ),
        (("status",), "/v1/status", {"replica": "c1", "voters": ["c1"]}, "c1"),
    ],
)
async def test_commands_print_text_and_json(session, arguments, path, answer, shown):
    await session.add({path: answer})
    text = await session.run(*arguments)
    assert text.exit_code == 0
    assert shown in text.stdout
    as_json = await session.run(*arguments, "--json")
    assert as_json.exit_code == 0
    assert as_json.last


async def test_shown_document_can_be_submitted_again(session):
    await session.add({"/v1/documents/raktar": DOCUMENT_VIEW | {"text": DOCUMENT}})
    result = await session.run("show", "raktar")
    file = session.write("again.ini", result.stdout)
    session.arguments = []
    assert (await session.run("check", file)).exit_code == 0


async def test_replacement_is_not_retried(session):
    """Guards against replacing a second replica by a retry after a lost response."""
    await session.add({"/v1/replicas/replace": ABORTED})
    second = await session.add({"/v1/replicas/replace": {"replica": "c5"}})
    result = await session.run("replace", "c1", "--host", "h4")
    assert (result.exit_code, second.requests) == (4, [])


async def test_status_lists_unresponsive_replicas(session):
    await session.add({"/v1/status": ABORTED})
    failed = await session.run("status")
    assert failed.exit_code == 4
    await session.add({"/v1/status": {"replica": "c2", "leader": "c2", "index": 9}})
    result = await session.run("status", "--json")
    assert result.exit_code == 0
    first, second = result.last
    assert first["error"]
    assert second["status"]["index"] == 9


async def test_explain_queries_every_entry_host(session):
    await session.add({}, "--entry")
    unknown = await session.run("explain", "r1")
    assert (unknown.exit_code, "no entry host" in unknown.stderr) == (1, True)
    await session.add({"/v1/explain/r1": TRACE}, "--entry")
    result = await session.run("explain", "r1")
    assert result.exit_code == 0
    assert "request r1: not_run" in result.stdout
    assert "admit  refuse    full" in result.stdout


@pytest.mark.parametrize(
    ("text", "exit_code", "shown"),
    [
        (DOCUMENT, 0, "is valid"),
        (DOCUMENT.replace("team", "taem"), 1, "did you mean team?"),
        ("", 1, "[service]: the section is missing"),
    ],
)
async def test_check(session, text, exit_code, shown):
    file = session.write("raktar.ini", text)
    result = await session.run("check", file)
    assert result.exit_code == exit_code
    assert shown in result.stdout + result.stderr
    as_json = await session.run("check", file, "--json")
    assert as_json.exit_code == exit_code
    assert as_json.last["valid"] is (exit_code == 0)
    assert bool(as_json.last["faults"]) is (exit_code == 1)


@pytest.mark.parametrize(
    "arguments",
    [
        ("targets",),
        ("targets", "--control", "localhost:80"),
        ("submit", "absent.ini", "--base", "0", "--control", "127.0.0.1:1"),
        ("explain", "r1"),
        ("unknown",),
    ],
)
async def test_invalid_usage(session, arguments):
    assert (await session.run(*arguments)).exit_code == 2


async def test_unreachable_control(session):
    await session.add({})
    await session.servers.pop().stop(grace=0.0)
    result = await session.run("targets", "--timeout", "0.3")
    assert result.exit_code == 4
    assert "no connection" in result.stderr
