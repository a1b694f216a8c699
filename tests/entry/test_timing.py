"""The latencies of an answer that are recorded in the histograms."""

import pytest

from ibishead.clock import ManualClock
from ibishead.entry.timing import AnswerTimer
from ibishead.messages import AnswerBody, AnswerEnd, AnswerHead, Outcome
from ibishead.metrics import Metrics

HEAD = AnswerHead("r", 1, 0, 200, (), "a", "1", "t", queued=0.5, stall=0.25)
BODY = AnswerBody("r", 1, 1, b"token")
END = AnswerEnd("r", 1, 2, Outcome.COMPLETED)


@pytest.mark.parametrize(
    ("frames", "lines"),
    [
        (
            [HEAD, BODY, BODY, BODY, END],
            [
                "wait_seconds_sum{} 0.5",
                "load_stall_seconds_sum{} 0.25",
                "first_token_seconds_sum{} 2.0",
                "first_token_seconds_count{} 1",
                "between_tokens_seconds_sum{} 2.0",
                "between_tokens_seconds_count{} 2",
            ],
        ),
        ([HEAD, END], ["wait_seconds_count{} 1"]),
        # The first attempt failed after its head
        ([HEAD, HEAD, BODY], ["wait_seconds_count{} 2", "first_token_seconds_sum{} 3"]),
    ],
)
def test_frames_are_recorded_in_the_histograms(frames, lines):
    clock, metrics = ManualClock(), Metrics("entry")
    timer = AnswerTimer(metrics, clock.monotonic, clock.monotonic(), "tisza", "draft")
    for frame in frames:
        clock.step(1.0)
        timer.record(frame)
    text = metrics.render()[1].decode()
    for line in lines:
        assert (
            f"ibishead_entry_{line}".replace("{}", '{class="draft",team="tisza"}')
            in text
        )
