"""Fair order of requests that wait for turns, beside a simulated engine."""

import pytest
from benchmarks.fairness import CUSTOMERS, DueOrder, Kind, Outcome, run_turns
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.fairshare import MAX_IDLE_CUSTOMERS, FairOrder, count_work
from ibishead.decisions.turns import FIRST_EVENT_SECONDS, Turn, choose_turn
from ibishead.ids import CustomerId
from ibishead.routing.work import RequestWork


def make_work(customer: str = "", rank: int = 0, answer_tokens: int = 0):
    return RequestWork(answer_tokens, (), rank, CustomerId(customer))


def fill(*waiting: tuple[float, str, int]) -> FairOrder:
    """Return an order of requests with a due time, a customer and a rank each."""
    order = FairOrder()
    for number, (due, customer, rank) in enumerate(waiting):
        order.add(Turn(number, 100, due), make_work(customer, rank))
    return order


def drain(order: FairOrder, now: float = 0.0) -> list[int]:
    numbers = []
    while (turn := order.choose(now)) is not None:
        order.grant(turn, now)
        numbers.append(turn.number)
    return numbers


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        pytest.param([(9, "", 1), (8, "", 2)], [0, 1], id="urgent first"),
        pytest.param([(0, "", 0), (8, "", 2)], [1, 0], id="late ones last"),
        pytest.param([(0, "", 1), (0, "", 0)], [1, 0], id="both late"),
        pytest.param([(5, "a", 0), (6, "a", 0), (7, "b", 0)], [0, 2, 1], id="shares"),
        pytest.param([(9, "a", 0), (8, "a", 0), (7, "a", 0)], [2, 1, 0], id="due"),
        pytest.param([(9, "a", 0), (8, "", 0), (7, "a", 0)], [2, 1, 0], id="anonymous"),
    ],
)
def test_order(waiting, expected):
    assert drain(fill(*waiting)) == expected


@pytest.mark.parametrize("tokens", [1500, 2**63])
def test_prompts_of_any_length_leave_the_order_fair(tokens):
    """Shares were lost to rounding once a customer had sent absurd lengths."""
    order = FairOrder()
    for number in range(40):
        order.add(Turn(number, tokens, 9.0), make_work("absurd", 0, tokens))
    drain(order)
    for number in range(6):
        customer = "large" if number < 4 else "small"
        order.add(Turn(number, 1500, 9.0 + number), make_work(customer))
    assert drain(order) == [0, 4, 1, 5, 2, 3]


@pytest.mark.parametrize(
    ("customer", "rank", "ahead"),
    [("", 0, 0), ("large", 1, 6), ("small", 1, 3), ("new", 1, 2), ("", 2, 6)],
)
def test_requests_ahead_of_a_new_one(customer, rank, ahead):
    """Guards against refusals of urgent requests because less urgent ones wait.

    An engine with a rate limit is asked only for what it can send in time.
    """
    order = fill(*[(9.0, "large", 1)] * 5, (9.0, "small", 1))
    assert order.count_ahead(make_work(customer, rank)) == ahead


TURNS = st.lists(
    st.tuples(st.integers(1, 9999), st.floats(0, 2), st.floats(0, 0.4)), max_size=20
)


@given(turns=TURNS, now=st.floats(0, 2), rank=st.integers(-1, 99))
def test_order_without_customers_and_ranks_is_unchanged(turns, now, rank):
    """Guards against another order at services that have no customers."""
    order, plain = FairOrder(), []
    for number, (tokens, due, read_seconds) in enumerate(turns):
        plain.append(Turn(number, tokens, due))
        order.add(plain[-1], make_work(rank=rank), read_seconds)
    while plain:
        assert order.count_ahead(make_work(rank=rank)) == len(plain)
        chosen = order.choose(now)
        assert chosen == choose_turn(plain, now)
        order.hold(chosen)
        order.grant(chosen, now)
        plain.remove(chosen)
    assert order.reordered == 0


WAITING = st.tuples(st.floats(0, 2), st.sampled_from("abc"), st.integers(0, 3))


@given(st.lists(WAITING, min_size=1, max_size=30), st.floats(0, 2))
def test_requests_in_time_precede_late_ones_and_none_is_lost(waiting, now):
    """Guards against turns for requests that are late while others could be in time."""
    granted = drain(fill(*waiting), now)
    assert sorted(granted) == list(range(len(waiting)))
    late = [waiting[number][0] < now + FIRST_EVENT_SECONDS for number in granted]
    assert late == sorted(late)


