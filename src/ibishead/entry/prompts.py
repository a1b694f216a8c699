"""The messages of a call's prompt, and its content."""

import msgspec
import xxhash

from ibishead.entry.call import Call
from ibishead.entry.resolution import ResolvedCall
from ibishead.ids import CustomerId
from ibishead.routing.prompts import PromptKeys, make_content_key, make_prompt_keys

__all__ = ["find_prompt_keys"]


def find_prompt_keys(resolved: ResolvedCall) -> PromptKeys | None:
    """Return the keys of a conversation's messages, and of the content of any call.

    The last message is the call's own; the ones before it may be shared with other
    calls, as a system message is. Adapter and version don't belong to the content,
    since callers change them when they send a call again.
    """
    call = resolved.call
    payload = call.payload
    messages = payload.get("messages") if payload is not None else None
    names = []
    if isinstance(messages, list):
        names = [xxhash.xxh128_hexdigest(msgspec.json.encode(m)) for m in messages]
    content = make_content_key(
        (call.method, call.service, call.path), _encode_content(call)
    )
    return make_prompt_keys(names, CustomerId(resolved.team), content)


def _encode_content(call: Call) -> bytes:
    if call.payload is None:
        return call.body
    kept = {name: value for name, value in call.payload.items() if name != "model"}
    return msgspec.json.encode(kept, order="sorted")
