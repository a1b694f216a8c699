"""Finds the response to a request among the responses that a connection brings.

A target may send a response a second time, late. A late response says nothing of the
request that was sent meanwhile, and that request's own response follows it.
"""

import logging
from collections.abc import Callable

from ibishead.gateway.calls import Call, TargetDialect, TargetHead
from ibishead.gateway.connection import TargetConnection
from ibishead.headers import BodyFraming, Headers
from ibishead.ids import TargetId

__all__ = ["MAX_SKIPPED_RESPONSES", "receive_head", "remember_request"]

logger = logging.getLogger(__name__)

#: Late responses that are skipped before the response to one request.
MAX_SKIPPED_RESPONSES = 2

#: Methods whose responses have no body, whatever their headers say. The end of a late
#: response is uncertain if it or the current one belongs to such a request.
_BODILESS_METHODS = frozenset({"HEAD", "CONNECT"})


async def receive_head(
    connection: TargetConnection,
    dialect: TargetDialect,
    call: Call,
    headers: Headers,
    target: TargetId,
    count_event: Callable[[str], None],
) -> TargetHead:
    """Send a call and return the head of its response.

    Late responses to earlier requests are skipped. If the response that follows them
    does not name the call either, its head is returned, and nothing is known of the
    call.

    :param headers: headers that the call is sent with.
    :param count_event: counts an event by its name.
    :raises LinkLost: the connection was lost; the call may have run.
    """
    status, received = await connection.request(
        call.method, call.target, headers, call.body
    )
    skipped = 0
    while True:
        head = dialect.read_head(call, status, received)
        if head.echoed:
            return head
        count_event(
            "response_without_request"
            if head.named is None
            else "response_of_another_request"
        )
        logger.warning(
            "response does not name its request",
            extra={
                "request": call.request,
                "named": head.named,
                "target": target,
                "status": head.status,
            },
        )
        if skipped == MAX_SKIPPED_RESPONSES or not _is_late(connection, call, head):
            return head
        status, received = await connection.skip_response()
        skipped += 1
        count_event("late_response_skipped")


def remember_request(connection: TargetConnection, call: Call) -> None:
    """Record that the exchange of a call on a connection is complete.

    A late response to it can be skipped from now on, if its end would be certain.
    """
    connection.carried.append(call.request)
    if call.method not in _BODILESS_METHODS:
        connection.earlier.append(call.request)


def _is_late(connection: TargetConnection, call: Call, head: TargetHead) -> bool:
    """Return whether a response is surely a late one, and its end is marked."""
    return (
        head.named in connection.earlier
        and call.method not in _BODILESS_METHODS
        and head.framing is not BodyFraming.CONNECTION
    )
