"""Keys of the parts that a prompt consists of, and of the content of a request."""

import hashlib
from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from ibishead.ids import CustomerId, PartKey

__all__ = [
    "PromptKeys",
    "is_content_key",
    "make_content_key",
    "make_prompt_keys",
    "measure_parts",
]

#: Longest name of a part that serves as its key. A longer one is hashed, so that names
#: chosen by callers can't exhaust memory.
MAX_NAME_LENGTH = 32

#: Prefix of the keys of contents. With it they are longer than any name that serves as
#: a key, so that no caller can name a part like the content of another one's request.
CONTENT_PREFIX = "content:"

#: Bytes of the digest of a content. It is cryptographic, as a request that shares the
#: digest of another one is refused with it.
CONTENT_DIGEST_BYTES = 16


class PromptKeys(msgspec.Struct, frozen=True, array_like=True):
    """The parts of one prompt, such as the messages of a conversation.

    :param own: the last part, which belongs to the request or to its session; empty if
        the prompt names no parts.
    :param shared: the parts before it, in order; other prompts may have them too.
    :param customer: customer or team that the request is for; empty if it is anonymous.
    :param content: key of all that stays the same when the request is sent again;
        empty if it is not known.
    """

    own: PartKey
    shared: tuple[PartKey, ...] = ()
    customer: CustomerId = CustomerId("")
    content: PartKey = PartKey("")

    @property
    def scopes(self) -> tuple[PartKey, ...]:
        """What the request can be refused by, from the most general key on."""
        single = (key for key in (self.own, self.content) if key)
        return (*self.shared, *single)


def make_prompt_keys(
    names: Sequence[str],
    customer: CustomerId | None = None,
    content: PartKey | None = None,
) -> PromptKeys | None:
    """Return the keys of a request, or none if it has neither parts nor a content.

    :param names: names of the parts of its prompt, in order.
    :param content: from `make_content_key`.
    """
    if not names and not content:
        return None
    *shared, own = (_make_key(name) for name in names) if names else ("",)
    return PromptKeys(
        PartKey(own),
        tuple(PartKey(key) for key in dict.fromkeys(shared)),
        customer or CustomerId(""),
        content or PartKey(""),
    )


def make_content_key(fields: Iterable[str], body: bytes) -> PartKey:
    """Return the key of a request's content.

    :param fields: what else belongs to the content, such as method and path.
    """
    hasher = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
    for field in fields:
        encoded = field.encode()
        hasher.update(len(encoded).to_bytes(8, "big") + encoded)
    hasher.update(body)
    return PartKey(CONTENT_PREFIX + hasher.hexdigest())


def is_content_key(key: PartKey) -> bool:
    """Return whether a key is that of a content rather than of a part."""
    return len(key) > MAX_NAME_LENGTH and key.startswith(CONTENT_PREFIX)


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
