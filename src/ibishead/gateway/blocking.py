"""Refuses requests that crash engines, by a part of their prompts or their content."""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from ibishead.errors import ErrorCode, IbisheadError, Unavailable
from ibishead.gateway.recorder import RequestState
from ibishead.ids import HostId, PartKey
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import BlockedPart, PartSound
from ibishead.routing.prompts import PromptKeys, is_content_key

__all__ = ["PromptBlocks"]

#: Retry-after time in seconds, varied randomly by half. A part stays blocked for many
#: minutes, so an earlier retry is futile.
RETRY_AFTER_SECONDS = 60.0


class PromptBlocks:
    """Applies the blocked parts and contents to requests, also to those that wait.

    :param host: this gateway's host.
    :param draw: returns a random number in [0, 1), for retry-after times.
    """

    def __init__(
        self,
        host: HostId,
        feed: RegistryFeed,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._host = host
        self._feed = feed
        self._draw = draw
        self._waiting: dict[asyncio.Task[object], RequestState] = {}
        #: Number of the last trial of each part in which a request was sent here.
        self._tested: dict[PartKey, int] = {}

    def check(self, request: RequestState) -> None:
        """Check that a request may wait to be sent to an engine.

        :raises IbisheadError: a part of its prompt is blocked.
        """
        for found in self._list_blocked(request):
            if not self._may_test(found):
                raise self._make_error(found.part)

    def admit(self, request: RequestState) -> None:
        """Check that a request may be sent to an engine now.

        :raises IbisheadError: a part of its prompt is blocked.
        """
        self.check(request)
        for found in self._list_blocked(request):
            self._tested[found.part] = found.trials

    def report_sound(self, keys: PromptKeys) -> None:
        """Tell the registries that a request was answered."""
        for part in keys.scopes:
            if part in self._feed.blocked:
                self._feed.broadcast(PartSound(part))

    @contextmanager
    def interrupt(self, request: RequestState) -> Iterator[None]:
        """Interrupt what the current task waits for once a part is blocked.

        :raises IbisheadError: a part of the request's prompt is or becomes blocked.
        """
        self.check(request)
        task = asyncio.current_task()
        if task is None or request.keys is None:
            yield
            return
        self._waiting[task] = request
        try:
            yield
        except asyncio.CancelledError:
            if task in self._waiting:
                raise
            # cancelled by `apply`, unless the caller has left as well
            if task.uncancel():
                raise
            self.check(request)
            raise
        finally:
            self._waiting.pop(task, None)

    def apply(self) -> None:
        """Interrupt the requests that wait with a part that is blocked now."""
        blocked = self._feed.blocked
        self._tested = {p: n for p, n in self._tested.items() if p in blocked}
        for task, request in list(self._waiting.items()):
            if not all(map(self._may_test, self._list_blocked(request))):
                del self._waiting[task]
                task.cancel()

    def _list_blocked(self, request: RequestState) -> list[BlockedPart]:
        blocked, keys = self._feed.blocked, request.keys
        if not blocked or keys is None:
            return []
        found = [blocked[part] for part in keys.scopes if part in blocked]
        return [b for b in found if b.customers is None or keys.customer in b.customers]

    def _may_test(self, found: BlockedPart) -> bool:
        used = self._tested.get(found.part, 0)
        return found.tester == self._host and used < found.trials

    def _make_error(self, part: PartKey) -> IbisheadError:
        reason = f"part {part} of the prompt has crashed several engines"
        remedy = "send the request without that part"
        if is_content_key(part):
            reason = "this request has crashed several engines"
            remedy = "send it with another prompt or body"
        seconds = RETRY_AFTER_SECONDS * (0.5 + self._draw())
        return Unavailable(
            f"not run: {reason}",
            remedy,
            code=ErrorCode.PROMPT_BLOCKED,
            retry_after=timedelta(seconds=seconds),
        )
