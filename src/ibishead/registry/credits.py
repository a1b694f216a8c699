"""Marks in the replicated log that the accounts of quotas were credited in advance.

A new keeper credits its accounts, so that requests which waited for it pass. Credits in
quick succession would add up in one window, and a program that has just started knows
of no earlier one. So the log keeps a mark, from before a credit is given until it no
longer counts.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from ibishead.control.log.machine import Replica
from ibishead.errors import IbisheadError
from ibishead.registry.commands import (
    Command,
    CreditMarked,
    ReleaseCredit,
    TakeCredit,
    decode_result,
    encode_command,
)

__all__ = ["CreditLog"]

logger = logging.getLogger(__name__)

#: Time within which a mark has to be committed. Requests wait meanwhile.
CLAIM_TIMEOUT_SECONDS = 0.4


class CreditLog:
    """Proposes marks of credits; to be used on the leader."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._tasks: set[asyncio.Task[object]] = set()

    def claim(self, term: int, on_result: Callable[[bool], None]) -> None:
        """Mark a credit.

        :param term: term of this leader.
        :param on_result: called with whether the credit may be given.
        """
        self._spawn(self._claim(term, on_result))

    def release(self, term: int) -> None:
        """Remove the mark of a credit that was given in a term."""
        self._spawn(self._propose(ReleaseCredit(term)))

    async def stop(self) -> None:
        """Cancel what is in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _claim(self, term: int, on_result: Callable[[bool], None]) -> None:
        on_result(await self._propose(TakeCredit(term)))

    async def _propose(self, command: Command) -> bool:
        """Return whether a credit was granted; not if the outcome is unknown."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                encoded = await self._replica.propose(encode_command(command))
        except (IbisheadError, TimeoutError) as error:
            logger.warning(
                "credit of the quotas not marked",
                extra={"command": type(command).__name__, "reason": str(error)},
            )
            return False
        result = decode_result(encoded)
        return isinstance(result, CreditMarked) and result.granted

    def _spawn(self, work: Coroutine[object, None, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