@given(
    st.lists(
        st.tuples(st.integers(1, 5000), st.integers(0, 900)), min_size=40, max_size=60
    )
)
def test_waiting_customers_get_equal_work(requests):
    """Guards against shares in requests: one with long prompts would get most work."""
    order, granted, costs = FairOrder(), {"a": 0.0, "b": 0.0}, [0.0]
    for number, (tokens, answer) in enumerate(requests):
        work = make_work("a" if number % 3 else "b", 0, answer)
        order.add(Turn(number, tokens, 9.0 + number), work)
        costs.append(count_work(tokens, work))
    while order.customers_waiting == 2:
        assert abs(granted["a"] - granted["b"]) <= max(costs)
        turn = order.choose(0.0)
        granted["a" if turn.number % 3 else "b"] += costs[turn.number + 1]
        order.grant(turn, 0.0)


def test_idle_customer_has_a_bounded_claim():
    """Guards against a customer that is silent for long and then displaces all."""
    order = FairOrder()
    for number in range(2000):
        order.add(Turn(number, 1000, 9.0), make_work("a"))
        if number >= 10:
            order.grant(order.choose(0.0), 0.0)
    for number in range(3000, 3100):
        order.add(Turn(number, 1000, 8.0), make_work("b"))
    numbers = drain(order)
    assert numbers.index(min(n for n in numbers if n < 3000)) <= 10


def test_state_is_bounded():
    """Guards against memory that grows with every customer that was ever seen."""
    order = FairOrder()
    order.add(Turn(-1, 10, 1e9), make_work("stays", 7))
    for number in range(3 * MAX_IDLE_CUSTOMERS):
        turn = Turn(number, 10, 9.0)
        order.add(turn, make_work(f"c{number}", number))
        order.grant(turn, 0.0)
    remembered = [len(rank.customers) for rank in order._ranks.values()]
    assert len(remembered) <= 16
    assert max(remembered) <= MAX_IDLE_CUSTOMERS + 1
    assert (order.customers_waiting, order.ranks_waiting) == (1, 1)


@pytest.mark.parametrize("overtaken", [False, True])
def test_request_that_waits_for_space_is_not_overtaken(overtaken):
    """Guards against long prompts that wait for space while short ones are sent."""
    order = fill((8.0, "a", 1), (9.0, "b", 1))
    order.hold(None if overtaken else order.choose(0.0))
    order.add(Turn(7, 10, 1.0), make_work("c", 0))
    assert order.choose(0.0).number == (7 if overtaken else 0)
    assert order.choose(7.95).number == 1


def get(outcomes: dict[Kind, Outcome], *, customer: str = "", rank: int = 0) -> Outcome:
    """Return the outcome of the customers with a prefix, in one rank, together."""
    total = Outcome()
    for kind, outcome in outcomes.items():
        if kind.customer.startswith(customer) and kind.rank == rank:
            total.results += outcome.results
            total.granted += outcome.granted
    return total


def test_customer_at_7_times_its_load_does_not_crowd_out_others():
    """One of 16 customers sends 7.5 times its usual, the engine is 30% short.

    Guards against turns in proportion to what each asks. The others alone get 0.86.
    """
    fair, present = run_turns(CUSTOMERS, FairOrder), run_turns(CUSTOMERS, DueOrder)
    assert get(fair, customer="c").in_time > get(present, customer="c").in_time + 0.05
    assert get(fair, customer="c").in_all > 0.8
    assert 0.35 < get(fair, customer="big").in_time < 0.55


@pytest.mark.parametrize(
    "loads",
    [
        pytest.param((0.5, 0.3, 0.5), id="130%, a third each"),
        pytest.param((1.0, 0.1, 0.2), id="130%, most is urgent"),
        pytest.param((2.0, 0.5, 0.5), id="300%, urgent alone is too much"),
        pytest.param((0.1, 1.0, 1.0), id="210%, little is urgent"),
    ],
)
def test_urgent_ranks_are_served_more_often_and_none_starves(loads):
    """Guards against an urgent kind served less often, and against a starved one."""
    kinds = [Kind(load, rank=rank) for rank, load in enumerate(loads)]
    outcomes = run_turns(kinds, FairOrder)
    shares = [outcomes[kind].in_time for kind in kinds]
    assert shares[0] > shares[1] - 0.05
    assert shares[1] > shares[2] - 0.05
    assert min(shares) > 0.08
    assert shares[0] >= run_turns(kinds, DueOrder)[kinds[0]].in_time - 0.02


@pytest.mark.parametrize(
    "kinds",
    [
        pytest.param([Kind(0.65, "a"), Kind(0.65, "b")], id="130%"),
        pytest.param([Kind(1.0, "a"), Kind(1.0, "b")], id="200%, saturated"),
        pytest.param([Kind(0.65, "a"), Kind(0.65, "b", mean_tokens=300)], id="mixed"),
    ],
)
def test_long_prompts_are_served_like_others(kinds):
    """Guards against a longest tenth served less than half as often as its kind."""
    outcomes = run_turns(kinds, FairOrder)
    for outcome in outcomes.values():
        assert outcome.longest_in_time > 0.5 * outcome.in_time
    first, second = (outcomes[kind].in_time for kind in kinds)
    assert abs(first - second) < 0.12
