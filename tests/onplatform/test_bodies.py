"""Decoding of bodies and headers: well-formed, malformed and hostile input."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.errors import InvalidInput
from ibishead.gateway.calls import TargetLoad
from ibishead.keys import hash_key
from ibishead.platform.bodies import (
    decode_deregistration,
    decode_heartbeat,
    decode_report,
    decode_routes,
    decode_version,
)
from ibishead.platform.callers import PlatformCallers
from ibishead.platform.targets import PlatformTargets
from ibishead.routing.customers import Quota, QuotaUnit, check_customers
from ibishead.routing.routes import Repeatability
from ibishead.routing.targets import TargetState
from ibishead.web import WebRequest

HEARTBEAT = {
    "backend": "plans",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@3", "a2"]}],
    "seq": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r",
    "hostname": "Nets.Example",
    "path_prefix": "/p/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 800,
    "priority": 1,
    "traffic_split": [
        {"backend": "plans", "weight": 9},
        {"backend": "stock", "weight": 1},
    ],
    "max_attempts": 2,
    "resumable": True,
    "target_gap_ms": 300,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "plans", "health_path": "/h", "max_conns": 3}],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 500},
    "unknown": {"later": True},
}
JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
)


def test_heartbeat_is_decoded():
    found = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (found.target, found.service, found.sequence) == ("i-1", "plans", 4)
    assert found.state is TargetState.READY
    assert found.software == "v1"
    assert [(r.name, r.version) for r in found.holdings[0].adapters] == [
        ("a1", 3),
        ("a2", 1),
    ]


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"slots": 0},
        {"slots": "48"},
        {"seq": -1},
        {"seq": None},
        {"address": "nowhere"},
        {"address": "10.0.0.9:99999"},
        {"backend": ""},
        {"born": 1.5},
        {"models": [{"name": "m", "adapters": ["a@x"]}]},
    ],
)
def test_malformed_heartbeat_is_refused(change):
    with pytest.raises(InvalidInput):
        decode_heartbeat("i-1", json.dumps({**HEARTBEAT, **change}).encode())


@pytest.mark.parametrize(
    "missing", ["backend", "address", "zone", "slots", "state", "seq"]
)
def test_heartbeat_without_required_field_is_refused(missing):
    body = {k: v for k, v in HEARTBEAT.items() if k != missing}
    with pytest.raises(InvalidInput):
        decode_heartbeat("i-1", json.dumps(body).encode())


def test_route_set_is_decoded():
    found = decode_routes(json.dumps(CONFIG).encode())
    route = found.routes[0]
    assert (found.version, route.hostname, route.timeout) == (7, "nets.example", 15.0)
    assert route.kind is Repeatability.STREAM
    assert [(s.service, s.weight) for s in route.shares] == [("plans", 9), ("stock", 1)]
    assert (found.limits.header_bytes, found.limits.idle_time) == (100, 0.5)


TENANT = {
    "name": "loft",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 2600,
    "burst": 5200,
}


def decode_with(*tenants):
    return decode_routes(json.dumps({**CONFIG, "tenants": tenants}).encode())


def test_customers_are_decoded():
    (found,) = decode_with(TENANT).customers
    assert (found.name, found.rank) == ("loft", 1)
    assert found.keys == (hash_key("k1"), hash_key("k2"))
    assert found.quota == Quota(QuotaUnit.TOKENS, 2600.0, 5200.0, 200)


@pytest.mark.parametrize(
    ("body", "customers"),
    [(CONFIG, None), ({**CONFIG, "tenants": []}, ())],
)
def test_no_customers_differ_from_a_deployment_without_customers(body, customers):
    assert decode_routes(json.dumps(body).encode()).customers == customers


@pytest.mark.parametrize("rate", [{"rate_per_s": 0}, {"rate_per_s": None}])
def test_customer_without_rate_has_no_quota_whatever_its_burst(rate):
    tenant = {k: v for k, v in {**TENANT, **rate}.items() if v is not None}
    assert decode_with(tenant).customers[0].quota is None


@pytest.mark.parametrize(
    "change",
    [
        {"name": ""},
        {"name": None},
        {"api_keys": ["k1", ""]},
        {"api_keys": "k1"},
        {"rate_per_s": -1},
        {"burst": -1},
        {"rate_per_s": "many"},
        {"plain_tokens": -5},
        {"unit": "loaves"},
    ],
)
def test_malformed_customer_is_refused(change):
    with pytest.raises(InvalidInput):
        check_customers(decode_with({**TENANT, **change}).customers)


def test_customers_that_share_a_key_are_refused_without_naming_it():
    other = {**TENANT, "name": "crew", "api_keys": ["secret", "k2"]}
    with pytest.raises(InvalidInput, match="crew") as caught:
        check_customers(decode_with(TENANT, other).customers)
    assert "k2" not in str(caught.value)


@given(st.sampled_from(sorted(TENANT)), JUNK)
def test_customer_with_junk_field_raises_only_invalid_input(field, value):
    with contextlib.suppress(InvalidInput):
        decode_with({**TENANT, field: value})


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_invalid_input(data):
    for decode in (decode_routes, decode_report, decode_version, decode_deregistration):
        try:
            decode(data)
        except InvalidInput:
            continue
    with contextlib.suppress(InvalidInput):
        decode_heartbeat("i", data)


@given(st.sampled_from(sorted(HEARTBEAT)), JUNK)
def test_heartbeat_with_junk_field_raises_only_invalid_input(field, value):
    body = {**HEARTBEAT, field: value}
    data = json.dumps(body).encode()
    with contextlib.suppress(InvalidInput):
        decode_heartbeat("i-1", data)


@given(st.sampled_from(sorted(ROUTE)), JUNK)
def test_route_with_junk_field_raises_only_invalid_input(field, value):
    body = {**CONFIG, "routes": [{**ROUTE, field: value}]}
    with contextlib.suppress(InvalidInput):
        decode_routes(json.dumps(body).encode())


def make_request(**headers: str) -> WebRequest:
    named = tuple((k.replace("_", "-"), v) for k, v in headers.items())
    return WebRequest("POST", "/p/x", "q=1", named, b"body")


def test_reserved_headers_of_callers_are_removed():
    """With a system header a caller could reserve memory or read another caller's."""
    request = make_request(
        host="Nets.Example:80",
        request_id="r1",
        hold="h",
        pin_ms="9",
        kv_backup="x",
        kv_from="y",
        kv_fetch="z",
        expect_instance="i",
        expect_version="2",
        request_priority="0",
        connection="x-own",
        x_own="1",
        x_kept="2",
        model="m/a3",
        token_counts="10,20",
        prompt_prefix="ab:3,cd:4",
        deadline_ms="1500",
    )
    call = PlatformCallers().read_call(request)
    assert {name for name, _ in call.headers} == {
        "x-kept",
        "model",
        "token-counts",
        "prompt-prefix",
    }
    assert (call.hostname, call.target) == ("nets.example", "/p/x?q=1")
    assert (call.model, call.adapter, call.timeout) == ("m", "a3", 1.5)
    assert [(p.name, p.tokens) for p in call.parts] == [("ab", 3), ("cd", 4)]


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"request_id": "r", "deadline_ms": "soon"},
        {"request_id": "r", "deadline_ms": "-1"},
        {"request_id": "r", "token_counts": "1"},
        # a negative cost would raise the balance of a quota
        {"request_id": "r", "token_counts": "-900,10"},
        {"request_id": "r", "token_counts": "900,-10"},
        {"request_id": "r", "prompt_prefix": "ab"},
    ],
)
def test_malformed_call_is_refused(headers):
    with pytest.raises(InvalidInput):
        PlatformCallers().read_call(make_request(**headers))


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "genuine"),
    [
        (200, {"request-id": "r1", "response-stamp": "s"}, False, True),
        (200, {"request-id": "r1"}, False, False),
        (200, {"request-id": "r2", "response-stamp": "s"}, False, False),
        (503, {"request-id": "r1", "not-executed": "1"}, True, False),
        # a refusal of another request, or of an unknown one
        (503, {"request-id": "r2", "not-executed": "1"}, False, False),
        (503, {"not-executed": "1"}, False, False),
        (503, {"request-id": "r1", "response-stamp": "s"}, False, True),
        (421, {"request-id": "r1", "instance-id": "other"}, True, False),
        (421, {"request-id": "r2", "instance-id": "other"}, False, False),
        (421, {"instance-id": "other"}, False, False),
    ],
)
def test_answer_head_tells_not_run_and_genuine(status, headers, not_run, genuine):
    call = PlatformCallers().read_call(make_request(request_id="r1"))
    head = PlatformTargets().read_head(call, status, tuple(headers.items()))
    assert (head.not_run, head.genuine) == (not_run, genuine)


