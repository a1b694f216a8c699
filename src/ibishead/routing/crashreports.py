"""Reports of the crashes of one engine, kept for those who are linked later."""

import logging
from collections import deque

import msgspec

from ibishead.decisions.partuses import PartUses
from ibishead.decisions.runs import Run
from ibishead.ids import PartKey, TargetId
from ibishead.routing.messages import EngineEnded, SuspectRun

__all__ = ["CrashReports"]

logger = logging.getLogger(__name__)

#: Number of reports that are kept, and seconds for which they are.
MAX_KEPT = 8
KEPT_SECONDS = 120.0

#: Maximum number of suspected runs in a report, and in a log line. Those sent last come
#: first.
MAX_SUSPECTS = 256
MAX_LOGGED_SUSPECTS = 20


class CrashReports:
    """Makes and keeps reports.

    :ivar count: number of crashes.
    """

    def __init__(self) -> None:
        self.count = 0
        self._kept: deque[tuple[float, EngineEnded]] = deque(maxlen=MAX_KEPT)

    def make_report(
        self,
        target: TargetId,
        born: int,
        runs: list[Run],
        now: float,
        uses: PartUses,
    ) -> EngineEnded:
        """Return the report of a crash, and keep it if it names suspects.

        :param born: distinguishes the starts of the target.
        :param runs: what ran there when it ended.
        :param now: monotonic seconds.
        :param uses: how prompt parts have fared at the engine.
        """
        self.count += 1
        suspects = [run for run in runs if not run.is_settled(now)]
        suspects.sort(key=lambda run: run.sent_at, reverse=True)
        lost_at = [run.lost_at for run in suspects if run.lost_at is not None]
        logger.info(
            "engine ended",
            extra={
                "target": target,
                "runs": len(runs),
                "suspects": [
                    _describe_run(run, now) for run in suspects[:MAX_LOGGED_SUSPECTS]
                ],
            },
        )
        report = EngineEnded(
            target,
            born,
            round(now - min(lost_at, default=now), 3),
            tuple(
                SuspectRun(run.keys, round(now - run.sent_at, 3))
                for run in suspects[:MAX_SUSPECTS]
            ),
            _list_sound(suspects[:MAX_SUSPECTS], uses, now),
        )
        if suspects:
            self._kept.append((now, report))
        return report

    def list_recent(self, now: float) -> list[EngineEnded]:
        """Return the reports that are kept, with their ages of this moment.

        :param now: monotonic seconds.
        """
        return [
            _make_older(report, now - made_at)
            for made_at, report in self._kept
            if now - made_at < KEPT_SECONDS
        ]


def _make_older(report: EngineEnded, seconds: float) -> EngineEnded:
    suspects = tuple(
        SuspectRun(run.keys, round(run.age + seconds, 3)) for run in report.suspects
    )
    age = round(report.age + seconds, 3)
    sound = tuple((part, round(at + seconds, 3)) for part, at in report.sound)
    return msgspec.structs.replace(report, age=age, suspects=suspects, sound=sound)


def _list_sound(
    suspects: list[Run], uses: PartUses, now: float
) -> tuple[tuple[PartKey, float], ...]:
    parts = {part for run in suspects for part in run.keys.scopes}
    known = ((part, uses.read(part).sound_at) for part in sorted(parts))
    return tuple((part, round(now - at, 3)) for part, at in known if at is not None)


def _describe_run(run: Run, now: float) -> dict[str, object]:
    return {
        "parts": run.keys.shared,
        "own": run.keys.own,
        "content": run.keys.content,
        "customer": run.keys.customer,
        "sent": round(now - run.sent_at, 3),
        "begun": None if run.begun_at is None else round(now - run.begun_at, 3),
    }
