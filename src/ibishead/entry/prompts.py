"""The messages of a call's prompt."""

import msgspec
import xxhash

from ibishead.entry.resolution import ResolvedCall
from ibishead.ids import CustomerId
from ibishead.routing.prompts import PromptKeys, make_prompt_keys

__all__ = ["find_prompt_keys"]


def find_prompt_keys(resolved: ResolvedCall) -> PromptKeys | None:
    """Return the keys of a conversation's messages, or none for any other prompt.

    The last message is the call's own; the ones before it may be shared with other
    calls, as a system message is.
    """
    payload = resolved.call.payload
    messages = payload.get("messages") if payload is not None else None
    if not isinstance(messages, list) or len(messages) < 2:
        return None
    names = [xxhash.xxh128_hexdigest(msgspec.json.encode(m)) for m in messages]
    return make_prompt_keys(names, CustomerId(resolved.team))
