"""Starts a program with one mechanism switched off, to measure what it is worth.

Run as ``python -S benchmarks/without.py MECHANISM PROGRAM ...`` in place of
``deploy/launch.py``; `benchmarks.ablation` lays such a build. A mechanism is switched
off by the figures and functions that it goes by, so that the programs themselves know
nothing of switches.
"""

import importlib
import math
import signal
import sys
from collections.abc import Sequence
from typing import Any

__all__ = ["MECHANISMS", "main", "switch_off"]

#: What each mechanism goes by, and what it is set to: module, name in it, value.
MECHANISMS: dict[str, tuple[tuple[str, str, Any], ...]] = {
    # prompts go to an engine without turns
    "turns": (("decisions.turns", "PromptWindow.wait", lambda *_: 0.0),),
    # every engine counts as one that reads as fast as the slowest
    "read-rate": (("decisions.readspeed", "MIN_SAMPLES", math.inf),),
    # three loads at once, and a quarter of a second for each
    "load-pace": (
        ("decisions.loadpace", "INITIAL_CONCURRENT_LOADS", 3.0),
        ("decisions.loadpace", "LoadPace.record", lambda *_: None),
    ),
    # adapters are loaded in the order in which they were asked for last
    "load-order": (("steward.demands", "count_served", lambda *_: 1.0),),
    # a second copy of an adapter costs no more than a first one
    "copy-cost": (("decisions.choice", "COPY_DELAY", 0.0),),
    # adapters have no home
    "hash-order": (("decisions.choice", "HASH_RANK_DELAY", 0.0),),
    # copies that engines have at hand count as copies in the store
    "at-hand": (("decisions.choice", "RELOAD_DELAY", 0.28),),
    # loads that wait at an engine don't count
    "load-queue": (("decisions.choice", "QUEUED_LOAD_DELAY", 0.0),),
    # targets that fail are chosen like others
    "failure-share": (("decisions.choice", "FAILURE_DELAY", 0.0),),
    # the adapter that was used last stays, however seldom it is used
    "reuse-count": (("decisions.eviction", "ReuseCounter.read", lambda *_: 0.0),),
    # who knows no route or target yet refuses at once
    "learn-patience": (("decisions.holding", "MAX_HOLD_SECONDS", 0.0),),
    # an engine is sent more requests than its batch has slots
    "batch-slots": (("decisions.batchslots", "BatchSlots.full", False),),
    # every receiver is sent whole route sets
    "route-changes": (("routing.changes", "MAX_RETAINED_SETS", 1),),
    # requests that no engine begins wait until their deadline
    "refusal": (("gateway.choosing", "REFUSE_FACTOR", 1e6),),
    # voters wait out a silence after a start
    "early-election": (("control.consensus", "Consensus.hasten", lambda *_: None),),
    # engines are known once they announce themselves
    "naming": (("steward.naming", "EngineNamer._is_unknown", lambda *_: False),),
    # Ways that anybody would begin with, in place of the choice by expected delay.
    "random-choice": (
        ("decisions.choice", "estimate_delay", lambda *_: 0.0),
        ("decisions.choice", "COPY_DELAY", 0.0),
    ),
    "least-load": (
        (
            "decisions.choice",
            "estimate_delay",
            lambda _, target, *__: target.busy / max(1, target.slots),
        ),
        ("decisions.choice", "COPY_DELAY", 0.0),
    ),
    "affinity": (
        ("decisions.choice", "estimate_delay", lambda _, __, rank=0: float(rank)),
        ("decisions.choice", "COPY_DELAY", 0.0),
        ("decisions.eviction", "ReuseCounter.read", lambda *_: 0.0),
    ),
}


def switch_off(mechanism: str) -> None:
    """Set what a mechanism goes by, before the program starts.

    :raises KeyError: there is no such mechanism.
    :raises AttributeError: the program has no such figure or function any more.
    """
    for module, name, value in MECHANISMS[mechanism]:
        place: Any = importlib.import_module(f"ibishead.{module}")
        *path, last = name.split(".")
        for step in path:
            place = getattr(place, step)
        getattr(place, last)
        setattr(place, last, value)


def main(arguments: Sequence[str]) -> None:
    """Start a program without a mechanism."""
    # a reload that comes before the program is ready must not end it
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    sys.path.insert(0, "target/app")
    mechanism, *rest = arguments
    switch_off(mechanism)
    sys.argv[1:] = rest
    importlib.import_module("ibishead.platform.programs").main()


if __name__ == "__main__":
    main(sys.argv[1:])
