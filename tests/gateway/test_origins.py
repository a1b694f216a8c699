"""A resumed stream's software version is found at any gateway, or not at all."""

import asyncio

import pytest

from ibishead.clock import ManualClock, SystemClock
from ibishead.decisions.origins import OriginTable, compute_lifetime
from ibishead.gateway.origins import COPIES, StreamOrigins
from ibishead.ids import (
    FailureDomain,
    HostId,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from ibishead.metrics import Metrics
from ibishead.routing.messages import AskOrigin, OriginAnswer, StreamBegan
from ibishead.routing.targets import StreamOrigin

STREAM = RequestId("r1")
V1 = StreamOrigin(ServiceName("s"), SoftwareVersion("v1"))


class Stewards:
    """Stewards by host, each with the versions that it was told of.

    :ivar down: hosts whose memory is lost and which answer nothing.
    """

    def __init__(self, count: int = 9) -> None:
        self.tables = {HostId(f"side-{n}"): OriginTable() for n in range(count)}
        self.down: set[HostId] = set()

    def view(self, *, without: int = 0) -> "StewardsView":
        return StewardsView(self, set(list(self.tables)[without:]))


class StewardsView:
    """The links of one gateway to the stewards that it knows."""

    def __init__(self, stewards: Stewards, known: set[HostId]) -> None:
        self.stewards, self.known = stewards, known
        self.origins = StreamOrigins(self, SystemClock(), Metrics("gateway"))

    def list_hosts(self):
        return {h: FailureDomain(f"z{h[-1]}"[:2]) for h in self.known}

    def send(self, host, message) -> None:
        if host in self.stewards.down:
            return
        table, now = self.stewards.tables[host], SystemClock().monotonic()
        match message:
            case StreamBegan(stream, origin, lifetime):
                table.record(stream, origin, now + lifetime, now)
            case AskOrigin(number, stream):
                answer = OriginAnswer(number, table.find(stream, now))
                asyncio.get_running_loop().call_soon(self.origins.handle_answer, answer)

    def list_told(self) -> set[HostId]:
        return {h for h, table in self.stewards.tables.items() if len(table)}


async def test_a_version_is_found_at_the_gateway_that_recorded_it():
    first = Stewards(0).view().origins
    first.record(STREAM, V1, 9.0)
    assert await first.find(STREAM) == V1


@pytest.mark.parametrize("lost", range(COPIES))
async def test_a_version_is_found_elsewhere_while_one_copy_is_left(lost):
    stewards = Stewards()
    first = stewards.view()
    first.origins.record(STREAM, V1, 9.0)
    stewards.down.update(list(first.list_told())[:lost])
    assert await stewards.view().origins.find(STREAM) == V1


async def test_a_version_outlives_holders_that_start_again_in_turn():
    """Guards against streams that nobody remembers after a restart of all stewards."""
    stewards = Stewards()
    first = stewards.view()
    first.origins.record(STREAM, V1, 9.0)
    for host in list(stewards.tables):
        stewards.tables[host] = OriginTable()
        first.origins.greet_holder(host)
    assert len(first.list_told()) == COPIES
    assert await stewards.view().origins.find(STREAM) == V1


@pytest.mark.parametrize(("seconds", "told"), [(0.0, True), (8.0, True), (99.0, False)])
def test_only_streams_that_may_be_resumed_are_told_again(seconds, told):
    """Guards against memory that grows with each stream."""
    stewards, clock = Stewards(), ManualClock()
    first = stewards.view()
    first.origins = StreamOrigins(first, clock, Metrics("gateway"))
    first.origins.record(STREAM, V1, 9.0)
    holders = first.list_told()
    clock.step(seconds)
    first.origins.remove_expired()
    sent = []
    first.send = lambda host, message: sent.append(message.lifetime)
    for host in holders:
        first.origins.greet_holder(host)
    left = compute_lifetime(9.0) - seconds
    assert sent == [pytest.approx(left)] * COPIES * told


@pytest.mark.parametrize("without", [1, 3, 5])
async def test_a_version_is_found_by_gateways_that_know_other_stewards(without):
    """In a cut, or while stewards come and go, two gateways rank different hosts."""
    stewards = Stewards()
    first, second = stewards.view(), stewards.view(without=without)
    streams = [RequestId(f"r{n}") for n in range(50)]
    for stream in streams:
        first.origins.record(stream, V1, 9.0)
    for stream in streams:
        known = any(stewards.tables[host].find(stream, 0.0) for host in second.known)
        assert await second.origins.find(stream) == (V1 if known else None)


@pytest.mark.parametrize("down", [0, 9])
async def test_a_version_that_nobody_knows_is_not_guessed(down):
    stewards = Stewards()
    stewards.down.update(list(stewards.tables)[:down])
    assert await stewards.view().origins.find(STREAM) is None


async def test_a_gateway_with_too_few_links_asks_again():
    """A gateway that has just started has not linked all stewards yet."""
    stewards = Stewards()
    first, second = stewards.view(), stewards.view(without=9)
    first.origins.record(STREAM, V1, 9.0)
    task = asyncio.create_task(second.origins.find(STREAM))
    await asyncio.sleep(0.05)
    assert not task.done()
    second.known |= set(stewards.tables)
    assert await task == V1
