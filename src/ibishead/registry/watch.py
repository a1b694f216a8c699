"""Keeps a part of the replicated state up to date while this registry leads."""

import asyncio
import logging
from collections.abc import Mapping

from ibishead.control.log.machine import Replica
from ibishead.errors import IbisheadError
from ibishead.registry.commands import Command, Rejected, decode_result, encode_command
from ibishead.waiting import wait_for_event

__all__ = ["StateWatch"]

logger = logging.getLogger(__name__)

#: Seconds between two checks without a reason to check earlier. They take over what an
#: earlier leader left, and repeat what found no quorum.
CHECK_INTERVAL_SECONDS = 0.25

#: Time within which a change has to be committed.
COMMIT_TIMEOUT_SECONDS = 1.0


class StateWatch:
    """Proposes changes of the replicated state while this registry leads.

    :param subject: what the changes are about, for log lines.
    """

    def __init__(self, replica: Replica, subject: str) -> None:
        self._replica = replica
        self._subject = subject
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Propose what is missing and what has expired, until cancelled."""
        while True:
            self._wake.clear()
            if self._replica.is_leader():
                await self._update()
            else:
                self._reset()
            await wait_for_event(self._wake, CHECK_INTERVAL_SECONDS)

    async def _update(self) -> None:
        """Propose the changes that are due; to be overridden."""
        raise NotImplementedError

    def _reset(self) -> None:
        """Discard what was noted while this registry led."""

    async def _propose(self, command: Command, fields: Mapping[str, object]) -> None:
        """Propose a command; the next check repeats it if it isn't committed.

        :param fields: what the log line says of the command.
        """
        extra = {"command": type(command).__name__, **fields}
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                result = await self._replica.propose(encode_command(command))
        except (IbisheadError, TimeoutError) as error:
            reason = str(error)
        else:
            match decode_result(result):
                case Rejected(reason):
                    pass
                case _:
                    logger.info("%s committed", self._subject, extra=extra)
                    return
        logger.warning(
            "%s not committed", self._subject, extra=extra | {"reason": reason}
        )
