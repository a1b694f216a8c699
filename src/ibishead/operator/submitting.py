"""Submitting a service document, and waiting until it is in force on all hosts."""

import asyncio
import uuid
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec

from ibishead.documents import ServiceDocument
from ibishead.errors import IbisheadError, LinkLost, OutcomeUnknown, Unavailable
from ibishead.ids import Revision, SubmissionId
from ibishead.operator.client import decode_response
from ibishead.operator.options import Command, NotInForce
from ibishead.operator.views import InForceView, SubmissionView

__all__ = ["Submission", "SubmissionNotice", "make_submission_id", "submit_document"]

#: Interval for polling whether a change is in force.
POLL_INTERVAL_SECONDS = 0.2


@dataclass(frozen=True)
class Submission:
    """A document to be submitted.

    :param base: the revision that the operator edited; 0 for a new service.
    :param submission: the idempotency key of this change; a retry has the same.
    """

    document: ServiceDocument
    text: str
    base: Revision
    submission: SubmissionId


class SubmissionNotice(msgspec.Struct):
    """The submission id, printed before the request is sent."""

    submission: str


def make_submission_id() -> SubmissionId:
    """Return a random id that is globally unique."""
    return SubmissionId(uuid.uuid4().hex)


async def submit_document(command: Command, submission: Submission, wait: bool) -> None:
    """Submit a document, and wait until the change is in force.

    :param wait: whether to wait.
    :raises NotInForce: the change was accepted, but is not in force everywhere yet.
    :raises IbisheadError: the change was refused, or it is unknown whether it was
        accepted.
    """
    # The id is printed before the request is sent. If the response is lost, the
    # operator can then retry the same submission, which is never applied twice.
    command.print_result(
        SubmissionNotice(submission.submission), f"submission {submission.submission}"
    )
    accepted = await _send(command, submission)
    command.print_result(
        accepted,
        f"accepted {accepted.service} revision {accepted.revision} "
        f"at index {accepted.index}",
    )
    if not wait:
        return
    await _wait_in_force(command, accepted)
    command.print_result(InForceView(True), "in force everywhere")


async def _send(command: Command, submission: Submission) -> SubmissionView:
    document = submission.document
    query = urlencode(
        {
            "base": submission.base,
            "submission": submission.submission,
            "team": document.team,
        }
    )
    target = f"/v1/documents/{quote(document.service, safe='')}?{query}"
    try:
        content = await command.client.request("POST", target, submission.text.encode())
    except (LinkLost, OutcomeUnknown, Unavailable) as error:
        raise type(error)(
            f"the submission is not confirmed: {error.message}",
            "it may be accepted or not; run the same command with "
            f"--submission {submission.submission}, which is never applied twice",
            code=error.code,
        ) from error
    return decode_response(content, SubmissionView)


async def _wait_in_force(command: Command, accepted: SubmissionView) -> None:
    clock = command.client.clock
    deadline = clock.monotonic() + command.client.timeout
    printed_hosts: list[str] | None = None
    while True:
        view = await _request_in_force(command, accepted)
        if view.in_force:
            return
        if view.waiting_for != printed_hosts:
            printed_hosts = view.waiting_for
            command.print_progress(f"not yet in force: {_format_hosts(printed_hosts)}")
        if clock.monotonic() + POLL_INTERVAL_SECONDS >= deadline:
            raise NotInForce(
                f"revision {accepted.revision} of {accepted.service} is accepted, "
                f"but not yet in force: {_format_hosts(printed_hosts)}",
                "check these hosts; they stop serving when their lease expires",
            )
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _request_in_force(command: Command, accepted: SubmissionView) -> InForceView:
    try:
        content = await command.client.request(
            "GET", f"/v1/in-force?index={accepted.index}"
        )
    except IbisheadError as error:
        raise NotInForce(
            f"revision {accepted.revision} of {accepted.service} is accepted, but "
            f"it is unknown whether it is in force: {error.message}",
            "check with ibishead status; the change remains accepted",
        ) from error
    return decode_response(content, InForceView)


def _format_hosts(hosts: list[str]) -> str:
    return ", ".join(sorted(hosts)) or "on hosts that control did not list"
