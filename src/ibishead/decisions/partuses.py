"""How requests with a prompt part have fared at one gateway."""

from collections import OrderedDict

from ibishead.decisions.crashes import SETTLED_SECONDS, PartUse
from ibishead.ids import PartKey
from ibishead.routing.prompts import PromptKeys

__all__ = ["MAX_PARTS", "PartUses"]

#: Maximum number of parts that are kept; beyond it, those used least recently are
#: removed.
MAX_PARTS = 20_000


class PartUses:
    """Uses of the shared parts of prompts, the most recent ones."""

    def __init__(self) -> None:
        self._known: OrderedDict[PartKey, PartUse] = OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def record_sent(self, keys: PromptKeys) -> None:
        """Count a request that is sent to an engine."""
        for part in keys.shared:
            self._add(part, PartUse(1))

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
        for part in keys.shared:
            self._add(part, PartUse(0, sound_at))
        return True

    def record_sound(self, part: PartKey, at: float) -> None:
        """Record that an answer was written on a part elsewhere.

        :param at: monotonic seconds.
        """
        self._add(part, PartUse(0, at))

    def read(self, part: PartKey) -> PartUse:
        """Return the use of a part."""
        return self._known.get(part, PartUse())

    def _add(self, part: PartKey, use: PartUse) -> None:
        self._known[part] = self.read(part).add(use)
        self._known.move_to_end(part)
        if len(self._known) > MAX_PARTS:
            self._known.popitem(last=False)
