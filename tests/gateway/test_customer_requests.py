"""Requests of customers through a gateway's pipeline: keys, names, ranks and quotas."""

import asyncio

import msgspec
import pytest
from tests.gateway.test_pipeline import (
    ONCE,
    SAFE,
    Fixture,
    never_respond,
    refuse,
    reset,
    respond,
)

from ibishead.decisions.holding import MIN_HOLD_SECONDS
from ibishead.errors import ErrorCode
from ibishead.gateway.quotas import REPEAT_SECONDS, STALL_SECONDS
from ibishead.headers import find_header
from ibishead.ids import CustomerId
from ibishead.keys import hash_key
from ibishead.routing.customers import Customer, Quota, QuotaUnit
from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaKept, QuotaVerdict

LOFT = Customer(CustomerId("loft"), (hash_key("k1"),), 4)
CREW = Customer(CustomerId("crew"), (hash_key("k2"),))
LIMITED = Customer(
    CustomerId("small"),
    (hash_key("k3"),),
    None,
    Quota(QuotaUnit.TOKENS, 100.0, 100.0, 200),
)
CUSTOMERS = (LOFT, CREW, LIMITED)


class FakeKeeper:
    """A link to a registry that answers questions about quotas as the test says."""

    closed = False
    overdue = False

    def __init__(self, client, *granted: bool, relayed: bool = False) -> None:
        self._deliver = client.handle_relayed if relayed else self._deliver_directly
        self.client = client
        self.granted = list(granted)
        self.asked: list[AskQuota] = []
        self.peer = type("Peer", (), {"host": "r0"})

    def send(self, message: AskQuota) -> None:
        self.asked.append(message)
        if message.demands and self.granted:
            verdicts = tuple(
                QuotaVerdict(self.granted.pop(0), 0.4, -5.0) for _ in message.demands
            )
            answer = QuotaAnswer(message.number, verdicts)
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, answer)

    def _deliver_directly(self, answer: QuotaAnswer) -> None:
        self.client.handle_message(self, answer)

    @property
    def demands(self):
        return [demand for message in self.asked for demand in message.demands]

    @property
    def returned(self):
        return [item for message in self.asked for item in message.returned]


def make_fixture(kind, *behaviours, **route):
    """Return a fixture with customers that records what its targets receive."""
    received = []

    def wrap(behaviour):
        async def record(exchange, request):
            received.append(exchange.request.headers)
            await behaviour(exchange, request)

        return record

    fixture = Fixture(kind, *map(wrap, behaviours), **route)
    fixture.received = received
    fixture.feed.routes = msgspec.structs.replace(
        fixture.feed.routes, customers=CUSTOMERS
    )
    return fixture


def keep_quotas(fixture, *granted):
    keeper = FakeKeeper(fixture.quotas, *granted)
    fixture.quotas.handle_message(keeper, QuotaKept(1))
    return keeper


@pytest.mark.parametrize(
    ("headers", "public", "status", "customer"),
    [
        ({"authorization": "Token k1"}, False, 200, "loft"),
        ({"authorization": "token k2"}, False, 200, "crew"),
        ({"authorization": "Token k1", "tenant": "crew"}, False, 200, "loft"),
        ({"authorization": "Token other"}, False, 401, None),
        ({"authorization": "Bearer k1"}, False, 401, None),
        ({"authorization": "Token"}, False, 401, None),
        ({"tenant": "loft"}, False, 401, None),
        ({}, False, 401, None),
        ({}, True, 200, None),
        ({"tenant": "loft"}, True, 200, None),
        ({"authorization": "Token other"}, True, 200, None),
        ({"authorization": "Token k1"}, True, 200, "loft"),
    ],
)
async def test_target_is_told_the_customer_and_never_the_key(
    headers, public, status, customer
):
    """A caller could act for another customer, or a target learn the key."""
    async with make_fixture(SAFE, respond, public=public) as fixture:
        assert (await fixture.ask(**headers))[0] == status
        assert len(fixture.received) == (status == 200)
        for received in fixture.received:
            named = [v for k, v in received if k == "tenant"]
            assert named == ([customer] if customer else [])
            assert find_header(received, "authorization") is None


