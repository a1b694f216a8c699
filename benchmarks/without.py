"""Starts a program with one mechanism disabled, to measure the effect of the mechanism.

Run as ``python -S benchmarks/without.py MECHANISM PROGRAM ...`` in place of
``deploy/launch.py``; `benchmarks.ablation` prepares a copy that does so. A mechanism is
disabled by overriding the constants and functions that it depends on, so that the
programs themselves need no switches.
"""

import importlib
import math
import signal
import sys
from collections.abc import Sequence
from typing import Any

__all__ = ["MECHANISMS", "main", "switch_off"]

#: Overrides that disable each mechanism: module, qualified name in it, and value.
MECHANISMS: dict[str, tuple[tuple[str, str, Any], ...]] = {
    # prompts are sent to an engine without waiting for a slot in its prompt window
    "turns": (("decisions.turns", "PromptWindow.wait", lambda *_: 0.0),),
    # every engine is taken to read prompts at the rate of the slowest
    "read-rate": (("decisions.readspeed", "MIN_SAMPLES", math.inf),),
    # a fixed limit of three concurrent loads, and an estimate of 0.25 s for each
    "load-pace": (
        ("decisions.loadpace", "INITIAL_CONCURRENT_LOADS", 3.0),
        ("decisions.loadpace", "LoadPace.record", lambda *_: None),
    ),
    # adapters are loaded in the order of their latest request
    "load-order": (("steward.demands", "count_served", lambda *_: 1.0),),
    # turns and loads are ordered without regard to ranks and customers
    "fair-order": (("decisions.fairshare", "FairOrder.active", False),),
    # no extra cost is added for a further copy of an adapter
    "copy-cost": (("decisions.choice", "COPY_DELAY", 0.0),),
    # adapters have no preferred engines by rendezvous hash
    "hash-order": (("decisions.choice", "HASH_RANK_DELAY", 0.0),),
    # adapters in an engine's local cache cost as much to load as those in the store
    "at-hand": (("decisions.choice", "RELOAD_DELAY", 0.28),),
    # loads queued at an engine are not counted
    "load-queue": (("decisions.choice", "QUEUED_LOAD_DELAY", 0.0),),
    # targets with failures are chosen like others
    "failure-share": (("decisions.choice", "FAILURE_DELAY", 0.0),),
    # the least recently used adapter is evicted, regardless of its use count
    "reuse-count": (("decisions.eviction", "ReuseCounter.read", lambda *_: 0.0),),
    # requests are refused at once while no route or target is known yet
    "learn-patience": (("decisions.holding", "MAX_HOLD_SECONDS", 0.0),),
    # requests are sent to an engine beyond the slots of its batch
    "batch-slots": (("decisions.batchslots", "BatchSlots.full", False),),
    # every subscriber is sent complete route sets instead of changes
    "route-changes": (("routing.changes", "MAX_RETAINED_SETS", 1),),
    # requests that no engine can begin in time wait until their deadline
    "refusal": (("gateway.choosing", "REFUSE_FACTOR", 1e6),),
    # voters wait for the full election timeout after a start
    "early-election": (
        ("control.agreement.consensus", "Consensus.campaign_early", lambda *_: None),
    ),
    # engines become known only when they register themselves
    "naming": (("steward.naming", "EngineNamer._is_unknown", lambda *_: False),),
    # Common baseline policies, in place of the choice by expected delay.
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
    """Apply the overrides of a mechanism, before the program starts.

    :param mechanism: a key of `MECHANISMS`.
    :raises KeyError: there is no such mechanism.
    :raises AttributeError: an overridden constant or function does not exist.
    """
    for module, name, value in MECHANISMS[mechanism]:
        owner: Any = importlib.import_module(f"ibishead.{module}")
        *parents, attribute = name.split(".")
        for parent in parents:
            owner = getattr(owner, parent)
        getattr(owner, attribute)
        setattr(owner, attribute, value)


def main(arguments: Sequence[str]) -> None:
    """Start a program with a mechanism disabled."""
    # A reload signal that arrives before the program is ready must not terminate it.
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
