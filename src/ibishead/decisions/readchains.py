"""Recognition of prompts that an engine reads without a pause between them.

Only the time in which an engine was busy with prompts shows its read rate. Under load
hardly any prompt is alone at its engine, so prompts that queue behind each other are
measured together.
"""

import math
from dataclasses import dataclass

from ibishead.decisions.readspeed import MAX_SECONDS, MAX_TOKENS, ReadSpeed

__all__ = ["ReadChains"]

#: Time after which a chain is measured although further prompts follow. The steps that
#: are timed at its ends read other prompts than those counted. In simulations, 0.4 s
#: gave estimates of over twice the speed of a slow engine with long chunks, and with
#: 1.2 s a change of speed was found up to 2 s later.
CHAIN_SECONDS = 0.8

#: Maximum seconds between the first events of prompts that the engine has read in one
#: step. They arrive over the links of different gateways.
SAME_STEP_SECONDS = 0.004


@dataclass
class _Chain:
    """Prompts that the engine reads without a pause.

    :ivar began: monotonic seconds from which it is timed: the send of the first prompt,
        or the first event of the one before it.
    :ivar queued: all prompts were queued behind another one.
    :ivar slowdowns: sum of the host's slowdowns while the prompts were read.
    """

    began: float
    queued: bool
    tokens: int = 0
    answers: int = 0
    slowdowns: float = 0.0


class ReadChains:
    """Records the chains of prompts that one engine reads.

    A prompt is part of a chain if the engine had it before it read the prompt of the
    previous first event to its end, or if both were read in one step. The estimate of
    the constant part tells when that end was.

    Times are divided by the slowdown of the host, so that the rate is that of an engine
    whose host works as usual.

    :param speed: the estimate that is fed.
    """

    def __init__(self, speed: ReadSpeed) -> None:
        self._speed = speed
        self._chain: _Chain | None = None
        self._last_event = -math.inf

    def record(
        self, tokens: int, seconds: float, idle: bool, now: float, slowdown: float = 1.0
    ) -> None:
        """Record the first event of a prompt.

        :param seconds: from the send to the first event.
        :param idle: the engine has no further prompt to read.
        :param now: monotonic seconds of the event.
        :param slowdown: slowdown of the host meanwhile.
        """
        if not (0 < seconds <= MAX_SECONDS and 0 <= tokens <= MAX_TOKENS):
            return
        if not tokens:
            # The engine has read a prompt of unknown length.
            self.discard()
            return
        passed = now - self._last_event
        queued = seconds >= passed + self._speed.constant
        if self._chain is None or not (queued or passed <= SAME_STEP_SECONDS):
            self._close(self._last_event)
            began = self._last_event if queued else now - seconds
            self._chain = _Chain(began, queued)
        self._last_event = now
        self._chain.tokens += tokens
        self._chain.answers += 1
        self._chain.slowdowns += slowdown
        if idle or now - self._chain.began >= CHAIN_SECONDS:
            self._close(now)
        if idle:
            # No later prompt was queued behind this one.
            self._last_event = -math.inf

    def discard(self) -> None:
        """Discard the current chain, as the engine reads prompts that aren't known."""
        self._chain, self._last_event = None, -math.inf

    def _close(self, ended: float) -> None:
        chain, self._chain = self._chain, None
        if chain is None:
            return
        self._speed.record(
            chain.tokens,
            max(0.0, ended - chain.began) * chain.answers / chain.slowdowns,
            ended,
            chain.queued,
            chain.answers,
        )