async def test_without_customers_all_headers_are_forwarded():
    async with make_fixture(SAFE, respond) as fixture:
        fixture.feed.routes = msgspec.structs.replace(
            fixture.feed.routes, customers=None
        )
        assert (await fixture.ask(authorization="Token x", tenant="y"))[0] == 200
        assert find_header(fixture.received[0], "authorization") == "Token x"
        assert find_header(fixture.received[0], "tenant") == "y"


@pytest.mark.parametrize(("key", "rank"), [("k1", "4"), ("k2", "7")])
async def test_customers_rank_goes_before_the_routes(key, rank):
    async with make_fixture(SAFE, respond, rank=7) as fixture:
        fixture.pipeline._chooser.choose = choose_first(fixture)
        await fixture.ask(authorization=f"Token {key}", model="m")
        assert find_header(fixture.received[0], "request-priority") == rank


def choose_first(fixture):
    async def choose(request):
        return next(iter(fixture.feed.view))

    return choose


@pytest.mark.parametrize(
    "customers",
    [(CREW,), (), (msgspec.structs.replace(LOFT, keys=(hash_key("k9"),)), CREW)],
)
async def test_key_that_is_taken_away_fails_on_an_open_connection(customers):
    """Each request is checked, also on a connection that was opened with the key."""
    async with make_fixture(SAFE, respond, respond) as fixture:
        assert (await fixture.ask(authorization="Token k1"))[0] == 200
        fixture.feed.routes = msgspec.structs.replace(
            fixture.feed.routes, version=2, customers=customers
        )
        assert (await fixture.ask(authorization="Token k1"))[0] == 401


async def test_key_that_moves_names_its_new_customer():
    async with make_fixture(SAFE, respond, respond) as fixture:
        await fixture.ask(authorization="Token k1")
        fixture.feed.routes = msgspec.structs.replace(
            fixture.feed.routes,
            version=2,
            customers=(Customer(CustomerId("heir"), LOFT.keys),),
        )
        await fixture.ask(authorization="Token k1")
        named = [find_header(received, "tenant") for received in fixture.received]
        assert named == ["loft", "heir"]


@pytest.mark.parametrize(
    ("asked", "before", "after"),
    [
        ({"authorization": "Token new"}, 401, 200),
        ({"authorization": "Token k1", "path": "/new/x"}, 404, 200),
    ],
)
async def test_newer_routes_are_asked_for_before_a_request_is_rejected(
    asked, before, after
):
    """Callers whose key or route was accepted a moment ago would not come back."""
    async with make_fixture(SAFE, respond, respond) as fixture:
        feed, questions = fixture.feed, []
        assert (await fixture.ask(**asked))[0] == before

        async def refresh(_):
            questions.append(feed.version)
            routes = feed.routes
            feed.routes = msgspec.structs.replace(
                routes,
                version=2,
                customers=(*CUSTOMERS, Customer(CustomerId("n"), (hash_key("new"),))),
                routes=(
                    *routes.routes,
                    msgspec.structs.replace(routes.routes[0], prefix="/new/"),
                ),
            )
            return True

        feed.refresh_routes = refresh
        assert (await fixture.ask(**asked))[0] == after
        assert questions == [1]


async def test_requests_that_arrive_together_are_charged_with_one_message():
    async with make_fixture(SAFE, respond, respond, respond) as fixture:
        keeper = keep_quotas(fixture, True, True, True)
        statuses = await asyncio.gather(
            *(fixture.quotas.charge(LIMITED, tokens, 1.0) for tokens in (None, 0, 90))
        )
        assert [charge.cost for charge in statuses] == [200.0, 0.0, 90.0]
        assert len(keeper.asked) == 1


async def test_request_over_the_quota_is_refused_at_once_and_unsent():
    async with make_fixture(SAFE, respond) as fixture:
        keeper = keep_quotas(fixture, False)
        status, body = await fixture.ask(authorization="Token k3")
        assert (status, fixture.received) == (429, [])
        assert ErrorCode.QUOTA_EXCEEDED.value.encode() in body
        assert keeper.demands == [("small", 200.0)]


