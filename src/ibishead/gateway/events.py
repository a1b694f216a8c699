"""Splits a stream of server-sent events at event boundaries."""

from ibishead.errors import LinkLost

__all__ = ["EventSplitter"]

#: An empty line, after a line that ends with LF, or CR LF.
_BOUNDARIES = (b"\n\n", b"\n\r\n")
_MAX_BOUNDARY = max(map(len, _BOUNDARIES))
_ID = b"id:"
_LINE_ENDS = b"\r\n"


class EventSplitter:
    """Buffers a partial event until it is complete.

    When a target fails in the middle of an event, another target resumes the stream
    after the last complete event. A partial event that had been relayed would corrupt
    the resumed stream.

    :ivar last_id: id of the last complete event, or ``None`` before the first one.
    :ivar count: number of complete events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return all events that are now complete."""
        if not self._partial and data.endswith(_BOUNDARIES):
            complete = data
        else:
            complete = self._take_complete(data)
        if not complete:
            return b""
        self.count += sum(complete.count(boundary) for boundary in _BOUNDARIES)
        self._update_last_id(complete)
        return complete

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes."""
        return len(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event, blank lines left out."""
        return len(self._partial.strip(_LINE_ENDS))

    def flush(self) -> bytes:
        """Return and clear the blank lines that follow the last event.

        :raises LinkLost: the stream ended inside an event.
        """
        if self.partial_bytes:
            raise LinkLost(
                f"the stream ended inside an event, after {self.partial_bytes} bytes",
                "check the log of the target",
            )
        blank = bytes(self._partial)
        self._partial.clear()
        return blank

    def _take_complete(self, data: bytes) -> bytes:
        # A boundary may begin in what was received before; the rest holds none.
        start = max(0, len(self._partial) - _MAX_BOUNDARY + 1)
        self._partial += data
        end = max(_find_end(self._partial, boundary, start) for boundary in _BOUNDARIES)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return complete

    def _update_last_id(self, complete: bytes) -> None:
        position = complete.rfind(b"\n" + _ID)
        start = (
            position + 1 if position >= 0 else (0 if complete.startswith(_ID) else -1)
        )
        if start < 0:
            return
        line = complete[start + len(_ID) : complete.index(b"\n", start)]
        self.last_id = line.strip().decode("ascii", "replace")


def _find_end(data: bytearray, boundary: bytes, start: int) -> int:
    """Return the position after the last boundary from a position on, 0 without one."""
    found = data.rfind(boundary, start)
    return found + len(boundary) if found >= 0 else 0
