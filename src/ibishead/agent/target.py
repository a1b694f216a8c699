"""HTTP client of the target, with connections that belong to one boot of it.

A process can't restart without losing its connections. Therefore a connection over
which the boot was read belongs to that boot for good, and a request sent over it can't
reach an engine that has restarted without its adapters.
"""

import asyncio
import contextlib
import logging
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

from ibishead.agent.slots import AdapterKey, make_lora_name, parse_lora_name
from ibishead.clock import Clock
from ibishead.errors import ErrorCode, LinkLost, Unavailable
from ibishead.headers import Headers
from ibishead.ids import BootId, Incarnation
from ibishead.links import Endpoint
from ibishead.webclient import ClientConnection

__all__ = ["EngineSample", "TargetClient", "TargetRestarted"]

logger = logging.getLogger(__name__)

#: Seconds within which a target must respond to a probe or a list request.
PROBE_TIMEOUT_SECONDS = 2.0

#: Memory that the body of an engine's answer to a probe or command may take. The
#: longest is the list of its adapters.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

#: Seconds after which a load counts as failed. Eight concurrent loads take about 0.25 s
#: each; an engine slower by two orders of magnitude is faulty.
LOAD_TIMEOUT_SECONDS = 30.0

#: Seconds between checks of the engine's adapter list while a load command is
#: unanswered.
LOAD_CHECK_INTERVAL_SECONDS = 2.0

#: Maximum number of idle connections kept open for reuse.
MAX_IDLE_CONNECTIONS = 64

#: Seconds for which an idle connection may be reused. A connection that no longer
#: responds is only detected by a request, which would wait on it until its deadline.
IDLE_TIMEOUT_SECONDS = 2.0

FENCING_HEADER = "x-fencing-token"

_START_TIME = re.compile(rb"^process_start_time_seconds(?:\{[^}]*\})? (\S+)", re.M)
_RUNNING = re.compile(rb"^vllm:num_requests_running(?:\{[^}]*\})? (\S+)", re.M)
_WAITING = re.compile(rb"^vllm:num_requests_waiting(?:\{[^}]*\})? (\S+)", re.M)
_LORA_INFO = re.compile(rb"^vllm:lora_requests_info\{([^}]*)\} ", re.M)
_LABEL = re.compile(rb'(running|waiting)_lora_adapters="([^"]*)"')


class TargetRestarted(LinkLost):
    """The target is not in the expected boot; nothing was sent."""

    code = ErrorCode.TARGET_RESTARTED


@dataclass(frozen=True)
class EngineSample:
    """State that an engine reports at one point in time.

    :param boot: boot of the engine.
    :param running: requests running in the engine.
    :param waiting: requests waiting inside the engine.
    :param busy: adapters with requests running or waiting inside the engine.
    """

    boot: BootId
    running: int
    waiting: int
    busy: frozenset[AdapterKey]


@dataclass(frozen=True)
class _IdleConnection:
    """An open connection that is not in use.

    :param since: monotonic seconds at which it was last used.
    """

    boot: BootId
    connection: ClientConnection
    since: float


class _ModelCard(msgspec.Struct):
    id: str
    parent: str | None = None


class _ModelList(msgspec.Struct):
    data: list[_ModelCard]


