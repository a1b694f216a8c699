"""Messages to CBOR and back, by library, with every type and size checked.

One frame on a link holds a batch of messages, in order.
"""

from collections.abc import Sequence
from typing import Any, TypeVar

import cbor2
import msgspec

from ibishead.errors import InvalidInput, TooLarge
from ibishead.messages import Message

__all__ = ["MAX_FRAME", "decode_as", "decode_batch", "encode", "encode_batch"]

#: Largest frame in bytes: a body at its limit, its headers, and some room.
MAX_FRAME = 12 * 1024 * 1024

_PASSED_THROUGH = (bytes,)
_T = TypeVar("_T")


_holders: dict[Any, Any] = {}


def _hold(kind: Any) -> Any:
    # msgspec works a union out anew at each call, in 60 microseconds for all messages,
    # but only once for a struct that has it as a field
    if kind not in _holders:
        fields = [("value", kind)]
        _holders[kind] = msgspec.defstruct("_Holder", fields, array_like=True)
    return _holders[kind]


def encode_batch(messages: Sequence[Message]) -> bytes:
    """Return the frame that holds the messages.

    :param messages: what to send, in order.
    """
    return encode(list(messages))


def decode_batch(frame: bytes) -> list[Message]:
    """Return the messages of a frame.

    :param frame: what `encode_batch` returned at the peer.
    :raises InvalidInput: the frame is no CBOR or holds no known messages.
    :raises TooLarge: the frame exceeds `MAX_FRAME`.
    """
    return decode_as(frame, list[Message])


def encode(value: Any) -> bytes:
    """Return any message, or list of messages, as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=_PASSED_THROUGH))


def decode_as(data: bytes, kind: type[_T]) -> _T:
    """Return CBOR data as a value of the kind asked for.

    :raises InvalidInput: the data is no CBOR, or of another shape.
    :raises TooLarge: the data exceeds `MAX_FRAME`.
    """
    if len(data) > MAX_FRAME:
        raise TooLarge(
            f"a frame of {len(data)} bytes exceeds {MAX_FRAME}",
            "send smaller bodies",
        )
    try:
        value = (cbor2.loads(data),)
        holder = msgspec.convert(value, _hold(kind), builtin_types=_PASSED_THROUGH)
        return holder.value
    # cbor2 lets errors of several kinds through on hostile input
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        RecursionError,
        OverflowError,
        MemoryError,
    ) as error:
        raise InvalidInput(
            f"a frame can't be decoded: {error}",
            "run the same version of ibishead on both ends",
        ) from error
