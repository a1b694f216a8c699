"""An adapter that has running requests, or may have, is never evicted."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from ibishead.agent.slots import (
    AdapterKey,
    SlotState,
    SlotTable,
    make_lora_name,
    parse_lora_name,
)
from ibishead.ids import AdapterName, BootId, Version

TISZA = AdapterKey(AdapterName("tisza"), Version("1"))
KEYS = [AdapterKey(AdapterName(name), Version("1")) for name in ("a", "b", "c")]
FIRST_BOOT, SECOND_BOOT = BootId("1"), BootId("2")


def load(table: SlotTable, key: AdapterKey) -> None:
    table.begin_load(key, 0.0)
    table.end_load(key, table.boot, True)


def test_names_round_trip():
    assert parse_lora_name(make_lora_name(TISZA)) == TISZA
    assert parse_lora_name("base-model") is None


def test_pinned_adapter_is_not_evicted():
    table = SlotTable(1)
    load(table, TISZA)
    pin = table.pin(TISZA, 0.0)
    assert not table.begin_unload(TISZA)
    table.unpin(pin, ended=True)
    assert table.begin_unload(TISZA)
    assert table.pin(TISZA, 1.0) is None


def test_disconnected_caller_doesnt_release_the_adapter():
    """Guards against eviction under a run whose caller has disconnected."""
    table = SlotTable(1)
    load(table, TISZA)
    table.unpin(table.pin(TISZA, 0.0), ended=False)
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset({TISZA}))
    table.observe_running(frozenset())
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset())
    assert table.begin_unload(TISZA)


def test_restarted_agent_pins_resident_adapters():
    """Guards against eviction under runs of an earlier agent after an agent restart."""
    table = SlotTable(2)
    table.begin_boot(FIRST_BOOT, [TISZA], 0.0)
    assert table.is_resident(TISZA)
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset())
    table.observe_running(frozenset())
    assert table.begin_unload(TISZA)


def test_load_of_an_earlier_boot_is_ignored():
    """Guards against counting a load that ends just as the engine restarts empty."""
    table = SlotTable(2)
    table.begin_boot(FIRST_BOOT, [], 0.0)
    table.begin_load(TISZA, 0.0)
    table.begin_boot(SECOND_BOOT, [], 1.0)
    table.end_load(TISZA, FIRST_BOOT, True)
    assert not table.is_resident(TISZA)


def test_pin_of_a_dropped_slot_doesnt_affect_a_later_slot():
    """Guards against a stale pin that releases the pin of a later request.

    The engine loses an adapter under a running request, and it is loaded again.
    """
    table = SlotTable(1)
    load(table, TISZA)
    old = table.pin(TISZA, 0.0)
    table.drop(TISZA)
    load(table, TISZA)
    table.pin(TISZA, 1.0)
    table.unpin(old, ended=True)
    assert not table.begin_unload(TISZA)


def test_load_that_timed_out_is_reconciled():
    """Guards against an occupied slot that counts as free.

    A load times out at the agent and succeeds at the engine.
    """
    table = SlotTable(1)
    table.begin_boot(FIRST_BOOT, [], 0.0)
    table.reconcile([TISZA], 1.0)
    assert not table.has_free_slot()
    assert table.begin_unload(TISZA)
    table.reconcile([], 2.0)
    assert not table.has_free_slot()


class SlotMachine(RuleBasedStateMachine):
    """Random loads, pins, evictions and restarts, checked against a count of pins."""

    pins = Bundle("pins")

    def __init__(self) -> None:
        super().__init__()
        self.table = SlotTable(2)
        self.boots = 0
        self.held: dict[AdapterKey, int] = {}

    @rule(key=st.sampled_from(KEYS))
    def load(self, key):
        if self.table.has_free_slot() and not self.table.has_slot(key):
            load(self.table, key)

    @rule(target=pins, key=st.sampled_from(KEYS))
    def pin(self, key):
        pin = self.table.pin(key, 0.0)
        if pin is not None:
            self.held[key] = self.held.get(key, 0) + 1
        return key, pin, self.boots

    @rule(entry=consumes(pins), ended=st.booleans())
    def unpin(self, entry, ended):
        key, pin, boot = entry
        if pin is None:
            return
        self.table.unpin(pin, ended)
        if boot == self.boots and ended:
            self.held[key] -= 1

    @rule()
    def evict(self):
        free = [slot.key for slot in self.table.list_resident() if not slot.pins]
        for victim in free[:1]:
            assert not self.held.get(victim), (
                "an adapter with running requests was listed as unpinned"
            )
            assert self.table.begin_unload(victim)
            self.table.end_unload(victim, self.table.boot, True)

    @rule(key=st.sampled_from(KEYS))
    def evict_by_name(self, key):
        if self.table.begin_unload(key):
            assert not self.held.get(key), (
                "an adapter with running requests was evicted"
            )
            self.table.end_unload(key, self.table.boot, True)

    @rule()
    def restart_empty(self):
        self.boots += 1
        self.table.begin_boot(BootId(str(self.boots)), [], 0.0)
        self.held.clear()

    @invariant()
    def slots_are_not_exceeded(self):
        held = sum(len(self.table.list_keys(state)) for state in SlotState)
        assert held <= self.table.count


TestSlots = SlotMachine.TestCase
