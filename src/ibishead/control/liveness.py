"""Which targets nobody watches any more.

A replica watches the targets whose agents are linked to it; the leader also those
of replicas that it has lost. Pure: the caller says what is watched.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ibishead.control.commands import RetireTarget
from ibishead.control.membership import Member
from ibishead.ids import LogIndex, TargetId

__all__ = ["REATTACH_GRACE", "OrphanWatch"]

#: Seconds that a target may be watched by nobody before it is retired: time enough
#: for its agent to dial another replica. With the silence after which a link is
#: given up, a dead target is gone in under 5 s.
REATTACH_GRACE = 2.5


@dataclass(frozen=True)
class _Orphan:
    attachment: LogIndex
    since: float


class OrphanWatch:
    """Remembers since when targets have been without a watch."""

    def __init__(self) -> None:
        self._orphans: dict[TargetId, _Orphan] = {}

    def sweep(
        self,
        members: Iterable[Member],
        is_watched: Callable[[Member], bool],
        now: float,
    ) -> list[RetireTarget]:
        """Return the commands that are due; to be called a few times a second.

        A target that attaches anew counts from then, and the commands carry the
        attachment that they mean.

        :param now: monotonic seconds.
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
            if now - orphan.since >= REATTACH_GRACE:
                due.append(
                    RetireTarget(record.target, record.incarnation, member.attachment)
                )
        self._orphans = found
        return due
