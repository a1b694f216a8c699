"""What a request is expected to cost an engine, and on whose account."""

import msgspec

from ibishead.ids import CustomerId

__all__ = ["RequestWork"]


class RequestWork(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of a request that is sent to an engine.

    :param answer_tokens: expected length of the answer in tokens, 0 if unknown.
    :param part_tokens: lengths in tokens of the prompt's shared parts and of its own
        part, in the order of its keys.
    :param rank: priority; 0 is the most urgent.
    :param customer: customer that it is for; empty if it is anonymous.
    :param upper_tokens: length that 9 of 10 such answers do not exceed, 0 if unknown.
    """

    answer_tokens: int = 0
    part_tokens: tuple[int, ...] = ()
    rank: int = 0
    customer: CustomerId = CustomerId("")
    upper_tokens: int = 0
