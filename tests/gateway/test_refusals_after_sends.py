"""Requests that may have run are never answered as if they had not."""

import msgspec
import pytest
from tests.gateway.test_customer_requests import LIMITED, keep_quotas
from tests.gateway.test_pipeline import (
    PARTS,
    RESUMABLE,
    SAFE,
    STREAM,
    Fixture,
    block_part,
    make_origin,
    never_respond,
    refuse,
    reset,
    stream_completely,
)

from ibishead.clock import SystemClock
from ibishead.ids import RequestId
from ibishead.routing.targets import TargetView
from ibishead.web import Exchange


def expire_charge(fixture: Fixture) -> None:
    fixture.quotas._lifetime = 0.0


def lose_keeper(fixture: Fixture) -> None:
    expire_charge(fixture)
    fixture.quotas.keeper.closed = True


def remove_targets(fixture: Fixture) -> None:
    fixture.feed.view = TargetView()


def deregister_targets(fixture: Fixture) -> None:
    now = SystemClock().monotonic()
    for target in list(fixture.feed.view):
        fixture.feed.view.mark_gone(target.target, target.born, now)


def rest_all(fixture: Fixture) -> None:
    now = SystemClock().monotonic()
    for target in fixture.feed.view:
        fixture.tracker.record_refusal(target, 5.0, now, now)


def limit_all(fixture: Fixture) -> None:
    now = SystemClock().monotonic()
    for target in fixture.feed.view:
        fixture.tracker.record_limit(target, 0.01, 1, now, 0.9)


def spend_budget(fixture: Fixture) -> None:
    (budget,) = fixture.pipeline._budgets.values()
    while budget.take():
        pass


def drain(fixture: Fixture) -> None:
    fixture.pipeline.begin_drain(SystemClock().monotonic())


def overload(fixture: Fixture) -> None:
    for _ in range(5):
        fixture.shedder.record(2.1, 2.0, 0)


def upgrade_targets(fixture: Fixture) -> None:
    for target in list(fixture.feed.view):
        changed = {"software": "v2", "sequence": target.sequence + 1}
        fixture.feed.view.merge(msgspec.structs.replace(target, **changed), 0.0)


def change_nothing(fixture: Fixture) -> None:
    pass


SOURCES = [
    (expire_charge, stream_completely, 502, b"quota_exceeded"),
    (lose_keeper, stream_completely, 502, b"no_quorum"),
    (remove_targets, stream_completely, 502, b"resend was refused"),
    (deregister_targets, stream_completely, 502, b"resend was refused"),
    (rest_all, stream_completely, 502, b"overloaded"),
    (limit_all, stream_completely, 502, b"overloaded"),
    (spend_budget, stream_completely, 502, b"target_failed"),
    (block_part, stream_completely, 502, b"prompt_blocked"),
    (drain, stream_completely, 200, b"id: "),
    (overload, stream_completely, 200, b"id: "),
    (change_nothing, refuse, 502, b"overloaded"),
    (change_nothing, never_respond, 504, b"deadline_exceeded"),
]


@pytest.mark.parametrize(
    ("kind", "change", "later", "status", "text"),
    [
        *((kind, *source) for kind in (SAFE, STREAM) for source in SOURCES),
        (STREAM, upgrade_targets, stream_completely, 502, b"no_target"),
    ],
)
async def test_no_source_of_refusals_answers_after_an_uncertain_send(
    kind, change, later, status, text
):
    """A caller was told that a request had not run although a target had it."""

    async def change_and_reset(exchange: Exchange, request: str) -> None:
        change(fixture)
        await reset(exchange, request)

    behaviours = (change_and_reset, later, later, later)
    route = {**RESUMABLE, "attempts": 3, "timeout": 1.0}
    async with Fixture(kind, *behaviours, **route) as fixture:
        routes = msgspec.structs.replace(fixture.feed.routes, customers=(LIMITED,))
        fixture.feed.routes = routes
        keep_quotas(fixture, True, False)
        fixture.origins.record(RequestId("r0"), make_origin("v1"), 9.0)
        headers = {"authorization": "Token k3", **PARTS}
        if kind is STREAM:
            headers |= {"last-event-id": "2", "resumes": "r0"}
        found, body = await fixture.ask(**headers)
        assert found == status
        assert text in body
        assert fixture.arrivals
