"""The adapter slots of one engine, as its only client knows them.

A slot is keyed by adapter and version. It is pinned while the engine runs a request
with it, or may be: a pin whose end nobody saw lingers until the engine itself shows
that it runs nothing with that adapter.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ibishead.decisions.placement import adapter_digest
from ibishead.ids import AdapterName, BootId, Version

__all__ = [
    "AdapterKey",
    "Occupied",
    "Pin",
    "SlotState",
    "SlotTable",
    "make_lora_name",
    "parse_lora_name",
]

#: Samples in a row in which the engine must not show an adapter before a lingering
#: pin on it ends. One could miss a request that still lies in the engine's socket.
RELEASE_SAMPLES = 2


class SlotState(Enum):
    """What is in a slot."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class AdapterKey:
    """An adapter in one version."""

    adapter: AdapterName
    version: Version

    @property
    def digest(self) -> int:
        """The short name in load reports."""
        return adapter_digest(self.adapter, self.version)


@dataclass
class _Slot:
    state: SlotState
    pins: int = 0
    orphaned_pins: int = 0
    absent_samples: int = 0
    last_used: float = 0.0


@dataclass(frozen=True)
class ResidentAdapter:
    """A resident adapter.

    :param pins: requests that run with it, or may.
    :param last_used: monotonic seconds.
    """

    key: AdapterKey
    pins: int
    last_used: float


@dataclass(frozen=True, eq=False)
class Pin:
    """One request's hold on a slot, void once the slot itself is gone."""

    slot: _Slot


def make_lora_name(key: AdapterKey) -> str:
    """Return the name under which the engine knows the adapter."""
    return f"{key.adapter}@{key.version}"


def parse_lora_name(name: str) -> AdapterKey | None:
    """Return the adapter of an engine's name, none for a base model."""
    adapter, separator, version = name.rpartition("@")
    if not separator or not adapter or not version:
        return None
    return AdapterKey(AdapterName(adapter), Version(version))


class SlotTable:
    """The slots of one boot of the engine.

    :param count: slots that the engine has.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.boot = BootId("")
        self._slots: dict[AdapterKey, _Slot] = {}

    def begin_boot(
        self, boot: BootId, resident: Iterable[AdapterKey], now: float
    ) -> None:
        """Forget all that was known and adopt what a new boot holds.

        An engine that restarted is empty, whatever was loaded before. An engine that
        ran before this agent did may serve a former agent's requests, so what it
        holds lingers.
        """
        self.boot = boot
        self._slots = {
            key: _Slot(SlotState.RESIDENT, orphaned_pins=1, last_used=now)
            for key in resident
        }

    def begin_load(self, key: AdapterKey, now: float) -> None:
        """Take a slot for an adapter on its way.

        :raises ValueError: no slot is free.
        """
        if key in self._slots or len(self._slots) >= self.count:
            raise ValueError("no slot is free")
        self._slots[key] = _Slot(SlotState.LOADING, last_used=now)

    def end_load(self, key: AdapterKey, boot: BootId, loaded: bool) -> None:
        """Note how a load ended; one of a former boot counts for nothing."""
        slot = self._slots.get(key)
        if boot != self.boot or slot is None:
            return
        if loaded:
            slot.state = SlotState.RESIDENT
        else:
            del self._slots[key]

    def begin_unload(self, key: AdapterKey) -> bool:
        """Mark a slot as leaving, and return whether it may.

        The check and the mark are one step, so that no request can be pinned
        between them.
        """
        slot = self._slots.get(key)
        if slot is None or slot.state is not SlotState.RESIDENT:
            return False
        if slot.pins or slot.orphaned_pins:
            return False
        slot.state = SlotState.UNLOADING
        return True

    def end_unload(self, key: AdapterKey, boot: BootId, unloaded: bool) -> None:
        """Note how an unload ended."""
        slot = self._slots.get(key)
        if boot != self.boot or slot is None:
            return
        if unloaded:
            del self._slots[key]
        else:
            slot.state = SlotState.RESIDENT

    def drop(self, key: AdapterKey) -> None:
        """Forget an adapter that the engine says it doesn't hold."""
        self._slots.pop(key, None)

    def pin(self, key: AdapterKey, now: float) -> Pin | None:
        """Hold a resident adapter for one request; none when it isn't resident."""
        slot = self._slots.get(key)
        if slot is None or slot.state is not SlotState.RESIDENT:
            return None
        slot.pins += 1
        slot.last_used = now
        return Pin(slot)

    def unpin(self, pin: Pin, ended: bool) -> None:
        """End one request's hold on the slot that it pinned.

        :param ended: the engine itself has ended the request; otherwise it may
            still run, so the pin lingers.
        """
        pin.slot.pins -= 1
        if not ended:
            pin.slot.orphaned_pins += 1
            pin.slot.absent_samples = 0

    def observe_running(self, running: frozenset[AdapterKey]) -> None:
        """Take a sample of the adapters that the engine shows at work or waiting."""
        for key, slot in self._slots.items():
            if not slot.orphaned_pins:
                continue
            slot.absent_samples = 0 if key in running else slot.absent_samples + 1
            if slot.absent_samples >= RELEASE_SAMPLES:
                slot.orphaned_pins = 0

    @property
    def has_orphaned_pins(self) -> bool:
        """Whether any pin waits for the engine to show that it is over."""
        return any(slot.orphaned_pins for slot in self._slots.values())

    def is_resident(self, key: AdapterKey) -> bool:
        """Whether requests can be pinned to the adapter."""
        slot = self._slots.get(key)
        return slot is not None and slot.state is SlotState.RESIDENT

    def has_slot(self, key: AdapterKey) -> bool:
        """Whether the adapter has a slot, in whatever state."""
        return key in self._slots

    def has_free_slot(self) -> bool:
        """Whether a load can begin without an eviction."""
        return len(self._slots) < self.count

    def count_unpinned(self) -> int:
        """Return how many resident adapters may be evicted."""
        return sum(
            slot.state is SlotState.RESIDENT
            and not slot.pins
            and not slot.orphaned_pins
            for slot in self._slots.values()
        )

    def list_keys(self, state: SlotState) -> list[AdapterKey]:
        """Return the adapters in a state."""
        return [key for key, slot in self._slots.items() if slot.state is state]

    def list_resident(self) -> list[ResidentAdapter]:
        """Return what an eviction has to choose from."""
        return [
            ResidentAdapter(key, slot.pins + slot.orphaned_pins, slot.last_used)
            for key, slot in self._slots.items()
            if slot.state is SlotState.RESIDENT
        ]

    def reconcile(self, resident: Iterable[AdapterKey], now: float) -> None:
        """Take in what the engine lists after an order whose end is in doubt.

        A load that timed out here may have ended well there and fill a slot unseen.
        It may be leaving, too, so a slot in between two states is left alone.
        """
        listed = set(resident)
        for key in listed:
            self._slots.setdefault(key, _Slot(SlotState.RESIDENT, last_used=now))
        for key in self.list_keys(SlotState.RESIDENT):
            slot = self._slots[key]
            if key not in listed and not slot.pins:
                del self._slots[key]
