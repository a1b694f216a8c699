"""Slots: what serves, or may serve, is never evicted."""

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
ONE, TWO = BootId("1"), BootId("2")


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


def test_caller_that_left_doesnt_free_the_adapter():
    """An adapter is evicted under a run whose caller has left the stream."""
    table = SlotTable(1)
    load(table, TISZA)
    table.unpin(table.pin(TISZA, 0.0), ended=False)
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset({TISZA}))
    table.observe_running(frozenset())
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset())
    assert table.begin_unload(TISZA)


def test_restarted_agent_pins_what_the_engine_holds():
    """An agent restarts while its engine streams for the one before it."""
    table = SlotTable(2)
    table.begin_boot(ONE, [TISZA], 0.0)
    assert table.is_resident(TISZA)
    assert not table.begin_unload(TISZA)
    table.observe_running(frozenset())
    table.observe_running(frozenset())
    assert table.begin_unload(TISZA)


def test_engine_that_restarted_voids_the_table():
    """A load ends just as the engine restarts empty; it must not count."""
    table = SlotTable(2)
    table.begin_boot(ONE, [], 0.0)
    table.begin_load(TISZA, 0.0)
    table.begin_boot(TWO, [], 1.0)
    table.end_load(TISZA, ONE, True)
    assert not table.is_resident(TISZA)


def test_pin_of_a_dropped_slot_doesnt_touch_its_successor():
    """The engine lost an adapter under a running request and it is loaded again."""
    table = SlotTable(1)
    load(table, TISZA)
    old = table.pin(TISZA, 0.0)
    table.drop(TISZA)
    load(table, TISZA)
    table.pin(TISZA, 1.0)
    table.unpin(old, ended=True)
    assert not table.begin_unload(TISZA)


def test_load_that_timed_out_is_found_again():
    """A load times out at the agent and ends well at the engine."""
    table = SlotTable(1)
    table.begin_boot(ONE, [], 0.0)
    table.reconcile([TISZA], 1.0)
    assert not table.has_free_slot()
    assert table.begin_unload(TISZA)
    table.reconcile([], 2.0)
    assert not table.has_free_slot()


class SlotMachine(RuleBasedStateMachine):
    """Random loads, pins, evictions and restarts against a plain count of pins."""

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
            assert not self.held.get(victim), "a serving adapter was offered"
            assert self.table.begin_unload(victim)
            self.table.end_unload(victim, self.table.boot, True)

    @rule(key=st.sampled_from(KEYS))
    def evict_by_name(self, key):
        if self.table.begin_unload(key):
            assert not self.held.get(key), "a serving adapter was evicted"
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