@pytest.mark.parametrize(
    ("text", "rate"),
    [("2.1", 2.1), ("4", 4.0), ("0", 0.0), ("", None), ("-1", None), ("nan", None)]
    + [("inf", None), ("two", None), (None, None)],
)
def test_rate_limit_is_none_if_invalid(text, rate):
    call = PlatformCallers().read_call(make_request(request_id="r1"))
    headers = () if text is None else (("server-limit", text),)
    assert PlatformTargets().read_head(call, 200, headers).rate_limit == rate


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,64", TargetLoad(3, 1, 64)),
        (" 3, 1 ,64,250", TargetLoad(3, 1, 64, 2.5)),
        ("3,1,64,100,later", TargetLoad(3, 1, 64, 1.0)),
        ("3,1,64,", TargetLoad(3, 1, 64)),
        ("3,1", None),
        ("3,-1,64,100", None),
        ("3,\xb2,64", None),
        ("9" * 5000 + ",1,64", None),
        (None, None),
    ]
    + [
        (f"3,1,64,{text}", TargetLoad(3, 1, 64, invalid_slowdown=True))
        for text in ("0", "9", "-250", "nan", "1e3", "\xb2", "10001", "9" * 5000)
    ],
)
def test_invalid_slowdown_leaves_the_other_figures_of_a_load(text, load):
    """Guards against targets whose load is unknown as one figure can't be decoded."""
    call = PlatformCallers().read_call(make_request(request_id="r1"))
    headers = () if text is None else (("server-load", text),)
    assert PlatformTargets().read_head(call, 200, headers).load == load
