"""Detection of targets that no replica monitors any more.

A replica monitors the targets whose agents are linked to it; the leader is also
responsible for those of unreachable replicas. The caller decides which are monitored.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ibishead.control.agreement.membership import Member
from ibishead.control.commands import RetireTarget
from ibishead.ids import LogIndex, TargetId

__all__ = ["REATTACH_GRACE_SECONDS", "OrphanTracker"]

#: Seconds without a monitoring replica after which a target is retired, long enough for
#: its agent to connect to another replica. Together with the silence after which a link
#: is closed, a dead target is retired within 5 s.
REATTACH_GRACE_SECONDS = 2.5


@dataclass(frozen=True)
class _Orphan:
    attachment: LogIndex
    since: float


class OrphanTracker:
    """Tracks since when targets have been without a monitoring replica."""

    def __init__(self) -> None:
        self._orphans: dict[TargetId, _Orphan] = {}

    def sweep(
        self,
        members: Iterable[Member],
        is_watched: Callable[[Member], bool],
        now: float,
    ) -> list[RetireTarget]:
        """Return the retirements that are due; to be called a few times a second.

        A new attachment restarts the grace period. The commands carry the attachment
        that they refer to.

        :param is_watched: returns whether a replica monitors the target.
        :param now: monotonic time in seconds.
        """
        found: dict[TargetId, _Orphan] = {}
        due: list[RetireTarget] = []
        for member in members:
            if is_watched(member):
                continue
            record = member.record
            orphan = self._orphans.get(record.target)
            if orphan is None or orphan.attachment != member.attachment:
                orphan = _Orphan(member.attachment, now)
            found[record.target] = orphan
            if now - orphan.since >= REATTACH_GRACE_SECONDS:
                due.append(
                    RetireTarget(record.target, record.incarnation, member.attachment)
                )
        self._orphans = found
        return due
