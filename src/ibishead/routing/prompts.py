"""Keys of the parts that a prompt consists of."""

from collections.abc import Sequence

import msgspec
import xxhash

from ibishead.ids import CustomerId, PartKey

__all__ = ["PromptKeys", "make_prompt_keys", "measure_parts"]

#: Longest name of a part that serves as its key. A longer one is hashed, so that names
#: chosen by callers can't exhaust memory.
MAX_NAME_LENGTH = 32


class PromptKeys(msgspec.Struct, frozen=True, array_like=True):
    """The parts of one prompt, such as the messages of a conversation.

    :param own: the last part, which belongs to the request or to its session.
    :param shared: the parts before it, in order; other prompts may have them too.
    :param customer: customer or team that the request is for; empty if it is anonymous.
    """

    own: PartKey
    shared: tuple[PartKey, ...] = ()
    customer: CustomerId = CustomerId("")


def make_prompt_keys(
    names: Sequence[str], customer: CustomerId | None = None
) -> PromptKeys | None:
    """Return the keys of a prompt's parts, or none for a prompt without parts.

    :param names: names of the parts, in order.
    """
    if not names:
        return None
    *shared, own = (_make_key(name) for name in names)
    return PromptKeys(own, tuple(dict.fromkeys(shared)), customer or CustomerId(""))


def measure_parts(parts: Sequence[tuple[str, int]]) -> tuple[int, ...]:
    """Return the lengths of the parts whose keys `make_prompt_keys` returns, in order.

    :param parts: names and lengths in tokens of the parts, in order.
    """
    if not parts:
        return ()
    *shared, (_, own_tokens) = parts
    lengths: dict[str, int] = {}
    for name, tokens in shared:
        lengths.setdefault(name, tokens)
    return (*lengths.values(), own_tokens)


def _make_key(name: str) -> PartKey:
    if len(name) <= MAX_NAME_LENGTH:
        return PartKey(name)
    return PartKey(f"xxh128:{xxhash.xxh128_hexdigest(name.encode())}")
