"""Prompt parts that an engine keeps from earlier requests.

An engine keeps the parts that it has read for the same weights, and does not read a
part again if all parts before it are kept. Kept parts use the memory that running
requests leave, and the least recently used ones are evicted for them.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import TypeAlias

import xxhash

from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import WeightKey

__all__ = ["KeptParts", "PartChain", "chain_parts"]

#: Digest of each part of a prompt with all parts before it, and the part's length.
PartChain: TypeAlias = tuple[tuple[int, int], ...]

#: Maximum number of recorded parts. An engine of 130,000 tokens holds about 370 parts
#: of the mean length, and a gateway records them for some 25 engines.
MAX_PARTS = 1024

#: Part lengths beyond this are clamped to it.
MAX_TOKENS = 1_000_000


class KeptParts:
    """Estimates which parts one engine keeps, as seen from one observer.

    :param lifetime: seconds after which an unused part counts as evicted, ``None`` if
        the observer sees all of the engine's requests.
    """

    def __init__(self, lifetime: float | None = None) -> None:
        self._lifetime = lifetime
        #: Weights, length and time of the last use, by the digest of the part with all
        #: parts before it.
        self._parts: OrderedDict[int, tuple[WeightKey, int, float]] = OrderedDict()
        self._versions: dict[WeightKey, int] = {}
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._parts)

    @property
    def tokens(self) -> int:
        """Total length of the parts."""
        return self._tokens

    def record_read(
        self,
        weights: WeightKey,
        chain: PartChain,
        now: float,
    ) -> None:
        """Record that the engine has read a prompt, and so keeps its parts.

        :param chain: the parts, from `chain_parts` for the same weights.
        :param now: monotonic seconds.
        """
        for digest, tokens in chain:
            self._remove(digest)
            self._parts[digest] = weights, tokens, now
            self._tokens += tokens
        while len(self._parts) > MAX_PARTS:
            self._remove(next(iter(self._parts)))

    def count_kept(self, chain: PartChain, now: float) -> int:
        """Return the leading tokens of a prompt that the engine keeps.

        :param chain: the prompt's parts, from `chain_parts`.
        :param now: monotonic seconds.
        """
        kept = 0
        for digest, tokens in chain:
            found = self._parts.get(digest)
            if found is None:
                break
            if self._lifetime is not None and now - found[2] > self._lifetime:
                break
            kept += tokens
        return kept

    def trim(self, capacity: int) -> None:
        """Evict the least recently used parts beyond the memory that is left to them.

        :param capacity: tokens.
        """
        while self._parts and self._tokens > capacity:
            self._remove(next(iter(self._parts)))

    def retain(self, versions: Mapping[WeightKey, int]) -> None:
        """Forget the parts of weights that are no longer held at the same version.

        :param versions: version of each adapter that the engine holds; parts of the
            base model alone remain.
        """
        if versions == self._versions:
            return
        changed = {k for k, v in self._versions.items() if versions.get(k) != v}
        self._versions = dict(versions)
        for digest in [d for d, part in self._parts.items() if part[0] in changed]:
            self._remove(digest)

    def _remove(self, digest: int) -> None:
        found = self._parts.pop(digest, None)
        if found is not None:
            self._tokens -= found[1]


def chain_parts(
    weights: WeightKey, keys: PromptKeys | None, part_tokens: tuple[int, ...]
) -> PartChain:
    """Return the digest of each part with all parts before it, and the part's length.

    :param keys: the parts of the prompt, if it names any.
    :param part_tokens: lengths of the parts, in the order of the keys.
    """
    if keys is None or len(part_tokens) != len(keys.shared) + 1:
        return ()
    chain = []
    hasher = xxhash.xxh64(f"{weights.model}/{weights.adapter}".encode())
    for key, tokens in zip((*keys.shared, keys.own), part_tokens, strict=True):
        hasher.update(f"\0{key}".encode())
        chain.append((hasher.intdigest(), min(MAX_TOKENS, max(0, tokens))))
    return tuple(chain)
