"""Targets that ask their agents for rest, in virtual time."""

import asyncio

import pytest
from tests.proofs.targets import FakeEngine, FakePlain, FakeTarget
from tests.proofs.virtual import run_virtual
from tests.proofs.world import World

from ibishead.webclient import ClientAnswer

REST_SECONDS, GRACE_SECONDS, MAX_IN_REST = 3.0, 0.5, 2
CALLS, INTERVAL_SECONDS = 60, 0.2

#: Seconds of the run in which targets refuse.
REFUSE_FROM, REFUSE_TO = 2.0, 4.0


class Resting:
    """Part of a target that refuses for some time and asks for rest.

    :ivar asked: retry-after header of its refusals, ``None`` for none.
    :ivar refusing: whether it refuses.
    :ivar arrivals: loop time of each request.
    :ivar rests: loop time of each refusal that asks for rest.
    """

    def __init__(self, asked: str | None) -> None:
        super().__init__()
        self.asked = asked
        self.refusing = False
        self.arrivals: list[float] = []
        self.rests: list[float] = []

    async def answer(self, connection, headers, body):
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        if not self.refusing:
            return await super().answer(connection, headers, body)
        self.rests.append(now)
        sent = (("retry-after", self.asked),) if self.asked else ()
        return ClientAnswer(503, sent, _iterate_nothing())

    def count_sends_in_rests(self) -> int:
        return max(
            (
                sum(GRACE_SECONDS < at - rest <= REST_SECONDS for at in self.arrivals)
                for rest in self.rests
            ),
            default=0,
        )


class RestingPlain(Resting, FakePlain):
    """A plain service that asks for rest."""


class RestingEngine(Resting, FakeEngine):
    """An engine that asks for rest."""


async def _iterate_nothing():
    for piece in ():
        yield piece


async def call_targets(
    kind: type[FakeTarget], asked: str | None, asking: int, restart: bool
) -> tuple[World, list]:
    """Call two targets, of which some refuse for some time."""
    world = World(engines=0)
    await world.start()
    fakes = [kind(asked) for _ in range(2)]
    service = "mester" if kind is RestingEngine else "raktar"
    if kind is RestingPlain:
        for node in world.nodes:
            await world._stop_agent(node)
    for number, fake in enumerate(fakes):
        await world._add_target(f"resting-{number}", service, fake)
    await asyncio.sleep(4.0)
    for number in range(CALLS):
        seconds = number * INTERVAL_SECONDS
        for fake in fakes[:asking]:
            fake.refusing = REFUSE_FROM <= seconds < REFUSE_TO
            if restart and seconds == REFUSE_TO:
                fake.restart()
        if kind is RestingEngine:
            world.call_model(number % 2, "tisza", "1", True)
        else:
            world.call_plain(number % 2, f"k{number}")
        await asyncio.sleep(INTERVAL_SECONDS)
    await world.wait_answered()
    await world.stop()
    return world, fakes


@pytest.mark.parametrize("kind", [RestingPlain, RestingEngine])
@pytest.mark.parametrize("asking", [1, 2])
def test_a_target_that_asks_for_rest_gets_hardly_any_request(kind, asking):
    """An overloaded target would get requests at the same pace as before."""
    asked = str(REST_SECONDS)
    world, fakes = run_virtual(lambda: call_targets(kind, asked, asking, False))
    resting = [fake for fake in fakes if fake.rests]
    print([fake.count_sends_in_rests() for fake in resting], len(world.calls))
    assert resting
    assert max(fake.count_sends_in_rests() for fake in resting) <= MAX_IN_REST
    last = max(fake.rests[-1] for fake in resting) + REST_SECONDS
    assert any(at > last for fake in resting for at in fake.arrivals)


@pytest.mark.parametrize("asked", [None, "0", "-3", "nan", "soon", "1e12"])
def test_a_target_without_a_valid_request_for_rest_stays_in_use(asked):
    _, fakes = run_virtual(lambda: call_targets(RestingPlain, asked, 2, False))
    for fake in fakes:
        assert fake.rests
        assert any(0 < at - fake.rests[-1] < 1.5 for at in fake.arrivals)


def test_a_new_boot_of_an_engine_does_not_rest():
    """The rest that an earlier boot asked for would close the new one."""
    _, fakes = run_virtual(lambda: call_targets(RestingEngine, "25", 2, True))
    assert any(fake.rests for fake in fakes)
    for fake in fakes:
        if fake.rests:
            assert any(at > fake.rests[-1] for at in fake.arrivals)
