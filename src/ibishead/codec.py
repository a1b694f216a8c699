"""Encoding of messages as CBOR, and decoding with every type and size checked.

One frame on a link holds a batch of messages, in order.
"""

from collections.abc import Sequence
from typing import Any, TypeVar

import cbor2
import msgspec

from ibishead.errors import InvalidInput, TooLarge
from ibishead.messages import Message

__all__ = ["MAX_FRAME", "decode_as", "decode_batch", "encode", "encode_batch"]

#: Largest frame in bytes: a body of the largest size, its headers, and some reserve.
MAX_FRAME = 12 * 1024 * 1024

_NATIVE_TYPES = (bytes,)
_T = TypeVar("_T")


_struct_types: dict[Any, Any] = {}


def _wrap_in_struct(kind: Any) -> Any:
    # msgspec analyses a union type in each call, which takes 60 microseconds for the
    # union of all messages. For a struct with a field of that type it does so once.
    if kind not in _struct_types:
        fields = [("value", kind)]
        _struct_types[kind] = msgspec.defstruct("_Holder", fields, array_like=True)
    return _struct_types[kind]


def encode_batch(messages: Sequence[Message]) -> bytes:
    """Return a frame that holds the messages in order."""
    return encode(list(messages))


def decode_batch(frame: bytes) -> list[Message]:
    """Return the messages of a frame that `encode_batch` has made.

    :raises InvalidInput: the frame is not valid CBOR or does not hold known messages.
    :raises TooLarge: the frame exceeds `MAX_FRAME`.
    """
    return decode_as(frame, list[Message])


def encode(value: Any) -> bytes:
    """Return a message or a list of messages as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=_NATIVE_TYPES))


def decode_as(data: bytes, kind: type[_T]) -> _T:
    """Decode CBOR data to a value of the given type.

    :raises InvalidInput: the data is not valid CBOR or does not match the type.
    :raises TooLarge: the data exceeds `MAX_FRAME`.
    """
    if len(data) > MAX_FRAME:
        raise TooLarge(
            f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME} bytes",
            "send smaller request or answer bodies",
        )
    try:
        value = (cbor2.loads(data),)
        wrapped = msgspec.convert(
            value, _wrap_in_struct(kind), builtin_types=_NATIVE_TYPES
        )
        return wrapped.value
    # cbor2 raises several types of exceptions on malicious input
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
            f"cannot decode a frame: {error}",
            "run the same version of ibishead on both ends",
        ) from error
