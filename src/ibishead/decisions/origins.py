"""Services and software versions that began streams, kept until the streams end."""

import heapq

from ibishead.ids import RequestId
from ibishead.routing.targets import StreamOrigin

__all__ = ["MAX_ORIGINS", "OriginTable", "compute_lifetime"]

#: Maximum number of streams that are kept. Beyond it, those that expire first are
#: removed.
MAX_ORIGINS = 50_000

#: Seconds for which an origin is kept after the caller's deadline, and for a caller
#: without a deadline.
EXPIRY_MARGIN_SECONDS = 5.0
DEFAULT_LIFETIME_SECONDS = 120.0


def compute_lifetime(timeout: float | None) -> float:
    """Return the seconds for which a stream may be resumed after its begin.

    :param timeout: seconds until the caller's deadline, if it has one.
    """
    lifetime = DEFAULT_LIFETIME_SECONDS if timeout is None else timeout
    return lifetime + EXPIRY_MARGIN_SECONDS


class OriginTable:
    """Maps requests that brought the first event of a stream to what began it."""

    def __init__(self) -> None:
        self._known: dict[RequestId, tuple[StreamOrigin, float]] = {}
        self._expiries: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._known)

    def record(
        self, stream: RequestId, origin: StreamOrigin, expiry: float, now: float
    ) -> None:
        """Store what began a stream.

        :param expiry: monotonic seconds from which the stream can't be resumed.
        :param now: monotonic seconds.
        """
        self._known[stream] = origin, expiry
        heapq.heappush(self._expiries, (expiry, stream))
        while self._expiries and (
            self._expiries[0][0] <= now or len(self._known) > MAX_ORIGINS
        ):
            first, oldest = heapq.heappop(self._expiries)
            if oldest in self._known and self._known[oldest][1] == first:
                del self._known[oldest]

    def find(self, stream: RequestId, now: float) -> StreamOrigin | None:
        """Return what began a stream, or ``None`` if unknown.

        :param now: monotonic seconds.
        """
        origin, expiry = self._known.get(stream, (None, 0.0))
        return origin if expiry > now else None
