"""One order runs once, whatever becomes of the messages about its claim."""

import asyncio

from tests.proofs.network import LATENCY, FakeLink
from tests.proofs.test_promises import check_world
from tests.proofs.virtual import run_virtual
from tests.proofs.world import CONTROL_HOST, Slot, World

from ibishead.ids import HostId
from ibishead.messages import (
    AskClaim,
    ClaimAnswer,
    ClaimState,
    Dispatch,
    Message,
    Outcome,
    ResolveClaim,
)

ENTRY = HostId("entry-0")

#: Seconds that a report on a claim is held up: longer than its sender waits for it.
LATE = 3.0

#: Seconds that the targets stand still once the order is sent for the third time.
FROZEN = 3.0


class Interference:
    """Meddles with the messages about the first order, at one entry host.

    Its first dispatch is lost, so that its claim is given up and granted anew. At the
    second grant the links to the targets break, and the report that this grant wasn't
    used is held up. When the grant is offered again, the targets stand still.

    :ivar grants: generations granted, in order.
    """

    def __init__(self, world: World) -> None:
        self.grants: list[int] = []
        self._world = world
        (self._control,) = world.network.list_ends(CONTROL_HOST, ENTRY)
        (self._entry,) = world.network.list_ends(ENTRY, CONTROL_HOST)
        self._wrap(self._control, self._take_answer)
        self._wrap(self._entry, self._take_report)
        for link in self._list_links():
            self._wrap(link, self._lose_dispatch)

    def _wrap(self, link: FakeLink, take) -> None:
        carry = link.send

        def send(message: Message) -> None:
            if take(link, message):
                carry(message)

        link.send = send

    def _lose_dispatch(self, link: FakeLink, message: Message) -> bool:
        if isinstance(message, Dispatch):
            link.abort()
        return True

    def _take_answer(self, link: FakeLink, message: Message) -> bool:
        if isinstance(message, ClaimAnswer) and message.state is ClaimState.GRANTED:
            self.grants.append(message.generation)
            if message.generation == 2:
                self._note_second_grant()
        return True

    def _note_second_grant(self) -> None:
        if self.grants.count(2) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(LATENCY / 2, self._break_links)
        else:
            for slot in self._world.slots:
                slot.fake.freeze(FROZEN)

    def _take_report(self, link: FakeLink, message: Message) -> bool:
        late = isinstance(message, ResolveClaim) and message.generation == 2
        if late:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE, link.other._deliver, message)
        return not late

    def _break_links(self) -> None:
        for link in self._list_links():
            link.abort()

    def _list_links(self) -> list[FakeLink]:
        return [
            link
            for slot in self._world.slots
            for link in self._world.network.list_ends(ENTRY, slot.settings.host)
        ]


async def _order() -> tuple[World, list[int]]:
    world = World()
    await world.start()
    interference = Interference(world)
    world.call_plain(0, "k1")
    await asyncio.sleep(LATE + 1.0)
    world.call_plain(1, "k1")
    await world.settle()
    await asyncio.sleep(10.0)
    await world.stop()
    return world, interference.grants


def test_an_order_is_not_sent_under_a_grant_that_was_given_up():
    """An order runs twice, as the report "not run" on its claim is recorded late."""
    world, grants = run_virtual(_order)
    assert grants.count(2) > 1, "the grant that was given up wasn't offered again"
    check_world(world)
    assert {call.outcome for call in world.calls} == {Outcome.COMPLETED}


async def _order_while_links_fall_silent() -> World:
    world = World()
    await world.start()
    # Longer than it takes until silent agents are passed over
    world.network.hold(CONTROL_HOST, ENTRY, 1.6)
    world.call_plain(0, "k1")
    for slot in world.slots:
        world.network.silence(ENTRY, slot.settings.host)
    await asyncio.sleep(1.5)
    world.call_plain(0, "k2")
    await world.settle()
    await asyncio.sleep(10.0)
    await world.stop()
    return world


def test_links_that_fall_silent_during_a_claim_are_no_load():
    """An order is refused, as no target is up, that a moment later would wait."""
    world = run_virtual(_order_while_links_fall_silent)
    check_world(world)
    assert [call.outcome for call in world.calls] == [Outcome.COMPLETED] * 2


async def _order_while_its_target_leaves() -> tuple[World, list[Dispatch]]:
    world = World()
    await world.start()
    sent: list[Dispatch] = []
    (control,) = world.network.list_ends(ENTRY, CONTROL_HOST)
    carry = control.send

    def send(message: Message) -> None:
        if isinstance(message, AskClaim) and not sent_to:
            (leaving,) = (s for s in world.slots if s.target == message.target)
            sent_to.append(leaving)
            world.drain(leaving)
            _record_dispatches(world, leaving, sent)
            world.network.hold(CONTROL_HOST, ENTRY, 0.5)
        carry(message)

    sent_to: list[Slot] = []
    control.send = send
    world.call_plain(0, "k1")
    await world.settle()
    await world.stop()
    return world, sent


def _record_dispatches(world: World, slot: Slot, sent: list[Dispatch]) -> None:
    (link,) = world.network.list_ends(ENTRY, slot.settings.host)
    carry = link.send

    def send(message: Message) -> None:
        if isinstance(message, Dispatch):
            sent.append(message)
        carry(message)

    link.send = send


def test_an_order_is_not_sent_to_a_target_that_left_during_its_claim():
    """An order that crosses the planned stop of an agent is told as unknown."""
    world, sent = run_virtual(_order_while_its_target_leaves)
    assert not sent
    check_world(world)
    assert [call.outcome for call in world.calls] == [Outcome.COMPLETED]


async def _order_as_its_agents_stop() -> World:
    world = World()
    await world.start()
    plains = world.slots[2:]
    for slot in plains:
        world.network.hold(ENTRY, slot.settings.host, 0.3)
    world.call_plain(0, "k1")
    await asyncio.sleep(0.1)
    for slot in plains:
        world.stop_agent(slot)
    await world.settle()
    await world.stop()
    return world


def test_an_order_on_its_way_to_an_agent_that_stops_is_not_unknown():
    """A planned stop loses an order that an entry host had just sent."""
    world = run_virtual(_order_as_its_agents_stop)
    check_world(world)
    assert [call.outcome for call in world.calls] == [Outcome.NOT_RUN]
