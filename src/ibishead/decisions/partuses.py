"""How requests with a prompt part, or of one content, have fared at one gateway."""

from collections import OrderedDict

from ibishead.decisions.crashes import SETTLED_SECONDS, PartUse
from ibishead.ids import PartKey
from ibishead.routing.prompts import PromptKeys, is_content_key

__all__ = ["MAX_PARTS", "MAX_SINGLE", "PartUses"]

#: Maximum number of shared parts that are kept; beyond it, those used least recently
#: are removed.
MAX_PARTS = 20_000

#: The same for last parts and contents. Nearly all of them are sent once, so they have
#: a limit of their own, and don't displace the shared parts.
MAX_SINGLE = 5_000


class PartUses:
    """Uses of the parts of prompts and of contents, the most recent ones."""

    def __init__(self) -> None:
        self._shared = _UseTable(MAX_PARTS)
        self._single = _UseTable(MAX_SINGLE)

    def __len__(self) -> int:
        return len(self._shared) + len(self._single)

    def record_sent(self, keys: PromptKeys) -> None:
        """Count a request that is sent to an engine."""
        self._add(keys, PartUse(1))

    def record_answer(
        self, keys: PromptKeys, begun_at: float, complete: bool, now: float
    ) -> bool:
        """Record an answer that has ended or was broken off.

        :param begun_at: monotonic seconds at which its first event arrived.
        :param complete: whether it was received to its end.
        :param now: monotonic seconds.
        :returns: whether it shows that its prompt crashes no engine.
        """
        if not complete and now - begun_at < SETTLED_SECONDS:
            return False
        sound_at = min(now, begun_at + SETTLED_SECONDS)
        self._add(keys, PartUse(0, sound_at))
        return True

    def record_sound(self, part: PartKey, at: float) -> None:
        """Record that an answer was written on a part elsewhere.

        :param at: monotonic seconds.
        """
        table = self._single if is_content_key(part) else self._shared
        table.add(part, PartUse(0, at))

    def read(self, part: PartKey) -> PartUse:
        """Return the use of a part or content."""
        # the last message of a conversation is a shared one of its continuation
        return self._shared.read(part).add(self._single.read(part))

    def _add(self, keys: PromptKeys, use: PartUse) -> None:
        for part in keys.shared:
            self._shared.add(part, use)
        for part in (keys.own, keys.content):
            if part:
                self._single.add(part, use)


class _UseTable:
    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._known: OrderedDict[PartKey, PartUse] = OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def read(self, part: PartKey) -> PartUse:
        return self._known.get(part, PartUse())

    def add(self, part: PartKey, use: PartUse) -> None:
        self._known[part] = self.read(part).add(use)
        self._known.move_to_end(part)
        if len(self._known) > self._limit:
            self._known.popitem(last=False)
