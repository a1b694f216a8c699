"""Non-idempotent requests run at most once, whatever happens to claim messages."""

import asyncio

from tests.proofs.network import LATENCY_SECONDS, FakeLink
from tests.proofs.test_promises import check_guarantees
from tests.proofs.virtual import run_virtual
from tests.proofs.world import CONTROL_HOST, TargetNode, World

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

#: Delay of a report on a claim; longer than its sender waits for the reply.
REPORT_DELAY_SECONDS = 3.0

#: Time for which the targets do not respond from the third send of the request on.
FREEZE_SECONDS = 3.0


class FaultInjector:
    """Intercepts the messages about the first request at one entry host.

    The first dispatch is lost, so that the claim is abandoned and granted again. At the
    second grant the links to the targets break, and the report that this grant was not
    used is delayed. When this grant is offered again, the targets stop responding.

    :ivar grants: generations of the granted claims, in order.
    """

    def __init__(self, world: World) -> None:
        self.grants: list[int] = []
        self._world = world
        (self._control,) = world.network.list_ends(CONTROL_HOST, ENTRY)
        (self._entry,) = world.network.list_ends(ENTRY, CONTROL_HOST)
        self._wrap(self._control, self._watch_grant)
        self._wrap(self._entry, self._delay_report)
        for link in self._list_links():
            self._wrap(link, self._drop_dispatch)

    def _wrap(self, link: FakeLink, filter_message) -> None:
        original_send = link.send

        def send(message: Message) -> None:
            if filter_message(link, message):
                original_send(message)

        link.send = send

    def _drop_dispatch(self, link: FakeLink, message: Message) -> bool:
        if isinstance(message, Dispatch):
            link.abort()
        return True

    def _watch_grant(self, link: FakeLink, message: Message) -> bool:
        if isinstance(message, ClaimAnswer) and message.state is ClaimState.GRANTED:
            self.grants.append(message.generation)
            if message.generation == 2:
                self._handle_second_grant()
        return True

    def _handle_second_grant(self) -> None:
        if self.grants.count(2) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(LATENCY_SECONDS / 2, self._break_links)
        else:
            for node in self._world.nodes:
                node.fake.freeze(FREEZE_SECONDS)

    def _delay_report(self, link: FakeLink, message: Message) -> bool:
        late = isinstance(message, ResolveClaim) and message.generation == 2
        if late:
            loop = asyncio.get_running_loop()
            loop.call_later(REPORT_DELAY_SECONDS, link.peer_end._deliver, message)
        return not late

    def _break_links(self) -> None:
        for link in self._list_links():
            link.abort()

    def _list_links(self) -> list[FakeLink]:
        return [
            link
            for node in self._world.nodes
            for link in self._world.network.list_ends(ENTRY, node.settings.host)
        ]


async def _run_with_delayed_report() -> tuple[World, list[int]]:
    world = World()
    await world.start()
    injector = FaultInjector(world)
    world.call_plain(0, "k1")
    await asyncio.sleep(REPORT_DELAY_SECONDS + 1.0)
    world.call_plain(1, "k1")
    await world.wait_answered()
    await asyncio.sleep(10.0)
    await world.stop()
    return world, injector.grants


def test_request_is_not_sent_under_an_abandoned_grant():
    """Guards against a second execution under a claim that was already abandoned.

    The claim is granted again because the report that it did not run is recorded late.
    """
    world, grants = run_virtual(_run_with_delayed_report)
    assert grants.count(2) > 1, "the abandoned grant was not offered again"
    check_guarantees(world)
    assert {call.outcome for call in world.calls} == {Outcome.COMPLETED}


async def _run_while_links_fall_silent() -> World:
    world = World()
    await world.start()
    # Longer than the time after which agents with silent links are no longer chosen
    world.network.delay(CONTROL_HOST, ENTRY, 1.6)
    world.call_plain(0, "k1")
    for node in world.nodes:
        world.network.silence(ENTRY, node.settings.host)
    await asyncio.sleep(1.5)
    world.call_plain(0, "k2")
    await world.wait_answered()
    await asyncio.sleep(10.0)
    await world.stop()
    return world


def test_silent_links_during_a_claim_do_not_count_as_load():
    """Guards against refusing a request because all links fall silent during its claim.

    Without an available target it must wait, as a request sent a moment later does.
    """
    world = run_virtual(_run_while_links_fall_silent)
    check_guarantees(world)
    assert [call.outcome for call in world.calls] == [Outcome.COMPLETED] * 2


async def _run_while_target_drains() -> tuple[World, list[Dispatch]]:
    world = World()
    await world.start()
    sent: list[Dispatch] = []
    (control,) = world.network.list_ends(ENTRY, CONTROL_HOST)
    original_send = control.send

    def send(message: Message) -> None:
        if isinstance(message, AskClaim) and not drained:
            (node,) = (s for s in world.nodes if s.target == message.target)
            drained.append(node)
            world.drain(node)
            _record_dispatches(world, node, sent)
            world.network.delay(CONTROL_HOST, ENTRY, 0.5)
        original_send(message)

    drained: list[TargetNode] = []
    control.send = send
    world.call_plain(0, "k1")
    await world.wait_answered()
    await world.stop()
    return world, sent


def _record_dispatches(world: World, node: TargetNode, sent: list[Dispatch]) -> None:
    (link,) = world.network.list_ends(ENTRY, node.settings.host)
    original_send = link.send

    def send(message: Message) -> None:
        if isinstance(message, Dispatch):
            sent.append(message)
        original_send(message)

    link.send = send


def test_request_is_not_sent_to_a_target_drained_during_its_claim():
    """Guards against an unknown outcome when a target is drained during a claim.

    The request was dispatched to the draining target after the claim was granted.
    """
    world, sent = run_virtual(_run_while_target_drains)
    assert not sent
    check_guarantees(world)
    assert [call.outcome for call in world.calls] == [Outcome.COMPLETED]


async def _run_while_agents_stop() -> World:
    world = World()
    await world.start()
    plains = world.nodes[2:]
    for node in plains:
        world.network.delay(ENTRY, node.settings.host, 0.3)
    world.call_plain(0, "k1")
    await asyncio.sleep(0.1)
    for node in plains:
        world.stop_agent(node)
    await world.wait_answered()
    await world.stop()
    return world


def test_request_in_transit_to_a_stopping_agent_is_not_unknown():
    """Guards against losing a request sent just before a planned stop of its agent."""
    world = run_virtual(_run_while_agents_stop)
    check_guarantees(world)
    assert [call.outcome for call in world.calls] == [Outcome.NOT_RUN]
