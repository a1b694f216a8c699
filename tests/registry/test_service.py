"""What a registry logs of an operator's command."""

import pytest

from ibishead.clock import ManualClock
from ibishead.errors import ErrorCode, InvalidInput
from ibishead.ids import ModelName, ReplicaId
from ibishead.metrics import Metrics
from ibishead.registry.service import RegistryService
from ibishead.registry.state import RouteState
from ibishead.routing.targets import WeightKey

KEY = WeightKey(ModelName("m"), "a1")


class LoneReplica:
    """Applies what is proposed, or refuses it."""

    def __init__(self, state: RouteState, refusal: Exception | None) -> None:
        self._state = state
        self._refusal = refusal
        self._index = 0

    def leader(self) -> ReplicaId:
        return ReplicaId("a.1")

    def count_reached(self) -> tuple[int, int]:
        return 1, 3

    async def propose(self, command: bytes) -> bytes:
        if self._refusal is not None:
            raise self._refusal
        self._index += 1
        return self._state.apply(self._index, command)


def make_service(refusal: Exception | None) -> RegistryService:
    state = RouteState()
    replica = LoneReplica(state, refusal)
    return RegistryService(
        state, replica, None, None, ManualClock(), Metrics("registry")
    )


FULL = InvalidInput("the disk is full", "free some room")


@pytest.mark.parametrize(
    ("refusal", "version", "outcome"),
    [
        (None, 2, "accepted"),
        (None, 0, ErrorCode.INVALID_INPUT.value),
        (FULL, 2, FULL.code.value),
    ],
)
async def test_each_command_of_an_operator_leaves_a_line(
    refusal: Exception | None, version: int, outcome: str, caplog
) -> None:
    caplog.set_level("INFO")
    service = make_service(refusal)
    for _ in range(2):
        try:
            await service.raise_floor(KEY, version)
        except InvalidInput:
            assert outcome != "accepted"
    lines = [vars(r) for r in caplog.records if r.message == "command answered"]
    assert [line["outcome"] for line in lines] == [outcome] * 2
    assert {(line["weights"], line["leader"]) for line in lines} == {("m/a1", "a.1")}
    assert {line["voters_reached"] for line in lines} == {"1 of 3"}
    shown = service.metrics.render()[1].decode()
    assert f'events_total{{event="raise_floor_{outcome}"}} 2' in shown