async def test_customer_without_quota_is_not_charged():
    async with make_fixture(SAFE, respond) as fixture:
        assert (await fixture.ask(authorization="Token k1"))[0] == 200


async def test_without_a_keeper_the_request_waits_and_is_then_refused():
    """A gateway without the accounts must neither guess nor keep callers for long."""
    async with make_fixture(SAFE, respond, respond, timeout=5.0) as fixture:
        assert (await fixture.ask(authorization="Token k3"))[0] == 503
        task = asyncio.create_task(fixture.ask(authorization="Token k3"))
        await asyncio.sleep(0.1)
        assert not fixture.received
        keep_quotas(fixture, True)
        assert (await task)[0] == 200


@pytest.mark.parametrize("lost", ["closed", "overdue"])
async def test_gateway_that_is_cut_off_from_the_keeper_refuses_at_once(lost):
    """Its callers would wait in vain, while other gateways could serve them."""
    async with make_fixture(SAFE, respond, timeout=5.0) as fixture:
        keeper = keep_quotas(fixture, True, True)
        setattr(keeper, lost, True)
        fixture.quotas._last_linked -= STALL_SECONDS + 0.1
        assert fixture.quotas.is_stalled()
        async with asyncio.timeout(MIN_HOLD_SECONDS / 2):
            assert (await fixture.ask(authorization="Token k3"))[0] == 503
        setattr(keeper, lost, False)
        assert not fixture.quotas.is_stalled()
        assert (await fixture.ask(authorization="Token k3"))[0] == 200


@pytest.mark.parametrize(
    ("kind", "behaviours", "attempts", "status", "returned"),
    [
        (ONCE, (refuse, refuse, refuse), 1, 429, 1),
        (ONCE, (refuse, respond), 1, 200, 0),
        (ONCE, (reset,), 1, 502, 0),
        (SAFE, (reset, respond), 2, 200, 0),
        (ONCE, (never_respond,), 1, 504, 0),
    ],
)
async def test_a_request_is_charged_once_and_given_back_if_it_has_not_run(
    kind, behaviours, attempts, status, returned
):
    async with make_fixture(kind, *behaviours, attempts=attempts) as fixture:
        keeper = keep_quotas(fixture, True)
        answer = await fixture.ask(authorization="Token k3")
        assert answer[0] == status
        assert len(keeper.demands) == 1
        await asyncio.sleep(0.15)
        assert keeper.returned == [("small", 200.0)] * returned


@pytest.mark.parametrize(
    ("renewed", "status", "sends"), [(True, 200, 1), (False, 429, 0)]
)
async def test_expired_charge_is_renewed_before_the_request_is_sent(
    renewed, status, sends
):
    """Requests that had waited for long would be sent beyond the quota together."""
    async with make_fixture(SAFE, respond, timeout=5.0, objective=2.0) as fixture:
        keeper = keep_quotas(fixture, True, renewed)
        fixture.quotas._lifetime = 0.1
        view = fixture.feed.view
        held, fixture.feed.view = view, type(view)()
        task = asyncio.create_task(
            fixture.ask(authorization="Token k3", **{"deadline-ms": "4000"})
        )
        await asyncio.sleep(0.3)
        fixture.feed.view = held
        assert (await task)[0] == status
        assert len(keeper.demands) == 2
        assert len(fixture.received) == sends


async def test_new_keeper_is_asked_about_requests_that_the_former_left_unanswered():
    async with make_fixture(SAFE, respond) as fixture:
        silent = keep_quotas(fixture)
        task = asyncio.create_task(fixture.quotas.charge(LIMITED, 50, 1.0))
        await asyncio.sleep(0.02)
        keeper = FakeKeeper(fixture.quotas, True)
        fixture.quotas.handle_message(keeper, QuotaKept(2))
        assert (await task).term == 2
        assert silent.demands == keeper.demands == [("small", 50.0)]


