"""Tests of targets that fail some requests while they report themselves healthy."""

import random

import pytest

from ibishead.decisions.choice import Candidate, Need, choose_target
from ibishead.decisions.health import FAILURE_HALF_LIFE_SECONDS, FailureShare
from ibishead.ids import FailureDomain, TargetId

HOME = FailureDomain("a")
TARGETS, FAULTY, GATEWAYS = 9, 4, 8


def test_share_rises_with_failures_and_decays():
    share = FailureShare()
    for _ in range(3):
        share.record(True, 1.0)
    before = share.read(1.0)
    assert before > 0.4
    assert share.read(1.0 + FAILURE_HALF_LIFE_SECONDS) == pytest.approx(before / 2)
    share.record(False, 1.0)
    assert share.read(1.0) < before


def simulate(seed: int, weighed: bool, shared: bool, rate: float = 72.0) -> float:
    """Return the share of failed requests in 4 s in which some targets fail half.

    :param weighed: failures count in the choice of the target.
    :param shared: the gateways share their failure counts.
    :param rate: requests per second.
    """
    rng = random.Random(seed)
    shares_by_gateway = [
        [FailureShare() for _ in range(TARGETS)]
        for _ in range(1 if shared else GATEWAYS)
    ]
    now, failed, count = 0.0, 0, 0
    while now < 4.0:
        now += rng.expovariate(rate)
        shares = rng.choice(shares_by_gateway)
        candidates = [
            Candidate(
                TargetId(str(n)),
                HOME,
                rng.randrange(4),
                32,
                failures=share.read(now) if weighed else 0.0,
            )
            for n, share in enumerate(shares)
        ]
        chosen = choose_target(Need(HOME), candidates, rng.random)
        assert chosen is not None
        number = int(chosen.candidate.target)
        fails = number < FAULTY and rng.random() < 0.5
        shares[number].record(fails, now)
        failed, count = failed + fails, count + 1
    return failed / count


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_few_requests_are_lost_to_failing_targets(seed):
    """Guards against sending requests to faulty engines until their fault is gone."""
    ignored = simulate(seed, weighed=False, shared=False)
    alone = simulate(seed, weighed=True, shared=False)
    shared = simulate(seed, weighed=True, shared=True)
    assert alone < 0.7 * ignored
    assert shared < 0.4 * ignored
