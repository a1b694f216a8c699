"""The messages of a call's prompt, and its content."""

import msgspec
import xxhash

from ibishead.entry.resolution import ResolvedCall
from ibishead.ids import CustomerId
from ibishead.routing.prompts import PromptKeys, make_content_key, make_prompt_keys

__all__ = ["find_prompt_keys"]


def find_prompt_keys(resolved: ResolvedCall) -> PromptKeys | None:
    """Return the keys of a model call, or none for a call to a plain service.

    Agents report the ends of engines only, so nothing is compared of other calls.

    The last message is the call's own; the ones before it may be shared with other
    calls, as a system message is. Adapter and version don't belong to the content,
    since callers change them when they send a call again.
    """
    call = resolved.call
    if call.payload is None:
        return None
    messages = call.payload.get("messages")
    names = []
    if isinstance(messages, list):
        names = [xxhash.xxh128_hexdigest(msgspec.json.encode(m)) for m in messages]
    kept = {name: value for name, value in call.payload.items() if name != "model"}
    fields = (call.method, call.service, call.path)
    content = make_content_key(fields, msgspec.json.encode(kept, order="sorted"))
    return make_prompt_keys(names, CustomerId(resolved.team), content)
