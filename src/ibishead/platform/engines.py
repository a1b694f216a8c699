"""Client of the platform's model engines: sends orders and reads reports."""

import asyncio
import itertools
import logging
import secrets
from dataclasses import replace

from ibishead.clock import Clock
from ibishead.decisions.resting import (
    OVERLOADED_STATUS,
    RestPeriod,
    is_valid_rest,
)
from ibishead.errors import InvalidInput, LinkLost
from ibishead.headers import Headers, find_header, read_retry_after
from ibishead.ids import TargetId
from ibishead.links import Endpoint
from ibishead.platform.bodies import decode_report, encode_order
from ibishead.platform.targets import is_leaving, read_load
from ibishead.steward.engine import (
    EngineGone,
    EngineState,
    OrderOutcome,
    WeightOrder,
)
from ibishead.webclient import ClientConnection

__all__ = ["PlatformEngine"]

logger = logging.getLogger(__name__)

#: Seconds to wait for a report of an engine on the same host. The engine answers within
#: milliseconds, but a host that is slowed down takes several times as long.
ANSWER_TIMEOUT_SECONDS = 0.6

#: Memory that the body of an engine's answer may take. Reports are some kilobytes long,
#: and the smallest hosts have 160 MB.
MAX_ANSWER_BYTES = 1024 * 1024

#: Outcome of an order by the status code of its answer.
_OUTCOMES = {
    200: OrderOutcome.COMPLETED,
    202: OrderOutcome.STARTED,
    400: OrderOutcome.IMPOSSIBLE,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_INSTANCE,
}


class PlatformEngine:
    """Client of the engine at one address, over one persistent connection.

    While the engine has asked this host for no requests, none is sent.
    """

    def __init__(self, endpoint: Endpoint, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._connection: ClientConnection | None = None
        self._rest = RestPeriod()
        self._prefix = secrets.token_hex(4)
        self._numbers = itertools.count(1)

    def find_rest(self) -> float:
        """Return the seconds for which the engine has asked for no requests."""
        return self._rest.left(self._clock.monotonic())

    async def read_state(self) -> EngineState:
        """Return the engine's report.

        :raises EngineGone: the engine has ended.
        :raises LinkLost: the engine doesn't answer, or its answer can't be decoded.
        """
        status, body, headers = await self._request(
            "GET", "/api/report", self._identify(), b"", ANSWER_TIMEOUT_SECONDS
        )
        if status != 200:
            raise LinkLost(
                f"the engine answered its report with status {status}",
                "check the engine's log",
            )
        try:
            state = decode_report(body)
        except InvalidInput as error:
            raise LinkLost(
                f"invalid engine report: {error.message}", error.remedy
            ) from error
        if (load := read_load(headers)) is not None:
            state = replace(state, slowdown=load.slowdown)
        if is_leaving(headers):
            return replace(state, draining=True, leaving=True)
        return state

    async def read_target_id(self, health_path: str) -> TargetId | None:
        """Return the ID of the running engine instance, None if it isn't healthy.

        :param health_path: path of the engine's health check.
        :raises LinkLost: the engine doesn't answer.
        """
        status, _, headers = await self._request(
            "GET", health_path, (), b"", ANSWER_TIMEOUT_SECONDS
        )
        target = find_header(headers, "instance-id")
        return TargetId(target) if status == 200 and target else None

    async def send_order(self, order: WeightOrder, timeout: float) -> OrderOutcome:
        """Send an order and return its outcome.

        :param timeout: seconds to wait for an answer; then the outcome is unknown.
        """
        headers: Headers = (
            *self._identify(),
            ("content-type", "application/json"),
            ("expect-instance", order.target),
        )
        try:
            status, _, _ = await self._request(
                "POST", "/api/order", headers, encode_order(order), timeout
            )
        except LinkLost as error:
            logger.warning("order not answered", extra={"reason": error.message})
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)

    def end_rest(self) -> None:
        """End the rest, as the engine that asked for it has been replaced."""
        self._rest = RestPeriod()

    def _identify(self) -> Headers:
        """Return the header that names a new request, which its answer may repeat."""
        return (("request-id", f"{self._prefix}{next(self._numbers):08x}"),)

    def _record_rest(self, status: int, headers: Headers) -> None:
        seconds = read_retry_after(headers)
        if status == OVERLOADED_STATUS and is_valid_rest(seconds):
            logger.info("engine asked for rest", extra={"seconds": seconds})
            self._rest.begin(seconds, self._clock.monotonic())

    async def _open(self, timeout: float) -> ClientConnection:
        try:
            return await ClientConnection.open(self._endpoint, timeout=timeout)
        except LinkLost as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise EngineGone(error.message, error.remedy) from error
            raise

    async def _request(
        self, method: str, path: str, headers: Headers, body: bytes, timeout: float
    ) -> tuple[int, bytes, Headers]:
        if self.find_rest():
            raise LinkLost(
                f"the engine at {self._endpoint} has asked for rest",
                "wait until the rest ends",
            )
        connection = self._connection
        self._connection = None
        try:
            async with asyncio.timeout(timeout):
                if connection is None or connection.closed:
                    connection = await self._open(timeout)
                answer = await connection.ask(method, path, headers, body)
                _check_own(answer.headers, headers)
                content = await answer.read(MAX_ANSWER_BYTES)
        except TimeoutError as error:
            raise LinkLost(
                f"no answer from the engine at {self._endpoint} in time",
                "check that the engine runs",
            ) from error
        finally:
            if connection is not None and not connection.idle:
                connection.close()
        self._connection = connection
        self._record_rest(answer.status, answer.headers)
        return answer.status, content, answer.headers


def _check_own(answered: Headers, sent: Headers) -> None:
    """Check that an answer names no other request than the one that was sent.

    :raises LinkLost: it does, such as a late second answer to an earlier request.
    """
    named, own = find_header(answered, "request-id"), find_header(sent, "request-id")
    if named is not None and named != own:
        logger.warning(
            "response does not name its request",
            extra={"request": own, "named": named},
        )
        raise LinkLost(
            "the engine's answer names another request", "check the engine's log"
        )