class TargetClient:
    """The only client of one target.

    :param endpoint: address of the target.
    :param reports_boot: the target reports its boot in ``/metrics``, as engines do.
    """

    def __init__(self, endpoint: Endpoint, reports_boot: bool, clock: Clock) -> None:
        self._endpoint = endpoint
        self._reports_boot = reports_boot
        self._clock = clock
        self._idle: list[_IdleConnection] = []

    @contextlib.asynccontextmanager
    async def acquire_connection(
        self, boot: BootId | None, fresh: bool = False
    ) -> AsyncIterator[ClientConnection]:
        """Lend a connection to the target, from the pool or newly opened.

        :param boot: boot that the connection must belong to; any boot if none is given.
        :param fresh: open a new connection. The target may close a pooled connection
            just as a request is written to it; whether the request was read is then
            unknown, and a request that must not run twice can't be sent again.
        :raises TargetRestarted: the target is in another boot now.
        :raises LinkLost: the target can't be reached; nothing was sent.
        """
        actual, connection = BootId(""), None
        if not fresh:
            actual, connection = self._pop_idle(boot)
        if connection is None:
            connection = await ClientConnection.open(self._endpoint)
            try:
                actual = await self._read_boot(connection)
            except BaseException:
                connection.close()
                raise
        if boot is not None and actual != boot:
            connection.close()
            raise TargetRestarted(
                f"the target is in boot {actual}, not {boot}",
                "load the adapter again",
            )
        try:
            yield connection
        finally:
            self._release(actual, connection)

    async def sample(self) -> EngineSample:
        """Read the engine's state over a new connection.

        A pooled connection may have stopped responding, which does not show that the
        engine has.

        :raises LinkLost: the engine can't be reached or doesn't respond.
        """
        connection = await ClientConnection.open(
            self._endpoint, timeout=PROBE_TIMEOUT_SECONDS
        )
        try:
            sample = await self._request_sample(connection)
        except BaseException:
            connection.close()
            raise
        self._release(sample.boot, connection)
        return sample

    async def check_reachable(self) -> None:
        """Open and close a connection; a plain service need not support any probe.

        :raises LinkLost: the target accepts no connection.
        """
        connection = await ClientConnection.open(
            self._endpoint, timeout=PROBE_TIMEOUT_SECONDS
        )
        connection.close()

    async def list_adapters(self, boot: BootId) -> list[AdapterKey]:
        """Return the adapters that the engine lists in this boot.

        :raises TargetRestarted: the engine is in another boot.
        :raises LinkLost: the engine can't be reached, or its list can't be read.
        """
        async with (
            self.acquire_connection(boot, True) as connection,
            _limit_time(PROBE_TIMEOUT_SECONDS),
        ):
            answer = await connection.ask("GET", "/v1/models")
            body = await answer.read(MAX_ANSWER_BYTES)
        try:
            cards = msgspec.json.decode(body, type=_ModelList).data
        except msgspec.DecodeError as error:
            raise LinkLost(
                f"the engine's model list can't be read: {error}",
                "check that the target speaks the OpenAI protocol",
            ) from error
        found = [parse_lora_name(card.id) for card in cards if card.parent]
        return [key for key in found if key is not None]

    async def load(
        self, key: AdapterKey, source: str, boot: BootId, incarnation: Incarnation
    ) -> None:
        """Load an adapter, and check that the engine lists it afterwards.

        :param source: location from which the engine loads the adapter.
        :param incarnation: fencing number sent with the command.
        :raises Unavailable: the engine refused or failed, or reports success without
            listing the adapter.
        :raises LinkLost: the engine can't be reached, or did not respond in time.
        :raises TargetRestarted: the engine is in another boot.
        """
        command = msgspec.json.encode(
            {"lora_name": make_lora_name(key), "lora_path": source}
        )
        # A pooled connection may have stopped responding, and a load may take long
        async with (
            self.acquire_connection(boot, True) as connection,
            _limit_time(LOAD_TIMEOUT_SECONDS),
        ):
            loading = asyncio.create_task(
                self._post_command(
                    connection, "/v1/load_lora_adapter", command, incarnation
                )
            )
            try:
                while not (
                    await asyncio.wait((loading,), timeout=LOAD_CHECK_INTERVAL_SECONDS)
                )[0]:
                    if await self._is_listed(key, boot):
                        # the load succeeded, but its connection stopped responding
                        return
                status, body = loading.result()
            finally:
                loading.cancel()
        if status != 200:
            raise _make_command_error(status, body)
        # Engines have been seen to answer 200 without loading; the list is the proof
        if key not in await self.list_adapters(boot):
            raise _make_command_error(status, b"loaded but not listed")

    async def unload(
        self, key: AdapterKey, boot: BootId, incarnation: Incarnation
    ) -> None:
        """Unload an adapter.

        :param incarnation: fencing number sent with the command.
        :raises Unavailable: the engine refused.
        :raises LinkLost: the engine can't be reached, or did not respond in time.
        :raises TargetRestarted: the engine is in another boot.
        """
        command = msgspec.json.encode({"lora_name": make_lora_name(key)})
        async with (
            self.acquire_connection(boot, True) as connection,
            _limit_time(LOAD_TIMEOUT_SECONDS),
        ):
            status, body = await self._post_command(
                connection, "/v1/unload_lora_adapter", command, incarnation
            )
        if status not in (200, 404):
            raise _make_command_error(status, body)

    def close(self) -> None:
        """Close all idle connections."""
        for entry in self._idle:
            entry.connection.close()
        self._idle.clear()

    async def _post_command(
        self,
        connection: ClientConnection,
        path: str,
        command: bytes,
        incarnation: Incarnation,
    ) -> tuple[int, bytes]:
        headers: Headers = (
            ("content-type", "application/json"),
            (FENCING_HEADER, str(incarnation)),
        )
        answer = await connection.ask("POST", path, headers, command)
        return answer.status, await answer.read(MAX_ANSWER_BYTES)

    async def _is_listed(self, key: AdapterKey, boot: BootId) -> bool:
        try:
            return key in await self.list_adapters(boot)
        except LinkLost as error:
            logger.info("adapter list not available", extra={"reason": error.message})
            return False

    async def _read_boot(self, connection: ClientConnection) -> BootId:
        if not self._reports_boot:
            return BootId("")
        return (await self._request_sample(connection)).boot

    async def _request_sample(self, connection: ClientConnection) -> EngineSample:
        async with _limit_time(PROBE_TIMEOUT_SECONDS):
            answer = await connection.ask("GET", "/metrics")
            return _parse_sample(await answer.read(MAX_ANSWER_BYTES))

    def _pop_idle(self, boot: BootId | None) -> tuple[BootId, ClientConnection | None]:
        earliest = self._clock.monotonic() - IDLE_TIMEOUT_SECONDS
        while self._idle:
            entry = self._idle.pop()
            usable = not entry.connection.closed and entry.since >= earliest
            if usable and (boot is None or entry.boot == boot):
                return entry.boot, entry.connection
            entry.connection.close()
        return BootId(""), None

    def _release(self, boot: BootId, connection: ClientConnection) -> None:
        reusable = connection.idle and not connection.closed
        if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(
                _IdleConnection(boot, connection, self._clock.monotonic())
            )
        else:
            connection.close()


