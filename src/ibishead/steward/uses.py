"""Tracks which of an engine's adapters are in use, as reported by the gateways."""

from collections import Counter

from ibishead.decisions.eviction import ReuseCounter
from ibishead.decisions.residents import digest
from ibishead.links import Link
from ibishead.routing.targets import WeightKey

__all__ = ["AdapterUses"]

#: Seconds for which the adapters of a gateway count as in use after its link is lost.
#: The gateway may have lost only this link, with its requests still running. A request
#: that runs longer merely delays the order that unloads its adapter.
LOST_LINK_USE_SECONDS = 3.0


class AdapterUses:
    """Counts requests in progress by gateway and adapter, and records past uses.

    :ivar last_used: when each adapter was last used, monotonic seconds.
    :ivar reuse: how often adapters have been used, by their digests.
    """

    def __init__(self) -> None:
        self.last_used: dict[WeightKey, float] = {}
        self.reuse = ReuseCounter()
        self._running: dict[Link, Counter[WeightKey]] = {}
        self._lost_until: dict[WeightKey, float] = {}

    def add_link(self, link: Link) -> None:
        """Start counting the uses of a gateway."""
        self._running[link] = Counter()

    def remove_link(self, link: Link, now: float) -> None:
        """Stop counting the uses of a gateway whose link is closed.

        :param now: monotonic seconds.
        """
        for key in self._running.pop(link, ()):
            self._lost_until[key] = now + LOST_LINK_USE_SECONDS

    def record_request(self, key: WeightKey, now: float) -> None:
        """Record that a request asked for an adapter.

        :param now: monotonic seconds.
        """
        self.last_used[key] = now
        self.reuse.observe_use(digest(key), now)

    def begin(self, link: Link, key: WeightKey) -> None:
        """Count a use as in progress."""
        if link in self._running:
            self._running[link][key] += 1

    def end(self, link: Link, key: WeightKey, now: float) -> bool:
        """Count a use as ended.

        :param now: monotonic seconds.
        :returns: whether the gateway has no other use of the adapter in progress.
        """
        running = self._running.get(link)
        if running is None or not running[key]:
            return False
        running[key] -= 1
        if running[key]:
            return False
        del running[key]
        self.last_used[key] = now
        return True

    def list_in_use(self, now: float) -> frozenset[WeightKey]:
        """Return the adapters in use by running requests.

        :param now: monotonic seconds.
        """
        lost = {key for key, until in self._lost_until.items() if until > now}
        return frozenset(lost.union(*self._running.values()))
