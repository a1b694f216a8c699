"""The target over HTTP: connections that are bound to one boot of it.

A process can't restart without losing its connections. So a connection on which the
boot was read belongs to that boot for good, and what is asked over it can't meet an
engine that came back empty.
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

#: Seconds in which a target must answer a probe or an order's small questions.
PROBE_TIMEOUT_SECONDS = 2.0

#: Seconds after which a load counts as failed. Eight at once take about 0.25 s each;
#: an engine that is slower by two orders of magnitude has a fault.
LOAD_TIMEOUT_SECONDS = 30.0

#: Seconds after which an order without an answer is looked up in the engine's list.
LOAD_CHECK_INTERVAL_SECONDS = 2.0

#: Connections kept open for further requests.
MAX_IDLE_CONNECTIONS = 64

#: Seconds for which a connection is kept unused. One that has gone silent shows it only
#: to a request, which waits on it until its deadline.
IDLE_TIMEOUT_SECONDS = 2.0

FENCING_HEADER = "x-fencing-token"

_START_TIME = re.compile(rb"^process_start_time_seconds(?:\{[^}]*\})? (\S+)", re.M)
_RUNNING = re.compile(rb"^vllm:num_requests_running(?:\{[^}]*\})? (\S+)", re.M)
_WAITING = re.compile(rb"^vllm:num_requests_waiting(?:\{[^}]*\})? (\S+)", re.M)
_LORA_INFO = re.compile(rb"^vllm:lora_requests_info\{([^}]*)\} ", re.M)
_LABEL = re.compile(rb'(running|waiting)_lora_adapters="([^"]*)"')


class TargetRestarted(LinkLost):
    """The target isn't in the boot that was expected; nothing was sent."""

    code = ErrorCode.TARGET_RESTARTED


@dataclass(frozen=True)
class EngineSample:
    """What an engine shows of itself at one moment.

    :param busy: adapters with requests running or waiting inside the engine.
    """

    boot: BootId
    running: int
    waiting: int
    busy: frozenset[AdapterKey]


@dataclass(frozen=True)
class _IdleConnection:
    """A connection that waits for its next request.

    :param since: monotonic seconds of its last use.
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

    :param has_boot: the target shows its boot in ``/metrics``, as engines do.
    """

    def __init__(self, endpoint: Endpoint, reports_boot: bool, clock: Clock) -> None:
        self._endpoint = endpoint
        self._reports_boot = reports_boot
        self._clock = clock
        self._idle: list[_IdleConnection] = []

    @contextlib.asynccontextmanager
    async def borrow(
        self, boot: BootId | None, fresh: bool = False
    ) -> AsyncIterator[ClientConnection]:
        """Lend a connection that belongs to a boot.

        :param boot: any boot when none is given.
        :param fresh: open a new one. A kept connection may be closed by the target
            just as a request is written to it, and then nobody can tell whether
            the request was read; what must not run twice can't be sent again.
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
        """Ask what the engine runs, over a new connection.

        A kept one may have gone silent, which says nothing of the engine.

        :raises LinkLost: it can't be reached or doesn't answer.
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
        """Connect and hang up; a plain service needn't know any probe.

        :raises LinkLost: nobody accepts connections there.
        """
        connection = await ClientConnection.open(
            self._endpoint, timeout=PROBE_TIMEOUT_SECONDS
        )
        connection.close()

    async def list_adapters(self, boot: BootId) -> list[AdapterKey]:
        """Return the adapters that the engine lists in this boot.

        :raises TargetRestarted: it is in another boot.
        """
        async with (
            self.borrow(boot, True) as connection,
            _limit_time(PROBE_TIMEOUT_SECONDS),
        ):
            answer = await connection.ask("GET", "/v1/models")
            body = await answer.read()
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
        """Order a load, and check that the engine lists the adapter afterwards.

        :raises Unavailable: the engine refused or failed, or says that it loaded
            and doesn't list the adapter.
        """
        command = msgspec.json.encode(
            {"lora_name": make_lora_name(key), "lora_path": source}
        )
        # A kept connection may have gone silent, and a load may take long
        async with (
            self.borrow(boot, True) as connection,
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
                        # the connection went silent under the order
                        return
                status, body = loading.result()
            finally:
                loading.cancel()
        if status != 200:
            raise _make_command_error(status, body)
        # A load that answers 200 has been seen to be wrong; the list is the proof
        if key not in await self.list_adapters(boot):
            raise _make_command_error(status, b"loaded but not listed")

    async def unload(
        self, key: AdapterKey, boot: BootId, incarnation: Incarnation
    ) -> None:
        """Order an unload.

        :raises Unavailable: the engine refused.
        """
        command = msgspec.json.encode({"lora_name": make_lora_name(key)})
        async with (
            self.borrow(boot, True) as connection,
            _limit_time(LOAD_TIMEOUT_SECONDS),
        ):
            status, body = await self._post_command(
                connection, "/v1/unload_lora_adapter", command, incarnation
            )
        if status not in (200, 404):
            raise _make_command_error(status, body)

    def close(self) -> None:
        """Drop all kept connections."""
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
        return answer.status, await answer.read()

    async def _is_listed(self, key: AdapterKey, boot: BootId) -> bool:
        try:
            return key in await self.list_adapters(boot)
        except LinkLost as error:
            logger.info("adapters not listed", extra={"reason": error.message})
            return False

    async def _read_boot(self, connection: ClientConnection) -> BootId:
        if not self._reports_boot:
            return BootId("")
        return (await self._request_sample(connection)).boot

    async def _request_sample(self, connection: ClientConnection) -> EngineSample:
        async with _limit_time(PROBE_TIMEOUT_SECONDS):
            answer = await connection.ask("GET", "/metrics")
            return _parse_sample(await answer.read())

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
            f"the target didn't answer in {seconds} s", "check the target's own log"
        ) from error


def _parse_sample(metrics: bytes) -> EngineSample:
    start = _START_TIME.search(metrics)
    if start is None:
        raise LinkLost(
            "the engine shows no process_start_time_seconds",
            "use an engine that shows it in /metrics; without it a restart is unseen",
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
        f"the engine answered {status} to an order: {reason}",
        "check the engine's log and the adapter's source",
        code=ErrorCode.LOAD_FAILED,
    )