@contextlib.asynccontextmanager
async def _limit_time(seconds: float) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise LinkLost(
            f"no response from the target within {seconds} s", "check the target's log"
        ) from error


def _parse_sample(metrics: bytes) -> EngineSample:
    start = _START_TIME.search(metrics)
    if start is None:
        raise LinkLost(
            "the engine reports no process_start_time_seconds in /metrics",
            "use an engine that reports it; without it restarts can't be detected",
        )
    names = {
        name.strip().decode("utf-8", "replace")
        for info in _LORA_INFO.finditer(metrics)
        for _, names in _LABEL.findall(info.group(1))
        for name in names.split(b",")
    }
    keys = (parse_lora_name(name) for name in names)
    return EngineSample(
        BootId(start.group(1).decode()),
        _read_gauge(_RUNNING, metrics),
        _read_gauge(_WAITING, metrics),
        frozenset(key for key in keys if key is not None),
    )


def _read_gauge(pattern: re.Pattern[bytes], metrics: bytes) -> int:
    found = pattern.search(metrics)
    return int(float(found.group(1))) if found else 0


def _make_command_error(status: int, body: bytes) -> Unavailable:
    reason = body[:200].decode("utf-8", "replace")
    return Unavailable(
        f"the engine answered a load or unload with {status}: {reason}",
        "check the engine's log and the adapter's source",
        code=ErrorCode.LOAD_FAILED,
    )