@pytest.mark.parametrize("cut", ["silent", "closed", "overdue"])
async def test_gateway_that_is_cut_off_asks_through_a_steward(cut):
    """It would refuse callers although it reaches the engines that can serve them."""
    async with make_fixture(SAFE, respond, respond, timeout=5.0) as fixture:
        client = fixture.quotas
        keeper = keep_quotas(fixture)
        setattr(keeper, cut, True)
        steward = FakeKeeper(client, True, True, relayed=True)
        client._find_relay = lambda: steward
        assert (await fixture.ask(authorization="Token k3"))[0] == 200
        assert len(steward.demands) == 1
        # while the keeper is silent, the next request doesn't wait for it
        async with asyncio.timeout(REPEAT_SECONDS / 2):
            assert (await fixture.ask(authorization="Token k3"))[0] == 200
        assert len(keeper.demands) == (cut == "silent")


async def test_gateway_that_was_cut_off_for_long_still_asks_through_a_steward():
    async with make_fixture(SAFE, respond, timeout=5.0) as fixture:
        keep_quotas(fixture).closed = True
        fixture.quotas._last_linked -= STALL_SECONDS + 0.1
        steward = FakeKeeper(fixture.quotas, True, relayed=True)
        fixture.quotas._find_relay = lambda: steward
        assert (await fixture.ask(authorization="Token k3"))[0] == 200
        assert not fixture.quotas.is_stalled()


async def test_gateway_that_is_cut_off_learns_of_a_new_term_from_a_steward():
    async with make_fixture(SAFE, respond) as fixture:
        keep_quotas(fixture).closed = True
        steward = FakeKeeper(fixture.quotas, relayed=True)
        fixture.quotas._find_relay = lambda: steward
        task = asyncio.create_task(fixture.quotas.charge(LIMITED, 50, 1.0))
        await asyncio.sleep(0.02)
        steward.granted = [True]
        fixture.quotas.handle_relayed(QuotaKept(2))
        assert (await task).term == 2
        assert [message.term for message in steward.asked] == [1, 2]


async def test_keeper_that_answers_again_is_asked_directly():
    async with make_fixture(SAFE, respond) as fixture:
        client = fixture.quotas
        steward = FakeKeeper(client, True, relayed=True)
        keeper = keep_quotas(fixture)
        client._find_relay = lambda: steward
        await client.charge(LIMITED, 50, 1.0)
        late = QuotaAnswer(keeper.asked[0].number, (QuotaVerdict(True),))
        client.handle_message(keeper, late)
        keeper.granted = [True]
        await client.charge(LIMITED, 60, 1.0)
        assert [cost for _, cost in keeper.demands] == [50.0, 60.0]
        assert [cost for _, cost in steward.demands] == [50.0]


async def test_deposed_keeper_does_not_replace_the_newer_one():
    async with make_fixture(SAFE, respond) as fixture:
        keeper = FakeKeeper(fixture.quotas, True)
        fixture.quotas.handle_message(keeper, QuotaKept(2))
        keep_quotas(fixture)
        assert (await fixture.quotas.charge(LIMITED, 50, 1.0)).term == 2


async def test_grant_for_a_caller_that_has_left_is_given_back():
    async with make_fixture(SAFE, respond) as fixture:
        keeper = keep_quotas(fixture)
        task = asyncio.create_task(fixture.quotas.charge(LIMITED, 50, 1.0))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        answer = QuotaAnswer(keeper.asked[0].number, (QuotaVerdict(True),))
        fixture.quotas.handle_message(keeper, answer)
        await asyncio.sleep(0.15)
        assert keeper.returned == [("small", 50.0)]


async def test_keeper_that_is_not_certain_is_asked_again():
    async with make_fixture(SAFE, respond) as fixture:
        keeper = keep_quotas(fixture)
        task = asyncio.create_task(fixture.quotas.charge(LIMITED, 50, 1.0))
        await asyncio.sleep(0.02)
        keeper.granted = [True]
        fixture.quotas.handle_message(keeper, QuotaAnswer(keeper.asked[0].number, None))
        assert (await task).cost == 50.0
