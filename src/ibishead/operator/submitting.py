"""Submitting a document, and waiting until it is in force everywhere."""

import asyncio
import uuid
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec

from ibishead.documents import ServiceDocument
from ibishead.errors import IbisheadError, LinkLost, OutcomeUnknown, Unavailable
from ibishead.ids import Revision, SubmissionId
from ibishead.operator.client import decode_answer
from ibishead.operator.options import Command, NotInForce
from ibishead.operator.views import InForceView, SubmissionView

__all__ = ["Submission", "SubmissionNotice", "make_submission_id", "submit_document"]

#: Seconds between two questions whether a change is in force.
POLL_INTERVAL = 0.2


@dataclass(frozen=True)
class Submission:
    """A document on its way.

    :param base: the revision that the operator edited; 0 for a new service.
    :param submission: names this change; a resend has the same.
    """

    document: ServiceDocument
    text: str
    base: Revision
    submission: SubmissionId


class SubmissionNotice(msgspec.Struct):
    """Printed before anything is sent."""

    submission: str


def make_submission_id() -> SubmissionId:
    """Return an id that nobody else will draw."""
    return SubmissionId(uuid.uuid4().hex)


async def submit_document(command: Command, submission: Submission, wait: bool) -> None:
    """Submit, and wait until the change is in force.

    :raises NotInForce: it is accepted, but not in force everywhere yet.
    :raises IbisheadError: it is refused, or nobody can say whether it is accepted.
    """
    # Failure: the answer is lost and the operator doesn't know what to resend. The
    # id is on the screen before the first byte is sent, so that the same submission
    # can be sent again, which is never applied twice.
    command.show(
        SubmissionNotice(submission.submission), f"submission {submission.submission}"
    )
    accepted = await _send(command, submission)
    command.show(
        accepted,
        f"accepted {accepted.service} revision {accepted.revision} "
        f"at index {accepted.index}",
    )
    if not wait:
        return
    await _wait_in_force(command, accepted)
    command.show(InForceView(True), "in force everywhere")


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
        content = await command.client.ask("POST", target, submission.text.encode())
    except (LinkLost, OutcomeUnknown, Unavailable) as error:
        raise type(error)(
            f"nobody confirms the submission: {error.message}",
            "it may be accepted or not; run the same command with "
            f"--submission {submission.submission}, which is never applied twice",
            code=error.code,
        ) from error
    return decode_answer(content, SubmissionView)


async def _wait_in_force(command: Command, accepted: SubmissionView) -> None:
    clock = command.client.clock
    give_up = clock.monotonic() + command.client.patience
    shown: list[str] | None = None
    while True:
        view = await _ask_in_force(command, accepted)
        if view.in_force:
            return
        if view.waiting_for != shown:
            shown = view.waiting_for
            command.note(f"not yet in force: {_join(shown)}")
        if clock.monotonic() + POLL_INTERVAL >= give_up:
            raise NotInForce(
                f"revision {accepted.revision} of {accepted.service} is accepted, "
                f"but not yet in force: {_join(shown)}",
                "look at those hosts; they stop serving when their lease ends",
            )
        await asyncio.sleep(POLL_INTERVAL)


async def _ask_in_force(command: Command, accepted: SubmissionView) -> InForceView:
    try:
        content = await command.client.ask(
            "GET", f"/v1/in-force?index={accepted.index}"
        )
    except IbisheadError as error:
        raise NotInForce(
            f"revision {accepted.revision} of {accepted.service} is accepted, but "
            f"nobody says whether it is in force: {error.message}",
            "see ibishead status; the change stays accepted",
        ) from error
    return decode_answer(content, InForceView)


def _join(hosts: list[str]) -> str:
    return ", ".join(sorted(hosts)) or "on hosts that control doesn't name"
