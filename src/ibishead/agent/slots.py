"""Adapter slots of one engine, as tracked by its only client.

A slot is identified by adapter and version. It is pinned while the engine runs a
request with the adapter, or may run one: the pin of a request whose end was not
observed becomes an orphaned pin, which is released once the engine's samples show no
run with that adapter.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ibishead.decisions.placement import adapter_digest
from ibishead.ids import AdapterName, BootId, Version

__all__ = [
    "AdapterKey",
    "Pin",
    "ResidentAdapter",
    "SlotState",
    "SlotTable",
    "make_lora_name",
    "parse_lora_name",
]

#: Consecutive samples in which the engine must not show an adapter before its orphaned
#: pins are released. A single sample could miss a request that is still unread in the
#: engine's socket.
RELEASE_SAMPLES = 2


class SlotState(Enum):
    """State of an occupied slot."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class AdapterKey:
    """One version of an adapter."""

    adapter: AdapterName
    version: Version

    @property
    def digest(self) -> int:
        """Digest that identifies the adapter and version in load reports."""
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
    """An adapter that is loaded in a slot.

    :param pins: number of requests that run with it or may do so, orphaned pins
        included.
    :param last_used: monotonic seconds.
    """

    key: AdapterKey
    pins: int
    last_used: float


@dataclass(frozen=True, eq=False)
class Pin:
    """Reference of one request to a slot.

    It refers to the slot object, so it has no effect on a later slot of the same
    adapter.
    """

    slot: _Slot


def make_lora_name(key: AdapterKey) -> str:
    """Return the name under which the engine lists the adapter."""
    return f"{key.adapter}@{key.version}"


def parse_lora_name(name: str) -> AdapterKey | None:
    """Return the adapter of a name listed by the engine, none for a base model."""
    adapter, separator, version = name.rpartition("@")
    if not separator or not adapter or not version:
        return None
    return AdapterKey(AdapterName(adapter), Version(version))


class SlotTable:
    """Slots of one boot of the engine.

    :param count: number of slots of the engine.
    :ivar boot: boot to which the table applies.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.boot = BootId("")
        self._slots: dict[AdapterKey, _Slot] = {}

    def begin_boot(
        self, boot: BootId, resident: Iterable[AdapterKey], now: float
    ) -> None:
        """Replace the table by what the engine holds in a new boot.

        An engine that has restarted is empty, whatever was loaded before. An engine
        that was running before this agent started may still run requests of an earlier
        agent, so each adapter that it holds gets an orphaned pin.
        """
        self.boot = boot
        self._slots = {
            key: _Slot(SlotState.RESIDENT, orphaned_pins=1, last_used=now)
            for key in resident
        }

    def begin_load(self, key: AdapterKey, now: float) -> None:
        """Reserve a slot for an adapter that is being loaded.

        :raises ValueError: no slot is free, or the adapter has one.
        """
        if key in self._slots or len(self._slots) >= self.count:
            raise ValueError("no slot is free")
        self._slots[key] = _Slot(SlotState.LOADING, last_used=now)

    def end_load(self, key: AdapterKey, boot: BootId, loaded: bool) -> None:
        """Record the result of a load; one of an earlier boot is ignored."""
        slot = self._slots.get(key)
        if boot != self.boot or slot is None:
            return
        if loaded:
            slot.state = SlotState.RESIDENT
        else:
            del self._slots[key]

    def begin_unload(self, key: AdapterKey) -> bool:
        """Mark an adapter as unloading, unless it is pinned or not resident.

        Check and mark are one step, so that no request can be pinned in between.

        :returns: whether the adapter may be unloaded.
        """
        slot = self._slots.get(key)
        if slot is None or slot.state is not SlotState.RESIDENT:
            return False
        if slot.pins or slot.orphaned_pins:
            return False
        slot.state = SlotState.UNLOADING
        return True

    def end_unload(self, key: AdapterKey, boot: BootId, unloaded: bool) -> None:
        """Record the result of an unload; one of an earlier boot is ignored."""
        slot = self._slots.get(key)
        if boot != self.boot or slot is None:
            return
        if unloaded:
            del self._slots[key]
        else:
            slot.state = SlotState.RESIDENT

    def drop(self, key: AdapterKey) -> None:
        """Remove an adapter that the engine reports as not loaded."""
        self._slots.pop(key, None)

    def pin(self, key: AdapterKey, now: float) -> Pin | None:
        """Pin a resident adapter for one request.

        :returns: the pin, none if the adapter is not resident.
        """
        slot = self._slots.get(key)
        if slot is None or slot.state is not SlotState.RESIDENT:
            return None
        slot.pins += 1
        slot.last_used = now
        return Pin(slot)

    def unpin(self, pin: Pin, ended: bool) -> None:
        """Release the pin of one request.

        :param ended: the engine itself has ended the request. Otherwise it may still
            run, so the pin becomes an orphaned one.
        """
        pin.slot.pins -= 1
        if not ended:
            pin.slot.orphaned_pins += 1
            pin.slot.absent_samples = 0

    def observe_running(self, running: frozenset[AdapterKey]) -> None:
        """Apply a sample of the adapters in use by requests inside the engine."""
        for key, slot in self._slots.items():
            if not slot.orphaned_pins:
                continue
            slot.absent_samples = 0 if key in running else slot.absent_samples + 1
            if slot.absent_samples >= RELEASE_SAMPLES:
                slot.orphaned_pins = 0

    @property
    def has_orphaned_pins(self) -> bool:
        """Whether any slot has orphaned pins."""
        return any(slot.orphaned_pins for slot in self._slots.values())

    def is_resident(self, key: AdapterKey) -> bool:
        """Whether the adapter can be pinned."""
        slot = self._slots.get(key)
        return slot is not None and slot.state is SlotState.RESIDENT

    def has_slot(self, key: AdapterKey) -> bool:
        """Whether the adapter occupies a slot, in any state."""
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
        """Return the resident adapters, from which eviction chooses."""
        return [
            ResidentAdapter(key, slot.pins + slot.orphaned_pins, slot.last_used)
            for key, slot in self._slots.items()
            if slot.state is SlotState.RESIDENT
        ]

    def reconcile(self, resident: Iterable[AdapterKey], now: float) -> None:
        """Adopt the engine's list of adapters after a command with an unknown result.

        A load that timed out here may have succeeded at the engine and occupy a slot. A
        listed adapter may also be unloading, so slots that are being loaded or unloaded
        are left unchanged.
        """
        listed = set(resident)
        for key in listed:
            self._slots.setdefault(key, _Slot(SlotState.RESIDENT, last_used=now))
        for key in self.list_keys(SlotState.RESIDENT):
            slot = self._slots[key]
            if key not in listed and not slot.pins:
                del self._slots[key]
