"""The time that a request waits for targets whose links have gone silent."""

from ibishead.entry.agents import REDIAL_INTERVAL_SECONDS
from ibishead.entry.dispatching import REACH_TIMEOUT_SECONDS
from ibishead.entry.placing import REPORT_TIMEOUT_SECONDS
from ibishead.links import TICKS_PER_INTERVAL
from ibishead.session import HEARTBEAT_INTERVAL, SILENCE_LIMIT


def test_wait_covers_redialling_a_silent_link():
    """The wait covers the time from marking an agent unreachable to redialling it.

    Otherwise a request is refused for lack of a target while the link to its only
    target is still waiting to be closed.
    """
    link_closed_after = (
        SILENCE_LIMIT + HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / TICKS_PER_INTERVAL
    )
    assert (
        link_closed_after - REPORT_TIMEOUT_SECONDS + REDIAL_INTERVAL_SECONDS
        <= REACH_TIMEOUT_SECONDS
    )
