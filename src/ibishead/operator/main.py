"""``ibishead``: the operators' command line."""

import sys
from pathlib import Path
from urllib.parse import quote

import click
import msgspec

from ibishead import __version__
from ibishead.documents import DocumentFault, check_document
from ibishead.errors import (
    ErrorCode,
    IbisheadError,
    InvalidInput,
    LinkLost,
    NotFound,
    OutcomeUnknown,
    Unavailable,
)
from ibishead.ids import Revision, SubmissionId
from ibishead.inifile import describe_faults
from ibishead.links import Endpoint
from ibishead.operator.client import decode_answer
from ibishead.operator.options import (
    Command,
    ExitCode,
    control_command,
    entry_command,
    exit_with,
)
from ibishead.operator.submitting import (
    Submission,
    make_submission_id,
    submit_document,
)
from ibishead.operator.views import (
    DocumentView,
    HistoryView,
    ReplacementView,
    ReplicaView,
    StatusView,
    TargetView,
    TraceView,
    format_document,
    format_history,
    format_replicas,
    format_table,
    format_targets,
    format_trace,
)

__all__ = ["main"]

_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


class CheckView(msgspec.Struct):
    """What ``check --json`` prints."""

    valid: bool
    faults: tuple[DocumentFault, ...]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Check, submit and watch service documents, targets and replicas.

    Exit codes: 0 done; 1 refused; 2 wrong usage or settings; 3 conflict with another
    change; 4 nobody could be reached or decide; 5 accepted, but not yet in force.
    """


@main.command()
@click.argument("file", type=_FILE)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def check(file: Path, as_json: bool) -> None:
    """Check a service document without sending it."""
    try:
        document, faults = check_document(_read_text(file))
    except IbisheadError as error:
        exit_with(error, as_json)
        return
    if as_json:
        click.echo(msgspec.json.encode(CheckView(document is not None, faults)))
    elif faults:
        click.echo(describe_faults(faults), err=True)
    else:
        click.echo(f"{file} is valid")
    sys.exit(ExitCode.REFUSED if faults else ExitCode.OK)


@main.command()
@click.argument("file", type=_FILE)
@click.option(
    "--base",
    type=click.IntRange(0),
    required=True,
    help="The revision that was edited; 0 for a new service.",
)
@click.option(
    "--submission",
    help="Id of the change; one is made when not given. A resend has the same.",
)
@click.option("--wait/--no-wait", default=True, help="Wait until it is in force.")
@control_command
async def submit(
    command: Command, file: Path, base: int, submission: str | None, wait: bool
) -> None:
    """Submit a service document."""
    text = _read_text(file)
    document, faults = check_document(text)
    if document is None:
        raise InvalidInput(
            f"{file} has {len(faults)} fault(s), nothing was sent:\n"
            f"{describe_faults(faults)}",
            "mend them and submit again",
            code=ErrorCode.DOCUMENT_INVALID,
        )
    change = Submission(
        document,
        text,
        Revision(base),
        SubmissionId(submission) if submission else make_submission_id(),
    )
    await submit_document(command, change, wait)


@main.command()
@click.argument("service", required=False)
@control_command
async def show(command: Command, service: str | None) -> None:
    """Show a service's document, or list all services."""
    if service is None:
        content = await command.client.ask("GET", "/v1/documents")
        documents = decode_answer(content, list[DocumentView])
        rows = [(d.service, d.team, str(d.revision)) for d in documents]
        command.show(documents, format_table(("service", "team", "revision"), rows))
        return
    content = await command.client.ask("GET", f"/v1/documents/{_escape(service)}")
    document = decode_answer(content, DocumentView)
    command.show(document, format_document(document))


@main.command()
@click.argument("service")
@control_command
async def history(command: Command, service: str) -> None:
    """Show who changed a service's document, and when."""
    target = f"/v1/documents/{_escape(service)}/history"
    changes = decode_answer(await command.client.ask("GET", target), HistoryView)
    command.show(changes, format_history(changes))


@main.command()
@control_command
async def status(command: Command) -> None:
    """Show each control replica by its own account."""
    replicas = [await _ask_status(command, s) for s in command.client.servers]
    command.show(replicas, format_replicas(replicas))
    if not any(replica.status for replica in replicas):
        raise LinkLost(
            "no control replica answers", "check --control and the replicas' logs"
        )


@main.command()
@control_command
async def targets(command: Command) -> None:
    """Show the registered targets."""
    content = await command.client.ask("GET", "/v1/targets")
    found = decode_answer(content, list[TargetView])
    command.show(found, format_targets(found))


@main.command()
@click.argument("target")
@control_command
async def drain(command: Command, target: str) -> None:
    """Give a target no new work; what it runs is finished."""
    await command.client.ask("POST", f"/v1/targets/{_escape(target)}/drain")
    command.show({"target": target, "draining": True}, f"{target} is draining")


@main.command()
@click.argument("replica")
@click.option("--host", required=True, help="Name of the spare that takes its place.")
@control_command
async def replace(command: Command, replica: str, host: str) -> None:
    """Replace a lost control replica by a spare."""
    body = msgspec.json.encode({"lost": replica, "host": host})
    # Sent once only: a resend could replace the replacement
    content = await command.client.ask_once("POST", "/v1/replicas/replace", body)
    fresh = decode_answer(content, ReplacementView)
    command.show(fresh, f"{replica} is replaced by {fresh.replica} on {host}")


@main.command()
@click.argument("request")
@entry_command
async def explain(command: Command, request: str) -> None:
    """Show what each stage decided about a request, and why."""
    target = f"/v1/explain/{_escape(request)}"
    missing: list[str] = []
    for server in command.client.servers:
        try:
            content = await command.client.ask_server(server, "GET", target)
        except (NotFound, LinkLost, OutcomeUnknown, Unavailable) as error:
            missing.append(f"{server}: {error.message}")
            continue
        trace = decode_answer(content, TraceView)
        command.show(trace, format_trace(trace))
        return
    raise NotFound(
        f"no entry host knows request {request}: {'; '.join(missing)}",
        "name all entry hosts; each remembers its latest requests only",
        code=ErrorCode.UNKNOWN_REQUEST,
    )


async def _ask_status(command: Command, server: Endpoint) -> ReplicaView:
    try:
        content = await command.client.ask_server(server, "GET", "/v1/status")
        return ReplicaView(str(server), decode_answer(content, StatusView))
    except IbisheadError as error:
        return ReplicaView(str(server), error=error.message)


def _escape(name: str) -> str:
    return quote(name, safe="")


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise InvalidInput(
            f"{file} can't be read: {error}",
            "save it as UTF-8",
            code=ErrorCode.DOCUMENT_INVALID,
        ) from error
