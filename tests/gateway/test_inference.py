"""A gateway's questions to the registries about the recorded origins of streams."""

import asyncio
from types import SimpleNamespace

import pytest
from tests.fake_links import FakeLink

from ibishead.clock import SystemClock
from ibishead.gateway.inference import BATCH_SECONDS, OriginInference
from ibishead.ids import ServiceName, SoftwareVersion
from ibishead.routing.messages import ServedAnswer
from ibishead.routing.targets import StreamOrigin

SERVICE = ServiceName("s")
V1 = StreamOrigin(SERVICE, SoftwareVersion("v1"))


def make_inference(count):
    """Return the inference of a gateway that knows one version, and its links."""
    links = [FakeLink() for _ in range(count)]
    view = SimpleNamespace(
        find_only_version=lambda *_: V1.software, list_ready_targets=lambda _: []
    )
    feed = SimpleNamespace(
        list_log_registries=lambda: [(None, link) for link in links], view=view
    )
    return OriginInference(feed, None, SystemClock(), lambda: 0.0), links


@pytest.mark.parametrize("answers", [True, False])
async def test_another_registry_is_asked_if_one_does_not_tell(answers):
    inference, (first, second, third) = make_inference(3)
    task = asyncio.create_task(inference.infer(SERVICE))
    while not first.sent:
        await asyncio.sleep(0)
    if answers:
        inference.handle_answer(ServedAnswer(first.sent[0].number, None))
    while not second.sent:
        await asyncio.sleep(0.01)
    inference.handle_answer(ServedAnswer(second.sent[0].number, (V1,)))
    assert await task == V1
    assert third.sent == []


@pytest.mark.parametrize(("pause", "questions"), [(0.0, 1), (3 * BATCH_SECONDS, 2)])
async def test_an_answer_counts_only_for_streams_resumed_before_its_question(
    pause, questions
):
    """A version that began a stream after the question would be missed."""
    inference, (link,) = make_inference(1)
    tasks = [asyncio.create_task(inference.infer(SERVICE))]
    await asyncio.sleep(pause)
    tasks.append(asyncio.create_task(inference.infer(SERVICE)))
    await asyncio.sleep(3 * BATCH_SECONDS)
    for asked, origins in zip(link.sent, ((V1,), ()), strict=False):
        inference.handle_answer(ServedAnswer(asked.number, origins))
    expected = [V1, V1] if questions == 1 else [V1, None]
    assert await asyncio.gather(*tasks) == expected
    assert len(link.sent) == questions
